//! Parses record files, which are written in TOML.

use std::ops::RangeInclusive;

use agatedeck_findings::{DiagnosticList, TableReader, TomlDocument};
use agatedeck_wire::record_form::Body;
use agatedeck_wire::{
    PolicyForm, RecordForm, RecordKind, RecordName, RecordWrite, RepeatRule, RouteForm,
    RouteLimits, ServiceForm, WeightedService, WorkspaceForm,
};

use crate::key::{RecordKey, kind_name};
use crate::{NEWEST_SCHEMA, OLDEST_SCHEMA};

/// Default timeout of a call whose caller states no deadline, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 1_000;
/// Default number of calls that a target runs concurrently.
const DEFAULT_SLOTS: u32 = 10;
/// Default limit on the connections that a target accepts.
const DEFAULT_CONNECTIONS: u32 = 130;
/// Default limit on the attempts of a call, the first included.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// TOML integers are signed, with a maximum of 2^63 - 1.
const REVISION_RANGE: RangeInclusive<u64> = 0..=i64::MAX.unsigned_abs();
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
const SLOT_RANGE: RangeInclusive<u64> = 1..=10_000;
const CONNECTION_RANGE: RangeInclusive<u64> = 1..=10_000;
const QUEUE_RANGE: RangeInclusive<u64> = 0..=10_000;
const ATTEMPT_RANGE: RangeInclusive<u64> = 1..=10;
const SHARE_RANGE_PERCENT: RangeInclusive<u64> = 1..=100;
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const PRIORITY_RANGE: RangeInclusive<u64> = 0..=100;
const QUOTA_RANGE: RangeInclusive<u64> = 0..=u32::MAX as u64;
const WARM_UP_RANGE_MS: RangeInclusive<u64> = 0..=600_000;

/// A record read from a record file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileRecord {
    /// Kind and name of the record.
    pub key: RecordKey,
    /// Forms in ascending order of schema version.
    pub forms: Vec<RecordForm>,
    /// Revision that the edit is based on; `None` if the file has no `revision`. An explicit 0
    /// requires that the record does not exist yet.
    pub revision: Option<u64>,
    /// Line of the record's name, counted from 1.
    pub line: usize,
    /// Column of the record's name, counted from 1.
    pub column: usize,
}

impl FileRecord {
    /// Returns a write of this record based on the revision in the file, or on
    /// `current_revision` if the file has none.
    pub fn to_write(&self, current_revision: u64) -> RecordWrite {
        RecordWrite {
            name: Some(RecordName::from(&self.key)),
            forms: self.forms.clone(),
            base_revision: self.revision.unwrap_or(current_revision),
        }
    }
}

/// Parses the records in `text`; `file` is the name used in diagnostics.
///
/// # Errors
///
/// Returns a diagnostic with its position for every error in the file.
pub fn read_record_file(file: &str, text: &str) -> Result<Vec<FileRecord>, DiagnosticList> {
    let document = TomlDocument::parse(file, text);
    let mut root = document.root();
    let mut records = Vec::new();
    for kind in [
        RecordKind::Workspace,
        RecordKind::Policy,
        RecordKind::Service,
        RecordKind::Route,
    ] {
        for mut table in root.tables(kind_name(kind)) {
            records.extend(read_record(kind, &mut table));
            table.finish();
        }
    }
    root.finish();
    document.finish()?;
    Ok(records)
}

fn read_record(kind: RecordKind, table: &mut TableReader<'_>) -> Option<FileRecord> {
    let name = table.required_text("name");
    let revision = table.integer("revision", REVISION_RANGE);
    let forms = read_forms(kind, table);
    let name = name?;
    if !is_valid_name(name) {
        table.report(
            "name",
            "`name` must be 1 to 63 of a-z, 0-9 and `-`, starting with a letter",
        );
    }
    let (line, column) = table.position_of("name");
    Some(FileRecord {
        key: RecordKey::new(kind, name),
        forms,
        revision,
        line,
        column,
    })
}

fn is_valid_name(name: &str) -> bool {
    let is_letter = |byte: u8| byte.is_ascii_lowercase();
    name.len() <= 63
        && name.bytes().next().is_some_and(is_letter)
        && name
            .bytes()
            .all(|byte| is_letter(byte) || byte.is_ascii_digit() || byte == b'-')
}

fn read_forms(kind: RecordKind, table: &mut TableReader<'_>) -> Vec<RecordForm> {
    let mut forms: Vec<RecordForm> = Vec::new();
    let tables = table.tables("form");
    if tables.is_empty() {
        table.report_missing("form");
    }
    for mut form_table in tables {
        let schema = read_schema(&mut form_table);
        let body = match kind {
            RecordKind::Route => Body::Route(read_route(&mut form_table)),
            RecordKind::Service => Body::Service(read_service(&mut form_table)),
            RecordKind::Workspace => Body::Workspace(read_workspace(&mut form_table)),
            RecordKind::Policy | RecordKind::Unspecified => {
                Body::Policy(read_policy(&mut form_table))
            }
        };
        check_schema_keys(&form_table, schema);
        if forms.last().is_some_and(|last| last.schema >= schema) {
            form_table.report("schema", "forms must be in ascending order of `schema`");
        }
        forms.push(RecordForm {
            schema,
            body: Some(body),
        });
        form_table.finish();
    }
    forms
}

fn read_schema(table: &mut TableReader<'_>) -> u32 {
    if !table.contains_key("schema") {
        table.report_missing("schema");
    }
    let range = u64::from(OLDEST_SCHEMA)..=u64::from(NEWEST_SCHEMA);
    let schema = table
        .integer("schema", range)
        .unwrap_or(u64::from(NEWEST_SCHEMA));
    u32::try_from(schema).unwrap_or(NEWEST_SCHEMA)
}

/// Keys that schema version 2 introduced.
const SCHEMA_2_KEYS: [&str; 4] = ["host", "load_path", "tenant_share_percent", "warm_up_ms"];

/// Keys that schema version 3 introduced.
const SCHEMA_3_KEYS: [&str; 2] = ["split", "limits"];

/// Keys that schema version 4 introduced.
const SCHEMA_4_KEYS: [&str; 4] = ["public", "key_digests", "rate_per_s", "burst"];

fn check_schema_keys(table: &TableReader<'_>, schema: u32) {
    let introduced: [(u32, &[&str]); 3] = [
        (2, &SCHEMA_2_KEYS),
        (3, &SCHEMA_3_KEYS),
        (4, &SCHEMA_4_KEYS),
    ];
    for (first_schema, keys) in introduced {
        for key in keys
            .iter()
            .filter(|key| schema < first_schema && table.contains_key(key))
        {
            table.report(key, format!("`{key}` needs schema {first_schema} or later"));
        }
    }
}

fn required_string(table: &mut TableReader<'_>, key: &str) -> String {
    table.required_text(key).unwrap_or_default().to_owned()
}

fn optional_string(table: &mut TableReader<'_>, key: &str) -> String {
    table.text(key).unwrap_or_default().to_owned()
}

fn check_path(table: &TableReader<'_>, key: &str, path: String) -> String {
    if !path.is_empty() && !path.starts_with('/') {
        table.report(key, format!("`{key}` must start with `/`"));
    }
    path
}

fn read_route(table: &mut TableReader<'_>) -> RouteForm {
    let prefix = required_string(table, "prefix");
    let prefix = check_path(table, "prefix", prefix);
    let split: Vec<WeightedService> = table
        .tables("split")
        .into_iter()
        .map(read_weighted_service)
        .collect();
    let service = if split.is_empty() {
        required_string(table, "service")
    } else {
        optional_string(table, "service")
    };
    if !split.is_empty() && !service.is_empty() {
        table.report("service", "`service` and `split` exclude each other");
    }
    let class = table.text("class").unwrap_or("default").to_owned();
    let host = optional_string(table, "host");
    let limits = table.table("limits").map(read_limits);
    let public = table.boolean("public").unwrap_or_default();
    RouteForm {
        prefix,
        service,
        class,
        host,
        split,
        limits,
        public,
    }
}

fn read_weighted_service(mut table: TableReader<'_>) -> WeightedService {
    let service = required_string(&mut table, "service");
    let weight = integer_or_default(&mut table, "weight", WEIGHT_RANGE, 1);
    table.finish();
    WeightedService { service, weight }
}

fn read_limits(mut table: TableReader<'_>) -> RouteLimits {
    let repeat = read_repeat_rule(&mut table).into();
    let timeout_ms = integer_or_default(
        &mut table,
        "timeout_ms",
        TIMEOUT_RANGE_MS,
        DEFAULT_TIMEOUT_MS,
    );
    let max_attempts = integer_or_default(
        &mut table,
        "max_attempts",
        ATTEMPT_RANGE,
        DEFAULT_MAX_ATTEMPTS,
    );
    let priority = integer_or_default(&mut table, "priority", PRIORITY_RANGE, 0);
    let target_latency_range_ms = 0..=*TIMEOUT_RANGE_MS.end();
    let target_latency_ms =
        integer_or_default(&mut table, "target_latency_ms", target_latency_range_ms, 0);
    table.finish();
    RouteLimits {
        repeat,
        timeout_ms,
        max_attempts,
        priority,
        target_latency_ms,
    }
}

fn read_service(table: &mut TableReader<'_>) -> ServiceForm {
    let policy = required_string(table, "policy");
    let depends_on = table
        .text_array("depends_on")
        .into_iter()
        .map(str::to_owned)
        .collect();
    let health_path = required_string(table, "health_path");
    let health_path = check_path(table, "health_path", health_path);
    let load_path = optional_string(table, "load_path");
    let load_path = check_path(table, "load_path", load_path);
    ServiceForm {
        policy,
        depends_on,
        health_path,
        load_path,
    }
}

/// Returns the name of a repeat rule in record files.
pub(crate) fn repeat_rule_name(rule: RepeatRule) -> &'static str {
    match rule {
        RepeatRule::SafeMethods => "safe-methods",
        RepeatRule::Always => "always",
        RepeatRule::Once => "once",
        RepeatRule::Never => "never",
    }
}

fn read_repeat_rule(table: &mut TableReader<'_>) -> RepeatRule {
    let rules = [
        RepeatRule::SafeMethods,
        RepeatRule::Always,
        RepeatRule::Once,
        RepeatRule::Never,
    ];
    let Some(name) = table.text("repeat") else {
        return RepeatRule::SafeMethods;
    };
    let rule = rules
        .into_iter()
        .find(|rule| repeat_rule_name(*rule) == name);
    if rule.is_none() {
        table.report(
            "repeat",
            "`repeat` must be `safe-methods`, `always`, `once` or `never`",
        );
    }
    rule.unwrap_or_default()
}

fn read_policy(table: &mut TableReader<'_>) -> PolicyForm {
    let repeat = read_repeat_rule(table).into();
    let timeout_ms = integer_or_default(table, "timeout_ms", TIMEOUT_RANGE_MS, DEFAULT_TIMEOUT_MS);
    let slots = integer_or_default(table, "slots", SLOT_RANGE, DEFAULT_SLOTS);
    let queue = integer_or_default(table, "queue", QUEUE_RANGE, slots);
    let connections =
        integer_or_default(table, "connections", CONNECTION_RANGE, DEFAULT_CONNECTIONS);
    let max_attempts =
        integer_or_default(table, "max_attempts", ATTEMPT_RANGE, DEFAULT_MAX_ATTEMPTS);
    let tenant_share_percent =
        integer_or_default(table, "tenant_share_percent", SHARE_RANGE_PERCENT, 100);
    let warm_up_ms = integer_or_default(table, "warm_up_ms", WARM_UP_RANGE_MS, 0);
    PolicyForm {
        repeat,
        timeout_ms,
        slots,
        queue,
        connections,
        max_attempts,
        tenant_share_percent,
        warm_up_ms,
    }
}

fn read_workspace(table: &mut TableReader<'_>) -> WorkspaceForm {
    let texts = table.text_array("key_digests");
    let digests: Vec<Option<Vec<u8>>> = texts.into_iter().map(decode_hex).collect();
    if digests.iter().any(Option::is_none) {
        table.report("key_digests", "a key digest must be 32 hexadecimal digits");
    }
    let priority = integer_or_default(table, "priority", PRIORITY_RANGE, 0);
    let rate = integer_or_default(table, "rate_per_s", QUOTA_RANGE, 0);
    let burst = integer_or_default(table, "burst", QUOTA_RANGE, 0);
    WorkspaceForm {
        key_digests: digests.into_iter().flatten().collect(),
        priority,
        rate_per_s: rate.into(),
        burst: burst.into(),
    }
}

/// Decodes the digest of a key.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() != 32 || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}

fn integer_or_default(
    table: &mut TableReader<'_>,
    key: &str,
    range: RangeInclusive<u64>,
    default: u32,
) -> u32 {
    let number = table
        .integer(key, range)
        .and_then(|number| u32::try_from(number).ok());
    number.unwrap_or(default)
}
