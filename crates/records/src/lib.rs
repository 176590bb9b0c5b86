//! Configuration records, snapshots and the deltas between them.
//!
//! All validation rules of a configuration are in this crate, so that the command-line tool, the
//! node that accepts a change and each node that activates a version reach the same result.

mod change;
mod key;
mod key_digest;
mod record_file;
mod render;
mod snapshot;
mod validation;
mod view;
mod workspaces;

pub use change::{ChangeRefusal, PlannedChange, RecordConflict, plan_change};
pub use key::{RecordKey, kind_from_name, kind_name};
pub use key_digest::KeyDigest;
pub use record_file::{FileRecord, read_record_file};
pub use render::{FieldDifference, field_differences, render_record};
pub use snapshot::{
    ApplyError, ConfigSnapshot, SnapshotDigest, compress, decompress, delta_base_version,
};
pub use validation::{ValidationError, validate_records};
pub use view::{PolicyView, RouteView, ServiceView, SnapshotView, WorkspaceView};

/// Oldest schema version that a record form may have.
pub const OLDEST_SCHEMA: u32 = 1;

/// Newest schema version that this release reads and writes.
pub const NEWEST_SCHEMA: u32 = 4;
