//! States, events and actions of `charts/join.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// Phase of a node between start and shutdown.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum JoinState {
    /// No floor query was sent yet.
    Starting,
    /// The store and the peers are being queried for the floor.
    Asking,
    /// No floor was found; a retry is scheduled. Calls are answered with `not-run`.
    Waiting,
    /// The floor is known and a version at or above it is being fetched.
    Fetching,
    /// A version at or above the floor is active.
    Serving,
    /// No new work is accepted.
    Draining,
    /// The process may exit.
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

pub(crate) type JoinChart = TransitionTable<JoinState, JoinEvent, JoinAction>;

/// Parsed from the file embedded in the binary; `tests/charts.rs` checks that it loads.
pub(crate) static JOIN_CHART: LazyLock<JoinChart> = LazyLock::new(|| {
    TransitionTable::parse(include_str!("../../charts/join.toml"))
        .expect("charts/join.toml is a valid chart")
});
