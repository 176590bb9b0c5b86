//! Keys of records and the textual names of record kinds.

use std::fmt;

use agatedeck_wire::{Record, RecordKind, RecordName};

/// Kind and name of a record. The order of keys is the order of records in a snapshot.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the kind.
    pub name: String,
}

impl RecordKey {
    /// Creates the key of the record `name` of a kind.
    pub fn new(kind: RecordKind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }

    /// Returns the key of `record`.
    pub fn from_record(record: &Record) -> Self {
        Self::new(record.kind(), &record.name)
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} `{}`", kind_name(self.kind), self.name)
    }
}

impl From<&RecordName> for RecordKey {
    fn from(name: &RecordName) -> Self {
        Self::new(name.kind(), &name.name)
    }
}

impl From<&RecordKey> for RecordName {
    fn from(key: &RecordKey) -> Self {
        Self {
            kind: key.kind.into(),
            name: key.name.clone(),
        }
    }
}

/// Returns the name of a kind in record files and on the command line.
pub fn kind_name(kind: RecordKind) -> &'static str {
    match kind {
        RecordKind::Unspecified => "unspecified",
        RecordKind::Route => "route",
        RecordKind::Service => "service",
        RecordKind::Policy => "policy",
        RecordKind::Workspace => "workspace",
    }
}

/// Returns the kind whose [`kind_name`] is `name`, if any.
pub fn kind_from_name(name: &str) -> Option<RecordKind> {
    let kinds = [
        RecordKind::Route,
        RecordKind::Service,
        RecordKind::Policy,
        RecordKind::Workspace,
    ];
    kinds.into_iter().find(|kind| kind_name(*kind) == name)
}
