//! The node daemon: settings, actors and sockets around the decisions of the other crates.
//!
//! Each actor owns one part of the node's state and its handlers are the only code that changes it.
//! What many tasks read (the configuration in force, the member table) is published as an immutable
//! value over a watch channel.

mod adapters;
mod admin;
mod answer;
mod calls;
mod clock;
mod config;
mod context;
mod daemon;
mod logging;
mod member;
mod metrics;
mod peer;
mod registrar;
mod runtime;
mod settings;
mod spread;
mod store;

pub use adapters::{
    AnswerKind, CallProtocol, CallerMetadata, ConfigFeed, LocalAnswer, NodeAdapters, TargetLoad,
    TargetMetadata,
};
pub use calls::{CallSystemError, NativeProtocol, StopReason};
pub use daemon::{BAD_INPUT, node_runtime, read_settings, run_daemon};
pub use logging::{LogError, start_logging};
pub use peer::link_chart;
pub use registrar::{AnnounceError, Announcement, TargetRegistrar};
pub use runtime::{ControlBytes, Node, NodeAddresses, NodeError, NodeReadiness};
pub use settings::{
    BalanceChoice, CallSettings, EmulationSettings, ListenSettings, LogLevel, NodeSettings,
    RetryLimit, SpreadChoice, StoreSettings, TargetSettings,
};
