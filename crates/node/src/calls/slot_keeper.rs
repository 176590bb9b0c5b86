//! The actor that owns the slots and the queue of the local target.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, CrashSettings,
    Fingerprint, FlightTable, RefusalReason,
};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::crash_keeper::{CrashKeeper, NoteCrashes};
use super::reason::StopReason;
use crate::context::NodeContext;

/// Time before its deadline at which a queued call is refused, so that the refusal reaches its
/// caller's node before that stops waiting. The call would otherwise be told as unknown, and its
/// claim, if it has one, would never be released. The remaining time is counted here from the arrival
/// of the request, so the margin covers the way of both messages, 12 ms each between regions.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);

/// The way to a slot of the local target.
#[derive(Clone)]
pub(super) struct SlotGate {
    keeper: ActorRef<SlotKeeper>,
    last_call: Arc<AtomicU64>,
}

impl SlotGate {
    pub(super) fn new(keeper: ActorRef<SlotKeeper>) -> Self {
        Self {
            keeper,
            last_call: Arc::default(),
        }
    }

    /// Waits for a slot. A call that is dropped while it waits leaves the queue.
    ///
    /// `remaining` is the time until the deadline of the call.
    pub(super) async fn admit(
        &self,
        tenant: &str,
        now: Instant,
        remaining: Duration,
        fingerprint: Fingerprint,
    ) -> Result<SlotLease, StopReason> {
        let margin = REFUSAL_MARGIN.min(remaining / 8);
        let deadline = now.after(remaining.saturating_sub(margin));
        let call = CallId::from(self.last_call.fetch_add(1, Ordering::Relaxed));
        let (reply, granted) = oneshot::channel();
        let admit = AdmitCall {
            call,
            tenant: tenant.to_owned(),
            deadline,
            fingerprint,
            reply,
        };
        let mut lease = SlotLease {
            call,
            load: 0.0,
            keeper: self.keeper.clone(),
            ended: false,
        };
        if self.keeper.tell(admit).try_send().is_err() {
            return Err(StopReason::Draining);
        }
        match granted.await {
            Ok(Ok(load)) => {
                lease.load = load;
                Ok(lease)
            }
            Ok(Err(reason)) => {
                lease.ended = true;
                Err(reason.into())
            }
            Err(_) => Err(StopReason::Draining),
        }
    }
}

/// How a call at the target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunEnd {
    /// The answer is complete.
    Answered,
    /// The call was stopped from here, or its answer cannot be used.
    Stopped,
    /// No connection to the target could be opened, so that the call was not sent.
    NotSent,
    /// The target reset or closed the connection of the call.
    ConnectionLost,
}

/// A slot of the target, or a place in its queue. Dropped without an end, it counts as stopped.
#[derive(Debug)]
pub(super) struct SlotLease {
    call: CallId,
    /// Load of the target when the slot was granted.
    pub(super) load: f64,
    keeper: ActorRef<SlotKeeper>,
    ended: bool,
}

impl SlotLease {
    pub(super) fn end(mut self, end: RunEnd) {
        self.tell(end);
    }

    fn tell(&mut self, end: RunEnd) {
        self.ended = true;
        let end = EndCall {
            call: self.call,
            end,
        };
        // The keeper is gone only when the node is stopping.
        let _ = self.keeper.tell(end).try_send();
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(RunEnd::Stopped);
        }
    }
}

struct WaitingCall {
    fingerprint: Fingerprint,
    reply: oneshot::Sender<Result<f64, RefusalReason>>,
}

#[derive(Clone, Copy)]
struct RunningCall {
    fingerprint: Fingerprint,
    /// Crashes counted when the call was dispatched. All calls in flight see the connection lost
    /// when the target crashes; only the first to say so counts as a crash.
    crashes: u64,
}

/// Owns the admission queue and the flight table of the local target.
#[derive(Actor)]
pub(super) struct SlotKeeper {
    context: NodeContext,
    queue: AdmissionQueue,
    flight: FlightTable,
    waiting: HashMap<CallId, WaitingCall>,
    running: HashMap<CallId, RunningCall>,
    crashes: u64,
    /// Whether the policy of the service was known once.
    policy_known: bool,
    slots: u32,
    /// Load as the target reports it. It matters where calls reach the target past its node.
    reported_load: f64,
    wake_at: Option<Instant>,
    crash_keeper: ActorRef<CrashKeeper>,
    drained: watch::Sender<bool>,
}

impl SlotKeeper {
    pub(super) fn new(
        context: NodeContext,
        crash_keeper: ActorRef<CrashKeeper>,
        drained: watch::Sender<bool>,
    ) -> Self {
        let own = &context.own;
        let flight = FlightTable::new(&own.node, own.incarnation, &own.service);
        let queue = AdmissionQueue::new(AdmissionSettings::default(), context.clock.now());
        Self {
            context,
            queue,
            flight,
            waiting: HashMap::new(),
            running: HashMap::new(),
            crashes: 0,
            policy_known: false,
            slots: AdmissionSettings::default().slots,
            reported_load: 0.0,
            wake_at: None,
            crash_keeper,
            drained,
        }
    }

    fn carry_out(&mut self, effects: Vec<AdmissionEffect>, keeper: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(call) => {
                    let Some(waiting) = self.waiting.remove(&call) else {
                        continue;
                    };
                    let fingerprint = waiting.fingerprint;
                    self.flight.dispatched(fingerprint);
                    let crashes = self.crashes;
                    let running = RunningCall {
                        fingerprint,
                        crashes,
                    };
                    self.running.insert(call, running);
                    // A caller that has gone drops its lease, which ends the call here.
                    let _ = waiting.reply.send(Ok(self.load()));
                }
                AdmissionEffect::Refuse(call, reason) => {
                    if let Some(waiting) = self.waiting.remove(&call) {
                        let _ = waiting.reply.send(Err(reason));
                    }
                }
                // The lease of the call was dropped, and with it the connection to the target.
                AdmissionEffect::Stop(_) => {}
                AdmissionEffect::Drained => {
                    self.drained.send_replace(true);
                }
            }
        }
        self.schedule(keeper);
    }

    /// Makes sure that the queue is looked at when the next queued call reaches its deadline.
    fn schedule(&mut self, keeper: &ActorRef<Self>) {
        let now = self.context.clock.now();
        let Some(deadline) = self.queue.next_deadline(now) else {
            return;
        };
        let scheduled = self.wake_at.is_some_and(|wake_at| wake_at <= deadline);
        if scheduled {
            return;
        }
        self.wake_at = Some(deadline);
        keeper.tell(WakeQueue).send_after(deadline.since(now));
    }

    fn load(&self) -> f64 {
        self.queue.load().max(self.reported_load)
    }

    /// Counts a crash if calls of the present run of the target are in flight.
    fn note_crash(&mut self) {
        let in_flight = self
            .running
            .values()
            .any(|running| running.crashes == self.crashes);
        if !in_flight {
            return;
        }
        self.crashes += 1;
        let notices = self.flight.crashed(CrashSettings::default().lapse_ms);
        log::warn!(
            event = "target-crashed";
            "the target lost its connections with {} kinds of requests in flight",
            notices.len()
        );
        let _ = self.crash_keeper.tell(NoteCrashes(notices)).try_send();
        self.queue.restart_warm_up(self.context.clock.now());
    }

    fn end_running(&mut self, call: CallId, running: RunningCall, end: RunEnd) {
        let current = running.crashes == self.crashes;
        if current && end == RunEnd::ConnectionLost {
            self.running.insert(call, running);
            self.note_crash();
            self.running.remove(&call);
        } else if current {
            self.flight.ended(running.fingerprint);
        }
        if end == RunEnd::NotSent {
            self.note_crash();
        }
    }
}

/// Limits of the local target from the policy of its service.
fn admission_settings(context: &NodeContext) -> Option<AdmissionSettings> {
    let served = context.served();
    let view = SnapshotView::new(&served.snapshot, context.own.reads_schema);
    let connections = context.settings.calls.target_connections;
    let form = view.policy_of(&context.own.service)?.form;
    let connections = connections.min(form.connections.max(2));
    Some(AdmissionSettings {
        // Half of the connections carry calls; the idle ones and the probe take the other half.
        slots: form.slots.min(connections / 2).max(1),
        queue: form.queue,
        tenant_share_percent: form.tenant_share_percent,
        warm_up_ms: form.warm_up_ms,
    })
}

struct AdmitCall {
    call: CallId,
    tenant: String,
    deadline: Instant,
    fingerprint: Fingerprint,
    reply: oneshot::Sender<Result<f64, RefusalReason>>,
}

impl Message<AdmitCall> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, admit: AdmitCall, ctx: &mut Context<Self, ()>) {
        let waiting = WaitingCall {
            fingerprint: admit.fingerprint,
            reply: admit.reply,
        };
        self.waiting.insert(admit.call, waiting);
        let ticket = CallTicket {
            call: admit.call,
            tenant: &admit.tenant,
            deadline: admit.deadline,
        };
        let effects = self.queue.admit(&ticket, self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

struct EndCall {
    call: CallId,
    end: RunEnd,
}

impl Message<EndCall> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, EndCall { call, end }: EndCall, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = if let Some(running) = self.running.remove(&call) {
            self.end_running(call, running, end);
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

struct WakeQueue;

impl Message<WakeQueue> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, WakeQueue: WakeQueue, ctx: &mut Context<Self, ()>) {
        self.wake_at = None;
        let effects = self.queue.tick(self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// The configuration has changed.
pub(super) struct PolicyChanged;

impl Message<PolicyChanged> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, PolicyChanged: PolicyChanged, ctx: &mut Context<Self, ()>) {
        let Some(settings) = admission_settings(&self.context) else {
            return;
        };
        self.slots = settings.slots;
        let now = self.context.clock.now();
        let mut effects = self.queue.set_settings(settings, now);
        if !std::mem::replace(&mut self.policy_known, true) {
            // The warm-up of the policy was not known when the target started.
            self.queue.restart_warm_up(now);
            effects.extend(self.queue.tick(now));
        }
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// New calls are refused from now on.
pub(super) struct DrainSlots;

impl Message<DrainSlots> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, DrainSlots: DrainSlots, ctx: &mut Context<Self, ()>) {
        let effects = self.queue.drain(self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// What a probe of the target found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TargetProbe {
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
