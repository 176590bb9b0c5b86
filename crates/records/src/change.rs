//! Validates a change and computes the snapshot and the delta of the resulting version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use agatedeck_wire::{Change, Delta, Record, RecordName, RecordWrite};
use derive_more::{Display, Error};

use crate::key::RecordKey;
use crate::snapshot::ConfigSnapshot;
use crate::validation::{ValidationError, validate_records};

/// A validated change, ready to be written to the store.
#[derive(Clone, Debug)]
pub struct PlannedChange {
    /// Snapshot of the resulting version.
    pub snapshot: ConfigSnapshot,
    /// Delta from the preceding version.
    pub delta: Delta,
}

/// A record whose current revision differs from the one that the operator's edit is based on.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{key} is at revision {current}, the change is based on revision {base}")]
pub struct RecordConflict {
    /// The record.
    pub key: RecordKey,
    /// Revision that the edit is based on; 0 for a new record.
    pub base: u64,
    /// Current revision; 0 if the record does not exist.
    pub current: u64,
}

/// Reason for which a change is refused. A refused change writes nothing.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ChangeRefusal {
    /// The edit of at least one record is not based on its current revision.
    #[display("conflict: {}", join(_0))]
    #[error(ignore)]
    Conflict(Vec<RecordConflict>),
    /// The resulting version would violate validation rules.
    #[display("the resulting version breaks rules: {}", join(_0))]
    #[error(ignore)]
    Invalid(Vec<ValidationError>),
    /// The change contains more than one write of the same record.
    #[display("the change names {_0} more than once")]
    #[error(ignore)]
    DuplicateRecord(RecordKey),
    /// The change would not modify the configuration.
    #[display("the change does not alter anything")]
    Unchanged,
}

fn join<T: ToString>(items: &[T]) -> String {
    items
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

/// Applies `change` to `snapshot`; `accepted_unix_ms` is the Unix time of acceptance in
/// milliseconds.
///
/// Retiring a record that others refer to is refused with one validation error for each referrer.
///
/// # Errors
///
/// Returns the reason of the refusal, with every conflict or every validation error.
pub fn plan_change(
    snapshot: &ConfigSnapshot,
    change: &Change,
    accepted_unix_ms: u64,
) -> Result<PlannedChange, ChangeRefusal> {
    check_duplicates(&change.writes)?;
    check_conflicts(snapshot, &change.writes)?;
    let version = snapshot.version() + 1;
    let mut records = snapshot.record_map().clone();
    let mut puts = Vec::new();
    let mut retired = Vec::new();
    for write in &change.writes {
        let key = write_key(write);
        if write.forms.is_empty() {
            if records.remove(&key).is_some() {
                retired.push(RecordName::from(&key));
            }
        } else if records
            .get(&key)
            .is_none_or(|record| record.forms != write.forms)
        {
            let record = new_record(&key, write, version);
            puts.push(record.clone());
            records.insert(key, Arc::new(record));
        }
    }
    if puts.is_empty() && retired.is_empty() {
        return Err(ChangeRefusal::Unchanged);
    }
    check_rules(&records)?;
    let snapshot = ConfigSnapshot::from_records(version, records);
    let delta = Delta {
        version,
        puts,
        retired,
        change_id: change.change_id.clone(),
        operator: change.operator.clone(),
        accepted_unix_ms,
        digest: snapshot.digest().as_bytes().to_vec(),
        base: None,
    };
    Ok(PlannedChange { snapshot, delta })
}

fn write_key(write: &RecordWrite) -> RecordKey {
    RecordKey::from(&write.name.clone().unwrap_or_default())
}

fn new_record(key: &RecordKey, write: &RecordWrite, revision: u64) -> Record {
    let forms = write.forms.clone();
    Record {
        kind: key.kind.into(),
        name: key.name.clone(),
        revision,
        forms,
    }
}

fn check_duplicates(writes: &[RecordWrite]) -> Result<(), ChangeRefusal> {
    let mut seen = BTreeSet::new();
    let duplicate = writes
        .iter()
        .map(write_key)
        .find(|key| !seen.insert(key.clone()));
    duplicate.map_or(Ok(()), |key| Err(ChangeRefusal::DuplicateRecord(key)))
}

fn check_conflicts(snapshot: &ConfigSnapshot, writes: &[RecordWrite]) -> Result<(), ChangeRefusal> {
    let conflicts: Vec<RecordConflict> = writes
        .iter()
        .filter_map(|write| {
            let key = write_key(write);
            let current = snapshot.get(&key).map_or(0, |record| record.revision);
            let base = write.base_revision;
            (base != current).then_some(RecordConflict { key, base, current })
        })
        .collect();
    if conflicts.is_empty() {
        Ok(())
    } else {
        Err(ChangeRefusal::Conflict(conflicts))
    }
}

fn check_rules(records: &BTreeMap<RecordKey, Arc<Record>>) -> Result<(), ChangeRefusal> {
    let errors = validate_records(records);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(ChangeRefusal::Invalid(errors))
    }
}
