//! Join protocol: how a node without persistent state obtains its version floor and starts to
//! serve, and how its peers answer it.
//!
//! The floor is the low watermark of a host: the lowest configuration version that a new process
//! of the host may activate.

mod chart;
mod floor_table;
mod machine;
mod responder;

pub use chart::JoinState;
pub use floor_table::{FloorTable, select_witnesses};
pub use machine::{JoinEffect, JoinMachine, JoinSettings};
pub use responder::{JoinResponder, ResponderSettings};
