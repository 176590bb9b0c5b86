//! Selection of the target of a call at the caller's node.

mod board;
mod life;
mod policy;
mod subset;
mod target;

pub use board::{
    AttemptResult, BoardSettings, PickError, PickRequest, PickedTarget, TargetBoard, TargetSummary,
};
pub use life::TargetState;
pub use policy::{BalancePolicy, Candidate, RoundRobin, TwoChoices};
pub use subset::{SubsetSettings, choose_subset};
pub use target::{NodePlace, TargetKey, TargetStatus, TargetView};
