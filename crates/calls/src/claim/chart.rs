//! States, events and actions of `charts/claim.toml`.

use agatedeck_chart::{ChartError, ChartTable};
use derive_more::FromStr;

const CHART: &str = include_str!("../../charts/claim.toml");

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
    Refused,
    Failed,
    Doubtful,
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
    Exhausted,
}

/// What the table does on a transition.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ClaimAction {
    /// Write the claim, on condition that the row is as last seen.
    Claim,
    /// Read the row.
    Read,
    /// Let the caller's call be dispatched.
    Grant,
    /// Tell the caller `not-run`.
    Refuse,
    /// Tell the caller what the row of another attempt says.
    Report,
    /// Write the answer into the row.
    Complete,
    /// Write a released row.
    Release,
    /// Try again after a backoff, a bounded number of times.
    Schedule,
}

pub(crate) type ClaimChart = ChartTable<ClaimState, ClaimEvent, ClaimAction>;

pub(crate) fn load() -> Result<ClaimChart, ChartError> {
    ChartTable::parse(CHART)
}
