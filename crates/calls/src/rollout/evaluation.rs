//! Comparison of the new version with the others, on the same routes and at the same time.

use std::collections::BTreeMap;

use derive_more::Display;

use super::results::{ResultTable, RouteResults, TargetResults, as_number};

/// Fewest failed calls of the new version that make a fault. Two may be one host's.
const MIN_FAILED: u64 = 3;

/// Difference of the failure shares in standard errors. Several routes are compared many times during a
/// rollout, so the usual 2 or 3 would find a fault in a good version.
const MIN_FAILURE_SCORE: f64 = 4.0;

/// Difference of the failure shares above which [`MIN_PLAIN_SCORE`] applies. That half of all calls fail by chance
/// is unlikely, so fewer standard errors are needed.
const PLAIN_EXCESS: f64 = 0.5;

/// Difference of the failure shares in standard errors, above [`PLAIN_EXCESS`].
const MIN_PLAIN_SCORE: f64 = 3.0;

/// Fewest answers of each version that make its mean latency meaningful. Work of one route varies with a
/// standard deviation of about its mean.
const MIN_LATENCY_SAMPLES: u64 = 20;

/// Fewest calls of the old version that are compared with; with fewer, its calls since the start of the
/// rollout are.
const MIN_OLD_CALLS: u64 = 20;

/// Limits from which a difference is a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultLimits {
    /// Difference of the failure shares.
    pub failure_excess: f64,
    /// Mean latency as a multiple of the old version's; `None` if latency is not compared.
    pub slow_factor: Option<f64>,
}

/// Why a version is at fault.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum RolloutFault {
    /// It fails calls that the old version answers.
    Failing,
    /// It takes several times as long as the old version.
    Slow,
}

/// The new version's results beside what the old version's results make one expect.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    new: TargetResults,
    old_calls: u64,
    /// Calls of the new version that would have failed at the failure share of the old one.
    expected_failed: f64,
    /// New answers on routes with a meaningful latency of the old version.
    compared_answers: u64,
    compared_latency_us: f64,
    expected_latency_us: f64,
}

impl Comparison {
    fn of_route(route: &RouteResults, old: &TargetResults, worst: &WorstTargets) -> Self {
        let new = sum_without(route, worst.failing.as_deref());
        let timed = sum_without(route, worst.slow.as_deref());
        let mut comparison = Self {
            new,
            old_calls: old.calls(),
            expected_failed: as_number(new.calls()) * old.failure_share(),
            ..Self::default()
        };
        if old.timed >= MIN_LATENCY_SAMPLES {
            comparison.compared_answers = timed.timed;
            comparison.compared_latency_us = as_number(timed.latency_us);
            comparison.expected_latency_us = as_number(timed.timed) * old.mean_latency_us();
        }
        comparison
    }

    fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old_calls += other.old_calls;
        self.expected_failed += other.expected_failed;
        self.compared_answers += other.compared_answers;
        self.compared_latency_us += other.compared_latency_us;
        self.expected_latency_us += other.expected_latency_us;
    }

    fn fault(&self, limits: &FaultLimits) -> Option<RolloutFault> {
        if self.is_failing(limits.failure_excess) {
            return Some(RolloutFault::Failing);
        }
        let is_slow = limits.slow_factor.is_some_and(|factor| {
            self.compared_answers >= MIN_LATENCY_SAMPLES
                && self.compared_latency_us > factor * self.expected_latency_us
        });
        is_slow.then_some(RolloutFault::Slow)
    }

    /// Compares the failure shares by the score of two proportions.
    fn is_failing(&self, min_excess: f64) -> bool {
        if self.new.failed < MIN_FAILED {
            return false;
        }
        let (new_calls, old_calls) = (
            as_number(self.new.calls()),
            as_number(self.old_calls.max(1)),
        );
        let expected_share = self.expected_failed / new_calls;
        let excess = self.new.failure_share() - expected_share;
        let pooled =
            (as_number(self.new.failed) + expected_share * old_calls) / (new_calls + old_calls);
        let variance = pooled * (1.0 - pooled) * (1.0 / new_calls + 1.0 / old_calls);
        let min_score = if excess > PLAIN_EXCESS {
            MIN_PLAIN_SCORE
        } else {
            MIN_FAILURE_SCORE
        };
        excess > min_excess && excess >= min_score * variance.sqrt()
    }
}

/// The targets of the new version whose results are left out, as their hosts may be the cause. A version
/// with one target has no other to judge by.
#[derive(Debug, Default)]
struct WorstTargets {
    failing: Option<String>,
    slow: Option<String>,
}

impl WorstTargets {
    fn of_table(table: &ResultTable) -> Self {
        let mut targets: BTreeMap<&String, TargetResults> = BTreeMap::new();
        for (node, results) in table.routes.values().flat_map(|route| &route.new) {
            targets.entry(node).or_default().add(results);
        }
        if targets.len() < 2 {
            return Self::default();
        }
        let worst_by = |badness: fn(&TargetResults) -> u64| {
            let worst = targets.iter().max_by_key(|(_, results)| badness(results));
            worst.map(|(node, _)| (*node).clone())
        };
        Self {
            failing: worst_by(|results| results.failed),
            slow: worst_by(|results| results.latency_us),
        }
    }
}

/// Sum of the new version's results on a route without those of one target.
fn sum_without(route: &RouteResults, left_out: Option<&str>) -> TargetResults {
    let mut sum = TargetResults::default();
    for (node, results) in &route.new {
        if Some(node.as_str()) != left_out {
            sum.add(results);
        }
    }
    sum
}

/// Compares the new version with the old one on each route and over all routes. Where the old version has
/// few results in `table`, those in `baseline` are compared with.
pub fn find_fault(
    table: &ResultTable,
    baseline: &ResultTable,
    limits: &FaultLimits,
) -> Option<RolloutFault> {
    let worst = WorstTargets::of_table(table);
    let mut overall = Comparison::default();
    for (class, route) in &table.routes {
        let mut old = route.old;
        if old.calls() < MIN_OLD_CALLS
            && let Some(baseline) = baseline.routes.get(class)
        {
            old = baseline.old;
        }
        let comparison = Comparison::of_route(route, &old, &worst);
        if let Some(fault) = comparison.fault(limits) {
            return Some(fault);
        }
        overall.add(&comparison);
    }
    overall.fault(limits)
}
