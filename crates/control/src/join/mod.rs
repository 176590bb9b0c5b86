//! How a node that starts without a disk comes to serve, and how its peers answer it.

mod chart;
mod floor_table;
mod process;
mod responder;

pub use chart::JoinState;
pub use floor_table::{FloorTable, select_witnesses};
pub use process::{JoinEffect, JoinProcess, JoinSettings};
pub use responder::{JoinResponder, ResponderSettings};
