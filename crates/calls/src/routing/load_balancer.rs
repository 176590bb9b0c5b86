//! Load balancing of calls over the targets of each service, at the caller's node.
//!
//! The balancer measures calls in flight, latency and failures itself. The load that a target
//! reports counts little, because reports lag and can be wrong. A pick scans the subset of the
//! service's targets, whose size is bounded by [`SubsetSettings::targets_per_node`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{LocalityTier, NodeLocality};
use derive_more::{Display, Error};
use rand::RngCore;
use slotmap::SlotMap;

use super::chart::{TARGET_CHART, TargetEvent, TargetState};
use super::policy::{BalancePolicy, Candidate};
use super::subset::{SubsetSettings, choose_subset};
use super::target::{TargetKey, TargetStatus, TargetView};
use super::target_entry::{EWMA_SAMPLE_WEIGHT, PickPreference, TargetEntry};
use crate::rollout::{VersionSide, VersionSplit};

/// Multiple of the average latency after which a timed-out attempt counts as a failure.
const TIMEOUT_LATENCY_FACTOR: f64 = 4.0;

/// Upper bound on the load accepted from a report, as a multiple of the slots: all slots in use and
/// three times as many calls queued.
const MAX_REPORTED_LOAD: f64 = 4.0;

/// Slowdown which shows that a target shares its host with other work. Until a target of the service states it,
/// targets are chosen by distance and load alone.
const MIN_SHARED_SLOWDOWN: f64 = 1.2;

/// Settings of a [`LoadBalancer`].
#[derive(Clone, Copy, Debug)]
pub struct BalancerSettings {
    /// Size of the subsets and bound on connections.
    pub subset: SubsetSettings,
    /// Load of a target, in percent of its slots, from which calls spill over to the next locality
    /// tier.
    pub spill_percent: u32,
    /// Load of the targets in the caller's region, in percent of their slots, from which calls spill
    /// over to another region. Above 100, calls rather wait for a slot in their region, which takes
    /// no longer than the round trip to another one and costs no traffic between regions.
    pub region_spill_percent: u32,
    /// Share of a call's useful time, in percent, that the mean latency of a near target may take before the
    /// target is passed over for its slowness; 0 to choose by distance and load alone. Single calls take two
    /// or three times the mean.
    pub slow_target_percent: u32,
    /// Consecutive failed attempts after which a target is ejected.
    pub failures_to_eject: u32,
    /// Failure rate, in percent, from which a target is ejected.
    pub eject_failure_percent: u32,
    /// Duration of the first ejection, in milliseconds; it doubles with each further ejection.
    pub base_ejection_ms: u64,
    /// Upper bound on the duration of an ejection, in milliseconds.
    pub max_ejection_ms: u64,
    /// Upper bound on the share of a service's targets that are ejected at once, in percent.
    pub max_ejected_percent: u32,
    /// Consecutive probe calls that a target must answer after an ejection before it is warmed up
    /// again.
    pub probes_to_pass: u32,
    /// Time after an ejection during which only idempotent calls are used as probes, in
    /// milliseconds. After it any call may be a probe, so that a service without idempotent calls
    /// gets its targets back.
    pub idempotent_probe_window_ms: u64,
    /// Time for which a target that refused a call because it is full is avoided, in milliseconds.
    pub overload_backoff_ms: u64,
    /// Weight of the load that a target's node reports, relative to the calls in flight from this
    /// node. At 1, the report counts all calls of the target; below 1, a report alone cannot move
    /// calls to other targets.
    pub report_weight: f64,
    /// Time after which a reported load has decayed to half its value, in milliseconds. Used only if
    /// `report_weight` is at least 1; with a lower weight, the last report counts until the next one.
    pub report_half_life_ms: u64,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            subset: SubsetSettings::default(),
            spill_percent: 80,
            region_spill_percent: 80,
            slow_target_percent: 0,
            failures_to_eject: 3,
            eject_failure_percent: 60,
            base_ejection_ms: 1_000,
            max_ejection_ms: 60_000,
            // A third of the targets may fail at once. Half of them stay in use in case the cause
            // is elsewhere, for example the link of the caller's node.
            max_ejected_percent: 50,
            probes_to_pass: 3,
            idempotent_probe_window_ms: 5_000,
            overload_backoff_ms: 20,
            report_weight: 0.25,
            report_half_life_ms: 1_000,
        }
    }
}

/// Load of a target, as its node reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Running and queued calls as a fraction of the slots.
    pub load: f64,
    /// How long work takes on the target's host at this moment, as a multiple of the usual time; `None` if the
    /// target does not state it.
    pub slowdown: Option<f64>,
}

/// Result of an attempt at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The connection failed or was lost, or the answer was truncated.
    Failed,
    /// The target did not answer by the deadline of the call. This counts as a failure only if the
    /// attempt lasted several times the average latency of the target, so that calls with short
    /// deadlines do not eject healthy targets.
    TimedOut,
    /// The target's node refused the call because the target is at capacity. The target is avoided
    /// for [`BalancerSettings::overload_backoff_ms`].
    Full,
    /// The target's node refused the call for a reason that concerns only this call, such as the
    /// share of its workspace. This does not affect the target's statistics; otherwise refusals of one
    /// workspace would move the calls of all others to other targets.
    Refused,
    /// The caller cancelled the call. This does not affect the target's statistics.
    Cancelled,
}

impl AttemptResult {
    /// Whether the target has answered the attempt, or its node has refused it.
    fn is_response(self) -> bool {
        match self {
            Self::Answered | Self::Full | Self::Refused => true,
            Self::Failed | Self::TimedOut | Self::Cancelled => false,
        }
    }
}

/// Criteria by which the target of an attempt is picked.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Name of the called service.
    pub service: &'a str,
    /// Targets of earlier attempts of the call; picked again only if no other target is available.
    pub avoid: &'a [TargetKey],
    /// Whether the call may run more than once. Idempotent calls are preferred as probes after an
    /// ejection, because they can be retried if the answer is lost.
    pub idempotent: bool,
    /// Until when an answer has its full value to the caller, if known.
    pub useful_until: Option<Instant>,
}

/// Target picked for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PickedTarget {
    /// Key to pass to [`LoadBalancer::record_result`].
    pub key: TargetKey,
    /// Address of the target's node.
    pub peer: SocketAddr,
    /// Estimated load of the target before the attempt, in percent of its slots.
    pub load_percent: u32,
}

/// Why no target was picked.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PickError {
    /// The service has no known target.
    #[display("the service has no targets")]
    NoTargets,
    /// All targets of the service are draining.
    #[display("all targets of the service are draining")]
    AllDraining,
}

/// State of one target, for status pages and tests.
#[derive(Clone, Copy, Debug)]
pub struct TargetSummary<'a> {
    /// Key in the load balancer.
    pub key: TargetKey,
    /// Name of the target's node.
    pub node: &'a str,
    /// Life cycle state.
    pub state: TargetState,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// Slots of the target, including those that warm-up has not opened yet.
    pub slots: u32,
    /// End of the ejection, if the target is ejected.
    pub ejected_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct ServiceEntry {
    /// Subset of the service's targets that this node connects to.
    targets: Vec<TargetKey>,
    pick_count: u64,
    /// Whether a target has stated that other work on its host slows it.
    has_shared_hosts: bool,
    /// Split of the calls between versions; `None` if the service has no rollout.
    split: Option<VersionSplit>,
}

/// Picks the target of each attempt among those that this node connects to, and ejects outliers.
///
/// Invariants: a draining target is never picked; a probing target gets more than one call at a
/// time only if all other targets are ejected, probing or draining; ejection leaves at most
/// [`BalancerSettings::max_ejected_percent`] of the targets of a service ejected or probing, and
/// never all of them.
#[derive(Debug)]
pub struct LoadBalancer {
    node: String,
    domain: String,
    region: String,
    settings: BalancerSettings,
    policy: Box<dyn BalancePolicy>,
    targets: SlotMap<TargetKey, TargetEntry>,
    services: HashMap<String, ServiceEntry>,
    /// Buffer reused between picks to avoid allocation.
    candidates: Vec<Candidate>,
}

impl LoadBalancer {
    /// Creates a load balancer without targets for the node at `local`.
    pub fn new(
        local: &NodeLocality<'_>,
        settings: BalancerSettings,
        policy: Box<dyn BalancePolicy>,
    ) -> Self {
        Self {
            node: local.node.to_owned(),
            domain: local.domain.to_owned(),
            region: local.region.to_owned(),
            settings,
            policy,
            targets: SlotMap::with_key(),
            services: HashMap::new(),
            candidates: Vec::new(),
        }
    }

    /// Chooses a subset of the targets of `service` and replaces its targets with it.
    ///
    /// Combines [`choose_subset`] and [`set_targets`](Self::set_targets). For services with more
    /// callers than connections per target, call the two separately: choosing then takes
    /// milliseconds and must not block the task that picks targets.
    pub fn replace_targets(
        &mut self,
        service: &str,
        views: &[TargetView<'_>],
        callers: &[NodeLocality<'_>],
        warm_up_ms: u32,
    ) {
        let (draining, live): (Vec<TargetView<'_>>, Vec<TargetView<'_>>) = views
            .iter()
            .partition(|view| view.status == TargetStatus::Draining);
        let localities: Vec<_> = live.iter().map(|view| view.locality).collect();
        let subset = choose_subset(&self.local(), callers, &localities, &self.settings.subset);
        let chosen: Vec<_> = subset.into_iter().map(|index| live[index]).collect();
        self.set_targets(service, &chosen, &draining, warm_up_ms);
    }

    /// Replaces the targets of `service` with those chosen from the membership view.
    ///
    /// `draining` targets are kept only if the load balancer knows them already, since other targets
    /// take their place in the subset. A target keeps its statistics unless its generation has
    /// changed.
    pub fn set_targets(
        &mut self,
        service: &str,
        chosen: &[TargetView<'_>],
        draining: &[TargetView<'_>],
        warm_up_ms: u32,
    ) {
        let previous = self
            .services
            .get(service)
            .map(|entry| entry.targets.clone())
            .unwrap_or_default();
        let mut by_node: HashMap<String, TargetKey> = previous
            .iter()
            .map(|&key| (self.targets[key].node.clone(), key))
            .collect();
        let is_known = |view: &&TargetView<'_>| by_node.contains_key(view.locality.node);
        let kept_draining: Vec<_> = draining.iter().filter(is_known).collect();
        let mut keys = Vec::with_capacity(chosen.len() + kept_draining.len());
        for view in chosen.iter().chain(kept_draining) {
            let tier = LocalityTier::between(&self.local(), &view.locality);
            let existing = by_node
                .get(view.locality.node)
                .copied()
                .filter(|&key| self.targets[key].generation == view.generation);
            let key = if let Some(key) = existing {
                by_node.remove(view.locality.node);
                key
            } else {
                self.targets
                    .insert(TargetEntry::new(service, view, tier, warm_up_ms))
            };
            let entry = &mut self.targets[key];
            entry.peer = view.peer;
            view.version.clone_into(&mut entry.version);
            entry.slots = view.slots.max(1);
            entry.is_warm = view.warm;
            entry.warm_up_ms = warm_up_ms;
            entry.set_status(view.status);
            if view.warm {
                TARGET_CHART.advance(&mut entry.state, TargetEvent::KnownWarm);
            }
            keys.push(key);
        }
        for key in by_node.into_values() {
            self.targets.remove(key);
        }
        if keys.is_empty() {
            self.services.remove(service);
        } else {
            let entry = self.services.entry(service.to_owned()).or_default();
            entry.targets = keys;
            self.assign_sides(service);
        }
    }

    /// Replaces the split of the calls of `service` between versions. To be called after
    /// [`Self::set_targets`], as a service without targets keeps no split.
    pub fn set_split(&mut self, service: &str, split: Option<&VersionSplit>) {
        if let Some(entry) = self.services.get_mut(service)
            && entry.split.as_ref() != split
        {
            entry.split = split.cloned();
            self.assign_sides(service);
        }
    }

    fn assign_sides(&mut self, service: &str) {
        let Some(entry) = self.services.get(service) else {
            return;
        };
        for &key in &entry.targets {
            let target = &mut self.targets[key];
            let split = entry.split.as_ref();
            target.side = split.map_or(VersionSide::Base, |split| split.side(&target.version));
        }
    }

    /// Whether a target is known to be past its slow-start period, so that its latency counts.
    pub fn is_warm(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(|target| target.is_warm)
    }

    /// Software version and node of a target; `None` if it has been removed in the meantime.
    pub fn target_version(&self, key: TargetKey) -> Option<(&str, &str)> {
        let target = self.targets.get(key)?;
        Some((&target.version, &target.node))
    }

    fn local(&self) -> NodeLocality<'_> {
        NodeLocality {
            node: &self.node,
            domain: &self.domain,
            region: &self.region,
        }
    }

    /// Records the load that a target reported with an answer.
    ///
    /// Ignored if the target has been removed in the meantime.
    pub fn record_load(&mut self, key: TargetKey, report: &LoadReport, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.reported_load = if report.load.is_nan() {
            0.0
        } else {
            report.load.clamp(0.0, MAX_REPORTED_LOAD)
        };
        target.reported_at = now;
        target.sent_since_report = 0;
        let Some(slowdown) = report.slowdown else {
            return;
        };
        target.record_slowdown(slowdown, now);
        if slowdown >= MIN_SHARED_SLOWDOWN
            && let Some(service) = self.services.get_mut(&target.service)
        {
            service.has_shared_hosts = true;
        }
    }

    /// Picks the target of an attempt and counts the attempt as in flight there.
    ///
    /// Each pick must be followed by exactly one call of [`LoadBalancer::record_result`].
    ///
    /// # Errors
    ///
    /// Fails if the service has no targets or all of them are draining.
    pub fn pick(
        &mut self,
        request: &PickRequest<'_>,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Result<PickedTarget, PickError> {
        let Some(service) = self.services.get(request.service) else {
            return Err(PickError::NoTargets);
        };
        let judges_speed = self.settings.slow_target_percent > 0 && service.has_shared_hosts;
        let request = &PickRequest {
            useful_until: request.useful_until.filter(|_| judges_speed),
            ..*request
        };
        let split = service.split.as_ref();
        match split.map(|split| split.draw_target(now, rng)) {
            None => _ = self.collect_candidates(request, now, |_| true),
            Some(true) => self.collect_for_target(request, now),
            Some(false) => self.collect_for_base(request, now),
        }
        if self.candidates.is_empty() {
            return Err(PickError::AllDraining);
        }
        let Some(service) = self.services.get_mut(request.service) else {
            return Err(PickError::NoTargets);
        };
        let index = self
            .policy
            .choose(service.pick_count, &self.candidates, rng);
        service.pick_count += 1;
        let chosen = &self.candidates[index.min(self.candidates.len() - 1)];
        let target = &mut self.targets[chosen.key];
        target.start_call(now);
        Ok(PickedTarget {
            key: chosen.key,
            peer: target.peer,
            load_percent: chosen.load_percent(),
        })
    }

    /// Collects the preferred targets on the sides that `admits` names. Returns their preference; `None` if
    /// there is no such target.
    fn collect_candidates(
        &mut self,
        request: &PickRequest<'_>,
        now: Instant,
        admits: impl Fn(VersionSide) -> bool,
    ) -> Option<PickPreference> {
        self.candidates.clear();
        let service = self.services.get(request.service)?;
        let mut best: Option<PickPreference> = None;
        for &key in &service.targets {
            let target = &mut self.targets[key];
            if !admits(target.side) {
                continue;
            }
            target.fire_timers(now, &self.settings);
            let Some(preference) = target.preference(key, request, &self.settings, now) else {
                continue;
            };
            if best.is_none_or(|best| preference < best) {
                best = Some(preference);
                self.candidates.clear();
            }
            if best == Some(preference) {
                self.candidates
                    .push(target.candidate(key, &self.settings, now));
            }
        }
        best
    }

    /// Collects targets of the new version. The old one takes the calls that have no free slot there, as
    /// long as it gets calls at all.
    fn collect_for_target(&mut self, request: &PickRequest<'_>, now: Instant) {
        let is_target = |side| side == VersionSide::Target;
        let best = self.collect_candidates(request, now, is_target);
        if best.is_none_or(|best| best >= PickPreference::AtCapacity) {
            let is_base = |side| matches!(side, VersionSide::Base | VersionSide::Unknown);
            let base = self.collect_candidates(request, now, is_base);
            if base.is_none() || base >= best && best.is_some() {
                self.collect_candidates(request, now, is_target);
            }
        }
    }

    /// Collects targets of the old version. The new one takes calls only if there is no other target, such
    /// as when the service had none before.
    fn collect_for_base(&mut self, request: &PickRequest<'_>, now: Instant) {
        let is_base = |side| matches!(side, VersionSide::Base | VersionSide::Unknown);
        if self.collect_candidates(request, now, is_base).is_none() {
            self.collect_candidates(request, now, |side| side == VersionSide::Target);
        }
    }

    /// Records the result of an attempt whose target was picked at `picked_at`.
    ///
    /// Ignored if the target has been removed in the meantime.
    pub fn record_result(
        &mut self,
        key: TargetKey,
        picked_at: Instant,
        result: AttemptResult,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.end_call(result.is_response(), now);
        target.fire_timers(now, &self.settings);
        match result {
            AttemptResult::Answered => {
                target.record_answer(now.since(picked_at), now, &self.settings);
            }
            AttemptResult::Failed => self.record_failure(key, now),
            AttemptResult::TimedOut => {
                let waited_us = now.since(picked_at).as_secs_f64() * 1e6;
                if waited_us >= target.latency_us * TIMEOUT_LATENCY_FACTOR {
                    self.record_failure(key, now);
                }
            }
            AttemptResult::Full => {
                target.backoff_until =
                    now.after(Duration::from_millis(self.settings.overload_backoff_ms));
            }
            AttemptResult::Refused | AttemptResult::Cancelled => {}
        }
        if result != AttemptResult::Answered
            && let Some(target) = self.targets.get_mut(key)
        {
            target.sent_since_report = target.sent_since_report.saturating_sub(1);
        }
    }

    fn record_failure(&mut self, key: TargetKey, now: Instant) {
        let target = &mut self.targets[key];
        target.decay_averages(now);
        target.consecutive_failures += 1;
        target.failure_rate += EWMA_SAMPLE_WEIGHT * (1.0 - target.failure_rate);
        let settings = &self.settings;
        if target.state == TargetState::Probing {
            target.advance(TargetEvent::ProbeFailed, now, settings);
            return;
        }
        let failing = target.failure_rate * 100.0 >= f64::from(settings.eject_failure_percent);
        if target.consecutive_failures < settings.failures_to_eject && !failing {
            return;
        }
        if self.may_eject(key) {
            let target = &mut self.targets[key];
            target.advance(TargetEvent::OutlierDetected, now, &self.settings);
        }
    }

    /// Whether one more target of the service of `key` may be ejected.
    fn may_eject(&self, key: TargetKey) -> bool {
        let Some(service) = self.services.get(&self.targets[key].service) else {
            return false;
        };
        let (mut live, mut ejected) = (0_u64, 0_u64);
        for &key in &service.targets {
            match self.targets[key].state {
                TargetState::Draining => {}
                TargetState::Ejected | TargetState::Probing => {
                    live += 1;
                    ejected += 1;
                }
                _ => live += 1,
            }
        }
        let limit = live * u64::from(self.settings.max_ejected_percent);
        (ejected + 1) * 100 <= limit && ejected + 1 < live
    }

    /// Returns the state of each target of `service` that this node connects to.
    pub fn summaries(&self, service: &str) -> impl Iterator<Item = TargetSummary<'_>> {
        let entry = self.services.get(service);
        let keys = entry.map(|entry| entry.targets.as_slice());
        keys.unwrap_or_default().iter().map(|&key| {
            let target = &self.targets[key];
            let ejected = target.state == TargetState::Ejected;
            TargetSummary {
                key,
                node: &target.node,
                state: target.state,
                in_flight: target.in_flight,
                slots: target.slots,
                ejected_until: ejected.then_some(target.ejected_until),
            }
        })
    }
}
