//! Test doubles of the platform and of targets, for tests, examples and benchmarks only.
//!
//! They implement the protocols of `docs/platform.md` and plain HTTP over loopback. Faults can be
//! injected at run time.

mod faults;
mod platform_actor;
mod platform_server;
mod resettable_listener;
mod target_server;

pub use faults::PlatformFaults;
pub use platform_server::{PlatformCounters, PlatformServer};
pub use target_server::{TargetBehaviour, TargetCounters, TargetServer, TargetSettings};
