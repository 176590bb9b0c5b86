//! Load balancing at the caller's node: subsets, locality, ejection of outliers and policies.

mod chart;
mod load_balancer;
mod policy;
mod subset;
mod target;
mod target_entry;

pub use chart::TargetState;
pub use load_balancer::{
    AttemptResult, BalancerSettings, LoadBalancer, LoadReport, PickError, PickRequest,
    PickedTarget, TargetSummary,
};
pub use policy::{BalancePolicy, Candidate, RoundRobin, TwoChoices};
pub(crate) use subset::rendezvous_score;
pub use subset::{SubsetSettings, choose_subset};
pub use target::{TargetKey, TargetStatus, TargetView};
