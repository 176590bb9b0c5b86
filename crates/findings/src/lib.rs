//! Findings with their place, and a TOML reader that collects them.
//!
//! Settings and record files are read key by key, so that one run reports everything that is wrong
//! with a file instead of the first error.

mod diagnostic;
mod toml_reader;

pub use diagnostic::{DiagnosticList, SourceDiagnostic};
pub use toml_reader::{TableReader, TomlDocument};
