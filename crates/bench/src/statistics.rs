//! Histograms and quantiles of measured times.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the recorded times, in microseconds; longer times are saturated.
const MAX_RECORDED_US: u64 = 120_000_000;

/// Creates a histogram of times in microseconds with three significant digits.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the bounds are valid")
}

/// Sample count, quantiles and maximum of recorded times.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct TimeSummary {
    pub(crate) count: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) max_ms: f64,
}

impl TimeSummary {
    /// Summarises a histogram of times in microseconds.
    pub(crate) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| u64_to_f64(histogram.value_at_quantile(quantile)) / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: u64_to_f64(histogram.max()) / 1_000.0,
        }
    }
}

/// Converts a count to floating point. Exact, because counts stay far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a length to floating point; see [`u64_to_f64`].
pub(crate) fn usize_to_f64(count: usize) -> f64 {
    u64_to_f64(u64::try_from(count).unwrap_or(u64::MAX))
}
