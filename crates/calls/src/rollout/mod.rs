//! Rollouts of a version of a service: which share of the calls goes to the new version, and when the
//! rollout is completed or rolled back.
//!
//! [`RolloutMachine`] is the decision on one rollout, and [`RolloutDriver`] carries out all orders at the
//! node that drives them. [`RolloutTable`] is what any node holds of
//! the rollouts, and [`VersionSplit`] is what the load balancer makes of one.

mod chart;
mod driver;
mod evaluation;
mod machine;
mod results;
mod settings;
mod split;
mod table;

pub use chart::RolloutStage;
pub use driver::{RolloutDriver, RolloutNotice, RolloutRequest, RolloutStatus, StoredRollout};
pub use evaluation::{FaultLimits, RolloutFault, find_fault};
pub use machine::{RolloutMachine, RolloutOrder};
pub use results::{ResultTable, TargetResults};
pub use settings::ExposureSettings;
pub use split::{SplitMode, VersionSide, VersionSplit};
pub use table::RolloutTable;
