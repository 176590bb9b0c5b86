//! States, events and actions of `charts/pull.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// Whether a node pulls the versions that it lacks.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum PullState {
    /// No newer version is known, or none could be pulled since the last report.
    Idle,
    /// Waits for the first answer of a pull.
    Pulling,
    /// Waits for the first answer of a pull that began before the last report.
    Outdated,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum PullEvent {
    NewerReported,
    CaughtUp,
    Progressed,
    Unanswered,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum PullAction {
    Pull,
}

/// Parsed from the file embedded in the binary; `tests/pull.rs` checks that it loads.
pub(super) static PULL_CHART: LazyLock<TransitionTable<PullState, PullEvent, PullAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/pull.toml"))
            .expect("charts/pull.toml is a valid chart")
    });
