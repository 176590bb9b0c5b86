//! The actor that owns the version in force and the versions on their way.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfigReplica, OfferResult, PullReply, ReplicaSettings, VersionEffect, select_witnesses,
};
use agatedeck_records::ConfigSnapshot;
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, FloorRecord, Member, Offer, OfferAnswer,
    OfferOutcome, Pull, PullAnswer,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::reply::DelegatedReply;
use tokio::sync::watch;

use crate::answer::Answer;
use crate::context::{NodeContext, ServedConfig};
use crate::peer::PeerAddress;

/// Number of nodes that remember which version this node puts in force.
const WITNESSES: usize = 2;

/// Time allowed for one request for missing versions.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a version held by another node is given to arrive over the tree. Pulling at once would
/// send most changes twice to every node that is probed while a change spreads.
const TREE_GRACE: Duration = Duration::from_millis(300);

/// Number of nodes asked for missing versions before it is left to the next probe.
const PULL_ATTEMPTS: usize = 3;

/// Owns the [`ConfigReplica`] and publishes what is in force.
#[derive(Actor)]
pub(crate) struct ConfigActor {
    context: NodeContext,
    holder: ConfigReplica,
    published: watch::Sender<ServedConfig>,
    pulling: bool,
}

impl ConfigActor {
    pub(crate) fn new(
        context: NodeContext,
        published: watch::Sender<ServedConfig>,
    ) -> Result<Self, agatedeck_chart::ChartError> {
        let reads_schema = context.own.reads_schema;
        let holder = ConfigReplica::new(ReplicaSettings {
            reads_schema,
            ..Default::default()
        })?;
        Ok(Self {
            context,
            holder,
            published,
            pulling: false,
        })
    }

    fn publish(&self) {
        let snapshot = Arc::clone(self.holder.current());
        let may_serve = self.holder.may_serve();
        self.published.send_replace(ServedConfig {
            snapshot,
            may_serve,
        });
    }

    fn carry_out(&mut self, effects: Vec<VersionEffect>, keeper: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                VersionEffect::RecordFloor { version, deadline } => {
                    self.ask_witnesses(version, deadline, keeper);
                }
                VersionEffect::Activate(snapshot) => {
                    self.publish();
                    let version = snapshot.version();
                    log::info!(event = "in-force", version; "version {version} is in force");
                }
                VersionEffect::PullAfter(version) => self.pull_missing(version, keeper),
            }
        }
    }

    fn witnesses(&self) -> Vec<PeerAddress> {
        let table = self.context.table();
        let members = select_witnesses(&table, &self.context.own, WITNESSES);
        members
            .into_iter()
            .filter_map(PeerAddress::from_member)
            .collect()
    }

    fn ask_witnesses(&self, version: u64, deadline: Instant, keeper: &ActorRef<Self>) {
        let (context, keeper, witnesses) = (self.context.clone(), keeper.clone(), self.witnesses());
        tokio::spawn(async move {
            let record = FloorRecord {
                node: context.own.node.clone(),
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
            let mut recorded = 0;
            while let Some(answer) = answers.next().await {
                match answer {
                    Ok(_) => recorded += 1,
                    Err(error) => {
                        log::debug!("a witness did not record version {version}: {error}");
                    }
                }
            }
            // The keeper is gone only when the node is stopping.
            let _ = keeper.tell(WitnessesAsked { version, recorded }).await;
        });
    }

    fn pull_missing(&mut self, version: u64, keeper: &ActorRef<Self>) {
        if self.pulling {
            return;
        }
        self.pulling = true;
        let (context, keeper) = (self.context.clone(), keeper.clone());
        tokio::spawn(async move {
            let answer = pull_from_peers(&context, version).await;
            let _ = keeper.tell(PullEnded(answer)).await;
        });
    }

    fn take_pulled(&mut self, pulled: &PullAnswer, keeper: &ActorRef<Self>) {
        let now = self.context.clock.now();
        if pulled.snapshot.is_empty() {
            let effects = self.holder.offer_pulled(&pulled.deltas, now);
            self.carry_out(effects, keeper);
        } else {
            let (_, effects) = self
                .holder
                .offer_snapshot(&pulled.snapshot, &pulled.digest, now);
            self.carry_out(effects, keeper);
        }
    }
}

/// Asks nodes that are ahead for what follows `version`, the nearest and newest first.
async fn pull_from_peers(context: &NodeContext, version: u64) -> Option<PullAnswer> {
    let table = context.table();
    let own = &context.own;
    let mut ahead: Vec<&Member> = table
        .live()
        .filter(|member| member.node != own.node)
        .collect();
    ahead.sort_by_key(|member| {
        let far = (member.region != own.region, member.domain != own.domain);
        (
            std::cmp::Reverse(member.version > version),
            far,
            std::cmp::Reverse(member.version),
        )
    });
    for peer in ahead
        .into_iter()
        .filter_map(PeerAddress::from_member)
        .take(PULL_ATTEMPTS)
    {
        let request = ControlPlaneRequest::Pull {
            pull: Pull { version },
        };
        let deadline = tokio::time::Instant::now() + PULL_TIMEOUT;
        match context.transport.send(&peer, request, deadline).await {
            Ok(ControlPlaneResponse::Pull(answer)) if answer.version > version => {
                return Some(answer);
            }
            Ok(_) => {}
            Err(error) => log::debug!("no versions came from {}: {error}", peer.address),
        }
    }
    None
}

/// A version offered by another node, the store or the acceptance of a change here.
pub(crate) struct OfferVersion(pub(crate) Offer);

impl Message<OfferVersion> for ConfigActor {
    type Reply = Answer<OfferAnswer>;

    async fn handle(
        &mut self,
        OfferVersion(offer): OfferVersion,
        context: &mut Context<Self, Answer<OfferAnswer>>,
    ) -> Answer<OfferAnswer> {
        let now = self.context.clock.now();
        let (verdict, effects) = self.holder.offer(offer.version, &offer.delta, now);
        self.carry_out(effects, context.actor_ref());
        let (outcome, reason) = match verdict {
            OfferResult::Held => (OfferOutcome::Held, String::new()),
            OfferResult::Stale => (OfferOutcome::Stale, String::new()),
            OfferResult::Behind => (OfferOutcome::Behind, String::new()),
            OfferResult::Refused(reason) => {
                log::warn!(
                    event = "version-refused",
                    version = offer.version;
                    "version {} is refused: {reason}",
                    offer.version
                );
                (OfferOutcome::Refused, reason)
            }
        };
        let version = self.holder.current().version();
        Answer(OfferAnswer {
            outcome: outcome.into(),
            version,
            reason,
        })
    }
}

/// A whole version read from where versions come from.
pub(crate) struct OfferSource(pub(crate) ConfigSnapshot);

/// The compressed delta that leads to the version, if it is newer than what this node held.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct SourceDelta(pub(crate) Option<Vec<u8>>);

impl Message<OfferSource> for ConfigActor {
    type Reply = SourceDelta;

    async fn handle(
        &mut self,
        OfferSource(snapshot): OfferSource,
        context: &mut Context<Self, SourceDelta>,
    ) -> SourceDelta {
        let now = self.context.clock.now();
        let (delta, effects) = self.holder.offer_from_store(&snapshot, now);
        self.carry_out(effects, context.actor_ref());
        SourceDelta(delta)
    }
}

/// A whole snapshot from the store.
pub(crate) struct OfferSnapshot {
    pub(crate) bytes: Vec<u8>,
    pub(crate) digest: Vec<u8>,
}

impl Message<OfferSnapshot> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, offer: OfferSnapshot, context: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        let (verdict, effects) = self.holder.offer_snapshot(&offer.bytes, &offer.digest, now);
        if let OfferResult::Refused(reason) = verdict {
            log::warn!(event = "snapshot-refused"; "a snapshot is refused: {reason}");
        }
        self.carry_out(effects, context.actor_ref());
    }
}

struct WitnessesAsked {
    version: u64,
    recorded: usize,
}

impl Message<WitnessesAsked> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, asked: WitnessesAsked, context: &mut Context<Self, ()>) {
        let effects = if asked.recorded > 0 {
            self.holder.on_witnesses_recorded(asked.version)
        } else {
            self.holder.on_witnesses_failed(asked.version)
        };
        self.carry_out(effects, context.actor_ref());
    }
}

struct PullEnded(Option<PullAnswer>);

impl Message<PullEnded> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, PullEnded(answer): PullEnded, context: &mut Context<Self, ()>) {
        self.pulling = false;
        if let Some(answer) = answer {
            self.take_pulled(&answer, context.actor_ref());
        }
    }
}

/// A node that is behind asks for what it lacks.
pub(crate) struct PullVersions(pub(crate) Pull);

impl Message<PullVersions> for ConfigActor {
    type Reply = Answer<PullAnswer>;

    async fn handle(
        &mut self,
        PullVersions(pull): PullVersions,
        _: &mut Context<Self, Answer<PullAnswer>>,
    ) -> Answer<PullAnswer> {
        let current = self.holder.current();
        let (version, digest) = (current.version(), current.digest().as_bytes().to_vec());
        let (deltas, snapshot) = match self.holder.answer_pull(pull.version) {
            PullReply::Deltas(deltas) => (deltas, Vec::new()),
            PullReply::Snapshot(snapshot) => (Vec::new(), snapshot),
        };
        Answer(PullAnswer {
            version,
            deltas,
            snapshot,
            digest,
        })
    }
}

/// Another node holds a newer version, which the tree has not brought yet.
pub(crate) struct NoteAhead {
    pub(crate) version: u64,
}

impl Message<NoteAhead> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, ahead: NoteAhead, context: &mut Context<Self, ()>) {
        if ahead.version <= self.holder.latest().version() {
            return;
        }
        let keeper = context.actor_ref().clone();
        tokio::spawn(async move {
            tokio::time::sleep(TREE_GRACE).await;
            // The keeper is gone only when the node is stopping.
            let _ = keeper.tell(PullIfBehind(ahead.version)).await;
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
        let tip = self.holder.latest().version();
        if version > tip {
            self.pull_missing(tip, context.actor_ref());
        }
    }
}

/// Pulls from other nodes and replies with the newest version that passed its check.
pub(crate) struct PullNow(pub(crate) Pull);

impl Message<PullNow> for ConfigActor {
    type Reply = DelegatedReply<u64>;

    async fn handle(
        &mut self,
        PullNow(pull): PullNow,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let keeper = context.actor_ref().clone();
        let (delegated, reply) = context.reply_sender();
        let Some(reply) = reply else { return delegated };
        let node = self.context.clone();
        tokio::spawn(async move {
            let answer = pull_from_peers(&node, pull.version).await;
            // Answered by the keeper after it took in what came.
            let _ = keeper.ask(PullEnded(answer)).await;
            let held = keeper.ask(ReadLatest).await;
            reply.send(held.map_or(0, |held| held.tip.version()));
        });
        delegated
    }
}

/// The lowest version that this node may serve is known.
pub(crate) struct RaiseFloor(pub(crate) u64);

impl Message<RaiseFloor> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, RaiseFloor(floor): RaiseFloor, context: &mut Context<Self, ()>) {
        self.holder.raise_floor(floor);
        self.publish();
        if !self.holder.may_serve() {
            let version = self.holder.latest().version();
            self.pull_missing(version, context.actor_ref());
        }
    }
}

/// Asks what this node holds.
pub(crate) struct ReadLatest;

/// The newest snapshot that passed its check, and what is known about later ones.
#[derive(Clone, Debug, kameo::Reply)]
pub(crate) struct LatestVersion {
    pub(crate) tip: Arc<ConfigSnapshot>,
    pub(crate) refusal: Option<(u64, String)>,
}

impl Message<ReadLatest> for ConfigActor {
    type Reply = LatestVersion;

    async fn handle(
        &mut self,
        _: ReadLatest,
        _: &mut Context<Self, LatestVersion>,
    ) -> LatestVersion {
        let refusal = self.holder.refusal();
        LatestVersion {
            tip: Arc::clone(self.holder.latest()),
            refusal: refusal.map(|(version, reason)| (version, reason.to_owned())),
        }
    }
}
