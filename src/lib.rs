//! agatedeck distributes versioned configuration to every proxy of a service mesh and routes calls
//! to healthy targets by that configuration.
//!
//! `docs/design.md` describes the system. The daemon `agatedeck-node` and the command line tool
//! `agatedeckctl` are thin programs on top of this API.

pub use agatedeck_node::{
    BAD_INPUT_EXIT_CODE, BalanceMode, CallSettings, ControlBytes, DisseminationMode,
    EmulationSettings, ListenSettings, LogLevel, Node, NodeAddresses, NodeError, NodeSettings,
    StoreSettings, TargetSettings, node_runtime, read_settings, run_daemon, start_logging,
};
pub use agatedeck_records::{
    ApplyError, ChangeRefusal, ConfigSnapshot, PlannedChange, RecordConflict, RecordKey,
    SnapshotView, ValidationError, plan_change, read_record_file, render_record,
};
