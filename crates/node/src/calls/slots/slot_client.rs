//! The handle through which inbound calls acquire slots of the local target, and the lease of a
//! slot.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_calls::{CallId, Fingerprint};
use agatedeck_clock::Instant;
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use super::actor::{AdmitCall, CompleteCall, RecordRateLimit, RecordUnusableAnswer, SlotActor};
use super::registration::TargetLeaving;
use crate::calls::reason::StopReason;

/// Time before its deadline at which a queued call is refused, so that the refusal reaches the
/// caller's node before that node times out. Otherwise the outcome of the call would be `unknown`,
/// and its claim, if it has one, would never be released. The remaining time is counted from the
/// arrival of the request, so the margin covers the network delay of the request and of the
/// refusal, 12 ms each between regions.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);

/// Handle through which inbound calls acquire slots from `SlotActor`.
#[derive(Clone)]
pub(crate) struct SlotClient {
    actor: ActorRef<SlotActor>,
    next_call_id: Arc<AtomicU64>,
}

impl SlotClient {
    pub(crate) fn new(actor: ActorRef<SlotActor>) -> Self {
        Self {
            actor,
            next_call_id: Arc::default(),
        }
    }

    /// Waits for a slot. Dropping the future removes the call from the queue.
    pub(crate) async fn admit(
        &self,
        request: &SlotRequest<'_>,
        now: Instant,
    ) -> Result<SlotLease, SlotRefusal> {
        let fingerprint = request.fingerprint;
        let call = CallId::from(self.next_call_id.fetch_add(1, Ordering::Relaxed));
        let (reply, grant_receiver) = oneshot::channel();
        let admit = AdmitCall {
            call,
            workspace: request.workspace.to_owned(),
            priority: request.priority,
            sent_at: request.sent_at.and_then(|(node, sent_us)| {
                let sent_us = sent_us.parse().ok()?;
                Some((node.to_owned(), sent_us))
            }),
            class: request.class.to_owned(),
            useful_until: request.useful_until,
            wait_deadline: request.refusal_deadline(now),
            deadline: request.deadline,
            fingerprint,
            reply,
        };
        let mut lease = SlotLease {
            call,
            load: 0.0,
            target_id: Arc::default(),
            delayed: false,
            rate_limited: false,
            actor: self.actor.clone(),
            completed: false,
        };
        let draining_refusal = SlotRefusal::without_wait(StopReason::Draining);
        if self.actor.tell(admit).try_send().is_err() {
            return Err(draining_refusal);
        }
        match grant_receiver.await {
            Ok(Ok(grant)) => {
                lease.load = grant.load;
                lease.target_id = grant.target_id;
                lease.delayed = grant.delayed;
                lease.rate_limited = grant.rate_limited;
                Ok(lease)
            }
            Ok(Err(refusal)) => {
                lease.completed = true;
                Err(refusal)
            }
            Err(_) => Err(draining_refusal),
        }
    }
}

/// A call that requests a slot.
pub(crate) struct SlotRequest<'a> {
    pub(crate) workspace: &'a str,
    pub(crate) priority: u32,
    pub(crate) class: &'a str,
    /// Name of the sending node and its send time in microseconds by its own clock, if stated.
    pub(crate) sent_at: Option<(&'a str, &'a str)>,
    /// Time until which an answer is fully useful to the caller, if stated.
    pub(crate) useful_until: Option<Instant>,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: Fingerprint,
}

impl SlotRequest<'_> {
    /// Returns the latest time at which a refusal still reaches the caller's node in time.
    pub(crate) fn refusal_deadline(&self, now: Instant) -> Instant {
        let remaining = self.deadline.since(now);
        let margin = REFUSAL_MARGIN.min(remaining / 8);
        now.after(remaining.saturating_sub(margin))
    }
}

/// Reply to a call that gets a slot.
pub(super) struct SlotGrant {
    pub(super) load: f64,
    pub(super) delayed: bool,
    pub(super) rate_limited: bool,
    pub(super) target_id: Arc<str>,
}

/// Why a call gets no slot, and the expected wait until one is free.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRefusal {
    pub(crate) reason: StopReason,
    pub(crate) expected_wait: Duration,
    /// Load of the target; `None` if the refusal does not depend on it.
    pub(crate) load: Option<f64>,
}

impl SlotRefusal {
    /// Creates a refusal that does not depend on free slots, with an expected wait of zero.
    pub(crate) fn without_wait(reason: StopReason) -> Self {
        Self {
            reason,
            expected_wait: Duration::ZERO,
            load: None,
        }
    }
}

/// How a call at the target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallCompletion {
    /// The answer is complete.
    Answered,
    /// This node cancelled the call, or its answer is unusable. The target may still run it.
    Cancelled,
    /// The call was not sent, or the target stated that it did not run it.
    NotRun,
    /// The connection to the target could not be opened, so the call was not sent.
    NotSent,
    /// The target reset or closed the connection during the call.
    ConnectionLost,
}

/// A slot of the target, or a position in its queue. A lease is dropped before `complete` only if its
/// call was not sent.
#[derive(Debug)]
pub(crate) struct SlotLease {
    call: CallId,
    /// Load of the target when the slot was granted.
    pub(crate) load: f64,
    /// Identity that the target announced; empty if it announced none.
    pub(crate) target_id: Arc<str>,
    /// Whether the request was delayed in transit from the caller's node.
    pub(crate) delayed: bool,
    /// Whether the rate of calls was limited when the slot was granted.
    rate_limited: bool,
    actor: ActorRef<SlotActor>,
    completed: bool,
}

impl SlotLease {
    /// Passes on the rate limit that an answer of the target states, or that it states none.
    pub(crate) fn record_rate_limit(&self, stated: Option<f64>) {
        if stated.is_some() || self.rate_limited {
            // The actor is stopped only when the node is stopping.
            let _ = self.actor.tell(RecordRateLimit(stated)).try_send();
        }
    }

    /// Passes on that the target gave no usable answer.
    pub(crate) fn record_unusable_answer(&self) {
        if self.rate_limited {
            // The actor is stopped only when the node is stopping.
            let _ = self.actor.tell(RecordUnusableAnswer).try_send();
        }
    }

    /// Passes on that the target which this lease is for has stated that it is leaving.
    pub(crate) fn mark_target_leaving(&self) {
        let leaving = TargetLeaving(Arc::clone(&self.target_id));
        // The actor is stopped only when the node is stopping.
        let _ = self.actor.tell(leaving).try_send();
    }

    pub(crate) fn complete(mut self, completion: CallCompletion) {
        self.send_completion(completion);
    }

    fn send_completion(&mut self, completion: CallCompletion) {
        self.completed = true;
        let complete = CompleteCall {
            call: self.call,
            completion,
        };
        // The actor is stopped only when the node is stopping.
        let _ = self.actor.tell(complete).try_send();
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.completed {
            self.send_completion(CallCompletion::NotRun);
        }
    }
}
