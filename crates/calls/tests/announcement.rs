//! What a target announces of itself: order, restarts, leaving and silence.

use std::time::Duration;

use agatedeck_calls::{
    RegistrationEffect, RegistrationError, RegistrationSettings, RegistrationState,
    TargetAnnouncement, TargetReadiness, TargetRegistration,
};
use agatedeck_clock::Instant;

const ANNOUNCEMENT_TTL_MS: u64 = 6_000;

fn register() -> TargetRegistration {
    TargetRegistration::new(RegistrationSettings {
        service: "orders".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        announcement_ttl_ms: ANNOUNCEMENT_TTL_MS,
    })
}

fn notice(
    id: &str,
    started_unix_ms: u64,
    sequence: u64,
    state: TargetReadiness,
) -> TargetAnnouncement<'_> {
    TargetAnnouncement {
        id,
        service: "orders",
        address: "10.0.0.1:80",
        started_unix_ms,
        sequence,
        state,
        slots: 12,
        warm_up_left: Duration::ZERO,
    }
}

fn announce(
    register: &mut TargetRegistration,
    notice: &TargetAnnouncement<'_>,
) -> Result<Vec<RegistrationEffect>, RegistrationError> {
    register.announce(notice, Instant::default())
}

/// Guards against calls to a target that has not said that it takes them.
#[test]
fn target_opens_with_its_first_announcement() {
    let mut register = register();
    assert_eq!(register.state(), RegistrationState::Absent);
    let effects = announce(&mut register, &notice("a", 1, 0, TargetReadiness::Ready));
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
    assert_eq!((register.id(), register.slots()), ("a", 12));
}

/// Guards against a drain that is undone by an announcement that was sent before it and arrives
/// after it.
#[test]
fn late_announcement_does_not_undo_a_drain() {
    let mut register = register();
    announce(&mut register, &notice("a", 1, 4, TargetReadiness::Ready)).expect("taken in");
    let effects = announce(&mut register, &notice("a", 1, 6, TargetReadiness::Draining));
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Close, RegistrationEffect::Publish])
    );
    let late = announce(&mut register, &notice("a", 1, 5, TargetReadiness::Ready));
    assert_eq!(late, Err(RegistrationError::Stale));
    let later = announce(&mut register, &notice("a", 1, 7, TargetReadiness::Ready));
    assert_eq!(later, Ok(Vec::new()));
    assert_eq!(register.state(), RegistrationState::Draining);
}

/// Guards against calls to a target that has left, and against refusing the one that follows it.
#[test]
fn target_that_left_stays_gone_until_it_is_born_anew() {
    let mut register = register();
    announce(&mut register, &notice("a", 1, 0, TargetReadiness::Ready)).expect("taken in");
    assert_eq!(
        register.deregister("a"),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let late = announce(&mut register, &notice("a", 1, 1, TargetReadiness::Ready));
    assert_eq!(late, Ok(Vec::new()));
    assert_eq!(register.state(), RegistrationState::Gone);
    // The same identity may start again, and its numbers then start anew.
    let effects = announce(&mut register, &notice("a", 2, 0, TargetReadiness::Ready));
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against an announcement of an earlier start that was held up by a partition.
#[test]
fn announcement_of_an_earlier_start_is_passed_over() {
    let mut register = register();
    announce(&mut register, &notice("b", 20, 0, TargetReadiness::Ready)).expect("taken in");
    let late = announce(
        &mut register,
        &notice("a", 10, 9, TargetReadiness::Draining),
    );
    assert_eq!(late, Err(RegistrationError::Stale));
    assert_eq!(register.id(), "b");
    assert_eq!(register.deregister("a"), []);
    assert_eq!(register.state(), RegistrationState::Ready);
}

/// Guards against a target that is lost for good because the time of day stepped back before it
/// started again, so that its birth lies before that of the start that is gone.
#[test]
fn start_after_a_step_of_the_clock_is_taken_in_once_the_earlier_one_is_silent() {
    let mut register = register();
    announce(
        &mut register,
        &notice("a", 5_000, 3, TargetReadiness::Ready),
    )
    .expect("taken in");
    let early = announce(
        &mut register,
        &notice("b", 3_000, 0, TargetReadiness::Ready),
    );
    assert_eq!(early, Err(RegistrationError::Stale));
    assert_eq!(
        register.mark_unreachable(),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let effects = announce(
        &mut register,
        &notice("b", 3_000, 1, TargetReadiness::Ready),
    );
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against calls to a target that has gone silent, and against a tick that closes one that
/// has not.
#[test]
fn silence_closes_a_target() {
    let mut register = register();
    announce(&mut register, &notice("a", 1, 0, TargetReadiness::Ready)).expect("taken in");
    assert_eq!(
        register.tick(Instant::from_millis(ANNOUNCEMENT_TTL_MS - 1)),
        []
    );
    assert_eq!(
        register.tick(Instant::from_millis(ANNOUNCEMENT_TTL_MS)),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let again = announce(&mut register, &notice("a", 1, 1, TargetReadiness::Ready));
    assert_eq!(
        again,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against an announcement of another writer that opens or closes this target.
#[test]
fn foreign_announcement_is_passed_over() {
    let mut register = register();
    let mut foreign = notice("a", 1, 0, TargetReadiness::Ready);
    foreign.service = "manifests";
    assert_eq!(
        announce(&mut register, &foreign),
        Err(RegistrationError::WrongTarget)
    );
    let mut foreign = notice("a", 1, 0, TargetReadiness::Ready);
    foreign.address = "10.0.0.2:80";
    assert_eq!(
        announce(&mut register, &foreign),
        Err(RegistrationError::WrongTarget)
    );
    assert_eq!(register.state(), RegistrationState::Absent);
}
