//! States, events and actions of `charts/claim.toml`.

use agatedeck_chart::{ChartError, TransitionTable};
use derive_more::FromStr;

const CLAIM_CHART_TOML: &str = include_str!("../../charts/claim.toml");

/// State of a claim attempt.
#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ClaimState {
    Writing,
    Reading,
    Held,
    Running,
    Completing,
    Releasing,
    Abandoned,
    Closed,
}

/// Event of a claim attempt.
#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ClaimEvent {
    Written,
    Conflict,
    Failed,
    InDoubt,
    FoundOwn,
    FoundFree,
    FoundTaken,
    ReadFailed,
    Expired,
    Started,
    Answered,
    NotRun,
    Unknown,
    Retry,
    RetriesExhausted,
}

/// Action of the table on a transition.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ClaimAction {
    /// Write the claim, on condition that the row has the revision last read.
    WriteClaim,
    /// Read the row.
    ReadRow,
    /// Report that the call may be dispatched.
    ReportGranted,
    /// Report that the call was not run.
    ReportRefused,
    /// Report the verdict derived from the row of another attempt.
    ReportFound,
    /// Store the answer in the row.
    WriteAnswer,
    /// Mark the row as released.
    WriteReleased,
    /// Schedule a retry after a backoff, up to a maximum number of retries.
    ScheduleRetry,
}

pub(crate) type ClaimChart = TransitionTable<ClaimState, ClaimEvent, ClaimAction>;

pub(crate) fn load_chart() -> Result<ClaimChart, ChartError> {
    TransitionTable::parse(CLAIM_CHART_TOML)
}
