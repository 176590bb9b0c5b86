//! The actor that owns the active version and the versions that are being activated.

use std::sync::Arc;

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfigReplica, OfferResult, PullMachine, PullReply, PullSettings, ReplicaSettings,
    VersionEffect, VersionOrigin, select_witnesses,
};
use agatedeck_records::ConfigSnapshot;
use agatedeck_wire::{
    ControlPlaneRequest, FloorRecord, Offer, OfferAnswer, OfferOutcome, Pull, PullAnswer,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::reply::DelegatedReply;
use tokio::sync::watch;

use super::pull::PeerPull;
use crate::context::{NodeContext, ServedConfig};
use crate::peer::PeerAddress;
use crate::wire_answer::WireAnswer;

/// Number of witnesses: nodes that record the floor before this node activates a version.
const WITNESS_COUNT: usize = 2;

/// Owns the [`ConfigReplica`] and publishes the active version.
#[derive(Actor)]
pub(crate) struct ConfigActor {
    context: NodeContext,
    replica: ConfigReplica,
    config_sender: watch::Sender<ServedConfig>,
    pull_machine: PullMachine,
    pull_settings: PullSettings,
}

impl ConfigActor {
    pub(crate) fn new(
        context: NodeContext,
        config_sender: watch::Sender<ServedConfig>,
    ) -> Result<Self, agatedeck_chart::ChartError> {
        let reads_schema = context.local_member.reads_schema;
        let pull_settings = PullSettings::default();
        let replica = ConfigReplica::new(ReplicaSettings {
            reads_schema,
            ..Default::default()
        })?;
        Ok(Self {
            context,
            replica,
            config_sender,
            pull_machine: PullMachine::new(pull_settings),
            pull_settings,
        })
    }

    fn publish(&self) {
        let snapshot = Arc::clone(self.replica.current());
        let may_serve = self.replica.may_serve();
        self.config_sender.send_replace(ServedConfig {
            snapshot,
            may_serve,
        });
    }

    fn apply_effects(&mut self, effects: Vec<VersionEffect>, actor: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                VersionEffect::RecordFloor { version, deadline } => {
                    self.record_floor(version, deadline, actor);
                }
                VersionEffect::Activate {
                    snapshot,
                    origin,
                    validated_at,
                } => {
                    self.publish();
                    self.report_activation(snapshot.version(), origin, validated_at);
                }
                // The version after the held one exists; which one is not known.
                VersionEffect::PullAfter(version) => self.observe_version(version + 1, actor),
            }
        }
    }

    fn report_activation(&self, version: u64, origin: VersionOrigin, validated_at: Instant) {
        let waited = self.context.clock.now().since(validated_at);
        log::info!(
            event = "in-force",
            version,
            origin:% = origin,
            waited_ms = waited.as_millis();
            "version {version} is in force"
        );
        self.context.metrics.count_version(origin);
    }

    fn witnesses(&self) -> Vec<PeerAddress> {
        let table = self.context.table();
        let members = select_witnesses(&table, &self.context.local_member, WITNESS_COUNT);
        members
            .into_iter()
            .filter_map(PeerAddress::from_member)
            .collect()
    }

    fn record_floor(&self, version: u64, deadline: Instant, actor: &ActorRef<Self>) {
        let (context, actor, witnesses) = (self.context.clone(), actor.clone(), self.witnesses());
        tokio::spawn(async move {
            let record = FloorRecord {
                node: context.local_member.node.clone(),
                version,
            };
            let runtime_deadline = context.clock.runtime_instant(deadline);
            let mut answers: FuturesUnordered<_> = witnesses
                .iter()
                .map(|witness| {
                    let request = ControlPlaneRequest::RecordFloor {
                        record: record.clone(),
                    };
                    context.transport.send(witness, request, runtime_deadline)
                })
                .collect();
            let mut witness_count = 0;
            while let Some(answer) = answers.next().await {
                match answer {
                    Ok(_) => witness_count += 1,
                    Err(error) => {
                        log::debug!("witness did not record version {version}: {error}");
                    }
                }
            }
            // The send fails only while the node is stopping.
            let _ = actor
                .tell(FloorRecorded {
                    version,
                    witness_count,
                })
                .await;
        });
    }

    /// Starts a pull if `version`, which another node holds, is missing here.
    fn observe_version(&mut self, version: u64, actor: &ActorRef<Self>) {
        let latest = self.replica.latest().version();
        if self.pull_machine.on_report(version, latest) {
            self.start_pull(actor);
        }
    }

    fn start_pull(&mut self, actor: &ActorRef<Self>) {
        let mut pull = self.prepare_pull(self.replica.latest().version());
        let actor = actor.clone();
        tokio::spawn(async move {
            let answer = pull.first_answer().await;
            pull.report_first_answer(answer.as_ref());
            let is_unanswered = answer.is_none();
            let silent_peers = pull.silent_peers().map(str::to_owned).collect();
            // The sends fail only while the node is stopping.
            let _ = actor
                .tell(FirstPullAnswer {
                    answer,
                    silent_peers,
                })
                .await;
            if is_unanswered && let Some(answer) = pull.late_answer().await {
                let _ = actor.tell(LatePullAnswer(answer)).await;
            }
        });
    }

    fn prepare_pull(&mut self, version: u64) -> PeerPull {
        let now = self.context.clock.now();
        let silent_peers = self.pull_machine.silent_peers(now);
        PeerPull::new(&self.context, version, &silent_peers, self.pull_settings)
    }

    fn apply_pull_answer(&mut self, pulled: &PullAnswer, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        if pulled.snapshot.is_empty() {
            let effects = self.replica.offer_pulled(&pulled.deltas, now);
            self.apply_effects(effects, actor);
        } else {
            let (_, effects) = self.replica.offer_snapshot(
                &pulled.snapshot,
                &pulled.digest,
                VersionOrigin::Pull,
                now,
            );
            self.apply_effects(effects, actor);
        }
    }
}

/// Offers a version as a delta that another node sent, the store returned, or this node committed.
pub(crate) struct OfferVersion {
    pub(crate) offer: Offer,
    pub(crate) origin: VersionOrigin,
}

impl Message<OfferVersion> for ConfigActor {
    type Reply = WireAnswer<OfferAnswer>;

    async fn handle(
        &mut self,
        OfferVersion { offer, origin }: OfferVersion,
        context: &mut Context<Self, WireAnswer<OfferAnswer>>,
    ) -> WireAnswer<OfferAnswer> {
        let now = self.context.clock.now();
        let (result, effects) = self.replica.offer(offer.version, &offer.delta, origin, now);
        self.apply_effects(effects, context.actor_ref());
        let (outcome, reason) = match result {
            OfferResult::Held => (OfferOutcome::Held, String::new()),
            OfferResult::Stale => (OfferOutcome::Stale, String::new()),
            OfferResult::Behind => (OfferOutcome::Behind, String::new()),
            OfferResult::Refused(reason) => {
                log::warn!(
                    event = "version-refused",
                    version = offer.version;
                    "version {} was refused: {reason}",
                    offer.version
                );
                (OfferOutcome::Refused, reason)
            }
        };
        let version = self.replica.current().version();
        WireAnswer(OfferAnswer {
            outcome: outcome.into(),
            version,
            reason,
        })
    }
}

/// Offers a complete snapshot read from the configuration feed.
pub(crate) struct OfferFeedSnapshot(pub(crate) ConfigSnapshot);

/// The compressed delta from the latest held version to the offered one; `None` if the offered
/// version is not newer.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct FeedDelta(pub(crate) Option<Vec<u8>>);

impl Message<OfferFeedSnapshot> for ConfigActor {
    type Reply = FeedDelta;

    async fn handle(
        &mut self,
        OfferFeedSnapshot(snapshot): OfferFeedSnapshot,
        context: &mut Context<Self, FeedDelta>,
    ) -> FeedDelta {
        let now = self.context.clock.now();
        let (delta, effects) = self.replica.offer_from_feed(&snapshot, now);
        self.apply_effects(effects, context.actor_ref());
        FeedDelta(delta)
    }
}

/// Offers a compressed snapshot read from the store.
pub(crate) struct OfferSnapshot {
    pub(crate) bytes: Vec<u8>,
    pub(crate) digest: Vec<u8>,
}

impl Message<OfferSnapshot> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, offer: OfferSnapshot, context: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let origin = VersionOrigin::Store;
        let (result, effects) =
            self.replica
                .offer_snapshot(&offer.bytes, &offer.digest, origin, now);
        if let OfferResult::Refused(reason) = result {
            log::warn!(event = "snapshot-refused"; "snapshot was refused: {reason}");
        }
        self.apply_effects(effects, context.actor_ref());
    }
}

struct FloorRecorded {
    version: u64,
    /// Number of witnesses that recorded it.
    witness_count: usize,
}

impl Message<FloorRecorded> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, floor: FloorRecorded, context: &mut Context<Self, ()>) {
        let effects = if floor.witness_count > 0 {
            self.replica.on_witnesses_recorded(floor.version)
        } else {
            self.replica.on_witnesses_failed(floor.version)
        };
        self.apply_effects(effects, context.actor_ref());
    }
}

/// The first answer to a pull that [`PullMachine`] started.
struct FirstPullAnswer {
    /// `None` if no peer answered with a newer version in time.
    answer: Option<PullAnswer>,
    /// Peers that have not answered.
    silent_peers: Vec<String>,
}

impl Message<FirstPullAnswer> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, first: FirstPullAnswer, context: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        for node in &first.silent_peers {
            self.pull_machine.record_silence(node, now);
        }
        let pulls_again = if let Some(answer) = &first.answer {
            self.apply_pull_answer(answer, context.actor_ref());
            let latest = self.replica.latest().version();
            self.pull_machine.on_answer(latest)
        } else {
            let latest = self.replica.latest().version();
            self.pull_machine.on_no_answer(latest)
        };
        if pulls_again {
            self.start_pull(context.actor_ref());
        }
    }
}

/// An answer that came after the pull had ended without one.
struct LatePullAnswer(PullAnswer);

impl Message<LatePullAnswer> for ConfigActor {
    type Reply = ();

    async fn handle(
        &mut self,
        LatePullAnswer(answer): LatePullAnswer,
        ctx: &mut Context<Self, ()>,
    ) {
        self.apply_pull_answer(&answer, ctx.actor_ref());
    }
}

/// Answers a pull request of a node that is behind.
pub(crate) struct AnswerPull(pub(crate) Pull);

impl Message<AnswerPull> for ConfigActor {
    type Reply = WireAnswer<PullAnswer>;

    async fn handle(
        &mut self,
        AnswerPull(pull): AnswerPull,
        _: &mut Context<Self, WireAnswer<PullAnswer>>,
    ) -> WireAnswer<PullAnswer> {
        let current = self.replica.current();
        let (version, digest) = (current.version(), current.digest().as_bytes().to_vec());
        let (deltas, snapshot) = match self.replica.answer_pull(pull.version) {
            PullReply::Deltas(deltas) => (deltas, Vec::new()),
            PullReply::Snapshot(snapshot) => (Vec::new(), snapshot),
        };
        WireAnswer(PullAnswer {
            version,
            deltas,
            snapshot,
            digest,
        })
    }
}

/// Reports a version held by a peer. It is pulled if it has not arrived over the dissemination tree
/// after [`PullSettings::tree_grace_period`].
pub(crate) struct ObservePeerVersion {
    pub(crate) version: u64,
}

impl Message<ObservePeerVersion> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, observed: ObservePeerVersion, context: &mut Context<Self, ()>) {
        if observed.version <= self.replica.latest().version() {
            return;
        }
        let actor = context.actor_ref().clone();
        let grace_period = self.pull_settings.tree_grace_period;
        tokio::spawn(async move {
            tokio::time::sleep(grace_period).await;
            // The send fails only while the node is stopping.
            let _ = actor.tell(PullIfBehind(observed.version)).await;
        });
    }
}

struct PullIfBehind(u64);

impl Message<PullIfBehind> for ConfigActor {
    type Reply = ();

    async fn handle(
        &mut self,
        PullIfBehind(version): PullIfBehind,
        context: &mut Context<Self, ()>,
    ) {
        self.observe_version(version, context.actor_ref());
    }
}

/// Pulls from other nodes and replies with the latest version that passed its digest check; 0 if
/// the actor stopped.
pub(crate) struct PullFromPeers(pub(crate) Pull);

impl Message<PullFromPeers> for ConfigActor {
    type Reply = DelegatedReply<u64>;

    async fn handle(
        &mut self,
        PullFromPeers(pull): PullFromPeers,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let actor = context.actor_ref().clone();
        let (delegated, reply) = context.reply_sender();
        let Some(reply) = reply else { return delegated };
        let mut pull = self.prepare_pull(pull.version);
        tokio::spawn(async move {
            let mut answer = pull.first_answer().await;
            if answer.is_none() {
                answer = pull.late_answer().await;
            }
            if let Some(answer) = answer {
                // The actor replies after it has applied the answer.
                let _ = actor.ask(LatePullAnswer(answer)).await;
            }
            let latest = actor.ask(ReadLatest).await;
            reply.send(latest.map_or(0, |latest| latest.snapshot.version()));
        });
        delegated
    }
}

/// Raises the floor, the lowest version that this node may serve.
pub(crate) struct RaiseFloor(pub(crate) u64);

impl Message<RaiseFloor> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, RaiseFloor(floor): RaiseFloor, context: &mut Context<Self, ()>) {
        self.replica.raise_floor(floor);
        self.publish();
        self.observe_version(floor, context.actor_ref());
    }
}

/// Reads the latest version that this node holds.
pub(crate) struct ReadLatest;

/// The latest snapshot that passed its digest check, and the last refused version with the reason.
#[derive(Clone, Debug, kameo::Reply)]
pub(crate) struct LatestVersion {
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) refusal: Option<(u64, String)>,
}

impl Message<ReadLatest> for ConfigActor {
    type Reply = LatestVersion;

    async fn handle(
        &mut self,
        _: ReadLatest,
        _: &mut Context<Self, LatestVersion>,
    ) -> LatestVersion {
        let refusal = self.replica.refusal();
        LatestVersion {
            snapshot: Arc::clone(self.replica.latest()),
            refusal: refusal.map(|(version, reason)| (version, reason.to_owned())),
        }
    }
}
