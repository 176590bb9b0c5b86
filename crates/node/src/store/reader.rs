//! The task that reads new versions while this node is one of the readers, and disseminates them.
//!
//! The decision when to read is that of [`ReaderMachine`]. The task owns the machine, the position in the
//! feed and the reads in progress, and receives the heartbeats of other readers as messages.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::RolloutOrder;
use agatedeck_control::{
    ConfirmedVersion, DisseminationRequest, DisseminationScope, JoinState, ReadRange,
    ReaderMachine, ReaderSettings, ReaderState, ScheduledRead,
};
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use kameo::actor::ActorRef;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use super::catch_up::{CatchUpError, NewVersion, latest_version};
use super::version_source::{SourceAnswer, SourceRead, VersionHandover, VersionSource};
use crate::adapters::FeedPosition;
use crate::config::ConfigActor;
use crate::confirmation::{ConfirmationMessage, ConfirmationSender};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};
use crate::rollout::{OrdersReceived, ReadOrders, RolloutActor, SetLeading, SourceAnswered};

/// Maximum pause between two checks whether membership changes have made this node a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a read that confirms the version is abandoned.
const CONFIRMING_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Message to the reading task.
#[derive(Clone, Debug)]
pub(crate) enum ReaderMessage {
    /// A heartbeat of the leading reader `node` has arrived, which holds `version`, the newest one up to
    /// `position`.
    Heartbeat {
        node: String,
        version: u64,
        position: Option<FeedPosition>,
    },
    /// The rollouts that this node drives have changed, which others must learn at once.
    RolloutsChanged,
    /// This node holds the newest version that the feed had up to this position.
    PositionReached(FeedPosition),
    /// This node has no recent confirmation of its version, and a read must show the newest one, whether or
    /// not the node is a reader.
    ConfirmationNeeded,
}

/// Sender of messages to the reading task.
pub(crate) type ReaderSender = mpsc::Sender<ReaderMessage>;

/// Receiver of these messages, owned by the reading task.
pub(crate) type ReaderReceiver = mpsc::Receiver<ReaderMessage>;

/// Dependencies of the reading task.
#[derive(Debug)]
pub(crate) struct VersionReader {
    pub(crate) context: NodeContext,
    pub(crate) source: Arc<dyn VersionSource>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
    pub(crate) rollouts: ActorRef<RolloutActor>,
    pub(crate) messages: ReaderReceiver,
    pub(crate) confirmations: ConfirmationSender,
    /// Publishes the generation of the feed, as of the newest position that this node knows.
    pub(crate) generation: watch::Sender<Option<u64>>,
}

impl VersionReader {
    fn publish_generation(&self, position: Option<FeedPosition>) {
        let generation = position.map(|position| position.generation);
        self.generation.send_if_modified(|published| {
            let is_new = generation > *published;
            if is_new {
                *published = generation;
            }
            is_new
        });
    }
}

type ReadResult = Result<SourceAnswer, CatchUpError>;

/// Reads versions until the task is aborted.
pub(crate) async fn run_reader(mut reader: VersionReader) {
    // Before the node serves, the join reads the newest version and the other nodes are unknown.
    let mut phase = reader.context.phase.clone();
    if phase
        .wait_for(|phase| *phase == JoinState::Serving)
        .await
        .is_err()
    {
        return;
    }
    ReadLoop::new(&reader.context).run(&mut reader).await;
}

/// State of the reading task.
struct ReadLoop {
    machine: ReaderMachine,
    rng: SmallRng,
    /// Reads in progress. More than one only while the source does not answer.
    reads: FuturesUnordered<BoxFuture<'static, ReadResult>>,
    /// Reads that confirm versions, beside those of the role of this node.
    confirming_reads: FuturesUnordered<BoxFuture<'static, ReadResult>>,
    /// Position after the last answer; `None` before the first one.
    position: Option<FeedPosition>,
    /// Position up to which this node holds the newest version.
    held_position: Option<FeedPosition>,
    /// The newest version that this node has read or held. It may not be held yet.
    newest_version: u64,
    /// Versions that are being offered to the config actor. Later reads begin after them, so these are
    /// never dropped.
    handovers: FuturesUnordered<VersionHandover>,
    logged_state: ReaderState,
    unavailable: bool,
    /// Whether this node was told to drive rollouts.
    drives_rollouts: bool,
}

impl ReadLoop {
    fn new(context: &NodeContext) -> Self {
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let settings = ReaderSettings::default();
        let now = context.clock.now();
        let live_nodes = context.table().live().count();
        let node = &context.local_member.node;
        let machine = ReaderMachine::new(node, live_nodes, settings, now, &mut rng);
        Self {
            logged_state: machine.state(),
            machine,
            rng,
            reads: FuturesUnordered::new(),
            confirming_reads: FuturesUnordered::new(),
            position: None,
            held_position: None,
            newest_version: 0,
            handovers: FuturesUnordered::new(),
            unavailable: false,
            drives_rollouts: false,
        }
    }

    async fn run(mut self, reader: &mut VersionReader) {
        loop {
            // A read begins after the position that messages tell.
            while let Ok(message) = reader.messages.try_recv() {
                self.handle_message(reader, message).await;
            }
            self.start_due_read(reader).await;
            let clock = reader.context.clock;
            let latest = clock.now().after(ROLE_CHECK_INTERVAL);
            let wake_up = clock.runtime_instant(self.machine.next_deadline().min(latest));
            tokio::select! {
                Some(result) = self.reads.next() => self.handle_read(reader, result).await,
                Some(result) = self.confirming_reads.next() => self.handle_confirming_read(reader, result).await,
                Some(result) = self.handovers.next() => self.handle_handover(reader, result).await,
                Some(message) = reader.messages.recv() => self.handle_message(reader, message).await,
                () = sleep_until(wake_up) => {}
            }
        }
    }

    async fn start_due_read(&mut self, reader: &VersionReader) {
        let context = &reader.context;
        let (table, now) = (context.table(), context.clock.now());
        let policy = &context.dissemination_policy;
        let interval = policy.poll_interval(&table, &context.local_member);
        self.machine.set_view(interval, table.live().count(), now);
        if let Some(ScheduledRead {
            range,
            wait,
            deadline,
        }) = self.machine.poll(now, &mut self.rng)
        {
            let read = SourceRead {
                after: match range {
                    ReadRange::Changes => self.position,
                    ReadRange::Newest => None,
                },
                wait,
                deadline: context.clock.runtime_instant(deadline),
            };
            self.reads.push(reader.source.read(read));
        }
        self.end_reads_of_ended_role();
        self.announce_role(reader).await;
    }

    /// Ends the reads of a node that no longer reads. To be called before the node is appointed again, as
    /// their failures would count for its new role.
    fn end_reads_of_ended_role(&mut self) {
        if self.machine.state() == ReaderState::Idle {
            self.reads.clear();
        }
    }

    async fn announce_role(&mut self, reader: &VersionReader) {
        let state = self.machine.state();
        if state != std::mem::replace(&mut self.logged_state, state) {
            log::info!(event = "version-reader", state:% = state; "reading versions: {state}");
        }
        if state != ReaderState::Leading {
            self.set_leading(reader, false).await;
        }
    }

    /// Tells whether this node drives rollouts, which it does once the source has answered it as the leading
    /// reader. Until it does, many nodes may lead, and none of them must ask the store for more.
    async fn set_leading(&mut self, reader: &VersionReader, leads: bool) {
        if std::mem::replace(&mut self.drives_rollouts, leads) != leads {
            // The next heartbeat must not state the rollouts that were known before. The request fails only
            // while the node is stopping.
            let _ = reader.rollouts.ask(SetLeading(leads)).await;
        }
    }

    async fn handle_message(&mut self, reader: &VersionReader, message: ReaderMessage) {
        match message {
            ReaderMessage::Heartbeat {
                node,
                version,
                position,
            } => {
                reader.publish_generation(position);
                let now = reader.context.clock.now();
                self.machine.on_heartbeat(&node, now, &mut self.rng);
                self.end_reads_of_ended_role();
                // A node that takes over reads what came after the last heartbeat, not all that came
                // since it has read itself.
                if reader.context.served().snapshot.version() >= version {
                    self.raise_position(position);
                }
            }
            ReaderMessage::RolloutsChanged => {
                if self.machine.state() == ReaderState::Leading {
                    self.send_heartbeat(reader).await;
                }
            }
            ReaderMessage::PositionReached(position) => {
                reader.publish_generation(Some(position));
                self.raise_position(Some(position));
            }
            ReaderMessage::ConfirmationNeeded => self.start_confirming_read(reader),
        }
    }

    /// Handles that this node holds the newest version that the feed had up to `position`.
    fn raise_position(&mut self, position: Option<FeedPosition>) {
        self.position = self.position.max(position);
        self.held_position = self.held_position.max(position);
    }

    async fn handle_read(&mut self, reader: &VersionReader, result: ReadResult) {
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => return self.handle_failure(reader, &error),
        };
        if std::mem::take(&mut self.unavailable) {
            log::info!(event = "feed-regained"; "the source of versions answers again");
        }
        // Earlier reads would only repeat the answer.
        self.reads.clear();
        let progress = answer.progress;
        self.accept_answer(reader, answer).await;
        let now = reader.context.clock.now();
        if self.machine.on_read(progress, now) {
            // All orders are read then, so that those of the answer were not needed.
            self.set_leading(reader, true).await;
            if !reader.context.rollouts().counted.is_empty() {
                // The send fails only while the node is stopping.
                let _ = reader.rollouts.tell(SourceAnswered).await;
            }
            self.send_heartbeat(reader).await;
        }
    }

    async fn accept_answer(&mut self, reader: &VersionReader, answer: SourceAnswer) {
        self.confirm_version(reader, &answer);
        self.position = self.position.max(answer.position);
        reader.publish_generation(answer.position);
        match answer.handover {
            Some(handover) => self.handovers.push(handover),
            None if self.handovers.is_empty() => self.held_position = self.position,
            None => {}
        }
        reader.forward_orders(answer.orders).await;
    }

    /// Starts a read that is answered at once. A node that knows no position would have to read the
    /// newest version as a whole, which is left to readers.
    fn start_confirming_read(&mut self, reader: &VersionReader) {
        let context = &reader.context;
        if context.feed.is_some() && self.position.is_none() || !self.confirming_reads.is_empty() {
            return;
        }
        let read = SourceRead {
            after: self.position,
            wait: Duration::ZERO,
            deadline: tokio::time::Instant::now() + CONFIRMING_READ_TIMEOUT,
        };
        self.confirming_reads.push(reader.source.read(read));
    }

    async fn handle_confirming_read(&mut self, reader: &VersionReader, result: ReadResult) {
        match result {
            Ok(answer) => self.accept_answer(reader, answer).await,
            Err(error) => log::debug!("a read did not confirm the version: {error}"),
        }
    }

    /// Reports which version is the newest one, if the answer shows that.
    fn confirm_version(&mut self, reader: &VersionReader, answer: &SourceAnswer) {
        self.newest_version = self.newest_version.max(answer.version);
        let Some(moment) = answer.current_at else {
            return;
        };
        let confirmed = ConfirmedVersion {
            version: self.newest_version,
            moment,
        };
        // A full queue holds confirmations that the task has yet to handle.
        let _ = reader
            .confirmations
            .try_send(ConfirmationMessage::VersionRead(confirmed));
    }

    fn handle_failure(&mut self, reader: &VersionReader, error: &CatchUpError) {
        if !std::mem::replace(&mut self.unavailable, true) {
            log::warn!(event = "feed-lost"; "cannot read versions: {error}");
        }
        let now = reader.context.clock.now();
        self.machine.on_read_failed(now, &mut self.rng);
        if matches!(error, CatchUpError::Rejected) {
            self.machine.read_changes();
        }
    }

    async fn handle_handover(
        &mut self,
        reader: &VersionReader,
        result: Result<Vec<NewVersion>, CatchUpError>,
    ) {
        let versions = match result {
            Ok(versions) => versions,
            Err(error) => return self.handle_failure(reader, &error),
        };
        if self.handovers.is_empty() {
            self.held_position = self.position;
        }
        let leads = self.machine.state() == ReaderState::Leading;
        for version in versions {
            reader.disseminate_version(version, leads).await;
        }
    }

    async fn send_heartbeat(&mut self, reader: &VersionReader) {
        // The position belongs to the newest version, which may not be in force yet.
        let Ok(version) = latest_version(&reader.config).await else {
            return;
        };
        let rollouts = reader.context.rollouts();
        let payload = DisseminationPayload::ReaderHeartbeat {
            node: reader.context.local_member.node.clone(),
            version,
            position: self.held_position,
            rollouts: rollouts.heartbeat.clone(),
            rollouts_pending: rollouts.is_pending,
        };
        let request = DisseminationRequest {
            salt: self.rng.random(),
            scope: DisseminationScope::AllRegions,
        };
        reader.start_dissemination(request, payload).await;
    }
}

impl VersionReader {
    /// Passes on the orders of an answer, which costs nothing without orders.
    async fn forward_orders(&self, orders: Option<Vec<RolloutOrder>>) {
        let _ = match orders {
            None => self.rollouts.tell(ReadOrders).await.is_ok(),
            Some(orders) if !orders.is_empty() => {
                self.rollouts.tell(OrdersReceived(orders)).await.is_ok()
            }
            Some(_) => return,
        };
    }

    /// Readers in the region of the store disseminate to all regions, so that regions whose own
    /// readers are cut off also receive the version. A leading reader may be the only one that the
    /// store answers. If the region of the store is unknown, all readers do so. A node that already
    /// has the version does not forward it.
    async fn disseminate_version(&self, new_version: NewVersion, leads: bool) {
        let NewVersion { version, delta } = new_version;
        let store_region = &self.context.settings.store.region;
        let is_home = store_region.is_empty() || *store_region == self.context.local_member.region;
        let request = DisseminationRequest {
            salt: version,
            scope: if leads || is_home {
                DisseminationScope::AllRegions
            } else {
                DisseminationScope::Region
            },
        };
        let payload = DisseminationPayload::Version { version, delta };
        self.start_dissemination(request, payload).await;
    }

    async fn start_dissemination(
        &self,
        request: DisseminationRequest,
        payload: DisseminationPayload,
    ) {
        // The send fails only while the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }
}
