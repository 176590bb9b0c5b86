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
    pub look_up_ms: u64,
    /// Time between the first two look-ups, in milliseconds; doubled after each.
    pub first_wait_ms: u64,
    /// Longest time between two look-ups, in milliseconds.
    pub longest_wait_ms: u64,
}

impl Default for LookupSettings {
    fn default() -> Self {
        Self {
            look_up_ms: 10_000,
            first_wait_ms: 100,
            longest_wait_ms: 2_000,
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
    pub submission: LookupSettings,
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
        ask_again: String,
    },
    NotYetKnown {
        ask_again: String,
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
            follow_up(context, options, reason).await
        }
        Err(error @ ClientError::NoResponse(_)) => {
            follow_up(context, options, &error.to_string()).await
        }
        Err(error @ ClientError::Unreachable(_)) => ChangeResult::Unreachable {
            reasons: vec![error.to_string()],
        },
    };
    if let Err(error) = report(context, &options.change_id, &result) {
        // The exit status tells what became of the change even if the report cannot be written.
        let _ = writeln!(context.progress, "the result cannot be written: {error}");
    }
    Ok(result.status())
}

async fn follow_up(
    context: &mut CommandContext<'_>,
    options: &ChangeOptions,
    reason: &str,
) -> ChangeResult {
    // The change is sent, so that a failure to write progress must not end the command.
    let _ = writeln!(context.progress, "{reason}; looking the change up");
    look_up_repeatedly(context.client, &options.change_id, &options.submission).await
}

/// Looks a change up until it is found or the time is over. The node that was sent the change may
/// still be writing it, so that "not accepted" counts only as the last answer.
async fn look_up_repeatedly(
    client: &dyn AdminClient,
    change_id: &str,
    settings: &LookupSettings,
) -> ChangeResult {
    let deadline = Instant::now() + Duration::from_millis(settings.look_up_ms);
    let mut wait_ms = settings.first_wait_ms;
    loop {
        let answer = timeout_at(deadline, client.look_up(change_id)).await;
        let answer = answer.ok().and_then(Result::ok);
        let result = look_up_result(client, change_id, answer.as_ref());
        let next_try = Instant::now() + Duration::from_millis(wait_ms);
        if matches!(result, ChangeResult::Accepted { .. }) || next_try >= deadline {
            return result;
        }
        sleep_until(next_try).await;
        wait_ms = (wait_ms * 2).min(settings.longest_wait_ms);
    }
}

/// What a look-up says; without an answer the change is not yet known.
pub(crate) fn look_up_result(
    client: &dyn AdminClient,
    change_id: &str,
    answer: Option<&LookupResponse>,
) -> ChangeResult {
    let ask_again = ask_again(client, change_id);
    match answer {
        Some(LookupResponse::Accepted { version }) => ChangeResult::Accepted { version: *version },
        Some(LookupResponse::NotAccepted) => ChangeResult::NotAccepted { ask_again },
        Some(LookupResponse::NotYetKnown { .. }) | None => ChangeResult::NotYetKnown { ask_again },
    }
}

/// The command that looks `change_id` up at the same nodes.
fn ask_again(client: &dyn AdminClient, change_id: &str) -> String {
    let mut words = vec![format!("agatedeckctl lookup {change_id}")];
    words.extend(client.nodes().iter().map(|node| format!("--node {node}")));
    words.join(" ")
}

/// Writes what became of a change.
pub(crate) fn report(
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
            print_lines(out, conflicts)?;
            print_lines(out, reasons)
        }
        ChangeResult::Unreachable { reasons } => {
            writeln!(
                out,
                "change {change_id}: not reachable, nothing was changed"
            )?;
            print_lines(out, reasons)
        }
        ChangeResult::NotAccepted { ask_again } => {
            writeln!(out, "change {change_id}: not accepted")?;
            writeln!(out, "  to ask again: {ask_again}")
        }
        ChangeResult::NotYetKnown { ask_again } => {
            writeln!(
                out,
                "change {change_id}: not yet known whether it is accepted"
            )?;
            writeln!(out, "  to ask again: {ask_again}")
        }
    }
}

fn print_lines<T: std::fmt::Display>(out: &mut dyn io::Write, lines: &[T]) -> io::Result<()> {
    lines.iter().try_for_each(|line| writeln!(out, "  {line}"))
}
