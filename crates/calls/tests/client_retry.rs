//! Recognition of client retries.

use agatedeck_calls::{ClientRetryTable, Fingerprint, UnansweredCall};
use agatedeck_clock::Instant;

fn fingerprint(number: u16) -> Fingerprint {
    let mut bytes = [0; 32];
    bytes[..2].copy_from_slice(&number.to_le_bytes());
    Fingerprint::from_slice(&bytes).expect("32 bytes")
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn unanswered(number: u16, arrived_at_ms: u64) -> UnansweredCall {
    UnansweredCall {
        fingerprint: fingerprint(number),
        arrived_at: at(arrived_at_ms),
        deadline: at(arrived_at_ms + 1_000),
    }
}

/// Guards against measuring the useful lifetime of a repeated request from its latest attempt.
#[test]
fn client_retry_counts_from_first_attempt() {
    let mut table = ClientRetryTable::default();
    table.insert(unanswered(1, 100), at(150));
    assert_eq!(table.take_arrival(fingerprint(2), at(400)), None);
    assert_eq!(table.take_arrival(fingerprint(1), at(400)), Some(at(100)));
}

/// Guards against mistaking new callers for one that was refused because they send the same request.
#[test]
fn each_unanswered_call_matches_one_retry() {
    let mut table = ClientRetryTable::default();
    table.insert(unanswered(1, 100), at(150));
    table.insert(unanswered(1, 120), at(150));
    let mut take = || table.take_arrival(fingerprint(1), at(400));
    assert_eq!(
        (take(), take(), take()),
        (Some(at(100)), Some(at(120)), None)
    );
    table.insert(unanswered(1, 500), at(510));
    assert_eq!(table.take_arrival(fingerprint(1), at(1_501)), None);
}

/// Guards against a table that grows without bound.
#[test]
fn oldest_calls_are_evicted() {
    let mut table = ClientRetryTable::default();
    for number in 0..5_000 {
        table.insert(unanswered(number, 100), at(150));
    }
    assert_eq!(table.take_arrival(fingerprint(0), at(400)), None);
    assert_eq!(
        table.take_arrival(fingerprint(4_999), at(400)),
        Some(at(100))
    );
}
