//! Node processes that are killed, paused and restarted, and a platform that fails, while the
//! configuration changes. Cuts between nodes are left to `distribution_machine` of
//! `agatedeck-control`.

mod support;

use std::time::{Duration, Instant};

use agatedeck_standin::{PlatformFaults, TargetBehaviour};
use serde_json::{Value, json};
use support::{Fleet, FleetSettings, SERVICE_RECORDS, eventually};

const CONVERGENCE: Duration = Duration::from_secs(15);

fn change(id: &str, records: &str, base: u64) -> Value {
    let records = agatedeck::read_record_file("records.toml", records).expect("sound records");
    let writes: Vec<_> = records.iter().map(|record| record.to_write(base)).collect();
    json!({ "change_id": id, "operator": "test", "writes": writes, "insist": false })
}

/// An edit of one policy that was last changed by version `base`.
fn edit(id: &str, policy: &str, slots: u64, base: u64) -> Value {
    let text =
        format!("[[policy]]\nname = \"{policy}\"\n[[policy.form]]\nschema = 1\nslots = {slots}\n");
    change(id, &text, base)
}

/// Starts a fleet and has version 1 in force on all its nodes.
async fn fleet_with_records(settings: FleetSettings) -> Fleet {
    let fleet = Fleet::start(settings).await;
    let accepted = fleet
        .post_change(0, &change("first", SERVICE_RECORDS, 0))
        .await;
    assert_eq!(accepted["version"], 1, "{accepted}");
    all_hold(&fleet, 1).await;
    fleet
}

async fn all_hold(fleet: &Fleet, version: u64) {
    for node in 0..fleet.len() {
        eventually(CONVERGENCE, || async {
            fleet.version(node).await == Some(version)
        })
        .await;
    }
}

/// Accepts versions `from..=to`, one after the other, at node 0.
async fn accept(fleet: &Fleet, from: u64, to: u64) {
    for version in from..=to {
        let change = edit(&format!("edit-{version}"), "standard", version, version - 1);
        let accepted = fleet.post_change(0, &change).await;
        assert_eq!(accepted["version"], version, "{accepted}");
    }
}

async fn look_up(fleet: &Fleet, node: usize, id: &str) -> Value {
    let url = format!(
        "http://{}/v1/changes/{id}",
        fleet.nodes[node].addresses.admin
    );
    let answer = fleet.client.get(url).send().await.expect("admin answers");
    answer.json().await.expect("JSON answer")
}

/// Watches a node until it serves `newest`; it may never serve less than `held`.
async fn serves_only_from(fleet: &Fleet, node: usize, held: u64, newest: u64) {
    let deadline = Instant::now() + CONVERGENCE;
    let mut highest = held;
    while highest < newest || fleet.version(node).await != Some(newest) {
        if let Some(version) = fleet.version(node).await {
            assert!(
                version >= highest,
                "node {node} served {highest}, then {version}"
            );
            highest = version;
        }
        assert!(Instant::now() < deadline, "node {node} stays at {highest}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn one_domain(count: usize) -> FleetSettings {
    let mut nodes = vec![("kolkata", "kolkata-a", "slotfinder"); count];
    nodes.push(("mumbai", "mumbai-a", "slotfinder"));
    FleetSettings {
        nodes,
        seeded: true,
        ..FleetSettings::default()
    }
}

/// Guards against a host that serves an older version, or stays behind, after it was killed and
/// replaced while changes went on.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_returns_no_older_than_it_was() {
    let mut fleet = fleet_with_records(FleetSettings::default()).await;
    accept(&fleet, 2, 5).await;
    eventually(CONVERGENCE, || async { fleet.version(2).await == Some(5) }).await;
    fleet.kill(2);
    accept(&fleet, 6, 9).await;
    fleet.restart(2);
    let ((), ()) = tokio::join!(accept(&fleet, 10, 13), serves_only_from(&fleet, 2, 5, 13));
    all_hold(&fleet, 13).await;
}

/// Guards against a node that moves back or stays behind after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_when_it_resumes() {
    let fleet = fleet_with_records(FleetSettings::default()).await;
    fleet.signal(3, "STOP");
    accept(&fleet, 2, 6).await;
    for node in 0..3 {
        eventually(CONVERGENCE, || async {
            fleet.version(node).await == Some(6)
        })
        .await;
    }
    fleet.signal(3, "CONT");
    serves_only_from(&fleet, 3, 1, 6).await;
}

/// Guards against a host that serves whatever its peers hold when neither the store nor a peer of
/// its domain can name its floor.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_floor_waits_out_an_outage() {
    let mut fleet = fleet_with_records(FleetSettings {
        seeded: true,
        ..FleetSettings::default()
    })
    .await;
    fleet.kill(1);
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(outage).await;
    fleet.restart(1);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        assert_eq!(fleet.version(1).await, None);
        let answer = fleet.call(1, "/slots/today", "call").await;
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.platform.set_faults(PlatformFaults::default()).await;
    serves_only_from(&fleet, 1, 1, 1).await;
}

/// Guards against a host that cannot serve during an outage although its peers remember its floor,
/// or that serves less than it did.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_takes_its_floor_from_its_peers_in_an_outage() {
    let mut fleet = fleet_with_records(one_domain(4)).await;
    accept(&fleet, 2, 3).await;
    all_hold(&fleet, 3).await;
    fleet.kill(2);
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(outage).await;
    fleet.restart(2);
    serves_only_from(&fleet, 2, 3, 3).await;
    let counters = fleet.platform.counters().await;
    assert!(
        counters.refused > 0,
        "the outage was in effect: {counters:?}"
    );
}

/// Guards against a reconnect storm that takes more than the store can give: 2,000 reads/s and 300
/// writes/s for a domain of 100 hosts.
#[tokio::test(flavor = "multi_thread")]
async fn a_returning_domain_spares_the_store() {
    const HERD: usize = 8;
    let mut fleet = fleet_with_records(one_domain(HERD)).await;
    let herd: Vec<usize> = (0..HERD).collect();
    for node in &herd {
        fleet.kill(*node);
    }
    let mut before = fleet.platform.counters().await;
    fleet.restart_together(&herd);
    // The share of the herd in a domain of 100 hosts, rounded up.
    let (most_reads, most_writes) = (2_000 * 8 / 100, 300 * 8 / 100);
    let deadline = Instant::now() + CONVERGENCE;
    let mut serving = 0;
    while serving < HERD {
        assert!(Instant::now() < deadline, "{serving} nodes serve");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = fleet.platform.counters().await;
        let (reads, writes) = (now.reads - before.reads, now.writes - before.writes);
        assert!(reads <= most_reads, "{reads} reads in a second");
        assert!(writes <= most_writes, "{writes} writes in a second");
        println!("{reads} reads and {writes} writes in a second");
        before = now;
        serving = 0;
        for node in &herd {
            serving += usize::from(fleet.version(*node).await == Some(1));
        }
    }
}

/// Guards against a change that is reported as failed, or accepted twice, because the answer to its
/// write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_answer_is_found_by_its_id() {
    let fleet = fleet_with_records(FleetSettings::default()).await;
    let lost = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(lost).await;
    let change = edit("lost", "standard", 7, 1);
    let accepted = fleet.post_change(0, &change).await;
    assert_eq!(
        (&accepted["outcome"], &accepted["version"]),
        (&json!("accepted"), &json!(2))
    );
    let found = look_up(&fleet, 2, "lost").await;
    assert_eq!(
        (&found["outcome"], &found["version"]),
        (&json!("accepted"), &json!(2))
    );
    // An operator who missed the answer sends it again.
    let again = fleet.post_change(3, &change).await;
    assert_eq!(
        (&again["outcome"], &again["version"]),
        (&json!("accepted"), &json!(2))
    );
    all_hold(&fleet, 2).await;
}

/// Guards against a change that is accepted twice: it is sent again after its record was retired, so
/// that nothing but its id shows that it was accepted before.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_sent_again_later_is_not_accepted_twice() {
    let fleet = fleet_with_records(FleetSettings::default()).await;
    let create = edit("create", "bulk", 7, 0);
    assert_eq!(fleet.post_change(0, &create).await["version"], 2);
    let mut retire = edit("retire", "bulk", 7, 2);
    retire["writes"][0]["forms"] = json!([]);
    assert_eq!(fleet.post_change(0, &retire).await["version"], 3);
    let again = fleet.post_change(2, &create).await;
    assert_eq!(
        (&again["outcome"], &again["version"]),
        (&json!("accepted"), &json!(2))
    );
    let next = fleet.post_change(0, &edit("next", "standard", 7, 1)).await;
    assert_eq!(next["version"], 4, "{next}");
}

/// Guards against a change that takes effect although its operator was told that it was not written.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_is_not_written() {
    let fleet = fleet_with_records(FleetSettings::default()).await;
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(outage).await;
    let answer = fleet.post_change(0, &edit("away", "standard", 7, 1)).await;
    assert_eq!(answer["outcome"], "unreachable", "{answer}");
    assert_eq!(look_up(&fleet, 0, "away").await["outcome"], "not-yet-known");
    fleet.platform.set_faults(PlatformFaults::default()).await;
    assert_eq!(look_up(&fleet, 0, "away").await["outcome"], "not-accepted");
    accept(&fleet, 2, 2).await;
    all_hold(&fleet, 2).await;
}

/// Guards against two edits of a record that both win or both lose, and against edits of different
/// records that hinder each other.
#[tokio::test(flavor = "multi_thread")]
async fn two_operators_at_two_nodes() {
    let fleet = fleet_with_records(FleetSettings::default()).await;
    let (mut standard, mut version) = (1, 1);
    for round in 0..8 {
        let same = [
            edit(&format!("one-{round}"), "standard", 20 + round, standard),
            edit(&format!("two-{round}"), "standard", 90 + round, standard),
        ];
        let other = edit(&format!("other-{round}"), &format!("bulk-{round}"), 1, 0);
        let (one, two, other) = tokio::join!(
            fleet.post_change(0, &same[0]),
            fleet.post_change(2, &same[1]),
            fleet.post_change(3, &other),
        );
        assert_eq!(other["outcome"], "accepted", "{other}");
        let (winner, loser) = if one["outcome"] == "accepted" {
            (one, two)
        } else {
            (two, one)
        };
        assert_eq!(winner["outcome"], "accepted", "{winner} {loser}");
        assert_eq!(loser["outcome"], "refused", "{winner} {loser}");
        standard = winner["version"].as_u64().expect("a version");
        assert_eq!(loser["conflicts"][0]["current"], standard, "{loser}");
        version += 2;
        all_hold(&fleet, version).await;
    }
}

/// Guards against a shutdown that cuts off a call in flight (I8), and against new work at a node
/// that drains (I7).
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_finishes_its_calls_and_takes_no_new_ones() {
    let mut fleet = fleet_with_records(FleetSettings {
        nodes: vec![
            ("kolkata", "kolkata-a", "slotfinder"),
            ("kolkata", "kolkata-a", "depositdesk"),
        ],
        ..Default::default()
    })
    .await;
    let patient = "[[policy]]\nname = \"standard\"\n[[policy.form]]\nschema = 1\n\
                   timeout_ms = 6000\n";
    let accepted = fleet.post_change(0, &change("patient", patient, 1)).await;
    assert_eq!(accepted["version"], 2, "{accepted}");
    all_hold(&fleet, 2).await;
    // Longer than listeners are given to close, so that only waiting for the call saves it.
    let slow = TargetBehaviour {
        work_ms: 2_500,
        ..Default::default()
    };
    fleet.targets[0].set_behaviour(slow).await;
    let (in_flight, late) = tokio::join!(fleet.call(1, "/slots/today", "in-flight"), async {
        tokio::time::sleep(Duration::from_millis(250)).await;
        fleet.signal(0, "TERM");
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.call(1, "/slots/today", "late").await
    });
    assert_eq!(in_flight.outcome, "answered", "{in_flight:?}");
    assert_eq!(in_flight.body["request"], "in-flight");
    assert_eq!(late.outcome, "not-run", "{late:?}");
    assert_eq!(fleet.targets[0].counters().await.runs.get("late"), None);
    let exit = fleet.nodes[0].child.wait().expect("the node ends");
    assert_eq!(exit.code(), Some(0));
}
