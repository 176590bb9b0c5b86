//! Loads the record files of a command.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use agatedeck_findings::{DiagnosticList, SourceDiagnostic};
use agatedeck_records::{FileRecord, RecordKey, read_record_file};

/// Loads the records of all files. A record that occurs twice is reported at its
/// second position.
///
/// # Errors
///
/// Returns the diagnostics of all files.
pub fn load_record_files(files: &[PathBuf]) -> Result<Vec<FileRecord>, DiagnosticList> {
    let mut diagnostics = DiagnosticList::default();
    let mut first_positions: BTreeMap<RecordKey, String> = BTreeMap::new();
    let mut records = Vec::new();
    for path in files {
        let file = path.display().to_string();
        match load_record_file(path, &file) {
            Ok(file_records) => {
                for record in &file_records {
                    check_duplicate(&file, record, &mut first_positions, &mut diagnostics);
                }
                records.extend(file_records);
            }
            Err(file_diagnostics) => diagnostics.append(file_diagnostics),
        }
    }
    if diagnostics.is_empty() {
        Ok(records)
    } else {
        Err(diagnostics)
    }
}

fn load_record_file(path: &PathBuf, file: &str) -> Result<Vec<FileRecord>, DiagnosticList> {
    let text = fs::read_to_string(path)
        .map_err(|error| file_diagnostic(file, format!("the file cannot be read: {error}")))?;
    let records = read_record_file(file, &text)?;
    if records.is_empty() {
        return Err(file_diagnostic(
            file,
            "the file states no record".to_owned(),
        ));
    }
    Ok(records)
}

fn file_diagnostic(file: &str, message: String) -> DiagnosticList {
    let mut diagnostics = DiagnosticList::default();
    diagnostics.push(SourceDiagnostic {
        file: file.to_owned(),
        line: 1,
        column: 1,
        message,
    });
    diagnostics
}

fn check_duplicate(
    file: &str,
    record: &FileRecord,
    first_positions: &mut BTreeMap<RecordKey, String>,
    diagnostics: &mut DiagnosticList,
) {
    let (line, column) = (record.line, record.column);
    let position = format!("{file}:{line}:{column}");
    if let Some(first_position) = first_positions.get(&record.key) {
        diagnostics.push(SourceDiagnostic {
            file: file.to_owned(),
            line,
            column,
            message: format!("{} is stated before, at {first_position}", record.key),
        });
    } else {
        first_positions.insert(record.key.clone(), position);
    }
}
