//! States, events and actions of `charts/target.toml`, the life cycle of a target.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// State of a target as observed by a caller's node.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum TargetState {
    /// No call has been answered yet.
    Cold,
    /// The slots are opened step by step.
    Warming,
    /// All slots are open.
    Healthy,
    /// Gets no calls until the ejection ends.
    Ejected,
    /// Gets one probe call at a time after an ejection.
    Probing,
    /// Gets no new calls.
    Draining,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum TargetEvent {
    KnownWarm,
    Answered,
    WarmUpEnded,
    OutlierDetected,
    EjectionExpired,
    ProbesPassed,
    ProbeFailed,
    DrainStarted,
    DrainEnded,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum TargetAction {
    StartWarmUp,
    StartEjection,
    StartProbing,
    ResetEjectionCount,
}

pub(crate) static TARGET_CHART: LazyLock<TransitionTable<TargetState, TargetEvent, TargetAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/target.toml"))
            .expect("the embedded chart is valid")
    });
