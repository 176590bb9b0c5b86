//! The actor that owns the slots and the queue of the local target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, DelayDetector,
    Fingerprint, InFlightTable, TargetRegistration,
};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::announcements::register_of;
use super::gate::{RunEnd, SlotGrant, SlotRefusal};
use super::queue_wake::QueueWake;
use crate::calls::crash_keeper::CrashKeeper;
use crate::context::NodeContext;
use crate::member::MemberActor;

pub(super) struct WaitingCall {
    fingerprint: Fingerprint,
    priority: u32,
    held_up: bool,
    reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
}

#[derive(Clone, Copy)]
pub(super) struct RunningCall {
    pub(super) fingerprint: Fingerprint,
    /// Crashes counted when the call was dispatched. All calls in flight see the connection lost
    /// when the target crashes; only the first to say so counts as a crash.
    pub(super) crashes: u64,
}

/// Owns the admission queue and the flight table of the local target.
#[derive(Actor)]
pub(crate) struct SlotKeeper {
    pub(super) context: NodeContext,
    pub(super) queue: AdmissionQueue,
    pub(super) flight: InFlightTable,
    pub(super) waiting: HashMap<CallId, WaitingCall>,
    pub(super) running: HashMap<CallId, RunningCall>,
    pub(super) crashes: u64,
    /// Lost connections for which it is not known yet whether the target crashed.
    pub(super) unchecked: u32,
    pub(super) transit: DelayDetector,
    /// What the target announced, if it announces itself.
    pub(super) register: Option<TargetRegistration>,
    pub(super) target_id: Arc<str>,
    pub(super) members: ActorRef<MemberActor>,
    /// Whether the policy of the service was known once.
    pub(super) policy_known: bool,
    pub(super) slots: u32,
    /// Load as the target reports it. It matters where calls reach the target past its node.
    pub(super) reported_load: f64,
    pub(super) wake: QueueWake,
    pub(super) crash_keeper: ActorRef<CrashKeeper>,
    pub(super) drained: watch::Sender<bool>,
}

impl SlotKeeper {
    pub(crate) fn new(
        context: NodeContext,
        members: ActorRef<MemberActor>,
        crash_keeper: ActorRef<CrashKeeper>,
        drained: watch::Sender<bool>,
    ) -> Self {
        let own = &context.local_member;
        let service = context.settings.service_name();
        let flight = InFlightTable::new(&own.node, own.incarnation, service);
        let now = context.clock.now();
        let mut queue = AdmissionQueue::new(AdmissionSettings::default(), now);
        let register = register_of(&context);
        if register.is_some() {
            // Nothing waits in a new queue.
            queue.close(now);
        }
        Self {
            transit: DelayDetector::default(),
            register,
            target_id: Arc::default(),
            members,
            context,
            queue,
            flight,
            waiting: HashMap::new(),
            running: HashMap::new(),
            crashes: 0,
            unchecked: 0,
            policy_known: false,
            slots: AdmissionSettings::default().slots,
            reported_load: 0.0,
            wake: QueueWake::default(),
            crash_keeper,
            drained,
        }
    }

    pub(super) fn carry_out(&mut self, effects: Vec<AdmissionEffect>, keeper: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(call) => {
                    let Some(waiting) = self.waiting.remove(&call) else {
                        continue;
                    };
                    let fingerprint = waiting.fingerprint;
                    self.flight.record_dispatch(fingerprint);
                    let crashes = self.crashes;
                    let running = RunningCall {
                        fingerprint,
                        crashes,
                    };
                    self.running.insert(call, running);
                    let grant = SlotGrant {
                        load: self.load(),
                        held_up: waiting.held_up,
                        target_id: Arc::clone(&self.target_id),
                    };
                    // A caller that has gone drops its lease, which ends the call here.
                    let _ = waiting.reply.send(Ok(grant));
                }
                AdmissionEffect::Refuse(call, reason) => {
                    if let Some(waiting) = self.waiting.remove(&call) {
                        let now = self.context.clock.now();
                        let refusal = SlotRefusal {
                            reason: reason.into(),
                            room_after: self.queue.expected_queue_wait(waiting.priority, now),
                        };
                        let _ = waiting.reply.send(Err(refusal));
                    }
                }
                // The lease of the call was dropped, and with it the connection to the target.
                AdmissionEffect::Stop(_) => {}
                AdmissionEffect::Drained => {
                    self.drained.send_replace(true);
                }
            }
        }
        let now = self.context.clock.now();
        if let Some(wait) = self.wake.schedule(&self.queue, now) {
            keeper.tell(WakeQueue).send_after(wait);
        }
    }

    fn load(&self) -> f64 {
        self.queue.load().max(self.reported_load)
    }

    pub(super) fn apply_settings(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        let announced = self.register.as_ref().map_or(0, TargetRegistration::slots);
        let Some(settings) = admission_settings(&self.context, announced) else {
            return Vec::new();
        };
        self.slots = settings.slots;
        let mut effects = self.queue.set_settings(settings, now);
        if !std::mem::replace(&mut self.policy_known, true) {
            // The warm-up of the policy was not known when the target started.
            self.queue.restart_warm_up(now);
            effects.extend(self.queue.tick(now));
        }
        effects
    }
}

/// Limits of the local target from the policy of its service.
///
/// `announced` is the number of slots that the target announced, 0 if it announced none.
fn admission_settings(context: &NodeContext, announced: u32) -> Option<AdmissionSettings> {
    let served = context.served();
    let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
    let connections = context.settings.calls.target_connections;
    let form = view.policy_of(context.settings.service_name())?.form;
    let connections = connections.min(form.connections.max(2));
    let slots = if announced > 0 { announced } else { form.slots };
    Some(AdmissionSettings {
        // Half of the connections carry calls; the idle ones and the probe take the other half.
        slots: slots.min(connections / 2).max(1),
        queue: form.queue,
        tenant_share_percent: form.tenant_share_percent,
        warm_up_ms: form.warm_up_ms,
    })
}

pub(super) struct AdmitCall {
    pub(super) call: CallId,
    pub(super) tenant: String,
    pub(super) priority: u32,
    pub(super) sent: Option<(String, u64)>,
    pub(super) class: String,
    pub(super) useful_until: Option<Instant>,
    pub(super) deadline: Instant,
    pub(super) fingerprint: Fingerprint,
    pub(super) reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
}

impl Message<AdmitCall> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, admit: AdmitCall, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let held_up = admit
            .sent
            .is_some_and(|(node, sent_us)| self.transit.record_request(&node, sent_us, now));
        let waiting = WaitingCall {
            held_up,
            fingerprint: admit.fingerprint,
            priority: admit.priority,
            reply: admit.reply,
        };
        self.waiting.insert(admit.call, waiting);
        let ticket = AdmissionRequest {
            call: admit.call,
            workspace: &admit.tenant,
            priority: admit.priority,
            class: &admit.class,
            useful_until: admit.useful_until,
            deadline: admit.deadline,
        };
        let effects = self.queue.admit(&ticket, now);
        self.carry_out(effects, ctx.actor_ref());
    }
}

pub(super) struct EndCall {
    pub(super) call: CallId,
    pub(super) end: RunEnd,
}

impl Message<EndCall> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, EndCall { call, end }: EndCall, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = if let Some(running) = self.running.remove(&call) {
            self.end_running(running, end, ctx.actor_ref());
            if end == RunEnd::NotSent
                && let Some(register) = &mut self.register
            {
                let effects = register.mark_unreachable();
                self.carry_out_register(effects, ctx.actor_ref()).await;
            }
            if end == RunEnd::Answered {
                self.queue.release(call, now)
            } else {
                self.queue.abandon(call, now)
            }
        } else {
            self.waiting.remove(&call);
            self.queue.cancel(call, now)
        };
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// How long a call that arrives now would take, wait and run together.
pub(crate) struct ForecastRun {
    pub(crate) priority: u32,
    pub(crate) class: String,
}

impl Message<ForecastRun> for SlotKeeper {
    /// `None` while the target takes no calls.
    type Reply = Option<Duration>;

    async fn handle(
        &mut self,
        ForecastRun { priority, class }: ForecastRun,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.context.clock.now();
        self.queue.expected_latency(priority, &class, now)
    }
}

struct WakeQueue;

impl Message<WakeQueue> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, WakeQueue: WakeQueue, ctx: &mut Context<Self, ()>) {
        self.wake.arrived();
        let effects = self.queue.tick(self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// The configuration has changed.
pub(crate) struct PolicyChanged;

impl Message<PolicyChanged> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, PolicyChanged: PolicyChanged, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = self.apply_settings(now);
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// New calls are refused from now on.
pub(crate) struct DrainSlots;

impl Message<DrainSlots> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, DrainSlots: DrainSlots, ctx: &mut Context<Self, ()>) {
        let effects = self.queue.drain(self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// What a probe of the target found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetProbe {
    /// The target answered; calls that it reports to be running, if it reports any.
    Answered(Option<u32>),
    /// The target refused the connection.
    Refused,
    /// The target went from refusing to answering.
    Returned,
}

impl Message<TargetProbe> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, probe: TargetProbe, _: &mut Context<Self, ()>) {
        match probe {
            TargetProbe::Answered(running) => {
                let running = running.unwrap_or_default();
                self.reported_load = (f64::from(running) / f64::from(self.slots)).min(1.0);
            }
            TargetProbe::Refused => self.note_crash(),
            TargetProbe::Returned => self.queue.restart_warm_up(self.context.clock.now()),
        }
    }
}
