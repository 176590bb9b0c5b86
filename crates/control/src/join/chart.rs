//! Types of the chart `charts/join.toml`.

use std::sync::LazyLock;

use agatedeck_chart::ChartTable;
use derive_more::{Display, FromStr};

/// How far a node has come on its way from its start to its end.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum JoinState {
    /// Nothing was asked yet.
    Starting,
    /// The store and the peers are asked for the floor.
    Asking,
    /// No floor was found; the next attempt has a deadline. Calls are answered with `not-run`.
    Waiting,
    /// The floor is known and a version at or above it is being fetched.
    Fetching,
    /// A version at or above the floor is in force.
    Serving,
    /// No new work is accepted.
    Draining,
    /// The process may end.
    Stopped,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum JoinEvent {
    Start,
    FloorKnown,
    RoundTimedOut,
    FetchFailed,
    RetryDue,
    CaughtUp,
    Drain,
    Drained,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum JoinAction {
    QueryFloor,
    ScheduleRetry,
    FetchVersion,
    StartServing,
    StartDraining,
    Stop,
}

pub(crate) type JoinChart = ChartTable<JoinState, JoinEvent, JoinAction>;

/// The chart is part of the binary; `tests/charts.rs` checks that it loads.
pub(crate) static JOIN_CHART: LazyLock<JoinChart> = LazyLock::new(|| {
    ChartTable::parse(include_str!("../../charts/join.toml")).expect("join.toml is sound")
});
