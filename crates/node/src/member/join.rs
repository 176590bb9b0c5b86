//! The actor that drives the life cycle of the node: join, serving, drain and stop.

use std::time::Duration;

use agatedeck_control::{ConfirmedVersion, JoinEffect, JoinMachine, JoinSettings, JoinState};
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, FloorAnswer, FloorRecord, Head, Join, JoinAnswer,
    Pull,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use super::actor::{MemberActor, MergeMemberList};
use crate::adapters::ConfigFeed;
use crate::calls::{CrashActor, MergeCrashReports};
use crate::clock::BootClock;
use crate::config::{ConfigActor, OfferFeedSnapshot, PullFromPeers, RaiseFloor, ReadLatest};
use crate::confirmation::{ConfirmationMessage, ConfirmationSender};
use crate::context::NodeContext;
use crate::peer::PeerAddress;
use crate::store::{CatchUpError, ReaderMessage, ReaderSender, catch_up, read_head};

/// Timeout of a join request or floor query.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum backoff between two reads of the floor from a configuration feed, in milliseconds.
const FEED_BACKOFF_LIMIT_MS: u64 = 1_000;

/// Interval of checks of the join deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of checks once the node serves and only waits for a peer to accept its join.
const SERVING_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the [`JoinMachine`] and publishes its state.
#[derive(Actor)]
pub(crate) struct JoinActor {
    context: NodeContext,
    machine: JoinMachine,
    head: Option<Head>,
    /// Newest version that this node is known to hold; it may not be active yet.
    held_version: u64,
    rng: SmallRng,
    receivers: JoinReceivers,
    phase_sender: watch::Sender<JoinState>,
}

/// The tasks that receive what a node learns while it joins.
#[derive(Clone)]
pub(crate) struct JoinReceivers {
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) members: ActorRef<MemberActor>,
    pub(crate) crash_actor: ActorRef<CrashActor>,
    pub(crate) reader: ReaderSender,
    pub(crate) confirmations: ConfirmationSender,
}

impl JoinActor {
    pub(crate) fn new(
        context: NodeContext,
        receivers: JoinReceivers,
        phase_sender: watch::Sender<JoinState>,
    ) -> Self {
        let seeds: Vec<String> = context
            .settings
            .seeds
            .iter()
            .map(ToString::to_string)
            .collect();
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut settings = JoinSettings::default();
        if context.feed.is_some() {
            // The first version may be written after the nodes have started.
            settings.backoff_limit_ms = FEED_BACKOFF_LIMIT_MS;
        }
        let machine = JoinMachine::new(&context.local_member, &seeds, &settings);
        Self {
            context,
            machine,
            head: None,
            held_version: 0,
            rng: SmallRng::from_rng(&mut rand::rng()),
            phase_sender,
            receivers,
        }
    }

    async fn apply_effects(&mut self, effects: Vec<JoinEffect>, actor: &ActorRef<Self>) {
        self.phase_sender.send_replace(self.machine.state());
        for effect in effects {
            match effect {
                JoinEffect::ReadHead => self.read_head(actor),
                JoinEffect::Join { address, join } => self.send_join(&address, join, actor),
                JoinEffect::QueryFloor {
                    node,
                    address,
                    record,
                } => self.query_floor(node, &address, record, actor),
                // The sends to other actors fail only while the node is stopping.
                JoinEffect::MergeMemberList(members) => {
                    let _ = self.receivers.members.tell(MergeMemberList(members)).await;
                }
                JoinEffect::Fetch { floor } => self.fetch(floor, actor),
                JoinEffect::Serve => {
                    let floor = self.machine.floor().unwrap_or(0);
                    log::info!(event = "serving", floor; "serving calls; the floor is version {floor}");
                    let _ = self.receivers.config.tell(RaiseFloor(floor)).await;
                }
                JoinEffect::Drain => log::info!(event = "draining"; "draining"),
                JoinEffect::Stop => log::info!(event = "drained"; "no calls are left"),
            }
        }
    }

    fn read_head(&self, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        let receivers = self.receivers.clone();
        tokio::spawn(async move {
            let head = match &context.feed {
                Some(feed) => read_feed(&context, &**feed, &receivers).await,
                None => read_head(&context).await.map(|(head, _)| Some(head)),
            };
            let head = match head {
                Ok(head) => head,
                Err(error) => {
                    log::warn!(event = "floor-unread"; "could not read the floor from the store or feed: {error}");
                    None
                }
            };
            let _ = actor.tell(HeadRead(head)).await;
        });
    }

    fn send_join(&self, address: &str, join: Join, actor: &ActorRef<Self>) {
        let Some(peer) = self.peer_at(address) else {
            return;
        };
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            let request = ControlPlaneRequest::Join { join };
            let deadline = tokio::time::Instant::now() + JOIN_TIMEOUT;
            let answer = match context.transport.send(&peer, request, deadline).await {
                Ok(ControlPlaneResponse::Join(answer)) => Some(answer),
                _ => None,
            };
            let _ = actor.tell(JoinAnswered(answer)).await;
        });
    }

    fn query_floor(
        &self,
        node: String,
        address: &str,
        record: FloorRecord,
        actor: &ActorRef<Self>,
    ) {
        let Some(peer) = self.peer_at(address) else {
            return;
        };
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            let request = ControlPlaneRequest::RecordFloor { record };
            let deadline = tokio::time::Instant::now() + JOIN_TIMEOUT;
            let answer = context.transport.send(&peer, request, deadline).await;
            if let Ok(ControlPlaneResponse::RecordFloor(answer)) = answer {
                let _ = actor.tell(FloorAnswered { node, answer }).await;
            }
        });
    }

    fn peer_at(&self, address: &str) -> Option<PeerAddress> {
        PeerAddress::from_control_address(
            &self.context.table(),
            &self.context.local_member,
            address,
        )
    }

    /// Fetches a version at or above the floor: from peers first, to limit the load on the store
    /// when many nodes start together, and from the store if no peer has one.
    fn fetch(&self, floor: u64, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        let (config, head) = (self.receivers.config.clone(), self.head.clone());
        let mut version = self.held_version;
        tokio::spawn(async move {
            // A version read from the feed may be held but not active yet.
            if let Ok(latest) = config.ask(ReadLatest).await {
                version = latest.snapshot.version().max(version);
            }
            if version < floor {
                version = config
                    .ask(PullFromPeers(Pull { version }))
                    .await
                    .unwrap_or(version);
            }
            if version < floor
                && context.feed.is_none()
                && let Some(head) = head
            {
                // The other nodes have these versions, or read them by themselves.
                let mut fetched = Vec::new();
                match catch_up(&context, &config, &head, &mut fetched).await {
                    Ok(()) => version = head.version,
                    Err(error) => {
                        log::warn!(event = "fetch-failed", version = floor; "could not fetch version {floor}: {error}");
                    }
                }
            }
            let _ = actor.tell(FetchCompleted(version)).await;
        });
    }
}

/// Reads the newest version from the feed and offers it to the config actor. `None` if the feed has
/// no version yet.
async fn read_feed(
    context: &NodeContext,
    feed: &dyn ConfigFeed,
    receivers: &JoinReceivers,
) -> Result<Option<Head>, CatchUpError> {
    let began_at = BootClock::now();
    let answer = feed.newest(context.store_deadline()).await?;
    context.metrics.count_feed_answer(&answer);
    let Some(snapshot) = answer.newest else {
        return Ok(None);
    };
    let version = snapshot.version();
    let offered = receivers.config.ask(OfferFeedSnapshot(snapshot)).await;
    offered.map_err(|_| CatchUpError::Stopping)?;
    // Without the position, the reading task reads the same version again.
    let position = ReaderMessage::PositionReached(answer.position);
    let _ = receivers.reader.try_send(position);
    if answer.shows_newest {
        let confirmed = ConfirmedVersion {
            version,
            moment: began_at,
        };
        let confirmed = ConfirmationMessage::VersionRead(confirmed);
        let _ = receivers.confirmations.try_send(confirmed);
    }
    Ok(Some(Head {
        version,
        ..Head::default()
    }))
}

struct HeadRead(Option<Head>);

impl Message<HeadRead> for JoinActor {
    type Reply = ();

    async fn handle(&mut self, HeadRead(head): HeadRead, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let version = head.as_ref().map(|head| head.version);
        if head.is_some() {
            self.head = head;
        }
        let effects = self.machine.on_head(version, now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
    }
}

struct JoinAnswered(Option<JoinAnswer>);

impl Message<JoinAnswered> for JoinActor {
    type Reply = ();

    async fn handle(
        &mut self,
        JoinAnswered(answer): JoinAnswered,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        if let Some(answer) = &answer
            && !answer.crashes.is_empty()
        {
            let merge = MergeCrashReports(answer.crashes.clone());
            // The send fails only while the node is stopping.
            let _ = self.receivers.crash_actor.tell(merge).await;
        }
        let effects = match answer {
            Some(answer) => self.machine.on_join_answer(&answer, now, &mut self.rng),
            None => self.machine.on_join_failed(&mut self.rng),
        };
        self.apply_effects(effects, &actor).await;
    }
}

struct FloorAnswered {
    node: String,
    answer: FloorAnswer,
}

impl Message<FloorAnswered> for JoinActor {
    type Reply = ();

    async fn handle(&mut self, answered: FloorAnswered, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let FloorAnswered { node, answer } = answered;
        let effects = self
            .machine
            .on_floor_answer(&node, &answer, now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
    }
}

struct FetchCompleted(u64);

impl Message<FetchCompleted> for JoinActor {
    type Reply = ();

    async fn handle(
        &mut self,
        FetchCompleted(version): FetchCompleted,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        self.held_version = self.held_version.max(version);
        let mut effects = self
            .machine
            .on_held_version(self.held_version, now, &mut self.rng);
        if self.machine.state() == JoinState::Fetching {
            effects.extend(self.machine.on_fetch_failed(now, &mut self.rng));
        }
        self.apply_effects(effects, &actor).await;
    }
}

/// Raises the held version to one that has become active.
pub(crate) struct SetHeldVersion(pub(crate) u64);

impl Message<SetHeldVersion> for JoinActor {
    type Reply = ();

    async fn handle(
        &mut self,
        SetHeldVersion(version): SetHeldVersion,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        self.held_version = self.held_version.max(version);
        let effects = self
            .machine
            .on_held_version(self.held_version, now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
    }
}

/// Adds control addresses of nodes that may answer a join, and starts the join if it has not
/// started.
pub(super) struct AddSeedAddresses(pub(super) Vec<String>);

impl Message<AddSeedAddresses> for JoinActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AddSeedAddresses(addresses): AddSeedAddresses,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
        self.machine.add_seed_addresses(&addresses);
        if self.machine.state() == JoinState::Starting {
            let effects = self.machine.start(now, &mut self.rng);
            self.apply_effects(effects, &actor).await;
        }
    }
}

/// Starts the drain: the node takes no new calls.
pub(crate) struct StartDrain;

impl Message<StartDrain> for JoinActor {
    type Reply = ();

    async fn handle(&mut self, _: StartDrain, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let effects = self.machine.drain(now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
    }
}

/// Reports that no calls are left at this node.
pub(crate) struct CallsDrained;

impl Message<CallsDrained> for JoinActor {
    type Reply = ();

    async fn handle(&mut self, _: CallsDrained, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let effects = self.machine.on_drained(now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
    }
}

struct JoinTick;

#[derive(kameo::Reply)]
struct JoinPhase(JoinState);

impl Message<JoinTick> for JoinActor {
    type Reply = JoinPhase;

    async fn handle(&mut self, _: JoinTick, context: &mut Context<Self, JoinPhase>) -> JoinPhase {
        let actor = context.actor_ref().clone();
        let now = self.context.clock.now();
        let effects = self.machine.tick(now, &mut self.rng);
        self.apply_effects(effects, &actor).await;
        JoinPhase(self.machine.state())
    }
}

/// Checks the deadlines of the join until the actor stops.
pub(crate) async fn run_join(join: ActorRef<JoinActor>) {
    while let Ok(JoinPhase(state)) = join.ask(JoinTick).await {
        let pause = if state == JoinState::Serving {
            SERVING_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        tokio::time::sleep(pause).await;
    }
}
