//! Guards the join against answers that come late and peers that know too little.

use agatedeck_clock::Instant;
use agatedeck_control::{JoinEffect, JoinProcess, JoinSettings, JoinState};
use agatedeck_wire::{JoinAnswer, Member};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Guards against a node that serves but is never known to the others: the store answers after the
/// round of questions ended without a peer.
#[test]
fn a_node_that_learns_its_floor_late_still_asks_to_be_taken_in() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Instant::from_millis(1);
    let settings = JoinSettings::default();
    let mut process = JoinProcess::new(&Member::default(), &["10.0.0.1:1"], &settings);
    process.start(now, &mut rng);
    process.on_join_failed(&mut rng);
    now = Instant::from_millis(settings.round_timeout_ms + 2);
    process.tick(now, &mut rng);
    assert_eq!(process.state(), JoinState::Waiting);
    process.on_head(Some(0), now, &mut rng);
    process.on_held_version(0, now, &mut rng);
    assert_eq!(process.state(), JoinState::Serving);
    let effects = process.tick(
        Instant::from_millis(settings.round_timeout_ms + 3),
        &mut rng,
    );
    let asks = |effect: &JoinEffect| matches!(effect, JoinEffect::Join { .. });
    assert!(effects.iter().any(asks), "{effects:?}");
}

/// Guards against a host that serves less than it did: the only node that answers is one of another
/// domain, which last saw this host some versions ago.
#[test]
fn a_host_without_a_peer_in_its_domain_waits_for_the_store() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::from_millis(1);
    let member = |node: &str, domain: &str, version| Member {
        node: node.to_owned(),
        domain: domain.to_owned(),
        version,
        ..Member::default()
    };
    let own = member("a", "a", 0);
    let settings = JoinSettings::default();
    let mut process = JoinProcess::new(&own, &["10.0.0.1:1"], &settings);
    process.start(now, &mut rng);
    let answer = JoinAnswer {
        accepted: true,
        floor: 3,
        version: 3,
        members: vec![member("a", "a", 3), member("b", "b", 3)],
    };
    process.on_join_answer(&answer, now, &mut rng);
    assert_eq!(
        (process.state(), process.floor()),
        (JoinState::Asking, None)
    );
    process.on_head(Some(5), now, &mut rng);
    assert_eq!(
        (process.state(), process.floor()),
        (JoinState::Fetching, Some(5))
    );
}
