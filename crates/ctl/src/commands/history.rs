//! The command `agatedeckctl history`.

use std::fmt::Write as _;
use std::io;
use std::time::{Duration, UNIX_EPOCH};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use humantime::format_rfc3339_seconds;

use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::responses::{HistoryEntry, HistoryResponse};

/// Prints accepted changes, newest first.
#[derive(Clone, Debug)]
pub struct HistoryCommand {
    /// Maximum number of changes.
    pub limit: u64,
}

impl HistoryCommand {
    /// Fetches page by page, because a node may return fewer changes than requested.
    async fn history(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let mut entries: Vec<HistoryEntry> = Vec::new();
        let mut remaining_count = self.limit;
        while remaining_count > 0 {
            let before = entries.last().map(|entry| entry.version);
            let page = context
                .client
                .history(before, remaining_count)
                .await?
                .changes;
            // Newer changes are dropped, so that the loop ends even if a node ignores `before`.
            let is_older =
                |entry: &HistoryEntry| before.is_none_or(|version| entry.version < version);
            let older_entries: Vec<HistoryEntry> = page.into_iter().filter(is_older).collect();
            if older_entries.is_empty() {
                break;
            }
            remaining_count = remaining_count.saturating_sub(older_entries.len() as u64);
            entries.extend(older_entries);
        }
        if context.json {
            context.print_json(&HistoryResponse { changes: entries })?;
        } else {
            for entry in &entries {
                print_entry(context.out, entry)?;
            }
        }
        Ok(ExitStatus::Success)
    }
}

fn print_entry(out: &mut dyn io::Write, entry: &HistoryEntry) -> io::Result<()> {
    let HistoryEntry {
        version,
        change_id,
        operator,
        ..
    } = entry;
    let accepted_at = format_unix_ms(entry.accepted_unix_ms);
    writeln!(
        out,
        "version {version}  {accepted_at}  {operator}  change {change_id}"
    )?;
    for (sign, names) in [('+', &entry.puts), ('-', &entry.retired)] {
        for name in names {
            writeln!(out, "  {sign} {name}")?;
        }
    }
    Ok(())
}

/// Formats a time as RFC 3339 in UTC, or as milliseconds after the year 9999, which RFC 3339 cannot
/// represent.
fn format_unix_ms(unix_ms: u64) -> String {
    let mut text = String::new();
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    let formatted = time.map(|time| write!(text, "{}", format_rfc3339_seconds(time)));
    match formatted {
        Some(Ok(())) => text,
        _ => format!("{unix_ms} ms after 1970"),
    }
}

impl AdminCommand for HistoryCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.history(context).boxed_local()
    }
}
