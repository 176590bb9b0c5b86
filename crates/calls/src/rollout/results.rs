//! Results of calls during a rollout, by route, version and target.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::RolloutCounts;

/// Converts a count for the calculation of a share.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a rollout are far below 2^52"
)]
pub(super) fn as_number(count: u64) -> f64 {
    count as f64
}

/// Results of the calls at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetResults {
    /// Calls that the target answered.
    pub answered: u64,
    /// Calls that the target failed.
    pub failed: u64,
    /// Answered calls whose latency counts.
    pub timed: u64,
    /// Sum of their latencies, in microseconds.
    pub latency_us: u64,
}

impl TargetResults {
    /// Number of calls with a result.
    pub fn calls(&self) -> u64 {
        self.answered + self.failed
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.timed += other.timed;
        self.latency_us += other.latency_us;
    }

    /// Share of the calls that failed; 0 without calls.
    pub(super) fn failure_share(&self) -> f64 {
        as_number(self.failed) / as_number(self.calls().max(1))
    }

    /// Mean latency of the timed calls, in microseconds; 0 without any.
    pub(super) fn mean_latency_us(&self) -> f64 {
        as_number(self.latency_us) / as_number(self.timed.max(1))
    }
}

/// Results of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteResults {
    /// Results of the new version, by the node of the target.
    pub(super) new: BTreeMap<String, TargetResults>,
    /// Results of all other versions.
    pub(super) old: TargetResults,
}

/// Results by route.
#[derive(Clone, Debug, Default)]
pub struct ResultTable {
    pub(super) routes: BTreeMap<String, RouteResults>,
}

impl ResultTable {
    /// Adds results of calls to the new version, or to another one.
    pub fn add(&mut self, counts: &RolloutCounts, is_new: bool) {
        let results = TargetResults {
            answered: counts.answered,
            failed: counts.failed,
            timed: counts.timed,
            latency_us: counts.latency_us,
        };
        if results == TargetResults::default() {
            return;
        }
        let route = self.routes.entry(counts.class.clone()).or_default();
        if is_new {
            let target = route.new.entry(counts.node.clone()).or_default();
            target.add(&results);
        } else {
            route.old.add(&results);
        }
    }

    /// Whether the new version has answered a call.
    pub(super) fn has_new_answers(&self) -> bool {
        let targets = self.routes.values().flat_map(|route| route.new.values());
        targets.into_iter().any(|target| target.answered > 0)
    }

    fn merge(&mut self, other: &Self) {
        for (class, results) in &other.routes {
            let route = self.routes.entry(class.clone()).or_default();
            for (node, results) in &results.new {
                route.new.entry(node.clone()).or_default().add(results);
            }
            route.old.add(&results.old);
        }
    }
}

/// Time within which reports are added up, so that their number does not matter.
const REPORT_SPAN: Duration = Duration::from_millis(250);

/// Results since the start of a rollout, and those of the last moments.
#[derive(Clone, Debug, Default)]
pub(super) struct ResultHistory {
    pub(super) total: ResultTable,
    /// Reports with the time until which they count as recent, oldest first.
    recent: VecDeque<(Instant, ResultTable)>,
    /// Calls that were sent to the new version.
    pub(super) new_sent: u64,
    /// Calls that were sent to any version.
    pub(super) all_sent: u64,
}

impl ResultHistory {
    /// Adds a report of a node.
    pub(super) fn record(
        &mut self,
        counts: &[RolloutCounts],
        target: &str,
        recent_time: Duration,
        now: Instant,
    ) {
        let mut table = ResultTable::default();
        for counts in counts {
            let is_new = counts.target_version == target;
            self.all_sent += counts.sent;
            self.new_sent += if is_new { counts.sent } else { 0 };
            table.add(counts, is_new);
        }
        if !table.routes.is_empty() {
            self.total.merge(&table);
            let recent_until = now.after(recent_time);
            match self.recent.back_mut() {
                Some((until, recent)) if recent_until.since(*until) < REPORT_SPAN => {
                    recent.merge(&table);
                }
                _ => self.recent.push_back((recent_until, table)),
            }
        }
    }

    /// Results that still count as recent.
    pub(super) fn recent(&mut self, now: Instant) -> ResultTable {
        while self
            .recent
            .pop_front_if(|(until, _)| until.is_past(now))
            .is_some()
        {}
        let mut table = ResultTable::default();
        for (_, results) in &self.recent {
            table.merge(results);
        }
        table
    }
}
