//! Submits a change and determines whether it was accepted.

use std::io;
use std::time::Duration;

use agatedeck_wire::{Change, RecordWrite};
use serde::Serialize;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::client::{AdminClient, ClientError};
use crate::command::{CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::responses::{ChangeResponse, ConflictReport, LookupResponse};

/// Settings of the lookups after a change whose response is lost or undecided.
#[derive(Clone, Debug)]
pub struct LookupSettings {
    /// Timeout of all lookups together, in milliseconds.
    pub timeout_ms: u64,
    /// Wait before the second lookup, in milliseconds; doubled after each lookup.
    pub initial_backoff_ms: u64,
    /// Longest wait between two lookups, in milliseconds.
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

/// Options that all commands that change the configuration share.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Id of the change; must be unique.
    pub change_id: String,
    /// Name of the operator who makes the change.
    pub operator: String,
    /// Whether to accept the change even if live nodes cannot read every record.
    pub insist: bool,
    /// Settings of the lookups.
    pub lookup: LookupSettings,
}

/// Result of a change, as far as it is known.
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

/// Submits `writes` as one change and reports its result.
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
    // Printed before the change is sent, so that the id is known even if this process is killed.
    writeln!(context.progress, "change id {}", change.change_id)?;
    context.progress.flush()?;
    let result = match context.client.submit(&change).await {
        Ok(ChangeResponse::Accepted { version }) => ChangeResult::Accepted { version },
        Ok(ChangeResponse::Refused { reasons, conflicts }) => {
            ChangeResult::Refused { reasons, conflicts }
        }
        Ok(ChangeResponse::Unreachable { reasons }) => ChangeResult::Unreachable { reasons },
        Ok(ChangeResponse::NotYetKnown { .. }) => {
            let reason = "the node does not yet know whether the change is accepted";
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
        // The exit status states the result of the change even if the report cannot be written.
        let _ = writeln!(context.progress, "the result cannot be written: {error}");
    }
    Ok(result.status())
}

async fn resolve_unknown_result(
    context: &mut CommandContext<'_>,
    options: &ChangeOptions,
    reason: &str,
) -> ChangeResult {
    // The change may have been accepted, so a failure to write progress must not end the command.
    let _ = writeln!(context.progress, "{reason}; looking up the change");
    look_up_until_known(context.client, &options.change_id, &options.lookup).await
}

/// Looks a change up until it is accepted or the timeout expires. "Not accepted" is final only in
/// the last lookup, because the node that received the change may still be writing it.
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
        let next_lookup_at = Instant::now() + Duration::from_millis(backoff_ms);
        if matches!(result, ChangeResult::Accepted { .. }) || next_lookup_at >= deadline {
            return result;
        }
        sleep_until(next_lookup_at).await;
        backoff_ms = (backoff_ms * 2).min(settings.max_backoff_ms);
    }
}

/// Converts the response of a lookup; without one, the result is not yet known.
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

/// Returns the `agatedeckctl` command that looks `change_id` up on the same nodes.
fn lookup_command(client: &dyn AdminClient, change_id: &str) -> String {
    let mut parts = vec![format!("agatedeckctl lookup {change_id}")];
    parts.extend(client.nodes().iter().map(|node| format!("--node {node}")));
    parts.join(" ")
}

/// Writes the result of a change.
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
            writeln!(out, "change {change_id}: unreachable, nothing was changed")?;
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
