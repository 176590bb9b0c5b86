//! Decisions on routing, admission, retries and claims.

mod claim;
mod crash;
mod histogram;

pub use claim::{
    AnswerView, BatchId, BatchOutcome, BatchReport, BatchSettings, CallEnd, ClaimAnswer,
    ClaimBatch, ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimPhase, ClaimRecord, ClaimRefusal,
    ClaimRequest, ClaimRowError, ClaimSettings, ClaimTable, ClaimTime, ClaimVerdict, ClaimWrite,
    ReadOutcome, StoredClaim, WriteOutcome, decode_claim, encode_claim,
};
pub use crash::{
    CrashLedger, CrashNotice, CrashSettings, Fingerprint, FlightTable, MergeResult, RefusedRequest,
    RequestIdentity, RequestView,
};
pub use histogram::{LatencySettings, LatencySummary, LatencyTable, OVERFLOW_SERIES};
