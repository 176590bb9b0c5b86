//! The chart of a received version.

use agatedeck_chart::{ChartError, ChartTable};
use derive_more::{Display, FromStr};

/// Progress of a received version.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum ActivationState {
    /// Received, not yet checked.
    Received,
    /// Checked whole; the witnesses are being asked.
    Validated,
    /// Serving calls.
    Active,
    /// Not usable; the version held before stays.
    Refused,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ActivationEvent {
    ValidationPassed,
    ValidationFailed,
    WitnessesRecorded,
    WitnessesFailed,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ActivationAction {
    RecordFloor,
    Activate,
    ReportRefusal,
}

pub(crate) type ActivationTable = ChartTable<ActivationState, ActivationEvent, ActivationAction>;

/// Loads `charts/activation.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub(crate) fn load_chart() -> Result<ActivationTable, ChartError> {
    ChartTable::parse(include_str!("../../charts/activation.toml"))
}

/// Checks `charts/activation.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub fn check_activation_chart() -> Result<(), ChartError> {
    load_chart().map(drop)
}
