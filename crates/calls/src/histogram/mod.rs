//! Latency histograms by workspace and class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hdrhistogram::errors::CreationError;

/// Workspace and class of the overflow series, which records the calls that exceed the limit on
/// series.
pub const OVERFLOW_SERIES: &str = "other";

/// Settings of a [`LatencyTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencySettings {
    /// Maximum number of series, without the overflow series. Workspaces are named by callers, so
    /// operators do not control how many there are.
    pub max_series: usize,
    /// Upper bound of the recorded range, in microseconds; longer latencies are recorded as this.
    pub max_latency_us: u64,
    /// Significant decimal digits of a recorded value. With 2, the error is at most 1%; each further
    /// digit takes about ten times the memory.
    pub significant_digits: u8,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self {
            max_series: 256,
            max_latency_us: 120_000_000,
            significant_digits: 2,
        }
    }
}

/// Latency percentiles of one series.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencySummary {
    /// Workspace that the calls are counted for.
    pub workspace: String,
    /// Class of the route.
    pub class: String,
    /// Number of recorded calls.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
}

/// Latency histograms by workspace and class.
///
/// Invariant: the table holds at most [`max_series`](LatencySettings::max_series) series and the
/// overflow series.
#[derive(Debug)]
pub struct LatencyTable {
    settings: LatencySettings,
    /// Series by workspace and then class, so that a lookup needs no owned key.
    series: BTreeMap<String, BTreeMap<String, Histogram<u64>>>,
    series_count: usize,
    overflow: Histogram<u64>,
}

impl LatencyTable {
    /// Creates a table without series.
    ///
    /// # Errors
    ///
    /// Fails if a histogram cannot be created: `significant_digits` above 5 or `max_latency_us`
    /// below 2.
    pub fn new(settings: LatencySettings) -> Result<Self, CreationError> {
        let overflow = new_histogram(&settings)?;
        Ok(Self {
            settings,
            series: BTreeMap::new(),
            series_count: 0,
            overflow,
        })
    }

    /// Records the latency of one call, in microseconds.
    pub fn record(&mut self, workspace: &str, class: &str, latency_us: u64) {
        self.series_histogram(workspace, class)
            .saturating_record(latency_us);
    }

    /// Returns the summaries of all series with calls, ordered by workspace and class; the overflow
    /// series is last.
    pub fn summaries(&self) -> Vec<LatencySummary> {
        let series = self.series.iter().flat_map(|(workspace, classes)| {
            classes
                .iter()
                .map(move |(class, histogram)| summarize(workspace, class, histogram))
        });
        let overflow = summarize(OVERFLOW_SERIES, OVERFLOW_SERIES, &self.overflow);
        series
            .chain((overflow.count > 0).then_some(overflow))
            .collect()
    }

    fn series_histogram(&mut self, workspace: &str, class: &str) -> &mut Histogram<u64> {
        let is_known = self
            .series
            .get(workspace)
            .is_some_and(|classes| classes.contains_key(class));
        let is_overflow = workspace == OVERFLOW_SERIES && class == OVERFLOW_SERIES;
        if !is_known && !is_overflow && self.series_count < self.settings.max_series {
            // Cannot fail: the overflow histogram was created from the same settings.
            if let Ok(histogram) = new_histogram(&self.settings) {
                let classes = self.series.entry(workspace.to_owned()).or_default();
                classes.insert(class.to_owned(), histogram);
                self.series_count += 1;
            }
        }
        self.series
            .get_mut(workspace)
            .and_then(|classes| classes.get_mut(class))
            .unwrap_or(&mut self.overflow)
    }
}

fn new_histogram(settings: &LatencySettings) -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, settings.max_latency_us, settings.significant_digits)
}

fn summarize(workspace: &str, class: &str, histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        workspace: workspace.to_owned(),
        class: class.to_owned(),
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}
