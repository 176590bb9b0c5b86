//! States, events and actions of `charts/member.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use agatedeck_wire::MemberStatus;
use derive_more::FromStr;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum MemberState {
    Alive,
    Suspect,
    Draining,
    Left,
    Dead,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum MemberEvent {
    ProbeAnswered,
    ProbeFailed,
    SuspicionExpired,
    IncarnationRaised,
    RetentionExpired,
    AddressTaken,
    ReceivedAlive,
    ReceivedSuspect,
    ReceivedDraining,
    ReceivedLeft,
    ReceivedDead,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum MemberAction {
    StartSuspicionTimer,
    StartRetentionTimer,
    CancelTimer,
    CreateTombstone,
    Disseminate,
}

pub(crate) type MemberChart = TransitionTable<MemberState, MemberEvent, MemberAction>;

/// Parsed from the file embedded in the binary; `tests/charts.rs` checks that it loads.
pub(crate) static MEMBER_CHART: LazyLock<MemberChart> = LazyLock::new(|| {
    TransitionTable::parse(include_str!("../../charts/member.toml"))
        .expect("charts/member.toml is a valid chart")
});

impl From<MemberStatus> for MemberState {
    fn from(status: MemberStatus) -> Self {
        match status {
            MemberStatus::Alive => Self::Alive,
            MemberStatus::Suspect => Self::Suspect,
            MemberStatus::Draining => Self::Draining,
            MemberStatus::Left => Self::Left,
            MemberStatus::Dead => Self::Dead,
        }
    }
}

impl From<MemberState> for MemberStatus {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Draining => Self::Draining,
            MemberState::Left => Self::Left,
            MemberState::Dead => Self::Dead,
        }
    }
}

impl MemberEvent {
    /// Event for an update with `status` that has the same incarnation as the known entry.
    pub(crate) fn received(status: MemberStatus) -> Self {
        match status {
            MemberStatus::Alive => Self::ReceivedAlive,
            MemberStatus::Suspect => Self::ReceivedSuspect,
            MemberStatus::Draining => Self::ReceivedDraining,
            MemberStatus::Left => Self::ReceivedLeft,
            MemberStatus::Dead => Self::ReceivedDead,
        }
    }
}
