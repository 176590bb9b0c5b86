//! What the load balancer knows about one target.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::LocalityTier;

use super::chart::{TARGET_CHART, TargetAction, TargetEvent, TargetState};
use super::load_balancer::{BalancerSettings, PickRequest};
use super::policy::Candidate;
use super::target::{TargetKey, TargetStatus, TargetView};
use crate::rollout::VersionSide;

/// Weight of the newest sample in the exponentially weighted moving averages. At 0.2, about the last
/// ten attempts count.
pub(super) const EWMA_SAMPLE_WEIGHT: f64 = 0.2;

/// Time after which a moving average has decayed to half its value if no attempt ends. Without the
/// decay, a target that was slow once would never be picked, and so never be measured again.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Multiple of the average latency without any answer after which a target with calls in flight counts
/// as silent. Answers of targets that only run a few long calls come sooner.
const SILENCE_LATENCY_FACTOR: f64 = 3.0;

/// Shortest time without any answer after which a target counts as silent. Long enough for a lost packet
/// to be sent again.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Number of calls in flight from which a target can count as silent. With fewer, the calls may all be
/// long ones.
const MIN_SILENT_CALLS: u32 = 3;

/// Time after which a stated slowdown has lost half of its weight. Other work on a host comes and goes within
/// about twice this time.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);

/// Largest factor by which work on a host may be stated to be slower, or faster, than usual. Statements beyond it
/// count as this.
const MAX_SLOWDOWN: f64 = 20.0;

/// Number of steps in which the slots of a warming target are opened.
const WARM_UP_STEPS: u64 = 8;

/// State, counters and moving averages of one target.
#[derive(Debug)]
pub(super) struct TargetEntry {
    pub(super) service: String,
    pub(super) node: String,
    pub(super) peer: SocketAddr,
    /// Software version; empty if it is not known.
    pub(super) version: String,
    /// Side of the rollout of the service.
    pub(super) side: VersionSide,
    pub(super) generation: u64,
    pub(super) slots: u32,
    /// Whether the target is known to be past its slow-start period.
    pub(super) is_warm: bool,
    pub(super) status: TargetStatus,
    pub(super) tier: LocalityTier,
    pub(super) warm_up_ms: u32,
    pub(super) state: TargetState,
    pub(super) in_flight: u32,
    /// Time since which calls are in flight and neither an answer nor a refusal has come. Without calls
    /// in flight it has no meaning.
    pub(super) unanswered_since: Instant,
    pub(super) latency_us: f64,
    pub(super) failure_rate: f64,
    pub(super) reported_load: f64,
    pub(super) reported_at: Instant,
    /// How long work takes on the target's host, as a multiple of the usual time, as of `slowed_at`.
    pub(super) slowdown: f64,
    /// When the target last stated its slowdown; `None` if it never did.
    pub(super) slowed_at: Option<Instant>,
    /// Calls sent to the target since its last load report.
    pub(super) sent_since_report: u32,
    /// Time of the last update of the moving averages.
    pub(super) averages_updated_at: Instant,
    pub(super) consecutive_failures: u32,
    pub(super) ejections: u32,
    pub(super) probes_passed: u32,
    pub(super) warm_up_ends_at: Instant,
    pub(super) ejected_until: Instant,
    pub(super) backoff_until: Instant,
}

/// Preference of a target for one call. The target is chosen among those with the lowest value.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PickPreference {
    /// A probing target without a probe call in flight.
    Probe,
    /// In the caller's region, with a load below [`BalancerSettings::spill_percent`], nearest tier
    /// first.
    BelowSpillThreshold(LocalityTier),
    /// In the caller's region, with a load below [`BalancerSettings::region_spill_percent`], nearest
    /// tier first.
    BelowRegionSpillThreshold(LocalityTier),
    /// In another region, with a load below [`BalancerSettings::spill_percent`], or near and so slow that an
    /// answer is likely to be late. The policy weighs these by their expected time.
    FarBelowSpillThreshold,
    /// Fewer calls in flight than open slots, nearest tier first.
    BelowSlots(LocalityTier),
    /// Suspected by the failure detector, or silent.
    Suspect,
    /// Its version is not known, and its service has a rollout.
    UnknownVersion,
    /// All open slots in use, or a call was refused a moment ago. The target's node decides whether
    /// to queue or refuse the call.
    AtCapacity,
    /// Target of an earlier attempt of the call.
    AlreadyTried,
    /// Ejected, or probing and not available for this call.
    Ejected,
}

impl TargetEntry {
    pub(super) fn new(
        service: &str,
        view: &TargetView<'_>,
        tier: LocalityTier,
        warm_up_ms: u32,
    ) -> Self {
        Self {
            service: service.to_owned(),
            node: view.locality.node.to_owned(),
            peer: view.peer,
            version: view.version.to_owned(),
            side: VersionSide::default(),
            generation: view.generation,
            slots: view.slots.max(1),
            is_warm: view.warm,
            status: TargetStatus::Alive,
            tier,
            warm_up_ms,
            state: TARGET_CHART.initial(),
            in_flight: 0,
            unanswered_since: Instant::default(),
            // Lower than any real latency, so that a new target is measured soon. A cold target
            // has one open slot, so it gets one call at a time.
            latency_us: 0.0,
            failure_rate: 0.0,
            reported_load: 0.0,
            reported_at: Instant::default(),
            slowdown: 1.0,
            slowed_at: None,
            sent_since_report: 0,
            averages_updated_at: Instant::default(),
            consecutive_failures: 0,
            ejections: 0,
            probes_passed: 0,
            warm_up_ends_at: Instant::default(),
            ejected_until: Instant::default(),
            backoff_until: Instant::default(),
        }
    }

    pub(super) fn set_status(&mut self, status: TargetStatus) {
        self.status = status;
        let event = if status == TargetStatus::Draining {
            TargetEvent::DrainStarted
        } else {
            TargetEvent::DrainEnded
        };
        TARGET_CHART.advance(&mut self.state, event);
    }

    /// Handles the end of the ejection or of the warm-up if it has passed.
    pub(super) fn fire_timers(&mut self, now: Instant, settings: &BalancerSettings) {
        if self.state == TargetState::Ejected && self.ejected_until.is_past(now) {
            self.advance(TargetEvent::EjectionExpired, now, settings);
        }
        if self.state == TargetState::Warming && self.warm_up_ends_at.is_past(now) {
            self.advance(TargetEvent::WarmUpEnded, now, settings);
        }
    }

    pub(super) fn advance(
        &mut self,
        event: TargetEvent,
        now: Instant,
        settings: &BalancerSettings,
    ) {
        for action in TARGET_CHART.advance(&mut self.state, event) {
            match action {
                TargetAction::StartWarmUp => {
                    self.consecutive_failures = 0;
                    self.failure_rate = 0.0;
                    self.warm_up_ends_at = now.after(Duration::from_millis(self.warm_up_ms.into()));
                }
                TargetAction::StartEjection => {
                    let factor = 1_u64 << self.ejections.min(16);
                    let duration_ms = settings.base_ejection_ms.saturating_mul(factor);
                    let duration_ms = duration_ms.min(settings.max_ejection_ms);
                    self.ejected_until = now.after(Duration::from_millis(duration_ms));
                    self.ejections += 1;
                }
                TargetAction::StartProbing => self.probes_passed = 0,
                TargetAction::ResetEjectionCount => self.ejections = 0,
            }
        }
    }

    pub(super) fn record_answer(
        &mut self,
        latency: Duration,
        now: Instant,
        settings: &BalancerSettings,
    ) {
        self.decay_averages(now);
        let sample_us = latency.as_secs_f64() * 1e6;
        if self.latency_us > 0.0 {
            self.latency_us += EWMA_SAMPLE_WEIGHT * (sample_us - self.latency_us);
        } else {
            self.latency_us = sample_us;
        }
        self.consecutive_failures = 0;
        self.failure_rate -= EWMA_SAMPLE_WEIGHT * self.failure_rate;
        if self.state == TargetState::Probing {
            self.probes_passed += 1;
            if self.probes_passed >= settings.probes_to_pass {
                self.advance(TargetEvent::ProbesPassed, now, settings);
            }
        }
        self.advance(TargetEvent::Answered, now, settings);
    }

    /// Records how long work takes on the target's host at this moment.
    pub(super) fn record_slowdown(&mut self, slowdown: f64, now: Instant) {
        if slowdown.is_finite() {
            self.slowdown = slowdown.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
            self.slowed_at = Some(now);
        }
    }

    /// Expected multiple of the usual time that work takes now. What was stated counts less the older it is.
    fn expected_slowdown(&self, now: Instant) -> f64 {
        let Some(slowed_at) = self.slowed_at else {
            return 1.0;
        };
        let age = now.since(slowed_at).as_secs_f64();
        let decay = (-age / SLOWDOWN_HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.slowdown - 1.0) * decay
    }

    /// Whether answers of this target are likely to be late for a call. Only targets that share their hosts
    /// with other work are judged: those of a service differ much, and at any moment.
    fn is_too_slow(
        &self,
        request: &PickRequest<'_>,
        settings: &BalancerSettings,
        now: Instant,
    ) -> bool {
        let (Some(useful_until), Some(_)) = (request.useful_until, self.slowed_at) else {
            return false;
        };
        if useful_until.is_past(now) {
            // The answer is late wherever the call goes.
            return false;
        }
        let expected_us = self.latency_us * self.decay_factor(now) * self.expected_slowdown(now);
        let max_share = f64::from(settings.slow_target_percent) / 100.0;
        expected_us > useful_until.since(now).as_secs_f64() * 1e6 * max_share
    }

    /// Factor by which the moving averages have decayed at `now`, 0 to 1.
    pub(super) fn decay_factor(&self, now: Instant) -> f64 {
        let age = now.since(self.averages_updated_at).as_secs_f64();
        (-age / AVERAGE_HALF_LIFE.as_secs_f64()).exp2()
    }

    pub(super) fn decay_averages(&mut self, now: Instant) {
        // The latency does not decay here: the new sample corrects it.
        self.failure_rate *= self.decay_factor(now);
        self.averages_updated_at = now;
    }

    /// Slots open to this node now; one in each state other than healthy and warming.
    pub(super) fn open_slots(&self, now: Instant) -> u32 {
        match self.state {
            TargetState::Healthy => self.slots,
            TargetState::Warming => {
                let left_us = self.warm_up_ends_at.since(now).as_micros();
                let left_us = u64::try_from(left_us).unwrap_or(u64::MAX);
                let total_us = u64::from(self.warm_up_ms).max(1) * 1_000;
                let steps_left = (left_us * WARM_UP_STEPS)
                    .div_ceil(total_us)
                    .min(WARM_UP_STEPS);
                let steps = (WARM_UP_STEPS + 1 - steps_left).min(WARM_UP_STEPS);
                let open = u64::from(self.slots) * steps / WARM_UP_STEPS;
                u32::try_from(open).unwrap_or(self.slots).max(1)
            }
            _ => 1,
        }
    }

    /// Preference of this target for a call; `None` if it must not be picked.
    pub(super) fn preference(
        &self,
        key: TargetKey,
        request: &PickRequest<'_>,
        settings: &BalancerSettings,
        now: Instant,
    ) -> Option<PickPreference> {
        match self.state {
            TargetState::Draining => return None,
            TargetState::Ejected => return Some(PickPreference::Ejected),
            TargetState::Probing => {
                let window = Duration::from_millis(settings.idempotent_probe_window_ms);
                let suitable = request.idempotent || self.ejected_until.after(window).is_past(now);
                let available = suitable && self.in_flight == 0 && !request.avoid.contains(&key);
                return Some(if available {
                    PickPreference::Probe
                } else {
                    PickPreference::Ejected
                });
            }
            TargetState::Cold | TargetState::Warming | TargetState::Healthy => {}
        }
        let slots = self.open_slots(now);
        Some(if request.avoid.contains(&key) {
            PickPreference::AlreadyTried
        } else if self.in_flight >= slots || !self.backoff_until.is_past(now) {
            PickPreference::AtCapacity
        } else if self.side == VersionSide::Unknown {
            PickPreference::UnknownVersion
        } else if self.status == TargetStatus::Suspect || self.is_silent(now) {
            PickPreference::Suspect
        } else {
            self.load_preference(slots, request, settings, now)
        })
    }

    /// Counts a call that is sent to the target.
    pub(super) fn start_call(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts the end of a call. `has_response` is whether the target answered it or its node refused it.
    pub(super) fn end_call(&mut self, has_response: bool, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if has_response {
            self.unanswered_since = now;
        }
    }

    /// Whether several calls are in flight and none has had an answer or a refusal for unusually long, as
    /// from a host that is frozen or cut off. The failure detector needs seconds to tell. Lasts until the
    /// next answer or refusal, or until the calls in flight have ended.
    fn is_silent(&self, now: Instant) -> bool {
        if self.in_flight < MIN_SILENT_CALLS {
            return false;
        }
        let usual = Duration::from_secs_f64(self.latency_us * SILENCE_LATENCY_FACTOR / 1e6);
        now.since(self.unanswered_since) > usual.max(MIN_SILENCE)
    }

    /// Preference by load and distance.
    fn load_preference(
        &self,
        slots: u32,
        request: &PickRequest<'_>,
        settings: &BalancerSettings,
        now: Instant,
    ) -> PickPreference {
        let load_percent = self.load(slots, settings, now) * 100.0;
        let is_below = |percent: u32| load_percent < f64::from(percent);
        let in_region = self.tier != LocalityTier::OtherRegion;
        match (is_below(settings.spill_percent), in_region) {
            (true, true) if self.is_too_slow(request, settings, now) => {
                PickPreference::FarBelowSpillThreshold
            }
            (true, true) => PickPreference::BelowSpillThreshold(self.tier),
            (true, false) => PickPreference::FarBelowSpillThreshold,
            (false, true) if is_below(settings.region_spill_percent) => {
                PickPreference::BelowRegionSpillThreshold(self.tier)
            }
            _ => PickPreference::BelowSlots(self.tier),
        }
    }

    /// Estimated fraction of `slots` in use: the calls in flight from this node, plus the load
    /// reported by the target times [`BalancerSettings::report_weight`]. From a weight of 1, the
    /// calls of this node are subtracted from the report, which includes them.
    pub(super) fn load(&self, slots: u32, settings: &BalancerSettings, now: Instant) -> f64 {
        let slots = f64::from(slots);
        let local = f64::from(self.in_flight) / slots;
        let half_life = Duration::from_millis(settings.report_half_life_ms.max(1));
        let age = now.since(self.reported_at).as_secs_f64();
        let decay = (-age / half_life.as_secs_f64()).exp2();
        let reported = self.reported_load * decay + f64::from(self.sent_since_report) / slots;
        let others = if settings.report_weight < 1.0 {
            self.reported_load.min(1.0)
        } else {
            (reported - local).max(0.0)
        };
        local + settings.report_weight * others
    }

    pub(super) fn candidate(
        &self,
        key: TargetKey,
        settings: &BalancerSettings,
        now: Instant,
    ) -> Candidate {
        let decay = self.decay_factor(now);
        let slots = self.open_slots(now);
        Candidate {
            key,
            slots,
            load: self.load(slots, settings, now),
            latency_us: self.latency_us * decay * self.expected_slowdown(now),
            failure_rate: self.failure_rate * decay,
        }
    }
}
