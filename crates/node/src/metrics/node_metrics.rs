//! Counters, gauges and histograms of a node.

use std::fmt::{Debug, Error as FormatError, Formatter, Result as FormatResult};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, RolloutStatus};
use agatedeck_control::VersionOrigin;
use cadence::StatsdClient;
use cadence::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

use super::peer_requests::{RequestKind, RequestResult};
use super::statsd::statsd_client;
use crate::adapters::FeedAnswer;
use crate::calls::StopReason;

/// Prefix of metric names in the `OpenMetrics` text.
const EXPOSITION_PREFIX: &str = "agatedeck";

/// Upper bound of the first latency bucket, in seconds. The bounds double from bucket to bucket, up
/// to 16 s.
const FIRST_BUCKET_BOUND_S: f64 = 0.001;

/// Number of latency buckets, without the unbounded one.
const BUCKET_COUNT: u16 = 15;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabel {
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct VerdictLabel {
    verdict: &'static str,
}

/// Classes are defined by routes, so operators bound the cardinality of this label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClassLabel {
    class: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OriginLabel {
    origin: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabel {
    status: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PeerRequestLabel {
    kind: RequestKind,
    result: RequestResult,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClosedLabel {
    listener: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ListenerLabel {
    listener: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct NameLabel {
    name: String,
}

/// The metric families of a node and the `StatsD` client. Updates are sent to `StatsD` and also
/// kept for the `OpenMetrics` text.
struct MetricFamilies {
    statsd: StatsdClient,
    registry: Registry,
    calls: Family<OutcomeLabel, Counter>,
    stopped: Family<ReasonLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    claims: Family<VerdictLabel, Counter>,
    retries: Counter,
    omitted_lines: Counter,
    versions: Family<OriginLabel, Counter>,
    pulls: Family<ResultLabel, Counter>,
    peer_requests: Family<PeerRequestLabel, Counter>,
    feed_configurations: Counter,
    feed_bytes: Counter,
    quota_tokens: Family<ResultLabel, Counter>,
    quota_owner_changes: Counter,
    rollouts: Family<StatusLabel, Counter>,
    latency: Family<ClassLabel, Histogram>,
    connections: Family<ListenerLabel, Gauge>,
    closed: Family<ClosedLabel, Counter>,
    gauges: Family<NameLabel, Gauge>,
}

/// The metrics of a node. Clones share the same metrics.
#[derive(Clone)]
pub(crate) struct NodeMetrics(Arc<MetricFamilies>);

impl Debug for NodeMetrics {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.write_str("NodeMetrics")
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_S, 2.0, BUCKET_COUNT))
}

/// Registers a metric and returns a handle to it.
fn register_metric<M: Metric + Clone>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl NodeMetrics {
    /// Creates the metrics. They are also sent to the address `statsd`, if set.
    pub(crate) fn new(statsd: Option<SocketAddr>) -> Self {
        let mut registry = Registry::with_prefix(EXPOSITION_PREFIX);
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let calls = register_metric(
            &mut registry,
            "calls",
            "Calls of local callers",
            Family::default(),
        );
        let help = "Calls of local callers without an answer";
        let stopped = register_metric(&mut registry, "calls_stopped", help, Family::default());
        let help = "Calls of other nodes that this node refused";
        let refused = register_metric(&mut registry, "target_refused", help, Family::default());
        let claims = register_metric(
            &mut registry,
            "claims",
            "Claims by verdict",
            Family::default(),
        );
        let help = "Attempts after the first";
        let retries = register_metric(&mut registry, "calls_retries", help, Counter::default());
        let help = "Log lines on calls beyond the budget of lines";
        let omitted_lines =
            register_metric(&mut registry, "lines_left_out", help, Counter::default());
        let help = "Versions put in force, by how they reached the node";
        let versions = register_metric(&mut registry, "versions", help, Family::default());
        let help = "Pulls of missing versions";
        let pulls = register_metric(&mut registry, "pulls", help, Family::default());
        let help = "Requests to other nodes, by kind and result";
        let peer_requests =
            register_metric(&mut registry, "peer_requests", help, Family::default());
        let help = "Configurations in the answers of the feed";
        let feed_configurations = register_metric(
            &mut registry,
            "feed_configurations",
            help,
            Counter::default(),
        );
        let help = "Size of the answers of the feed";
        let feed_bytes = register_metric(&mut registry, "feed_bytes", help, Counter::default());
        let help = "Tokens of quotas that this node granted, and calls that it refused without one";
        let quota_tokens = register_metric(&mut registry, "quota_tokens", help, Family::default());
        let help = "Workspaces whose quota this node began or ceased to own";
        let quota_owner_changes = register_metric(
            &mut registry,
            "quota_owner_changes",
            help,
            Counter::default(),
        );
        let help = "Status of rollouts that this node has written";
        let rollouts = register_metric(&mut registry, "rollouts", help, Family::default());
        let help = "Time to the answer of calls that were answered";
        let latency = register_metric(&mut registry, "call_latency_seconds", help, latency);
        let help = "Open connections of clients, by listener";
        let connections = register_metric(&mut registry, "connections", help, Family::default());
        let help = "Connections of clients that a limit closed or refused";
        let closed = register_metric(&mut registry, "connections_closed", help, Family::default());
        let gauges = register_metric(
            &mut registry,
            "state",
            "State of the control plane",
            Family::default(),
        );
        Self(Arc::new(MetricFamilies {
            statsd: statsd_client(statsd),
            registry,
            calls,
            stopped,
            refused,
            claims,
            retries,
            omitted_lines,
            versions,
            pulls,
            peer_requests,
            feed_configurations,
            feed_bytes,
            quota_tokens,
            quota_owner_changes,
            rollouts,
            latency,
            connections,
            closed,
            gauges,
        }))
    }

    /// Encodes the metrics in the `OpenMetrics` text format.
    pub(crate) fn encode_text(&self) -> Result<String, FormatError> {
        let mut text = String::new();
        encode(&mut text, &self.0.registry)?;
        Ok(text)
    }

    /// Sends the buffered `StatsD` metrics.
    pub(crate) fn flush(&self) {
        // Errors are ignored: the next report follows.
        let _ = self.0.statsd.flush();
    }

    fn send_count(&self, name: &str, count: u64) {
        // Errors are ignored: `StatsD` is unacknowledged, and a lost metric affects no call.
        let _ = self.0.statsd.count(name, count);
    }

    /// Counts a call from a local caller that ended with this outcome.
    pub(crate) fn count_call(&self, outcome: CallOutcome) {
        let outcome = outcome.to_string();
        self.send_count(&format!("calls.{outcome}"), 1);
        self.0.calls.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a call from a local caller that got no answer for this reason.
    pub(crate) fn count_stopped(&self, reason: StopReason) {
        let reason = reason.to_string();
        self.send_count(&format!("calls.stopped.{reason}"), 1);
        self.0.stopped.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a call from another node that this node refused for this reason.
    pub(crate) fn count_refused(&self, reason: StopReason) {
        let reason = reason.to_string();
        self.send_count(&format!("target.refused.{reason}"), 1);
        self.0.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a claim that ended with this verdict.
    pub(crate) fn count_claim(&self, verdict: &'static str) {
        self.send_count(&format!("claims.{verdict}"), 1);
        self.0.claims.get_or_create(&VerdictLabel { verdict }).inc();
    }

    /// Counts the attempts of a call after its first.
    pub(crate) fn count_retries(&self, retries: u64) {
        if retries > 0 {
            self.send_count("calls.retries", retries);
            self.0.retries.inc_by(retries);
        }
    }

    /// Counts log lines on calls that were omitted because of the log rate limit.
    pub(crate) fn count_omitted_lines(&self, lines: u64) {
        self.0.omitted_lines.inc_by(lines);
    }

    /// Counts a version that was put in force.
    pub(crate) fn count_version(&self, origin: VersionOrigin) {
        let origin = origin.to_string();
        self.send_count(&format!("versions.{origin}"), 1);
        self.0.versions.get_or_create(&OriginLabel { origin }).inc();
    }

    /// Counts a pull whose peers returned a newer version, or did not.
    pub(crate) fn count_pull(&self, is_answered: bool) {
        let result = if is_answered {
            "answered"
        } else {
            "unanswered"
        };
        self.send_count(&format!("pulls.{result}"), 1);
        self.0.pulls.get_or_create(&ResultLabel { result }).inc();
    }

    /// Counts a request to another node that ended.
    pub(crate) fn count_peer_request(&self, kind: RequestKind, result: RequestResult) {
        self.send_count(&format!("peer.requests.{kind}.{result}"), 1);
        let label = PeerRequestLabel { kind, result };
        self.0.peer_requests.get_or_create(&label).inc();
    }

    /// Number of requests of this kind to other nodes that have ended.
    pub(crate) fn peer_requests(&self, kind: RequestKind) -> u64 {
        let results = RequestResult::ALL.into_iter();
        results
            .map(|result| self.peer_request_count(kind, result))
            .sum()
    }

    /// Number of requests to other nodes that had no answer.
    pub(crate) fn unanswered_peer_requests(&self) -> u64 {
        let failures = RequestResult::ALL.into_iter();
        let failures = failures.filter(|result| *result != RequestResult::Answered);
        failures
            .flat_map(|result| RequestKind::ALL.map(|kind| self.peer_request_count(kind, result)))
            .sum()
    }

    fn peer_request_count(&self, kind: RequestKind, result: RequestResult) -> u64 {
        let label = PeerRequestLabel { kind, result };
        let counter = self.0.peer_requests.get(&label);
        counter.map_or(0, |counter| counter.get())
    }

    /// Counts an answer of the configuration feed.
    pub(crate) fn count_feed_answer(&self, answer: &FeedAnswer) {
        self.send_count("feed.configurations", answer.configurations);
        self.send_count("feed.bytes", answer.bytes);
        self.0.feed_configurations.inc_by(answer.configurations);
        self.0.feed_bytes.inc_by(answer.bytes);
    }

    /// Counts tokens of quotas that this node granted as their owner.
    pub(crate) fn count_quota_granted(&self, tokens: u64) {
        if tokens > 0 {
            self.count_quota_tokens("granted", tokens);
        }
    }

    /// Counts a call of a local caller that was refused without a token.
    pub(crate) fn count_quota_refused(&self) {
        self.count_quota_tokens("refused", 1);
    }

    fn count_quota_tokens(&self, result: &'static str, count: u64) {
        self.send_count(&format!("quota.tokens.{result}"), count);
        let label = ResultLabel { result };
        self.0.quota_tokens.get_or_create(&label).inc_by(count);
    }

    /// Counts workspaces whose quota this node began or ceased to own.
    pub(crate) fn count_quota_owner_changes(&self, changes: u64) {
        self.send_count("quota.owner_changes", changes);
        self.0.quota_owner_changes.inc_by(changes);
    }

    /// Sets the number of leases of quotas that this node granted and that have not expired.
    pub(crate) fn set_quota_leases(&self, leases: usize) {
        self.set_gauge("quota.leases", leases as u64);
    }

    /// Counts a status of a rollout that this node has written.
    pub(crate) fn count_rollout_status(&self, status: RolloutStatus) {
        let status = status.to_string();
        self.send_count(&format!("rollouts.{status}"), 1);
        self.0.rollouts.get_or_create(&StatusLabel { status }).inc();
    }

    /// Sets the number of open connections of a listener.
    pub(crate) fn set_connections(&self, listener: &'static str, connections: usize) {
        let gauge = self
            .0
            .connections
            .get_or_create(&ListenerLabel { listener });
        gauge.set(i64::try_from(connections).unwrap_or(i64::MAX));
    }

    /// Counts a connection of a listener that a limit closed or refused for this reason.
    pub(crate) fn count_closed(&self, listener: &'static str, reason: &'static str) {
        self.send_count(&format!("connections.closed.{listener}.{reason}"), 1);
        let label = ClosedLabel { listener, reason };
        self.0.closed.get_or_create(&label).inc();
    }

    /// Records the latency of an answered call.
    pub(crate) fn observe_latency(&self, class: &str, latency: Duration) {
        let _ = self.0.statsd.time("calls.latency", latency);
        let class = class.to_owned();
        let histogram = self.0.latency.get_or_create(&ClassLabel { class });
        histogram.observe(latency.as_secs_f64());
    }

    /// Sets a gauge of the control plane.
    pub(crate) fn set_gauge(&self, name: &str, value: u64) {
        // Errors are ignored: `StatsD` is unacknowledged.
        let _ = self.0.statsd.gauge(name, value);
        let name = name.to_owned();
        let gauge = self.0.gauges.get_or_create(&NameLabel { name });
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    }
}
