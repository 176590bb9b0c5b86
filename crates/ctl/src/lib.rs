//! The operators' command line, `agatedeckctl`.
//!
//! Each command implements [`AdminCommand`] and runs with an [`AdminClient`] and two writers. It
//! depends neither on HTTP nor on a terminal, so that another front end can run it with its own
//! client.

mod arguments;
mod cli;
mod client;
mod command;
mod commands;
mod error;
mod http_client;
mod record_files;
mod request_log;
mod responses;
mod status;
mod submission;

pub use arguments::{CliEnvironment, CommandInvocation, Invocation, parse_arguments};
pub use cli::{run, run_cli};
pub use client::{AdminClient, ClientError, NodeError, RecordFilter};
pub use command::{AdminCommand, CommandContext, ExitStatus};
pub use commands::{
    ApplyCommand, DiffCommand, ExplainCommand, GetCommand, HistoryCommand, LookupCommand,
    RetireCommand, StatusCommand, WatchCommand, WatchSettings,
};
pub use error::CommandError;
pub use http_client::{HttpAdminClient, HttpClientSettings};
pub use record_files::load_record_files;
pub use request_log::{
    LogLine, ObservedEvent, RequestReport, TargetAttempt, explain_request, parse_log,
};
pub use responses::{
    ChangeResponse, ConflictReport, HistoryEntry, HistoryResponse, LatencyReport, LookupResponse,
    RecordsResponse, RefusedRequest, StatusResponse,
};
pub use status::{DomainVersionCount, LaggingNode, StatusSummary};
pub use submission::{ChangeOptions, LookupSettings};
