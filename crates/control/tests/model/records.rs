//! Builders of record writes.

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{PolicyForm, RecordForm, RecordKind, RecordName, RecordWrite, ServiceForm};

fn record_write(
    kind: RecordKind,
    name: &str,
    base: u64,
    schema: u32,
    body: Option<Body>,
) -> RecordWrite {
    let form = |body| RecordForm {
        schema,
        body: Some(body),
    };
    RecordWrite {
        name: Some(RecordName {
            kind: kind.into(),
            name: name.to_owned(),
        }),
        forms: body.into_iter().map(form).collect(),
        base_revision: base,
    }
}

pub(crate) fn policy_write(name: &str, base: u64, schema: u32, slots: u32) -> RecordWrite {
    let form = PolicyForm {
        slots,
        ..PolicyForm::default()
    };
    let body = Some(Body::Policy(form));
    record_write(RecordKind::Policy, name, base, schema, body)
}

pub(crate) fn service_write(name: &str, base: u64, policy: &str) -> RecordWrite {
    let form = ServiceForm {
        policy: policy.to_owned(),
        ..ServiceForm::default()
    };
    let body = Some(Body::Service(form));
    record_write(RecordKind::Service, name, base, 1, body)
}

pub(crate) fn retirement_write(kind: RecordKind, name: &str, base: u64) -> RecordWrite {
    record_write(kind, name, base, 1, None)
}
