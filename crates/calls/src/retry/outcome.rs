//! Outcome of a call as reported to the caller.

use derive_more::{Display, Error};

/// Outcome of a call as reported to the caller. [`Display`](std::fmt::Display) and
/// [`FromStr`](std::str::FromStr) use the value of the header `agatedeck-outcome`.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{}", self.header_text())]
pub enum CallOutcome {
    /// The target answered and the answer is complete.
    Answered,
    /// The request did not run: it reached no target, or each target that it reached reported that it
    /// did not run it.
    NotRun,
    /// The request may have run, and no complete answer was received.
    Unknown,
}

/// Error for a value of the header `agatedeck-outcome` that is not an outcome.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("unknown call outcome; expected `answered`, `not-run` or `unknown`")]
pub struct OutcomeError;

impl std::str::FromStr for CallOutcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        [Self::Answered, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.header_text() == text)
            .ok_or(OutcomeError)
    }
}

impl CallOutcome {
    /// Value of the header `agatedeck-outcome`.
    pub const fn header_text(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
