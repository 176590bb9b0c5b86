//! `agatedeckctl watch`

use std::io;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Serialize;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::client::ClientError;
use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::responses::StatusResponse;
use crate::status::{LaggingNode, StatusSummary};

/// Settings of [`WatchCommand`].
#[derive(Clone, Debug)]
pub struct WatchSettings {
    /// Time to wait in all, in milliseconds.
    pub timeout_ms: u64,
    /// Time between two questions, in milliseconds. A question reaches every node, so it is asked
    /// no more often than the convergence goal of 500 ms calls for.
    pub poll_ms: u64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            timeout_ms: 30_000,
            poll_ms: 500,
        }
    }
}

/// Waits until a version is in force on every node.
#[derive(Clone, Debug)]
pub struct WatchCommand {
    /// The version.
    pub version: u64,
    /// How long to wait.
    pub settings: WatchSettings,
}

#[derive(Serialize)]
struct WatchReport<'a> {
    outcome: &'static str,
    version: u64,
    nodes: usize,
    laggards: &'a [LaggingNode<'a>],
    /// Why the last question went without an answer.
    last_error: Option<String>,
}

impl WatchCommand {
    async fn watch(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.timeout_ms);
        let mut last_answer = None;
        let mut last_error = None;
        loop {
            let next_poll = Instant::now() + Duration::from_millis(self.settings.poll_ms);
            match timeout_at(deadline, context.client.status()).await {
                Ok(Ok(answer)) => {
                    let summary = StatusSummary::of_version(&answer, self.version);
                    if summary.in_force_everywhere() {
                        return Ok(self.print_in_force(context, &summary)?);
                    }
                    print_progress(context, &summary)?;
                    (last_answer, last_error) = (Some(answer), None);
                }
                Ok(Err(error)) => {
                    writeln!(context.progress, "{error}")?;
                    last_error = Some(error);
                }
                Err(_) => break,
            }
            context.progress.flush()?;
            if next_poll >= deadline {
                break;
            }
            sleep_until(next_poll).await;
        }
        self.print_timeout(context, last_answer.as_ref(), last_error)
    }

    fn print_in_force(
        &self,
        context: &mut CommandContext<'_>,
        summary: &StatusSummary<'_>,
    ) -> io::Result<ExitStatus> {
        let (version, nodes) = (self.version, summary.nodes);
        if context.json {
            context.print_json(&WatchReport {
                outcome: "in-force",
                version,
                nodes,
                laggards: &[],
                last_error: None,
            })?;
        } else {
            writeln!(
                context.out,
                "version {version} is in force on all {nodes} nodes"
            )?;
        }
        Ok(ExitStatus::Success)
    }

    fn print_timeout(
        &self,
        context: &mut CommandContext<'_>,
        answer: Option<&StatusResponse>,
        error: Option<ClientError>,
    ) -> Result<ExitStatus, CommandError> {
        let Some(answer) = answer else {
            let waited_ms = self.settings.timeout_ms;
            return Err(error.map_or(CommandError::NoAnswer { waited_ms }, CommandError::Client));
        };
        let summary = StatusSummary::of_version(answer, self.version);
        let (version, nodes) = (self.version, summary.nodes);
        if context.json {
            context.print_json(&WatchReport {
                outcome: "timeout",
                version,
                nodes,
                laggards: &summary.laggards,
                last_error: error.as_ref().map(ToString::to_string),
            })?;
            return Ok(ExitStatus::Refused);
        }
        let (lagging, waited_ms) = (summary.laggards.len(), self.settings.timeout_ms);
        writeln!(
            context.out,
            "version {version} is not in force on {lagging} of {nodes} nodes after {waited_ms} ms"
        )?;
        for laggard in &summary.laggards {
            writeln!(context.out, "  {laggard}")?;
        }
        if let Some(error) = error {
            writeln!(context.out, "  this is the last state known: {error}")?;
        }
        Ok(ExitStatus::Refused)
    }
}

fn print_progress(context: &mut CommandContext<'_>, summary: &StatusSummary<'_>) -> io::Result<()> {
    let (wanted, nodes) = (summary.wanted, summary.nodes);
    let done = nodes - summary.laggards.len();
    writeln!(
        context.progress,
        "version {wanted}: in force on {done} of {nodes} nodes"
    )
}

impl AdminCommand for WatchCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.watch(context).boxed_local()
    }
}
