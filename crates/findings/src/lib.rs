//! Diagnostics with source positions, and a TOML reader that collects them.
//!
//! Settings and record files are read key by key, so that one run reports all errors of a file
//! instead of the first one only.

mod diagnostic;
mod toml_reader;

pub use diagnostic::{DiagnosticList, SourceDiagnostic};
pub use toml_reader::{TableReader, TomlDocument};
