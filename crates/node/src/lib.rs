//! The node daemon: settings, actors and sockets that drive the state machines of the other crates.
//!
//! Each actor owns one part of the node's state, and only its message handlers change that state.
//! State that many tasks read (the active configuration, the member table) is published as an
//! immutable value over a watch channel.

mod adapters;
mod admin;
mod calls;
mod clock;
mod config;
mod confirmation;
mod connections;
mod context;
mod control_plane;
mod daemon;
mod dissemination;
mod listener_servers;
mod listeners;
mod log_output;
mod logging;
mod member;
mod memory;
mod metrics;
mod peer;
mod pipelining;
mod quota;
mod registrar;
mod rollout;
mod runtime;
mod settings;
mod store;
mod wire_answer;

pub use adapters::{
    AnswerKind, CallProtocol, CallerMetadata, ConfigFeed, FeedAnswer, FeedPosition, LocalAnswer,
    NodeAdapters, RolloutBoard, TargetLoad, TargetMetadata,
};
pub use calls::{CallSystemError, NativeProtocol, StopReason, parse_rate_limit};
pub use daemon::{BAD_INPUT_EXIT_CODE, node_runtime, read_settings, run_daemon};
pub use listeners::NodeAddresses;
pub use logging::{LogError, start_logging};
pub use memory::{MemoryAccount, MemoryReservation, MemoryShort};
pub use peer::check_connection_chart;
pub use registrar::{AnnounceError, Announcement, TargetRegistrar};
pub use runtime::{ControlBytes, Node, NodeError, NodeReadiness};
pub use settings::{
    BalanceMode, CallSettings, DisseminationMode, EmulationSettings, LimitSettings, ListenSettings,
    LogLevel, NodeSettings, RetryLimit, RolloutSettings, StoreSettings, TargetSettings,
};
