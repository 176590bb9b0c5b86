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
