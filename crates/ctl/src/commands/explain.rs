//! The command `agatedeckctl explain`.

use std::io;
use std::path::PathBuf;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::request_log::{ObservedEvent, RequestReport, TargetAttempt, explain_request, parse_log};

/// Prints the outcome of a request and the events before it, from the log files of nodes.
#[derive(Clone, Debug)]
pub struct ExplainCommand {
    /// Id of the request.
    pub request: String,
    /// Log files of the nodes.
    pub files: Vec<PathBuf>,
}

impl ExplainCommand {
    fn explain(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path).map_err(|error| {
                CommandError::Usage(format!("cannot read {}: {error}", path.display()))
            })?;
            let (file_lines, skipped_count) = parse_log(&text);
            if skipped_count > 0 {
                let file = path.display();
                writeln!(
                    context.progress,
                    "{file}: {skipped_count} lines are no log lines"
                )?;
            }
            lines.extend(file_lines);
        }
        let reports = explain_request(&self.request, &lines);
        if context.json {
            context.print_json(&reports)?;
        } else {
            for report in &reports {
                print_report(context.out, &self.request, report)?;
            }
        }
        if reports.is_empty() {
            let request = &self.request;
            writeln!(
                context.progress,
                "no line on {request}: it was answered at the first attempt, its line was left out, or the log of its node is missing"
            )?;
            return Ok(ExitStatus::Refused);
        }
        Ok(ExitStatus::Success)
    }
}

fn print_report(out: &mut dyn io::Write, request: &str, report: &RequestReport) -> io::Result<()> {
    let RequestReport {
        node,
        outcome,
        reason,
        attempts,
        took_ms,
        ..
    } = report;
    writeln!(
        out,
        "{request} at {node}: {outcome} ({reason}), {attempts} attempts, {took_ms:.1} ms"
    )?;
    let target_node = report.target_node.as_deref().unwrap_or("log not given");
    if report.target.is_empty() {
        writeln!(out, "  class {}, no target was tried", report.class)?;
    } else {
        let (class, target) = (&report.class, &report.target);
        writeln!(
            out,
            "  class {class}, last target at {target} ({target_node})"
        )?;
    }
    if !report.refusals.is_empty() {
        writeln!(out, "  refused by: {}", report.refusals)?;
    }
    print_events(out, node, &report.seen_by_caller)?;
    print_events(out, target_node, &report.seen_by_target)?;
    for attempt in &report.target_attempts {
        print_attempt(out, attempt)?;
    }
    Ok(())
}

fn print_attempt(out: &mut dyn io::Write, attempt: &TargetAttempt) -> io::Result<()> {
    let TargetAttempt {
        node,
        reason,
        queue_ms,
        target_ms,
        connection,
        ..
    } = attempt;
    let transit = if attempt.delayed {
        ", delayed in transit"
    } else {
        ""
    };
    writeln!(
        out,
        "  at the target of {node}: {reason} after {queue_ms:.1} ms in the queue and {target_ms:.1} ms at the target{transit}, connection {connection}"
    )?;
    if let Some(earlier) = &attempt.earlier_on_connection {
        writeln!(out, "    before on this connection: {earlier}")?;
    }
    Ok(())
}

fn print_events(out: &mut dyn io::Write, node: &str, events: &[ObservedEvent]) -> io::Result<()> {
    if events.is_empty() {
        return Ok(());
    }
    writeln!(out, "  {node}, by its own clock:")?;
    for event in events {
        let age_s = event.age_ms / 1e3;
        writeln!(
            out,
            "    {age_s:.3} s before  {}: {}",
            event.event, event.message
        )?;
    }
    Ok(())
}

impl AdminCommand for ExplainCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        async { self.explain(context) }.boxed_local()
    }
}
