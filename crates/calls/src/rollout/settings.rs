//! Settings and limits of rollouts.

use std::time::Duration;

use super::results::as_number;

/// All calls, in thousandths.
pub(super) const FULL_PERMILLE: u32 = 1_000;

/// Share of the ramp. Large enough to show faults under load, small enough that one more second there takes
/// a fiftieth of the calls of a duration of 12 s.
pub(super) const RAMP_PERMILLE: u32 = 250;

/// Largest share of the canary of a service with few calls. Half of them leaves as many to compare with.
const MAX_CANARY_PERMILLE: u32 = 500;

/// Share of the watch. The rest goes to the old version, as without calls there at the same time failures of
/// the whole service would look like a fault of the new version.
pub(super) const WATCH_PERMILLE: u32 = 700;

/// Time without a state of the rollout after which a node sends no calls to a version that may be bad.
pub(super) const STATE_VALIDITY: Duration = Duration::from_secs(2);

/// Time for which reported results count as recent. Recent results are also compared by themselves, since the
/// earlier good answers of a version that turns bad late would otherwise hide its fault.
pub(super) const RECENT_TIME: Duration = Duration::from_millis(1_500);

/// Part of the slack that goes to the canary. The rest is for calls on their way and for the promotion.
const CANARY_SLACK: f64 = 0.2;

/// Limits and times of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// Maximum share of the calls of the service that a version receives that may still be bad.
    pub max_share: f64,
    /// Number of calls allowed in addition to that share.
    pub slack: f64,
    /// Share of the canary, as a fraction of `max_share`. The rest is left for the time between a fault that
    /// only the promotion shows and the last call to the version.
    pub canary_fraction: f64,
    /// Part of the duration until which the canary lasts, less the time that the remaining writes take.
    pub canary_end: f64,
    /// Length of the ramp, as a part of the duration.
    pub ramp_length: f64,
    /// Length of the watch, as a part of the duration.
    pub watch_length: f64,
    /// Part of the duration before which the rollout is not completed. The rest allows for a store that takes
    /// 240 ms for each of the last two writes.
    pub completion: f64,
    /// Shortest time for which calls at the old version may end before it is stopped. Routes take up to
    /// 580 ms.
    pub min_drain: Duration,
    /// Time after the order before which latency is not compared: targets that have just started are slow.
    pub cold_time: Duration,
}

impl Default for ExposureSettings {
    fn default() -> Self {
        Self {
            max_share: 0.1,
            slack: 50.0,
            canary_fraction: 0.5,
            canary_end: 0.68,
            ramp_length: 0.05,
            watch_length: 0.06,
            completion: 0.89,
            min_drain: Duration::from_secs(1),
            cold_time: Duration::from_secs(3),
        }
    }
}

impl ExposureSettings {
    /// Share of the canary, in thousandths, for a service that gets `calls_per_s`. A part of the slack goes to
    /// the canary of a service with few calls, which would be too few to compare otherwise.
    pub(super) fn canary_permille(&self, calls_per_s: f64, duration: Duration) -> u32 {
        let calls = calls_per_s * duration.as_secs_f64() * self.canary_end;
        let share = self.max_share * self.canary_fraction + CANARY_SLACK * self.slack / calls;
        let permille = (share * f64::from(FULL_PERMILLE)).min(f64::from(MAX_CANARY_PERMILLE));
        // The maximum bounds the value, and a share of nothing is zero.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most 1000, and the limits are not negative"
        )]
        let permille = permille as u32;
        permille
    }

    /// Number of calls that a version which may be bad may have received of `calls`. Half of the slack is
    /// kept for calls that are on their way.
    pub(super) fn canary_allowance(&self, calls: u64) -> f64 {
        self.max_share * as_number(calls) + self.slack / 2.0
    }
}
