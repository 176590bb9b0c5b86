//! Findings with their place, and a TOML reader that collects them.
//!
//! Settings and record files are read key by key, so that one run reports everything that is wrong
//! with a file instead of the first error.

mod finding;
mod reader;

pub use finding::{DiagnosticList, SourceDiagnostic};
pub use reader::{TableReader, TomlDocument};
