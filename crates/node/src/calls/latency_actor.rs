//! The actor that owns the latency histograms, updates the metrics and logs calls.

use std::time::Duration;

use agatedeck_calls::{CallOutcome, LatencySettings, LatencySummary, LatencyTable};
use hdrhistogram::errors::CreationError;
use kameo::Actor;
use kameo::message::{Context, Message};

use super::reason::StopReason;
use super::refusal_trail::RefusalTrail;
use crate::metrics::NodeMetrics;

/// Maximum time for which a metric stays in the send buffer. The log rate limiters, which count
/// lines per second, are refilled at the same interval.
const METRICS_FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Owns the latency table and the metrics client.
#[derive(Actor)]
pub(crate) struct LatencyActor {
    table: LatencyTable,
    metrics: NodeMetrics,
    call_limiter: LogRateLimiter,
    target_call_limiter: LogRateLimiter,
}

/// Maximum rate of log lines about calls of local callers. A line costs about a tenth of the CPU
/// time of a call, and under overload most calls would be logged.
const MAX_CALL_LINES_PER_SECOND: u32 = 20;

/// Maximum rate of log lines about calls that the local target did not answer. Callers that leave
/// cause most of them.
const MAX_TARGET_CALL_LINES_PER_SECOND: u32 = 10;

/// Limits the rate of log lines of one kind and counts the omitted ones.
#[derive(Debug)]
struct LogRateLimiter {
    limit: u32,
    remaining: u32,
    omitted: u32,
}

impl LogRateLimiter {
    /// Creates a limiter that allows no line before its first refill.
    fn new(limit: u32) -> Self {
        Self {
            limit,
            remaining: 0,
            omitted: 0,
        }
    }

    fn try_acquire(&mut self) -> bool {
        let Some(remaining) = self.remaining.checked_sub(1) else {
            self.omitted += 1;
            return false;
        };
        self.remaining = remaining;
        true
    }

    /// Starts the next second. Returns the number of lines omitted in the last one.
    fn refill(&mut self) -> u32 {
        self.remaining = self.limit;
        std::mem::take(&mut self.omitted)
    }
}

impl LatencyActor {
    pub(super) fn new(metrics: NodeMetrics) -> Result<Self, CreationError> {
        Ok(Self {
            table: LatencyTable::new(LatencySettings::default())?,
            metrics,
            call_limiter: LogRateLimiter::new(MAX_CALL_LINES_PER_SECOND),
            target_call_limiter: LogRateLimiter::new(MAX_TARGET_CALL_LINES_PER_SECOND),
        })
    }

    /// Logs a call that was not answered at the first attempt, subject to the rate limit.
    fn log_call(&mut self, call: &RecordCall) {
        let answered_at_first_attempt = call.outcome == CallOutcome::Answered && call.attempts <= 1;
        // Calls cancelled by their caller are no fault of the mesh.
        let cancelled = call.reason == Some(StopReason::Cancelled);
        if answered_at_first_attempt || cancelled || !self.call_limiter.try_acquire() {
            return;
        }
        let reason = call.reason.map(|reason| reason.to_string());
        log::info!(
            event = "call",
            request:% = call.request_id,
            outcome:% = call.outcome,
            reason:% = reason.as_deref().unwrap_or("none"),
            class:% = call.class,
            attempts = call.attempts,
            target:% = call.target,
            refusals:% = call.refusals,
            took_ms = call.latency.as_secs_f64() * 1e3;
            "call {}: {}",
            call.request_id,
            call.outcome
        );
    }
}

/// Records the result of a local caller's call.
pub(super) struct RecordCall {
    pub(super) workspace: String,
    pub(super) class: String,
    /// Request ID; empty if the request has none.
    pub(super) request_id: String,
    /// Peer address of the node of the last target tried; empty if none was.
    pub(super) target: String,
    pub(super) outcome: CallOutcome,
    pub(super) attempts: u32,
    /// Attempts that the nodes of targets refused, with the loads that were estimated and stated.
    pub(super) refusals: RefusalTrail,
    /// Why the call was not answered; `None` if it was.
    pub(super) reason: Option<StopReason>,
    pub(super) latency: Duration,
}

impl Message<RecordCall> for LatencyActor {
    type Reply = ();

    async fn handle(&mut self, call: RecordCall, _: &mut Context<Self, ()>) {
        let latency_us = whole_micros(call.latency);
        if call.outcome == CallOutcome::Answered {
            self.table.record(&call.workspace, &call.class, latency_us);
            self.metrics.observe_latency(&call.class, call.latency);
        }
        self.metrics.count_call(call.outcome);
        if let Some(reason) = call.reason {
            self.metrics.count_stopped(reason);
        }
        self.log_call(&call);
        let retries = call.attempts.saturating_sub(1);
        self.metrics.count_retries(retries.into());
    }
}

/// Records a call that was sent to the local target and not answered.
pub(super) struct RecordTargetCall {
    /// Request ID; empty if the request has none.
    pub(super) request_id: String,
    pub(super) reason: StopReason,
    /// Time from the arrival of the call at this node until it was sent to the target.
    pub(super) queue_wait: Duration,
    /// Time from then until the call ended.
    pub(super) target_time: Duration,
    /// Whether the request was delayed in transit from the caller's node.
    pub(super) delayed: bool,
    /// Local port of the connection to the target; 0 if there was none.
    pub(super) connection: u16,
}

impl Message<RecordTargetCall> for LatencyActor {
    type Reply = ();

    async fn handle(&mut self, call: RecordTargetCall, _: &mut Context<Self, ()>) {
        if !self.target_call_limiter.try_acquire() {
            return;
        }
        log::info!(
            event = "target-call",
            request:% = call.request_id,
            reason:% = call.reason,
            connection = call.connection,
            delayed = call.delayed,
            queue_us = whole_micros(call.queue_wait),
            target_us = whole_micros(call.target_time);
            "call {} was not answered by the target: {}",
            call.request_id,
            call.reason
        );
    }
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// An event that is only counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum CountEvent {
    /// This node refused a call to its local target.
    TargetRefused(StopReason),
    /// A claim was decided with this verdict.
    Claim(&'static str),
}

impl Message<CountEvent> for LatencyActor {
    type Reply = ();

    async fn handle(&mut self, event: CountEvent, _: &mut Context<Self, ()>) {
        match event {
            CountEvent::TargetRefused(reason) => self.metrics.count_refused(reason),
            CountEvent::Claim(verdict) => self.metrics.count_claim(verdict),
        }
    }
}

/// Sends the buffered metrics and refills the log rate limiter; the actor sends it to itself at an
/// interval.
pub(super) struct FlushMetrics;

impl Message<FlushMetrics> for LatencyActor {
    type Reply = ();

    async fn handle(&mut self, FlushMetrics: FlushMetrics, ctx: &mut Context<Self, ()>) {
        self.metrics.flush();
        let omitted_lines = self.call_limiter.refill() + self.target_call_limiter.refill();
        if omitted_lines > 0 {
            log::warn!(
                event = "lines-left-out", lines = omitted_lines;
                "{omitted_lines} log lines about calls were omitted"
            );
        }
        self.metrics.count_omitted_lines(omitted_lines.into());
        ctx.actor_ref()
            .tell(FlushMetrics)
            .send_after(METRICS_FLUSH_INTERVAL);
    }
}

/// Requests the summaries of the latency histograms.
pub(crate) struct ListLatencies;

/// Summaries of the latency histograms.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct LatencyList(pub(crate) Vec<LatencySummary>);

impl Message<ListLatencies> for LatencyActor {
    type Reply = LatencyList;

    async fn handle(
        &mut self,
        ListLatencies: ListLatencies,
        _: &mut Context<Self, LatencyList>,
    ) -> LatencyList {
        LatencyList(self.table.summaries())
    }
}
