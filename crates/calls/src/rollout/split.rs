//! What the load balancer makes of a rollout.

use std::collections::BTreeMap;

use agatedeck_clock::Instant;
use rand::{Rng, RngCore};

use super::settings::FULL_PERMILLE;

/// Which version gets a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SplitMode {
    /// The new version gets a share of the calls.
    Share {
        /// The share, in thousandths.
        permille: u32,
        /// Time from which the new version gets no calls, as its rollout may have been rolled back.
        valid_until: Instant,
    },
    /// The new version gets all calls.
    TargetOnly,
    /// The new version gets no calls.
    BaseOnly,
}

/// Side of a rollout on which a target is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum VersionSide {
    /// It has a version that served before the order, or its service has no rollout.
    #[default]
    Base,
    /// It has the new version.
    Target,
    /// Its version is not known yet. It gets calls only if no other target has a free slot, because it may
    /// have the new version, but calls must be served also when all nodes have just started.
    Unknown,
    /// It has a version that must get no calls.
    Excluded,
}

/// The versions of a service during and after a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionSplit {
    /// Version that is, or was, rolled out.
    pub target: String,
    /// Versions that served before the order; empty if none was known, which allows all but the new one.
    pub base: Vec<String>,
    /// Which of them gets a call.
    pub mode: SplitMode,
}

impl VersionSplit {
    /// The split of a service whose rollouts are not known yet, as its node has just started: the version with
    /// most targets, which is the old one in most rollouts, gets all calls that it has slots for. `None` if
    /// all targets are of one version.
    pub fn before_first_state<'a>(versions: impl Iterator<Item = &'a str>) -> Option<Self> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for version in versions.filter(|version| !version.is_empty()) {
            *counts.entry(version).or_default() += 1;
        }
        // Of versions with as many targets, the first by name is more likely the old one.
        let most = counts.iter().rev().max_by_key(|(_, count)| **count);
        let (most, _) = most.filter(|_| counts.len() > 1)?;
        let other = counts.keys().find(|version| *version != most)?;
        Some(Self {
            target: (*other).to_owned(),
            base: vec![(*most).to_owned()],
            mode: SplitMode::Share {
                permille: 0,
                valid_until: Instant::default(),
            },
        })
    }

    /// Side of a target with this version.
    pub fn side(&self, version: &str) -> VersionSide {
        if version == self.target {
            match self.mode {
                SplitMode::BaseOnly if !self.base.iter().any(|base| base == version) => {
                    VersionSide::Excluded
                }
                SplitMode::BaseOnly => VersionSide::Base,
                SplitMode::Share { .. } | SplitMode::TargetOnly => VersionSide::Target,
            }
        } else if self.mode == SplitMode::TargetOnly {
            if version.is_empty() {
                VersionSide::Unknown
            } else {
                VersionSide::Excluded
            }
        } else if version.is_empty() {
            VersionSide::Unknown
        } else if self.base.is_empty() || self.base.iter().any(|base| base == version) {
            VersionSide::Base
        } else {
            VersionSide::Excluded
        }
    }

    /// Draws whether a call goes to the new version.
    pub(crate) fn draw_target(&self, now: Instant, rng: &mut dyn RngCore) -> bool {
        match self.mode {
            SplitMode::Share {
                permille,
                valid_until,
            } => !valid_until.is_past(now) && rng.random_range(0..FULL_PERMILLE) < permille,
            SplitMode::TargetOnly => true,
            SplitMode::BaseOnly => false,
        }
    }
}
