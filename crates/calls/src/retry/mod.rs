//! Retries: the retry decision and its token bucket, the `Retry-After` time of refused calls, and
//! the detection of client retries.

mod budget;
mod client_retry;
mod decide;
mod outcome;
mod retry_after;

pub use budget::RetryBudget;
pub use client_retry::{ClientRetryTable, UnansweredCall};
pub use decide::{
    RetryContext, RetryDecision, RetryRefusal, RetrySettings, decide_retry, owns_retries,
};
pub use outcome::{CallOutcome, OutcomeError};
pub use retry_after::{RefusedCall, RetryAfterSettings, draw_retry_after};
