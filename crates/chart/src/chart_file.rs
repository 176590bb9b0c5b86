//! The form of a chart file, before its names are resolved.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::validation::{ChartDiagnostic, validate};

/// A chart as its file states it.
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
    /// Events that leave the state as it is.
    #[serde(default)]
    pub(crate) ignore: Vec<String>,
    /// Whether the state may have no way out.
    #[serde(default, rename = "final")]
    pub(crate) is_final: bool,
}

/// What an event does in one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TransitionEntry {
    pub(crate) to: String,
    #[serde(default)]
    pub(crate) actions: Vec<String>,
}

/// Why a chart file does not load.
#[derive(Debug, Display, Error)]
pub enum ChartError {
    /// The file is not TOML of the expected form.
    #[display("the chart is not readable: {_0}")]
    Syntax(#[error(source)] toml::de::Error),
    /// The chart breaks rules; all diagnostics are listed.
    #[display("chart `{name}` is not sound: {}", join(diagnostics))]
    Invalid {
        /// Name of the chart.
        name: String,
        /// Every rule broken and where.
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
    /// Reads and checks a chart file.
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
