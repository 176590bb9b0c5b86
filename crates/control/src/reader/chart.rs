//! States, events and actions of `charts/reader.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// Role of a node in reading new versions.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum ReaderState {
    /// Does not read.
    Idle,
    /// Is one of the readers by rank, while another one sends heartbeats.
    Standby,
    /// Reads often, and sends heartbeats while it is answered.
    Leading,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum ReaderEvent {
    Appointed,
    Dismissed,
    HeartbeatsMissed,
    Outranked,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum ReaderAction {
    Read,
    Confirm,
    Rest,
}

/// Parsed from the file embedded in the binary; `tests/reader.rs` checks that it loads.
pub(super) static READER_CHART: LazyLock<TransitionTable<ReaderState, ReaderEvent, ReaderAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/reader.toml"))
            .expect("charts/reader.toml is a valid chart")
    });
