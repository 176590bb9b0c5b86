//! Parses the arguments, runs the command and reports errors.

use std::env;
use std::ffi::OsString;
use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

use agatedeck_findings::SourceDiagnostic;
use miette::{GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;

use crate::arguments::{CliEnvironment, CommandInvocation, Invocation, parse_arguments};
use crate::command::{CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::http_client::HttpAdminClient;

/// Width of error reports, in columns. Wide enough that no message is wrapped, so that scripts find
/// each message on one line.
const ERROR_REPORT_WIDTH_COLUMNS: usize = 10_000;

/// JSON form of an error.
#[derive(Serialize)]
struct ErrorReport<'a> {
    outcome: &'static str,
    message: String,
    #[serde(rename = "findings")]
    diagnostics: Vec<&'a SourceDiagnostic>,
}

/// Runs the command line with the arguments, environment and standard streams of this process.
pub fn run_cli() -> ExitCode {
    let environment = CliEnvironment {
        nodes: env::var("AGATEDECK_NODE").ok(),
        user: env::var("USER").ok(),
    };
    let arguments = env::args_os().skip(1);
    let mut out = PipeWriter {
        inner: io::stdout(),
    };
    let mut progress = PipeWriter {
        inner: io::stderr(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let status = match runtime {
        Ok(runtime) => runtime.block_on(run(arguments, &environment, &mut out, &mut progress)),
        Err(error) => report_error(
            &CommandError::Setup(error.to_string()),
            false,
            &mut out,
            &mut progress,
        ),
    };
    status.into()
}

/// Runs the command line with `arguments`, which start after the program name. Writes results to
/// `out`, and progress and errors as text to `progress`; with `--json`, errors of a command go to
/// `out` as JSON.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    environment: &CliEnvironment,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> ExitStatus {
    let invocation = match parse_arguments(arguments, environment) {
        Ok(Invocation::Run(invocation)) => invocation,
        Ok(Invocation::Print(text)) => {
            return match out.write_all(text.as_bytes()) {
                Ok(()) => ExitStatus::Success,
                Err(error) => report_error(&CommandError::Output(error), false, out, progress),
            };
        }
        Err(error) => return report_error(&error, false, out, progress),
    };
    let json = invocation.json;
    match run_invocation(invocation, out, progress).await {
        Ok(status) => status,
        Err(error) => report_error(&error, json, out, progress),
    }
}

async fn run_invocation(
    invocation: CommandInvocation,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> Result<ExitStatus, CommandError> {
    let client = HttpAdminClient::new(invocation.client)?;
    let mut context = CommandContext {
        client: &client,
        out,
        progress,
        json: invocation.json,
    };
    invocation.command.run(&mut context).await
}

fn report_error(
    error: &CommandError,
    json: bool,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> ExitStatus {
    // If the report cannot be written, the exit status alone reports the error.
    let _ = if json {
        write_json_error(error, out)
    } else {
        write_text_error(error, progress)
    };
    error.status()
}

fn write_json_error(error: &CommandError, out: &mut dyn Write) -> io::Result<()> {
    let diagnostics = match error {
        CommandError::InvalidRecordFiles(diagnostics) => diagnostics.sorted(),
        _ => Vec::new(),
    };
    let outcome = match error.status() {
        ExitStatus::BadInput => "bad-input",
        ExitStatus::Unreachable => "unreachable",
        _ => "failed",
    };
    let message = error.to_string();
    serde_json::to_writer(
        &mut *out,
        &ErrorReport {
            outcome,
            message,
            diagnostics,
        },
    )?;
    writeln!(out)
}

fn write_text_error(error: &CommandError, progress: &mut dyn Write) -> io::Result<()> {
    if let CommandError::InvalidRecordFiles(diagnostics) = error {
        // One line per diagnostic, in the form FILE:LINE:COLUMN that editors can open.
        return writeln!(progress, "{diagnostics}\nnothing was changed");
    }
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());
    let handler = handler
        .with_width(ERROR_REPORT_WIDTH_COLUMNS)
        .with_links(false);
    let mut text = String::new();
    handler
        .render_report(&mut text, error)
        .map_err(io::Error::other)?;
    writeln!(progress, "{}", text.trim_end())
}

/// Writer that discards output after the reader of a pipe has closed it, as `head` does. Without
/// it, the broken pipe would report an accepted change as failed.
struct PipeWriter<W> {
    inner: W,
}

impl<W: Write> Write for PipeWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.inner.write(bytes) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(bytes.len()),
            result => result,
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self.inner.flush() {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            result => result,
        }
    }
}
