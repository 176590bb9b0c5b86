//! The chart of a received version.

use agatedeck_chart::{ChartError, TransitionTable};
use derive_more::{Display, FromStr};

/// Progress of a received version.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum StageState {
    /// Received, not yet checked.
    Offered,
    /// Checked whole; the witnesses are being asked.
    Checked,
    /// Serving calls.
    InForce,
    /// Not usable; the version held before stays.
    Refused,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum StageEvent {
    CheckPassed,
    CheckFailed,
    Witnessed,
    WitnessDeadline,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum StageAction {
    AskWitnesses,
    PutInForce,
    ReportRefusal,
}

pub(crate) type StageTable = TransitionTable<StageState, StageEvent, StageAction>;

/// Loads `charts/stage.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub(crate) fn load() -> Result<StageTable, ChartError> {
    TransitionTable::parse(include_str!("../../charts/stage.toml"))
}

/// Checks `charts/stage.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub fn stage_chart() -> Result<(), ChartError> {
    load().map(drop)
}
