//! Runs `agatedeckctl` and `agatedeck-node --check` as an operator does.

mod support;

use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use support::{TestMesh, TestMeshSettings, eventually};

const RECORD_FILE_PATH: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/examples/records/lotusmere.toml"
);

/// Runs `agatedeckctl` against the admin API of a node.
fn run_agatedeckctl(mesh: &TestMesh, node: usize, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatedeckctl"))
        .arg("--node")
        .arg(mesh.nodes[node].addresses.admin.to_string())
        .args(arguments)
        .output()
        .expect("`agatedeckctl` should run")
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

/// Guards against records applied with `agatedeckctl` that do not become active on every node
/// process, or under which calls are not answered, and against wrong exit codes of the subcommands.
#[tokio::test(flavor = "multi_thread")]
async fn records_applied_by_agatedeckctl_are_active_on_every_node() {
    let mesh = TestMesh::start(TestMeshSettings::default()).await;
    for node in 0..mesh.node_count() {
        let serving = || async { mesh.serving_version(node).await == Some(0) };
        eventually(Duration::from_secs(20), serving).await;
    }
    let apply_output = run_agatedeckctl(&mesh, 0, &["apply", "-f", RECORD_FILE_PATH]);
    assert_eq!(exit_code(&apply_output), Some(0), "{apply_output:?}");
    let watch_output = run_agatedeckctl(&mesh, 3, &["watch", "1", "--timeout", "10"]);
    assert_eq!(exit_code(&watch_output), Some(0), "{watch_output:?}");

    let status_output = run_agatedeckctl(&mesh, 2, &["status", "--json"]);
    let status: Value =
        serde_json::from_slice(&status_output.stdout).expect("status should be JSON");
    assert_eq!(status["wanted"], 1, "{status}");
    assert_eq!(status["nodes"], 4, "{status}");
    assert_eq!(status["laggards"], serde_json::json!([]), "{status}");
    let answer = mesh.send_call(1, "/slots/today", "guest-1").await;
    assert_eq!(answer.outcome, "answered");
    assert_eq!(answer.body["request"], "guest-1");

    let retire_output = run_agatedeckctl(&mesh, 1, &["retire", "service", "slotfinder"]);
    assert_eq!(exit_code(&retire_output), Some(1), "{retire_output:?}");
    let text = String::from_utf8_lossy(&retire_output.stdout);
    assert!(
        text.contains("route `slots`"),
        "the route that refers to the service is not named: {text}"
    );
    let history_output = run_agatedeckctl(&mesh, 1, &["history"]);
    assert_eq!(exit_code(&history_output), Some(0), "{history_output:?}");

    let timeout_output = run_agatedeckctl(&mesh, 1, &["watch", "9", "--timeout", "1"]);
    assert_eq!(exit_code(&timeout_output), Some(1), "{timeout_output:?}");
}

/// Guards against a settings check that stops at the first error or omits its line and column.
#[test]
fn all_invalid_settings_are_reported_with_their_positions() {
    let folder = tempfile::tempdir().expect("temporary folder should be created");
    let file = folder.path().join("node.toml");
    let text = "[node]\nname = \"n\"\nregion = 7\ndomain = \"d\"\nrack = 1\n\n[listen]\n\
                calls = \"localhost:1\"\npeer = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n\
                admin = \"127.0.0.1:0\"\n\n[store]\nurl = \"http://store:80\"\nregion = \"r\"\n";
    std::fs::write(&file, text).expect("settings file should be written");
    let output = Command::new(env!("CARGO_BIN_EXE_agatedeck-node"))
        .arg("--check")
        .arg("--config")
        .arg(&file)
        .output()
        .expect("`agatedeck-node` should run");
    assert_eq!(exit_code(&output), Some(2), "{output:?}");
    let diagnostics = String::from_utf8_lossy(&output.stderr);
    let missing_positions: Vec<&str> = ["3:10", "5:1", "8:9", "14:7"]
        .into_iter()
        .filter(|position| !diagnostics.contains(&format!("node.toml:{position}: ")))
        .collect();
    assert!(
        missing_positions.is_empty(),
        "no diagnostic at {missing_positions:?} in:\n{diagnostics}"
    );
}

/// Guards against an example settings file that the settings check rejects.
#[test]
fn the_example_settings_are_valid() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/node.toml");
    let output = Command::new(env!("CARGO_BIN_EXE_agatedeck-node"))
        .args(["--check", "--config", file])
        .output()
        .expect("`agatedeck-node` should run");
    assert_eq!(exit_code(&output), Some(0), "{output:?}");
}
