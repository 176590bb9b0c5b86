//! Renders a record as TOML that [`crate::read_record_file`] parses, and compares record forms.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Record, RecordForm, RouteLimits, WeightedService};
use serde::Serialize;
use toml::{Table, Value};

use crate::key::kind_name;
use crate::record_file::repeat_rule_name;

/// Renders a record, with its revision, as part of a TOML record file.
pub fn render_record(record: &Record) -> String {
    let mut table = Table::new();
    table.insert("name".to_owned(), Value::from(record.name.as_str()));
    let revision = i64::try_from(record.revision).unwrap_or(i64::MAX);
    table.insert("revision".to_owned(), Value::from(revision));
    let forms = record
        .forms
        .iter()
        .map(|form| Value::Table(form_table(form)))
        .collect();
    table.insert("form".to_owned(), Value::Array(forms));
    let mut root = Table::new();
    let kind = kind_name(record.kind()).to_owned();
    root.insert(kind, Value::Array(vec![Value::Table(table)]));
    root.to_string()
}

/// A field that differs between two versions of a record.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldDifference {
    /// Schema version of the form.
    pub schema: u32,
    /// Name of the field in record files.
    pub field: String,
    /// Old value, as TOML; `None` if the form or the field is new.
    pub old: Option<String>,
    /// New value, as TOML; `None` if the form or the field was removed.
    pub new: Option<String>,
}

/// Returns the fields that differ between two versions of a record, ordered by schema version and
/// field name.
pub fn field_differences(old: &[RecordForm], new: &[RecordForm]) -> Vec<FieldDifference> {
    let (old, new) = (field_values(old), field_values(new));
    let field_keys: BTreeSet<&(u32, String)> = old.keys().chain(new.keys()).collect();
    let differing = field_keys
        .into_iter()
        .filter(|field_key| old.get(*field_key) != new.get(*field_key));
    differing
        .map(|field_key| FieldDifference {
            schema: field_key.0,
            field: field_key.1.clone(),
            old: old.get(field_key).cloned(),
            new: new.get(field_key).cloned(),
        })
        .collect()
}

fn field_values(forms: &[RecordForm]) -> BTreeMap<(u32, String), String> {
    let fields = forms.iter().flat_map(|form| {
        let fields = form_table(form).into_iter();
        fields.map(|(field, value)| ((form.schema, field), value.to_string()))
    });
    fields.collect()
}

fn weighted_service_value(weighted_service: &WeightedService) -> Value {
    let mut table = Table::new();
    table.insert(
        "service".to_owned(),
        Value::from(weighted_service.service.as_str()),
    );
    table.insert("weight".to_owned(), Value::from(weighted_service.weight));
    Value::Table(table)
}

fn limits_table(limits: &RouteLimits) -> Table {
    let fields = [
        ("repeat", Value::from(repeat_rule_name(limits.repeat()))),
        ("timeout_ms", Value::from(limits.timeout_ms)),
        ("max_attempts", Value::from(limits.max_attempts)),
        ("priority", Value::from(limits.priority)),
        ("target_latency_ms", Value::from(limits.target_latency_ms)),
    ];
    let fields = fields.into_iter();
    fields.map(|(key, value)| (key.to_owned(), value)).collect()
}

fn form_table(form: &RecordForm) -> Table {
    let mut table = Table::new();
    let mut insert = |key: &str, value: Value| table.insert(key.to_owned(), value);
    insert("schema", Value::from(form.schema));
    match &form.body {
        Some(Body::Route(route)) => {
            insert("prefix", Value::from(route.prefix.as_str()));
            if route.split.is_empty() {
                insert("service", Value::from(route.service.as_str()));
            } else {
                let services: Vec<Value> = route.split.iter().map(weighted_service_value).collect();
                insert("split", Value::Array(services));
            }
            if let Some(limits) = &route.limits {
                insert("limits", Value::Table(limits_table(limits)));
            }
            insert("class", Value::from(route.class.as_str()));
            if !route.host.is_empty() {
                insert("host", Value::from(route.host.as_str()));
            }
            if route.public {
                insert("public", Value::from(true));
            }
        }
        Some(Body::Service(service)) => {
            insert("policy", Value::from(service.policy.as_str()));
            insert("depends_on", Value::from(service.depends_on.clone()));
            insert("health_path", Value::from(service.health_path.as_str()));
            if !service.load_path.is_empty() {
                insert("load_path", Value::from(service.load_path.as_str()));
            }
        }
        Some(Body::Policy(policy)) => {
            insert("repeat", Value::from(repeat_rule_name(policy.repeat())));
            insert("timeout_ms", Value::from(policy.timeout_ms));
            insert("slots", Value::from(policy.slots));
            insert("queue", Value::from(policy.queue));
            insert("connections", Value::from(policy.connections));
            insert("max_attempts", Value::from(policy.max_attempts));
            if form.schema >= 2 {
                insert(
                    "tenant_share_percent",
                    Value::from(policy.tenant_share_percent),
                );
                insert("warm_up_ms", Value::from(policy.warm_up_ms));
            }
        }
        Some(Body::Workspace(workspace)) => {
            let digests = workspace.key_digests.iter();
            let digests = digests.map(|bytes| Value::from(encode_hex(bytes)));
            insert("key_digests", Value::Array(digests.collect()));
            insert("priority", Value::from(workspace.priority));
            insert("rate_per_s", whole_number(workspace.rate_per_s));
            insert("burst", whole_number(workspace.burst));
        }
        None => {}
    }
    table
}

/// Record files hold whole numbers only, so a fraction is rounded.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a number beyond the range of an integer is limited to it"
)]
fn whole_number(number: f64) -> Value {
    Value::from(number.round() as i64)
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
