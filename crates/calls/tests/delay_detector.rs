//! Detection of requests that were delayed in transit.

use agatedeck_calls::DelayDetector;
use agatedeck_clock::Instant;

const fn as_micros(millis: u64) -> u64 {
    millis * 1_000
}

/// Guards against running a request whose caller has closed the connection while its packets were
/// lost: the transit time is much longer than that of earlier requests.
#[test]
fn request_with_a_much_longer_transit_time_is_delayed() {
    let mut detector = DelayDetector::default();
    // The clock of the sender is 5 s ahead.
    for second in 0..5 {
        let now = Instant::from_millis(second * 1_000 + 12);
        assert!(!detector.record_request("a", as_micros(5_000 + second * 1_000), now));
    }
    let now = Instant::from_millis(5_000 + 980);
    assert!(detector.record_request("a", as_micros(10_000), now));
    assert!(!detector.record_request("b", as_micros(10_000), now));
}

/// Guards against treating all further requests of a node as delayed after it was paused or
/// restarted.
#[test]
fn baseline_follows_a_clock_that_falls_behind() {
    let mut detector = DelayDetector::default();
    detector.record_request("a", as_micros(1_000), Instant::from_millis(1_000));
    let is_delayed = |detector: &mut DelayDetector, at_ms: u64| {
        detector.record_request("a", as_micros(at_ms - 900), Instant::from_millis(at_ms))
    };
    assert!(is_delayed(&mut detector, 2_000));
    for at_ms in [4_000, 6_500, 7_000, 9_000] {
        is_delayed(&mut detector, at_ms);
    }
    assert!(!is_delayed(&mut detector, 9_100));
}
