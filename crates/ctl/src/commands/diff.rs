//! The command `agatedeckctl diff`.

use std::io;
use std::path::PathBuf;

use agatedeck_records::{FieldDifference, FileRecord, field_differences, kind_name};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Serialize;

use crate::client::RecordFilter;
use crate::command::{AdminCommand, CommandContext, ExitStatus};
use crate::error::CommandError;
use crate::record_files::load_record_files;
use crate::responses::RecordsResponse;

/// Compares the records of files with those that a node holds.
#[derive(Clone, Debug)]
pub struct DiffCommand {
    /// Record files.
    pub files: Vec<PathBuf>,
}

/// State of a record of a file relative to the one that the node holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RecordState {
    New,
    Changed,
    Unchanged,
    /// The file states a revision other than the one that the node holds.
    Conflict,
}

#[derive(Serialize)]
struct RecordDifference<'a> {
    kind: &'static str,
    name: &'a str,
    state: RecordState,
    /// Revision that the file states.
    base: Option<u64>,
    /// Revision that the node holds; 0 if the record does not exist.
    current: u64,
    fields: Vec<FieldDifference>,
}

#[derive(Serialize)]
struct DiffReport<'a> {
    version: u64,
    records: Vec<RecordDifference<'a>>,
}

impl DiffCommand {
    async fn diff(&self, context: &mut CommandContext<'_>) -> Result<ExitStatus, CommandError> {
        let records = load_record_files(&self.files)?;
        let response = context.client.records(RecordFilter::default()).await?;
        let report = DiffReport {
            version: response.version,
            records: records
                .iter()
                .map(|record| compare_record(record, &response))
                .collect(),
        };
        if context.json {
            context.print_json(&report)?;
        } else {
            print_report(context.out, &report)?;
        }
        let mut records = report.records.iter();
        if records.any(|record| record.state == RecordState::Conflict) {
            return Ok(ExitStatus::Refused);
        }
        Ok(ExitStatus::Success)
    }
}

fn compare_record<'a>(record: &'a FileRecord, response: &RecordsResponse) -> RecordDifference<'a> {
    let current = response.revision(&record.key);
    let current_record = response.find(&record.key);
    let current_forms = current_record.map_or(&[][..], |record| &record.forms);
    let fields = field_differences(current_forms, &record.forms);
    let state = match record.revision {
        Some(base) if base != current => RecordState::Conflict,
        _ if current == 0 => RecordState::New,
        _ if fields.is_empty() => RecordState::Unchanged,
        _ => RecordState::Changed,
    };
    RecordDifference {
        kind: kind_name(record.key.kind),
        name: &record.key.name,
        state,
        base: record.revision,
        current,
        fields,
    }
}

fn print_report(out: &mut dyn io::Write, report: &DiffReport<'_>) -> io::Result<()> {
    writeln!(out, "compared with version {}", report.version)?;
    for record in &report.records {
        let RecordDifference {
            kind,
            name,
            current,
            ..
        } = record;
        match (record.state, record.base) {
            (RecordState::Conflict, Some(base)) => writeln!(
                out,
                "{kind} `{name}`: conflict, is at revision {current}, the file states {base}"
            )?,
            (RecordState::New, _) => writeln!(out, "{kind} `{name}`: new")?,
            (RecordState::Unchanged, _) => writeln!(out, "{kind} `{name}`: unchanged")?,
            _ => writeln!(out, "{kind} `{name}`: changed, is at revision {current}")?,
        }
        for difference in &record.fields {
            print_difference(out, difference)?;
        }
    }
    Ok(())
}

fn print_difference(out: &mut dyn io::Write, difference: &FieldDifference) -> io::Result<()> {
    let FieldDifference {
        schema,
        field,
        old,
        new,
    } = difference;
    for (sign, value) in [('-', old), ('+', new)] {
        if let Some(value) = value {
            writeln!(out, "  {sign} schema {schema}: {field} = {value}")?;
        }
    }
    Ok(())
}

impl AdminCommand for DiffCommand {
    fn run<'a>(
        &'a self,
        context: &'a mut CommandContext<'_>,
    ) -> LocalBoxFuture<'a, Result<ExitStatus, CommandError>> {
        self.diff(context).boxed_local()
    }
}
