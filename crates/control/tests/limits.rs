//! Limits that the fault test does not reach.

use agatedeck_clock::Instant;
use agatedeck_control::{
    FailureDetector, FloorTable, JoinEffect, JoinProcess, JoinResponder, JoinSettings,
    MemberEffect, MemberSettings, MemberTable, MergeOutcome, ResponderSettings,
};
use agatedeck_wire::{Join, Member, MemberStatus};
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

/// Guards against a reconnect storm in which one node sends its whole table to every joiner.
#[test]
fn gate_refuses_joins_beyond_its_limit_until_one_ends() {
    let mut gate = JoinResponder::new(&ResponderSettings::default());
    let (table, ledger) = (MemberTable::default(), FloorTable::new("d0"));
    let accepted = |gate: &mut JoinResponder, node: &str, millis: u64| {
        let join = Join {
            member: Some(member(node)),
        };
        let now = Instant::from_millis(millis);
        gate.answer_join(&join, &table, &ledger, 1, now).accepted
    };
    let answers: Vec<bool> = ["a", "b", "c", "d", "e"]
        .iter()
        .map(|node| accepted(&mut gate, node, 0))
        .collect();
    assert_eq!(answers, [true, true, true, true, false]);
    gate.release("a");
    assert!(accepted(&mut gate, "e", 1));
    assert!(!accepted(&mut gate, "f", 1));
    assert!(accepted(&mut gate, "f", 2_000), "unreleased joins expire");
}

/// Guards against nodes that were refused together and ask again together, or ever faster.
#[test]
fn retries_wait_for_a_random_time_up_to_a_growing_limit() {
    let settings = JoinSettings::default();
    let mut longest = vec![0; 10];
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut process = JoinProcess::new(&member("a"), &[], &settings);
        process.start(Instant::default(), &mut rng);
        for (attempt, longest) in longest.iter_mut().enumerate() {
            let end = process.next_deadline().expect("the round ends");
            if process.tick(end, &mut rng).contains(&JoinEffect::ReadHead) {
                // A wait of 0 ms was drawn, so the next round has begun.
                continue;
            }
            let retry = process.next_deadline().expect("a retry is due");
            let wait = retry.since(end).as_millis();
            let limit = u128::from(settings.backoff_limit_ms).min(500 << attempt);
            assert!(wait <= limit, "attempt {attempt} waits {wait} ms");
            *longest = wait.max(*longest);
            process.tick(retry, &mut rng);
        }
    }
    assert!(longest[0] > 400 && longest[9] > 13_000, "{longest:?}");
}

/// Guards against a node that was paused past its suspicions' deadlines and, before it reads the
/// refutations that wait in its sockets, declares their subjects dead.
#[test]
fn paused_node_declares_nobody_dead_when_it_resumes() {
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
    let announced = |effect: &MemberEffect| matches!(effect, MemberEffect::Broadcast(_));
    assert!(!effects.iter().any(announced), "{effects:?}");
}

/// Guards against a late message about an earlier process of a host that ends the present one.
#[parameterized(
    suspect = { MemberStatus::Suspect },
    left = { MemberStatus::Left },
    dead = { MemberStatus::Dead },
)]
fn update_of_an_older_incarnation_changes_nothing(status: MemberStatus) {
    let mut table = MemberTable::default();
    let present = Member {
        incarnation: 5,
        ..member("a")
    };
    let stale = Member {
        incarnation: 4,
        status: status.into(),
        ..member("a")
    };
    table.merge(&present, Instant::default());
    let digest = table.digest();
    assert_eq!(table.merge(&stale, Instant::default()), MergeOutcome::Stale);
    assert_eq!((table.get("a"), table.digest()), (Some(&present), digest));
}

/// Guards against a host whose wall clock went back and whose new process stays hidden behind the
/// entry of the earlier one, while it runs and after it left.
#[parameterized(
    running = { false },
    after_leaving = { true },
)]
fn process_whose_clock_went_back_passes_its_earlier_entry(leave_first: bool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::default();
    let settings = MemberSettings::default();
    let mut detector = FailureDetector::new(&member("a"), &settings, now, &mut rng);
    let earlier = Member {
        incarnation: 5,
        ..member("a")
    };
    if leave_first {
        detector.leave(now);
        detector.merge_updates(&[earlier], now);
    } else {
        detector.merge_member_list(&[earlier], now);
    }
    let status = detector.local_member().status();
    assert_eq!(status == MemberStatus::Left, leave_first);
    assert_eq!(detector.local_member().incarnation, 6);
    assert_eq!(detector.table().get("a"), Some(detector.local_member()));
}

/// Guards against a node that waits for ever when the store returns during a fetch from a peer and
/// shows a higher floor than that fetch brings.
#[test]
fn version_below_a_raised_floor_is_fetched_again() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::default();
    let mut process = JoinProcess::new(&member("a"), &[], &JoinSettings::default());
    process.start(now, &mut rng);
    process.on_head(Some(4), now, &mut rng);
    process.on_head(Some(5), now, &mut rng);
    assert_eq!(process.on_held_version(4, now, &mut rng), []);
    let fetches = process.tick(Instant::from_millis(1_000), &mut rng);
    assert_eq!(fetches, [JoinEffect::Fetch { floor: 5 }]);
    assert_eq!(
        process.on_held_version(5, now, &mut rng),
        [JoinEffect::Serve]
    );
}
