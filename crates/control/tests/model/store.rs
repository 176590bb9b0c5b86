//! The store with its conditional transactions, and the oracle: the list of accepted changes.

use std::collections::BTreeMap;

use agatedeck_control::{DELTA_PREFIX, HEAD_KEY, change_key, delta_key};
use agatedeck_records::{ChangeRefusal, ConfigSnapshot, PlannedChange, RecordKey, compress};
use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Change, Head, RecordKind};
use prost::Message as _;

/// A transaction as `docs/design.md` section 5 states it. The model leaves out stored snapshots.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) head_revision: u64,
    pub(crate) plan: PlannedChange,
    pub(crate) change: Change,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
    pub(crate) away: bool,
    pub(crate) oracle: Oracle,
}

impl Store {
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

    /// Compressed deltas after `version` with their versions.
    pub(crate) fn deltas_after(&self, version: u64) -> Vec<(u64, Vec<u8>)> {
        let rows = self.rows.range(delta_key(version + 1)..);
        let rows = rows.take_while(|(key, _)| key.starts_with(DELTA_PREFIX));
        let rows = rows.map(|(key, (_, value))| {
            let digits = key.strip_prefix(DELTA_PREFIX).unwrap();
            (digits.parse().unwrap(), value.clone())
        });
        rows.collect()
    }

    /// Runs the transaction; returns whether its conditions held.
    pub(crate) fn transact(&mut self, transaction: &Transaction) -> bool {
        let plan = &transaction.plan;
        let change = change_key(&plan.delta.change_id);
        let revision = |key: &str| self.rows.get(key).map_or(0, |row| row.0);
        if revision(HEAD_KEY) != transaction.head_revision || revision(&change) != 0 {
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
            (change, version.to_string().into_bytes()),
        ];
        for (key, value) in writes {
            self.rows.insert(key, (self.revision, value));
        }
        self.oracle.accept(transaction);
        true
    }
}

/// The list of accepted changes, and the revision of each record by its own count.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    accepted: Vec<(String, ConfigSnapshot)>,
    revisions: BTreeMap<RecordKey, u64>,
}

impl Oracle {
    fn accept(&mut self, transaction: &Transaction) {
        let id = &transaction.change.change_id;
        let version = self.newest() + 1;
        assert_eq!(
            transaction.plan.snapshot.version(),
            version,
            "versions follow each other"
        );
        assert!(
            self.version_of(id).is_none(),
            "change `{id}` is accepted twice"
        );
        for write in &transaction.change.writes {
            let key = RecordKey::from(write.name.as_ref().unwrap());
            let revision = self.revisions.get(&key).copied().unwrap_or(0);
            assert_eq!(write.base_revision, revision, "two edits of {key} won");
            if write.forms.is_empty() {
                self.revisions.remove(&key);
            } else {
                self.revisions.insert(key, version);
            }
        }
        self.accepted
            .push((id.clone(), transaction.plan.snapshot.clone()));
    }

    pub(crate) fn newest(&self) -> u64 {
        self.accepted.len() as u64
    }

    pub(crate) fn version_of(&self, id: &str) -> Option<u64> {
        let place = self
            .accepted
            .iter()
            .position(|(accepted, _)| accepted == id);
        place.map(|place| place as u64 + 1)
    }

    /// Whether a change that was refused for this reason lost to another change.
    pub(crate) fn check_refusal(&self, refusal: &ChangeRefusal) {
        if let ChangeRefusal::Conflict(conflicts) = refusal {
            for conflict in conflicts {
                // A later change may have restored the revision only if it is 0, for no record.
                let revision = self.revisions.get(&conflict.key).copied().unwrap_or(0);
                let lost = revision != conflict.base || conflict.base == 0;
                assert!(lost, "no edit won over the refused one: {conflict}");
            }
        }
    }

    /// Checks that `snapshot` is exactly one accepted version and has no dangling reference.
    pub(crate) fn check_snapshot(&self, snapshot: &ConfigSnapshot) {
        let version = snapshot.version();
        if version == 0 {
            assert_eq!(snapshot.records().count(), 0);
            return;
        }
        let accepted = self.accepted.get(usize::try_from(version).unwrap() - 1);
        let (_, accepted) = accepted.expect("a version in force was accepted");
        assert!(
            snapshot.records().eq(accepted.records()),
            "version {version} differs from the accepted one"
        );
        for service in snapshot.records_of_kind(RecordKind::Service) {
            for form in &service.forms {
                let Some(Body::Service(form)) = &form.body else {
                    panic!("a service holds the form of another kind");
                };
                let policy = RecordKey::new(RecordKind::Policy, &form.policy);
                let held = snapshot.get(&policy).is_some();
                assert!(
                    held,
                    "version {version} lacks {policy}, which a service refers to"
                );
            }
        }
    }
}
