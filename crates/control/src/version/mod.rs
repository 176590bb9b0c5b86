//! The configuration replica of a node: version validation, activation and catch-up.

mod activation;
mod replica;

pub use activation::{ActivationState, check_activation_chart};
pub use replica::{
    ConfigReplica, OfferResult, PullReply, ReplicaSettings, VersionEffect, VersionOrigin,
};
