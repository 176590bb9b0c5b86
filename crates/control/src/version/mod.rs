//! Which version a node holds, and how the next one gets in force.

mod holder;
mod stage;

pub use holder::{HolderSettings, OfferVerdict, PullReply, VersionEffect, VersionHolder};
pub use stage::{StageState, stage_chart};
