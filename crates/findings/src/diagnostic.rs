//! Diagnostics with source positions.

use std::fmt;

use derive_more::{Display, Error};
use serde::Serialize;

/// An error in an input file, with its position.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}:{column}: {message}")]
pub struct SourceDiagnostic {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

/// Diagnostics of one or more input files. Displayed in the order of files and positions.
#[derive(Clone, Debug, Default, Eq, Error, PartialEq, Serialize)]
pub struct DiagnosticList {
    #[serde(rename = "findings")]
    diagnostics: Vec<SourceDiagnostic>,
}

impl DiagnosticList {
    /// Adds a diagnostic.
    pub fn push(&mut self, diagnostic: SourceDiagnostic) {
        self.diagnostics.push(diagnostic);
    }

    /// Moves the diagnostics of `other` into this list.
    pub fn append(&mut self, other: Self) {
        self.diagnostics.extend(other.diagnostics);
    }

    /// Whether the list has no diagnostics.
    pub fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Returns the diagnostics in the order of files and positions.
    pub fn sorted(&self) -> Vec<&SourceDiagnostic> {
        let mut sorted: Vec<&SourceDiagnostic> = self.diagnostics.iter().collect();
        sorted.sort();
        sorted
    }
}

impl fmt::Display for DiagnosticList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.sorted().into_iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}
