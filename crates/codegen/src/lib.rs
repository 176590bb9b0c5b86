//! Generates the message types of `agatedeck-wire` from its `.proto` file.
//!
//! The generated file is committed, so that building the other crates does not run the generator. A
//! test in this crate fails when the committed file is out of date.

use std::path::{Path, PathBuf};

use miette::{IntoDiagnostic, Result, WrapErr};

const PROTO_FILE: &str = "agatedeck.proto";

/// Name of the file that [`generate`] writes.
pub const GENERATED_FILE: &str = "agatedeck.v1.rs";

/// Returns the directory of the `agatedeck-wire` crate.
pub fn wire_crate_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Writes the generated types into `out_dir`.
///
/// # Errors
///
/// Fails if the `.proto` file does not parse or `out_dir` cannot be written.
pub fn generate(out_dir: &Path) -> Result<()> {
    let proto_dir = wire_crate_dir().join("proto");
    let descriptors = protox::compile([PROTO_FILE], [&proto_dir])
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot compile {}", proto_dir.join(PROTO_FILE).display()))?;
    prost_build::Config::new()
        .out_dir(out_dir)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .compile_fds(descriptors)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot write the types to {}", out_dir.display()))
}
