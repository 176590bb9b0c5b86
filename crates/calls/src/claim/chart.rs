//! States, events and actions of `charts/claim.toml`.

use agatedeck_chart::{ChartError, ChartTable};
use derive_more::FromStr;

const CLAIM_CHART_TOML: &str = include_str!("../../charts/claim.toml");

/// Where a claim attempt stands.
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

/// What happens to a claim attempt.
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

/// What the table does on a transition.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ClaimAction {
    /// Write the claim, on condition that the row is as last seen.
    WriteClaim,
    /// Read the row.
    ReadRow,
    /// Let the caller's call be dispatched.
    ReportGranted,
    /// Tell the caller `not-run`.
    ReportRefused,
    /// Tell the caller what the row of another attempt says.
    ReportFound,
    /// Write the answer into the row.
    WriteAnswer,
    /// Write a released row.
    WriteReleased,
    /// Try again after a backoff, a bounded number of times.
    ScheduleRetry,
}

pub(crate) type ClaimChart = ChartTable<ClaimState, ClaimEvent, ClaimAction>;

pub(crate) fn load_chart() -> Result<ClaimChart, ChartError> {
    ChartTable::parse(CLAIM_CHART_TOML)
}
