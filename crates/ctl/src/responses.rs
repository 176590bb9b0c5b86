//! JSON bodies of the admin API (section 6.1 of the design).

use agatedeck_records::RecordKey;
use agatedeck_wire::{NodeReport, Record};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A record that another change got to first.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{kind} `{name}` is at revision {current}, the change is based on revision {base}")]
pub struct ConflictReport {
    /// Kind of the record, as in record files.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Revision that the edit is based on.
    pub base: u64,
    /// Revision now; 0 if the record does not exist.
    pub current: u64,
}

/// Answer to a change that was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeResponse {
    /// The change is accepted.
    Accepted {
        /// The version that it led to.
        version: u64,
    },
    /// The change breaks rules or conflicts with another one; nothing was written.
    Refused {
        /// Why.
        #[serde(default)]
        reasons: Vec<String>,
        /// Records whose revision is not the one that the change is based on.
        #[serde(default)]
        conflicts: Vec<ConflictReport>,
    },
    /// The write may have taken effect.
    NotYetKnown {
        /// Id under which to ask again.
        change_id: String,
    },
    /// The node could not reach the store; nothing was written.
    Unreachable {
        /// Why.
        #[serde(default)]
        reasons: Vec<String>,
    },
}

/// Answer to the question what became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum LookupResponse {
    /// The change is accepted.
    Accepted {
        /// The version that it led to.
        version: u64,
    },
    /// The store holds no such change.
    NotAccepted,
    /// The node cannot tell, because the store is out of reach or the write is still under way.
    NotYetKnown {
        /// Id under which to ask again.
        change_id: String,
    },
}

/// Records as the answering node holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordsResponse {
    /// Version that the node holds.
    pub version: u64,
    /// The records, sorted by kind and name.
    pub records: Vec<Record>,
}

impl RecordsResponse {
    /// The record under `key`.
    pub fn find(&self, key: &RecordKey) -> Option<&Record> {
        let mut records = self.records.iter();
        records.find(|record| record.kind() == key.kind && record.name == key.name)
    }

    /// Revision of the record under `key`; 0 if there is none.
    pub fn revision(&self, key: &RecordKey) -> u64 {
        self.find(key).map_or(0, |record| record.revision)
    }
}

/// One accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Version that the change led to.
    pub version: u64,
    /// Id of the change.
    pub change_id: String,
    /// Who sent it.
    pub operator: String,
    /// Unix time of acceptance, in milliseconds.
    pub accepted_unix_ms: u64,
    /// Records written.
    pub puts: Vec<String>,
    /// Records retired.
    pub retired: Vec<String>,
}

/// Accepted changes, newest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryResponse {
    /// The changes.
    pub changes: Vec<HistoryEntry>,
}

/// Latency of the calls of one tenant and class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyReport {
    /// The tenant.
    #[serde(rename = "tenant")]
    pub workspace: String,
    /// The class.
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

/// A request fingerprint that is refused because it crashed targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedRequest {
    /// The fingerprint.
    pub fingerprint: String,
    /// Service whose targets crashed.
    pub service: String,
    /// Number of crashes.
    pub crashes: u64,
    /// Time until the refusal lapses, in milliseconds.
    pub expires_in_ms: u64,
}

/// State of the mesh as far as the answering node reaches it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusResponse {
    /// Version that the answering node holds.
    pub version: u64,
    /// Every node, the unreachable ones with their reason.
    pub nodes: Vec<NodeReport>,
    /// Latency by tenant and class.
    #[serde(default)]
    pub histograms: Vec<LatencyReport>,
    /// Requests that are refused.
    #[serde(default)]
    pub refused_requests: Vec<RefusedRequest>,
}
