//! States and events of `charts/rollout.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use agatedeck_wire::{RolloutPhase, RolloutState};
use derive_more::{Display, FromStr};

use super::settings::{FULL_PERMILLE, RAMP_PERMILLE, WATCH_PERMILLE};

/// Stage of a rollout at its driver.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum RolloutStage {
    /// The order was read, and no step of it is in the store.
    Ordered,
    /// The new version gets a share below the limit.
    Canary,
    /// The new version gets a larger share, to find faults that only load shows.
    Ramp,
    /// The new version gets most calls.
    Watch,
    /// The new version gets all calls, and those at the old one end.
    Drain,
    /// The old version may be stopped.
    Completed,
    /// The new version gets no calls any more.
    RolledBack,
}

impl RolloutStage {
    /// Whether the rollout is over.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Phase that the messages and the row of the store state.
    pub fn phase(self) -> RolloutPhase {
        match self {
            Self::Ordered | Self::Canary => RolloutPhase::Canary,
            Self::Ramp | Self::Watch | Self::Drain => RolloutPhase::Promoted,
            Self::Completed => RolloutPhase::Completed,
            Self::RolledBack => RolloutPhase::RolledBack,
        }
    }

    /// The stage that a message or row states; `None` if its phase is unknown.
    pub(super) fn of_state(state: &RolloutState) -> Option<Self> {
        match state.phase() {
            RolloutPhase::Unspecified => None,
            RolloutPhase::Canary => Some(Self::Canary),
            RolloutPhase::Promoted if state.share_permille <= RAMP_PERMILLE => Some(Self::Ramp),
            RolloutPhase::Promoted if state.share_permille <= WATCH_PERMILLE => Some(Self::Watch),
            RolloutPhase::Promoted => Some(Self::Drain),
            RolloutPhase::Completed => Some(Self::Completed),
            RolloutPhase::RolledBack => Some(Self::RolledBack),
        }
    }

    /// Share of the calls of the service that go to the new version, in thousandths.
    pub(super) fn share_permille(self, canary_permille: u32) -> u32 {
        match self {
            Self::Ordered | Self::RolledBack => 0,
            Self::Canary => canary_permille,
            Self::Ramp => RAMP_PERMILLE.max(canary_permille),
            Self::Watch => WATCH_PERMILLE,
            Self::Drain | Self::Completed => FULL_PERMILLE,
        }
    }
}

/// Event of the chart; the comments of `charts/rollout.toml` describe the stages that it ends.
#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum RolloutEvent {
    Recorded,
    CanaryPassed,
    RampPassed,
    WatchPassed,
    DrainPassed,
    FaultFound,
    DurationEnded,
}

/// The chart has no actions: the machine derives everything else from the stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoAction {}

impl std::str::FromStr for NoAction {
    type Err = UnknownAction;

    fn from_str(_: &str) -> Result<Self, Self::Err> {
        Err(UnknownAction)
    }
}

/// The chart names an action.
#[derive(Debug, Display, derive_more::Error)]
#[display("the chart has no actions")]
pub(super) struct UnknownAction;

pub(super) static ROLLOUT_CHART: LazyLock<TransitionTable<RolloutStage, RolloutEvent, NoAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/rollout.toml"))
            .expect("the embedded chart is valid")
    });
