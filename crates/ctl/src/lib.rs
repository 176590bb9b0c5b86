//! The operators' command line.
//!
//! Commands are values that implement [`AdminCommand`]. They are given an [`AdminClient`] and two
//! writers and know nothing of HTTP or of a terminal, so that another front end can run them with
//! its own client.

mod arguments;
mod client;
mod command;
mod commands;
mod error;
mod explain;
mod http_client;
mod input;
mod messages;
mod process;
mod status;
mod submission;

pub use arguments::{CtlEnvironment, Invocation, Request, parse_arguments};
pub use client::{AdminClient, ClientError, NodeFailure, RecordFilter};
pub use command::{AdminCommand, CommandContext, ExitStatus};
pub use commands::{
    ApplyCommand, DiffCommand, ExplainCommand, GetCommand, HistoryCommand, LookUpCommand,
    RetireCommand, StatusCommand, WatchCommand, WatchSettings,
};
pub use error::CtlError;
pub use explain::{LogLine, RequestAccount, SeenEvent, explain_request, read_log};
pub use http_client::{HttpAdminClient, HttpClientSettings};
pub use input::read_files;
pub use messages::{
    ChangeAnswer, ConflictReport, HistoryAnswer, HistoryEntry, LatencyReport, LookUpAnswer,
    RecordsAnswer, RefusedRequest, StatusAnswer,
};
pub use process::{run, run_process};
pub use status::{DomainVersions, Laggard, StatusSummary};
pub use submission::{ChangeOptions, SubmissionSettings};
