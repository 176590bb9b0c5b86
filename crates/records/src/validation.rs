//! Validation rules for single records and for references between records.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Record, RecordForm, RecordKind, RouteForm};
use derive_more::Display;

use crate::key::RecordKey;
use crate::workspaces::check_workspaces;
use crate::{NEWEST_SCHEMA, OLDEST_SCHEMA};

/// A violation of a validation rule.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ValidationError {
    /// A record refers to a record that does not exist in the version.
    #[display("{referrer} refers to {missing}, which does not exist")]
    DanglingReference {
        /// The referring record.
        referrer: RecordKey,
        /// The missing record.
        missing: RecordKey,
    },
    /// The record has no form.
    #[display("{key} has no form")]
    MissingForms {
        /// The record.
        key: RecordKey,
    },
    /// The forms are not in strictly ascending order of schema version.
    #[display("the forms of {key} are not in ascending order of schema version")]
    UnorderedForms {
        /// The record.
        key: RecordKey,
    },
    /// A form has a schema version that no release supports.
    #[display("{key} has a form of the unknown schema version {schema}")]
    UnknownSchema {
        /// The record.
        key: RecordKey,
        /// The schema version.
        schema: u32,
    },
    /// A form has a body of a kind other than the record's, or no body although this release knows
    /// its schema version.
    #[display("{key} has a form of another kind")]
    KindMismatch {
        /// The record.
        key: RecordKey,
    },
    /// Two records have the same kind and name.
    #[display("{key} is there twice")]
    DuplicateRecord {
        /// Their key.
        key: RecordKey,
    },
    /// The record has an empty name.
    #[display("{key} has an empty name")]
    EmptyName {
        /// The record.
        key: RecordKey,
    },
    /// A number is negative or not finite.
    #[display("`{field}` of {key} must be a finite number of at least 0")]
    InvalidNumber {
        /// The record.
        key: RecordKey,
        /// Name of the field.
        field: &'static str,
    },
    /// A key digest of a workspace has the wrong length.
    #[display("{key} has a key digest of the wrong length")]
    InvalidKeyDigest {
        /// The record.
        key: RecordKey,
    },
    /// Two workspaces have the same key, or one has it twice.
    #[display("a key of {second} is also a key of {first}")]
    SharedKey {
        /// One workspace.
        first: RecordKey,
        /// The other workspace.
        second: RecordKey,
    },
    /// Two routes have forms of the same schema version with equal host and prefix.
    #[display("{first} and {second} match the same calls")]
    DuplicateMatch {
        /// One route.
        first: RecordKey,
        /// The other route.
        second: RecordKey,
    },
}

/// Returns every violation of a validation rule by the records of a version.
pub fn validate_records(records: &BTreeMap<RecordKey, Arc<Record>>) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (key, record) in records {
        check_forms(key, record, &mut errors);
        for missing in references(record).filter(|referenced| !records.contains_key(referenced)) {
            let error = ValidationError::DanglingReference {
                referrer: key.clone(),
                missing,
            };
            if !errors.contains(&error) {
                errors.push(error);
            }
        }
    }
    check_duplicate_matches(records, &mut errors);
    check_workspaces(records, &mut errors);
    errors
}

/// Iterates over the keys of the records that any form of `record` refers to.
pub(crate) fn references(record: &Record) -> impl Iterator<Item = RecordKey> + '_ {
    record.forms.iter().flat_map(form_references)
}

/// Iterates over the names of the services that a route sends calls to.
pub(crate) fn route_services(route: &RouteForm) -> impl Iterator<Item = &str> {
    let single = route.split.is_empty().then_some(route.service.as_str());
    let split = route.split.iter().map(|part| part.service.as_str());
    single.into_iter().chain(split)
}

fn form_references(form: &RecordForm) -> Vec<RecordKey> {
    match &form.body {
        Some(Body::Route(route)) => route_services(route)
            .map(|name| RecordKey::new(RecordKind::Service, name))
            .collect(),
        Some(Body::Service(service)) => {
            let policy = RecordKey::new(RecordKind::Policy, &service.policy);
            let services = service.depends_on.iter();
            let services = services.map(|name| RecordKey::new(RecordKind::Service, name));
            std::iter::once(policy).chain(services).collect()
        }
        Some(Body::Policy(_) | Body::Workspace(_)) | None => Vec::new(),
    }
}

fn check_forms(key: &RecordKey, record: &Record, errors: &mut Vec<ValidationError>) {
    if record.forms.is_empty() {
        errors.push(ValidationError::MissingForms { key: key.clone() });
    }
    if !record
        .forms
        .is_sorted_by(|left, right| left.schema < right.schema)
    {
        errors.push(ValidationError::UnorderedForms { key: key.clone() });
    }
    for form in &record.forms {
        // A newer release may add schema versions, so a form beyond the newest known version is
        // valid. `SnapshotView::unreadable` lists the records that have only such forms.
        if form.schema < OLDEST_SCHEMA {
            errors.push(ValidationError::UnknownSchema {
                key: key.clone(),
                schema: form.schema,
            });
        }
        if body_kind(form).is_some_and(|kind| kind != key.kind)
            || (body_kind(form).is_none() && form.schema <= NEWEST_SCHEMA)
        {
            errors.push(ValidationError::KindMismatch { key: key.clone() });
        }
    }
}

fn body_kind(form: &RecordForm) -> Option<RecordKind> {
    form.body.as_ref().map(|body| match body {
        Body::Route(_) => RecordKind::Route,
        Body::Service(_) => RecordKind::Service,
        Body::Policy(_) => RecordKind::Policy,
        Body::Workspace(_) => RecordKind::Workspace,
    })
}

fn check_duplicate_matches(
    records: &BTreeMap<RecordKey, Arc<Record>>,
    errors: &mut Vec<ValidationError>,
) {
    let mut seen: BTreeMap<(u32, &str, &str), &RecordKey> = BTreeMap::new();
    for (key, record) in records {
        for form in &record.forms {
            let Some(Body::Route(route)) = &form.body else {
                continue;
            };
            let match_key = (form.schema, route.host.as_str(), route.prefix.as_str());
            if let Some(first) = seen.insert(match_key, key) {
                let (first, second) = (first.clone(), key.clone());
                errors.push(ValidationError::DuplicateMatch { first, second });
            }
        }
    }
}
