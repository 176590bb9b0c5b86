//! The target board: locality, spill-over, ejection, warm-up, draining and subsets.

mod common;

use agatedeck_calls::{
    AttemptResult, BalancePolicy, BalancerSettings, LoadBalancer, NodeLocality, PickError,
    PickedTarget, RoundRobin, SubsetSettings, TargetState, TargetStatus, TargetSummary, TargetView,
    TwoChoices, choose_subset,
};
use agatedeck_clock::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

use common::{OWN, request};

fn view(node: &'static str, domain: &'static str, region: &'static str) -> TargetView<'static> {
    common::view(node, domain, region, 9_000)
}

fn near(count: usize) -> Vec<TargetView<'static>> {
    ["t0", "t1", "t2", "t3", "t4", "t5"][..count]
        .iter()
        .map(|node| view(node, "d1", "r1"))
        .collect()
}

struct Bench {
    board: LoadBalancer,
    rng: SmallRng,
    now: Instant,
}

impl Bench {
    fn new(views: &[TargetView<'_>], policy: Box<dyn BalancePolicy>) -> Self {
        let mut board = LoadBalancer::new(&OWN, BalancerSettings::default(), policy);
        board.replace_targets("orders", views, &[OWN], 800);
        Self {
            board,
            rng: SmallRng::seed_from_u64(7),
            now: Instant::from_millis(1),
        }
    }

    fn replace(&mut self, views: &[TargetView<'_>]) {
        self.board.replace_targets("orders", views, &[OWN], 800);
    }

    fn try_pick(&mut self, idempotent: bool) -> Result<PickedTarget, PickError> {
        self.board
            .pick(&request(&[], idempotent), self.now, &mut self.rng)
    }

    fn pick(&mut self) -> PickedTarget {
        self.try_pick(true).expect("there is a target")
    }

    fn finish(&mut self, picked: PickedTarget, result: AttemptResult) {
        self.board
            .record_result(picked.key, self.now, result, self.now);
    }

    fn summary(&self, wanted: impl Fn(&TargetSummary<'_>) -> bool) -> TargetSummary<'_> {
        let summary = self.board.summaries("orders").find(wanted);
        summary.expect("the target is on the board")
    }

    fn node(&self, picked: PickedTarget) -> &str {
        self.summary(|summary| summary.key == picked.key).node
    }

    fn state(&self, node: &str) -> TargetState {
        self.summary(|summary| summary.node == node).state
    }

    fn ejected(&self) -> usize {
        let summaries = self.board.summaries("orders");
        summaries
            .filter(|summary| summary.state == TargetState::Ejected)
            .count()
    }

    /// Makes calls until `node` is ejected; calls to other targets are answered. The calls run at
    /// the same time, since one at a time would all go to targets that have not failed.
    fn eject(&mut self, node: &str) {
        for _ in 0..20 {
            let batch: Vec<_> = (0..30).map(|_| self.pick()).collect();
            for picked in batch {
                let failed = self.node(picked) == node;
                self.finish(picked, result(failed));
            }
            if self.state(node) == TargetState::Ejected {
                return;
            }
        }
        panic!("{node} is not ejected");
    }

    fn wait_ms(&mut self, millis: u64) {
        self.now = Instant::from_micros(self.now.as_micros() + millis * 1_000);
    }
}

fn result(failed: bool) -> AttemptResult {
    if failed {
        AttemptResult::Failed
    } else {
        AttemptResult::Answered
    }
}

/// Guards against traffic over billed links while near targets have room, and against overload of
/// near targets before farther ones are used.
#[parameterized(two_choices = { Box::new(TwoChoices) }, round_robin = { Box::new(RoundRobin) })]
fn spills_over_to_the_next_tier_before_overload(policy: Box<dyn BalancePolicy>) {
    let views = [
        view("own", "d1", "r1"),
        view("region", "d2", "r1"),
        view("beyond", "d3", "r2"),
    ];
    let mut bench = Bench::new(&views, policy);
    let picked: Vec<_> = (0..30).map(|_| bench.pick()).collect();
    let nodes: Vec<_> = picked.iter().map(|picked| bench.node(*picked)).collect();
    assert!(nodes[..8].iter().all(|node| *node == "own"), "{nodes:?}");
    assert!(
        nodes[8..16].iter().all(|node| *node == "region"),
        "{nodes:?}"
    );
    assert!(
        nodes[16..24].iter().all(|node| *node == "beyond"),
        "{nodes:?}"
    );
    for name in ["own", "region", "beyond"] {
        assert_eq!(nodes.iter().filter(|node| **node == name).count(), 10);
    }
}

/// Guards against a stale or false report that steers calls away from the near target (F9).
#[test]
fn reported_load_alone_does_not_move_calls_away() {
    let mut bench = Bench::new(
        &[view("own", "d1", "r1"), view("region", "d2", "r1")],
        Box::new(TwoChoices),
    );
    let targets: Vec<_> = bench.board.summaries("orders").collect();
    let loads = targets.iter().map(|target| {
        let load = if target.node == "own" { 1e9 } else { f64::NAN };
        (target.key, load)
    });
    for (key, load) in loads.collect::<Vec<_>>() {
        bench.board.record_load(key, load, Instant::default());
    }
    for _ in 0..5 {
        let picked = bench.pick();
        assert_eq!(bench.node(picked), "own");
    }
}

/// Guards against one tenant's refusals that move all calls over billed links, and against sending
/// more calls to a target that has just said that it is full.
#[parameterized(
    full = { AttemptResult::Full, "region" },
    refused = { AttemptResult::Refused, "own" },
)]
fn only_a_full_target_is_avoided(result: AttemptResult, next: &str) {
    let views = [view("own", "d1", "r1"), view("region", "d2", "r1")];
    let mut bench = Bench::new(&views, Box::new(TwoChoices));
    let picked = bench.pick();
    bench.finish(picked, result);
    let picked = bench.pick();
    assert_eq!(bench.node(picked), next);
    bench.wait_ms(BalancerSettings::default().overload_backoff_ms);
    let picked = bench.pick();
    assert_eq!(bench.node(picked), "own");
}

/// Guards against new work at a target that leaves (I7), also when nothing else is left.
#[test]
fn draining_target_gets_nothing_new() {
    let mut views = near(2);
    let mut bench = Bench::new(&views, Box::new(TwoChoices));
    let early = bench.pick();
    for view in &mut views {
        view.status = TargetStatus::Draining;
    }
    bench.replace(&views);
    assert_eq!(bench.try_pick(true), Err(PickError::AllDraining));
    bench.finish(early, AttemptResult::Answered);
    assert_eq!(bench.try_pick(true), Err(PickError::AllDraining));
}

/// Guards against a board that ejects every target when its own link fails.
#[parameterized(one = { 1, 0 }, two = { 2, 1 }, three = { 3, 1 }, six = { 6, 3 })]
fn at_most_the_capped_share_is_ejected(targets: usize, most: usize) {
    let mut bench = Bench::new(&near(targets), Box::new(TwoChoices));
    for _ in 0..500 {
        let picked = bench.pick();
        bench.finish(picked, AttemptResult::Failed);
        assert!(bench.ejected() <= most);
    }
    assert_eq!(bench.ejected(), most);
}

/// Guards against a failed target that gets more than one call at a time when it is tried again,
/// and against ejections that do not grow.
#[test]
fn ejected_target_is_tried_again_one_call_at_a_time() {
    let mut bench = Bench::new(&near(4), Box::new(TwoChoices));
    bench.eject("t1");
    for length in [1_000, 2_000, 4_000] {
        bench.wait_ms(length - 1);
        let picked = bench.pick();
        assert_ne!(bench.node(picked), "t1", "still ejected after {length} ms");
        bench.finish(picked, AttemptResult::Answered);
        bench.wait_ms(1);
        let trial = bench.pick();
        assert_eq!(bench.node(trial), "t1");
        let others: Vec<_> = (0..20).map(|_| bench.pick()).collect();
        for other in others {
            assert_ne!(bench.node(other), "t1", "a second call beside the trial");
            bench.finish(other, AttemptResult::Answered);
        }
        bench.finish(trial, AttemptResult::Failed);
        assert_eq!(bench.state("t1"), TargetState::Ejected);
    }
    bench.wait_ms(8_000);
    for _ in 0..3 {
        let trial = bench.pick();
        assert_eq!(bench.node(trial), "t1");
        bench.finish(trial, AttemptResult::Answered);
    }
    assert_eq!(bench.state("t1"), TargetState::Warming);
}

/// Guards against a trial that spends a call which must not run twice while others could be used.
#[test]
fn once_only_call_is_a_trial_only_after_a_wait() {
    let mut bench = Bench::new(&near(4), Box::new(TwoChoices));
    bench.eject("t1");
    bench.wait_ms(1_000);
    for _ in 0..20 {
        let picked = bench.try_pick(false).expect("there is a target");
        assert_ne!(bench.node(picked), "t1");
        bench.finish(picked, AttemptResult::Answered);
    }
    bench.wait_ms(5_000);
    let picked = bench.try_pick(false).expect("there is a target");
    assert_eq!(bench.node(picked), "t1");
}

/// Guards against a cold target that gets its full share of calls at once.
#[test]
fn cold_target_is_warmed_step_by_step() {
    let cold = TargetView {
        slots: 16,
        warm: false,
        ..view("own", "d1", "r1")
    };
    let mut bench = Bench::new(&[cold, view("region", "d2", "r1")], Box::new(TwoChoices));
    let mut own_share = Vec::new();
    let first = bench.pick();
    assert_eq!(bench.node(first), "own");
    let second = bench.pick();
    assert_eq!(bench.node(second), "region", "a cold target gets one call");
    bench.finish(first, AttemptResult::Answered);
    for step in 0..9 {
        let picked: Vec<_> = (0..12).map(|_| bench.pick()).collect();
        own_share.push(
            picked
                .iter()
                .filter(|picked| bench.node(**picked) == "own")
                .count(),
        );
        for picked in picked {
            bench.finish(picked, AttemptResult::Answered);
        }
        bench.wait_ms(100);
        assert!(step < 8 || bench.state("own") == TargetState::Healthy);
    }
    assert!(own_share.is_sorted(), "{own_share:?}");
    assert!(own_share[0] <= 2 && own_share[8] == 12, "{own_share:?}");
}

/// Guards against losing measurements on each membership update, and against keeping them over a
/// restart of the target.
#[test]
fn measurements_last_until_the_target_restarts() {
    let mut views = near(4);
    let mut bench = Bench::new(&views, Box::new(TwoChoices));
    bench.eject("t1");
    views[1].status = TargetStatus::Suspect;
    bench.replace(&views);
    assert_eq!(bench.state("t1"), TargetState::Ejected);
    views[1].generation = 2;
    views[1].warm = false;
    bench.replace(&views);
    assert_eq!(bench.state("t1"), TargetState::Cold);
}

/// Guards against ejection of a healthy target by calls whose deadlines are too short.
#[test]
fn short_deadlines_do_not_eject() {
    let mut bench = Bench::new(&near(4), Box::new(TwoChoices));
    for _ in 0..40 {
        let picked = bench.pick();
        let started = bench.now;
        bench.wait_ms(10);
        bench
            .board
            .record_result(picked.key, started, AttemptResult::Answered, bench.now);
    }
    for _ in 0..40 {
        let picked = bench.pick();
        let started = bench.now;
        bench.wait_ms(1);
        bench
            .board
            .record_result(picked.key, started, AttemptResult::TimedOut, bench.now);
    }
    assert_eq!(bench.ejected(), 0);
}

/// Guards against more connections at a target than it accepts, and against callers without any
/// target while connections suffice. The last case is the two-year size.
#[parameterized(
    today = { 24, 6, 130 },
    tight = { 40, 4, 10 },
    two_years = { 2_700, 21, 130 },
)]
fn subsets_bound_the_connections_of_each_target(callers: usize, targets: usize, limit: usize) {
    let names: Vec<String> = (0..callers).map(|index| format!("node-{index}")).collect();
    let domains: Vec<String> = (0..27).map(|index| format!("d{index}")).collect();
    let regions: Vec<String> = (0..8).map(|index| format!("r{index}")).collect();
    let places: Vec<NodeLocality<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, node)| NodeLocality {
            node,
            domain: &domains[index % 27],
            region: &regions[index % 27 % 8],
        })
        .collect();
    let settings = SubsetSettings {
        connections_per_target: limit,
        ..SubsetSettings::default()
    };
    let mut connections = vec![0; targets];
    // Every caller in the small cases; a sample of them in the large one, where each subset costs
    // one hash for each pair of caller and target.
    let sample = if callers <= 40 { 1 } else { callers / 12 };
    for caller in places.iter().step_by(sample) {
        let subset = choose_subset(caller, &places, &places[..targets], &settings);
        assert!(!subset.is_empty(), "{} has no target", caller.node);
        assert!(subset.len() <= settings.targets_per_node);
        let again = choose_subset(caller, &places, &places[..targets], &settings);
        assert_eq!(subset, again);
        for target in subset {
            connections[target] += 1;
        }
    }
    assert!(connections.iter().all(|count| *count <= limit));
}
