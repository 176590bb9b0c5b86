//! Metrics, sent to a `StatsD` server and served in the `OpenMetrics` text format.

mod endpoint;
mod gauges;
mod node_metrics;
mod peer_requests;
mod statsd;

pub(crate) use endpoint::metrics_router;
pub(crate) use gauges::report_gauges;
pub(crate) use node_metrics::NodeMetrics;
pub(crate) use peer_requests::{RequestKind, RequestResult, report_peer_requests};
