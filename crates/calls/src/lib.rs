//! Decisions on load balancing, admission, retries and claims.
//!
//! The crate uses no sockets, tasks or clocks: the caller passes in the time, a random number
//! generator and the events, and carries out the returned effects. Messages are encoded in other
//! crates, so that any front end can use these decisions.

mod admission;
mod call;
mod claim;
mod connection_limits;
mod crash;
mod histogram;
mod quota;
mod registration;
mod retry;
mod rollout;
mod routing;

pub use admission::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, DelayDetector,
    ROUTE_PRIORITIES, RefusalReason, call_priority,
};
pub use call::{AttemptEvent, CallEffect, CallEvent, CallMachine, CallOptions, CallState};
pub use claim::{
    AnswerView, BatchId, BatchOutcome, BatchReport, BatchSettings, CallEnd, ClaimAnswer,
    ClaimBatch, ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimPhase, ClaimRecord, ClaimRefusal,
    ClaimRequest, ClaimRowError, ClaimSettings, ClaimTable, ClaimTime, ClaimVerdict, ClaimWrite,
    ReadOutcome, StoredClaim, WriteOutcome, decode_claim, encode_claim,
};
pub use connection_limits::{
    ConnectionPhase, ConnectionView, StallLimits, WRITING_FACTOR, connection_to_replace,
    connections_to_close,
};
pub use crash::{
    CrashSettings, CrashTracker, Fingerprint, InFlightTable, MergeResult, RefusedRequest,
    RequestView, TargetCrashReport,
};
pub use histogram::{LatencySettings, LatencySummary, LatencyTable, OVERFLOW_SERIES};
pub use quota::{
    NONOWNER_SHARE, OwnerChanges, OwnerRequest, OwnerRole, PeerContacts, QuotaHolder, QuotaLimit,
    QuotaOwner, QuotaTable, QuotaToken, TokenAnswer, TokenDemand, TokenGrant,
};
pub use registration::{
    HealthCheckTicket, HealthReport, RegistrationEffect, RegistrationError, RegistrationSettings,
    RegistrationState, TargetAnnouncement, TargetReadiness, TargetRegistration,
};
pub use retry::{
    CallOutcome, ClientRetryTable, OutcomeError, RefusedCall, RetryAfterSettings, RetryBudget,
    RetryContext, RetryDecision, RetryRefusal, RetrySettings, UnansweredCall, decide_retry,
    draw_retry_after, owns_retries,
};
pub use rollout::{
    ExposureSettings, FaultLimits, ResultTable, RolloutDriver, RolloutFault, RolloutMachine,
    RolloutNotice, RolloutOrder, RolloutRequest, RolloutStage, RolloutStatus, RolloutTable,
    SplitMode, StoredRollout, TargetResults, VersionSide, VersionSplit, find_fault,
};
pub use routing::{
    AttemptResult, BalancePolicy, BalancerSettings, Candidate, LoadBalancer, LoadReport, PickError,
    PickRequest, PickedTarget, RoundRobin, SubsetSettings, TargetKey, TargetState, TargetStatus,
    TargetSummary, TargetView, TwoChoices, choose_subset,
};
