//! agatedeck distributes versioned configuration to every proxy of a service mesh and carries calls
//! to healthy targets by that configuration.
//!
//! `docs/design.md` describes the system. The daemon `agatedeck-node` and the command line
//! `agatedeckctl` are thin programs over what is listed here.

pub use agatedeck_node::{
    BAD_INPUT, BalanceChoice, CallSettings, ControlBytes, EmulationSettings, ListenSettings,
    LogLevel, Node, NodeAddresses, NodeError, NodeSettings, SpreadChoice, StoreSettings,
    TargetSettings, node_runtime, read_settings, run_daemon, start_logging,
};
pub use agatedeck_records::{
    ApplyError, ChangeRefusal, ConfigSnapshot, PlannedChange, RecordConflict, RecordKey,
    SnapshotView, ValidationError, plan_change, read_record_file, render_record,
};
