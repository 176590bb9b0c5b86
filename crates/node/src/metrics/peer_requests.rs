//! Requests to other nodes, by kind and result, and their summary in the log.

use std::fmt::{Result as FormatResult, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatedeck_wire::ControlPlaneRequest;
use derive_more::Display;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::node_metrics::NodeMetrics;
use crate::peer::{ConnectionMeters, PeerError};

/// Interval at which the counts are looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of requests since the last line from which the next one is written at once.
const BUSY_REQUESTS: u64 = 200;

/// Longest time between two lines.
const MAX_LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Kind of a request to another node.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub(crate) enum RequestKind {
    Offer,
    Pull,
    Probe,
    IndirectProbe,
    Sync,
    Rumor,
    FloorRecord,
    Join,
    Survey,
    ReaderHeartbeat,
    Confirmation,
    Quota,
    RolloutReport,
}

impl RequestKind {
    /// All kinds.
    pub(crate) const ALL: [Self; 13] = [
        Self::Offer,
        Self::Pull,
        Self::Probe,
        Self::IndirectProbe,
        Self::Sync,
        Self::Rumor,
        Self::FloorRecord,
        Self::Join,
        Self::Survey,
        Self::ReaderHeartbeat,
        Self::Confirmation,
        Self::Quota,
        Self::RolloutReport,
    ];
}

impl From<&ControlPlaneRequest> for RequestKind {
    fn from(request: &ControlPlaneRequest) -> Self {
        match request {
            ControlPlaneRequest::Offer { .. } => Self::Offer,
            ControlPlaneRequest::Pull { .. } => Self::Pull,
            ControlPlaneRequest::Probe { .. } => Self::Probe,
            ControlPlaneRequest::ProbeThrough { .. } => Self::IndirectProbe,
            ControlPlaneRequest::Sync { .. } => Self::Sync,
            ControlPlaneRequest::Rumor { .. } => Self::Rumor,
            ControlPlaneRequest::RecordFloor { .. } => Self::FloorRecord,
            ControlPlaneRequest::Join { .. } => Self::Join,
            ControlPlaneRequest::Survey { .. } => Self::Survey,
            ControlPlaneRequest::ReaderHeartbeat { .. } => Self::ReaderHeartbeat,
            ControlPlaneRequest::ConfirmVersion { .. } => Self::Confirmation,
            ControlPlaneRequest::RequestQuota { .. } => Self::Quota,
            ControlPlaneRequest::ReportRollout { .. } => Self::RolloutReport,
        }
    }
}

impl EncodeLabelValue for RequestKind {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> FormatResult {
        write!(encoder, "{self}")
    }
}

/// How a request to another node ended.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub(crate) enum RequestResult {
    Answered,
    Unreachable,
    TimedOut,
    ConnectionLost,
}

impl RequestResult {
    /// All results.
    pub(crate) const ALL: [Self; 4] = [
        Self::Answered,
        Self::Unreachable,
        Self::TimedOut,
        Self::ConnectionLost,
    ];
}

impl From<&PeerError> for RequestResult {
    fn from(error: &PeerError) -> Self {
        match error {
            PeerError::Unreachable => Self::Unreachable,
            PeerError::Deadline => Self::TimedOut,
            PeerError::ConnectionLost => Self::ConnectionLost,
        }
    }
}

impl EncodeLabelValue for RequestResult {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> FormatResult {
        write!(encoder, "{self}")
    }
}

/// Counts at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    offers: u64,
    rumors: u64,
    heartbeats: u64,
    probes: u64,
    syncs: u64,
    pulls: u64,
    joins: u64,
    floor_records: u64,
    unanswered: u64,
    connections: u64,
}

impl RequestCounts {
    fn read(metrics: &NodeMetrics, meters: &ConnectionMeters) -> Self {
        let sent = |kind| metrics.peer_requests(kind);
        Self {
            offers: sent(RequestKind::Offer),
            rumors: sent(RequestKind::Rumor),
            heartbeats: sent(RequestKind::ReaderHeartbeat),
            probes: sent(RequestKind::Probe) + sent(RequestKind::IndirectProbe),
            syncs: sent(RequestKind::Sync),
            pulls: sent(RequestKind::Pull),
            joins: sent(RequestKind::Join),
            floor_records: sent(RequestKind::FloorRecord),
            unanswered: metrics.unanswered_peer_requests(),
            connections: meters.opened.load(Ordering::Relaxed),
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            offers: self.offers - earlier.offers,
            rumors: self.rumors - earlier.rumors,
            heartbeats: self.heartbeats - earlier.heartbeats,
            probes: self.probes - earlier.probes,
            syncs: self.syncs - earlier.syncs,
            pulls: self.pulls - earlier.pulls,
            joins: self.joins - earlier.joins,
            floor_records: self.floor_records - earlier.floor_records,
            unanswered: self.unanswered - earlier.unanswered,
            connections: self.connections - earlier.connections,
        }
    }

    fn total(&self) -> u64 {
        let versions = self.offers + self.heartbeats + self.pulls + self.floor_records;
        versions + self.rumors + self.probes + self.syncs + self.joins
    }

    fn log(&self, took: Duration) {
        log::info!(
            event = "peer-requests",
            took_ms = took.as_millis(),
            offers = self.offers,
            rumors = self.rumors,
            heartbeats = self.heartbeats,
            probes = self.probes,
            syncs = self.syncs,
            pulls = self.pulls,
            joins = self.joins,
            floor_records = self.floor_records,
            unanswered = self.unanswered,
            connections = self.connections;
            "{} requests to other nodes ended", self.total()
        );
    }
}

/// Logs the number of requests to other nodes until the task is aborted: at least every
/// [`MAX_LINE_INTERVAL`], and sooner if there are many.
pub(crate) async fn report_peer_requests(metrics: NodeMetrics, meters: ConnectionMeters) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut logged_at = Instant::now();
    let mut logged = RequestCounts::default();
    loop {
        ticks.tick().await;
        let counts = RequestCounts::read(&metrics, &meters);
        let new = counts.since(&logged);
        let elapsed = logged_at.elapsed();
        if new.total() < BUSY_REQUESTS && elapsed < MAX_LINE_INTERVAL {
            continue;
        }
        new.log(elapsed);
        (logged, logged_at) = (counts, Instant::now());
    }
}
