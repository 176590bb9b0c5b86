//! Metrics, sent to a `StatsD` server and served in the `OpenMetrics` text format.

mod endpoint;
mod gauges;
mod node_metrics;
mod statsd;

pub(crate) use endpoint::metrics_router;
pub(crate) use gauges::report_gauges;
pub(crate) use node_metrics::NodeMetrics;
