//! Registration of a target: order of announcements, restarts, deregistration and expiry.

use std::time::Duration;

use agatedeck_calls::{
    RegistrationEffect, RegistrationError, RegistrationSettings, RegistrationState,
    TargetAnnouncement, TargetReadiness, TargetRegistration,
};
use agatedeck_clock::Instant;
use yare::parameterized;

const ANNOUNCEMENT_TTL_MS: u64 = 6_000;

fn unconfirmed_registration() -> TargetRegistration {
    TargetRegistration::new(RegistrationSettings {
        service: "orders".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        announcement_ttl_ms: ANNOUNCEMENT_TTL_MS,
    })
}

/// A registration whose target was found serving when the node started.
fn registration() -> TargetRegistration {
    let mut registration = unconfirmed_registration();
    assert_eq!(registration.confirm(), []);
    registration
}

fn announcement(
    id: &str,
    started_unix_ms: u64,
    sequence: u64,
    readiness: TargetReadiness,
) -> TargetAnnouncement<'_> {
    TargetAnnouncement {
        id,
        service: "orders",
        address: "10.0.0.1:80",
        started_unix_ms,
        sequence,
        readiness,
        slots: 12,
        warm_up_left: Duration::ZERO,
    }
}

fn announce(
    registration: &mut TargetRegistration,
    announcement: &TargetAnnouncement<'_>,
) -> Result<Vec<RegistrationEffect>, RegistrationError> {
    registration.announce(announcement, Instant::default())
}

/// Guards against calls to a target that has not announced that it accepts them.
#[test]
fn first_announcement_opens_the_target() {
    let mut registration = registration();
    assert_eq!(registration.state(), RegistrationState::Absent);
    let effects = announce(
        &mut registration,
        &announcement("a", 1, 0, TargetReadiness::Ready),
    );
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
    assert_eq!((registration.id(), registration.slots()), ("a", 12));
}

/// Guards against a drain that is undone by an announcement sent before it and received after it.
#[test]
fn late_announcement_does_not_undo_a_drain() {
    let mut registration = registration();
    announce(
        &mut registration,
        &announcement("a", 1, 4, TargetReadiness::Ready),
    )
    .expect("accepted");
    let effects = announce(
        &mut registration,
        &announcement("a", 1, 6, TargetReadiness::Draining),
    );
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Close, RegistrationEffect::Publish])
    );
    let late = announce(
        &mut registration,
        &announcement("a", 1, 5, TargetReadiness::Ready),
    );
    assert_eq!(late, Err(RegistrationError::Stale));
    let later = announce(
        &mut registration,
        &announcement("a", 1, 7, TargetReadiness::Ready),
    );
    assert_eq!(later, Ok(Vec::new()));
    assert_eq!(registration.state(), RegistrationState::Draining);
}

/// Guards against calls to a target that has deregistered, and against rejecting its successor.
#[test]
fn deregistered_target_stays_gone_until_it_restarts() {
    let mut registration = registration();
    announce(
        &mut registration,
        &announcement("a", 1, 0, TargetReadiness::Ready),
    )
    .expect("accepted");
    assert_eq!(
        registration.deregister("a", Instant::default()),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let late = announce(
        &mut registration,
        &announcement("a", 1, 1, TargetReadiness::Ready),
    );
    assert_eq!(late, Ok(Vec::new()));
    assert_eq!(registration.state(), RegistrationState::Gone);
    // The same instance ID may start again, with sequence numbers from 0.
    let effects = announce(
        &mut registration,
        &announcement("a", 2, 0, TargetReadiness::Ready),
    );
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against calls to a target that has deregistered at a node that never learned its start
/// time, because the node has just restarted: a late announcement looks like one of a later start.
#[parameterized(
    unknown_target = { false },
    target_known_from_a_probe = { true },
)]
fn late_announcement_does_not_undo_a_deregistration(is_probed: bool) {
    let mut registration = registration();
    if is_probed {
        let probed = announcement("a", 0, 0, TargetReadiness::Ready);
        announce(&mut registration, &probed).expect("accepted");
    }
    registration.deregister("a", Instant::default());
    let late = announcement("a", 7, 3, TargetReadiness::Ready);
    let late_at = Instant::from_millis(ANNOUNCEMENT_TTL_MS - 1);
    assert_eq!(
        registration.announce(&late, late_at),
        Err(RegistrationError::Stale)
    );
    assert_eq!(registration.state(), RegistrationState::Gone);
    // Another target may take the address at once, and the same ID once no announcement can be late.
    let successor = announcement("b", 8, 0, TargetReadiness::Ready);
    let opened = Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish]);
    assert_eq!(registration.announce(&successor, late_at), opened);
}

/// Guards against rejecting a target that starts again under the ID of one that has deregistered at
/// a node that did not know its start time.
#[test]
fn same_id_starts_again_once_no_announcement_can_be_late() {
    let mut registration = registration();
    registration.deregister("a", Instant::default());
    let restarted = announcement("a", 7, 3, TargetReadiness::Ready);
    let restarted_at = Instant::from_millis(ANNOUNCEMENT_TTL_MS);
    assert_eq!(
        registration.announce(&restarted, restarted_at),
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against accepting an announcement of an earlier start that a partition has delayed.
#[test]
fn announcement_of_an_earlier_start_is_rejected() {
    let mut registration = registration();
    announce(
        &mut registration,
        &announcement("b", 20, 0, TargetReadiness::Ready),
    )
    .expect("accepted");
    let late = announce(
        &mut registration,
        &announcement("a", 10, 9, TargetReadiness::Draining),
    );
    assert_eq!(late, Err(RegistrationError::Stale));
    assert_eq!(registration.id(), "b");
    assert_eq!(registration.deregister("a", Instant::default()), []);
    assert_eq!(registration.state(), RegistrationState::Ready);
}

/// Guards against rejecting a restarted target forever after its system clock stepped back, so that
/// its start time lies before that of the earlier start.
#[test]
fn start_after_a_backward_clock_step_is_accepted_once_the_earlier_target_is_absent() {
    let mut registration = registration();
    announce(
        &mut registration,
        &announcement("a", 5_000, 3, TargetReadiness::Ready),
    )
    .expect("accepted");
    let early = announce(
        &mut registration,
        &announcement("b", 3_000, 0, TargetReadiness::Ready),
    );
    assert_eq!(early, Err(RegistrationError::Stale));
    assert_eq!(
        registration.mark_unreachable(),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let effects = announce(
        &mut registration,
        &announcement("b", 3_000, 1, TargetReadiness::Ready),
    );
    assert_eq!(
        effects,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against calls to a target whose last announcement has expired, and against a tick that
/// closes the target too early.
#[test]
fn expired_announcement_closes_the_target() {
    let mut registration = registration();
    announce(
        &mut registration,
        &announcement("a", 1, 0, TargetReadiness::Ready),
    )
    .expect("accepted");
    assert_eq!(
        registration.tick(Instant::from_millis(ANNOUNCEMENT_TTL_MS - 1)),
        []
    );
    assert_eq!(
        registration.tick(Instant::from_millis(ANNOUNCEMENT_TTL_MS)),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    let again = announce(
        &mut registration,
        &announcement("a", 1, 1, TargetReadiness::Ready),
    );
    assert_eq!(
        again,
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
}

/// Guards against an announcement for another service or address that opens or closes the target.
#[test]
fn announcement_of_another_target_is_rejected() {
    let mut registration = registration();
    let mut other_target = announcement("a", 1, 0, TargetReadiness::Ready);
    other_target.service = "manifests";
    assert_eq!(
        announce(&mut registration, &other_target),
        Err(RegistrationError::WrongTarget)
    );
    let mut other_target = announcement("a", 1, 0, TargetReadiness::Ready);
    other_target.address = "10.0.0.2:80";
    assert_eq!(
        announce(&mut registration, &other_target),
        Err(RegistrationError::WrongTarget)
    );
    assert_eq!(registration.state(), RegistrationState::Absent);
}

/// Guards against calls to a target that has stated in an answer that it is leaving, against closing a
/// later start for an answer of an earlier one, and against a target that stays closed after its next
/// start.
#[test]
fn a_target_that_states_that_it_is_leaving_is_closed_until_its_next_start() {
    let mut registration = registration();
    let ready = |id, started, sequence| announcement(id, started, sequence, TargetReadiness::Ready);
    announce(&mut registration, &ready("a", 1, 0)).unwrap();
    assert_eq!(registration.mark_leaving("other"), []);
    assert_eq!(
        registration.mark_leaving("a"),
        [RegistrationEffect::Close, RegistrationEffect::Publish]
    );
    assert_eq!(announce(&mut registration, &ready("a", 1, 1)), Ok(vec![]));
    assert_eq!(registration.state(), RegistrationState::Draining);
    assert_eq!(registration.mark_leaving("a"), []);
    assert_eq!(
        announce(&mut registration, &ready("b", 2, 0)),
        Ok(vec![RegistrationEffect::Open, RegistrationEffect::Publish])
    );
    assert_eq!(registration.mark_leaving("a"), []);
    assert_eq!(registration.state(), RegistrationState::Ready);
}

/// Guards against a node that restarts after it has acknowledged that its target leaves, and opens the
/// target again on a late announcement.
#[test]
fn one_announcement_after_a_restart_does_not_open_the_target() {
    let mut registration = unconfirmed_registration();
    let late = announcement("a", 1, 4, TargetReadiness::Ready);
    assert_eq!(announce(&mut registration, &late), Ok(Vec::new()));
    assert_eq!(registration.state(), RegistrationState::Announced);
    assert_eq!(
        announce(&mut registration, &late),
        Err(RegistrationError::Stale)
    );
    assert_eq!(registration.deregister("a", Instant::default()), []);
    assert_eq!(registration.state(), RegistrationState::Gone);
}

/// Guards against a target that stays closed after a restart of its node although it goes on announcing
/// itself, or its health check succeeds.
#[parameterized(
    by_a_second_announcement = { false },
    by_a_health_check = { true },
)]
fn a_confirmed_announcement_opens_the_target(by_health_check: bool) {
    let mut registration = unconfirmed_registration();
    let first = announcement("a", 1, 4, TargetReadiness::Ready);
    assert_eq!(announce(&mut registration, &first), Ok(Vec::new()));
    let effects = if by_health_check {
        registration.confirm()
    } else {
        let second = announcement("a", 1, 5, TargetReadiness::Ready);
        announce(&mut registration, &second).expect("accepted")
    };
    assert_eq!(
        effects,
        [RegistrationEffect::Open, RegistrationEffect::Publish]
    );
    assert_eq!(registration.state(), RegistrationState::Ready);
}
