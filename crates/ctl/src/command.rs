//! The command trait, its context and its exit status.

use std::fmt::{self, Debug};
use std::io::{self, Write};
use std::process::ExitCode;

use futures::future::LocalBoxFuture;
use serde::Serialize;

use crate::client::AdminClient;
use crate::error::CommandError;

/// Exit status of a command (section 9 of the design).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The change was refused, is in conflict or was not accepted, the item was not found, or the
    /// command timed out.
    Refused = 1,
    /// The arguments or record files are invalid; nothing was changed.
    BadInput = 2,
    /// No node is reachable, or the node cannot reach the store; nothing was changed.
    Unreachable = 3,
    /// It is not known whether the change was accepted.
    NotYetKnown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Client, writers and output format of a command.
pub struct CommandContext<'a> {
    /// Client of the admin API.
    pub client: &'a dyn AdminClient,
    /// Writer of the result.
    pub out: &'a mut dyn Write,
    /// Writer of progress messages and warnings.
    pub progress: &'a mut dyn Write,
    /// Whether to write the result as one JSON value.
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
    /// Writes `value` to the result as one line of JSON.
    pub(crate) fn print_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut *self.out, value)?;
        writeln!(self.out)
    }
}

/// A command with its parsed arguments.
pub trait AdminCommand: Debug {
    /// Runs the command and writes its result.
    ///
    /// # Errors
    ///
    /// Fails if the command has no result; [`CommandError::status`] gives the exit status.
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>>;
}
