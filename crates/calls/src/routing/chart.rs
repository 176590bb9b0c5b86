//! Life cycle of a target, from `charts/target.toml`.

use std::sync::LazyLock;

use agatedeck_chart::ChartTable;
use derive_more::{Display, FromStr};

/// State of a target as the caller's node sees it.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum TargetState {
    /// No call has been answered yet.
    Cold,
    /// Its slots are opened step by step.
    Warming,
    /// All slots are used.
    Healthy,
    /// Takes no calls until the ejection ends.
    Ejected,
    /// Tried again with one call at a time.
    Probing,
    /// Takes no new calls.
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

pub(crate) static TARGET_CHART: LazyLock<ChartTable<TargetState, TargetEvent, TargetAction>> =
    LazyLock::new(|| {
        ChartTable::parse(include_str!("../../charts/target.toml"))
            .expect("the embedded chart is valid")
    });
