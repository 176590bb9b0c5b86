//! The command `agatedeckctl status`.

use std::io;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Serialize;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::responses::{LatencyReport, RefusedRequest, StatusResponse};
use crate::status::StatusSummary;

/// Prints the versions of the nodes, latencies and refused requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatusCommand;

#[derive(Serialize)]
struct StatusReport<'a> {
    #[serde(flatten)]
    summary: &'a StatusSummary<'a>,
    histograms: &'a [LatencyReport],
    refused_requests: &'a [RefusedRequest],
}

impl StatusCommand {
    async fn status(self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let response = context.client.status().await?;
        let summary = StatusSummary::compare_to_newest(&response);
        if context.json {
            context.print_json(&StatusReport {
                summary: &summary,
                histograms: &response.histograms,
                refused_requests: &response.refused_requests,
            })?;
        } else {
            print_summary(context.out, &summary)?;
            print_calls(context.out, &response)?;
        }
        Ok(ExitStatus::Success)
    }
}

fn print_summary(out: &mut dyn io::Write, summary: &StatusSummary<'_>) -> io::Result<()> {
    let StatusSummary {
        expected_version,
        node_count,
        by_domain,
        lagging_nodes,
    } = summary;
    let lagging_count = lagging_nodes.len();
    writeln!(
        out,
        "version {expected_version}, {node_count} nodes, {lagging_count} lagging\n"
    )?;
    writeln!(
        out,
        "{:<12} {:<16} {:>9} {:>6}",
        "region", "domain", "version", "nodes"
    )?;
    for row in by_domain {
        let (region, domain) = (row.region, row.domain);
        writeln!(
            out,
            "{region:<12} {domain:<16} {:>9} {:>6}",
            row.version, row.node_count
        )?;
    }
    if !lagging_nodes.is_empty() {
        writeln!(out, "\nlagging")?;
    }
    lagging_nodes
        .iter()
        .try_for_each(|node| writeln!(out, "  {node}"))
}

fn print_calls(out: &mut dyn io::Write, response: &StatusResponse) -> io::Result<()> {
    if !response.histograms.is_empty() {
        writeln!(
            out,
            "\n{:<16} {:<12} {:>10} {:>9} {:>9} {:>9} {:>9}",
            "tenant", "class", "calls", "p50 us", "p99 us", "p99.9 us", "max us"
        )?;
    }
    for row in &response.histograms {
        let LatencyReport {
            workspace,
            class,
            count,
            p50_us,
            p99_us,
            p999_us,
            max_us,
        } = row;
        writeln!(
            out,
            "{workspace:<16} {class:<12} {count:>10} {p50_us:>9} {p99_us:>9} {p999_us:>9} {max_us:>9}"
        )?;
    }
    if !response.refused_requests.is_empty() {
        writeln!(out, "\nrefused requests")?;
    }
    for request in &response.refused_requests {
        let RefusedRequest {
            fingerprint,
            service,
            crashes,
            expires_in_ms,
        } = request;
        writeln!(
            out,
            "  {fingerprint} to {service}: {crashes} crashes, expires in {expires_in_ms} ms"
        )?;
    }
    Ok(())
}

impl AdminCommand for StatusCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.status(context).boxed_local()
    }
}
