//! Decisions on routing, admission, retries and claims.

mod claim;

pub use claim::{
    AnswerView, BatchId, BatchOutcome, BatchReport, BatchSettings, CallEnd, ClaimAnswer,
    ClaimBatch, ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimPhase, ClaimRecord, ClaimRefusal,
    ClaimRequest, ClaimRowError, ClaimSettings, ClaimTable, ClaimTime, ClaimVerdict, ClaimWrite,
    ReadOutcome, StoredClaim, WriteOutcome, decode_claim, encode_claim,
};
