//! Decisions on routing, admission, retries and claims.
//!
//! No sockets, tasks or clocks: the caller passes in the time, a random number generator and what
//! happened, and carries out the effects that are returned. Encoding of messages is elsewhere, so
//! that any front end can use these decisions.

mod admission;
mod announce;
mod call;
mod claim;
mod crash;
mod histogram;
mod retry;
mod routing;

pub use admission::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, RefusalReason,
    TransitTable,
};
pub use announce::{
    AnnouncedState, NoticeError, NoticeState, RegisterEffect, RegisterSettings, TargetNotice,
    TargetRegister,
};
pub use call::{AttemptEvent, CallEffect, CallEvent, CallMachine, CallOptions, CallState};
pub use claim::{
    AnswerView, BatchId, BatchOutcome, BatchReport, BatchSettings, CallEnd, ClaimAnswer,
    ClaimBatch, ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimPhase, ClaimRecord, ClaimRefusal,
    ClaimRequest, ClaimRowError, ClaimSettings, ClaimTable, ClaimTime, ClaimVerdict, ClaimWrite,
    ReadOutcome, StoredClaim, WriteOutcome, decode_claim, encode_claim,
};
pub use crash::{
    CrashNotice, CrashSettings, CrashTracker, Fingerprint, InFlightTable, MergeResult,
    RefusedRequest, RequestIdentity, RequestView,
};
pub use histogram::{LatencySettings, LatencySummary, LatencyTable, OVERFLOW_SERIES};
pub use retry::{
    CallOutcome, ClientRetryTable, OutcomeError, RefusedCall, RetryAfterSettings, RetryBudget,
    RetryContext, RetryDecision, RetryRefusal, RetrySettings, UnansweredCall, decide_retry,
    draw_retry_after, owns_retries,
};
pub use routing::{
    AttemptResult, BalancePolicy, BoardSettings, Candidate, NodePlace, PickError, PickRequest,
    PickedTarget, RoundRobin, SubsetSettings, TargetBoard, TargetKey, TargetState, TargetStatus,
    TargetSummary, TargetView, TwoChoices, choose_subset,
};
