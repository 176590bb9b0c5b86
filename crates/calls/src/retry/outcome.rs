//! What a caller is told about its call.

use derive_more::{Display, Error};

/// What a caller is told about its call. [`Display`](std::fmt::Display) and
/// [`FromStr`](std::str::FromStr) use the text of the header `agatedeck-outcome`.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{}", self.header_text())]
pub enum CallOutcome {
    /// The target answered; the answer is complete.
    Answered,
    /// No byte of the request reached a target.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A header text that names no outcome.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the outcome is none of `answered`, `not-run` and `unknown`")]
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
    /// Text of the header `agatedeck-outcome`.
    pub const fn header_text(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
