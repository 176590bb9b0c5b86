//! Workload of configuration changes for the benchmarks.

use std::fmt::Write as _;

use agatedeck_records::{ConfigSnapshot, compress, plan_change, read_record_file};
use agatedeck_wire::{Change, RecordWrite};
use miette::{Result, miette};

/// Operator name in the changes.
const OPERATOR_NAME: &str = "bench";

/// Generates changes and applies them to its own copy of the configuration, so that each change
/// carries the current base revisions and its compressed size is known. Assumes that every
/// generated change is accepted, in order.
#[derive(Debug, Default)]
pub(crate) struct ChangeGenerator {
    snapshot: ConfigSnapshot,
    /// Current revision of the policy of each service.
    revisions: Vec<u64>,
    /// Number of changes generated so far.
    generated_count: u64,
}

/// A change and its compressed delta, as sent between nodes.
#[derive(Debug)]
pub(crate) struct PreparedChange {
    pub(crate) change: Change,
    pub(crate) compressed_delta: Vec<u8>,
}

impl PreparedChange {
    /// Size of the compressed delta, in bytes.
    pub(crate) fn compressed_bytes(&self) -> u64 {
        u64::try_from(self.compressed_delta.len()).unwrap_or(u64::MAX)
    }
}

/// Record file with `count` services, each with one policy and one route.
fn service_records(count: usize) -> String {
    let mut text = String::new();
    for index in 0..count {
        text.push_str(&policy_record(index, 800));
        // Writing to a `String` cannot fail.
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

fn parse_record_writes(text: &str, base_revision: u64) -> Result<Vec<RecordWrite>> {
    let records =
        read_record_file("bench records", text).map_err(|diagnostics| miette!("{diagnostics}"))?;
    Ok(records
        .iter()
        .map(|record| record.to_write(base_revision))
        .collect())
}

impl ChangeGenerator {
    /// Generates the change that creates `services` services with their policies and routes.
    ///
    /// # Errors
    ///
    /// Fails if the records or the change are invalid.
    pub(crate) fn first_change(&mut self, services: usize) -> Result<PreparedChange> {
        self.revisions = vec![1; services];
        self.build_change(parse_record_writes(&service_records(services), 0)?)
    }

    /// Generates a change of the timeout of one policy; the policies take turns.
    ///
    /// # Errors
    ///
    /// Fails if the change is invalid.
    pub(crate) fn next_change(&mut self) -> Result<PreparedChange> {
        let services = self.revisions.len();
        let index = usize::try_from(self.generated_count).unwrap_or(0) % services;
        let timeout_ms = 1_000 + self.generated_count;
        let writes = parse_record_writes(&policy_record(index, timeout_ms), self.revisions[index])?;
        self.revisions[index] = self.snapshot.version() + 1;
        self.build_change(writes)
    }

    fn build_change(&mut self, writes: Vec<RecordWrite>) -> Result<PreparedChange> {
        self.generated_count += 1;
        let change = Change {
            change_id: format!("bench-{}", self.generated_count),
            operator: OPERATOR_NAME.to_owned(),
            writes,
            insist: false,
        };
        let now_ms = crate::fleet::unix_us() / 1_000;
        let plan =
            plan_change(&self.snapshot, &change, now_ms).map_err(|refusal| miette!("{refusal}"))?;
        self.snapshot = plan.snapshot;
        let compressed_delta = compress(&plan.delta);
        Ok(PreparedChange {
            change,
            compressed_delta,
        })
    }

    /// Configuration after all generated changes.
    pub(crate) fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Version after all generated changes.
    pub(crate) fn version(&self) -> u64 {
        self.snapshot.version()
    }
}
