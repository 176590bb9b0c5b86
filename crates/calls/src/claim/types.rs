//! Inputs and outputs of the claim table.

use agatedeck_clock::Instant;
use derive_more::Display;
use slotmap::new_key_type;

use super::batch::ClaimWrite;
use super::row::{ClaimAnswer, ClaimRecord};
#[cfg(doc)]
use super::table::ClaimTable;

new_key_type! {
    /// Identifies a claim attempt in a [`ClaimTable`].
    pub struct ClaimId;
}

/// Limits of [`ClaimTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time within which a claim is granted or refused, in milliseconds, unless the deadline of the
    /// call is earlier.
    pub confirm_timeout_ms: u64,
    /// Time from the deadline of the call to the end of its lease, in milliseconds. Covers the
    /// assumed clock skew between hosts (1 s) and the first retries of storing the answer.
    pub lease_margin_ms: u64,
    /// Timeout of a background write or read, in milliseconds.
    pub background_timeout_ms: u64,
    /// Maximum number of reads of a row before a contended claim is refused.
    pub max_reads: u32,
    /// Maximum number of retries of background writes and reads.
    pub max_retries: u32,
    /// Upper bound of the backoff before the first retry, in milliseconds. Doubled for each further
    /// retry.
    pub backoff_ms: u64,
    /// Largest answer body that is stored, in bytes. Of an answer with a larger body, the status, the
    /// content type and the fact that the body was omitted are stored.
    pub max_body_bytes: usize,
    /// Maximum total size of answer bodies waiting to be stored, in bytes. Further bodies are not
    /// stored.
    pub max_pending_bytes: usize,
    /// Maximum number of claim attempts in the table, including those that only have background work
    /// left.
    pub max_claims: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            confirm_timeout_ms: 1_000,
            lease_margin_ms: 10_000,
            background_timeout_ms: 2_000,
            max_reads: 4,
            max_retries: 6,
            backoff_ms: 200,
            max_body_bytes: 64 * 1024,
            max_pending_bytes: 16 * 1024 * 1024,
            max_claims: 4_096,
        }
    }
}

/// Current time on both clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimTime {
    /// Monotonic clock of the process.
    pub now: Instant,
    /// Wall clock of the host, in milliseconds since the Unix epoch. Used for leases only.
    pub unix_ms: u64,
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Idempotency key chosen by the caller.
    pub key: &'a str,
    /// Digest of the request body.
    pub digest: &'a [u8],
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Why a claim was refused, so that its call was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The store did not confirm the claim in time.
    #[display("the store did not confirm the claim in time")]
    StoreUnavailable,
    /// The key was used before with a different request body.
    #[display("the idempotency key was used with another request body")]
    KeyReused,
    /// The deadline of the call or its lease passed before dispatch.
    #[display("the deadline passed before dispatch")]
    DeadlinePassed,
    /// The row was changed repeatedly by other claims on the same key.
    #[display("other claims on the same key are being made")]
    Contended,
    /// The table holds [`ClaimSettings::max_claims`] claim attempts.
    #[display("too many claims are in progress on this node")]
    TooManyClaims,
    /// The key is empty, too long or has control characters, or the service name is empty or has a
    /// slash.
    #[display("the idempotency key or the service name is not valid")]
    InvalidKey,
}

/// Result of a claim attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The attempt holds the claim. [`ClaimTable::start_call`] must be called before the call is
    /// dispatched, and [`ClaimTable::finish_call`] when it has ended.
    Granted,
    /// The call ran earlier and this is its stored answer.
    Stored(ClaimAnswer),
    /// Another attempt holds the claim and may be running. Reported as outcome `unknown`.
    InProgress,
    /// Another attempt holds the claim and its lease expired without an answer. Reported as outcome
    /// `unknown`.
    Unknown,
    /// This attempt was not dispatched and will not be. Reported as outcome `not-run`.
    Refused(ClaimRefusal),
}

/// Identifies one store operation of a claim attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimOp {
    pub(super) id: ClaimId,
    pub(super) number: u64,
}

/// Output of [`ClaimTable`]: an action to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEffect {
    /// Write a row and pass the outcome to [`ClaimTable::record_write`].
    Write {
        /// Identifies the operation.
        op: ClaimOp,
        /// The write.
        write: ClaimWrite,
    },
    /// Read a row and pass the outcome to [`ClaimTable::record_read`].
    Read {
        /// Identifies the operation.
        op: ClaimOp,
        /// Key of the row.
        key: String,
        /// Time by which the store must have answered.
        deadline: Instant,
    },
    /// Report the verdict to the caller that began the claim. Returned once per attempt, except that
    /// a granted call that is not started by its deadline is refused afterwards.
    ReportVerdict {
        /// The claim attempt.
        id: ClaimId,
        /// The verdict.
        verdict: ClaimVerdict,
    },
}

/// A row as read from the store.
#[derive(Clone, Copy, Debug)]
pub struct StoredClaim<'a> {
    /// Revision of the row.
    pub revision: u64,
    /// The record; `None` if the value cannot be decoded.
    pub record: Option<&'a ClaimRecord>,
}

/// Outcome of a read of a row.
#[derive(Clone, Copy, Debug)]
pub enum ReadOutcome<'a> {
    /// The row exists.
    Found(StoredClaim<'a>),
    /// The row does not exist.
    Absent,
    /// The store did not answer in time.
    Failed,
}

/// Answer of the target, to be stored.
#[derive(Clone, Copy, Debug)]
pub struct AnswerView<'a> {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if there is none.
    pub content_type: &'a str,
    /// Body; `None` if it was streamed without buffering because of its size.
    pub body: Option<&'a [u8]>,
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug)]
pub enum CallEnd<'a> {
    /// The caller received this answer.
    Answered(AnswerView<'a>),
    /// No attempt can have run at a target.
    NotRun,
    /// An attempt may have run, and no complete answer was received.
    Unknown,
}
