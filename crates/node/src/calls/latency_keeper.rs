//! The actor that owns the latency histograms and sends metrics.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, LatencySettings, LatencySummary, LatencyTable};
use cadence::StatsdClient;
use cadence::prelude::*;
use hdrhistogram::errors::CreationError;
use kameo::Actor;
use kameo::message::{Context, Message};

use super::reason::StopReason;
use crate::metrics::metrics_client;

/// Longest time for which a metric waits in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Owns the latency table and the metrics client.
#[derive(Actor)]
pub(crate) struct LatencyKeeper {
    table: LatencyTable,
    metrics: StatsdClient,
}

impl LatencyKeeper {
    pub(super) fn new(metrics: Option<SocketAddr>) -> Result<Self, CreationError> {
        Ok(Self {
            table: LatencyTable::new(LatencySettings::default())?,
            metrics: metrics_client(metrics),
        })
    }

    fn count(&self, name: &str) {
        // Metrics are sent without an answer, and one that is lost changes no call.
        let _ = self.metrics.count(name, 1_u64);
    }
}

/// A call of a local caller has ended.
pub(super) struct RecordCall {
    pub(super) tenant: String,
    pub(super) class: String,
    pub(super) outcome: CallOutcome,
    pub(super) attempts: u32,
    /// Why the call has no answer.
    pub(super) reason: Option<StopReason>,
    pub(super) latency: Duration,
}

impl Message<RecordCall> for LatencyKeeper {
    type Reply = ();

    async fn handle(&mut self, call: RecordCall, _: &mut Context<Self, ()>) {
        let micros = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
        if call.outcome == CallOutcome::Answered {
            self.table.record(&call.tenant, &call.class, micros);
            let _ = self.metrics.time("calls.latency", call.latency);
        }
        self.count(&format!("calls.{}", call.outcome));
        if let Some(reason) = call.reason {
            self.count(&format!("calls.stopped.{reason}"));
        }
        let retries = u64::from(call.attempts.saturating_sub(1));
        if retries > 0 {
            let _ = self.metrics.count("calls.retries", retries);
        }
    }
}

/// Something that is only counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum CountEvent {
    /// The target's side refused a call.
    TargetRefused(StopReason),
    /// A claim ended in this way.
    Claim(&'static str),
}

impl Message<CountEvent> for LatencyKeeper {
    type Reply = ();

    async fn handle(&mut self, event: CountEvent, _: &mut Context<Self, ()>) {
        match event {
            CountEvent::TargetRefused(reason) => self.count(&format!("target.refused.{reason}")),
            CountEvent::Claim(verdict) => self.count(&format!("claims.{verdict}")),
        }
    }
}

/// Time to send the buffered metrics.
pub(super) struct FlushMetrics;

impl Message<FlushMetrics> for LatencyKeeper {
    type Reply = ();

    async fn handle(&mut self, FlushMetrics: FlushMetrics, ctx: &mut Context<Self, ()>) {
        let _ = self.metrics.flush();
        ctx.actor_ref()
            .tell(FlushMetrics)
            .send_after(FLUSH_INTERVAL);
    }
}

/// Asks for the summaries of the histograms.
pub(crate) struct ReadLatencies;

/// Summaries of the histograms.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct LatencyList(pub(crate) Vec<LatencySummary>);

impl Message<ReadLatencies> for LatencyKeeper {
    type Reply = LatencyList;

    async fn handle(
        &mut self,
        ReadLatencies: ReadLatencies,
        _: &mut Context<Self, LatencyList>,
    ) -> LatencyList {
        LatencyList(self.table.summaries())
    }
}
