//! Which version a node holds, and how the next one gets in force.

mod activation;
mod replica;

pub use activation::{ActivationState, check_activation_chart};
pub use replica::{ConfigReplica, OfferResult, PullReply, ReplicaSettings, VersionEffect};
