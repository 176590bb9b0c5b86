//! When a node pulls the versions that it lacks, and which peers it asks.

use std::collections::BTreeSet;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    MemberSettings, MemberTable, PullMachine, PullRequests, PullRound, PullSettings, PullState,
    PullStep, select_pull_peers,
};
use agatedeck_wire::{Member, MemberStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

/// Peers asked by one pull.
const PEERS_PER_PULL: usize = 6;

/// Version held by the node that pulls.
const HELD_VERSION: u64 = 5;

fn member(node: &str, region: usize, domain: usize) -> Member {
    Member {
        node: node.to_owned(),
        incarnation: 1,
        status: MemberStatus::Alive.into(),
        region: format!("region-{region}"),
        domain: format!("domain-{region}-{domain}"),
        control_address: node.to_owned(),
        ..Default::default()
    }
}

/// A table of `regions` regions with two failure domains each and `per_domain` nodes in each of them.
fn member_table(regions: usize, per_domain: usize) -> (MemberTable, Member) {
    let mut table = MemberTable::new(&MemberSettings::default());
    for region in 0..regions {
        for domain in 0..2 {
            for index in 0..per_domain {
                let name = format!("node-{region}-{domain}-{index}");
                table.merge(&member(&name, region, domain), Instant::default());
            }
        }
    }
    let local_member = table.get("node-0-0-0").expect("the local node").clone();
    (table, local_member)
}

fn select_names(
    table: &MemberTable,
    local_member: &Member,
    silent: &BTreeSet<&str>,
    seed: u64,
) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peers = select_pull_peers(table, local_member, HELD_VERSION, silent, &mut rng);
    peers.into_iter().map(|peer| peer.node.clone()).collect()
}

/// Guards against a pull that asks only the peers of one failure domain or region, which are frozen
/// or cut off together.
#[parameterized(
    two_nodes_a_domain = { 3, 2 },
    four_nodes_a_domain = { 3, 4 },
    many_nodes_a_domain = { 3, 32 },
    two_regions = { 2, 16 },
)]
fn a_pull_asks_every_distance(regions: usize, per_domain: usize) {
    let (table, local_member) = member_table(regions, per_domain);
    for seed in 0..50 {
        let peers = select_names(&table, &local_member, &BTreeSet::new(), seed);
        assert_eq!(peers.len(), PEERS_PER_PULL, "{peers:?}");
        assert!(
            peers[0].starts_with("node-0-0-"),
            "the nearest is first: {peers:?}"
        );
        let in_region = peers.iter().filter(|peer| peer.starts_with("node-0-1-"));
        assert!(in_region.count() > 0, "{peers:?}");
        let elsewhere = peers.iter().filter(|peer| !peer.starts_with("node-0-"));
        assert!(elsewhere.count() > 0, "{peers:?}");
        let distinct: BTreeSet<&String> = peers.iter().collect();
        assert_eq!(distinct.len(), PEERS_PER_PULL, "{peers:?}");
    }
}

/// Guards against a pull that repeats the requests of the one before to peers that do not answer.
#[test]
fn silent_peers_are_asked_last() {
    let (table, local_member) = member_table(3, 4);
    let silent: Vec<String> = (0..3)
        .flat_map(|region| (0..3).map(move |index| format!("node-{region}-0-{index}")))
        .collect();
    let silent: BTreeSet<&str> = silent.iter().map(String::as_str).collect();
    for seed in 0..50 {
        let peers = select_names(&table, &local_member, &silent, seed);
        assert_eq!(peers.len(), PEERS_PER_PULL);
        assert!(
            !peers.iter().any(|peer| silent.contains(peer.as_str())),
            "{peers:?}"
        );
    }
    let all: Vec<String> = table.live().map(|member| member.node.clone()).collect();
    let all: BTreeSet<&str> = all.iter().map(String::as_str).collect();
    let peers = select_names(&table, &local_member, &all, 1);
    assert_eq!(
        peers.len(),
        PEERS_PER_PULL,
        "without others, silent peers are asked"
    );
}

/// Guards against nodes of one failure domain that all ask the same peer.
#[test]
fn the_first_peer_differs_between_pulls() {
    let (table, local_member) = member_table(3, 32);
    let first: BTreeSet<String> = (0..50)
        .map(|seed| select_names(&table, &local_member, &BTreeSet::new(), seed).remove(0))
        .collect();
    assert!(first.len() > 10, "{first:?}");
}

/// Among peers at one distance, one that holds a newer version is asked first.
#[test]
fn a_peer_known_to_hold_a_newer_version_is_preferred() {
    let (mut table, local_member) = member_table(3, 8);
    table.observe_version("node-0-0-5", HELD_VERSION + 1);
    for seed in 0..20 {
        let peers = select_names(&table, &local_member, &BTreeSet::new(), seed);
        assert_eq!(peers[0], "node-0-0-5");
    }
}

/// Guards against a version that is reported while a pull is in progress and then forgotten: the
/// answer may lack it, and the next report comes only with the next change.
#[test]
fn a_version_reported_during_a_pull_is_pulled_next() {
    let mut machine = PullMachine::new(PullSettings::default());
    assert!(
        machine.on_report(6, HELD_VERSION),
        "the first report starts a pull"
    );
    assert!(!machine.on_report(7, HELD_VERSION), "one pull at a time");
    assert_eq!(machine.state(), PullState::Outdated);
    assert!(machine.on_answer(6), "version 7 is still missing");
    assert!(!machine.on_answer(7));
    assert_eq!(machine.state(), PullState::Idle);
}

/// Guards against a node that stays behind because all peers of a pull were silent, although newer
/// versions were reported meanwhile.
#[test]
fn a_report_during_a_pull_without_answer_starts_another() {
    let mut machine = PullMachine::new(PullSettings::default());
    assert!(machine.on_report(6, HELD_VERSION));
    assert!(!machine.on_report(6, HELD_VERSION));
    assert!(machine.on_no_answer(HELD_VERSION));
}

/// Guards against a node that asks without pause for a version that no peer holds any more.
#[test]
fn a_pull_without_answer_is_repeated_only_after_a_report() {
    let mut machine = PullMachine::new(PullSettings::default());
    assert!(machine.on_report(6, HELD_VERSION));
    assert!(!machine.on_no_answer(HELD_VERSION));
    assert_eq!(machine.state(), PullState::Idle);
    assert!(machine.on_report(6, HELD_VERSION));
}

/// Guards against a node that requests a version which it refuses again and again without pause.
#[test]
fn a_refused_version_is_not_pulled_again_at_once() {
    let mut machine = PullMachine::new(PullSettings::default());
    assert!(machine.on_report(6, HELD_VERSION));
    // The answer holds version 6, which this node cannot read.
    assert!(!machine.on_answer(HELD_VERSION));
    assert_eq!(machine.state(), PullState::Idle);
}

/// A version that arrived over the tree meanwhile is not pulled again.
#[test]
fn a_version_that_arrived_meanwhile_ends_the_pull() {
    let mut machine = PullMachine::new(PullSettings::default());
    assert!(machine.on_report(6, HELD_VERSION));
    assert!(!machine.on_report(7, HELD_VERSION));
    assert!(!machine.on_no_answer(7));
    assert_eq!(machine.state(), PullState::Idle);
    assert!(!machine.on_report(7, 7));
}

/// Guards against a peer that is avoided for good after one missed answer.
#[test]
fn a_silent_peer_is_asked_again_after_a_while() {
    let settings = PullSettings {
        silence_memory: Duration::from_secs(5),
        ..Default::default()
    };
    let mut machine = PullMachine::new(settings);
    let start = Instant::default();
    machine.record_silence("node-1", start);
    let soon = start.after(Duration::from_secs(4));
    assert!(machine.silent_peers(soon).contains("node-1"));
    let later = start.after(Duration::from_secs(6));
    assert!(machine.silent_peers(later).is_empty());
}

/// Guards against a healthy peer that is asked last for seconds because another one answered right
/// after it was asked.
#[test]
fn a_peer_without_time_to_answer_is_not_silent() {
    let answer_time = Duration::from_millis(200);
    let start = Instant::default();
    let answered_at = start.after(Duration::from_millis(210));
    let mut requests = PullRequests::new(answer_time);
    requests.record_request("frozen", start);
    requests.record_request("slow", start.after(Duration::from_millis(1)));
    requests.record_request("asked-last", start.after(answer_time));
    requests.record_reply("slow");
    let silent: Vec<&str> = requests.silent_peers(answered_at).collect();
    assert_eq!(silent, ["frozen"]);
}

/// Guards against a pull that takes more than a second while half of its peers are lost and not yet declared
/// dead, and against one that waits longer for its last peers than for the others.
#[test]
fn a_pull_without_answers_ends_when_its_last_peer_had_its_time() {
    let settings = PullSettings::default();
    let start = Instant::default();
    let peers: Vec<Member> = (0..PEERS_PER_PULL)
        .map(|index| member(&format!("peer-{index}"), 0, 0))
        .collect();
    let mut round = PullRound::new(peers, settings, start);
    let (mut now, mut asked_at) = (start, Vec::new());
    loop {
        match round.poll(now) {
            PullStep::Ask(_) => asked_at.push(now.since(start)),
            PullStep::WaitUntil(at) => now = at,
            PullStep::Unanswered => break,
        }
    }
    let expected = [0, 1, 1, 2, 2, 2].map(|batch| settings.next_peer_delay * batch);
    assert_eq!(asked_at, expected);
    assert_eq!(now.since(start), settings.next_peer_delay * 3);
}

/// Guards against a pull that waits for nothing: the next peer is asked at once after a reply without a newer
/// version, and after the last reply the pull ends.
#[test]
fn a_pull_goes_on_at_once_after_an_outdated_reply() {
    let now = Instant::default();
    let peers = vec![member("a", 0, 0), member("b", 0, 0)];
    let mut round = PullRound::new(peers, PullSettings::default(), now);
    assert!(matches!(round.poll(now), PullStep::Ask(peer) if peer.node == "a"));
    assert!(matches!(round.poll(now), PullStep::WaitUntil(_)));
    round.on_outdated_reply("a", now);
    assert!(matches!(round.poll(now), PullStep::Ask(peer) if peer.node == "b"));
    round.on_outdated_reply("b", now);
    assert_eq!(round.poll(now), PullStep::Unanswered);
}
