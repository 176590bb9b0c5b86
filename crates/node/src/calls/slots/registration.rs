//! Registration of the local target by its announcements.

use std::sync::Arc;

use agatedeck_calls::{
    HealthCheckTicket, HealthReport, RegistrationEffect, RegistrationError, RegistrationSettings,
    RegistrationState, TargetAnnouncement, TargetRegistration,
};
use agatedeck_clock::Instant;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};

use super::actor::SlotActor;
use crate::context::NodeContext;
use crate::member::SetTarget;
use crate::registrar::Announcement;

/// Announcement periods without an announcement after which a target counts as gone. Single
/// announcements can be seconds late.
const ANNOUNCEMENT_TTL_PERIODS: u32 = 4;

impl SlotActor {
    /// Applies the effects of a registration change.
    pub(super) async fn apply_registration_effects(
        &mut self,
        effects: Vec<RegistrationEffect>,
        actor: &ActorRef<Self>,
    ) {
        let now = self.context.clock.now();
        for effect in effects {
            match effect {
                RegistrationEffect::Open => {
                    self.queue.reopen(now);
                    let effects = self.apply_settings(now);
                    self.apply_effects(effects, actor);
                }
                RegistrationEffect::Close => {
                    let effects = self.queue.close(now);
                    self.apply_effects(effects, actor);
                }
                RegistrationEffect::Publish => self.publish_target(now).await,
                RegistrationEffect::Check(ticket) => {
                    self.health_checks.send_replace(ticket);
                }
            }
        }
    }

    /// Follows the registration after a start of the target has been registered.
    fn adopt_registration(&mut self, now: Instant, actor: &ActorRef<Self>) {
        let Some(registration) = &self.registration else {
            return;
        };
        if *self.target_id != *registration.id() {
            self.target_id = Arc::from(registration.id());
        }
        if let Some(deadline) = registration.next_deadline() {
            actor.tell(CheckExpiry).send_after(deadline.since(now));
        }
    }

    async fn publish_target(&self, now: Instant) {
        let Some(registration) = &self.registration else {
            return;
        };
        let (state, id, slots) = (
            registration.state(),
            registration.id(),
            registration.slots(),
        );
        log::info!(
            event = "target", target:% = id, state:% = state, slots;
            "the target `{id}` is {state}"
        );
        let ready = state == RegistrationState::Ready;
        let target = SetTarget {
            service: if ready {
                self.context.settings.service_name().to_owned()
            } else {
                String::new()
            },
            slots,
            version: registration.version().to_owned(),
            warming: !registration.warm_up_ends_at().is_past(now),
        };
        // The actor is stopped only when the node is stopping.
        let _ = self.members.tell(target).await;
    }
}

/// Returns the registration of the target; `None` if it does not announce itself.
pub(super) fn target_registration(context: &NodeContext) -> Option<TargetRegistration> {
    let target = context.settings.target.as_ref()?;
    let ttl = target.announce_period * ANNOUNCEMENT_TTL_PERIODS;
    let announcement_ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    target.announces.then(|| {
        TargetRegistration::new(RegistrationSettings {
            service: target.service.clone(),
            address: target.address.to_string(),
            announcement_ttl_ms,
        })
    })
}

impl Message<Announcement> for SlotActor {
    type Reply = Result<(), RegistrationError>;

    async fn handle(
        &mut self,
        received: Announcement,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.context.clock.now();
        let Some(registration) = &mut self.registration else {
            return Err(RegistrationError::WrongTarget);
        };
        let announcement = TargetAnnouncement {
            id: &received.id,
            service: &received.service,
            version: &received.version,
            address: &received.address,
            started_unix_ms: received.started_unix_ms,
            sequence: received.sequence,
            readiness: received.readiness,
            slots: received.slots,
            warm_up_left: received.warm_up_left,
        };
        let effects = registration.announce(&announcement, now)?;
        self.adopt_registration(now, ctx.actor_ref());
        self.apply_registration_effects(effects, ctx.actor_ref())
            .await;
        Ok(())
    }
}

/// Deregisters the target with this identity.
pub(crate) struct DeregisterTarget(pub(crate) String);

impl Message<DeregisterTarget> for SlotActor {
    type Reply = ();

    async fn handle(
        &mut self,
        DeregisterTarget(id): DeregisterTarget,
        ctx: &mut Context<Self, ()>,
    ) {
        if let Some(registration) = &mut self.registration {
            let effects = registration.deregister(&id);
            self.apply_registration_effects(effects, ctx.actor_ref())
                .await;
        }
    }
}

/// Returns the state of the registration; `None` if the target does not announce itself.
pub(crate) struct ReadRegistration;

impl Message<ReadRegistration> for SlotActor {
    type Reply = Option<RegistrationState>;

    async fn handle(
        &mut self,
        ReadRegistration: ReadRegistration,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.registration.as_ref().map(TargetRegistration::state)
    }
}

/// The target answered a health check of this node that it serves and is not leaving.
pub(crate) struct VerifyTarget {
    pub(crate) ticket: HealthCheckTicket,
    /// Identity that the answer states, if any.
    pub(crate) id: Option<String>,
    /// Number of calls that the target runs concurrently; 0 if the answer does not state it.
    pub(crate) slots: u32,
}

impl Message<VerifyTarget> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, verified: VerifyTarget, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let Some(registration) = &mut self.registration else {
            return;
        };
        let report = HealthReport {
            id: verified.id.as_deref(),
            slots: verified.slots,
        };
        let abrupt_ends = registration.abrupt_ends();
        let effects = registration.verify(verified.ticket, &report, now);
        if registration.abrupt_ends() > abrupt_ends {
            self.count_crash();
        }
        self.adopt_registration(now, ctx.actor_ref());
        self.apply_registration_effects(effects, ctx.actor_ref())
            .await;
    }
}

/// The target with this identity has stated in an answer that it is leaving.
pub(super) struct TargetLeaving(pub(super) Arc<str>);

impl Message<TargetLeaving> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, TargetLeaving(id): TargetLeaving, ctx: &mut Context<Self, ()>) {
        if let Some(registration) = &mut self.registration {
            let effects = registration.mark_leaving(&id);
            self.apply_registration_effects(effects, ctx.actor_ref())
                .await;
        }
    }
}

/// Checks whether the last announcement has expired.
struct CheckExpiry;

impl Message<CheckExpiry> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, CheckExpiry: CheckExpiry, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        if let Some(registration) = &mut self.registration {
            let effects = registration.tick(now);
            self.apply_registration_effects(effects, ctx.actor_ref())
                .await;
        }
    }
}
