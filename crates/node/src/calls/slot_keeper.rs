//! The actor that owns the slots and the queue of the local target.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, AnnouncedState, CallId, CallTicket,
    CrashSettings, Fingerprint, FlightTable, NoticeError, NoticeState, RegisterEffect,
    RegisterSettings, TargetNotice, TargetRegister, TransitTable,
};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::crash_keeper::{CrashKeeper, NoteCrashes};
use super::queue_wake::QueueWake;
use super::reason::StopReason;
use crate::context::NodeContext;
use crate::member::{MemberKeeper, SetTarget};

/// Time before its deadline at which a queued call is refused, so that the refusal reaches its
/// caller's node before that stops waiting. The call would otherwise be told as unknown, and its
/// claim, if it has one, would never be released. The remaining time is counted here from the arrival
/// of the request, so the margin covers the way of both messages, 12 ms each between regions.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);

/// Periods without an announcement after which a target counts as gone. Single announcements are
/// late by seconds.
const LAPSE_PERIODS: u32 = 4;

/// Time allowed for the connection that shows whether the target still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

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
    pub(super) async fn admit(
        &self,
        request: &SlotRequest<'_>,
        now: Instant,
    ) -> Result<SlotLease, SlotRefusal> {
        let deadline = request.answered_by(now);
        let fingerprint = request.fingerprint;
        let call = CallId::from(self.last_call.fetch_add(1, Ordering::Relaxed));
        let (reply, granted) = oneshot::channel();
        let admit = AdmitCall {
            call,
            tenant: request.tenant.to_owned(),
            priority: request.priority,
            sent: request.sent.and_then(|(node, sent_us)| {
                let sent_us = sent_us.parse().ok()?;
                Some((node.to_owned(), sent_us))
            }),
            class: request.class.to_owned(),
            useful_until: request.useful_until,
            deadline,
            fingerprint,
            reply,
        };
        let mut lease = SlotLease {
            call,
            load: 0.0,
            target_id: Arc::default(),
            held_up: false,
            keeper: self.keeper.clone(),
            ended: false,
        };
        let stopping = SlotRefusal::at_once(StopReason::Draining);
        if self.keeper.tell(admit).try_send().is_err() {
            return Err(stopping);
        }
        match granted.await {
            Ok(Ok(grant)) => {
                lease.load = grant.load;
                lease.target_id = grant.target_id;
                lease.held_up = grant.held_up;
                Ok(lease)
            }
            Ok(Err(refusal)) => {
                lease.ended = true;
                Err(refusal)
            }
            Err(_) => Err(stopping),
        }
    }
}

/// A call that asks for a slot.
pub(super) struct SlotRequest<'a> {
    pub(super) tenant: &'a str,
    pub(super) priority: u32,
    pub(super) class: &'a str,
    /// Node that sent the call, and when by its clock in microseconds, if it says so.
    pub(super) sent: Option<(&'a str, &'a str)>,
    /// Until when an answer is of full use to the caller, if that is stated.
    pub(super) useful_until: Option<Instant>,
    pub(super) deadline: Instant,
    pub(super) fingerprint: Fingerprint,
}

impl SlotRequest<'_> {
    /// Until when the call can be refused so that the refusal arrives in time.
    pub(super) fn answered_by(&self, now: Instant) -> Instant {
        let remaining = self.deadline.since(now);
        let margin = REFUSAL_MARGIN.min(remaining / 8);
        now.after(remaining.saturating_sub(margin))
    }
}

/// What a call that gets a slot is told.
struct SlotGrant {
    load: f64,
    held_up: bool,
    target_id: Arc<str>,
}

/// Why a call gets no slot, and when there is expected to be room.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRefusal {
    pub(super) reason: StopReason,
    pub(super) room_after: Duration,
}

impl SlotRefusal {
    /// A refusal that does not depend on the room at the target.
    pub(super) fn at_once(reason: StopReason) -> Self {
        Self {
            reason,
            room_after: Duration::ZERO,
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
    /// Identity that the target has announced; empty if it announced none.
    pub(super) target_id: Arc<str>,
    /// Whether the request was held up on its way from the caller's node.
    pub(super) held_up: bool,
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
    priority: u32,
    held_up: bool,
    reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
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
pub(crate) struct SlotKeeper {
    context: NodeContext,
    queue: AdmissionQueue,
    flight: FlightTable,
    waiting: HashMap<CallId, WaitingCall>,
    running: HashMap<CallId, RunningCall>,
    crashes: u64,
    /// Lost connections for which it is not known yet whether the target crashed.
    unchecked: u32,
    transit: TransitTable,
    /// What the target announced, if it announces itself.
    register: Option<TargetRegister>,
    target_id: Arc<str>,
    members: ActorRef<MemberKeeper>,
    /// Whether the policy of the service was known once.
    policy_known: bool,
    slots: u32,
    /// Load as the target reports it. It matters where calls reach the target past its node.
    reported_load: f64,
    wake: QueueWake,
    crash_keeper: ActorRef<CrashKeeper>,
    drained: watch::Sender<bool>,
}

impl SlotKeeper {
    pub(super) fn new(
        context: NodeContext,
        members: ActorRef<MemberKeeper>,
        crash_keeper: ActorRef<CrashKeeper>,
        drained: watch::Sender<bool>,
    ) -> Self {
        let own = &context.own;
        let service = context.settings.service_name();
        let flight = FlightTable::new(&own.node, own.incarnation, service);
        let now = context.clock.now();
        let mut queue = AdmissionQueue::new(AdmissionSettings::default(), now);
        let register = register_of(&context);
        if register.is_some() {
            // Nothing waits in a new queue.
            queue.close(now);
        }
        Self {
            transit: TransitTable::default(),
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
                            room_after: self.queue.expected_start(waiting.priority, now),
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

    /// Counts a crash if calls of the present run of the target are in flight.
    fn note_crash(&mut self) {
        let in_flight = self
            .running
            .values()
            .any(|running| running.crashes == self.crashes);
        if !in_flight && self.unchecked == 0 {
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

    fn end_running(&mut self, running: RunningCall, end: RunEnd, keeper: &ActorRef<Self>) {
        let current = running.crashes == self.crashes;
        if current && end == RunEnd::ConnectionLost {
            self.check_crash(running, keeper);
        } else if current {
            self.flight.ended(running.fingerprint);
        }
        if end == RunEnd::NotSent {
            self.note_crash();
        }
    }

    /// Looks whether a target that announces itself still listens. A lost connection alone is no
    /// crash there: targets and links also lose single ones, and each would blame every request in
    /// flight. A target that does not announce itself may be back before it is looked at, so that a
    /// lost connection is all there is to go by.
    fn check_crash(&mut self, running: RunningCall, keeper: &ActorRef<Self>) {
        self.unchecked += 1;
        if self.register.is_none() {
            self.note_crash();
            self.unchecked -= 1;
            return;
        }
        let Some(target) = self.context.settings.target.as_ref() else {
            return;
        };
        let (address, keeper) = (target.address, keeper.clone());
        tokio::spawn(async move {
            let dialed = timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address)).await;
            let refused = matches!(dialed, Ok(Err(_)));
            // The keeper is gone only when the node is stopping.
            let _ = keeper.tell(CrashChecked { running, refused }).await;
        });
    }

    /// Carries out what an announcement of the target led to.
    async fn carry_out_register(&mut self, effects: Vec<RegisterEffect>, keeper: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in effects {
            match effect {
                RegisterEffect::Open => {
                    self.queue.reopen();
                    let effects = self.apply_settings(now);
                    self.carry_out(effects, keeper);
                }
                RegisterEffect::Close => {
                    let effects = self.queue.close(now);
                    self.carry_out(effects, keeper);
                }
                RegisterEffect::Publish => self.publish_target(now).await,
            }
        }
    }

    async fn publish_target(&self, now: Instant) {
        let Some(register) = &self.register else {
            return;
        };
        let (state, id, slots) = (register.state(), register.id(), register.slots());
        log::info!(
            event = "target", target:% = id, state:% = state, slots;
            "the target `{id}` is {state}"
        );
        let ready = state == AnnouncedState::Ready;
        let target = SetTarget {
            service: if ready {
                self.context.settings.service_name().to_owned()
            } else {
                String::new()
            },
            slots,
            warming: !register.warm_at().is_past(now),
        };
        // The keeper is gone only when the node is stopping.
        let _ = self.members.tell(target).await;
    }

    fn apply_settings(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        let announced = self.register.as_ref().map_or(0, TargetRegister::slots);
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

/// The register of a target that announces itself.
fn register_of(context: &NodeContext) -> Option<TargetRegister> {
    let target = context.settings.target.as_ref()?;
    let lapse = target.announce_period * LAPSE_PERIODS;
    let lapse_ms = u64::try_from(lapse.as_millis()).unwrap_or(u64::MAX);
    target.announces.then(|| {
        TargetRegister::new(RegisterSettings {
            service: target.service.clone(),
            address: target.address.to_string(),
            lapse_ms,
        })
    })
}

/// Limits of the local target from the policy of its service.
///
/// `announced` is the number of slots that the target announced, 0 if it announced none.
fn admission_settings(context: &NodeContext, announced: u32) -> Option<AdmissionSettings> {
    let served = context.served();
    let view = SnapshotView::new(&served.snapshot, context.own.reads_schema);
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

struct AdmitCall {
    call: CallId,
    tenant: String,
    priority: u32,
    sent: Option<(String, u64)>,
    class: String,
    useful_until: Option<Instant>,
    deadline: Instant,
    fingerprint: Fingerprint,
    reply: oneshot::Sender<Result<SlotGrant, SlotRefusal>>,
}

impl Message<AdmitCall> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, admit: AdmitCall, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let held_up = admit
            .sent
            .is_some_and(|(node, sent_us)| self.transit.note(&node, sent_us, now));
        let waiting = WaitingCall {
            held_up,
            fingerprint: admit.fingerprint,
            priority: admit.priority,
            reply: admit.reply,
        };
        self.waiting.insert(admit.call, waiting);
        let ticket = CallTicket {
            call: admit.call,
            tenant: &admit.tenant,
            priority: admit.priority,
            class: &admit.class,
            useful_until: admit.useful_until,
            deadline: admit.deadline,
        };
        let effects = self.queue.admit(&ticket, now);
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
            self.end_running(running, end, ctx.actor_ref());
            if end == RunEnd::NotSent
                && let Some(register) = &mut self.register
            {
                let effects = register.unreachable();
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
pub(super) struct ForecastRun {
    pub(super) priority: u32,
    pub(super) class: String,
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
        self.queue.forecast(priority, &class, now)
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
pub(super) struct PolicyChanged;

impl Message<PolicyChanged> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, PolicyChanged: PolicyChanged, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = self.apply_settings(now);
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// Whether the target still listened after a connection to it was lost.
struct CrashChecked {
    running: RunningCall,
    refused: bool,
}

impl Message<CrashChecked> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, checked: CrashChecked, ctx: &mut Context<Self, ()>) {
        if checked.running.crashes == self.crashes {
            if checked.refused {
                self.note_crash();
            } else {
                self.flight.ended(checked.running.fingerprint);
            }
        }
        self.unchecked = self.unchecked.saturating_sub(1);
        if checked.refused
            && let Some(register) = &mut self.register
        {
            let effects = register.unreachable();
            self.carry_out_register(effects, ctx.actor_ref()).await;
        }
    }
}

/// An announcement of the target.
#[derive(Clone, Debug)]
pub(crate) struct AnnounceTarget {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: String,
    pub(crate) born_unix_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) state: NoticeState,
    pub(crate) slots: u32,
    pub(crate) warm_up_left: Duration,
}

impl Message<AnnounceTarget> for SlotKeeper {
    type Reply = Result<(), NoticeError>;

    async fn handle(
        &mut self,
        announced: AnnounceTarget,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.context.clock.now();
        let Some(register) = &mut self.register else {
            return Err(NoticeError::Foreign);
        };
        let notice = TargetNotice {
            id: &announced.id,
            service: &announced.service,
            address: &announced.address,
            born_unix_ms: announced.born_unix_ms,
            sequence: announced.sequence,
            state: announced.state,
            slots: announced.slots,
            warm_up_left: announced.warm_up_left,
        };
        let effects = register.announce(&notice, now)?;
        if *self.target_id != *register.id() {
            self.target_id = Arc::from(register.id());
        }
        if let Some(deadline) = register.next_deadline() {
            let wait = deadline.since(now);
            ctx.actor_ref().tell(CheckLapse).send_after(wait);
        }
        self.carry_out_register(effects, ctx.actor_ref()).await;
        Ok(())
    }
}

/// The target says that it leaves.
pub(crate) struct WithdrawTarget(pub(crate) String);

impl Message<WithdrawTarget> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, WithdrawTarget(id): WithdrawTarget, ctx: &mut Context<Self, ()>) {
        if let Some(register) = &mut self.register {
            let effects = register.withdraw(&id);
            self.carry_out_register(effects, ctx.actor_ref()).await;
        }
    }
}

/// Time to look whether the announcements have stopped.
struct CheckLapse;

impl Message<CheckLapse> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, CheckLapse: CheckLapse, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        if let Some(register) = &mut self.register {
            let effects = register.tick(now);
            self.carry_out_register(effects, ctx.actor_ref()).await;
        }
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
