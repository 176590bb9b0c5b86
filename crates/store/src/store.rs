//! Interface to the platform's table service and object store.

use std::fmt::Debug;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use tokio::time::Instant;

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: Vec<u8>,
    /// Number of the transaction that last wrote the row; never 0.
    pub revision: u64,
}

/// A precondition of a transaction: the expected revision of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Expected revision; 0 if the row must not exist.
    pub revision: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// A compare-and-set over several rows: all writes take effect atomically if all conditions hold,
/// otherwise none does.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTransaction {
    /// Conditions, checked atomically with the writes.
    pub conditions: Vec<RowCondition>,
    /// Writes to apply if all conditions hold.
    pub writes: Vec<RowWrite>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// The writes took effect; the written rows have this revision.
    Committed(u64),
    /// At least one condition did not hold and nothing was written. Holds the keys whose condition
    /// failed.
    Conflict(Vec<String>),
}

/// Reason for which a request to the platform has no usable response.
#[derive(Clone, Debug, Display, Error)]
pub enum StoreError {
    /// The request did not reach the platform, or the platform reported that it did not run it.
    #[display("the platform cannot be reached: {_0}")]
    #[error(ignore)]
    Unreachable(String),
    /// No response arrived, but the request may have run. A write may have taken effect.
    #[display("the platform did not answer: {_0}")]
    #[error(ignore)]
    Unanswered(String),
    /// The platform rejected the request or sent a response that the protocol does not define.
    #[display("the platform's answer is not usable: {_0}")]
    #[error(ignore)]
    InvalidResponse(String),
}

/// The platform's transactional table service and object store.
///
/// Every request ends at its deadline at the latest. A request that fails with
/// [`StoreError::Unanswered`] may have taken effect.
pub trait PlatformStore: Debug + Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn read_row<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<StoredRow>, StoreError>>;

    /// Reads up to `limit` rows in key order, from those whose keys start with `prefix` and are
    /// greater than `after`.
    fn scan_rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Vec<StoredRow>, StoreError>>;

    /// Commits a transaction if its conditions hold.
    fn transact<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Reads an object; `None` if it does not exist.
    fn read_object<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, StoreError>>;

    /// Writes an object. Objects are immutable, so writing one again is harmless.
    fn write_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
}
