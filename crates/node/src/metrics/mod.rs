//! Metrics: sent as `StatsD` and served as text.

mod book;
mod endpoint;
mod gauges;
mod statsd;

pub(crate) use book::MetricBook;
pub(crate) use endpoint::metrics_router;
pub(crate) use gauges::run_gauges;
