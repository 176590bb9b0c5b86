//! Simulation of a fleet of nodes that read, disseminate and pull configuration versions.
//!
//! The decisions are those of `agatedeck-control`, unchanged. What nodes do with sockets and tasks is
//! replaced by one event queue in simulated time: links of limited width, hosts with a part of a
//! core, and a store with a feed. A run depends on its settings and seed only. `docs/simulation.md`
//! lists what the model leaves out.

mod event_queue;
mod fault;
mod fleet;
mod host;
mod lag;
mod message;
mod network;
mod node_process;
mod settings;
mod store;

pub use fault::{FaultKind, FaultPlan, PlannedFault};
pub use fleet::run_fleet;
pub use lag::{LagReport, LagSample};
pub use message::MessageKind;
pub use settings::{ConfigSize, FleetSettings, HostClass, LinkDelays, ProcessorCosts};
