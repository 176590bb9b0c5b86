//! Admission control for large request bodies at the target's node.
//!
//! Bodies that are received concurrently share the link of the host, and small requests and answers
//! of other calls queue behind them. The number of concurrent bodies is therefore limited. Bodies
//! are admitted in the order in which calls get slots, but without a limit per workspace, and a
//! body whose call can no longer be answered before its deadline is refused before it is sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId,
};
use agatedeck_clock::Instant;
use axum::body::{Body, HttpBody};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

use super::actor::{EstimateLatency, SlotActor};
use super::queue_timer::QueueTimer;
use super::slot_client::{SlotRefusal, SlotRequest};
use crate::calls::reason::StopReason;
use crate::calls::request_body::{BodySource, ReadError};
use crate::connections::ClientConnection;
use crate::context::NodeContext;

/// Queue capacity per body that is received concurrently.
const QUEUED_BODIES_PER_SLOT: u32 = 16;

/// Time without received data after which a body releases its lease to the next body. The sender
/// may be suspended or partitioned.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle through which inbound calls receive large bodies.
#[derive(Clone)]
pub(crate) struct BodyClient {
    context: NodeContext,
    actor: ActorRef<BodyActor>,
    slots: ActorRef<SlotActor>,
    next_call_id: Arc<AtomicU64>,
}

impl BodyClient {
    /// Starts the `BodyActor` of the target whose slots `slots` owns.
    pub(crate) fn start(context: &NodeContext, slots: ActorRef<SlotActor>) -> Self {
        let actor = BodyActor::new(context);
        Self {
            context: context.clone(),
            actor: BodyActor::spawn_with_mailbox(actor, mailbox::unbounded()),
            slots,
            next_call_id: Arc::default(),
        }
    }

    /// Waits for admission, then receives the whole body of a call.
    pub(crate) async fn receive(
        &self,
        request: &SlotRequest<'_>,
        body: Body,
        connection: Option<&ClientConnection>,
    ) -> Result<Body, SlotRefusal> {
        let source = BodySource {
            connection,
            account: &self.context.node_memory,
        };
        let mut lease = Some(self.admit(request).await?);
        let deadline = self.context.clock.runtime_instant(request.deadline);
        let read = timeout_at(deadline, read_body(body, &source, &mut lease)).await;
        match read {
            Ok(Ok(body)) => {
                if let Some(lease) = lease {
                    lease.complete();
                }
                Ok(body)
            }
            Ok(Err(ReadError::Incomplete)) => {
                Err(SlotRefusal::without_wait(StopReason::BodyIncomplete))
            }
            Ok(Err(ReadError::MemoryShort(_) | ReadError::Stalled)) => {
                Err(SlotRefusal::without_wait(StopReason::MemoryShort))
            }
            Err(_) => Err(SlotRefusal::without_wait(StopReason::Deadline)),
        }
    }

    /// Waits until the body may be received.
    async fn admit(&self, request: &SlotRequest<'_>) -> Result<BodyLease, SlotRefusal> {
        let draining_refusal = || SlotRefusal::without_wait(StopReason::Draining);
        let estimate = EstimateLatency {
            priority: request.priority,
            class: request.class.to_owned(),
        };
        let latency = self.slots.ask(estimate).await.ok().flatten();
        let expected_latency = latency.ok_or_else(draining_refusal)?;
        let now = self.context.clock.now();
        let latest_start =
            |end: Instant| now.after(end.since(now).saturating_sub(expected_latency));
        let call = CallId::from(self.next_call_id.fetch_add(1, Ordering::Relaxed));
        let (reply, grant_receiver) = oneshot::channel();
        let admit = AdmitBody {
            call,
            priority: request.priority,
            class: request.class.to_owned(),
            useful_until: request.useful_until.map(latest_start),
            deadline: latest_start(request.refusal_deadline(now)),
            reply,
        };
        if self.actor.tell(admit).try_send().is_err() {
            return Err(draining_refusal());
        }
        let mut lease = BodyLease {
            call,
            actor: self.actor.clone(),
            released: false,
        };
        match grant_receiver.await {
            Ok(Ok(())) => Ok(lease),
            Ok(Err(refusal)) => {
                lease.released = true;
                Err(refusal)
            }
            Err(_) => Err(draining_refusal()),
        }
    }
}

/// Reads a body to its end. A body that stalls loses its lease, but reading continues.
async fn read_body(
    mut body: Body,
    source: &BodySource<'_>,
    lease: &mut Option<BodyLease>,
) -> Result<Body, ReadError> {
    let Some(mut received) = source.begin(body.size_hint(), usize::MAX).await else {
        return Err(ReadError::MemoryShort(body));
    };
    loop {
        let data = tokio::select! {
            data = source.next_data(&mut body) => data?,
            () = sleep(BODY_STALL_TIMEOUT), if lease.is_some() => {
                *lease = None;
                continue;
            }
        };
        let Some(data) = data else {
            return Ok(Body::from(received.into_bytes()));
        };
        if received.append(source, &data).await.is_err() {
            return Err(ReadError::MemoryShort(body));
        }
    }
}

/// The right to receive a body, or a position in the queue for it. Dropping the lease before
/// `complete` abandons the body.
struct BodyLease {
    call: CallId,
    actor: ActorRef<BodyActor>,
    released: bool,
}

impl BodyLease {
    fn complete(mut self) {
        self.release(true);
    }

    fn release(&mut self, received: bool) {
        self.released = true;
        let release = ReleaseBody {
            call: self.call,
            received,
        };
        // The actor is stopped only when the node is stopping.
        let _ = self.actor.tell(release).try_send();
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        if !self.released {
            self.release(false);
        }
    }
}

struct WaitingBody {
    priority: u32,
    reply: oneshot::Sender<Result<(), SlotRefusal>>,
}

/// Owns the admission queue of large bodies.
#[derive(Actor)]
struct BodyActor {
    context: NodeContext,
    queue: AdmissionQueue,
    waiting: HashMap<CallId, WaitingBody>,
    queue_timer: QueueTimer,
}

impl BodyActor {
    fn new(context: &NodeContext) -> Self {
        let slot_count = context.settings.calls.parallel_bodies;
        let settings = AdmissionSettings {
            slots: slot_count,
            queue: slot_count.saturating_mul(QUEUED_BODIES_PER_SLOT),
            tenant_share_percent: 0,
            warm_up_ms: 0,
        };
        Self {
            queue: AdmissionQueue::new(settings, context.clock.now()),
            context: context.clone(),
            waiting: HashMap::new(),
            queue_timer: QueueTimer::default(),
        }
    }

    fn apply_effects(&mut self, effects: Vec<AdmissionEffect>, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in effects {
            let (call, result) = match effect {
                AdmissionEffect::Run(call) => (call, Ok(())),
                AdmissionEffect::Refuse(call, reason) => (call, Err(reason)),
                // Readers abandon bodies themselves, and this queue is never drained.
                AdmissionEffect::Stop(_) | AdmissionEffect::Drained => continue,
            };
            let Some(waiting) = self.waiting.remove(&call) else {
                continue;
            };
            let result = result.map_err(|reason| {
                log::debug!("request body refused: {reason}");
                SlotRefusal {
                    reason: StopReason::IntakeFull,
                    expected_wait: self.queue.expected_queue_wait(waiting.priority, now),
                    load: None,
                }
            });
            // If the sender is gone, its dropped lease removes the body here.
            let _ = waiting.reply.send(result);
        }
        if let Some(wait) = self.queue_timer.schedule(&self.queue, now) {
            actor.tell(TickQueue).send_after(wait);
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
        let request = AdmissionRequest {
            call: admit.call,
            workspace: "",
            priority: admit.priority,
            class: &admit.class,
            useful_until: admit.useful_until,
            deadline: admit.deadline,
        };
        let effects = self.queue.admit(&request, self.context.clock.now());
        self.apply_effects(effects, ctx.actor_ref());
    }
}

struct ReleaseBody {
    call: CallId,
    received: bool,
}

impl Message<ReleaseBody> for BodyActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ReleaseBody { call, received }: ReleaseBody,
        ctx: &mut Context<Self, ()>,
    ) {
        let now = self.context.clock.now();
        let effects = if self.waiting.remove(&call).is_some() {
            self.queue.cancel(call, now)
        } else if received {
            self.queue.release(call, now)
        } else {
            self.queue.abandon(call, now)
        };
        self.apply_effects(effects, ctx.actor_ref());
    }
}

struct TickQueue;

impl Message<TickQueue> for BodyActor {
    type Reply = ();

    async fn handle(&mut self, TickQueue: TickQueue, ctx: &mut Context<Self, ()>) {
        self.queue_timer.on_fired();
        let effects = self.queue.tick(self.context.clock.now());
        self.apply_effects(effects, ctx.actor_ref());
    }
}
