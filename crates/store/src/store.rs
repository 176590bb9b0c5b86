//! What the system needs of the platform.

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

/// A condition that must hold for a transaction to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if there must be no such row.
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

/// Writes that take effect together, or not at all, if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTransaction {
    /// Conditions, checked in the same instant as the writes.
    pub conditions: Vec<RowCondition>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// The writes took effect; the rows written have this revision.
    Committed(u64),
    /// A condition did not hold and nothing was written; the keys whose condition failed.
    Conflict(Vec<String>),
}

/// Why a request to the platform has no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum StoreError {
    /// The request did not reach the platform, or the platform said that it did not run it.
    #[display("the platform cannot be reached: {_0}")]
    #[error(ignore)]
    Unreachable(String),
    /// The request may have run, but no answer came. A write may have taken effect.
    #[display("the platform did not answer: {_0}")]
    #[error(ignore)]
    Unanswered(String),
    /// The platform refused the request or sent an answer of an unknown form.
    #[display("the platform's answer is not usable: {_0}")]
    #[error(ignore)]
    InvalidResponse(String),
}

/// The platform's transactional table service and object store.
///
/// Every request ends at its deadline at the latest. A request that fails with
/// [`StoreError::Unanswered`] may have taken effect.
pub trait PlatformStore: Debug + Send + Sync {
    /// Reads one row.
    fn read_row<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<StoredRow>, StoreError>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`, in the order
    /// of their keys.
    fn scan_rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Vec<StoredRow>, StoreError>>;

    /// Writes a transaction if its conditions hold.
    fn transact<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Reads an object.
    fn read_object<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, StoreError>>;

    /// Writes an object. Objects are written once and never change, so a repeated write is harmless.
    fn write_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
}
