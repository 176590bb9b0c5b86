//! States, events and actions of `charts/announcement.toml`.

use std::sync::LazyLock;

use agatedeck_chart::ChartTable;
use derive_more::{Display, FromStr};

/// What a target has announced of itself.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum RegistrationState {
    /// Nothing is known, or announcements have stopped.
    Absent,
    /// It takes calls.
    Ready,
    /// It takes no new calls and finishes those that it has.
    Draining,
    /// It has left.
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
    RestartedReady,
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
    ChartTable<RegistrationState, RegistrationEvent, RegistrationAction>,
> = LazyLock::new(|| {
    ChartTable::parse(include_str!("../../charts/announcement.toml"))
        .expect("the embedded chart is valid")
});
