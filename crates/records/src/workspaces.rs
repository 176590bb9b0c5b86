//! Index of the workspaces of a snapshot by the digests of their keys, and the rules for workspaces.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Record, RecordKind, WorkspaceForm};

use crate::key::RecordKey;
use crate::key_digest::KeyDigest;
use crate::validation::ValidationError;

/// Name of the workspace that holds each key.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceIndex {
    names: HashMap<KeyDigest, String>,
}

impl WorkspaceIndex {
    pub(crate) fn new(records: &BTreeMap<RecordKey, Arc<Record>>) -> Self {
        let digests = workspace_forms(records).flat_map(|(key, form)| {
            let digests = form.key_digests.iter();
            let digests = digests.filter_map(|bytes| KeyDigest::from_slice(bytes));
            digests.map(|digest| (digest, key.name.clone()))
        });
        Self {
            names: digests.collect(),
        }
    }

    pub(crate) fn name_of(&self, digest: &KeyDigest) -> Option<&str> {
        self.names.get(digest).map(String::as_str)
    }
}

/// Newest form of each workspace.
fn workspace_forms(
    records: &BTreeMap<RecordKey, Arc<Record>>,
) -> impl Iterator<Item = (&RecordKey, &WorkspaceForm)> {
    let start = RecordKey::new(RecordKind::Workspace, "");
    let workspaces = records.range(start..);
    workspaces.filter_map(|(key, record)| match &record.forms.last()?.body {
        Some(Body::Workspace(form)) => Some((key, form)),
        _ => None,
    })
}

/// Adds every violation of a rule for workspaces to `errors`. No error contains a key or its digest.
pub(crate) fn check_workspaces(
    records: &BTreeMap<RecordKey, Arc<Record>>,
    errors: &mut Vec<ValidationError>,
) {
    let mut holders: HashMap<KeyDigest, &RecordKey> = HashMap::new();
    for (key, form) in workspace_forms(records) {
        if key.name.is_empty() {
            errors.push(ValidationError::EmptyName { key: key.clone() });
        }
        for (field, number) in [("rate_per_s", form.rate_per_s), ("burst", form.burst)] {
            if !number.is_finite() || number < 0.0 {
                let key = key.clone();
                errors.push(ValidationError::InvalidNumber { key, field });
            }
        }
        for bytes in &form.key_digests {
            let Some(digest) = KeyDigest::from_slice(bytes) else {
                errors.push(ValidationError::InvalidKeyDigest { key: key.clone() });
                continue;
            };
            if let Some(first) = holders.insert(digest, key) {
                let (first, second) = (first.clone(), key.clone());
                errors.push(ValidationError::SharedKey { first, second });
            }
        }
    }
}
