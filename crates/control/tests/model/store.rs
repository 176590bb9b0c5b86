//! Model of the store with its conditional transactions, and the oracle: the list of committed
//! changes.

use std::collections::BTreeMap;

use agatedeck_control::{DELTA_KEY_PREFIX, HEAD_KEY, change_key, delta_key};
use agatedeck_records::{ChangeRefusal, ConfigSnapshot, PlannedChange, RecordKey, compress};
use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Change, Head, RecordKind};
use prost::Message as _;

/// A commit transaction as specified in section 5 of `docs/design.md`. The model has no stored
/// snapshots.
#[derive(Clone, Debug)]
pub(crate) struct CommitTransaction {
    pub(crate) head_revision: u64,
    pub(crate) plan: PlannedChange,
    pub(crate) change: Change,
}

#[derive(Debug, Default)]
pub(crate) struct ModelStore {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
    pub(crate) unavailable: bool,
    pub(crate) oracle: CommitOracle,
}

impl ModelStore {
    pub(crate) fn head(&self) -> (Head, u64) {
        match self.rows.get(HEAD_KEY) {
            Some((revision, value)) => (Head::decode(value.as_slice()).unwrap(), *revision),
            None => (Head::default(), 0),
        }
    }

    pub(crate) fn change_version(&self, id: &str) -> Option<u64> {
        let (_, value) = self.rows.get(&change_key(id))?;
        Some(std::str::from_utf8(value).unwrap().parse().unwrap())
    }

    /// The compressed deltas after `version`, each with its version.
    pub(crate) fn deltas_after(&self, version: u64) -> Vec<(u64, Vec<u8>)> {
        let rows = self.rows.range(delta_key(version + 1)..);
        let rows = rows.take_while(|(key, _)| key.starts_with(DELTA_KEY_PREFIX));
        let rows = rows.map(|(key, (_, value))| {
            let digits = key.strip_prefix(DELTA_KEY_PREFIX).unwrap();
            (digits.parse().unwrap(), value.clone())
        });
        rows.collect()
    }

    /// Runs the transaction and returns whether its conditions held.
    pub(crate) fn commit(&mut self, transaction: &CommitTransaction) -> bool {
        let plan = &transaction.plan;
        let change_row_key = change_key(&plan.delta.change_id);
        let revision = |key: &str| self.rows.get(key).map_or(0, |row| row.0);
        if revision(HEAD_KEY) != transaction.head_revision || revision(&change_row_key) != 0 {
            return false;
        }
        self.revision += 1;
        let version = plan.delta.version;
        let head = Head {
            version,
            digest: plan.delta.digest.clone(),
            ..Head::default()
        };
        let writes = [
            (HEAD_KEY.to_owned(), head.encode_to_vec()),
            (delta_key(version), compress(&plan.delta)),
            (change_row_key, version.to_string().into_bytes()),
        ];
        for (key, value) in writes {
            self.rows.insert(key, (self.revision, value));
        }
        self.oracle.record_commit(transaction);
        true
    }
}

/// The list of committed changes, and the revision of each record, which the oracle counts itself.
#[derive(Debug, Default)]
pub(crate) struct CommitOracle {
    committed: Vec<(String, ConfigSnapshot)>,
    revisions: BTreeMap<RecordKey, u64>,
}

impl CommitOracle {
    fn record_commit(&mut self, transaction: &CommitTransaction) {
        let id = &transaction.change.change_id;
        let version = self.newest_version() + 1;
        assert_eq!(
            transaction.plan.snapshot.version(),
            version,
            "versions are consecutive"
        );
        assert!(
            self.version_of_change(id).is_none(),
            "change `{id}` is committed twice"
        );
        for write in &transaction.change.writes {
            let key = RecordKey::from(write.name.as_ref().unwrap());
            let revision = self.revisions.get(&key).copied().unwrap_or(0);
            assert_eq!(
                write.base_revision, revision,
                "two concurrent edits of {key} were committed"
            );
            if write.forms.is_empty() {
                self.revisions.remove(&key);
            } else {
                self.revisions.insert(key, version);
            }
        }
        self.committed
            .push((id.clone(), transaction.plan.snapshot.clone()));
    }

    pub(crate) fn newest_version(&self) -> u64 {
        self.committed.len() as u64
    }

    pub(crate) fn version_of_change(&self, id: &str) -> Option<u64> {
        let index = self
            .committed
            .iter()
            .position(|(committed, _)| committed == id);
        index.map(|index| index as u64 + 1)
    }

    /// Checks that a change refused for a conflict lost to another change.
    pub(crate) fn check_refusal(&self, refusal: &ChangeRefusal) {
        if let ChangeRefusal::Conflict(conflicts) = refusal {
            for conflict in conflicts {
                // A later change can restore the base revision only if that is 0, for no record.
                let revision = self.revisions.get(&conflict.key).copied().unwrap_or(0);
                let is_conflict = revision != conflict.base || conflict.base == 0;
                assert!(
                    is_conflict,
                    "no committed edit conflicts with the refused one: {conflict}"
                );
            }
        }
    }

    /// Checks that `snapshot` equals a committed version and has no dangling reference.
    pub(crate) fn check_snapshot(&self, snapshot: &ConfigSnapshot) {
        let version = snapshot.version();
        if version == 0 {
            assert_eq!(snapshot.records().count(), 0);
            return;
        }
        let committed = self.committed.get(usize::try_from(version).unwrap() - 1);
        let (_, committed) = committed.expect("the active version was committed");
        assert!(
            snapshot.records().eq(committed.records()),
            "version {version} differs from the committed one"
        );
        for service in snapshot.records_of_kind(RecordKind::Service) {
            for form in &service.forms {
                let Some(Body::Service(form)) = &form.body else {
                    panic!("a service record has a form of another kind");
                };
                let policy = RecordKey::new(RecordKind::Policy, &form.policy);
                let is_present = snapshot.get(&policy).is_some();
                assert!(
                    is_present,
                    "version {version} lacks {policy}, which a service refers to"
                );
            }
        }
    }
}
