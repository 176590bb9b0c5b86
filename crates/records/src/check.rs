//! Rules on single records and on references between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Record, RecordForm, RecordKind, RouteForm};
use derive_more::Display;

use crate::key::RecordKey;
use crate::{NEWEST_SCHEMA, OLDEST_SCHEMA};

/// A rule that a record breaks.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ValidationError {
    /// A record refers to one that the version does not hold.
    #[display("{referrer} refers to {missing}, which does not exist")]
    Dangling {
        /// The record that refers.
        referrer: RecordKey,
        /// The record that is missing.
        missing: RecordKey,
    },
    /// The record has no form.
    #[display("{key} has no form")]
    NoForm {
        /// The record.
        key: RecordKey,
    },
    /// The forms are not in strictly ascending order of schema version.
    #[display("the forms of {key} are not in ascending order of schema version")]
    FormOrder {
        /// The record.
        key: RecordKey,
    },
    /// A form has a schema version that no release knows.
    #[display("{key} has a form of the unknown schema version {schema}")]
    UnknownSchema {
        /// The record.
        key: RecordKey,
        /// The schema version.
        schema: u32,
    },
    /// A form's body does not belong to the record's kind.
    #[display("{key} has a form of another kind")]
    WrongBody {
        /// The record.
        key: RecordKey,
    },
    /// Two routes match the same calls.
    #[display("{first} and {second} match the same calls")]
    SameMatch {
        /// One route.
        first: RecordKey,
        /// The other route.
        second: RecordKey,
    },
}

/// Returns every rule that the records of a version break.
pub fn validate_records(records: &BTreeMap<RecordKey, Arc<Record>>) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (key, record) in records {
        check_forms(key, record, &mut faults);
        for missing in references(record).filter(|target| !records.contains_key(target)) {
            let fault = ValidationError::Dangling {
                referrer: key.clone(),
                missing,
            };
            if !faults.contains(&fault) {
                faults.push(fault);
            }
        }
    }
    check_matches(records, &mut faults);
    faults
}

/// Keys of all records that `record` refers to, in any of its forms.
pub(crate) fn references(record: &Record) -> impl Iterator<Item = RecordKey> + '_ {
    record.forms.iter().flat_map(form_references)
}

/// Names of the services that a route sends calls to.
pub(crate) fn route_services(route: &RouteForm) -> impl Iterator<Item = &str> {
    let whole = route.split.is_empty().then_some(route.service.as_str());
    let parts = route.split.iter().map(|part| part.service.as_str());
    whole.into_iter().chain(parts)
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
        Some(Body::Policy(_)) | None => Vec::new(),
    }
}

fn check_forms(key: &RecordKey, record: &Record, faults: &mut Vec<ValidationError>) {
    if record.forms.is_empty() {
        faults.push(ValidationError::NoForm { key: key.clone() });
    }
    if !record
        .forms
        .is_sorted_by(|left, right| left.schema < right.schema)
    {
        faults.push(ValidationError::FormOrder { key: key.clone() });
    }
    for form in &record.forms {
        // A newer release may add schema versions; a form beyond the newest known one is carried
        // along unread as long as the record also has a form that this release reads.
        if form.schema < OLDEST_SCHEMA {
            faults.push(ValidationError::UnknownSchema {
                key: key.clone(),
                schema: form.schema,
            });
        }
        if body_kind(form).is_some_and(|kind| kind != key.kind)
            || (body_kind(form).is_none() && form.schema <= NEWEST_SCHEMA)
        {
            faults.push(ValidationError::WrongBody { key: key.clone() });
        }
    }
}

fn body_kind(form: &RecordForm) -> Option<RecordKind> {
    form.body.as_ref().map(|body| match body {
        Body::Route(_) => RecordKind::Route,
        Body::Service(_) => RecordKind::Service,
        Body::Policy(_) => RecordKind::Policy,
    })
}

fn check_matches(records: &BTreeMap<RecordKey, Arc<Record>>, faults: &mut Vec<ValidationError>) {
    let mut seen: BTreeMap<(u32, &str, &str), &RecordKey> = BTreeMap::new();
    for (key, record) in records {
        for form in &record.forms {
            let Some(Body::Route(route)) = &form.body else {
                continue;
            };
            let place = (form.schema, route.host.as_str(), route.prefix.as_str());
            if let Some(first) = seen.insert(place, key) {
                let (first, second) = (first.clone(), key.clone());
                faults.push(ValidationError::SameMatch { first, second });
            }
        }
    }
}
