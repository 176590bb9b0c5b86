//! End-to-end test of a change and of calls with separate node processes.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{SERVICE_RECORDS, TestMesh, TestMeshSettings, eventually};

/// Guards against a change accepted by one node that does not become active on every node, and
/// against calls that are not answered by a target of the service from every node.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_node_and_calls_are_answered() {
    let mesh = TestMesh::start(TestMeshSettings::default()).await;
    let records = agatedeck::read_record_file("records.toml", SERVICE_RECORDS)
        .expect("records should be valid");
    let writes: Vec<_> = records.iter().map(|record| record.to_write(0)).collect();
    let change = json!({
        "change_id": "first", "operator": "test", "writes": writes, "insist": false,
    });
    let accepted = mesh.submit_change(0, &change).await;
    assert_eq!(accepted["outcome"], "accepted", "{accepted}");
    assert_eq!(accepted["version"], 1);

    for node in 0..mesh.node_count() {
        eventually(Duration::from_secs(10), || async {
            mesh.serving_version(node).await == Some(1)
        })
        .await;
        eventually(Duration::from_secs(10), || async {
            let answer = mesh.send_call(node, "/slots/today", "call-1").await;
            answer.outcome == "answered" && answer.body["request"] == "call-1"
        })
        .await;
        let missing = mesh.send_call(node, "/nothing", "call-2").await;
        assert_eq!((missing.status, missing.outcome.as_str()), (404, "not-run"));
    }
}

/// Guards against numbers in log lines that are written as text, which log queries cannot compare.
#[tokio::test(flavor = "multi_thread")]
async fn numbers_in_log_lines_are_numbers() {
    let mesh = TestMesh::start(TestMeshSettings::default()).await;
    mesh.send_call(0, "/nothing", "call-1").await;
    let log_lines = mesh.nodes[0].log_lines.clone();
    let is_call = |line: &serde_json::Value| line["event"] == "call";
    eventually(Duration::from_secs(10), || async {
        // Lines about calls are written from the second after the start of a node on.
        mesh.send_call(0, "/nothing", "call-2").await;
        log_lines.borrow().iter().any(is_call)
    })
    .await;
    let call_line = log_lines
        .borrow()
        .iter()
        .find(|line| is_call(line))
        .cloned();
    let call_line = call_line.expect("a line about a call");
    assert!(call_line["took_ms"].is_number(), "{call_line}");
    assert!(call_line["attempts"].is_u64(), "{call_line}");
}

/// Guards against a log that does not tell how many requests a node sends to others, and of which kind: a storm of
/// messages could not be told from other load.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_the_requests_to_other_nodes() {
    let mesh = TestMesh::start(TestMeshSettings::default()).await;
    let log_lines = mesh.nodes[0].log_lines.clone();
    let counts_probes = |line: &serde_json::Value| {
        line["event"] == "peer-requests"
            && line["probes"].as_u64() > Some(0)
            && line["connections"].as_u64() > Some(0)
            && line["took_ms"].is_u64()
    };
    eventually(Duration::from_secs(25), || async {
        log_lines.borrow().iter().any(counts_probes)
    })
    .await;
}
