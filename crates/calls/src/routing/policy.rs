//! Load balancing policies: the choice among targets that are equally preferred for a call.

use std::fmt::Debug;

use rand::{Rng, RngCore};

use super::target::TargetKey;

/// Weight of the failure rate in the cost of a target. At 8, a target that fails one attempt in eight
/// costs as much as one with twice the latency.
const FAILURE_COST_WEIGHT: f64 = 8.0;

/// A target that a policy may choose.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key in the load balancer.
    pub key: TargetKey,
    /// Fraction of the open slots in use; reported load is included as
    /// [`BalancerSettings::report_weight`](super::BalancerSettings::report_weight) states.
    pub load: f64,
    /// Slots open to this node now; at least 1.
    pub slots: u32,
    /// Moving average of the latency measured at this node, in microseconds.
    pub latency_us: f64,
    /// Moving average of the failure rate, 0 to 1.
    pub failure_rate: f64,
}

impl Candidate {
    /// Load in whole percent, for reports.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a load is not negative and far below 2^32 percent"
    )]
    pub fn load_percent(&self) -> u32 {
        (self.load * 100.0).round() as u32
    }

    /// Expected cost of one more call at the target; lower is better.
    pub fn cost(&self) -> f64 {
        let load = self.load + 1.0 / f64::from(self.slots.max(1));
        self.latency_us.max(1.0) * load * (1.0 + FAILURE_COST_WEIGHT * self.failure_rate)
    }
}

/// Load balancing policy: chooses one of several eligible targets.
pub trait BalancePolicy: Debug + Send {
    /// Returns the index of the chosen candidate. `candidates` is not empty; `pick_count` is the
    /// number of earlier picks for the service.
    fn choose(&self, pick_count: u64, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize;
}

/// Round robin over the candidates. The baseline with which other policies are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl BalancePolicy for RoundRobin {
    fn choose(&self, pick_count: u64, candidates: &[Candidate], _rng: &mut dyn RngCore) -> usize {
        usize::try_from(pick_count % candidates.len() as u64).unwrap_or(0)
    }
}

/// Power of two random choices: draws two candidates and chooses the one with the lower cost.
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
