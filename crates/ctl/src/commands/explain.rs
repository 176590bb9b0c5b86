//! `agatedeckctl explain`

use std::io;
use std::path::PathBuf;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::request_log::{ObservedEvent, RequestReport, explain_request, parse_log};

/// Prints what became of a request, from the logs of nodes.
#[derive(Clone, Debug)]
pub struct ExplainCommand {
    /// Identity of the request.
    pub request: String,
    /// Log files.
    pub files: Vec<PathBuf>,
}

impl ExplainCommand {
    fn explain(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path).map_err(|error| {
                CommandError::Usage(format!("{}: cannot be read: {error}", path.display()))
            })?;
            let (read, passed_over) = parse_log(&text);
            if passed_over > 0 {
                let file = path.display();
                writeln!(
                    context.progress,
                    "{file}: {passed_over} lines are no log lines"
                )?;
            }
            lines.extend(read);
        }
        let accounts = explain_request(&self.request, &lines);
        if context.json {
            context.print_json(&accounts)?;
        } else {
            for account in &accounts {
                print_account(context.out, &self.request, account)?;
            }
        }
        if accounts.is_empty() {
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

fn print_account(
    out: &mut dyn io::Write,
    request: &str,
    account: &RequestReport,
) -> io::Result<()> {
    let RequestReport {
        node,
        outcome,
        reason,
        attempts,
        took_ms,
        ..
    } = account;
    writeln!(
        out,
        "{request} at {node}: {outcome} ({reason}), {attempts} attempts, {took_ms:.1} ms"
    )?;
    let target_node = account.target_node.as_deref().unwrap_or("log not given");
    if account.target.is_empty() {
        writeln!(out, "  class {}, no target was tried", account.class)?;
    } else {
        let (class, target) = (&account.class, &account.target);
        writeln!(
            out,
            "  class {class}, last target at {target} ({target_node})"
        )?;
    }
    print_events(out, node, &account.seen_by_caller)?;
    print_events(out, target_node, &account.seen_by_target)
}

fn print_events(out: &mut dyn io::Write, node: &str, events: &[ObservedEvent]) -> io::Result<()> {
    if events.is_empty() {
        return Ok(());
    }
    writeln!(out, "  {node}, by its own clock:")?;
    for event in events {
        let age = event.age_ms / 1e3;
        writeln!(
            out,
            "    {age:.3} s before  {}: {}",
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
