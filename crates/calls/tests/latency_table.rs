//! Latency histograms by workspace and class.

use agatedeck_calls::{LatencySettings, LatencyTable, OVERFLOW_SERIES};

/// Guards against percentiles with an error above the documented 1%.
#[test]
fn percentiles_are_within_one_percent() {
    let mut table = LatencyTable::new(LatencySettings::default()).unwrap();
    for latency_us in 1..=10_000 {
        table.record("bengal", "search", latency_us);
    }
    let summary = table.summaries().remove(0);
    assert_eq!(summary.count, 10_000);
    let within_one_percent = |value: u64, exact: u64| value.abs_diff(exact) * 100 <= exact;
    assert!(within_one_percent(summary.p50_us, 5_000), "{summary:?}");
    assert!(within_one_percent(summary.p99_us, 9_900), "{summary:?}");
    assert!(within_one_percent(summary.p999_us, 9_990), "{summary:?}");
    assert!(within_one_percent(summary.max_us, 10_000), "{summary:?}");
}

/// Guards against unbounded memory use by callers that keep naming new workspaces, and against calls
/// that are not counted.
#[test]
fn number_of_series_is_bounded() {
    let settings = LatencySettings {
        max_series: 2,
        ..LatencySettings::default()
    };
    let mut table = LatencyTable::new(settings).unwrap();
    for workspace in ["a", "b", "c", "d", "a"] {
        table.record(workspace, "search", u64::MAX);
    }
    let summaries = table.summaries();
    let counts = summaries
        .iter()
        .map(|summary| (summary.workspace.as_str(), summary.count));
    let expected = [("a", 2), ("b", 1), (OVERFLOW_SERIES, 2)];
    assert!(counts.eq(expected), "{summaries:?}");
}
