//! The driver's decision on one rollout.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{RolloutCounts, RolloutPhase, RolloutState};

use super::chart::{ROLLOUT_CHART, RolloutEvent, RolloutStage};
use super::evaluation::{FaultLimits, RolloutFault, find_fault};
use super::results::{ResultHistory, as_number};
use super::settings::{ExposureSettings, RECENT_TIME};

/// Limits while the old version gets most calls. Hosts differ in speed by less than a factor of two.
const CANARY_LIMITS: FaultLimits = FaultLimits {
    failure_excess: 0.05,
    slow_factor: Some(2.0),
};

/// Limits while the new version gets most calls, and waits for its slots longer than the old one.
const PROMOTED_LIMITS: FaultLimits = FaultLimits {
    failure_excess: 0.05,
    slow_factor: Some(2.5),
};

/// Limits while the old version gets no calls. It is compared by its earlier ones, so that failures of the
/// whole service that begin now look like a fault.
const DRAIN_LIMITS: FaultLimits = FaultLimits {
    failure_excess: 0.2,
    slow_factor: Some(3.0),
};

/// Writes that follow the canary: of three steps, and of the status.
const REMAINING_WRITES: u32 = 4;

/// Writes that follow the drain, of a step and of the status, and one to spare.
const LAST_WRITES: u32 = 3;

/// Time after which the rate of calls is known.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Factor by which the share of the canary changes at least.
const MIN_SHARE_CHANGE: f64 = 1.5;

/// Bits of a position that are the offset in the feed. At 1,200 writes a second they last for 29 years.
const OFFSET_BITS: u32 = 40;

/// The offset in a position.
const OFFSET_MASK: u64 = (1 << OFFSET_BITS) - 1;

/// An order of the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Service whose version is rolled out.
    pub service: String,
    /// Version that is rolled out.
    pub target: String,
    /// Time within which the rollout must end.
    pub duration: Duration,
    /// Position of the order in the feed; see [`Self::position_of`].
    pub position: u64,
}

impl RolloutOrder {
    /// Position of an order at this offset of a generation of the feed. A feed that goes back gives out its
    /// offsets again, and nodes must not ignore a new order that has the offset of an earlier one.
    pub fn position_of(generation: u64, offset: u64) -> u64 {
        (generation << OFFSET_BITS) | (offset & OFFSET_MASK)
    }

    /// Whether the state is of this order. The same row has another generation after the feed went back.
    pub(super) fn is_stated_by(&self, state: &RolloutState) -> bool {
        let is_same_row =
            state.order & OFFSET_MASK == self.position & OFFSET_MASK && state.target == self.target;
        state.order == self.position || is_same_row && state.order < self.position
    }
}

/// Decides on the steps of one rollout.
///
/// A step is proposed by [`Self::poll`], written by the caller, and takes effect in [`Self::on_written`].
/// Only a fault takes effect before it is written, since each call until then would be lost.
///
/// Invariants: until the ramp, the share of the new version is below the limit; the ramp begins only after
/// the new version has answered; an ended rollout never changes.
#[derive(Debug)]
pub struct RolloutMachine {
    order: RolloutOrder,
    settings: ExposureSettings,
    /// Versions that served before the order.
    base: Vec<String>,
    stage: RolloutStage,
    /// Share of the canary. It changes only by more than [`MIN_SHARE_CHANGE`], as each change is sent to all
    /// nodes.
    canary_permille: u32,
    step: u64,
    /// The step that the store holds.
    written_step: u64,
    proposed: Option<RolloutEvent>,
    proposed_at: Instant,
    /// Longest time that the write of a step has taken. A slow store delays each of the steps that follow.
    slowest_write: Duration,
    /// End of the duration of the order.
    ends_at: Instant,
    /// Time since which this driver has counted calls; later than the order if it has taken over.
    counted_from: Instant,
    /// When the stage may end at the earliest.
    stage_ends_at: Instant,
    history: ResultHistory,
    fault: Option<RolloutFault>,
}

impl RolloutMachine {
    /// Creates the machine of an order whose duration ends at `ends_at`. `base` are the versions that have
    /// served so far.
    pub fn new(
        order: RolloutOrder,
        base: Vec<String>,
        settings: ExposureSettings,
        ends_at: Instant,
    ) -> Self {
        let mut machine = Self {
            stage: ROLLOUT_CHART.initial(),
            canary_permille: settings.canary_permille(f64::INFINITY, order.duration),
            step: 1,
            written_step: 0,
            proposed: None,
            proposed_at: Instant::default(),
            slowest_write: Duration::ZERO,
            ends_at,
            counted_from: Instant::default(),
            stage_ends_at: Instant::default(),
            history: ResultHistory::default(),
            fault: None,
            order,
            settings,
            base,
        };
        machine.counted_from = machine.at_part(0.0);
        machine
    }

    /// Continues a rollout from the state that another driver has written or sent; `None` if the state names
    /// an unknown phase.
    pub fn resume(
        state: &RolloutState,
        is_written: bool,
        settings: ExposureSettings,
        now: Instant,
    ) -> Option<Self> {
        let resumed = RolloutStage::of_state(state)?;
        let order = RolloutOrder {
            service: state.service.clone(),
            target: state.target.clone(),
            duration: Duration::from_millis(state.duration_ms),
            position: state.order,
        };
        let left_ms = state.duration_ms.saturating_sub(state.elapsed_ms);
        let ends_at = now.after(Duration::from_millis(left_ms));
        let mut machine = Self::new(order, state.base.clone(), settings, ends_at);
        machine.counted_from = now;
        machine.stage = resumed;
        machine.step = state.step;
        machine.written_step = if is_written { state.step } else { 0 };
        machine.stage_ends_at = machine.stage_end(now);
        Some(machine)
    }

    /// The order that this machine carries out.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Current stage.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Why the rollout was rolled back, if results were the reason.
    pub fn fault(&self) -> Option<RolloutFault> {
        self.fault
    }

    /// Versions that may get calls after this rollout, for the base of the next one.
    pub fn served_versions(&self) -> Vec<String> {
        match self.stage {
            RolloutStage::Completed => vec![self.order.target.clone()],
            _ => self.base.clone(),
        }
    }

    /// Calls that were reported as sent: to the new version, and to all.
    pub fn sent_calls(&self) -> (u64, u64) {
        (self.history.new_sent, self.history.all_sent)
    }

    /// Records a report of a node.
    pub fn record(&mut self, counts: &[RolloutCounts], now: Instant) {
        if !self.stage.has_ended() {
            self.history
                .record(counts, &self.order.target, RECENT_TIME, now);
        }
    }

    /// Decides whether a step is due. Returns the state to write, if there is one that the store does not
    /// hold.
    pub fn poll(&mut self, now: Instant) -> Option<RolloutState> {
        if !self.stage.has_ended() {
            self.adapt_canary(now);
            self.fault = self.find_fault(now);
            if self.fault.is_some() {
                self.proposed = None;
                self.advance(RolloutEvent::FaultFound, now);
            } else {
                let proposed = self.due_event(now);
                if self.proposed.is_none() && proposed.is_some() {
                    self.proposed_at = now;
                }
                self.proposed = proposed;
            }
        }
        self.unwritten_state(now)
    }

    fn unwritten_state(&self, now: Instant) -> Option<RolloutState> {
        let Some(event) = self.proposed else {
            return (self.step > self.written_step && self.stage != RolloutStage::Ordered)
                .then(|| self.state(now));
        };
        let stage = self.stage_after(event);
        Some(RolloutState {
            phase: stage.phase().into(),
            share_permille: stage.share_permille(self.canary_permille),
            step: self.step + 1,
            ..self.state(now)
        })
    }

    /// Handles that the row of the store holds `state`, which this driver or another one has written. Returns
    /// whether this machine is as far as the row; if not, it must be replaced by one that resumes from it.
    pub fn on_written(&mut self, state: &RolloutState, now: Instant) -> bool {
        if state.step == self.step + 1
            && let Some(event) = self.proposed
            && self.stage_after(event).phase() == state.phase()
        {
            self.proposed = None;
            self.slowest_write = self.slowest_write.max(now.since(self.proposed_at));
            self.advance(event, now);
        }
        if state.phase() == self.stage.phase() && state.step <= self.step {
            self.written_step = self.written_step.max(state.step);
            return true;
        }
        // A fault that was found while the step was written comes after that step, unless it was the last.
        if self.stage == RolloutStage::RolledBack && state.phase() != RolloutPhase::Completed {
            self.step = self.step.max(state.step + 1);
            return true;
        }
        state.step < self.step
    }

    fn stage_after(&self, event: RolloutEvent) -> RolloutStage {
        let mut stage = self.stage;
        ROLLOUT_CHART.advance(&mut stage, event);
        stage
    }

    /// When [`Self::poll`] is due without further reports; `None` once the rollout has ended.
    pub fn next_deadline(&self) -> Option<Instant> {
        (!self.stage.has_ended()).then_some(self.stage_ends_at)
    }

    /// The state in force.
    pub fn state(&self, now: Instant) -> RolloutState {
        RolloutState {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase: self.stage.phase().into(),
            share_permille: self.share_permille(),
            order: self.order.position,
            step: self.step,
            base: self.base.clone(),
            duration_ms: whole_ms(self.order.duration),
            elapsed_ms: whole_ms(self.elapsed(now)),
            written_unix_ms: 0,
        }
    }

    /// Share in force. The canary pauses while retries or a burst have used up what it may get.
    fn share_permille(&self) -> u32 {
        let (new_sent, all_sent) = self.sent_calls();
        let is_used_up = as_number(new_sent) > self.settings.canary_allowance(all_sent);
        if self.stage == RolloutStage::Canary && is_used_up {
            return 0;
        }
        self.stage.share_permille(self.canary_permille)
    }

    /// Fits the share of the canary to the rate of calls, once that is known.
    fn adapt_canary(&mut self, now: Instant) {
        let counted = now.since(self.counted_from);
        let (_, all_sent) = self.sent_calls();
        if self.stage != RolloutStage::Canary || counted < RATE_TIME || all_sent == 0 {
            return;
        }
        let calls_per_s = as_number(all_sent) / counted.as_secs_f64();
        let duration = self.order.duration;
        let permille = self.settings.canary_permille(calls_per_s, duration);
        let change = f64::from(permille) / f64::from(self.canary_permille.max(1));
        if !(1.0 / MIN_SHARE_CHANGE..MIN_SHARE_CHANGE).contains(&change) {
            self.canary_permille = permille;
        }
    }

    fn find_fault(&mut self, now: Instant) -> Option<RolloutFault> {
        let mut limits = match self.stage {
            RolloutStage::Ordered | RolloutStage::Canary => CANARY_LIMITS,
            RolloutStage::Drain => DRAIN_LIMITS,
            _ => PROMOTED_LIMITS,
        };
        if self.elapsed(now) < self.settings.cold_time {
            limits.slow_factor = None;
        }
        let recent = self.history.recent(now);
        let total = &self.history.total;
        find_fault(&recent, total, &limits).or_else(|| find_fault(total, total, &limits))
    }

    /// The step that is due, if any.
    fn due_event(&self, now: Instant) -> Option<RolloutEvent> {
        let is_over = self.stage_ends_at.is_past(now);
        let has_expired = self.ends_at.is_past(now);
        match self.stage {
            RolloutStage::Ordered if has_expired => Some(RolloutEvent::DurationEnded),
            RolloutStage::Ordered => Some(RolloutEvent::Recorded),
            RolloutStage::Canary if is_over && !has_expired && self.may_promote() => {
                Some(RolloutEvent::CanaryPassed)
            }
            RolloutStage::Canary if has_expired => Some(RolloutEvent::DurationEnded),
            RolloutStage::Ramp if is_over => Some(RolloutEvent::RampPassed),
            RolloutStage::Watch if is_over => Some(RolloutEvent::WatchPassed),
            RolloutStage::Drain if is_over => Some(RolloutEvent::DrainPassed),
            _ => None,
        }
    }

    /// A version that has not answered yet may have no targets.
    fn may_promote(&self) -> bool {
        self.history.total.has_new_answers()
    }

    fn advance(&mut self, event: RolloutEvent, now: Instant) {
        let stage = self.stage;
        ROLLOUT_CHART.advance(&mut self.stage, event);
        if self.stage != stage {
            self.step += 1;
            self.stage_ends_at = self.stage_end(now);
        }
    }

    /// The moment at which this part of the duration has passed; the start of the process if that was before
    /// it.
    fn at_part(&self, part: f64) -> Instant {
        let left = self.order.duration.mul_f64((1.0 - part).max(0.0));
        let left_us = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        Instant::from_micros(self.ends_at.as_micros().saturating_sub(left_us))
    }

    /// Time since the order.
    fn elapsed(&self, now: Instant) -> Duration {
        let left = self.ends_at.since(now);
        self.order.duration.saturating_sub(left) + now.since(self.ends_at)
    }

    /// Time that this number of writes takes at the store, at most a quarter of the duration.
    fn write_time_us(&self, writes: u32) -> u64 {
        let time = (self.slowest_write * writes).min(self.order.duration / 4);
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    }

    /// When the stage that begins now may end.
    fn stage_end(&self, now: Instant) -> Instant {
        let duration = self.order.duration;
        let settings = &self.settings;
        match self.stage {
            RolloutStage::Canary => {
                let end = self.at_part(settings.canary_end).as_micros();
                Instant::from_micros(end.saturating_sub(self.write_time_us(REMAINING_WRITES)))
            }
            RolloutStage::Ramp => now.after(duration.mul_f64(settings.ramp_length)),
            RolloutStage::Watch => now.after(duration.mul_f64(settings.watch_length)),
            RolloutStage::Drain => {
                let last_writes = self.write_time_us(LAST_WRITES);
                let latest = self.ends_at.as_micros().saturating_sub(last_writes);
                let completion = self.at_part(settings.completion);
                let completion = completion.min(Instant::from_micros(latest));
                completion.max(now.after(settings.min_drain))
            }
            _ => now,
        }
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
