//! Parsing of the `calls` table of the settings.

use agatedeck_node::{CallSettings, NodeSettings};
use std::time::Duration;

const OTHER_SETTINGS: &str = r#"
[node]
name = "n"
region = "r"
domain = "d"
[listen]
calls = "127.0.0.1:0"
peer = "127.0.0.1:0"
control = "127.0.0.1:0"
admin = "127.0.0.1:0"
[store]
url = "http://127.0.0.1:1"
region = "r"
"#;

/// Guards against a key that is read into the wrong field and against lost defaults.
#[test]
fn call_limits_are_parsed() {
    let table = "[calls]\nkept_answer_bytes = 1\ndrain_limit_ms = 2\ntarget_connections = 40\n";
    let settings = NodeSettings::parse("node.toml", &format!("{table}{OTHER_SETTINGS}"));
    let calls = settings.expect("the settings are valid").calls;
    assert_eq!(calls.kept_answer_bytes, 1);
    assert_eq!(calls.drain_limit, Duration::from_millis(2));
    assert_eq!(calls.target_connections, 40);
    let defaults = CallSettings::default();
    assert_eq!(calls.kept_request_bytes, defaults.kept_request_bytes);
    assert_eq!(calls.probe_interval, defaults.probe_interval);
}

/// Guards against diagnostics that are lost or reported without their line.
#[test]
fn all_diagnostics_are_reported_with_their_line() {
    let table = "[calls]\ndrain_limit_ms = 0\nidle_connections = \"many\"\nretries = 3\n";
    let diagnostics = NodeSettings::parse("node.toml", &format!("{table}{OTHER_SETTINGS}"));
    let diagnostics = diagnostics
        .expect_err("the settings are invalid")
        .to_string();
    for position in ["node.toml:2:", "node.toml:3:", "node.toml:4:"] {
        assert!(diagnostics.contains(position), "{diagnostics}");
    }
}
