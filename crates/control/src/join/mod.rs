//! How a node that starts without a disk comes to serve, and how its peers answer it.

mod chart;
mod gate;
mod ledger;
mod process;

pub use chart::JoinState;
pub use gate::{JoinResponder, ResponderSettings};
pub use ledger::{FloorTable, select_witnesses};
pub use process::{JoinEffect, JoinProcess, JoinSettings};
