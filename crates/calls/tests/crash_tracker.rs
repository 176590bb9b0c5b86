//! Detection of queries of death by the crash tracker.

use agatedeck_calls::{
    CrashSettings, CrashTracker, Fingerprint, InFlightTable, MergeResult, RequestView,
    TargetCrashReport,
};
use agatedeck_clock::Instant;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn fingerprint_of(path: &str, query: &str, body: &[u8]) -> Fingerprint {
    Fingerprint::from_request(&RequestView {
        caller: "catalogue",
        host: "orders.example",
        method: "POST",
        path,
        query,
        body,
    })
}

fn fingerprint(path: &str) -> Fingerprint {
    fingerprint_of(path, "", b"k")
}

fn crash_report(path: &str, node: &str, crash: u64) -> TargetCrashReport {
    TargetCrashReport {
        fingerprint: fingerprint(path),
        service: "orders".to_owned(),
        node: node.to_owned(),
        incarnation: 1,
        crash,
        remaining_ms: 600_000,
    }
}

fn tracker() -> CrashTracker {
    CrashTracker::new(CrashSettings::default())
}

/// Guards against a request that keeps crashing targets, and against one that is refused forever.
#[test]
fn refuses_after_three_crashes_for_ten_minutes() {
    let (mut tracker, crashing) = (tracker(), fingerprint("/bad"));
    for (minute, node) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(tracker.refused_until(crashing, Instant::default()), None);
        let now = Instant::from_millis(minute as u64 * 60_000);
        let result = tracker.merge(&crash_report("/bad", node, 1), now);
        assert_eq!(result, MergeResult::Added);
    }
    let now = Instant::from_millis(120_000);
    // When the first of the three reports expires, the count falls below the threshold.
    let until = Instant::from_millis(600_000);
    assert_eq!(tracker.refused_until(crashing, now), Some(until));
    let listed = tracker.refused_requests(now);
    assert_eq!((listed[0].crashes, listed[0].expires_at), (3, until));
    assert_eq!(tracker.refused_until(crashing, until), None);
    tracker.remove_expired(Instant::from_millis(720_000));
    assert!(tracker.is_empty());
}

/// Guards against refusing innocent requests that were in flight together with a crashing one.
#[test]
fn answer_clears_reports_below_threshold() {
    let (mut tracker, now) = (tracker(), Instant::default());
    let (innocent, crashing) = (fingerprint("/innocent"), fingerprint("/bad"));
    for crash in 1..=3 {
        tracker.merge(&crash_report("/innocent", "a", crash), now);
        tracker.record_completion(innocent, now);
        tracker.merge(&crash_report("/bad", "a", crash), now);
    }
    // Duplicates of cleared reports must not be counted.
    for crash in 1..=3 {
        tracker.merge(&crash_report("/innocent", "a", crash), now);
    }
    tracker.record_completion(crashing, now);
    assert_eq!(tracker.refused_until(innocent, now), None);
    assert!(tracker.refused_until(crashing, now).is_some());
}

/// Guards against reporting requests that had already ended, and against reporting a crash twice.
#[test]
fn crash_reports_only_requests_in_flight() {
    let mut in_flight = InFlightTable::new("a", 4, "orders");
    for path in ["/one", "/two", "/two"] {
        in_flight.record_dispatch(fingerprint(path));
    }
    in_flight.record_end(fingerprint("/one"));
    in_flight.record_end(fingerprint("/two"));
    let reports = in_flight.record_crash(Instant::default(), 600_000);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].fingerprint, fingerprint("/two"));
    assert_eq!((reports[0].incarnation, reports[0].crash), (4, 1));
    assert!(
        in_flight
            .record_crash(Instant::default(), 600_000)
            .is_empty()
    );
    let decoded = TargetCrashReport::from_wire(&reports[0].to_wire());
    assert_eq!(decoded.as_ref(), Some(&reports[0]));
}

/// Guards against a crash that is not reported for a request whose sender had left, and against one that
/// is reported for a request that the target has survived.
#[test]
fn crash_reports_abandoned_requests_until_the_target_survives_them() {
    let mut in_flight = InFlightTable::new("a", 4, "orders");
    for (path, deadline_ms) in [("/survived", 2_000), ("/running", 3_000), ("/old", 2_600)] {
        in_flight.record_dispatch(fingerprint(path));
        in_flight.record_abandoned(fingerprint(path), Instant::from_millis(deadline_ms));
    }
    in_flight.record_alive(Instant::from_millis(2_500));
    let now = Instant::from_millis(17_700);
    assert!(in_flight.has_abandoned(now));
    let reports = in_flight.record_crash(now, 600_000);
    let reported: Vec<Fingerprint> = reports.iter().map(|report| report.fingerprint).collect();
    assert_eq!(reported, [fingerprint("/running")]);
    assert!(!in_flight.has_abandoned(now));
}

/// Guards against a flood of fingerprints that exhausts the memory or evicts a refused request.
#[test]
fn keeps_refused_requests_when_full() {
    let settings = CrashSettings {
        max_fingerprints: 4,
        ..CrashSettings::default()
    };
    let (mut tracker, now) = (CrashTracker::new(settings), Instant::default());
    for crash in 1..=3 {
        tracker.merge(&crash_report("/bad", "a", crash), now);
    }
    for number in 0..100 {
        tracker.merge(&crash_report(&format!("/{number}"), "a", 1), now);
    }
    assert_eq!(tracker.len(), 4);
    assert!(tracker.refused_until(fingerprint("/bad"), now).is_some());
}

/// Guards against a node that starts and learns of no crash, of expired ones only, or of so many that the
/// answer to its join grows without bound.
#[test]
fn lists_counted_reports_of_the_most_suspected_requests_first() {
    let settings = CrashSettings {
        max_listed_reports: 4,
        ..CrashSettings::default()
    };
    let (mut tracker, now) = (CrashTracker::new(settings), Instant::from_millis(5_000));
    for number in 0..8 {
        tracker.merge(
            &crash_report(&format!("/{number}"), "a", 1),
            Instant::default(),
        );
    }
    for crash in 1..=3 {
        tracker.merge(&crash_report("/bad", "a", crash), Instant::default());
        tracker.merge(&crash_report("/innocent", "a", crash), Instant::default());
        tracker.record_completion(fingerprint("/innocent"), Instant::default());
    }
    let listed = tracker.counted_reports(1, now);
    assert_eq!(listed.len(), 4);
    assert!(listed.iter().all(|report| report.remaining_ms == 595_000));
    let threshold = CrashSettings::default().crash_threshold;
    assert_eq!(tracker.counted_reports(threshold, now), listed[..3]);
    let mut started = CrashTracker::new(CrashSettings::default());
    for report in &listed {
        started.merge(report, now);
    }
    assert!(started.refused_until(fingerprint("/bad"), now).is_some());
    assert!(
        tracker
            .counted_reports(1, Instant::from_millis(600_000))
            .is_empty()
    );
}

/// Guards against equal fingerprints of requests whose parts differ only in where they are split.
#[test]
fn fingerprint_separates_request_parts() {
    assert_ne!(
        fingerprint_of("/a", "bc", b""),
        fingerprint_of("/ab", "c", b"")
    );
    assert_ne!(
        fingerprint_of("/a", "b", b"c"),
        fingerprint_of("/a", "", b"bc")
    );
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x00c4_a511),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against nodes that diverge because reports reach them in different order or twice.
    #[test]
    fn merge_is_independent_of_order_and_duplicates(
        report_keys in prop::collection::vec((0..3_u64, 0..3_u64, 1..3_u64), 0..24),
        order in any::<prop::sample::Index>(),
    ) {
        let reports: Vec<_> = report_keys
            .iter()
            .map(|(path, node, crash)| crash_report(&path.to_string(), &node.to_string(), *crash))
            .collect();
        let (mut in_order, mut reordered) = (tracker(), tracker());
        let now = Instant::default();
        for report in &reports {
            in_order.merge(report, now);
        }
        let split = if reports.is_empty() { 0 } else { order.index(reports.len()) };
        for report in reports[split..].iter().rev().chain(&reports) {
            reordered.merge(report, now);
        }
        prop_assert_eq!(in_order.refused_requests(now), reordered.refused_requests(now));
        let distinct: std::collections::BTreeSet<_> = report_keys.iter().collect();
        let crashing = (0..3).filter(|path| distinct.iter().filter(|key| key.0 == *path).count() >= 3);
        prop_assert_eq!(in_order.refused_requests(now).len(), crashing.count());
    }
}
