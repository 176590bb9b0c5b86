//! Choice among targets that are all eligible for a call.

use std::fmt::Debug;

use rand::{Rng, RngCore};

use super::target::TargetKey;

/// Weight of the share of failed attempts. At 8, a target that fails every eighth attempt costs as
/// much as one with twice the latency.
const FAILURE_COST_WEIGHT: f64 = 8.0;

/// A target that a policy may choose.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key on the board.
    pub key: TargetKey,
    /// Share of the open slots in use; see [`BalancerSettings::report_weight`](super::BalancerSettings).
    pub load: f64,
    /// Slots open to this node now; at least 1.
    pub slots: u32,
    /// Moving average of the latency measured here, in microseconds.
    pub latency_us: f64,
    /// Moving average of the share of failed attempts, 0 to 1.
    pub failure_rate: f64,
}

impl Candidate {
    /// Expected cost of one more call; lower is better.
    pub fn cost(&self) -> f64 {
        let load = self.load + 1.0 / f64::from(self.slots.max(1));
        self.latency_us.max(1.0) * load * (1.0 + FAILURE_COST_WEIGHT * self.failure_rate)
    }
}

/// Chooses one of several eligible targets.
pub trait BalancePolicy: Debug + Send {
    /// Returns the index of the chosen candidate. `candidates` is not empty; `turn` counts the
    /// picks of the service.
    fn choose(&self, pick_count: u64, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize;
}

/// Takes the candidates in turn. The baseline against which other policies are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl BalancePolicy for RoundRobin {
    fn choose(&self, pick_count: u64, candidates: &[Candidate], _rng: &mut dyn RngCore) -> usize {
        usize::try_from(pick_count % candidates.len() as u64).unwrap_or(0)
    }
}

/// Draws two candidates and takes the one of lower cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl BalancePolicy for TwoChoices {
    fn choose(&self, _pick_count: u64, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let count = candidates.len();
        if count < 2 {
            return 0;
        }
        let first = rng.random_range(0..count);
        let mut second = rng.random_range(0..count - 1);
        if second >= first {
            second += 1;
        }
        if candidates[second].cost() < candidates[first].cost() {
            second
        } else {
            first
        }
    }
}
