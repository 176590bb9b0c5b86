//! Admission control at the target's node: slots, deadlines, fairness, warm-up, draining, overload.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, RefusalReason,
};
use agatedeck_clock::Instant;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use AdmissionEffect::{Drained, Refuse, Run, Stop};

const START: Instant = Instant::from_millis(0);

fn queue(slots: u32, queue: u32) -> AdmissionQueue {
    let settings = AdmissionSettings {
        slots,
        queue,
        ..AdmissionSettings::default()
    };
    AdmissionQueue::new(settings, START)
}

fn request(call: u64, workspace: &str) -> AdmissionRequest<'_> {
    AdmissionRequest {
        call: call.into(),
        workspace,
        priority: 0,
        class: "",
        useful_until: None,
        deadline: Instant::from_millis(1_000),
    }
}

fn id(call: u64) -> CallId {
    call.into()
}

/// Guards against a drain that drops queued calls or completes too early (I8).
#[test]
fn drain_completes_admitted_calls() {
    let mut admission = queue(1, 4);
    assert_eq!(admission.admit(&request(1, "a"), START), [Run(id(1))]);
    assert_eq!(admission.admit(&request(2, "a"), START), []);
    assert_eq!(admission.drain(START), []);
    let refused = admission.admit(&request(3, "b"), START);
    assert_eq!(refused, [Refuse(id(3), RefusalReason::Draining)]);
    assert_eq!(admission.release(id(1), START), [Run(id(2))]);
    assert_eq!(admission.release(id(2), START), [Drained]);
    assert_eq!(admission.tick(START), []);
}

/// Guards against an overflow at the least urgent priority, which callers' nodes state in a header
/// and which then displaces all other calls.
#[test]
fn least_urgent_priority_displaces_no_other_call() {
    let mut admission = queue(1, 1);
    assert_eq!(admission.admit(&request(1, "a"), START), [Run(id(1))]);
    assert_eq!(admission.admit(&request(2, "a"), START), []);
    let least_urgent = AdmissionRequest {
        priority: u32::MAX,
        ..request(3, "b")
    };
    let refused = admission.admit(&least_urgent, START);
    assert_eq!(refused, [Refuse(id(3), RefusalReason::QueueFull)]);
}

/// Guards against running a call that its caller has cancelled, and against reusing a slot while the
/// target still works on a cancelled call.
#[test]
fn cancelled_calls_are_removed_or_stopped() {
    let mut admission = queue(1, 4);
    admission.admit(&request(1, "a"), START);
    admission.admit(&request(2, "a"), START);
    admission.admit(&request(3, "a"), START);
    assert_eq!(admission.cancel(id(2), START), []);
    assert_eq!(admission.cancel(id(1), START), [Stop(id(1))]);
    assert_eq!(admission.running(), 1);
    assert_eq!(admission.abandon(id(1), START), [Run(id(3))]);
    assert_eq!(admission.cancel(id(9), START), []);
}

/// Guards against queueing a call past its deadline and against admitting one that will miss it.
#[test]
fn calls_that_miss_their_deadline_are_refused() {
    let mut admission = queue(1, 10);
    admission.admit(&request(1, "a"), START);
    let now = Instant::from_millis(100);
    assert_eq!(admission.release(id(1), now), []);
    admission.admit(&request(2, "a"), now);
    let urgent = AdmissionRequest {
        deadline: Instant::from_millis(150),
        ..request(3, "a")
    };
    let refused = admission.admit(&urgent, now);
    assert_eq!(refused, [Refuse(id(3), RefusalReason::Deadline)]);
    assert_eq!(admission.admit(&request(4, "a"), now), []);
    assert_eq!(admission.next_deadline(now), Some(request(4, "a").deadline));
    let refused = admission.tick(request(4, "a").deadline);
    assert_eq!(refused, [Refuse(id(4), RefusalReason::Deadline)]);
}

/// Guards against refusing short calls while slots are open because earlier calls were long.
#[test]
fn long_calls_do_not_refuse_short_ones_while_slots_are_open() {
    let mut admission = queue(4, 4);
    admission.admit(&request(1, "a"), START);
    admission.admit(&request(2, "a"), START);
    let now = Instant::from_millis(900);
    admission.release(id(1), now);
    assert_eq!(admission.admit(&request(3, "a"), now), [Run(id(3))]);
}

/// Guards against a workspace that fills the queue while it is the only one and so shuts out others,
/// and against enforcing the share while no other workspace competes.
#[test]
fn lone_workspace_uses_all_slots_until_another_competes() {
    let mut admission = queue(4, 4);
    for call in 0..8 {
        admission.admit(&request(call, "a"), START);
    }
    assert_eq!((admission.running(), admission.queued()), (4, 4));
    let effects = admission.admit(&request(8, "b"), START);
    assert_eq!(effects, [Refuse(id(7), RefusalReason::TenantShare)]);
    assert_eq!(admission.release(id(0), START), [Run(id(8))]);
}

/// Guards against scheduling that ignores the weights of workspaces.
#[test]
fn slots_follow_weights() {
    let mut admission = AdmissionQueue::new(
        AdmissionSettings {
            slots: 1,
            queue: 40,
            tenant_share_percent: 100,
            warm_up_ms: 0,
        },
        START,
    );
    admission.set_weight("a", 3);
    admission.admit(&request(0, "c"), START);
    for call in 1..=12 {
        admission.admit(&request(call, "a"), START);
        admission.admit(&request(100 + call, "b"), START);
    }
    let mut running = 0;
    let mut order = Vec::new();
    for _ in 0..8 {
        let effects = admission.release(id(running), START);
        let [Run(call)] = effects[..] else {
            panic!("{effects:?}");
        };
        running = call.into();
        order.push(if running > 100 { 'b' } else { 'a' });
    }
    assert_eq!(order, ['a', 'a', 'a', 'b', 'a', 'a', 'a', 'b']);
}

/// Guards against sending full load to a target that has just started.
#[parameterized(
    start = { 0, 2 },
    after_a_quarter = { 200, 6 },
    before_the_end = { 799, 16 },
    end = { 800, 16 },
)]
fn slots_open_step_by_step(millis: u64, open: u32) {
    let settings = AdmissionSettings {
        slots: 16,
        warm_up_ms: 800,
        ..AdmissionSettings::default()
    };
    let admission = AdmissionQueue::new(settings, START);
    assert_eq!(admission.open_slots(Instant::from_millis(millis)), open);
}

/// Calls of one workspace in a simulated run.
#[derive(Clone, Copy)]
struct WorkspaceLoad {
    workspace: &'static str,
    /// Mean time between two calls.
    mean_interarrival_us: u64,
    /// Factor by which the service time is multiplied.
    service_time_factor: u64,
}

const SLOTS: u32 = 10;
const MEAN_SERVICE_TIME_US: u64 = 10_000;
const CALL_TIMEOUT_US: u64 = 60_000;
const RUN_DURATION_US: u64 = 20_000_000;

/// Simulates the loads in virtual time and returns the number of calls answered by their deadline
/// for each workspace. The target takes 5 to 15 ms for a call and also finishes calls whose deadline
/// has passed.
fn goodput(loads: &[WorkspaceLoad]) -> HashMap<&'static str, u64> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut admission = queue(SLOTS, 40);
    let mut arrivals: BTreeSet<(u64, usize)> = (0..loads.len()).map(|load| (0, load)).collect();
    let mut completions: BTreeSet<(u64, u64)> = BTreeSet::new();
    let mut calls: BTreeMap<u64, (WorkspaceLoad, u64)> = BTreeMap::new();
    let mut answered_in_time = HashMap::new();
    let mut next_call = 0;
    loop {
        let arrival = arrivals.first().map_or(u64::MAX, |first| first.0);
        let completion = completions.first().map_or(u64::MAX, |first| first.0);
        let at = arrival.min(completion);
        if at >= RUN_DURATION_US {
            return answered_in_time;
        }
        let now = Instant::from_micros(at);
        let effects = if completion <= arrival {
            let (_, call) = completions.pop_first().expect("a completion is due");
            let (WorkspaceLoad { workspace, .. }, deadline) = calls[&call];
            if at <= deadline {
                *answered_in_time.entry(workspace).or_default() += 1;
            }
            admission.release(id(call), now)
        } else {
            let (_, load) = arrivals.pop_first().expect("an arrival is due");
            arrivals.insert((
                at + rng.random_range(1..=2 * loads[load].mean_interarrival_us),
                load,
            ));
            next_call += 1;
            calls.insert(next_call, (loads[load], at + CALL_TIMEOUT_US));
            let deadline = Instant::from_micros(at + CALL_TIMEOUT_US);
            admission.admit(
                &AdmissionRequest {
                    deadline,
                    ..request(next_call, loads[load].workspace)
                },
                now,
            )
        };
        for effect in effects {
            if let Run(call) = effect {
                let call = u64::from(call);
                let service_time_us =
                    rng.random_range(MEAN_SERVICE_TIME_US / 2..=MEAN_SERVICE_TIME_US * 3 / 2);
                completions.insert((
                    at + service_time_us * calls[&call].0.service_time_factor,
                    call,
                ));
            }
        }
        assert!(admission.running() <= SLOTS && admission.queued() <= 40);
    }
}

/// Load of one workspace, in percent of the capacity of all slots.
fn load(workspace: &'static str, percent: u64) -> WorkspaceLoad {
    let mean_interarrival_us = MEAN_SERVICE_TIME_US * 100 / (u64::from(SLOTS) * percent);
    WorkspaceLoad {
        workspace,
        mean_interarrival_us,
        service_time_factor: 1,
    }
}

/// Guards against goodput that collapses under overload. It is compared with the peak goodput at
/// loads of 70% to 105% of the capacity.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    let total = |percent| goodput(&[load("a", percent)])["a"];
    let peak = [70, 80, 90, 95, 100, 105].map(total).into_iter().max();
    let peak = peak.expect("the list of loads is not empty");
    let overloaded = total(200);
    println!("peak {peak}, at twice the capacity {overloaded}");
    assert!(overloaded * 100 >= peak * 95, "{overloaded} of {peak}");
}

/// Guards against a workspace that floods the target and takes the share of another one. The other
/// workspace offers less than half of the capacity, its fair share of two.
#[parameterized(twice = { 200 }, tenfold = { 1_000 })]
fn flooding_workspace_leaves_others_their_share(flood: u64) {
    let alone = goodput(&[load("quiet", 45)])["quiet"];
    let contended = goodput(&[load("flood", flood), load("quiet", 45)]);
    let (flood, quiet) = (contended["flood"], contended["quiet"]);
    println!("quiet alone {alone}, with the flood {quiet}, flood {flood}");
    assert!(quiet * 100 >= alone * 95, "{quiet} of {alone}");
    let capacity = RUN_DURATION_US / MEAN_SERVICE_TIME_US * u64::from(SLOTS);
    assert!((quiet + flood) * 100 >= capacity * 95, "slots stay idle");
}

/// Guards against a workspace that occupies the slots with long calls: deficit round robin counts
/// calls, so only the limit on its share keeps it from using nearly all slots.
#[test]
fn long_calls_of_one_workspace_leave_others_their_share() {
    let alone = goodput(&[load("quiet", 30)])["quiet"];
    let long = WorkspaceLoad {
        service_time_factor: 3,
        ..load("long", 600)
    };
    let quiet = goodput(&[long, load("quiet", 30)])["quiet"];
    println!("quiet alone {alone}, with long calls {quiet}");
    assert!(quiet * 100 >= alone * 95, "{quiet} of {alone}");
}

/// Guards against receiving a large body although its call will not get a slot in time: the expected
/// latency includes the wait for calls ahead and the service time of the class.
#[test]
fn expected_latency_includes_queueing_and_service() {
    let mut admission = queue(1, 8);
    assert_eq!(
        admission.expected_latency(0, "", START),
        Some(Duration::ZERO)
    );
    for call in 0..20 {
        let from = Instant::from_millis(call * 100);
        let request = AdmissionRequest {
            deadline: from.after(Duration::from_secs(9)),
            ..request(call, "a")
        };
        admission.admit(&request, from);
        admission.release(id(call), from.after(Duration::from_millis(100)));
    }
    let now = Instant::from_millis(2_000);
    let idle = admission
        .expected_latency(0, "", now)
        .expect("the queue is open");
    assert!(idle >= Duration::from_millis(100), "{idle:?}");
    for call in 100..103 {
        let request = AdmissionRequest {
            deadline: now.after(Duration::from_secs(9)),
            ..request(call, "a")
        };
        admission.admit(&request, now);
    }
    let busy = admission
        .expected_latency(0, "", now)
        .expect("the queue is open");
    assert!(
        busy >= idle + Duration::from_millis(290),
        "{idle:?} {busy:?}"
    );
    admission.close(now);
    assert_eq!(admission.expected_latency(0, "", now), None);
}
