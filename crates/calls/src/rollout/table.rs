//! The rollouts that a node knows of.

use std::collections::BTreeMap;
use std::slice;

use agatedeck_clock::Instant;
use agatedeck_wire::{RolloutPhase, RolloutState};

use super::settings::{FULL_PERMILLE, STATE_VALIDITY};
use super::split::{SplitMode, VersionSplit};

#[derive(Clone, Debug)]
struct HeldRollout {
    state: RolloutState,
    /// When the state was received or read.
    received_at: Instant,
}

impl HeldRollout {
    fn has_ended(&self) -> bool {
        matches!(
            self.state.phase(),
            RolloutPhase::Completed | RolloutPhase::RolledBack
        )
    }

    fn is_current(&self, now: Instant) -> bool {
        !self.received_at.after(STATE_VALIDITY).is_past(now)
    }
}

/// The newest state of the rollout of each service.
///
/// A state replaces one of an earlier order, or of the same order and an earlier step. Of two states of one
/// step, a rollback wins, because it takes effect before it is written.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    rollouts: BTreeMap<String, HeldRollout>,
}

/// Orders states of one service.
fn rank(state: &RolloutState) -> (u64, u64, bool) {
    let is_rollback = state.phase() == RolloutPhase::RolledBack;
    (state.order, state.step, is_rollback)
}

impl RolloutTable {
    /// Whether no rollout is known, not even an ended one.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Takes over states that were received at `now`. States of known rollouts that are older are ignored.
    pub fn merge(&mut self, states: &[RolloutState], now: Instant) {
        for state in states {
            let held = self.rollouts.get(&state.service);
            if held.is_some_and(|held| rank(state) < rank(&held.state)) {
                continue;
            }
            let held = HeldRollout {
                state: state.clone(),
                received_at: now,
            };
            self.rollouts.insert(state.service.clone(), held);
        }
    }

    /// Takes over the states of a driver on this node that the store does not answer. They replace earlier
    /// ones, but do not make the present ones valid for longer: another driver may have rolled back meanwhile.
    pub fn merge_unconfirmed(&mut self, states: &[RolloutState], now: Instant) {
        for state in states {
            let held = self.rollouts.get(&state.service);
            if held.is_none_or(|held| rank(state) > rank(&held.state)) {
                self.merge(slice::from_ref(state), now);
            }
        }
    }

    /// The state of a service's rollout as of `now`.
    pub fn state(&self, service: &str, now: Instant) -> Option<RolloutState> {
        let held = self.rollouts.get(service)?;
        let since = u64::try_from(now.since(held.received_at).as_millis()).unwrap_or(u64::MAX);
        let mut state = held.state.clone();
        state.elapsed_ms = state.elapsed_ms.saturating_add(since);
        Some(state)
    }

    /// The states of all rollouts as of `now`.
    pub fn states(&self, now: Instant) -> Vec<RolloutState> {
        let services = self.rollouts.keys();
        services
            .filter_map(|service| self.state(service, now))
            .collect()
    }

    /// Whether a rollout is in progress, so that results of calls are counted.
    pub fn is_active(&self) -> bool {
        self.rollouts.values().any(|held| !held.has_ended())
    }

    /// Services of rollouts in progress whose state is not current: the driver must be asked otherwise.
    pub fn outdated_services(&self, now: Instant) -> impl Iterator<Item = &str> {
        // Half of the validity leaves time for two reads of a slow store.
        let is_outdated = move |held: &HeldRollout| {
            !held.has_ended() && held.received_at.after(STATE_VALIDITY / 2).is_past(now)
        };
        let rollouts = self.rollouts.iter();
        let outdated = rollouts.filter(move |(_, held)| is_outdated(held));
        outdated.map(|(service, _)| service.as_str())
    }

    /// How the calls of each service with a rollout are split.
    pub fn splits(&self, now: Instant) -> BTreeMap<String, VersionSplit> {
        let rollouts = self.rollouts.iter();
        rollouts
            .filter_map(|(service, held)| Some((service.clone(), split_of(held, now)?)))
            .collect()
    }
}

fn split_of(held: &HeldRollout, now: Instant) -> Option<VersionSplit> {
    let state = &held.state;
    let mode = match state.phase() {
        RolloutPhase::Unspecified => return None,
        RolloutPhase::RolledBack => SplitMode::BaseOnly,
        RolloutPhase::Completed => SplitMode::TargetOnly,
        // A node that hears nothing more keeps to the new version, since the old one may be stopped by now.
        RolloutPhase::Promoted if state.share_permille >= FULL_PERMILLE => SplitMode::TargetOnly,
        RolloutPhase::Canary | RolloutPhase::Promoted => SplitMode::Share {
            permille: if held.is_current(now) {
                state.share_permille
            } else {
                0
            },
            valid_until: held.received_at.after(STATE_VALIDITY),
        },
    };
    Some(VersionSplit {
        target: state.target.clone(),
        base: state.base.clone(),
        mode,
    })
}
