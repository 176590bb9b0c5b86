//! The records that measurements put in force, and a copy of the configuration to work out floors.

use std::fmt::Write as _;

use agatedeck_records::{ConfigSnapshot, compress, plan_change, read_record_file};
use agatedeck_wire::{Change, RecordWrite};
use miette::{Result, miette};

/// Operator named in the changes.
const OPERATOR_NAME: &str = "bench";

/// Follows the changes that were accepted, so that each next one states the right revisions and the
/// bytes of the compressed change are known.
#[derive(Debug, Default)]
pub(crate) struct ChangeGenerator {
    snapshot: ConfigSnapshot,
    revisions: Vec<u64>,
    prepared_count: u64,
}

/// A change and its compressed form, as nodes send it to each other.
#[derive(Debug)]
pub(crate) struct PreparedChange {
    pub(crate) change: Change,
    pub(crate) compressed: Vec<u8>,
}

impl PreparedChange {
    /// Size of the compressed form.
    pub(crate) fn compressed_bytes(&self) -> u64 {
        u64::try_from(self.compressed.len()).unwrap_or(u64::MAX)
    }
}

/// Policies, services and routes of `count` services, one of each a service.
fn service_records(count: usize) -> String {
    let mut text = String::new();
    for index in 0..count {
        text.push_str(&policy_record(index, 800));
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "[[service]]\nname = \"service-{index}\"\n[[service.form]]\nschema = 1\n\
             policy = \"policy-{index}\"\nhealth_path = \"/health\"\n\
             [[route]]\nname = \"route-{index}\"\n[[route.form]]\nschema = 1\n\
             prefix = \"/service-{index}\"\nservice = \"service-{index}\"\nclass = \"search\"\n"
        );
    }
    text
}

fn policy_record(index: usize, timeout_ms: u64) -> String {
    format!(
        "[[policy]]\nname = \"policy-{index}\"\n[[policy.form]]\nschema = 1\n\
         repeat = \"always\"\ntimeout_ms = {timeout_ms}\nslots = 20\nqueue = 40\n\
         connections = 130\nmax_attempts = 3\n"
    )
}

fn parse_record_writes(text: &str, base: u64) -> Result<Vec<RecordWrite>> {
    let records = read_record_file("bench records", text).map_err(|found| miette!("{found}"))?;
    Ok(records.iter().map(|record| record.to_write(base)).collect())
}

impl ChangeGenerator {
    /// The change that puts `services` services in force.
    pub(crate) fn first_change(&mut self, services: usize) -> Result<PreparedChange> {
        self.revisions = vec![1; services];
        self.prepare(parse_record_writes(&service_records(services), 0)?)
    }

    /// A change of the timeout of one policy.
    pub(crate) fn next_change(&mut self) -> Result<PreparedChange> {
        let services = self.revisions.len();
        let index = usize::try_from(self.prepared_count).unwrap_or(0) % services;
        let timeout_ms = 1_000 + self.prepared_count;
        let writes = parse_record_writes(&policy_record(index, timeout_ms), self.revisions[index])?;
        self.revisions[index] = self.snapshot.version() + 1;
        self.prepare(writes)
    }

    fn prepare(&mut self, writes: Vec<RecordWrite>) -> Result<PreparedChange> {
        self.prepared_count += 1;
        let change = Change {
            change_id: format!("bench-{}", self.prepared_count),
            operator: OPERATOR_NAME.to_owned(),
            writes,
            insist: false,
        };
        let now_ms = crate::fleet::unix_us() / 1_000;
        let planned =
            plan_change(&self.snapshot, &change, now_ms).map_err(|refusal| miette!("{refusal}"))?;
        self.snapshot = planned.snapshot;
        let compressed = compress(&planned.delta);
        Ok(PreparedChange { change, compressed })
    }

    /// The configuration that the changes so far lead to.
    pub(crate) fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// The version that the changes so far lead to.
    pub(crate) fn version(&self) -> u64 {
        self.snapshot.version()
    }
}
