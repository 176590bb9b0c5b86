//! Sends a change and finds out what became of it.

use std::io;
use std::time::Duration;

use agatedeck_wire::{Change, RecordWrite};
use serde::Serialize;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::client::{AdminClient, ClientError};
use crate::command::{CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::responses::{ChangeResponse, ConflictReport, LookupResponse};

/// Settings of the look-ups that follow a change without an answer.
#[derive(Clone, Debug)]
pub struct LookupSettings {
    /// Time for all look-ups together, in milliseconds.
    pub timeout_ms: u64,
    /// Time between the first two look-ups, in milliseconds; doubled after each.
    pub initial_backoff_ms: u64,
    /// Longest time between two look-ups, in milliseconds.
    pub max_backoff_ms: u64,
}

impl Default for LookupSettings {
    fn default() -> Self {
        Self {
            timeout_ms: 10_000,
            initial_backoff_ms: 100,
            max_backoff_ms: 2_000,
        }
    }
}

/// What commands that change the configuration have in common.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Id of the change, never used for another one.
    pub change_id: String,
    /// Who makes the change.
    pub operator: String,
    /// Accept the change although live nodes cannot read every record.
    pub insist: bool,
    /// Settings of the look-ups.
    pub lookup: LookupSettings,
}

/// What became of a change, as far as it can be told.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum ChangeResult {
    Accepted {
        version: u64,
    },
    Refused {
        reasons: Vec<String>,
        conflicts: Vec<ConflictReport>,
    },
    NotAccepted {
        #[serde(rename = "ask_again")]
        lookup_command: String,
    },
    NotYetKnown {
        #[serde(rename = "ask_again")]
        lookup_command: String,
    },
    Unreachable {
        reasons: Vec<String>,
    },
}

impl ChangeResult {
    fn status(&self) -> ExitStatus {
        match self {
            Self::Accepted { .. } => ExitStatus::Success,
            Self::Refused { .. } | Self::NotAccepted { .. } => ExitStatus::Refused,
            Self::NotYetKnown { .. } => ExitStatus::NotYetKnown,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
        }
    }
}

#[derive(Serialize)]
struct ChangeReport<'a> {
    change_id: &'a str,
    #[serde(flatten)]
    result: &'a ChangeResult,
}

/// Sends `writes` as one change and reports what became of it.
pub(crate) async fn submit_change(
    context: &mut CommandContext<'_>,
    options: &ChangeOptions,
    writes: Vec<RecordWrite>,
) -> Result<ExitStatus, CommandError> {
    let change = Change {
        change_id: options.change_id.clone(),
        operator: options.operator.clone(),
        writes,
        insist: options.insist,
    };
    // Printed before the change is sent, so that the id is known even if this process is ended.
    writeln!(context.progress, "change id {}", change.change_id)?;
    context.progress.flush()?;
    let result = match context.client.submit(&change).await {
        Ok(ChangeResponse::Accepted { version }) => ChangeResult::Accepted { version },
        Ok(ChangeResponse::Refused { reasons, conflicts }) => {
            ChangeResult::Refused { reasons, conflicts }
        }
        Ok(ChangeResponse::Unreachable { reasons }) => ChangeResult::Unreachable { reasons },
        Ok(ChangeResponse::NotYetKnown { .. }) => {
            let reason = "the node cannot tell yet whether the change is accepted";
            resolve_unknown_result(context, options, reason).await
        }
        Err(error @ ClientError::NoResponse(_)) => {
            resolve_unknown_result(context, options, &error.to_string()).await
        }
        Err(error @ ClientError::Unreachable(_)) => ChangeResult::Unreachable {
            reasons: vec![error.to_string()],
        },
    };
    if let Err(error) = report_result(context, &options.change_id, &result) {
        // The exit status tells what became of the change even if the report cannot be written.
        let _ = writeln!(context.progress, "the result cannot be written: {error}");
    }
    Ok(result.status())
}

async fn resolve_unknown_result(
    context: &mut CommandContext<'_>,
    options: &ChangeOptions,
    reason: &str,
) -> ChangeResult {
    // The change is sent, so that a failure to write progress must not end the command.
    let _ = writeln!(context.progress, "{reason}; looking the change up");
    look_up_until_known(context.client, &options.change_id, &options.lookup).await
}

/// Looks a change up until it is found or the time is over. The node that was sent the change may
/// still be writing it, so that "not accepted" counts only as the last answer.
async fn look_up_until_known(
    client: &dyn AdminClient,
    change_id: &str,
    settings: &LookupSettings,
) -> ChangeResult {
    let deadline = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let mut backoff_ms = settings.initial_backoff_ms;
    loop {
        let response = timeout_at(deadline, client.look_up(change_id)).await;
        let response = response.ok().and_then(Result::ok);
        let result = result_from_lookup(client, change_id, response.as_ref());
        let next_attempt_at = Instant::now() + Duration::from_millis(backoff_ms);
        if matches!(result, ChangeResult::Accepted { .. }) || next_attempt_at >= deadline {
            return result;
        }
        sleep_until(next_attempt_at).await;
        backoff_ms = (backoff_ms * 2).min(settings.max_backoff_ms);
    }
}

/// What a look-up says; without an answer the change is not yet known.
pub(crate) fn result_from_lookup(
    client: &dyn AdminClient,
    change_id: &str,
    response: Option<&LookupResponse>,
) -> ChangeResult {
    let lookup_command = lookup_command(client, change_id);
    match response {
        Some(LookupResponse::Accepted { version }) => ChangeResult::Accepted { version: *version },
        Some(LookupResponse::NotAccepted) => ChangeResult::NotAccepted { lookup_command },
        Some(LookupResponse::NotYetKnown { .. }) | None => {
            ChangeResult::NotYetKnown { lookup_command }
        }
    }
}

/// The command that looks `change_id` up at the same nodes.
fn lookup_command(client: &dyn AdminClient, change_id: &str) -> String {
    let mut parts = vec![format!("agatedeckctl lookup {change_id}")];
    parts.extend(client.nodes().iter().map(|node| format!("--node {node}")));
    parts.join(" ")
}

/// Writes what became of a change.
pub(crate) fn report_result(
    context: &mut CommandContext<'_>,
    change_id: &str,
    result: &ChangeResult,
) -> io::Result<ExitStatus> {
    if context.json {
        context.print_json(&ChangeReport { change_id, result })?;
    } else {
        print_result(context, change_id, result)?;
    }
    Ok(result.status())
}

fn print_result(
    context: &mut CommandContext<'_>,
    change_id: &str,
    result: &ChangeResult,
) -> io::Result<()> {
    let out = &mut *context.out;
    match result {
        ChangeResult::Accepted { version } => {
            writeln!(out, "change {change_id}: accepted as version {version}")
        }
        ChangeResult::Refused { reasons, conflicts } => {
            writeln!(out, "change {change_id}: refused, nothing was changed")?;
            print_indented(out, conflicts)?;
            print_indented(out, reasons)
        }
        ChangeResult::Unreachable { reasons } => {
            writeln!(
                out,
                "change {change_id}: not reachable, nothing was changed"
            )?;
            print_indented(out, reasons)
        }
        ChangeResult::NotAccepted { lookup_command } => {
            writeln!(out, "change {change_id}: not accepted")?;
            writeln!(out, "  to ask again: {lookup_command}")
        }
        ChangeResult::NotYetKnown { lookup_command } => {
            writeln!(
                out,
                "change {change_id}: not yet known whether it is accepted"
            )?;
            writeln!(out, "  to ask again: {lookup_command}")
        }
    }
}

fn print_indented<T: std::fmt::Display>(out: &mut dyn io::Write, lines: &[T]) -> io::Result<()> {
    lines.iter().try_for_each(|line| writeln!(out, "  {line}"))
}
