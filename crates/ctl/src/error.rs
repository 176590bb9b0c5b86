//! Errors of the command line.

use std::io;

use agatedeck_findings::DiagnosticList;
use derive_more::{Display, Error, From};
use miette::Diagnostic;

use crate::client::ClientError;
use crate::command::ExitStatus;

/// Error that leaves a command without a result.
#[derive(Debug, Diagnostic, Display, Error, From)]
pub enum CommandError {
    /// The arguments are invalid.
    #[display("{_0}")]
    #[from(ignore)]
    #[error(ignore)]
    #[diagnostic(
        code(ctl::usage),
        help("run `agatedeckctl --help` for the commands and their options")
    )]
    Usage(String),
    /// Record files are invalid.
    #[display("{_0}")]
    #[diagnostic(code(ctl::record_file), help("nothing was changed"))]
    InvalidRecordFiles(#[error(not(source))] DiagnosticList),
    /// No node gave a usable response.
    #[display("{_0}")]
    #[diagnostic(code(ctl::unreachable), help("add more nodes with `--node IP:PORT`"))]
    Client(#[error(not(source))] ClientError),
    /// No node responded before the timeout of `watch`.
    #[display("no node responded within {waited_ms} ms")]
    #[from(ignore)]
    #[diagnostic(code(ctl::no_answer))]
    NoResponse {
        /// Time waited, in milliseconds.
        waited_ms: u64,
    },
    /// The HTTP client or the async runtime cannot be created.
    #[display("{_0}")]
    #[from(ignore)]
    #[error(ignore)]
    #[diagnostic(code(ctl::setup))]
    Setup(String),
    /// The output cannot be written.
    #[display("cannot write the output")]
    #[diagnostic(code(ctl::output))]
    Output(io::Error),
}

impl CommandError {
    /// Exit status of the process for this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::InvalidRecordFiles(_) => ExitStatus::BadInput,
            Self::Client(_) | Self::NoResponse { .. } | Self::Setup(_) => ExitStatus::Unreachable,
            Self::Output(_) => ExitStatus::Refused,
        }
    }
}
