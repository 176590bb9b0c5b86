//! Guards against chart files that name a state, event or action missing from the code: the node
//! would panic on start.

use agatedeck_clock::Instant;
use agatedeck_control::{
    FailureDetector, JoinMachine, JoinSettings, JoinState, MemberSettings, MemberTable,
};
use agatedeck_wire::{Member, MemberStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

#[parameterized(
    alive = { MemberStatus::Alive },
    suspect = { MemberStatus::Suspect },
    draining = { MemberStatus::Draining },
    left = { MemberStatus::Left },
    dead = { MemberStatus::Dead },
)]
fn member_chart_reaches_each_status(status: MemberStatus) {
    let local_member = Member {
        node: "a".to_owned(),
        ..Member::default()
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = MemberSettings::default();
    FailureDetector::new(&local_member, &settings, Instant::default(), &mut rng);
    let mut table = MemberTable::default();
    table.merge(&local_member, Instant::default());
    let update = Member {
        status: status.into(),
        ..local_member
    };
    table.merge(&update, Instant::default());
    assert_eq!(table.get("a").map(Member::status), Some(status));
}

#[test]
fn join_chart_loads_and_starts_at_starting() {
    let machine = JoinMachine::new(&Member::default(), &[], &JoinSettings::default());
    assert_eq!(machine.state(), JoinState::Starting);
}
