//! Errors of the command line.

use std::io;

use agatedeck_findings::DiagnosticList;
use derive_more::{Display, Error, From};
use miette::Diagnostic;

use crate::client::ClientError;
use crate::command::ExitStatus;

/// Why a command has no result.
#[derive(Debug, Diagnostic, Display, Error, From)]
pub enum CtlError {
    /// The arguments are wrong.
    #[display("{_0}")]
    #[from(ignore)]
    #[error(ignore)]
    #[diagnostic(
        code(ctl::usage),
        help("run `agatedeckctl --help` for the commands and their options")
    )]
    Usage(String),
    /// Record files are wrong.
    #[display("{_0}")]
    #[diagnostic(code(ctl::record_file), help("nothing was changed"))]
    Findings(#[error(not(source))] DiagnosticList),
    /// No node answered.
    #[display("{_0}")]
    #[diagnostic(
        code(ctl::unreachable),
        help("name further nodes with `--node IP:PORT`")
    )]
    Client(#[error(not(source))] ClientError),
    /// No node answered while a command waited.
    #[display("no node answered within {waited_ms} ms")]
    #[from(ignore)]
    #[diagnostic(code(ctl::no_answer))]
    NoAnswer {
        /// Time waited, in milliseconds.
        waited_ms: u64,
    },
    /// The HTTP client or the runtime cannot be set up.
    #[display("{_0}")]
    #[from(ignore)]
    #[error(ignore)]
    #[diagnostic(code(ctl::setup))]
    Setup(String),
    /// The output cannot be written.
    #[display("the output cannot be written")]
    #[diagnostic(code(ctl::output))]
    Output(io::Error),
}

impl CtlError {
    /// Exit status that belongs to the error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Findings(_) => ExitStatus::BadInput,
            Self::Client(_) | Self::NoAnswer { .. } | Self::Setup(_) => ExitStatus::Unreachable,
            Self::Output(_) => ExitStatus::Refused,
        }
    }
}
