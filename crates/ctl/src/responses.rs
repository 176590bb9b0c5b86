//! JSON response bodies of the admin API (section 6.1 of the design).

use agatedeck_records::RecordKey;
use agatedeck_wire::{NodeReport, Record};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Record whose revision differs from the one that the change is based on.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{kind} `{name}` is at revision {current}, the change is based on revision {base}")]
pub struct ConflictReport {
    /// Kind of the record, as in record files.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Revision that the change is based on.
    pub base: u64,
    /// Current revision; 0 if the record does not exist.
    pub current: u64,
}

/// Response to a change that was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeResponse {
    /// The change was accepted.
    Accepted {
        /// Version that the change produced.
        version: u64,
    },
    /// The change is invalid or conflicts with another one; nothing was written.
    Refused {
        /// Reasons for the refusal, as text.
        #[serde(default)]
        reasons: Vec<String>,
        /// Records whose revision differs from the one that the change is based on.
        #[serde(default)]
        conflicts: Vec<ConflictReport>,
    },
    /// The change may have been written.
    NotYetKnown {
        /// Id for a further lookup.
        change_id: String,
    },
    /// The node could not reach the store; nothing was written.
    Unreachable {
        /// Reasons why the store is unreachable, as text.
        #[serde(default)]
        reasons: Vec<String>,
    },
}

/// Response to the lookup of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum LookupResponse {
    /// The change was accepted.
    Accepted {
        /// Version that the change produced.
        version: u64,
    },
    /// The store contains no such change.
    NotAccepted,
    /// The store is unreachable or the write is still in progress.
    NotYetKnown {
        /// Id for a further lookup.
        change_id: String,
    },
}

/// Records that the responding node holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordsResponse {
    /// Version that the node holds.
    pub version: u64,
    /// The records, sorted by kind and name.
    pub records: Vec<Record>,
}

impl RecordsResponse {
    /// Returns the record with key `key`.
    pub fn find(&self, key: &RecordKey) -> Option<&Record> {
        let mut records = self.records.iter();
        records.find(|record| record.kind() == key.kind && record.name == key.name)
    }

    /// Returns the revision of the record with key `key`; 0 if there is none.
    pub fn revision(&self, key: &RecordKey) -> u64 {
        self.find(key).map_or(0, |record| record.revision)
    }
}

/// Accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Version that the change produced.
    pub version: u64,
    /// Id of the change.
    pub change_id: String,
    /// Operator who sent the change.
    pub operator: String,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Kinds and names of the records written.
    pub puts: Vec<String>,
    /// Kinds and names of the records retired.
    pub retired: Vec<String>,
}

/// Accepted changes, newest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryResponse {
    /// The changes.
    pub changes: Vec<HistoryEntry>,
}

/// Latency of the calls of one workspace and class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Workspace whose calls are counted.
    #[serde(rename = "tenant")]
    pub workspace: String,
    /// Class of the calls.
    pub class: String,
    /// Number of calls.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
}

/// Request that is refused because requests with its fingerprint crashed targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedRequest {
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// Service whose targets crashed.
    pub service: String,
    /// Number of crashes.
    pub crashes: u64,
    /// Time until the refusal expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// State of the mesh as collected by the responding node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusResponse {
    /// Active version of the responding node.
    pub version: u64,
    /// Reports of all nodes; that of an unreachable node states the reason.
    pub nodes: Vec<NodeReport>,
    /// Latency by workspace and class.
    #[serde(default)]
    pub histograms: Vec<LatencyReport>,
    /// Requests that are refused because they crashed targets.
    #[serde(default)]
    pub refused_requests: Vec<RefusedRequest>,
}
