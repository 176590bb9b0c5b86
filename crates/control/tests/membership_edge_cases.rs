//! Limits and edge cases of membership and joins that the state machine test in `membership.rs`
//! does not reach.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    FailureDetector, FloorTable, JoinEffect, JoinMachine, JoinResponder, JoinSettings,
    MemberEffect, MemberSettings, MemberTable, MergeOutcome, ResponderSettings,
};
use agatedeck_wire::{Join, Member, MemberStatus, ProbeAnswer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

fn member(node: &str) -> Member {
    Member {
        node: node.to_owned(),
        domain: "d0".to_owned(),
        control_address: node.to_owned(),
        ..Member::default()
    }
}

/// The entries that these effects announce, through the collector of the domain or by a broadcast.
fn announced_entries(effects: &[MemberEffect]) -> Vec<Member> {
    let entries = effects.iter().flat_map(|effect| match effect {
        MemberEffect::ReportUpdates(report) => report.members.clone(),
        MemberEffect::Broadcast(members) => members.clone(),
        _ => Vec::new(),
    });
    entries.collect()
}

/// Guards against a reconnect storm in which one node sends its whole table to every joining node
/// at once.
#[test]
fn join_responder_refuses_joins_over_its_limit() {
    let mut responder = JoinResponder::new(&ResponderSettings::default());
    let (table, floor_table) = (MemberTable::default(), FloorTable::new("d0"));
    let join_accepted = |responder: &mut JoinResponder, node: &str, now_ms: u64| {
        let join = Join {
            member: Some(member(node)),
        };
        let now = Instant::from_millis(now_ms);
        responder
            .answer_join(&join, &table, &floor_table, 1, now)
            .accepted
    };
    let answers: Vec<bool> = ["a", "b", "c", "d", "e"]
        .iter()
        .map(|node| join_accepted(&mut responder, node, 0))
        .collect();
    assert_eq!(answers, [true, true, true, true, false]);
    responder.release("a");
    assert!(join_accepted(&mut responder, "e", 1));
    assert!(!join_accepted(&mut responder, "f", 1));
    assert!(
        join_accepted(&mut responder, "f", 2_000),
        "unreleased joins expire"
    );
}

/// Guards against nodes that were refused at the same time and retry in lockstep or ever faster.
#[test]
fn join_retries_use_exponential_backoff_with_full_jitter() {
    let settings = JoinSettings::default();
    let mut max_waits_ms = vec![0; 10];
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut machine = JoinMachine::new(&member("a"), &[], &settings);
        machine.start(Instant::default(), &mut rng);
        for (attempt, max_wait_ms) in max_waits_ms.iter_mut().enumerate() {
            let round_deadline = machine.next_deadline().expect("the round ends");
            if machine
                .tick(round_deadline, &mut rng)
                .contains(&JoinEffect::ReadHead)
            {
                // The drawn delay is 0 ms, so the next round has already started.
                continue;
            }
            let retry_deadline = machine.next_deadline().expect("a retry is scheduled");
            let wait_ms = retry_deadline.since(round_deadline).as_millis();
            let limit_ms = u128::from(settings.backoff_limit_ms).min(500 << attempt);
            assert!(wait_ms <= limit_ms, "attempt {attempt} waits {wait_ms} ms");
            *max_wait_ms = wait_ms.max(*max_wait_ms);
            machine.tick(retry_deadline, &mut rng);
        }
    }
    assert!(
        max_waits_ms[0] > 400 && max_waits_ms[9] > 13_000,
        "{max_waits_ms:?}"
    );
}

/// Guards against false positives after a pause: the process was paused beyond its suspicion
/// timeouts and would declare the suspects dead before it reads the refutations in its socket
/// buffers.
#[test]
fn paused_process_declares_no_node_dead_on_resume() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::default();
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, now, &mut rng);
    let suspect = Member {
        status: MemberStatus::Suspect.into(),
        ..member("b")
    };
    detector.merge_updates(&[suspect], now);
    let effects = detector.tick(Instant::from_millis(60_000), &mut rng);
    assert!(announced_entries(&effects).is_empty(), "{effects:?}");
}

/// Guards against a late answer of an earlier process of a host that ends the probe of its current
/// process, which then takes another round to be suspected.
#[test]
fn answer_with_older_incarnation_does_not_end_a_probe() {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, Instant::default(), &mut rng);
    let current = Member {
        incarnation: 5,
        ..member("b")
    };
    detector.merge_updates(&[current, member("c")], Instant::default());
    let is_probe_of_b =
        |effect: &MemberEffect| matches!(effect, MemberEffect::Probe { node, .. } if node == "b");
    let probed_at = loop {
        let now = detector.next_deadline();
        if detector.tick(now, &mut rng).iter().any(is_probe_of_b) {
            break now;
        }
    };
    let stale_answer = ProbeAnswer {
        incarnation: 4,
        ..ProbeAnswer::default()
    };
    detector.on_probe_answer("b", &stale_answer, probed_at);
    let timed_out_at = probed_at.after(Duration::from_millis(settings.probe_timeout_ms));
    let effects = detector.tick(timed_out_at, &mut rng);
    let asks_for_b = |effect: &MemberEffect| matches!(effect, MemberEffect::RequestIndirectProbe { request, .. } if request.node == "b");
    assert!(effects.iter().any(asks_for_b), "{effects:?}");
}

/// Guards against a late update about an earlier process of a host that would change the entry of
/// its current process.
#[parameterized(
    suspect = { MemberStatus::Suspect },
    left = { MemberStatus::Left },
    dead = { MemberStatus::Dead },
)]
fn update_with_older_incarnation_is_stale(status: MemberStatus) {
    let mut table = MemberTable::default();
    let current = Member {
        incarnation: 5,
        ..member("a")
    };
    let stale = Member {
        incarnation: 4,
        status: status.into(),
        ..member("a")
    };
    table.merge(&current, Instant::default());
    let digest = table.digest();
    assert_eq!(table.merge(&stale, Instant::default()), MergeOutcome::Stale);
    assert_eq!((table.get("a"), table.digest()), (Some(&current), digest));
}

/// Guards against a new process that stays hidden behind the entry of the earlier process of its
/// host, both while it runs and after it left, because the host's wall clock moved back.
#[parameterized(
    running = { false },
    after_leaving = { true },
)]
fn restarted_process_with_earlier_clock_supersedes_its_old_entry(has_left: bool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::default();
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, now, &mut rng);
    let old_entry = Member {
        incarnation: 5,
        ..member("a")
    };
    if has_left {
        detector.leave(now);
        detector.merge_updates(&[old_entry], now);
    } else {
        detector.merge_member_list(&[old_entry], now);
    }
    let status = detector.local_member().status();
    assert_eq!(status == MemberStatus::Left, has_left);
    assert_eq!(detector.local_member().incarnation, 6);
    assert_eq!(detector.table().get("a"), Some(detector.local_member()));
}

/// Guards against a node that waits forever: during a fetch from a peer the store becomes available
/// again, with a floor above the version that the fetch returns.
#[test]
fn version_below_raised_floor_is_refetched() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::default();
    let mut machine = JoinMachine::new(&member("a"), &[], &JoinSettings::default());
    machine.start(now, &mut rng);
    machine.on_head(Some(4), now, &mut rng);
    machine.on_head(Some(5), now, &mut rng);
    assert_eq!(machine.on_held_version(4, now, &mut rng), []);
    let effects = machine.tick(Instant::from_millis(1_000), &mut rng);
    assert_eq!(effects, [JoinEffect::Fetch { floor: 5 }]);
    assert_eq!(
        machine.on_held_version(5, now, &mut rng),
        [JoinEffect::Serve]
    );
}

/// A node that started `started_s` seconds after the test, on the host with this address.
fn node_at(node: &str, address: &str, started_s: u64) -> Member {
    Member {
        incarnation: started_s * 1_000,
        control_address: address.to_owned(),
        ..member(node)
    }
}

fn is_listed_live(detector: &FailureDetector, node: &str) -> bool {
    detector.table().live().any(|member| member.node == node)
}

/// Guards against a node that is gone for good and stays listed because another host has its address:
/// callers send its calls there, and the other node refuses them.
#[parameterized(
    old_entry_first = { true },
    new_entry_first = { false },
)]
fn a_node_that_starts_at_the_address_of_another_replaces_it(old_first: bool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, Instant::default(), &mut rng);
    let mut updates = vec![node_at("gone", "host-b", 5), node_at("new", "host-b", 9)];
    if !old_first {
        updates.reverse();
    }
    for update in &updates {
        detector.merge_updates(std::slice::from_ref(update), Instant::default());
    }
    assert!(is_listed_live(&detector, "new"));
    assert!(!is_listed_live(&detector, "gone"));
    // A late copy of its entry does not bring it back.
    detector.merge_updates(&[node_at("gone", "host-b", 5)], Instant::default());
    assert!(!is_listed_live(&detector, "gone"));
    assert!(is_listed_live(&detector, "new"));
}

/// Guards against a probe of a node that is gone which counts as answered by another node that
/// listens at its address now.
#[test]
fn an_answer_of_another_node_at_the_address_ends_the_membership() {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, Instant::default(), &mut rng);
    detector.merge_updates(&[node_at("gone", "host-b", 5)], Instant::default());
    let answer = ProbeAnswer {
        incarnation: 9_000,
        node: "new".to_owned(),
        ..ProbeAnswer::default()
    };
    let effects = detector.on_probe_answer("gone", &answer, Instant::default());
    assert!(!is_listed_live(&detector, "gone"));
    let is_dead = |member: &Member| member.node == "gone" && member.status() == MemberStatus::Dead;
    assert!(
        announced_entries(&effects).iter().any(is_dead),
        "{effects:?}"
    );
}

/// Guards against a node that the others take for dead because the wall clock of the host that had its
/// address before was ahead of its own.
#[parameterized(
    by_an_update = { false },
    by_the_list_of_a_join = { true },
)]
fn a_node_outlives_a_predecessor_at_its_address_with_a_later_clock(by_list: bool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = MemberSettings::default();
    let local_member = node_at("new", "host-b", 5);
    let mut detector = FailureDetector::new(&local_member, &settings, Instant::default(), &mut rng);
    let predecessor = node_at("gone", "host-b", 9);
    let effects = if by_list {
        detector.merge_member_list(std::slice::from_ref(&predecessor), Instant::default())
    } else {
        detector.merge_updates(std::slice::from_ref(&predecessor), Instant::default())
    };
    assert!(is_listed_live(&detector, "new"));
    assert!(!is_listed_live(&detector, "gone"));
    let announced = announced_entries(&effects);
    let announced = announced.iter().find(|member| member.node == "new");
    let announced = announced.expect("the node announces its later incarnation");
    assert!(announced.incarnation > predecessor.incarnation);
}

/// Guards against a cost of each change that grows with the fleet: the table is copied whenever the view
/// changes, and while all nodes of a fleet start, that is once for each of them at each of them.
#[test]
fn a_copy_of_the_table_shares_the_entries_that_did_not_change() {
    let mut table = MemberTable::new(&MemberSettings::default());
    for index in 0..100 {
        table.merge(&member(&format!("node-{index}")), Instant::default());
    }
    let copy = table.clone();
    table.observe_version("node-7", 9);
    table.merge(&member("node-8"), Instant::default());
    let is_shared = |node: &str| {
        let (current, copied) = (table.get(node), copy.get(node));
        std::ptr::eq(current.expect("an entry"), copied.expect("an entry"))
    };
    let own: Vec<String> = (0..100)
        .map(|index| format!("node-{index}"))
        .filter(|node| !is_shared(node))
        .collect();
    assert_eq!(own, ["node-7"]);
    assert_eq!(copy.get("node-7").map(|member| member.version), Some(0));
}
