//! A change that one node is committing, with its effects applied as in `agatedeck-node`.

use agatedeck_control::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, unreadable_nodes,
};
use agatedeck_records::{ConfigSnapshot, PlannedChange, plan_change};
use agatedeck_wire::{Change, Head, Member};

use super::store::{CommitTransaction, ModelStore};

/// How a request to the store and its answer are delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestDelivery {
    /// The request runs and its answer arrives.
    Answered,
    /// The request runs and its answer is lost.
    AnswerLost,
    /// The request is not answered and runs later.
    Delayed,
    /// The request is lost before it runs.
    RequestLost,
    /// The store reports that it did not run the request.
    Unavailable,
}

#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) change: Change,
    pub(crate) machine: CommitMachine,
    pub(crate) next_action: CommitAction,
    pub(crate) head: Option<(Head, u64)>,
    plan: Option<PlannedChange>,
    written_plan: Option<PlannedChange>,
}

impl PendingChange {
    pub(crate) fn new(change: &Change) -> Self {
        Self {
            change: change.clone(),
            machine: CommitMachine::new().unwrap(),
            next_action: CommitAction::ReadHead,
            head: None,
            plan: None,
            written_plan: None,
        }
    }

    /// Applies `event` and returns the outcome once there is one.
    pub(crate) fn apply_event(&mut self, event: CommitEvent) -> Option<CommitOutcome> {
        if let Some(action) = self.machine.advance(event).last() {
            self.next_action = *action;
        }
        self.machine.outcome()
    }

    /// Takes the plan that was written, if the change was committed by this very write.
    pub(crate) fn take_committed_plan(&mut self, version: u64) -> Option<PlannedChange> {
        self.written_plan
            .take()
            .filter(|plan| plan.delta.version == version)
    }

    pub(crate) fn make_plan(&mut self, latest: &ConfigSnapshot, live: &[Member]) -> CommitEvent {
        let plan = match plan_change(latest, &self.change, 0) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.machine.set_refusal(CommitOutcome::Refused(refusal));
                return CommitEvent::PlanRefused;
            }
        };
        let unreadable = unreadable_nodes(&plan.snapshot, live.iter());
        if !unreadable.is_empty() {
            self.machine
                .set_refusal(CommitOutcome::Unreadable(unreadable));
            return CommitEvent::PlanRefused;
        }
        self.plan = Some(plan);
        CommitEvent::PlanMade
    }

    pub(crate) fn write(
        &mut self,
        store: &mut ModelStore,
        delayed_transactions: &mut Vec<CommitTransaction>,
        delivery: RequestDelivery,
    ) -> CommitEvent {
        let (Some(plan), Some((head, head_revision))) = (self.plan.take(), self.head.take()) else {
            return CommitEvent::Unreachable;
        };
        if plan.delta.version != head.version + 1 {
            return CommitEvent::ConditionFailed;
        }
        let transaction = CommitTransaction {
            head_revision,
            plan: plan.clone(),
            change: self.change.clone(),
        };
        if store.unavailable {
            return CommitEvent::Unreachable;
        }
        match delivery {
            RequestDelivery::Unavailable => return CommitEvent::Unreachable,
            RequestDelivery::Answered => {
                if !store.commit(&transaction) {
                    return CommitEvent::ConditionFailed;
                }
                self.machine.set_version(plan.delta.version);
                self.written_plan = Some(plan);
                return CommitEvent::Committed;
            }
            RequestDelivery::AnswerLost => drop(store.commit(&transaction)),
            RequestDelivery::Delayed => delayed_transactions.push(transaction),
            RequestDelivery::RequestLost => {}
        }
        self.written_plan = Some(plan);
        CommitEvent::Unanswered
    }

    pub(crate) fn look_up(&mut self, store: &ModelStore, delivery: RequestDelivery) -> CommitEvent {
        if store.unavailable || !matches!(delivery, RequestDelivery::Answered) {
            return CommitEvent::Unreachable;
        }
        match store.change_version(&self.change.change_id) {
            Some(version) => {
                self.machine.set_version(version);
                CommitEvent::ChangeFound
            }
            None => CommitEvent::ChangeAbsent,
        }
    }
}
