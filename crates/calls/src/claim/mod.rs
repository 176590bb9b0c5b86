//! Claims: idempotency records that make a call run at most once.
//!
//! A claim is one row `claim/<service>/<key>` of the platform's table. Before the call is dispatched,
//! the row is inserted on condition that it does not exist; when the call has ended, the row is
//! updated with the answer. The row is the only source of truth: the node that writes it and the
//! batcher that sends the write hold no authoritative state, and a claim is never transferred to
//! another claimant.
//!
//! **Resent calls.** A call that is resent under the same key receives the stored answer or, if there
//! is none, the information that the call is in progress or, once the lease has expired, that its
//! outcome is unknown. An answer whose body is larger than [`ClaimSettings::max_body_bytes`] is stored
//! without its body. A claim attempt that is not confirmed in time is refused as `not-run`, and its row
//! is released in the background.
//!
//! **Clocks.** Leases are Unix times in milliseconds, because monotonic clocks of different hosts are
//! not comparable. The clocks of hosts are assumed to differ by at most 1 s. A larger difference only
//! changes when the reply to a resent call switches from `in progress` to `unknown`. No decision to
//! dispatch a call depends on the lease of another attempt, so clock skew cannot make a call run
//! twice.
//!
//! **Retention.** Rows are never deleted here. A clean-up by an operator must keep a row until long
//! after its lease, since an outstanding claim write could take effect once the row is deleted.

mod batch;
mod chart;
mod entry;
mod row;
mod table;
mod types;

pub use batch::{
    BatchId, BatchOutcome, BatchReport, BatchSettings, ClaimBatch, ClaimBatcher, ClaimWrite,
    WriteOutcome,
};
pub use row::{ClaimAnswer, ClaimPhase, ClaimRecord, ClaimRowError, decode_claim, encode_claim};
pub use table::ClaimTable;
pub use types::{
    AnswerView, CallEnd, ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings,
    ClaimTime, ClaimVerdict, ReadOutcome, StoredClaim,
};
