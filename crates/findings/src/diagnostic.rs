//! What is wrong with an input, and where.

use std::fmt;

use derive_more::{Display, Error};
use serde::Serialize;

/// One thing that is wrong with an input.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}:{column}: {message}")]
pub struct SourceDiagnostic {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

/// Everything that is wrong with one or more inputs, in the order of their places.
#[derive(Clone, Debug, Default, Eq, Error, PartialEq, Serialize)]
pub struct DiagnosticList {
    #[serde(rename = "findings")]
    diagnostics: Vec<SourceDiagnostic>,
}

impl DiagnosticList {
    /// Adds one finding.
    pub fn push(&mut self, diagnostic: SourceDiagnostic) {
        self.diagnostics.push(diagnostic);
    }

    /// Adds the findings of another list.
    pub fn append(&mut self, other: Self) {
        self.diagnostics.extend(other.diagnostics);
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// The findings in the order of their places.
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
