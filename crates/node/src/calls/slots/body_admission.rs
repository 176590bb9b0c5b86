//! The actor that decides which large bodies the target's node receives next.
//!
//! Bodies that are received at the same time share the link of the host, and the small requests and
//! answers of all others wait behind them. Few are received at once, in the order in which calls get
//! slots, and those that could not be answered in time any more are refused before they are sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId,
};
use agatedeck_clock::Instant;
use axum::body::Body;
use bytes::BytesMut;
use http_body_util::BodyExt;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

use super::actor::{ForecastRun, SlotActor};
use super::queue_timer::QueueWake;
use super::slot_client::{SlotRefusal, SlotRequest};
use crate::calls::reason::StopReason;
use crate::context::NodeContext;

/// Bodies that may wait to be received for each one that is.
const WAITING_PER_PLACE: u32 = 16;

/// Time without a byte after which a body gives its place to the next. Its sender may be frozen or
/// cut off.
const STALL_LIMIT: Duration = Duration::from_millis(500);

/// The way to receive a large body.
#[derive(Clone)]
pub(crate) struct BodyClient {
    context: NodeContext,
    intake: ActorRef<BodyActor>,
    slots: ActorRef<SlotActor>,
    last_call: Arc<AtomicU64>,
}

impl BodyClient {
    /// Starts the intake of the target whose slots `slots` owns.
    pub(crate) fn start(context: &NodeContext, slots: ActorRef<SlotActor>) -> Self {
        let intake = BodyActor::new(context);
        Self {
            context: context.clone(),
            intake: BodyActor::spawn_with_mailbox(intake, mailbox::unbounded()),
            slots,
            last_call: Arc::default(),
        }
    }

    /// Receives the body of a call when it is its turn.
    pub(crate) async fn receive(
        &self,
        request: &SlotRequest<'_>,
        body: Body,
    ) -> Result<Body, SlotRefusal> {
        let mut place = Some(self.admit(request).await?);
        let deadline = self.context.clock.runtime_instant(request.deadline);
        let read = timeout_at(deadline, read_body(body, &mut place)).await;
        match read {
            Ok(Ok(body)) => {
                if let Some(place) = place {
                    place.received();
                }
                Ok(body)
            }
            Ok(Err(_)) => Err(SlotRefusal::at_once(StopReason::BodyIncomplete)),
            Err(_) => Err(SlotRefusal::at_once(StopReason::Deadline)),
        }
    }

    /// Waits for a place.
    async fn admit(&self, request: &SlotRequest<'_>) -> Result<BodyLease, SlotRefusal> {
        let stopping = || SlotRefusal::at_once(StopReason::Draining);
        let forecast = ForecastRun {
            priority: request.priority,
            class: request.class.to_owned(),
        };
        let forecast = self.slots.ask(forecast).await.ok().flatten();
        let run = forecast.ok_or_else(stopping)?;
        let now = self.context.clock.now();
        let less_run = |until: Instant| now.after(until.since(now).saturating_sub(run));
        let call = CallId::from(self.last_call.fetch_add(1, Ordering::Relaxed));
        let (reply, granted) = oneshot::channel();
        let admit = AdmitBody {
            call,
            priority: request.priority,
            class: request.class.to_owned(),
            useful_until: request.useful_until.map(less_run),
            deadline: less_run(request.answered_by(now)),
            reply,
        };
        if self.intake.tell(admit).try_send().is_err() {
            return Err(stopping());
        }
        let mut place = BodyLease {
            call,
            intake: self.intake.clone(),
            ended: false,
        };
        match granted.await {
            Ok(Ok(())) => Ok(place),
            Ok(Err(refusal)) => {
                place.ended = true;
                Err(refusal)
            }
            Err(_) => Err(stopping()),
        }
    }
}

/// Reads a body to its end. A body that stalls loses its place and is read on.
async fn read_body(mut body: Body, place: &mut Option<BodyLease>) -> Result<Body, axum::Error> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sleep(STALL_LIMIT), if place.is_some() => {
                *place = None;
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(Body::from(whole.freeze()));
        };
        // Trailers are not passed on.
        if let Ok(data) = frame?.into_data() {
            whole.extend_from_slice(&data);
        }
    }
}

/// A place among the bodies that are received. Dropped before its end, it counts as given up.
struct BodyLease {
    call: CallId,
    intake: ActorRef<BodyActor>,
    ended: bool,
}

impl BodyLease {
    fn received(mut self) {
        self.tell(true);
    }

    fn tell(&mut self, received: bool) {
        self.ended = true;
        let end = EndBody {
            call: self.call,
            received,
        };
        // The intake is gone only when the node is stopping.
        let _ = self.intake.tell(end).try_send();
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(false);
        }
    }
}

struct WaitingBody {
    priority: u32,
    reply: oneshot::Sender<Result<(), SlotRefusal>>,
}

/// Owns the places of the bodies that are received.
#[derive(Actor)]
struct BodyActor {
    context: NodeContext,
    queue: AdmissionQueue,
    waiting: HashMap<CallId, WaitingBody>,
    wake: QueueWake,
}

impl BodyActor {
    fn new(context: &NodeContext) -> Self {
        let places = context.settings.calls.parallel_bodies;
        let settings = AdmissionSettings {
            slots: places,
            queue: places.saturating_mul(WAITING_PER_PLACE),
            tenant_share_percent: 0,
            warm_up_ms: 0,
        };
        Self {
            queue: AdmissionQueue::new(settings, context.clock.now()),
            context: context.clone(),
            waiting: HashMap::new(),
            wake: QueueWake::default(),
        }
    }

    fn carry_out(&mut self, effects: Vec<AdmissionEffect>, intake: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in effects {
            let (call, answer) = match effect {
                AdmissionEffect::Run(call) => (call, Ok(())),
                AdmissionEffect::Refuse(call, reason) => (call, Err(reason)),
                // Bodies are given up by their readers, and the intake ends with the node.
                AdmissionEffect::Stop(_) | AdmissionEffect::Drained => continue,
            };
            let Some(waiting) = self.waiting.remove(&call) else {
                continue;
            };
            let answer = answer.map_err(|reason| {
                log::debug!("a body is refused: {reason}");
                SlotRefusal {
                    reason: StopReason::IntakeFull,
                    expected_wait: self.queue.expected_queue_wait(waiting.priority, now),
                }
            });
            // A sender that has gone drops its place, which ends the call here.
            let _ = waiting.reply.send(answer);
        }
        if let Some(wait) = self.wake.schedule(&self.queue, now) {
            intake.tell(WakeIntake).send_after(wait);
        }
    }
}

struct AdmitBody {
    call: CallId,
    priority: u32,
    class: String,
    useful_until: Option<Instant>,
    deadline: Instant,
    reply: oneshot::Sender<Result<(), SlotRefusal>>,
}

impl Message<AdmitBody> for BodyActor {
    type Reply = ();

    async fn handle(&mut self, admit: AdmitBody, ctx: &mut Context<Self, ()>) {
        let waiting = WaitingBody {
            priority: admit.priority,
            reply: admit.reply,
        };
        self.waiting.insert(admit.call, waiting);
        let ticket = AdmissionRequest {
            call: admit.call,
            workspace: "",
            priority: admit.priority,
            class: &admit.class,
            useful_until: admit.useful_until,
            deadline: admit.deadline,
        };
        let effects = self.queue.admit(&ticket, self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}

struct EndBody {
    call: CallId,
    received: bool,
}

impl Message<EndBody> for BodyActor {
    type Reply = ();

    async fn handle(&mut self, EndBody { call, received }: EndBody, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let effects = if self.waiting.remove(&call).is_some() {
            self.queue.cancel(call, now)
        } else if received {
            self.queue.release(call, now)
        } else {
            self.queue.abandon(call, now)
        };
        self.carry_out(effects, ctx.actor_ref());
    }
}

struct WakeIntake;

impl Message<WakeIntake> for BodyActor {
    type Reply = ();

    async fn handle(&mut self, WakeIntake: WakeIntake, ctx: &mut Context<Self, ()>) {
        self.wake.arrived();
        let effects = self.queue.tick(self.context.clock.now());
        self.carry_out(effects, ctx.actor_ref());
    }
}
