//! How a node that starts without a disk comes to serve, and how its peers answer it.

mod chart;
mod gate;
mod ledger;
mod process;

pub use chart::JoinState;
pub use gate::{GateSettings, JoinGate};
pub use ledger::{FloorLedger, witnesses};
pub use process::{JoinEffect, JoinProcess, JoinSettings};
