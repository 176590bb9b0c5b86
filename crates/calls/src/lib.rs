//! Decisions on routing, admission, retries and claims.
//!
//! No sockets, tasks or clocks: the caller passes in the time, a random number generator and what
//! happened, and carries out the effects that are returned. Encoding of messages is elsewhere, so
//! that any front end can use these decisions.

mod admission;
mod call;
mod retry;
mod routing;

pub use admission::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, RefusalReason,
};
pub use call::{AttemptEvent, CallContext, CallEffect, CallEvent, CallLife, CallState, CallTerms};
pub use retry::{
    CallOutcome, OutcomeError, RetryBudget, RetryDecision, RetryQuestion, RetryRefusal,
    RetrySettings, decide_retry, owns_retries,
};
pub use routing::{
    AttemptResult, BalancePolicy, BoardSettings, Candidate, NodePlace, PickError, PickRequest,
    PickedTarget, RoundRobin, SubsetSettings, TargetBoard, TargetKey, TargetState, TargetStatus,
    TargetSummary, TargetView, TwoChoices, choose_subset,
};
