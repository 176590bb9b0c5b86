//! Tests of joins with late answers and with peers that have incomplete records.

use agatedeck_clock::Instant;
use agatedeck_control::{JoinEffect, JoinMachine, JoinSettings, JoinState};
use agatedeck_wire::{JoinAnswer, Member};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Guards against a node that serves but is missing from the tables of the others: the store
/// answers after the query round ended without a peer that accepted the join.
#[test]
fn join_is_sent_after_late_answer_of_the_store() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Instant::from_millis(1);
    let settings = JoinSettings::default();
    let mut machine = JoinMachine::new(&Member::default(), &["10.0.0.1:1"], &settings);
    machine.start(now, &mut rng);
    machine.on_join_failed(&mut rng);
    now = Instant::from_millis(settings.round_timeout_ms + 2);
    machine.tick(now, &mut rng);
    assert_eq!(machine.state(), JoinState::Waiting);
    machine.on_head(Some(0), now, &mut rng);
    machine.on_held_version(0, now, &mut rng);
    assert_eq!(machine.state(), JoinState::Serving);
    let effects = machine.tick(
        Instant::from_millis(settings.round_timeout_ms + 3),
        &mut rng,
    );
    let is_join = |effect: &JoinEffect| matches!(effect, JoinEffect::Join { .. });
    assert!(effects.iter().any(is_join), "{effects:?}");
}

/// Guards against a host that serves an older version than before: the only node that answers
/// belongs to another domain and last saw this host several versions ago.
#[test]
fn floor_known_only_to_another_domain_is_not_used() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::from_millis(1);
    let member = |node: &str, domain: &str, version| Member {
        node: node.to_owned(),
        domain: domain.to_owned(),
        version,
        ..Member::default()
    };
    let local_member = member("a", "a", 0);
    let settings = JoinSettings::default();
    let mut machine = JoinMachine::new(&local_member, &["10.0.0.1:1"], &settings);
    machine.start(now, &mut rng);
    let answer = JoinAnswer {
        accepted: true,
        floor: 3,
        version: 3,
        members: vec![member("a", "a", 3), member("b", "b", 3)],
        ..JoinAnswer::default()
    };
    machine.on_join_answer(&answer, now, &mut rng);
    assert_eq!(
        (machine.state(), machine.floor()),
        (JoinState::Asking, None)
    );
    machine.on_head(Some(5), now, &mut rng);
    assert_eq!(
        (machine.state(), machine.floor()),
        (JoinState::Fetching, Some(5))
    );
}
