//! Structure of a chart file, before its names are resolved.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::validation::{ChartDiagnostic, validate};

/// A chart as deserialised from its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartFile {
    pub(crate) name: String,
    pub(crate) initial: String,
    pub(crate) events: Vec<String>,
    pub(crate) state: BTreeMap<String, StateEntry>,
}

/// One state of a chart file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateEntry {
    /// Transitions by event.
    #[serde(default)]
    pub(crate) on: BTreeMap<String, TransitionEntry>,
    /// Events without effect in this state.
    #[serde(default)]
    pub(crate) ignore: Vec<String>,
    /// Whether the state may lack a transition to another state.
    #[serde(default, rename = "final")]
    pub(crate) is_final: bool,
}

/// Transition for one event in one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TransitionEntry {
    pub(crate) to: String,
    #[serde(default)]
    pub(crate) actions: Vec<String>,
}

/// Reason for which a chart file does not load.
#[derive(Debug, Display, Error)]
pub enum ChartError {
    /// The file is not TOML with the structure of a chart.
    #[display("cannot parse the chart file: {_0}")]
    Syntax(#[error(source)] toml::de::Error),
    /// The chart violates validation rules.
    #[display("chart `{name}` is invalid: {}", join(diagnostics))]
    Invalid {
        /// Name of the chart.
        name: String,
        /// All violations, with their locations.
        diagnostics: Vec<ChartDiagnostic>,
    },
}

fn join(diagnostics: &[ChartDiagnostic]) -> String {
    diagnostics
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

impl ChartFile {
    /// Parses and validates a chart file.
    pub(crate) fn parse(text: &str) -> Result<Self, ChartError> {
        let file: Self = toml::from_str(text).map_err(ChartError::Syntax)?;
        let diagnostics = validate(&file);
        if diagnostics.is_empty() {
            Ok(file)
        } else {
            Err(ChartError::Invalid {
                name: file.name,
                diagnostics,
            })
        }
    }
}
