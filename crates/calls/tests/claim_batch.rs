//! Batching of claim writes.

use agatedeck_calls::{
    BatchOutcome, BatchSettings, ClaimBatcher, ClaimPhase, ClaimRecord, ClaimWrite, WriteOutcome,
};
use agatedeck_clock::Instant;

fn write(key: &str) -> ClaimWrite {
    ClaimWrite {
        key: key.to_owned(),
        revision: 0,
        record: ClaimRecord {
            token: "t".to_owned(),
            node: "n".to_owned(),
            digest: Vec::new(),
            lease_unix_ms: 0,
            phase: ClaimPhase::InProgress,
        },
        deadline: Instant::from_millis(1_000),
    }
}

fn batcher(keys: &[&str], settings: BatchSettings) -> ClaimBatcher<usize> {
    let mut batcher = ClaimBatcher::new(settings);
    for (tag, key) in keys.iter().enumerate() {
        batcher.push(tag, write(key), Instant::from_millis(10));
    }
    batcher
}

/// Guards against one transaction per claim, a rate that the store could not sustain.
#[test]
fn batches_writes_within_window() {
    let mut batcher = batcher(&["a", "b"], BatchSettings::default());
    assert!(batcher.take_due(Instant::from_millis(14)).is_none());
    assert_eq!(batcher.next_deadline(), Some(Instant::from_millis(15)));
    let batch = batcher.take_due(Instant::from_millis(15)).unwrap();
    assert_eq!(batch.writes.len(), 2);
    let report = batcher.complete(batch.id, BatchOutcome::Committed(7));
    let committed = WriteOutcome::Committed(7);
    assert_eq!(report.outcomes, [(0, committed), (1, committed)]);
    assert!(report.retry.is_none());
}

/// Guards against two claims of one key that are both granted by one transaction, which would run the
/// call twice.
#[test]
fn never_batches_two_writes_of_one_row() {
    let mut batcher = batcher(&["a", "a", "b"], BatchSettings::default());
    let now = Instant::from_millis(20);
    let keys = |batch: agatedeck_calls::ClaimBatch| -> Vec<String> {
        batch.writes.into_iter().map(|write| write.key).collect()
    };
    assert_eq!(batcher.take_due(now).map(keys).unwrap(), ["a", "b"]);
    assert_eq!(batcher.take_due(now).map(keys).unwrap(), ["a"]);
}

/// Guards against one conflicting claim that makes every claim of its batch fail.
#[test]
fn retries_other_writes_of_conflicting_transaction() {
    let mut batcher = batcher(&["a", "b", "c"], BatchSettings::default());
    let batch = batcher.take_due(Instant::from_millis(15)).unwrap();
    let report = batcher.complete(batch.id, BatchOutcome::Conflict(&["b".to_owned()]));
    assert_eq!(report.outcomes, [(1, WriteOutcome::Conflict)]);
    let retry = report.retry.unwrap();
    let report = batcher.complete(retry.id, BatchOutcome::Unanswered);
    let unanswered = WriteOutcome::Unanswered;
    assert_eq!(report.outcomes, [(0, unanswered), (2, unanswered)]);
}

/// Guards against endless retries when the store reports a conflict on none of the transaction's keys.
#[test]
fn conflict_that_names_no_write_is_not_retried() {
    let mut batcher = batcher(&["a"], BatchSettings::default());
    let batch = batcher.take_due(Instant::from_millis(15)).unwrap();
    let report = batcher.complete(batch.id, BatchOutcome::Conflict(&[]));
    assert_eq!(report.outcomes, [(0, WriteOutcome::Unreachable)]);
    assert!(report.retry.is_none());
}

/// Guards against transactions that grow with the load, and against a row that is never sent
/// because it alone exceeds the limit.
#[yare::parameterized(
    writes = { BatchSettings { max_writes: 2, ..BatchSettings::default() }, 2 },
    bytes = { BatchSettings { max_bytes: 1, ..BatchSettings::default() }, 1 },
)]
fn transaction_size_is_bounded(settings: BatchSettings, expected: usize) {
    let mut batcher = batcher(&["a", "b", "c", "d"], settings);
    let batch = batcher.take_due(Instant::from_millis(10)).unwrap();
    assert_eq!(batch.writes.len(), expected);
}
