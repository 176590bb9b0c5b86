//! What a target announces of itself to the node beside it.
//!
//! The node is the only way to its target, so what it knows here decides: once it has acknowledged
//! that the target leaves, no call reaches the target any more, whatever other nodes still believe.

mod chart;
mod registration;

pub use chart::RegistrationState;
pub use registration::{
    RegistrationEffect, RegistrationError, RegistrationSettings, TargetAnnouncement,
    TargetReadiness, TargetRegistration,
};
