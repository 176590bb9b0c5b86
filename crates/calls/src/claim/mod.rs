//! Calls that run at most once.
//!
//! A claim is one row `claim/<service>/<key>` of the platform's table. It is written on condition
//! that no such row exists before the call is dispatched, and written again with the answer when
//! the call has ended. The row decides; neither the node that writes it nor the batcher that
//! carries the write has any authority of its own, and a claim is never passed to another claimant.
//!
//! **What a resent call is told.** The stored answer, that the call is in progress, or, once the
//! lease has passed without an answer, that its outcome is unknown. An answer whose body is larger
//! than [`ClaimSettings::max_body_bytes`] is stored without its body. An attempt whose claim is not
//! confirmed in time is refused as `not-run`; its row is released in the background.
//!
//! **Clocks.** Leases are Unix milliseconds, because hosts have different monotonic clocks. The
//! clocks of hosts are assumed to differ by at most 1 s. A larger difference only moves the moment
//! from which a resent call is told `unknown` in place of `in progress`: no decision to dispatch a
//! call depends on the lease of another attempt, so it cannot make a call run twice.
//!
//! **Rows are kept.** Nothing here deletes a row. An operator's clean-up must leave a row alone
//! until long after its lease, since a claim write that is still under way could take effect on a
//! deleted row.

mod batch;
mod chart;
mod row;
mod table;

pub use batch::{
    BatchId, BatchOutcome, BatchReport, BatchSettings, ClaimBatch, ClaimBatcher, ClaimWrite,
    WriteOutcome,
};
pub use row::{ClaimAnswer, ClaimPhase, ClaimRecord, ClaimRowError, decode_claim, encode_claim};
pub use table::{
    AnswerView, CallEnd, ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings,
    ClaimTable, ClaimTime, ClaimVerdict, ReadOutcome, StoredClaim,
};
