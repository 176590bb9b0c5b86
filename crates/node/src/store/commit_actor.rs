//! The actor that commits operators' changes, one at a time.

use std::time::Duration;

use agatedeck_control::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, DisseminationRequest,
    DisseminationScope, HEAD_KEY, SNAPSHOT_INTERVAL_VERSIONS, VersionOrigin, change_key, delta_key,
    snapshot_key, unreadable_nodes,
};
use agatedeck_records::{PlannedChange, compress, plan_change};
use agatedeck_store::{RowCondition, RowWrite, StoreError, StoreTransaction, TransactionOutcome};
use agatedeck_wire::{Change, Head, Offer, SpreadScope};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use prost::Message as _;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use super::catch_up::{CatchUpError, catch_up, read_head};
use crate::clock::unix_ms;
use crate::config::{ConfigActor, OfferVersion, ReadLatest};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};

/// Upper bound of the random pause before a store request is retried.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Commits the changes sent to this node. Its mailbox is the queue of changes.
#[derive(Actor)]
pub(crate) struct CommitActor {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
}

/// Commits a change; the operator expects an answer by `deadline`.
pub(crate) struct CommitChange {
    pub(crate) change: Change,
    pub(crate) deadline: Instant,
}

/// Outcome of a change; `None` if the node is stopping.
#[derive(Debug, kameo::Reply)]
pub(crate) struct CommitReply(pub(crate) Option<CommitOutcome>);

impl Message<CommitChange> for CommitActor {
    type Reply = CommitReply;

    async fn handle(
        &mut self,
        CommitChange { change, deadline }: CommitChange,
        _: &mut Context<Self, CommitReply>,
    ) -> CommitReply {
        let Ok(machine) = CommitMachine::new() else {
            return CommitReply(None);
        };
        let mut task = CommitTask {
            commit_actor: self,
            change: &change,
            machine,
            head: None,
            plan: None,
            written_plan: None,
        };
        let outcome = task.run(deadline).await;
        if let (Some(CommitOutcome::Accepted(_)), Some(plan)) = (&outcome, task.written_plan.take())
        {
            self.publish_version(plan).await;
        }
        CommitReply(outcome)
    }
}

impl CommitActor {
    async fn publish_version(&self, plan: PlannedChange) {
        let version = plan.delta.version;
        let delta = compress(&plan.delta);
        log::info!(
            event = "accepted",
            version,
            change = plan.delta.change_id;
            "change `{}` is accepted as version {version}",
            plan.delta.change_id
        );
        let scope = SpreadScope::Self_.into();
        let offer = Offer {
            version,
            delta: delta.clone(),
            scope,
            position: 0,
        };
        let request = DisseminationRequest {
            salt: version,
            scope: DisseminationScope::AllRegions,
        };
        let payload = DisseminationPayload::Version { version, delta };
        // The sends fail only while the node is stopping. The readers of the store then disseminate
        // the version.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
        let origin = VersionOrigin::Commit;
        let _ = self.config.ask(OfferVersion { offer, origin }).await;
    }
}

/// Executes the actions of the [`CommitMachine`] of one change.
struct CommitTask<'a> {
    commit_actor: &'a CommitActor,
    change: &'a Change,
    machine: CommitMachine,
    /// The head row and its revision.
    head: Option<(Head, u64)>,
    plan: Option<PlannedChange>,
    /// The plan whose write was committed, or may have been if the store did not answer.
    written_plan: Option<PlannedChange>,
}

impl CommitTask<'_> {
    async fn run(&mut self, deadline: Instant) -> Option<CommitOutcome> {
        let mut next = Some(CommitAction::ReadHead);
        while let Some(action) = next.take() {
            if action == CommitAction::Answer {
                break;
            }
            let event = tokio::select! {
                event = self.execute_action(action) => event,
                () = sleep_until(deadline) => CommitEvent::Deadline,
            };
            next = self.machine.advance(event).first().copied();
        }
        self.machine.outcome()
    }

    async fn execute_action(&mut self, action: CommitAction) -> CommitEvent {
        match action {
            CommitAction::RetryRead => {
                pause_before_retry().await;
                self.read_head().await
            }
            CommitAction::ReadHead => self.read_head().await,
            CommitAction::MakePlan => self.make_plan().await,
            CommitAction::Write => self.write().await,
            CommitAction::RetryLookUp => {
                pause_before_retry().await;
                self.find_change().await
            }
            CommitAction::LookUp | CommitAction::Answer => self.find_change().await,
        }
    }

    async fn read_head(&mut self) -> CommitEvent {
        let context = &self.commit_actor.context;
        let read = async {
            let (head, revision) = read_head(context).await?;
            // Their committers disseminate these versions.
            let mut committed = Vec::new();
            catch_up(context, &self.commit_actor.config, &head, &mut committed).await?;
            Ok::<_, CatchUpError>((head, revision))
        };
        match read.await {
            Ok(head) => {
                self.head = Some(head);
                CommitEvent::HeadRead
            }
            Err(error) => {
                log::warn!(event = "head-unread"; "could not read the latest version: {error}");
                CommitEvent::Unreachable
            }
        }
    }

    async fn make_plan(&mut self) -> CommitEvent {
        let Ok(latest) = self.commit_actor.config.ask(ReadLatest).await else {
            return CommitEvent::Deadline;
        };
        let plan = match plan_change(&latest.snapshot, self.change, unix_ms()) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.machine.set_refusal(CommitOutcome::Refused(refusal));
                return CommitEvent::PlanRefused;
            }
        };
        let table = self.commit_actor.context.table();
        let unreadable = unreadable_nodes(&plan.snapshot, table.live());
        if !unreadable.is_empty() && !self.change.insist {
            self.machine
                .set_refusal(CommitOutcome::Unreadable(unreadable));
            return CommitEvent::PlanRefused;
        }
        self.plan = Some(plan);
        CommitEvent::PlanMade
    }

    async fn write(&mut self) -> CommitEvent {
        let (Some(plan), Some((head, revision))) = (self.plan.take(), self.head.take()) else {
            return CommitEvent::Unreachable;
        };
        // The latest version changed after the head was read, so the transaction would fail.
        if plan.delta.version != head.version + 1 {
            return CommitEvent::ConditionFailed;
        }
        let context = &self.commit_actor.context;
        let head = match self.next_head(&plan, &head).await {
            Ok(head) => head,
            Err(error) => {
                log::warn!(event = "snapshot-unstored"; "could not store a snapshot: {error}");
                return CommitEvent::Unreachable;
            }
        };
        let transaction = commit_transaction(&plan, &head, revision);
        let result = context
            .store
            .transact(&transaction, context.store_deadline())
            .await;
        match result {
            Ok(TransactionOutcome::Committed(_)) => {
                self.machine.set_version(plan.delta.version);
                self.written_plan = Some(plan);
                CommitEvent::Committed
            }
            Ok(TransactionOutcome::Conflict(_)) => CommitEvent::ConditionFailed,
            Err(StoreError::Unreachable(_)) => CommitEvent::Unreachable,
            Err(error) => {
                log::warn!(event = "write-unanswered"; "no answer to the write of a change: {error}");
                self.written_plan = Some(plan);
                CommitEvent::Unanswered
            }
        }
    }

    /// The head row for `plan`. Stores a snapshot first if one is due, so that the head never
    /// refers to a missing object.
    async fn next_head(&self, plan: &PlannedChange, head: &Head) -> Result<Head, StoreError> {
        let (version, digest) = (plan.delta.version, plan.delta.digest.clone());
        if version < head.stored_snapshot + SNAPSHOT_INTERVAL_VERSIONS {
            return Ok(Head {
                version,
                digest,
                ..head.clone()
            });
        }
        let context = &self.commit_actor.context;
        let bytes = plan.snapshot.compressed();
        let key = snapshot_key(version, &digest);
        context
            .store
            .write_object(&key, &bytes, context.store_deadline())
            .await?;
        Ok(Head {
            version,
            stored_snapshot: version,
            stored_digest: digest.clone(),
            digest,
        })
    }

    async fn find_change(&mut self) -> CommitEvent {
        match find_change(&self.commit_actor.context, &self.change.change_id).await {
            ChangeLookup::Accepted(version) => {
                self.machine.set_version(version);
                let is_own_write = self
                    .written_plan
                    .as_ref()
                    .is_some_and(|plan| plan.delta.version == version);
                if !is_own_write {
                    self.written_plan = None;
                }
                CommitEvent::ChangeFound
            }
            ChangeLookup::Absent => CommitEvent::ChangeAbsent,
            ChangeLookup::Unknown => CommitEvent::Unreachable,
        }
    }
}

async fn pause_before_retry() {
    let pause = rand::rng().random_range(Duration::ZERO..MAX_RETRY_PAUSE);
    sleep(pause).await;
}

fn commit_transaction(plan: &PlannedChange, head: &Head, head_revision: u64) -> StoreTransaction {
    let version = plan.delta.version;
    let change = change_key(&plan.delta.change_id);
    let write = |key: String, value: Vec<u8>| RowWrite {
        key,
        value: Some(value),
    };
    StoreTransaction {
        conditions: vec![
            RowCondition {
                key: HEAD_KEY.to_owned(),
                revision: head_revision,
            },
            RowCondition {
                key: change.clone(),
                revision: 0,
            },
        ],
        writes: vec![
            write(HEAD_KEY.to_owned(), head.encode_to_vec()),
            write(delta_key(version), compress(&plan.delta)),
            write(change, version.to_string().into_bytes()),
        ],
    }
}

/// Result of looking up a change in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeLookup {
    /// The change was accepted as this version.
    Accepted(u64),
    /// The change has not been accepted so far.
    Absent,
    /// The store did not answer, or its row is invalid.
    Unknown,
}

/// Looks up a change by its id.
pub(crate) async fn find_change(context: &NodeContext, change_id: &str) -> ChangeLookup {
    let key = change_key(change_id);
    match context.store.read_row(&key, context.store_deadline()).await {
        Ok(None) => ChangeLookup::Absent,
        Ok(Some(row)) => {
            let version = std::str::from_utf8(&row.value)
                .ok()
                .and_then(|text| text.parse().ok());
            version.map_or(ChangeLookup::Unknown, ChangeLookup::Accepted)
        }
        Err(error) => {
            log::warn!(
                event = "look-up-failed",
                change = change_id;
                "could not look up change `{change_id}`: {error}"
            );
            ChangeLookup::Unknown
        }
    }
}
