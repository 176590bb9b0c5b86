//! Stand-ins for the platform and for targets, for tests, examples and measurements only.
//!
//! They speak the protocols of `docs/platform.md` and plain HTTP over loopback, and their faults
//! can be switched on at any moment.

mod cut_listener;
mod faults;
mod platform_server;
mod table;
mod target_server;

pub use faults::PlatformFaults;
pub use platform_server::{PlatformCounters, PlatformServer};
pub use target_server::{TargetBehaviour, TargetCounters, TargetServer, TargetSettings};
