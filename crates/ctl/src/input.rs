//! Reads the record files that a command is given.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use agatedeck_findings::{DiagnosticList, SourceDiagnostic};
use agatedeck_records::{FileRecord, RecordKey, read_record_file};

/// Reads all files as one change. A record that is stated twice is a finding at its second place.
///
/// # Errors
///
/// Returns everything that is wrong with any of the files.
pub fn read_files(files: &[PathBuf]) -> Result<Vec<FileRecord>, DiagnosticList> {
    let mut findings = DiagnosticList::default();
    let mut places: BTreeMap<RecordKey, String> = BTreeMap::new();
    let mut all_records = Vec::new();
    for path in files {
        let file = path.display().to_string();
        match read_file(path, &file) {
            Ok(records) => {
                for record in &records {
                    note_repeated(&file, record, &mut places, &mut findings);
                }
                all_records.extend(records);
            }
            Err(found) => findings.append(found),
        }
    }
    if findings.is_empty() {
        Ok(all_records)
    } else {
        Err(findings)
    }
}

fn read_file(path: &PathBuf, file: &str) -> Result<Vec<FileRecord>, DiagnosticList> {
    let text = fs::read_to_string(path)
        .map_err(|error| file_finding(file, format!("the file cannot be read: {error}")))?;
    let records = read_record_file(file, &text)?;
    if records.is_empty() {
        return Err(file_finding(file, "the file states no record".to_owned()));
    }
    Ok(records)
}

fn file_finding(file: &str, message: String) -> DiagnosticList {
    let mut findings = DiagnosticList::default();
    findings.push(SourceDiagnostic {
        file: file.to_owned(),
        line: 1,
        column: 1,
        message,
    });
    findings
}

fn note_repeated(
    file: &str,
    record: &FileRecord,
    places: &mut BTreeMap<RecordKey, String>,
    findings: &mut DiagnosticList,
) {
    let (line, column) = (record.line, record.column);
    let place = format!("{file}:{line}:{column}");
    if let Some(first) = places.get(&record.key) {
        findings.push(SourceDiagnostic {
            file: file.to_owned(),
            line,
            column,
            message: format!("{} is stated before, at {first}", record.key),
        });
    } else {
        places.insert(record.key.clone(), place);
    }
}
