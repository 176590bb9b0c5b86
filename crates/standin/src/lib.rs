//! Stand-ins for the platform and for targets, for tests, examples and measurements only.
//!
//! They speak the protocols of `docs/platform.md` and plain HTTP over loopback, and their faults
//! can be switched on at any moment.

mod faults;
mod platform_actor;
mod platform_server;
mod resettable_listener;
mod target_server;

pub use faults::PlatformFaults;
pub use platform_server::{PlatformCounters, PlatformServer};
pub use target_server::{TargetBehaviour, TargetCounters, TargetServer, TargetSettings};
