//! Runs a command line from its arguments to its exit status.

use std::env;
use std::ffi::OsString;
use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

use agatedeck_findings::SourceDiagnostic;
use miette::{GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;

use crate::arguments::{CtlEnvironment, Invocation, Request, parse_arguments};
use crate::command::{CommandContext, ExitStatus};
use crate::error::CtlError;
use crate::http_client::HttpAdminClient;

/// Width of error reports in columns. Messages are not wrapped, so that a script finds a message
/// in one line.
const REPORT_WIDTH: usize = 10_000;

/// An error as JSON.
#[derive(Serialize)]
struct ErrorReport<'a> {
    outcome: &'static str,
    message: String,
    findings: Vec<&'a SourceDiagnostic>,
}

/// Runs the command line of this process.
pub fn run_process() -> ExitCode {
    let environment = CtlEnvironment {
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
            &CtlError::Setup(error.to_string()),
            false,
            &mut out,
            &mut progress,
        ),
    };
    status.into()
}

/// Runs the command line `arguments`, which begin after the program's name. Results go to `out`,
/// progress and errors to `progress`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    environment: &CtlEnvironment,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> ExitStatus {
    let invocation = match parse_arguments(arguments, environment) {
        Ok(Request::Run(invocation)) => invocation,
        Ok(Request::Print(text)) => {
            return match out.write_all(text.as_bytes()) {
                Ok(()) => ExitStatus::Success,
                Err(error) => report_error(&CtlError::Output(error), false, out, progress),
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
    invocation: Invocation,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> Result<ExitStatus, CtlError> {
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
    error: &CtlError,
    json: bool,
    out: &mut dyn Write,
    progress: &mut dyn Write,
) -> ExitStatus {
    // There is nowhere left to report that a report cannot be written; the exit status stands.
    let _ = if json {
        write_json(error, out)
    } else {
        write_text(error, progress)
    };
    error.status()
}

fn write_json(error: &CtlError, out: &mut dyn Write) -> io::Result<()> {
    let findings = match error {
        CtlError::Findings(findings) => findings.sorted(),
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
            findings,
        },
    )?;
    writeln!(out)
}

fn write_text(error: &CtlError, progress: &mut dyn Write) -> io::Result<()> {
    if let CtlError::Findings(findings) = error {
        // One line for each finding, in the form that editors jump to.
        return writeln!(progress, "{findings}\nnothing was changed");
    }
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());
    let handler = handler.with_width(REPORT_WIDTH).with_links(false);
    let mut text = String::new();
    handler
        .render_report(&mut text, error)
        .map_err(io::Error::other)?;
    writeln!(progress, "{}", text.trim_end())
}

/// Writes as long as someone reads. A reader that leaves early, as `head` does, must not turn an
/// accepted change into a failure.
struct PipeWriter<W> {
    inner: W,
}

impl<W: Write> Write for PipeWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.inner.write(bytes) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(bytes.len()),
            written => written,
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self.inner.flush() {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            flushed => flushed,
        }
    }
}
