//! The actor that owns the slots and the admission queue of the local target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, DelayDetector,
    Fingerprint, HealthCheckTicket, InFlightTable, TargetRegistration,
};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::queue_timer::QueueTimer;
use super::registration::target_registration;
use super::slot_client::{CallCompletion, SlotGrant, SlotRefusal};
use crate::calls::crash_actor::CrashActor;
use crate::context::NodeContext;
use crate::member::MemberActor;

/// Ratio of two rate limits from which the change is logged.
const LOGGED_LIMIT_RATIO: f64 = 1.25;

pub(super) struct WaitingCall {
    fingerprint: Fingerprint,
    deadline: Instant,
    priority: u32,
    delayed: bool,
    reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
}

#[derive(Clone, Copy)]
pub(super) struct RunningCall {
    pub(super) fingerprint: Fingerprint,
    pub(super) dispatched_at: Instant,
    /// Until when the target may run the call.
    pub(super) deadline: Instant,
    /// Value of `SlotActor::crash_count` when the call was dispatched. A crash of the target breaks
    /// the connections of all calls in flight; only the first report counts as a crash.
    pub(super) crash_count: u64,
}

/// Owns the admission queue, the in-flight table and the registration of the local target.
#[derive(Actor)]
pub(crate) struct SlotActor {
    pub(super) context: NodeContext,
    pub(super) queue: AdmissionQueue,
    pub(super) in_flight_table: InFlightTable,
    pub(super) waiting: HashMap<CallId, WaitingCall>,
    pub(super) running: HashMap<CallId, RunningCall>,
    pub(super) crash_count: u64,
    /// Lost connections for which the crash check has not finished.
    pub(super) pending_crash_checks: u32,
    pub(super) delay_detector: DelayDetector,
    /// Registration of the target; `None` if the target does not announce itself.
    pub(super) registration: Option<TargetRegistration>,
    pub(super) target_id: Arc<str>,
    /// Ticket of the health check that was requested last.
    pub(super) health_checks: watch::Sender<HealthCheckTicket>,
    pub(super) members: ActorRef<MemberActor>,
    /// Whether the policy of the service has been known at any time.
    pub(super) has_policy: bool,
    pub(super) slots: u32,
    /// Load that the target reports. It includes calls that reach the target without its node.
    pub(super) reported_load: f64,
    /// Rate limit that was last logged, in calls per second; 0 for none.
    logged_rate_limit: f64,
    pub(super) queue_timer: QueueTimer,
    pub(super) crash_actor: ActorRef<CrashActor>,
    pub(super) drained_sender: watch::Sender<bool>,
}

impl SlotActor {
    pub(crate) fn new(
        context: NodeContext,
        members: ActorRef<MemberActor>,
        crash_actor: ActorRef<CrashActor>,
        health_checks: watch::Sender<HealthCheckTicket>,
        drained_sender: watch::Sender<bool>,
    ) -> Self {
        let local_member = &context.local_member;
        let service = context.settings.service_name();
        let in_flight_table =
            InFlightTable::new(&local_member.node, local_member.incarnation, service);
        let now = context.clock.now();
        let mut queue = AdmissionQueue::new(AdmissionSettings::default(), now);
        let registration = target_registration(&context);
        if registration.is_some() {
            // A new queue is empty, so closing it has no effects.
            queue.close(now);
        }
        Self {
            delay_detector: DelayDetector::default(),
            registration,
            target_id: Arc::default(),
            health_checks,
            members,
            context,
            queue,
            in_flight_table,
            waiting: HashMap::new(),
            running: HashMap::new(),
            crash_count: 0,
            pending_crash_checks: 0,
            has_policy: false,
            slots: AdmissionSettings::default().slots,
            reported_load: 0.0,
            logged_rate_limit: 0.0,
            queue_timer: QueueTimer::default(),
            crash_actor,
            drained_sender,
        }
    }

    pub(super) fn apply_effects(&mut self, effects: Vec<AdmissionEffect>, actor: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(call) => {
                    let Some(waiting) = self.waiting.remove(&call) else {
                        continue;
                    };
                    let fingerprint = waiting.fingerprint;
                    self.in_flight_table.record_dispatch(fingerprint);
                    let running = RunningCall {
                        fingerprint,
                        dispatched_at: self.context.clock.now(),
                        deadline: waiting.deadline,
                        crash_count: self.crash_count,
                    };
                    self.running.insert(call, running);
                    let grant = SlotGrant {
                        load: self.load(),
                        delayed: waiting.delayed,
                        rate_limited: self.queue.is_rate_limited(),
                        target_id: Arc::clone(&self.target_id),
                    };
                    // If the caller is gone, its dropped lease completes the call here.
                    let _ = waiting.reply.send(Ok(grant));
                }
                AdmissionEffect::Refuse(call, reason) => {
                    if let Some(waiting) = self.waiting.remove(&call) {
                        let now = self.context.clock.now();
                        let refusal = SlotRefusal {
                            reason: reason.into(),
                            expected_wait: self.queue.expected_queue_wait(waiting.priority, now),
                            load: Some(self.load()),
                        };
                        let _ = waiting.reply.send(Err(refusal));
                    }
                }
                // Dropping the lease has already closed the connection to the target.
                AdmissionEffect::Stop(_) => {}
                AdmissionEffect::Drained => {
                    self.drained_sender.send_replace(true);
                }
            }
        }
        let now = self.context.clock.now();
        if let Some(wait) = self.queue_timer.schedule(&self.queue, now) {
            actor.tell(TickQueue).send_after(wait);
        }
    }

    /// Logs a rate limit that begins, ends or changes by more than [`LOGGED_LIMIT_RATIO`].
    fn log_rate_limit(&mut self) {
        let rate = self.queue.rate_limit().unwrap_or_default();
        let ratio = rate.max(self.logged_rate_limit) / rate.min(self.logged_rate_limit);
        if rate.max(self.logged_rate_limit) == 0.0 || ratio < LOGGED_LIMIT_RATIO {
            return;
        }
        self.logged_rate_limit = rate;
        let target = &*self.target_id;
        log::info!(event = "target-limit", target, rate; "the target accepts {rate} calls a second; 0 is no limit");
    }

    fn load(&self) -> f64 {
        self.queue.load().max(self.reported_load)
    }

    pub(super) fn apply_settings(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        let announced = self
            .registration
            .as_ref()
            .map_or(0, TargetRegistration::slots);
        let Some(settings) = admission_settings(&self.context, announced) else {
            return Vec::new();
        };
        self.slots = settings.slots;
        let mut effects = self.queue.set_settings(settings, now);
        if !std::mem::replace(&mut self.has_policy, true) {
            // The warm-up time was unknown when the target started, as it is part of the policy.
            self.queue.restart_warm_up(now);
            effects.extend(self.queue.tick(now));
        }
        effects
    }
}

/// Returns the admission limits of the local target from the policy of its service; `None` if the
/// service has no policy.
///
/// `announced` is the number of slots that the target announced, or 0 if it announced none.
fn admission_settings(context: &NodeContext, announced: u32) -> Option<AdmissionSettings> {
    let served = context.served();
    let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
    let connections = context.settings.calls.target_connections;
    let form = view.service_policy(context.settings.service_name())?.form;
    let connections = connections.min(form.connections.max(2));
    let slots = if announced > 0 { announced } else { form.slots };
    Some(AdmissionSettings {
        // Half of the connections carry calls; the idle ones and the probe use the other half.
        slots: slots.min(connections / 2).max(1),
        queue: form.queue,
        tenant_share_percent: form.tenant_share_percent,
        warm_up_ms: form.warm_up_ms,
    })
}

pub(super) struct AdmitCall {
    pub(super) call: CallId,
    pub(super) workspace: String,
    pub(super) priority: u32,
    /// Name of the sending node and its send time in microseconds by its own clock, if stated.
    pub(super) sent_at: Option<(String, u64)>,
    pub(super) class: String,
    pub(super) useful_until: Option<Instant>,
    /// Until when the call may wait for a slot.
    pub(super) wait_deadline: Instant,
    /// Until when the call may run.
    pub(super) deadline: Instant,
    pub(super) fingerprint: Fingerprint,
    pub(super) reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
}

impl Message<AdmitCall> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, admit: AdmitCall, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let delayed = admit
            .sent_at
            .is_some_and(|(node, sent_us)| self.delay_detector.record_request(&node, sent_us, now));
        let waiting = WaitingCall {
            delayed,
            fingerprint: admit.fingerprint,
            deadline: admit.deadline,
            priority: admit.priority,
            reply: admit.reply,
        };
        self.waiting.insert(admit.call, waiting);
        let request = AdmissionRequest {
            call: admit.call,
            workspace: &admit.workspace,
            priority: admit.priority,
            class: &admit.class,
            useful_until: admit.useful_until,
            deadline: admit.wait_deadline,
        };
        let effects = self.queue.admit(&request, now);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

pub(super) struct CompleteCall {
    pub(super) call: CallId,
    pub(super) completion: CallCompletion,
}

impl Message<CompleteCall> for SlotActor {
    type Reply = ();

    async fn handle(
        &mut self,
        CompleteCall { call, completion }: CompleteCall,
        ctx: &mut Context<Self, ()>,
    ) {
        let now = self.context.clock.now();
        let effects = if let Some(running) = self.running.remove(&call) {
            self.complete_running_call(running, completion, ctx.actor_ref());
            if completion == CallCompletion::NotSent
                && let Some(registration) = &mut self.registration
            {
                let effects = registration.mark_unreachable();
                self.apply_registration_effects(effects, ctx.actor_ref())
                    .await;
            }
            if completion == CallCompletion::Answered {
                self.queue.release(call, now)
            } else {
                self.queue.abandon(call, now)
            }
        } else {
            self.waiting.remove(&call);
            self.queue.cancel(call, now)
        };
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// Estimates the latency of a call that arrives now: queue wait plus run time.
pub(crate) struct EstimateLatency {
    pub(crate) priority: u32,
    pub(crate) class: String,
}

impl Message<EstimateLatency> for SlotActor {
    /// `None` while the target accepts no calls.
    type Reply = Option<Duration>;

    async fn handle(
        &mut self,
        EstimateLatency { priority, class }: EstimateLatency,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.context.clock.now();
        self.queue.expected_latency(priority, &class, now)
    }
}

/// The calls per second that the target accepts as of an answer, or that the answer states no limit.
pub(super) struct RecordRateLimit(pub(super) Option<f64>);

impl Message<RecordRateLimit> for SlotActor {
    type Reply = ();

    async fn handle(
        &mut self,
        RecordRateLimit(stated): RecordRateLimit,
        ctx: &mut Context<Self, ()>,
    ) {
        let now = self.context.clock.now();
        let effects = self.queue.record_rate_limit(stated, now);
        self.log_rate_limit();
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// The target gave no usable answer to a call.
pub(super) struct RecordUnusableAnswer;

impl Message<RecordUnusableAnswer> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, _: RecordUnusableAnswer, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = self.queue.record_unusable_answer(now);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

struct TickQueue;

impl Message<TickQueue> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, TickQueue: TickQueue, ctx: &mut Context<Self, ()>) {
        self.queue_timer.on_fired();
        let effects = self.queue.tick(self.context.clock.now());
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// Applies the policy of the service after a configuration change.
pub(crate) struct PolicyChanged;

impl Message<PolicyChanged> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, PolicyChanged: PolicyChanged, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = self.apply_settings(now);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// Drains the slots: refuses new calls from now on.
pub(crate) struct DrainSlots;

impl Message<DrainSlots> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, DrainSlots: DrainSlots, ctx: &mut Context<Self, ()>) {
        let effects = self.queue.drain(self.context.clock.now());
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// Result of a health probe of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeResult {
    /// The target answered, with the number of running calls if it reports one.
    Answered(Option<u32>),
    /// The target refused the connection.
    Refused,
    /// The target answers again after it refused connections.
    Recovered,
}

impl Message<ProbeResult> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, result: ProbeResult, _: &mut Context<Self, ()>) {
        match result {
            ProbeResult::Answered(running) => {
                let running = running.unwrap_or_default();
                self.reported_load = (f64::from(running) / f64::from(self.slots)).min(1.0);
            }
            ProbeResult::Refused => self.count_crash(),
            ProbeResult::Recovered => self.queue.restart_warm_up(self.context.clock.now()),
        }
    }
}
