//! The trait of commands and what they are given.

use std::fmt::{self, Debug};
use std::io::{self, Write};
use std::process::ExitCode;

use futures::future::LocalBoxFuture;
use serde::Serialize;

use crate::client::AdminClient;
use crate::error::CommandError;

/// How a command ended (section 9 of the design).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Refused, in conflict, not found, or out of time.
    Refused = 1,
    /// The input is wrong; nothing was changed.
    BadInput = 2,
    /// No node, or not the store behind it, can be reached; nothing was changed.
    Unreachable = 3,
    /// A change may have been accepted.
    NotYetKnown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// What a command works with.
pub struct CommandContext<'a> {
    /// The mesh.
    pub client: &'a dyn AdminClient,
    /// Takes the result.
    pub out: &'a mut dyn Write,
    /// Takes what is worth knowing before the result is there.
    pub progress: &'a mut dyn Write,
    /// Whether the result is written as one JSON value.
    pub json: bool,
}

impl fmt::Debug for CommandContext<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CommandContext")
            .field("client", &self.client)
            .field("json", &self.json)
            .finish_non_exhaustive()
    }
}

impl CommandContext<'_> {
    /// Writes a JSON value and a line end as the result.
    pub(crate) fn print_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut *self.out, value)?;
        writeln!(self.out)
    }
}

/// A command that is ready to run.
pub trait AdminCommand: Debug {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails if no result can be given; the error knows its exit status.
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>>;
}
