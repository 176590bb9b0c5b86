//! Checks which changes are accepted, and that deltas reproduce the accepted snapshot on each node.

use agatedeck_records::{
    ApplyError, ChangeRefusal, ConfigSnapshot, PlannedChange, RecordKey, plan_change,
};
use agatedeck_wire::record_form::Body;
use agatedeck_wire::{Change, Delta, PolicyForm, RecordForm, RecordKind, RecordName, RecordWrite};
use agatedeck_wire::{RouteForm, ServiceForm};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

fn record_write(
    kind: RecordKind,
    name: &str,
    base_revision: u64,
    body: Option<Body>,
) -> RecordWrite {
    let form = |body| RecordForm {
        schema: 1,
        body: Some(body),
    };
    let name = RecordName {
        kind: kind.into(),
        name: name.to_owned(),
    };
    let forms = body.into_iter().map(form).collect();
    RecordWrite {
        name: Some(name),
        forms,
        base_revision,
    }
}

fn policy(name: &str, base: u64, slots: u32) -> RecordWrite {
    let form = PolicyForm {
        slots,
        ..PolicyForm::default()
    };
    record_write(RecordKind::Policy, name, base, Some(Body::Policy(form)))
}

fn service(name: &str, base: u64, policy: &str, depends_on: &[&str]) -> RecordWrite {
    let depends_on = depends_on.iter().map(ToString::to_string).collect();
    let form = ServiceForm {
        policy: policy.to_owned(),
        depends_on,
        ..ServiceForm::default()
    };
    record_write(RecordKind::Service, name, base, Some(Body::Service(form)))
}

fn route(name: &str, base: u64, prefix: &str, service: &str) -> RecordWrite {
    let (prefix, service) = (prefix.to_owned(), service.to_owned());
    let form = RouteForm {
        prefix,
        service,
        ..RouteForm::default()
    };
    record_write(RecordKind::Route, name, base, Some(Body::Route(form)))
}

fn retire(kind: RecordKind, name: &str, base: u64) -> RecordWrite {
    record_write(kind, name, base, None)
}

fn plan(
    snapshot: &ConfigSnapshot,
    writes: Vec<RecordWrite>,
) -> Result<PlannedChange, ChangeRefusal> {
    plan_change(
        snapshot,
        &Change {
            writes,
            ..Change::default()
        },
        0,
    )
}

/// Policy `p` and services `a` and `b` at revision 1, route `r` at revision 2.
fn base_snapshot() -> ConfigSnapshot {
    let first = vec![
        policy("p", 0, 1),
        service("a", 0, "p", &[]),
        service("b", 0, "p", &["a"]),
    ];
    let first = plan(&ConfigSnapshot::default(), first).unwrap().snapshot;
    plan(&first, vec![route("r", 0, "/a", "a")])
        .unwrap()
        .snapshot
}

#[parameterized(
    stale_edit = { vec![policy("p", 3, 9)],
        "conflict: policy `p` is at revision 1, the change is based on revision 3" },
    already_exists = { vec![route("r", 0, "/x", "a")],
        "conflict: route `r` is at revision 2, the change is based on revision 0" },
    missing_record = { vec![retire(RecordKind::Route, "gone", 4)],
        "conflict: route `gone` is at revision 0, the change is based on revision 4" },
    all_conflicts = { vec![policy("p", 3, 9), route("r", 1, "/x", "a")],
        "conflict: policy `p` is at revision 1, the change is based on revision 3; \
         route `r` is at revision 2, the change is based on revision 1" },
    every_referrer = { vec![retire(RecordKind::Service, "a", 1)],
        "the resulting version breaks rules: route `r` refers to service `a`, which does not \
         exist; service `b` refers to service `a`, which does not exist" },
    retired_by_other_record = { vec![policy("q", 0, 1), retire(RecordKind::Policy, "p", 1)],
        "the resulting version breaks rules: service `a` refers to policy `p`, which does not \
         exist; service `b` refers to policy `p`, which does not exist" },
    duplicate_match = { vec![route("s", 0, "/a", "b")],
        "the resulting version breaks rules: route `r` and route `s` match the same calls" },
    duplicate_record = { vec![policy("q", 0, 1), policy("q", 0, 2)],
        "the change names policy `q` more than once" },
    no_effect = { vec![policy("p", 1, 1)], "the change does not alter anything" },
)]
fn refused_change_states_every_reason(writes: Vec<RecordWrite>, expected: &str) {
    assert_eq!(
        plan(&base_snapshot(), writes).unwrap_err().to_string(),
        expected
    );
}

/// Guards against checking references record by record: a change may refer to records that it
/// creates itself.
#[test]
fn references_are_checked_against_the_resulting_version() {
    let writes = vec![
        route("n", 0, "/n", "n"),
        service("n", 0, "q", &[]),
        policy("q", 0, 1),
    ];
    assert!(plan(&base_snapshot(), writes).is_ok());
    let writes = vec![
        retire(RecordKind::Route, "r", 2),
        service("b", 1, "p", &[]),
        retire(RecordKind::Service, "a", 1),
    ];
    assert!(plan(&base_snapshot(), writes).is_ok());
}

/// Guards against a delta that is out of sequence, altered or incomplete being applied to the held
/// snapshot.
#[test]
fn refused_delta_leaves_the_snapshot_unchanged() {
    let held = base_snapshot();
    let digest = held.digest();
    let next = plan(&held, vec![policy("p", 1, 9)]).unwrap();
    let later = plan(&next.snapshot, vec![policy("p", 3, 8)]).unwrap();
    let mut altered = next.delta.clone();
    altered.puts[0].revision = 77;
    let mut bad_digest = next.delta.clone();
    bad_digest.digest[0] ^= 1;
    let dangling = Delta {
        version: 3,
        retired: vec![RecordName {
            kind: RecordKind::Service.into(),
            name: "a".to_owned(),
        }],
        ..Delta::default()
    };
    let refused = |delta: &Delta| held.apply(delta).unwrap_err();
    assert!(matches!(
        refused(&later.delta),
        ApplyError::OutOfSequence { held: 2, delta: 4 }
    ));
    assert!(matches!(
        refused(&altered),
        ApplyError::DigestMismatch { version: 3, .. }
    ));
    assert!(matches!(
        refused(&bad_digest),
        ApplyError::DigestMismatch { version: 3, .. }
    ));
    assert!(matches!(
        refused(&dangling),
        ApplyError::Invalid { version: 3, .. }
    ));
    assert!(matches!(
        next.snapshot.apply(&next.delta),
        Err(ApplyError::OutOfSequence { .. })
    ));
    assert_eq!(
        (held.version(), held.digest(), held.records().count()),
        (2, digest, 4)
    );
    assert_eq!(
        held.apply(&next.delta).unwrap().digest(),
        next.snapshot.digest()
    );
}

/// Builds a write from generated values, based on the accepted revision of the record.
fn generated_write(accepted: &ConfigSnapshot, (action, name, value): (u8, u8, u32)) -> RecordWrite {
    let (name, other) = (format!("n{name}"), format!("n{value}"));
    let kind = match action % 3 {
        0 => RecordKind::Policy,
        1 => RecordKind::Service,
        _ => RecordKind::Route,
    };
    let revision = accepted.get(&RecordKey::new(kind, &name));
    let revision = revision.map_or(0, |record| record.revision);
    match action {
        0 => policy(&name, revision, value),
        1 => service(&name, revision, &other, &[]),
        2 => route(&name, revision, &format!("/{name}"), &other),
        _ => retire(kind, &name, revision),
    }
}

fn change_strategy() -> impl Strategy<Value = Vec<(u8, u8, u32)>> {
    prop::collection::vec((0..6_u8, 0..4_u8, 0..4_u32), 1..4)
}

proptest! {
    // The fixed seed makes a failure in CI reproducible.
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a node whose snapshot, built from deltas, differs from the accepted one, as it
    /// would if a delta omitted a record that its change wrote or retired.
    #[test]
    fn applied_deltas_reproduce_the_accepted_snapshot(
        changes in prop::collection::vec(change_strategy(), 1..40),
    ) {
        let (mut accepted, mut held) = (ConfigSnapshot::default(), ConfigSnapshot::default());
        for steps in changes {
            let writes = steps.into_iter().map(|step| generated_write(&accepted, step)).collect();
            if let Ok(planned) = plan(&accepted, writes) {
                held = held.apply(&planned.delta).unwrap();
                accepted = planned.snapshot;
            }
            prop_assert_eq!(held.version(), accepted.version());
            prop_assert_eq!(held.digest(), accepted.digest());
            prop_assert!(held.records().eq(accepted.records()));
        }
        let decoded = ConfigSnapshot::decode(&accepted.compressed(), accepted.digest().as_bytes());
        prop_assert_eq!(decoded.unwrap().digest(), accepted.digest());
    }
}
