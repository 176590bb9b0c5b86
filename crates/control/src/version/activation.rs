//! The chart `charts/activation.toml`: how a received version becomes the active one.

use agatedeck_chart::{ChartError, TransitionTable};
use derive_more::{Display, FromStr};

/// Activation state of a received version.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum ActivationState {
    /// Received and not yet validated.
    Received,
    /// Validated; its floor record is being stored by the witnesses.
    Validated,
    /// The active version, by which calls are served.
    Active,
    /// Failed validation; the previous version stays active.
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

pub(crate) type ActivationChart =
    TransitionTable<ActivationState, ActivationEvent, ActivationAction>;

/// Loads `charts/activation.toml`.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub(crate) fn load_chart() -> Result<ActivationChart, ChartError> {
    TransitionTable::parse(include_str!("../../charts/activation.toml"))
}

/// Validates `charts/activation.toml`.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn check_activation_chart() -> Result<(), ChartError> {
    load_chart().map(drop)
}
