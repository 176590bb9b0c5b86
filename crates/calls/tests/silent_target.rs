//! A target whose host stands still or is cut off: its calls are neither answered nor refused, and the
//! failure detector has not suspected it yet.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use agatedeck_calls::{
    AttemptResult, BalancerSettings, LoadBalancer, PickedTarget, TargetView, TwoChoices,
};
use agatedeck_clock::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

use common::{LOCAL_NODE, request, view};

/// Port of the target in the failure domain of the caller.
const NEAR_PORT: u16 = 9_000;

/// Port of the target in another failure domain of the region.
const OTHER_PORT: u16 = 9_001;

/// Slots of each target, more than the calls of a silence.
const SLOTS: u32 = 60;

/// Time between two calls.
const INTERARRIVAL: Duration = Duration::from_millis(25);

/// Time that a target takes for a call.
const LATENCY: Duration = Duration::from_millis(100);

/// Calls of one caller's node to a near target, which may stop answering, and another one.
struct Caller {
    balancer: LoadBalancer,
    rng: SmallRng,
    now: Instant,
    calls: VecDeque<(Instant, PickedTarget)>,
    near_is_silent: bool,
}

impl Caller {
    fn new() -> Self {
        let settings = BalancerSettings::default();
        let mut balancer = LoadBalancer::new(&LOCAL_NODE, settings, Box::new(TwoChoices));
        let targets = [
            view("near", LOCAL_NODE.domain, LOCAL_NODE.region, NEAR_PORT),
            view("other", "another-domain", LOCAL_NODE.region, OTHER_PORT),
        ];
        let targets = targets.map(|target| TargetView {
            slots: SLOTS,
            ..target
        });
        balancer.replace_targets("orders", &targets, &[LOCAL_NODE], 0);
        Self {
            balancer,
            rng: SmallRng::seed_from_u64(3),
            now: Instant::from_millis(1),
            calls: VecDeque::new(),
            near_is_silent: false,
        }
    }

    /// Sends calls for `duration`, each of which takes `latency`; returns how many of them the near
    /// target gets.
    fn run(&mut self, duration: Duration, latency: Duration) -> usize {
        let end = self.now.after(duration);
        let mut near_calls = 0;
        while self.now < end {
            self.now = self.now.after(INTERARRIVAL);
            self.end_calls(latency);
            let picked = self
                .balancer
                .pick(&request(&[], true), self.now, &mut self.rng);
            let picked = picked.expect("a target");
            near_calls += usize::from(picked.peer.port() == NEAR_PORT);
            self.calls.push_back((self.now, picked));
        }
        near_calls
    }

    fn end_calls(&mut self, latency: Duration) {
        let now = self.now;
        let near_is_silent = self.near_is_silent;
        let is_over = |call: &(Instant, PickedTarget)| {
            let is_answered = !near_is_silent || call.1.peer.port() != NEAR_PORT;
            is_answered && call.0.after(latency).is_past(now)
        };
        let (ended, open): (VecDeque<_>, VecDeque<_>) =
            self.calls.drain(..).partition(|call| is_over(call));
        self.calls = open;
        for (sent_at, picked) in ended {
            let result = AttemptResult::Answered;
            self.balancer
                .record_result(picked.key, sent_at, result, now);
        }
    }
}

/// Guards against calls that wait until their deadline at a host that stands still: without a word from
/// it, a caller's node went on until all slots were taken.
#[test]
fn a_silent_target_gets_few_more_calls() {
    let mut caller = Caller::new();
    let before = caller.run(Duration::from_secs(2), LATENCY);
    assert!(before > 60, "the near target is preferred: {before}");
    caller.near_is_silent = true;
    let silent = caller.run(Duration::from_secs(3), LATENCY);
    // Those of the 300 ms after which it counts as silent.
    assert!(silent <= 13, "{silent} calls to the silent target");
    caller.near_is_silent = false;
    let after = caller.run(Duration::from_secs(2), LATENCY);
    assert!(after > 60, "an answer ends the silence: {after}");
}

/// Guards against an answer of a target with long calls that is taken for silence.
#[parameterized(
    calls_of_half_a_second = { 500 },
    calls_of_a_second = { 1_000 },
)]
fn a_target_with_long_calls_is_not_silent(latency_ms: u64) {
    let latency = Duration::from_millis(latency_ms);
    let mut caller = Caller::new();
    // The first answers show how long its calls take.
    caller.run(latency * 4, latency);
    let sent = caller.calls.len();
    let near_calls = caller.run(Duration::from_secs(3), latency);
    assert!(sent > 0);
    assert!(near_calls >= 8 * 3, "{near_calls} calls to the near target");
}
