//! Registration of a target at its node by announcements.
//!
//! All calls to a target pass through its node, so the state here is authoritative: once the node
//! has acknowledged that the target deregisters, no call reaches the target, even if the membership
//! views of other nodes are stale.

mod chart;
mod target_registration;

pub use chart::RegistrationState;
pub use target_registration::{
    HealthCheckTicket, HealthReport, RegistrationEffect, RegistrationError, RegistrationSettings,
    TargetAnnouncement, TargetReadiness, TargetRegistration,
};
