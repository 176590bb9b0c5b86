//! States, events and actions of `charts/announcement.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// Registration state of a target.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum RegistrationState {
    /// No start of the target is verified, its last announcement has expired, or it is unreachable.
    Absent,
    /// The target accepts calls.
    Ready,
    /// The target accepts no new calls and finishes its running ones.
    Draining,
    /// The target has deregistered, or its announcements expired while it was draining.
    Gone,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum RegistrationEvent {
    Ready,
    Draining,
    Deregistered,
    Expired,
    Unreachable,
    Verified,
    RestartedDraining,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(super) enum RegistrationAction {
    Open,
    Close,
    Publish,
}

pub(super) static REGISTRATION_CHART: LazyLock<
    TransitionTable<RegistrationState, RegistrationEvent, RegistrationAction>,
> = LazyLock::new(|| {
    TransitionTable::parse(include_str!("../../charts/announcement.toml"))
        .expect("the embedded chart is valid")
});
