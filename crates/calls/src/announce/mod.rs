//! What a target announces of itself to the node beside it.
//!
//! The node is the only way to its target, so what it knows here decides: once it has acknowledged
//! that the target leaves, no call reaches the target any more, whatever other nodes still believe.

mod chart;
mod register;

pub use chart::AnnouncedState;
pub use register::{
    NoticeError, NoticeState, RegisterEffect, RegisterSettings, TargetNotice, TargetRegister,
};
