//! Guards the operators' way through the real programs: records written by the command line are in
//! force on several node processes, and calls are answered by them.

mod support;

use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use support::{Fleet, FleetSettings, eventually};

const RECORDS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/examples/records/lotusmere.toml"
);

/// Runs `agatedeckctl` against one node of the fleet.
fn ctl(fleet: &Fleet, node: usize, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatedeckctl"))
        .arg("--node")
        .arg(fleet.nodes[node].addresses.admin.to_string())
        .args(arguments)
        .output()
        .expect("the command line runs")
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

#[tokio::test(flavor = "multi_thread")]
async fn records_from_the_command_line_are_in_force_on_every_node() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    for node in 0..fleet.len() {
        let serving = || async { fleet.version(node).await == Some(0) };
        eventually(Duration::from_secs(20), serving).await;
    }
    let applied = ctl(&fleet, 0, &["apply", "-f", RECORDS]);
    assert_eq!(code(&applied), Some(0), "{applied:?}");
    let watched = ctl(&fleet, 3, &["watch", "1", "--timeout", "10"]);
    assert_eq!(code(&watched), Some(0), "{watched:?}");

    let status = ctl(&fleet, 2, &["status", "--json"]);
    let status: Value = serde_json::from_slice(&status.stdout).expect("JSON status");
    assert_eq!(status["wanted"], 1, "{status}");
    assert_eq!(status["nodes"], 4, "{status}");
    assert_eq!(status["laggards"], serde_json::json!([]), "{status}");
    let answer = fleet.call(1, "/slots/today", "guest-1").await;
    assert_eq!(answer.outcome, "answered");
    assert_eq!(answer.body["request"], "guest-1");

    let referred = ctl(&fleet, 1, &["retire", "service", "slotfinder"]);
    assert_eq!(code(&referred), Some(1), "{referred:?}");
    let text = String::from_utf8_lossy(&referred.stdout);
    assert!(
        text.contains("route `slots`"),
        "the referrer is not named: {text}"
    );
    let history = ctl(&fleet, 1, &["history"]);
    assert_eq!(code(&history), Some(0), "{history:?}");

    let late = ctl(&fleet, 1, &["watch", "9", "--timeout", "1"]);
    assert_eq!(code(&late), Some(1), "{late:?}");
}

#[test]
fn bad_settings_are_reported_together_with_their_places() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("node.toml");
    let text = "[node]\nname = \"n\"\nregion = 7\ndomain = \"d\"\nrack = 1\n\n[listen]\n\
                calls = \"localhost:1\"\npeer = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n\
                admin = \"127.0.0.1:0\"\n\n[store]\nurl = \"http://store:80\"\nregion = \"r\"\n";
    std::fs::write(&file, text).expect("settings are written");
    let output = Command::new(env!("CARGO_BIN_EXE_agatedeck-node"))
        .arg("--check")
        .arg("--config")
        .arg(&file)
        .output()
        .expect("the node runs");
    assert_eq!(code(&output), Some(2), "{output:?}");
    let findings = String::from_utf8_lossy(&output.stderr);
    let places: Vec<&str> = ["3:10", "5:1", "8:9", "14:7"]
        .into_iter()
        .filter(|place| !findings.contains(&format!("node.toml:{place}: ")))
        .collect();
    assert!(
        places.is_empty(),
        "no finding at {places:?} in:\n{findings}"
    );
}

#[test]
fn the_example_settings_are_in_order() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/node.toml");
    let output = Command::new(env!("CARGO_BIN_EXE_agatedeck-node"))
        .args(["--check", "--config", file])
        .output()
        .expect("the node runs");
    assert_eq!(code(&output), Some(0), "{output:?}");
}
