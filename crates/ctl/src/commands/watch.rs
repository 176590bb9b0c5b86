//! The command `agatedeckctl watch`.

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
    /// Total time to wait, in milliseconds.
    pub timeout_ms: u64,
    /// Time between two polls, in milliseconds. Each poll reaches every node, so the default is no
    /// shorter than the convergence goal of 500 ms.
    pub poll_interval_ms: u64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            timeout_ms: 30_000,
            poll_interval_ms: 500,
        }
    }
}

/// Waits until a version is active on every node.
#[derive(Clone, Debug)]
pub struct WatchCommand {
    /// Version to wait for.
    pub version: u64,
    /// Timeout and poll interval.
    pub settings: WatchSettings,
}

#[derive(Serialize)]
struct WatchReport<'a> {
    outcome: &'static str,
    version: u64,
    #[serde(rename = "nodes")]
    node_count: usize,
    #[serde(rename = "laggards")]
    lagging_nodes: &'a [LaggingNode<'a>],
    /// Error of the last poll, if it failed.
    last_error: Option<String>,
}

impl WatchCommand {
    async fn watch(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.timeout_ms);
        let mut last_response = None;
        let mut last_error = None;
        loop {
            let next_poll_at =
                Instant::now() + Duration::from_millis(self.settings.poll_interval_ms);
            match timeout_at(deadline, context.client.status()).await {
                Ok(Ok(response)) => {
                    let summary = StatusSummary::compare_to_version(&response, self.version);
                    if summary.is_active_everywhere() {
                        return Ok(self.print_active(context, &summary)?);
                    }
                    print_progress(context, &summary)?;
                    (last_response, last_error) = (Some(response), None);
                }
                Ok(Err(error)) => {
                    writeln!(context.progress, "{error}")?;
                    last_error = Some(error);
                }
                Err(_) => break,
            }
            context.progress.flush()?;
            if next_poll_at >= deadline {
                break;
            }
            sleep_until(next_poll_at).await;
        }
        self.print_timeout(context, last_response.as_ref(), last_error)
    }

    fn print_active(
        &self,
        context: &mut CommandContext<'_>,
        summary: &StatusSummary<'_>,
    ) -> io::Result<ExitStatus> {
        let (version, node_count) = (self.version, summary.node_count);
        if context.json {
            context.print_json(&WatchReport {
                outcome: "in-force",
                version,
                node_count,
                lagging_nodes: &[],
                last_error: None,
            })?;
        } else {
            writeln!(
                context.out,
                "version {version} is in force on all {node_count} nodes"
            )?;
        }
        Ok(ExitStatus::Success)
    }

    fn print_timeout(
        &self,
        context: &mut CommandContext<'_>,
        response: Option<&StatusResponse>,
        error: Option<ClientError>,
    ) -> Result<ExitStatus, CommandError> {
        let Some(response) = response else {
            let waited_ms = self.settings.timeout_ms;
            return Err(error.map_or(CommandError::NoResponse { waited_ms }, CommandError::Client));
        };
        let summary = StatusSummary::compare_to_version(response, self.version);
        let (version, node_count) = (self.version, summary.node_count);
        if context.json {
            context.print_json(&WatchReport {
                outcome: "timeout",
                version,
                node_count,
                lagging_nodes: &summary.lagging_nodes,
                last_error: error.as_ref().map(ToString::to_string),
            })?;
            return Ok(ExitStatus::Refused);
        }
        let (lagging_count, waited_ms) = (summary.lagging_nodes.len(), self.settings.timeout_ms);
        writeln!(
            context.out,
            "version {version} is not in force on {lagging_count} of {node_count} nodes after {waited_ms} ms"
        )?;
        for node in &summary.lagging_nodes {
            writeln!(context.out, "  {node}")?;
        }
        if let Some(error) = error {
            writeln!(
                context.out,
                "  last known state; the last poll failed: {error}"
            )?;
        }
        Ok(ExitStatus::Refused)
    }
}

fn print_progress(context: &mut CommandContext<'_>, summary: &StatusSummary<'_>) -> io::Result<()> {
    let (expected_version, node_count) = (summary.expected_version, summary.node_count);
    let active_count = node_count - summary.lagging_nodes.len();
    writeln!(
        context.progress,
        "version {expected_version}: in force on {active_count} of {node_count} nodes"
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
