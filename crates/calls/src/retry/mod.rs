//! Whether a call is tried again.

mod budget;
mod comeback;
mod decide;
mod outcome;
mod returns;

pub use budget::RetryBudget;
pub use comeback::{ReturnQuestion, ReturnSettings, return_after};
pub use decide::{
    RetryDecision, RetryQuestion, RetryRefusal, RetrySettings, decide_retry, owns_retries,
};
pub use outcome::{CallOutcome, OutcomeError};
pub use returns::{ReturnTable, UnansweredCall};
