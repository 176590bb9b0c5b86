//! Interpreter for state charts that are defined in TOML files.
//!
//! A chart lists its states and events and, for each state, the transition for each event. Keeping
//! this in a file makes each life cycle readable in one place, and lets the same validation cover
//! all of them. The code supplies typed states, events and actions; a chart that names anything
//! else fails to load.
//!
//! ```toml
//! name = "connection"
//! initial = "idle"
//! events = ["dial", "opened", "failed"]
//!
//! [state.idle]
//! on.dial = { to = "connecting", actions = ["connect"] }
//! ignore = ["opened", "failed"]
//!
//! [state.connecting]
//! on.opened = { to = "up" }
//! on.failed = { to = "idle" }
//! ignore = ["dial"]
//!
//! [state.up]
//! on.failed = { to = "idle" }
//! ignore = ["dial", "opened"]
//! ```

mod chart_file;
mod transition_table;
mod validation;

pub use chart_file::ChartError;
pub use transition_table::{ChartTransition, TransitionTable};
pub use validation::ChartDiagnostic;
