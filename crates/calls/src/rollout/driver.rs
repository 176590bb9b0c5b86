//! The rollouts that the leading reader drives.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{RolloutCounts, RolloutPhase, RolloutState};
use derive_more::Display;

use super::chart::RolloutStage;
use super::evaluation::RolloutFault;
use super::machine::{RolloutMachine, RolloutOrder};
use super::settings::ExposureSettings;
use super::table::RolloutTable;

/// Time from the acknowledgement of an order until a reader has it: the answer of a feed of a store that
/// takes 240 ms.
const FEED_DELAY: Duration = Duration::from_millis(250);

/// Pause before a request to the store that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Status of a rollout, for the operator who ordered it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum RolloutStatus {
    /// The calls are being moved.
    Running,
    /// All calls go to the ordered version, and the targets of the earlier one may be stopped.
    Completed,
    /// No calls go to the ordered version.
    RolledBack,
}

/// A state that was read from the store, and the revision of its row. Both are empty without a row.
#[derive(Clone, Debug, Default)]
pub struct StoredRollout {
    /// The state, with the time since the order as of the read.
    pub state: Option<RolloutState>,
    /// Revision of the row; 0 without a row.
    pub revision: u64,
}

/// A new stage of a rollout, for the log.
#[derive(Clone, Debug)]
pub struct RolloutNotice {
    /// The order.
    pub order: RolloutOrder,
    /// The stage that began.
    pub stage: RolloutStage,
    /// Calls that were reported as sent to the new version.
    pub new_sent: u64,
    /// Calls that were reported as sent to any version.
    pub all_sent: u64,
    /// Why the rollout was rolled back, if results were the reason.
    pub fault: Option<RolloutFault>,
}

/// A request to the store for one rollout. Each must be answered by the method of [`RolloutDriver`] that it
/// names.
#[derive(Clone, Debug)]
pub enum RolloutRequest {
    /// Read the row of the state of this service; see [`RolloutDriver::on_row`].
    ReadRow(String),
    /// Replace the row of this revision by the state; see [`RolloutDriver::on_row_written`].
    WriteRow(RolloutState, u64),
    /// Write the status that the operator reads; see [`RolloutDriver::on_status_written`].
    WriteStatus(RolloutOrder, RolloutStatus),
}

/// One order, and the machine that carries it out.
#[derive(Debug)]
struct DrivenRollout {
    order: RolloutOrder,
    /// `None` until the row has been read.
    machine: Option<RolloutMachine>,
    revision: u64,
    needs_read: bool,
    written_status: Option<RolloutStatus>,
    is_requesting: bool,
    retry_at: Instant,
    noticed: Option<RolloutStage>,
}

impl DrivenRollout {
    fn new(order: RolloutOrder) -> Self {
        Self {
            order,
            machine: None,
            revision: 0,
            needs_read: true,
            written_status: None,
            is_requesting: false,
            retry_at: Instant::default(),
            noticed: None,
        }
    }

    /// The status of the last step that the store holds.
    fn due_status(&self, unwritten: Option<&RolloutState>) -> Option<RolloutStatus> {
        let machine = self.machine.as_ref()?;
        let status = match machine.stage() {
            RolloutStage::Ordered => return None,
            RolloutStage::Completed => RolloutStatus::Completed,
            RolloutStage::RolledBack => RolloutStatus::RolledBack,
            _ => RolloutStatus::Running,
        };
        // An end is stated only once no other driver can contradict it.
        let is_recorded = unwritten.is_none() || status == RolloutStatus::Running;
        (is_recorded && self.written_status != Some(status)).then_some(status)
    }

    fn next_request(&mut self, now: Instant) -> Option<RolloutRequest> {
        let unwritten = self.machine.as_mut().and_then(|machine| machine.poll(now));
        if self.is_requesting || !self.retry_at.is_past(now) {
            return None;
        }
        let request = if self.needs_read {
            RolloutRequest::ReadRow(self.order.service.clone())
        } else if let Some(status) = self.due_status(unwritten.as_ref()) {
            RolloutRequest::WriteStatus(self.order.clone(), status)
        } else {
            RolloutRequest::WriteRow(unwritten?, self.revision)
        };
        self.is_requesting = true;
        Some(request)
    }

    fn end_request(&mut self, is_answered: bool, now: Instant) {
        self.is_requesting = false;
        if !is_answered {
            self.retry_at = now.after(RETRY_PAUSE);
        }
    }

    /// The stage, if it has begun since the last call.
    fn take_notice(&mut self) -> Option<RolloutNotice> {
        let machine = self.machine.as_ref()?;
        let stage = machine.stage();
        if self.noticed.replace(stage) == Some(stage) {
            return None;
        }
        let (new_sent, all_sent) = machine.sent_calls();
        Some(RolloutNotice {
            order: self.order.clone(),
            stage,
            new_sent,
            all_sent,
            fault: machine.fault(),
        })
    }

    /// Whether nothing is left to do.
    fn is_settled(&self) -> bool {
        let machine = self.machine.as_ref();
        let has_ended = machine.is_some_and(|machine| machine.stage().has_ended());
        let status = self.written_status;
        has_ended
            && !self.needs_read
            && status.is_some_and(|status| status != RolloutStatus::Running)
    }
}

/// Drives the rollout of each order: reads its row, writes its steps and states its status.
///
/// A step is written on the revision of the row that was read, so of two drivers one wins each step. The other
/// one reads the row again and continues from there.
#[derive(Debug)]
pub struct RolloutDriver {
    settings: ExposureSettings,
    rollouts: BTreeMap<String, DrivenRollout>,
}

impl RolloutDriver {
    /// Creates a driver without orders.
    pub fn new(settings: ExposureSettings) -> Self {
        Self {
            settings,
            rollouts: BTreeMap::new(),
        }
    }

    /// Takes over orders that were read as a whole. The newest one of a service counts.
    pub fn add_orders(&mut self, orders: Vec<RolloutOrder>) {
        for order in orders {
            if self.is_newer(&order) {
                let service = order.service.clone();
                self.rollouts.insert(service, DrivenRollout::new(order));
            }
        }
    }

    /// Takes over an order that has just been written. Its rollout starts before its row is read, since the
    /// version gets calls like any other until then. `table` is what the node knows from heartbeats, and
    /// `versions` are those of the service's targets.
    pub fn start_order(
        &mut self,
        order: RolloutOrder,
        table: &RolloutTable,
        versions: &[String],
        now: Instant,
    ) {
        if !self.is_newer(&order) {
            return;
        }
        let service = order.service.clone();
        let earlier = match self.rollouts.get(&service) {
            Some(rollout) => rollout.machine.as_ref().map(|machine| machine.state(now)),
            None => table.state(&service, now),
        };
        // Without the state of an earlier order, only the row tells which versions may serve.
        let is_known = earlier.is_some() || !self.rollouts.contains_key(&service);
        let mut rollout = DrivenRollout::new(order);
        rollout.machine = is_known.then(|| {
            let earlier = earlier.as_ref();
            start_rollout(&rollout.order, earlier, versions, self.settings, now)
        });
        self.rollouts.insert(service, rollout);
    }

    fn is_newer(&self, order: &RolloutOrder) -> bool {
        let known = self.rollouts.get(&order.service);
        known.is_none_or(|known| known.order.position < order.position)
    }

    /// Whether the state of a rollout has yet to be read.
    pub fn is_pending(&self) -> bool {
        self.rollouts
            .values()
            .any(|rollout| rollout.machine.is_none())
    }

    /// Forgets all orders, as another node drives them.
    pub fn clear(&mut self) {
        self.rollouts.clear();
    }

    /// Whether there is work to do, so that [`Self::next_requests`] must be called.
    pub fn is_working(&self) -> bool {
        self.rollouts.values().any(|rollout| !rollout.is_settled())
    }

    /// Requests to the store that are due.
    pub fn next_requests(&mut self, now: Instant) -> Vec<RolloutRequest> {
        let rollouts = self.rollouts.values_mut();
        let requests = rollouts.filter_map(|rollout| rollout.next_request(now));
        requests.collect()
    }

    /// Returns the stages that have begun since the last call.
    pub fn take_notices(&mut self) -> Vec<RolloutNotice> {
        let rollouts = self.rollouts.values_mut();
        let notices = rollouts.filter_map(DrivenRollout::take_notice);
        notices.collect()
    }

    /// Records the report of a node.
    pub fn record(&mut self, counts: &[RolloutCounts], now: Instant) {
        for (service, rollout) in &mut self.rollouts {
            let Some(machine) = &mut rollout.machine else {
                continue;
            };
            let of_service = counts.iter().filter(|counts| counts.service == *service);
            let of_service: Vec<RolloutCounts> = of_service.cloned().collect();
            if !of_service.is_empty() {
                machine.record(&of_service, now);
            }
        }
    }

    /// The states that this driver answers for.
    pub fn states(&self, now: Instant) -> Vec<RolloutState> {
        let machines = self.rollouts.values();
        let machines = machines.filter_map(|rollout| rollout.machine.as_ref());
        machines.map(|machine| machine.state(now)).collect()
    }

    /// Handles that a state of another driver has arrived. If it is newer, the row is read, which decides.
    pub fn observe(&mut self, states: &[RolloutState], now: Instant) {
        for state in states {
            let Some(rollout) = self.rollouts.get_mut(&state.service) else {
                continue;
            };
            let own = rollout.machine.as_ref().map(|machine| machine.state(now));
            let is_newer = own.is_some_and(|own| (state.order, state.step) > (own.order, own.step));
            rollout.needs_read |= is_newer;
            // Its driver may have found the fault before the store answered, and may be gone by now.
            if is_newer
                && state.phase() == RolloutPhase::RolledBack
                && rollout.order.is_stated_by(state)
            {
                rollout.machine = RolloutMachine::resume(state, false, self.settings, now);
            }
        }
    }

    /// Handles the row of a service; `None` if it could not be read. `table` is what the node knows from
    /// heartbeats, and `versions` are those of the service's targets.
    pub fn on_row(
        &mut self,
        service: &str,
        stored: Option<StoredRollout>,
        table: &RolloutTable,
        versions: &[String],
        now: Instant,
    ) {
        let settings = self.settings;
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        rollout.end_request(stored.is_some(), now);
        let Some(stored) = stored else {
            return;
        };
        rollout.needs_read = false;
        rollout.revision = stored.revision;
        let order = &rollout.order;
        let of_order = |state: &&RolloutState| order.is_stated_by(state);
        // The position has another generation if the store has gone back to a copy.
        let stored_state = stored.state.as_ref().filter(of_order);
        let stored_state = stored_state.map(|state| RolloutState {
            order: order.position,
            ..state.clone()
        });
        let stored_state = stored_state.as_ref();
        if let (Some(machine), Some(state)) = (&mut rollout.machine, stored_state)
            && machine.on_written(state, now)
        {
            return;
        }
        let earlier = stored.state.as_ref();
        if earlier.is_some_and(|state| state.order > rollout.order.position) {
            // Another reader has seen a newer order, which this one will see too.
            rollout.needs_read = true;
            rollout.end_request(false, now);
            return;
        }
        if stored_state.is_none() && rollout.machine.is_some() {
            return;
        }
        let known = table.state(service, now);
        let known = known.as_ref().filter(of_order);
        rollout.machine = match (stored_state, known) {
            // The heartbeats tell the time since the order more exactly than the row.
            (Some(stored), Some(known)) if stored.step <= known.step => {
                let is_written = stored.step == known.step && stored.phase == known.phase;
                RolloutMachine::resume(known, is_written, settings, now)
            }
            (Some(stored), _) => RolloutMachine::resume(stored, true, settings, now),
            (None, Some(known)) => RolloutMachine::resume(known, false, settings, now),
            (None, None) => Some(start_rollout(
                &rollout.order,
                earlier,
                versions,
                settings,
                now,
            )),
        };
    }

    /// Handles the answer to a write of a row: the new revision, `None` if the row was another one, or an
    /// error.
    pub fn on_row_written(
        &mut self,
        state: &RolloutState,
        result: Result<Option<u64>, ()>,
        now: Instant,
    ) {
        let Some(rollout) = self.rollouts.get_mut(&state.service) else {
            return;
        };
        rollout.end_request(result.is_ok(), now);
        match result {
            Ok(Some(revision)) => {
                rollout.revision = revision;
                if let Some(machine) = &mut rollout.machine
                    && state.order == machine.order().position
                {
                    rollout.needs_read = !machine.on_written(state, now);
                }
            }
            Ok(None) => rollout.needs_read = true,
            Err(()) => {}
        }
    }

    /// Handles the answer to a write of a status.
    pub fn on_status_written(
        &mut self,
        order: &RolloutOrder,
        status: RolloutStatus,
        is_written: bool,
        now: Instant,
    ) {
        let Some(rollout) = self.rollouts.get_mut(&order.service) else {
            return;
        };
        rollout.end_request(is_written, now);
        if is_written && rollout.order == *order {
            rollout.written_status = Some(status);
        }
    }
}

/// Starts the rollout of an order. `earlier` is the state of the service's last rollout.
fn start_rollout(
    order: &RolloutOrder,
    earlier: Option<&RolloutState>,
    versions: &[String],
    settings: ExposureSettings,
    now: Instant,
) -> RolloutMachine {
    let earlier = earlier.and_then(|state| RolloutMachine::resume(state, true, settings, now));
    let mut base = earlier.map_or_else(Vec::new, |earlier| earlier.served_versions());
    if base.is_empty() {
        let known = versions.iter();
        let known = known.filter(|version| !version.is_empty() && **version != order.target);
        base = known.cloned().collect();
        base.sort_unstable();
        base.dedup();
    }
    let ends_at = now.after(order.duration.saturating_sub(FEED_DELAY));
    RolloutMachine::new(order.clone(), base, settings, ends_at)
}
