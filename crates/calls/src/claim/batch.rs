//! Batches the row writes of claims into transactions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::Display;

use super::row::ClaimRecord;

/// Limits of [`ClaimBatcher`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchSettings {
    /// Time that the first write of a batch waits for others, in milliseconds. It adds to the latency
    /// of each claimed call, so it stays below the round trip to a store in another region (12 ms).
    pub window_ms: u64,
    /// Maximum number of writes per transaction. A conflict of one write delays the others of its
    /// transaction by a second round trip, and is more likely the more writes there are.
    pub max_writes: usize,
    /// Maximum size of the encoded rows per transaction, in bytes. A larger row is sent alone.
    pub max_bytes: usize,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            window_ms: 5,
            max_writes: 64,
            max_bytes: 512 * 1024,
        }
    }
}

/// A conditional write of one claim row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if the row must not exist.
    pub revision: u64,
    /// New value of the row.
    pub record: ClaimRecord,
    /// Time by which the store must have answered.
    pub deadline: Instant,
}

/// Outcome of one conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and the row has this revision.
    Committed(u64),
    /// The row did not have the expected revision; nothing was written.
    Conflict,
    /// Nothing was written: the store was unreachable or reported that it did not run the request.
    Unreachable,
    /// The write may have taken effect or may still do so.
    Unanswered,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchOutcome<'a> {
    /// All writes took effect and the rows have this revision.
    Committed(u64),
    /// Nothing was written, because the conditions on these keys failed.
    Conflict(&'a [String]),
    /// Nothing was written: the store was unreachable or reported that it did not run the request.
    Unreachable,
    /// The writes may have taken effect or may still do so. Also used for an answer of the store that
    /// cannot be decoded.
    Unanswered,
}

/// Identifies a transaction of one [`ClaimBatcher`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BatchId(u64);

/// Writes to be sent as one transaction. Their keys are distinct.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimBatch {
    /// Identifier to pass to [`ClaimBatcher::complete`].
    pub id: BatchId,
    /// The writes.
    pub writes: Vec<ClaimWrite>,
    /// Latest deadline of the writes.
    pub deadline: Instant,
}

/// Outcomes of the writes of a completed transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchReport<T> {
    /// Outcome of each completed write, with the tag that it was queued with.
    pub outcomes: Vec<(T, WriteOutcome)>,
    /// The writes that failed only because of conflicts of others, to be sent again immediately.
    pub retry: Option<ClaimBatch>,
}

/// Collects writes for a few milliseconds and batches them into one transaction.
///
/// Invariant: no transaction contains two writes of the same row. Both conditions would hold, the
/// second write would replace the first, and both writers would consider the claim theirs.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    settings: BatchSettings,
    queue: VecDeque<QueuedWrite<T>>,
    sent: BTreeMap<BatchId, Vec<(T, ClaimWrite)>>,
    last_id: u64,
}

#[derive(Debug)]
struct QueuedWrite<T> {
    tag: T,
    write: ClaimWrite,
    size_bytes: usize,
    send_at: Instant,
}

impl<T: Copy> ClaimBatcher<T> {
    /// Creates a batcher without writes.
    pub fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            sent: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Queues a write. Its outcome is reported with `tag`.
    pub fn push(&mut self, tag: T, write: ClaimWrite, now: Instant) {
        let size_bytes = write.record.max_encoded_bytes() + write.key.len();
        let send_at = now.after(Duration::from_millis(self.settings.window_ms));
        self.queue.push_back(QueuedWrite {
            tag,
            write,
            size_bytes,
            send_at,
        });
    }

    /// When [`ClaimBatcher::take_due`] next returns a transaction; `None` while no write is queued.
    pub fn next_deadline(&self) -> Option<Instant> {
        let first = self.queue.front()?;
        let bytes: usize = self.queue.iter().map(|queued| queued.size_bytes).sum();
        let full = self.queue.len() >= self.settings.max_writes || bytes >= self.settings.max_bytes;
        // A full batch is sent without waiting for the end of its window.
        Some(if full {
            Instant::default()
        } else {
            first.send_at
        })
    }

    /// Takes the next transaction if its window has ended or it is full.
    pub fn take_due(&mut self, now: Instant) -> Option<ClaimBatch> {
        if !self.next_deadline()?.is_past(now) {
            return None;
        }
        let mut selected = Vec::new();
        let mut remaining = VecDeque::new();
        let mut keys = BTreeSet::new();
        let mut bytes = 0;
        for queued in self.queue.drain(..) {
            let fits = selected.is_empty()
                || (selected.len() < self.settings.max_writes
                    && bytes + queued.size_bytes <= self.settings.max_bytes);
            // `keys` includes skipped writes, so that later writes of the same key are not sent
            // before them.
            if keys.insert(queued.write.key.clone()) && fits {
                bytes += queued.size_bytes;
                selected.push((queued.tag, queued.write));
            } else {
                remaining.push_back(queued);
            }
        }
        self.queue = remaining;
        self.start_batch(selected)
    }

    /// Completes a transaction with its outcome and returns the outcomes of its writes.
    ///
    /// Returns no outcomes for a transaction that has been completed already.
    pub fn complete(&mut self, id: BatchId, outcome: BatchOutcome<'_>) -> BatchReport<T> {
        let writes = self.sent.remove(&id).unwrap_or_default();
        let same_for_all = |outcome: WriteOutcome| BatchReport {
            outcomes: writes.iter().map(|(tag, _)| (*tag, outcome)).collect(),
            retry: None,
        };
        match outcome {
            BatchOutcome::Committed(revision) => same_for_all(WriteOutcome::Committed(revision)),
            BatchOutcome::Unreachable => same_for_all(WriteOutcome::Unreachable),
            BatchOutcome::Unanswered => same_for_all(WriteOutcome::Unanswered),
            BatchOutcome::Conflict(conflicts) => {
                let is_conflict = |write: &ClaimWrite| conflicts.contains(&write.key);
                if !writes.iter().any(|(_, write)| is_conflict(write)) {
                    // Retrying after a conflict that names none of the writes could repeat without
                    // end.
                    return same_for_all(WriteOutcome::Unreachable);
                }
                let (conflicting, others): (Vec<_>, Vec<_>) = writes
                    .into_iter()
                    .partition(|(_, write)| is_conflict(write));
                let outcomes = conflicting
                    .into_iter()
                    .map(|(tag, _)| (tag, WriteOutcome::Conflict))
                    .collect();
                BatchReport {
                    outcomes,
                    retry: self.start_batch(others),
                }
            }
        }
    }

    fn start_batch(&mut self, writes: Vec<(T, ClaimWrite)>) -> Option<ClaimBatch> {
        let deadline = writes.iter().map(|(_, write)| write.deadline).max()?;
        self.last_id += 1;
        let id = BatchId(self.last_id);
        let batch = ClaimBatch {
            id,
            writes: writes.iter().map(|(_, write)| write.clone()).collect(),
            deadline,
        };
        self.sent.insert(id, writes);
        Some(batch)
    }
}
