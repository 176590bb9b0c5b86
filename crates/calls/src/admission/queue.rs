//! Slots and queue of one target.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::{Bound, Range};
use std::time::Duration;

use agatedeck_clock::Instant;

use super::fair_queue::{FairQueue, WorkspaceKey};
use super::rate_limit::RateLimit;
use super::service_time_table::{ClassKey, ServiceTimeTable};
use super::types::{
    AdmissionEffect, AdmissionRequest, AdmissionSettings, CallId, ROUTE_PRIORITIES, RefusalReason,
};

/// Number of steps in which the slots of a warming target are opened.
const WARM_UP_STEPS: u32 = 8;

/// Divisor of the mean service time that gives the time for which a call may wait although its
/// answer will be late. Such calls fill short gaps between those that can be in time.
const LATE_WAIT_DIVISOR: u32 = 4;

/// Divisor of the calls that gives the share of less urgent workspaces: one call in this many is theirs while
/// they wait. More urgent workspaces may offer more calls than a target can run for a long time.
const MIN_SHARE_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct CallEntry {
    priority: u32,
    workspace: WorkspaceKey,
    class: Option<ClassKey>,
    deadline: Instant,
    /// Time at which the call is refused if it is still queued.
    queue_deadline: Instant,
    /// Whether the call states until when its answer is useful, so that it is refused as soon as it
    /// is expected to be late.
    displaceable: bool,
    /// Time at which the call was sent to the target; `None` while it is queued.
    started_at: Option<Instant>,
}

/// Slots and queue of one target.
///
/// Invariants: a call is refused only before it is run; at most
/// [`slots`](AdmissionSettings::slots) calls run and [`queue`](AdmissionSettings::queue) calls are
/// queued; no call is queued while a slot is open and the rate limit allows a call; no call is run
/// after its deadline.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    calls: HashMap<CallId, CallEntry>,
    /// Calls by priority, most urgent first.
    fair_queues: BTreeMap<u32, FairQueue>,
    weights: HashMap<String, u32>,
    /// Queued calls by the time at which they are refused.
    queue_deadlines: BTreeSet<(Instant, CallId)>,
    running: u32,
    /// Calls that have run since one of a less urgent workspace did, while such calls were queued.
    passed_over: u32,
    /// First priority of the less urgent workspaces of which a call ran last in their turn.
    last_yielded: u32,
    service_times: ServiceTimeTable,
    rate_limit: RateLimit,
    warm_up_ends_at: Instant,
    draining: bool,
    drained_reported: bool,
    /// Whether the target accepts no calls at present.
    closed: bool,
}

/// Most urgent priority of the calls of workspaces that are as urgent as that of a call.
fn first_of_workspace(priority: u32) -> u32 {
    priority - priority % ROUTE_PRIORITIES
}

impl AdmissionQueue {
    /// Creates the queue of a target that starts to warm up at `now`.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        Self {
            warm_up_ends_at: now.after(Duration::from_millis(settings.warm_up_ms.into())),
            settings,
            calls: HashMap::new(),
            fair_queues: BTreeMap::new(),
            weights: HashMap::new(),
            queue_deadlines: BTreeSet::new(),
            running: 0,
            passed_over: 0,
            last_yielded: 0,
            service_times: ServiceTimeTable::default(),
            rate_limit: RateLimit::new(now),
            draining: false,
            drained_reported: false,
            closed: false,
        }
    }

    /// Sets the weight of a workspace in deficit round robin; the default is 1.
    pub fn set_weight(&mut self, workspace: &str, weight: u32) {
        for queue in self.fair_queues.values_mut() {
            queue.set_weight(workspace, weight);
        }
        self.weights.insert(workspace.to_owned(), weight);
    }

    /// Applies changed settings of the endpoint policy. Running and queued calls are kept.
    pub fn set_settings(
        &mut self,
        settings: AdmissionSettings,
        now: Instant,
    ) -> Vec<AdmissionEffect> {
        self.settings = settings;
        self.tick(now)
    }

    /// Runs, queues or refuses a call. A queued call gives no effect until it is run or refused.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>, now: Instant) -> Vec<AdmissionEffect> {
        let mut effects = self.tick(now);
        let class = self.service_times.get_or_insert(request.class);
        let queue_deadline = self.queue_deadline(request, class, now);
        let due_at = request.due_at(self.service_times.estimate(class).mean(), now);
        let ahead = self.queued_ahead(request, due_at);
        if let Some(reason) = self.refusal_reason(request, class, queue_deadline, ahead, now) {
            effects.push(AdmissionEffect::Refuse(request.call, reason));
            return effects;
        }
        let priority = request.priority;
        let workspace = self.workspace_key(priority, request.workspace);
        if self.must_queue(now) {
            let reason = self.ensure_queue_space(priority, workspace, &mut effects);
            if let Some(reason) = reason {
                self.remove_if_idle(priority, workspace);
                effects.push(AdmissionEffect::Refuse(request.call, reason));
                return effects;
            }
        }
        let entry = CallEntry {
            priority,
            workspace,
            class,
            deadline: request.deadline,
            queue_deadline,
            displaceable: request.useful_until.is_some(),
            started_at: None,
        };
        self.calls.insert(request.call, entry);
        self.queue_mut(priority)
            .push(workspace, due_at, request.call);
        self.queue_deadlines.insert((queue_deadline, request.call));
        self.fill_slots(now, &mut effects);
        self.refuse_displaced(now, &mut effects);
        effects
    }

    /// Frees the slot of a call that has ended at the target.
    pub fn release(&mut self, call: CallId, now: Instant) -> Vec<AdmissionEffect> {
        let entry = self.calls.get(&call);
        let running = entry.and_then(|entry| Some((entry.class, entry.started_at?)));
        if let Some((class, started_at)) = running {
            self.service_times.record(class, now.since(started_at));
            self.free_slot(call);
        }
        self.tick(now)
    }

    /// Frees the slot of a call that the target did not finish, because it was stopped or the target
    /// failed. Its duration is not used to estimate the service time.
    pub fn abandon(&mut self, call: CallId, now: Instant) -> Vec<AdmissionEffect> {
        if self.is_running(call) {
            self.free_slot(call);
        }
        self.tick(now)
    }

    /// Cancels a call. A queued call is removed. A running call is stopped, and keeps its slot until
    /// it is released because the target may still be working on it.
    pub fn cancel(&mut self, call: CallId, now: Instant) -> Vec<AdmissionEffect> {
        if self.is_running(call) {
            return vec![AdmissionEffect::Stop(call)];
        }
        self.unqueue(call);
        self.tick(now)
    }

    /// Refuses new calls from now on. Queued and running calls continue;
    /// [`AdmissionEffect::Drained`] follows when none is left.
    pub fn drain(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        self.draining = true;
        self.tick(now)
    }

    /// Refuses queued calls, and new calls until [`Self::reopen`]. Running calls continue.
    pub fn close(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        self.closed = true;
        let waiting: Vec<CallId> = self.queue_deadlines.iter().map(|&(_, call)| call).collect();
        let mut effects = Vec::new();
        for call in waiting {
            self.unqueue(call);
            effects.push(AdmissionEffect::Refuse(call, RefusalReason::Draining));
        }
        effects.extend(self.tick(now));
        effects
    }

    /// Accepts calls again after [`Self::close`]; few of them until the target has answered.
    pub fn reopen(&mut self, now: Instant) {
        self.closed = false;
        self.rate_limit.open(now);
    }

    /// Records the calls per second that the target accepts as of its last answer, or that it states
    /// no limit.
    pub fn record_rate_limit(&mut self, stated: Option<f64>, now: Instant) -> Vec<AdmissionEffect> {
        self.rate_limit.record(stated, now);
        self.tick(now)
    }

    /// Records that the target gave no usable answer to a call.
    pub fn record_unusable_answer(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        self.rate_limit.record_unusable(now);
        self.tick(now)
    }

    /// Whether the rate of calls is limited. While it is, every answer must be passed to
    /// [`Self::record_rate_limit`].
    pub fn is_rate_limited(&self) -> bool {
        self.rate_limit.is_active()
    }

    /// The calls per second that the target accepts, if it states a limit.
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.stated_rate()
    }

    /// Expected time until a call of this priority that arrives now gets a slot.
    pub fn expected_queue_wait(&self, priority: u32, now: Instant) -> Duration {
        if !self.must_queue(now) {
            return Duration::ZERO;
        }
        let fair_queues = self.fair_queues.range(..=priority);
        self.queue_wait_behind(fair_queues.map(|(_, queue)| queue.queued()).sum(), now)
    }

    /// Expected time until a call of this priority and class that arrives now is answered; `None`
    /// while the target accepts no calls.
    pub fn expected_latency(&self, priority: u32, class: &str, now: Instant) -> Option<Duration> {
        if self.draining || self.closed {
            return None;
        }
        let estimate = self.service_times.estimate(self.service_times.find(class));
        Some(self.expected_queue_wait(priority, now) + estimate.upper_bound())
    }

    /// Starts the warm-up again after the target has restarted.
    pub fn restart_warm_up(&mut self, now: Instant) {
        self.warm_up_ends_at = now.after(Duration::from_millis(self.settings.warm_up_ms.into()));
    }

    /// Refuses queued calls whose time has run out and fills open slots. Must be called at
    /// [`next_deadline`](Self::next_deadline).
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        self.rate_limit.refresh(now);
        while let Some(&(deadline, call)) = self.queue_deadlines.first()
            && deadline.is_past(now)
        {
            self.unqueue(call);
            effects.push(AdmissionEffect::Refuse(call, RefusalReason::Deadline));
        }
        self.fill_slots(now, &mut effects);
        if self.draining && self.calls.is_empty() && !self.drained_reported {
            self.drained_reported = true;
            effects.push(AdmissionEffect::Drained);
        }
        effects
    }

    /// Time at which [`tick`](Self::tick) must be called, if calls are queued.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let &(mut deadline, _) = self.queue_deadlines.first()?;
        if self.running < self.open_slots(now) {
            deadline = deadline.min(now.after(self.rate_limit.wait_for(1)));
        }
        if self.warm_up_ends_at.is_past(now) {
            return Some(deadline);
        }
        let step = Duration::from_millis(self.settings.warm_up_ms.into()) / WARM_UP_STEPS;
        Some(deadline.min(now.after(step.max(Duration::from_millis(1)))))
    }

    /// Number of calls that run at the target.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue_deadlines.len()
    }

    /// Load to report to callers' nodes: running and queued calls divided by slots, or the used part
    /// of the rate limit if that is more. Above 1 if more calls are here than the target has slots.
    pub fn load(&self) -> f64 {
        let count = |calls: usize| u32::try_from(calls).unwrap_or(u32::MAX);
        let slots = f64::from(self.settings.slots.max(1));
        let slot_load = f64::from(count(self.calls.len())) / slots;
        slot_load.max(self.rate_limit.load(count(self.queued())))
    }

    /// Whether a call that arrives now has to wait.
    fn must_queue(&self, now: Instant) -> bool {
        self.running >= self.open_slots(now) || !self.rate_limit.allows_call()
    }

    /// Number of open slots; fewer than all while the target warms up.
    pub fn open_slots(&self, now: Instant) -> u32 {
        let slots = self.settings.slots.max(1);
        if self.warm_up_ends_at.is_past(now) {
            return slots;
        }
        let total_us = u128::from(self.settings.warm_up_ms).max(1) * 1_000;
        let left_us = self.warm_up_ends_at.since(now).as_micros();
        let steps_left = (left_us * u128::from(WARM_UP_STEPS)).div_ceil(total_us);
        let steps_left = u32::try_from(steps_left).unwrap_or(WARM_UP_STEPS);
        let steps = (WARM_UP_STEPS + 1).saturating_sub(steps_left).max(1);
        (slots * steps / WARM_UP_STEPS).max(1)
    }

    /// Time until which a call that arrives now may be queued: as long as it can still be answered
    /// while the answer is of full use, but at least a fraction of the service time, and never past
    /// its deadline.
    fn queue_deadline(
        &self,
        request: &AdmissionRequest<'_>,
        class: Option<ClassKey>,
        now: Instant,
    ) -> Instant {
        let Some(useful_until) = request.useful_until else {
            return request.deadline;
        };
        let estimate = self.service_times.estimate(class);
        let max_wait = useful_until
            .since(now)
            .saturating_sub(estimate.upper_bound());
        let min_wait = self.service_times.overall().mean() / LATE_WAIT_DIVISOR;
        request.deadline.min(now.after(max_wait.max(min_wait)))
    }

    /// Returns why a call that arrives now must be refused, if so.
    fn refusal_reason(
        &self,
        request: &AdmissionRequest<'_>,
        class: Option<ClassKey>,
        queue_deadline: Instant,
        ahead: usize,
        now: Instant,
    ) -> Option<RefusalReason> {
        if self.draining || self.closed {
            return Some(RefusalReason::Draining);
        }
        let starts_at = now.after(self.queue_wait_behind(ahead, now));
        if self.must_queue(now) && request.useful_until.is_some() && starts_at > queue_deadline {
            return Some(RefusalReason::QueueFull);
        }
        let answered_at = now.after(self.admission_latency(class, ahead, now));
        let misses_deadline = request.deadline.is_past(now) || request.deadline < answered_at;
        misses_deadline.then_some(RefusalReason::Deadline)
    }

    /// Latency with which the deadline of a call that arrives now is compared: the minimum if a slot
    /// is open, the expected one if the call must be queued.
    ///
    /// The service time is that of the class. With one estimate over all classes, the short calls that
    /// targets make while they run a call would count as late as soon as long calls hold all slots, and
    /// the calls that need them would fail.
    fn admission_latency(&self, class: Option<ClassKey>, ahead: usize, now: Instant) -> Duration {
        let slots = self.open_slots(now);
        let estimate = self.service_times.estimate(class);
        if !self.rate_limit.allows_call() {
            let wait = self.queue_wait_behind(ahead, now);
            return wait.saturating_add(estimate.upper_bound());
        }
        // With a slot open, a call is refused only if its deadline is shorter than the shortest
        // recent call, since an idle slot has no use. With more than half of the slots open, even
        // such a call is admitted to measure the service time again; otherwise a slow period or a
        // few long calls could cause every later short call to be refused.
        if self.running < slots.div_ceil(2) {
            return Duration::ZERO;
        }
        if self.running < slots {
            return estimate.shortest();
        }
        let wait = self.queue_wait_behind(ahead, now);
        wait.saturating_add(estimate.upper_bound())
    }

    /// Expected number of queued calls that run before a call that arrives now: those that are more
    /// urgent, and those of the same priority that fair queueing puts before it.
    fn queued_ahead(&self, request: &AdmissionRequest<'_>, due_at: Instant) -> usize {
        let more_urgent_routes =
            self.queued_in(first_of_workspace(request.priority)..request.priority);
        let queue = self.fair_queues.get(&request.priority);
        let same_priority = queue.map_or(0, |queue| queue.queued_before(request.workspace, due_at));
        self.with_more_urgent_workspaces(request.priority, more_urgent_routes + same_priority)
    }

    fn queued_in(&self, priorities: Range<u32>) -> usize {
        let queues = self.fair_queues.range(priorities);
        queues.map(|(_, queue)| queue.queued()).sum()
    }

    /// Number of calls that run before one that runs after `ahead` calls of workspaces as urgent as its own:
    /// of more urgent workspaces, at most as many as its minimum share allows.
    fn with_more_urgent_workspaces(&self, priority: u32, ahead: usize) -> usize {
        let more_urgent = self.queued_in(0..first_of_workspace(priority));
        if more_urgent == 0 {
            return ahead;
        }
        let runs_between = MIN_SHARE_DIVISOR as usize * self.less_urgent_levels() - 1;
        ahead + more_urgent.min((ahead + 1) * runs_between)
    }

    /// Removes and returns the call that runs next: the most urgent one, but from time to time the most
    /// urgent one of less urgent workspaces.
    fn pop_next(&mut self, max_running: u32) -> Option<CallId> {
        let mut queues = self.fair_queues.iter();
        let most_urgent = queues.find(|(_, queue)| queue.queued() > 0)?;
        let most_urgent = *most_urgent.0;
        let first_of_others = first_of_workspace(most_urgent).saturating_add(ROUTE_PRIORITIES);
        // Less urgent workspaces of several levels take turns.
        let after_last = self.last_yielded.saturating_add(ROUTE_PRIORITIES);
        let other = self.first_queued(first_of_others.max(after_last));
        let other = other.or_else(|| self.first_queued(first_of_others));
        let Some(other) = other else {
            self.passed_over = 0;
            return self.queue_mut(most_urgent).pop(max_running);
        };
        self.passed_over += 1;
        let is_turn_of_others = self.passed_over >= MIN_SHARE_DIVISOR;
        if is_turn_of_others {
            self.passed_over = 0;
            self.last_yielded = first_of_workspace(other);
        }
        let priority = if is_turn_of_others {
            other
        } else {
            most_urgent
        };
        self.queue_mut(priority).pop(max_running)
    }

    /// Most urgent priority from `first` on that has queued calls.
    fn first_queued(&self, first: u32) -> Option<u32> {
        let mut candidates = self.fair_queues.range(first..);
        let first_queue = candidates.find(|(_, queue)| queue.queued() > 0);
        first_queue.map(|(&priority, _)| priority)
    }

    /// Number of levels of workspaces with queued calls that are less urgent than the most urgent one; at
    /// least 1.
    fn less_urgent_levels(&self) -> usize {
        let waiting = self.fair_queues.iter();
        let waiting = waiting.filter(|(_, queue)| queue.queued() > 0);
        let levels: BTreeSet<u32> = waiting
            .map(|(&priority, _)| first_of_workspace(priority))
            .collect();
        levels.len().saturating_sub(1).max(1)
    }

    /// Expected time until a call with `ahead` queued calls before it gets a slot, if it has to wait.
    fn queue_wait_behind(&self, ahead: usize, now: Instant) -> Duration {
        let position = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let slots = self.open_slots(now).max(1);
        let rate_wait = self.rate_limit.wait_for(position);
        if self.running < slots && !rate_wait.is_zero() {
            return rate_wait;
        }
        let slot_wait = self.service_times.overall().mean().saturating_mul(position) / slots;
        slot_wait.max(rate_wait)
    }

    /// Refuses the call that runs last if it is now expected to get a slot too late, because calls
    /// with an earlier useful time were queued before it.
    fn refuse_displaced(&mut self, now: Instant, effects: &mut Vec<AdmissionEffect>) {
        let mut fair_queues = self.fair_queues.iter().rev();
        let last =
            fair_queues.find_map(|(&priority, queue)| Some((priority, queue.last_call_over(0)?)));
        let Some((priority, last)) = last else {
            return;
        };
        let same_workspaces =
            self.queued_in(first_of_workspace(priority)..priority.saturating_add(1));
        let ahead = self.with_more_urgent_workspaces(priority, same_workspaces - 1);
        let starts_at = now.after(self.queue_wait_behind(ahead, now));
        let displaced = self
            .calls
            .get(&last)
            .is_some_and(|entry| entry.displaceable && entry.queue_deadline < starts_at);
        if displaced {
            self.unqueue(last);
            effects.push(AdmissionEffect::Refuse(last, RefusalReason::QueueFull));
        }
    }

    fn queue_mut(&mut self, priority: u32) -> &mut FairQueue {
        self.fair_queues.entry(priority).or_default()
    }

    fn workspace_key(&mut self, priority: u32, workspace: &str) -> WorkspaceKey {
        let weight = self.weights.get(workspace).copied();
        let queue = self.fair_queues.entry(priority).or_default();
        if let Some(weight) = weight {
            queue.set_weight(workspace, weight);
        }
        queue.get_or_insert(workspace)
    }

    fn remove_if_idle(&mut self, priority: u32, workspace: WorkspaceKey) {
        self.queue_mut(priority).remove_if_idle(workspace);
    }

    /// Ensures that the queue has space for a call of `workspace`, by refusing another call if
    /// needed. Returns the reason to refuse the new call if there is none.
    fn ensure_queue_space(
        &mut self,
        priority: u32,
        workspace: WorkspaceKey,
        effects: &mut Vec<AdmissionEffect>,
    ) -> Option<RefusalReason> {
        let queue_limit = usize::try_from(self.settings.queue).unwrap_or(usize::MAX);
        let share = self.workspace_share(queue_limit);
        let queue = self.fair_queues.entry(priority).or_default();
        let queued = queue.get(workspace).queued.len();
        if queued >= share && queue.others_queued(workspace) {
            return Some(RefusalReason::TenantShare);
        }
        if self.queued() < queue_limit {
            return None;
        }
        // A less urgent call is displaced: of the least urgent ones, the one that would run last.
        let less_urgent = (Bound::Excluded(priority), Bound::Unbounded);
        let mut less_urgent = self.fair_queues.range(less_urgent).rev();
        if let Some(displaced) = less_urgent.find_map(|(_, queue)| queue.last_call_over(0)) {
            self.unqueue(displaced);
            effects.push(AdmissionEffect::Refuse(displaced, RefusalReason::QueueFull));
            return None;
        }
        // A workspace that filled the queue while it was the only one is displaced by one that is
        // below its share.
        let queue = self.queue_mut(priority);
        let displaced = (queued < share).then(|| queue.last_call_over(share));
        let Some(displaced) = displaced.flatten() else {
            return Some(RefusalReason::QueueFull);
        };
        self.unqueue(displaced);
        effects.push(AdmissionEffect::Refuse(
            displaced,
            RefusalReason::TenantShare,
        ));
        None
    }

    /// Part of `total` that one workspace may use while others compete for it; at least 1.
    fn workspace_share(&self, total: usize) -> usize {
        let percent = match self.settings.tenant_share_percent {
            1..100 => self.settings.tenant_share_percent as usize,
            _ => 100,
        };
        (total.saturating_mul(percent) / 100).max(1)
    }

    fn fill_slots(&mut self, now: Instant, effects: &mut Vec<AdmissionEffect>) {
        let slots = self.open_slots(now);
        let max_running = u32::try_from(self.workspace_share(slots as usize)).unwrap_or(slots);
        while self.running < slots
            && self.rate_limit.allows_call()
            && let Some(call) = self.pop_next(max_running)
        {
            let Some(entry) = self.calls.get_mut(&call) else {
                continue;
            };
            let (priority, workspace, deadline) = (entry.priority, entry.workspace, entry.deadline);
            self.queue_deadlines.remove(&(entry.queue_deadline, call));
            // While other calls are queued, no slot is used for a call that would miss its deadline.
            let others_queued = !self.queue_deadlines.is_empty();
            let estimate = self.service_times.estimate(entry.class);
            let late = others_queued && deadline < now.after(estimate.upper_bound());
            if late || deadline.is_past(now) {
                self.calls.remove(&call);
                self.remove_if_idle(priority, workspace);
                effects.push(AdmissionEffect::Refuse(call, RefusalReason::Deadline));
                continue;
            }
            entry.started_at = Some(now);
            self.queue_mut(priority).get_mut(workspace).running += 1;
            self.running += 1;
            self.rate_limit.take();
            effects.push(AdmissionEffect::Run(call));
        }
    }

    fn is_running(&self, call: CallId) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|entry| entry.started_at.is_some())
    }

    fn free_slot(&mut self, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        self.running = self.running.saturating_sub(1);
        let queue = self.queue_mut(entry.priority);
        let workspace = queue.get_mut(entry.workspace);
        workspace.running = workspace.running.saturating_sub(1);
        queue.remove_if_idle(entry.workspace);
    }

    fn unqueue(&mut self, call: CallId) {
        if self.is_running(call) {
            return;
        }
        if let Some(entry) = self.calls.remove(&call) {
            self.queue_deadlines.remove(&(entry.queue_deadline, call));
            let queue = self.queue_mut(entry.priority);
            queue.remove(entry.workspace, call);
            queue.remove_if_idle(entry.workspace);
        }
    }
}
