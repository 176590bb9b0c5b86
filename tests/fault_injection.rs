//! Fault injection with node processes: nodes are killed, paused and restarted and the platform
//! fails while the configuration changes. Network partitions between nodes are tested by
//! `distribution_machine` in `agatedeck-control`.

mod support;

use std::time::{Duration, Instant};

use agatedeck_standin::{PlatformFaults, TargetBehaviour};
use serde_json::{Value, json};
use support::{SERVICE_RECORDS, TestMesh, TestMeshSettings, eventually};

/// Maximum time for all nodes to serve an accepted version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Builds the body of a change request that writes `records`, each last changed by version `base`.
fn change_request(id: &str, records: &str, base: u64) -> Value {
    let records =
        agatedeck::read_record_file("records.toml", records).expect("records should be valid");
    let writes: Vec<_> = records.iter().map(|record| record.to_write(base)).collect();
    json!({ "change_id": id, "operator": "test", "writes": writes, "insist": false })
}

/// Builds a change request that writes one policy, last changed by version `base`.
fn policy_change(id: &str, policy: &str, slots: u64, base: u64) -> Value {
    let text =
        format!("[[policy]]\nname = \"{policy}\"\n[[policy.form]]\nschema = 1\nslots = {slots}\n");
    change_request(id, &text, base)
}

/// Starts a mesh, commits `SERVICE_RECORDS` as version 1 and waits until all nodes serve it.
async fn start_mesh_with_records(settings: TestMeshSettings) -> TestMesh {
    let mesh = TestMesh::start(settings).await;
    let accepted = mesh
        .submit_change(0, &change_request("first", SERVICE_RECORDS, 0))
        .await;
    assert_eq!(accepted["version"], 1, "{accepted}");
    wait_for_version(&mesh, 1).await;
    mesh
}

/// Waits until all nodes serve `version`.
async fn wait_for_version(mesh: &TestMesh, version: u64) {
    for node in 0..mesh.node_count() {
        eventually(CONVERGENCE_TIMEOUT, || async {
            mesh.serving_version(node).await == Some(version)
        })
        .await;
    }
}

/// Commits versions `from..=to` in sequence at node 0.
async fn commit_versions(mesh: &TestMesh, from: u64, to: u64) {
    for version in from..=to {
        let change = policy_change(&format!("edit-{version}"), "standard", version, version - 1);
        let accepted = mesh.submit_change(0, &change).await;
        assert_eq!(accepted["version"], version, "{accepted}");
    }
}

/// Looks up a change by its id through the admin API of a node and returns the answer.
async fn find_change(mesh: &TestMesh, node: usize, id: &str) -> Value {
    let url = format!(
        "http://{}/v1/changes/{id}",
        mesh.nodes[node].addresses.admin
    );
    let answer = mesh
        .client
        .get(url)
        .send()
        .await
        .expect("admin API should answer");
    answer.json().await.expect("answer should be JSON")
}

/// Polls a node every 5 ms until it serves `target`. Fails if the served version ever decreases or
/// is below `initial`, or if the node does not serve `target` within [`CONVERGENCE_TIMEOUT`].
async fn assert_no_rollback_until(mesh: &TestMesh, node: usize, initial: u64, target: u64) {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let mut highest = initial;
    loop {
        if let Some(version) = mesh.serving_version(node).await {
            assert!(
                version >= highest,
                "node {node} served version {highest}, then {version}"
            );
            highest = version;
            if version == target {
                return;
            }
        }
        assert!(
            Instant::now() < deadline,
            "node {node} stayed at version {highest}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Settings of `node_count` nodes in one failure domain, followed by one node in another region.
fn single_domain_settings(node_count: usize) -> TestMeshSettings {
    let mut nodes = vec![("kolkata", "kolkata-a", "slotfinder"); node_count];
    nodes.push(("mumbai", "mumbai-a", "slotfinder"));
    TestMeshSettings {
        nodes,
        has_seeds: true,
        ..TestMeshSettings::default()
    }
}

/// Guards against a node that serves an older version, or never catches up, after it was killed and
/// restarted while further versions were accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_never_serves_an_older_version() {
    let mut mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    commit_versions(&mesh, 2, 5).await;
    eventually(CONVERGENCE_TIMEOUT, || async {
        mesh.serving_version(2).await == Some(5)
    })
    .await;
    mesh.kill_node(2);
    commit_versions(&mesh, 6, 9).await;
    mesh.restart_node(2);
    let ((), ()) = tokio::join!(
        commit_versions(&mesh, 10, 13),
        assert_no_rollback_until(&mesh, 2, 5, 13)
    );
    wait_for_version(&mesh, 13).await;
}

/// Guards against a node that serves an older version, or never catches up, after its process was
/// paused while versions were accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_when_it_resumes() {
    let mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    mesh.send_signal(3, "STOP");
    commit_versions(&mesh, 2, 6).await;
    for node in 0..3 {
        eventually(CONVERGENCE_TIMEOUT, || async {
            mesh.serving_version(node).await == Some(6)
        })
        .await;
    }
    mesh.send_signal(3, "CONT");
    assert_no_rollback_until(&mesh, 3, 1, 6).await;
}

/// Guards against a restarted node that serves the version its peers hold, although neither the
/// store nor a peer of its failure domain can tell its floor, the lowest version that it may serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_floor_does_not_serve_during_a_store_outage() {
    let mut mesh = start_mesh_with_records(TestMeshSettings {
        has_seeds: true,
        ..TestMeshSettings::default()
    })
    .await;
    mesh.kill_node(1);
    let faults = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    mesh.platform.set_faults(faults).await;
    mesh.restart_node(1);
    let deadline = Instant::now() + Duration::from_secs(3);
    while Instant::now() < deadline {
        assert_eq!(mesh.serving_version(1).await, None);
        let answer = mesh.send_call(1, "/slots/today", "call").await;
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    mesh.platform.set_faults(PlatformFaults::default()).await;
    assert_no_rollback_until(&mesh, 1, 1, 1).await;
}

/// Guards against a node, restarted during a store outage, that does not serve although its peers
/// have recorded its floor, or that serves an older version than before.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_recovers_its_floor_from_peers_during_a_store_outage() {
    let mut mesh = start_mesh_with_records(single_domain_settings(4)).await;
    commit_versions(&mesh, 2, 3).await;
    wait_for_version(&mesh, 3).await;
    mesh.kill_node(2);
    let faults = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    mesh.platform.set_faults(faults).await;
    mesh.restart_node(2);
    assert_no_rollback_until(&mesh, 2, 3, 3).await;
    let counters = mesh.platform.counters().await;
    assert!(
        counters.refused > 0,
        "the store refused no request during the outage: {counters:?}"
    );
}

/// Guards against a reconnect storm that exceeds the limits of the store when all nodes of a
/// failure domain restart: 2,000 reads/s and 300 writes/s for a domain of 100 hosts.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_restart_keeps_the_store_load_bounded() {
    const RESTARTED_NODE_COUNT: usize = 8;
    let mut mesh = start_mesh_with_records(single_domain_settings(RESTARTED_NODE_COUNT)).await;
    let restarted_nodes: Vec<usize> = (0..RESTARTED_NODE_COUNT).collect();
    for node in &restarted_nodes {
        mesh.kill_node(*node);
    }
    let mut previous_counters = mesh.platform.counters().await;
    mesh.restart_nodes(&restarted_nodes);
    // The limits for a domain of 100 hosts, scaled to the 8 restarted nodes.
    let (max_reads_per_second, max_writes_per_second) = (2_000 * 8 / 100, 300 * 8 / 100);
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let mut serving = 0;
    while serving < RESTARTED_NODE_COUNT {
        assert!(Instant::now() < deadline, "only {serving} nodes serve");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let counters = mesh.platform.counters().await;
        let (reads, writes) = (
            counters.reads - previous_counters.reads,
            counters.writes - previous_counters.writes,
        );
        assert!(reads <= max_reads_per_second, "{reads} reads in one second");
        assert!(
            writes <= max_writes_per_second,
            "{writes} writes in one second"
        );
        println!("{reads} reads and {writes} writes in one second");
        previous_counters = counters;
        serving = 0;
        for node in &restarted_nodes {
            serving += usize::from(mesh.serving_version(*node).await == Some(1));
        }
    }
}

/// Guards against a change that is reported as failed, or accepted twice, because the store's
/// answer to its write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_write_answer_is_found_by_its_id() {
    let mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    mesh.platform.set_faults(faults).await;
    let change = policy_change("lost", "standard", 7, 1);
    let accepted = mesh.submit_change(0, &change).await;
    assert_eq!(
        (&accepted["outcome"], &accepted["version"]),
        (&json!("accepted"), &json!(2))
    );
    let found = find_change(&mesh, 2, "lost").await;
    assert_eq!(
        (&found["outcome"], &found["version"]),
        (&json!("accepted"), &json!(2))
    );
    // An operator who did not receive the answer sends the change again to another node.
    let resent = mesh.submit_change(3, &change).await;
    assert_eq!(
        (&resent["outcome"], &resent["version"]),
        (&json!("accepted"), &json!(2))
    );
    wait_for_version(&mesh, 2).await;
}

/// Guards against a change that is accepted twice. It is sent again after its record was retired,
/// so only its change id shows that it was accepted before.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_change_is_not_accepted_again_after_its_record_was_retired() {
    let mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    let create = policy_change("create", "bulk", 7, 0);
    assert_eq!(mesh.submit_change(0, &create).await["version"], 2);
    let mut retire = policy_change("retire", "bulk", 7, 2);
    retire["writes"][0]["forms"] = json!([]);
    assert_eq!(mesh.submit_change(0, &retire).await["version"], 3);
    let resent = mesh.submit_change(2, &create).await;
    assert_eq!(
        (&resent["outcome"], &resent["version"]),
        (&json!("accepted"), &json!(2))
    );
    let accepted = mesh
        .submit_change(0, &policy_change("next", "standard", 7, 1))
        .await;
    assert_eq!(accepted["version"], 4, "{accepted}");
}

/// Guards against a change that takes effect although the operator was told that the store was
/// unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_a_store_outage_is_not_accepted() {
    let mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    let faults = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    mesh.platform.set_faults(faults).await;
    let answer = mesh
        .submit_change(0, &policy_change("during-outage", "standard", 7, 1))
        .await;
    assert_eq!(answer["outcome"], "unreachable", "{answer}");
    assert_eq!(
        find_change(&mesh, 0, "during-outage").await["outcome"],
        "not-yet-known"
    );
    mesh.platform.set_faults(PlatformFaults::default()).await;
    assert_eq!(
        find_change(&mesh, 0, "during-outage").await["outcome"],
        "not-accepted"
    );
    commit_versions(&mesh, 2, 2).await;
    wait_for_version(&mesh, 2).await;
}

/// Guards against concurrent edits of one record of which both or neither are accepted, and against
/// conflicts between edits of different records.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_conflict_only_on_the_same_record() {
    let mesh = start_mesh_with_records(TestMeshSettings::default()).await;
    let (mut revision, mut version) = (1, 1);
    for round in 0..8 {
        let conflicting = [
            policy_change(&format!("first-{round}"), "standard", 20 + round, revision),
            policy_change(&format!("second-{round}"), "standard", 90 + round, revision),
        ];
        let other = policy_change(&format!("other-{round}"), &format!("bulk-{round}"), 1, 0);
        let (first, second, other) = tokio::join!(
            mesh.submit_change(0, &conflicting[0]),
            mesh.submit_change(2, &conflicting[1]),
            mesh.submit_change(3, &other),
        );
        assert_eq!(other["outcome"], "accepted", "{other}");
        let (winner, loser) = if first["outcome"] == "accepted" {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!(winner["outcome"], "accepted", "{winner} {loser}");
        assert_eq!(loser["outcome"], "refused", "{winner} {loser}");
        revision = winner["version"]
            .as_u64()
            .expect("winner should have a version");
        assert_eq!(loser["conflicts"][0]["current"], revision, "{loser}");
        version += 2;
        wait_for_version(&mesh, version).await;
    }
}

/// Guards against a shutdown that aborts a call in flight (I8), and against a draining node that
/// accepts new calls (I7).
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_drains_its_calls_and_refuses_new_ones() {
    let mut mesh = start_mesh_with_records(TestMeshSettings {
        nodes: vec![
            ("kolkata", "kolkata-a", "slotfinder"),
            ("kolkata", "kolkata-a", "depositdesk"),
        ],
        ..Default::default()
    })
    .await;
    let policy = "[[policy]]\nname = \"standard\"\n[[policy.form]]\nschema = 1\n\
                   timeout_ms = 6000\n";
    let accepted = mesh
        .submit_change(0, &change_request("longer-timeout", policy, 1))
        .await;
    assert_eq!(accepted["version"], 2, "{accepted}");
    wait_for_version(&mesh, 2).await;
    // Longer than the time limit for closing the listeners, so the call completes only if the node
    // waits for it.
    let behaviour = TargetBehaviour {
        work_ms: 2_500,
        ..Default::default()
    };
    mesh.targets[0].set_behaviour(behaviour).await;
    let (in_flight, refused) =
        tokio::join!(mesh.send_call(1, "/slots/today", "in-flight"), async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            mesh.send_signal(0, "TERM");
            tokio::time::sleep(Duration::from_millis(150)).await;
            mesh.send_call(1, "/slots/today", "late").await
        });
    assert_eq!(in_flight.outcome, "answered", "{in_flight:?}");
    assert_eq!(in_flight.body["request"], "in-flight");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert_eq!(mesh.targets[0].counters().await.runs.get("late"), None);
    let exit_status = mesh.nodes[0]
        .child
        .wait()
        .expect("node process should exit");
    assert_eq!(exit_status.code(), Some(0));
}
