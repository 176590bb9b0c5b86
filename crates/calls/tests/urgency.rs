//! Which calls wait, and in which order they run, when a target has more calls than slots.

use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, RefusalReason,
    RefusedCall, RetryAfterSettings, draw_retry_after,
};
use agatedeck_clock::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: Duration = Duration::from_millis(100);

fn queue(slots: u32) -> AdmissionQueue {
    let settings = AdmissionSettings {
        slots,
        queue: 64,
        tenant_share_percent: 100,
        warm_up_ms: 0,
    };
    AdmissionQueue::new(settings, Instant::default())
}

fn ticket(call: u64, priority: u32, useful_until: Option<Instant>) -> CallTicket<'static> {
    CallTicket {
        call: CallId::from(call),
        tenant: "",
        priority,
        class: "search",
        deadline: Instant::from_millis(60_000),
        useful_until,
    }
}

/// A queue that has seen calls of [`SERVICE`], with all slots free.
fn measured(slots: u32) -> (AdmissionQueue, Instant) {
    let mut queue = queue(slots);
    let mut now = Instant::default();
    for call in 0..32 {
        queue.admit(&ticket(call, 0, None), now);
        now = now.after(SERVICE);
        queue.release(CallId::from(call), now);
    }
    (queue, now)
}

/// Guards against the standing queue of a day of high load, in which every call waits its turn and
/// is answered too late: replays an offered load of one and a half times the capacity. With a queue
/// that is bounded by deadlines alone, 20 of 1,333 calls were in time.
#[test]
fn calls_that_run_under_overload_are_in_time() {
    const SLOTS: u32 = 4;
    const USEFUL: Duration = Duration::from_millis(250);
    let (mut queue, start) = measured(SLOTS);
    let gap = SERVICE / (SLOTS * 3 / 2);
    let mut running: Vec<(Instant, CallId, Instant)> = Vec::new();
    let mut arrivals = std::collections::HashMap::new();
    let (mut in_time, mut late) = (0, 0);
    let take = |effects: Vec<AdmissionEffect>, now: Instant, running: &mut Vec<_>| {
        for effect in effects {
            if let AdmissionEffect::Run(call) = effect {
                running.push((now.after(SERVICE), call, now));
            }
        }
    };
    let mut now = start;
    for number in 1_000..3_000 {
        now = now.after(gap);
        while let Some(index) = running.iter().position(|(end, _, _)| *end <= now) {
            let (end, call, _) = running.remove(index);
            let answered_in = end.since(arrivals[&call]);
            if answered_in <= USEFUL {
                in_time += 1;
            } else {
                late += 1;
            }
            take(queue.release(call, end), end, &mut running);
        }
        let useful_until = Some(now.after(USEFUL));
        arrivals.insert(CallId::from(number), now);
        let effects = queue.admit(&ticket(number, 0, useful_until), now);
        take(effects, now, &mut running);
    }
    let capacity = 2_000 * 2 / 3;
    assert!(
        in_time >= capacity * 95 / 100,
        "{in_time} of {capacity} in time"
    );
    assert!(late * 50 < in_time, "{late} late, {in_time} in time");
}

/// Guards against holding a call that no longer can be in time, while its caller could go elsewhere.
#[test]
fn call_that_cannot_be_in_time_is_refused_at_once() {
    let (mut queue, now) = measured(1);
    queue.admit(&ticket(100, 0, Some(now.after(SERVICE * 4))), now);
    queue.admit(&ticket(101, 0, Some(now.after(SERVICE * 4))), now);
    let hopeless = ticket(102, 0, Some(now.after(SERVICE * 2)));
    let effects = queue.admit(&hopeless, now);
    let refused = AdmissionEffect::Refuse(CallId::from(102), RefusalReason::QueueFull);
    assert_eq!(effects, [refused]);
}

/// Guards against an idle target that refuses a call only because its answer comes late.
#[test]
fn late_call_runs_in_a_free_slot() {
    let (mut queue, now) = measured(1);
    let effects = queue.admit(&ticket(100, 0, Some(now)), now);
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(100))]);
}

/// Guards against less urgent calls that are served before more urgent ones.
#[test]
fn urgent_calls_run_first() {
    let (mut queue, now) = measured(1);
    let useful_until = Some(now.after(SERVICE * 20));
    queue.admit(&ticket(100, 2, useful_until), now);
    queue.admit(&ticket(101, 2, useful_until), now);
    queue.admit(&ticket(102, 0, useful_until), now);
    let effects = queue.release(CallId::from(100), now.after(SERVICE));
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(102))]);
}

/// Guards against a short call behind a long one of the same rank that can wait longer.
#[test]
fn calls_of_one_rank_run_by_when_they_are_due() {
    let (mut queue, now) = measured(1);
    queue.admit(&ticket(100, 1, Some(now.after(SERVICE * 20))), now);
    queue.admit(&ticket(101, 1, Some(now.after(SERVICE * 20))), now);
    queue.admit(&ticket(102, 1, Some(now.after(SERVICE * 5))), now);
    let effects = queue.release(CallId::from(100), now.after(SERVICE));
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(102))]);
}

/// Guards against a drain that is acknowledged while calls still wait for the target.
#[test]
fn closed_queue_refuses_what_waits_and_reopens() {
    let (mut queue, now) = measured(1);
    queue.admit(&ticket(100, 0, None), now);
    queue.admit(&ticket(101, 0, None), now);
    let refuse = |call| AdmissionEffect::Refuse(CallId::from(call), RefusalReason::Draining);
    assert_eq!(queue.close(now), [refuse(101)]);
    assert_eq!(queue.admit(&ticket(102, 0, None), now), [refuse(102)]);
    assert_eq!(queue.release(CallId::from(100), now), []);
    queue.reopen();
    let effects = queue.admit(&ticket(103, 0, None), now);
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(103))]);
}

/// Guards against callers that are refused together and return together, and against less urgent
/// ones that return first.
#[test]
fn refused_callers_return_spread_out_and_by_rank() {
    let settings = RetryAfterSettings::default();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut draw = |priority| {
        let question = RefusedCall {
            priority,
            expected_wait: Some(Duration::from_millis(200)),
        };
        let drawn = (0..200).map(|_| draw_retry_after(&question, &settings, &mut rng));
        drawn.collect::<Vec<_>>()
    };
    let (urgent, other) = (draw(0), draw(2));
    let (first, last) = (urgent.iter().min().unwrap(), urgent.iter().max().unwrap());
    assert!(*first >= Duration::from_millis(200));
    assert!(*last >= *first * 3 / 2);
    let mean = |drawn: &[Duration]| drawn.iter().sum::<Duration>() / 200;
    assert!(mean(&urgent) < mean(&other));
}

/// Guards against the refusal of calls that targets make while they run a call: they are of use for a
/// short time, would be next, and were counted behind every call that can wait for longer. The call
/// that runs last is refused at once when it loses its place.
#[test]
fn call_of_short_use_is_next() {
    const SLOTS: u32 = 4;
    let (mut queue, now) = measured(SLOTS);
    let until = |millis| Some(now.after(Duration::from_millis(millis)));
    for call in 1_000..1_004 {
        queue.admit(&ticket(call, 0, None), now);
    }
    for call in 1_004..1_012 {
        assert_eq!(queue.admit(&ticket(call, 0, until(320)), now), []);
    }
    let effects = queue.admit(&ticket(2_000, 0, until(180)), now);
    let last = CallId::from(1_011);
    let displaced = AdmissionEffect::Refuse(last, RefusalReason::QueueFull);
    assert_eq!(effects, [displaced]);
    let later = now.after(Duration::from_millis(20));
    let effects = queue.release(CallId::from(1_000), later);
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(2_000))]);
}

/// Guards against late calls that take the slots of those that can be in time: under lasting overload
/// callers come back after their answer was due, and most calls of either kind were late.
#[test]
fn late_call_runs_after_those_in_time() {
    const SLOTS: u32 = 4;
    let (mut queue, now) = measured(SLOTS);
    for call in 1_000..1_004 {
        queue.admit(&ticket(call, 0, None), now);
    }
    let late = ticket(1_004, 0, Some(now));
    assert_eq!(queue.admit(&late, now), []);
    let in_time = ticket(1_005, 0, Some(now.after(Duration::from_millis(300))));
    assert_eq!(queue.admit(&in_time, now), [refused(1_004)]);
    let later = now.after(Duration::from_millis(10));
    let effects = queue.release(CallId::from(1_000), later);
    assert_eq!(effects, [AdmissionEffect::Run(CallId::from(1_005))]);
}

fn refused(call: u64) -> AdmissionEffect {
    AdmissionEffect::Refuse(CallId::from(call), RefusalReason::QueueFull)
}
