//! Requests that were held up on their way.

use agatedeck_calls::DelayDetector;
use agatedeck_clock::Instant;

const fn millis(millis: u64) -> u64 {
    millis * 1_000
}

/// Guards against running a request whose caller has left while its packets were lost: the request
/// takes far longer than those before it.
#[test]
fn request_that_took_far_longer_than_others_is_held_up() {
    let mut table = DelayDetector::default();
    // The clock of the sender is 5 s ahead.
    for second in 0..5 {
        let now = Instant::from_millis(second * 1_000 + 12);
        assert!(!table.record_request("a", millis(5_000 + second * 1_000), now));
    }
    let now = Instant::from_millis(5_000 + 980);
    assert!(table.record_request("a", millis(10_000), now));
    assert!(!table.record_request("b", millis(10_000), now));
}

/// Guards against a node that was frozen, or has started again, and whose requests count as held up
/// ever after.
#[test]
fn clock_that_falls_behind_is_learnt_anew() {
    let mut table = DelayDetector::default();
    table.record_request("a", millis(1_000), Instant::from_millis(1_000));
    let held_up = |table: &mut DelayDetector, at: u64| {
        table.record_request("a", millis(at - 900), Instant::from_millis(at))
    };
    assert!(held_up(&mut table, 2_000));
    for at in [4_000, 6_500, 7_000, 9_000] {
        held_up(&mut table, at);
    }
    assert!(!held_up(&mut table, 9_100));
}
