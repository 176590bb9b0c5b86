//! The actor that owns the member table, the failure detector and the floors witnessed here.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    DisseminationRequest, DisseminationScope, FailureDetector, FloorTable, JoinResponder,
    MemberEffect, MemberSettings, MemberTable, ResponderSettings,
};
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, FloorAnswer, FloorRecord, IndirectAnswer, Join,
    JoinAnswer, Member, MemberStatus, Probe, ProbeAnswer, Sync, SyncAnswer,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::Rng;
use tokio::sync::watch;

use crate::answer::Answer;
use crate::config::{ConfigActor, NoteAhead};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};
use crate::peer::PeerAddress;

/// Time allowed for the answer to a probe sent on behalf of another node.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for the answer to a comparison of member tables.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the answer to a join counts as sent. The member table of two years from now,
/// 0.6 MB, takes 50 ms at 100 Mbit/s.
const JOIN_ANSWER_TIME: Duration = Duration::from_millis(50);

/// Longest pause between two ticks of the failure detector. A message may have set a deadline that
/// is earlier than the one the pause was computed from.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(100);

/// Owns the [`FailureDetector`] and publishes its member table.
#[derive(Actor)]
pub(crate) struct MemberActor {
    context: NodeContext,
    detector: FailureDetector,
    floor_table: FloorTable,
    responder: JoinResponder,
    published: watch::Sender<Arc<MemberTable>>,
    relay: ActorRef<DisseminationRelay>,
    config: ActorRef<ConfigActor>,
}

impl MemberActor {
    pub(crate) fn new(
        context: NodeContext,
        published: watch::Sender<Arc<MemberTable>>,
        relay: ActorRef<DisseminationRelay>,
        config: ActorRef<ConfigActor>,
    ) -> Self {
        let now = context.clock.now();
        let settings = MemberSettings::default();
        let detector = FailureDetector::new(&context.own, &settings, now, &mut rand::rng());
        published.send_replace(Arc::new(detector.table().clone()));
        let floor_table = FloorTable::new(&context.own.domain);
        let responder = JoinResponder::new(&ResponderSettings::default());
        Self {
            context,
            detector,
            floor_table,
            responder,
            published,
            relay,
            config,
        }
    }

    fn now(&self) -> Instant {
        self.context.clock.now()
    }

    async fn carry_out(&mut self, effects: Vec<MemberEffect>, keeper: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                MemberEffect::Probe {
                    node,
                    address,
                    probe,
                } => self.send_probe(node, &address, probe, keeper),
                MemberEffect::RequestIndirectProbe { address, request } => {
                    let node = request.node.clone();
                    let request = ControlPlaneRequest::ProbeThrough { probe: request };
                    self.send(&address, request, SYNC_TIMEOUT, keeper, move |answer| {
                        let answer = match answer {
                            ControlPlaneResponse::ProbeThrough(answer) => answer,
                            _ => IndirectAnswer::default(),
                        };
                        PeerNews::Indirect { node, answer }
                    });
                }
                MemberEffect::Sync { address, sync } => {
                    let request = ControlPlaneRequest::Sync { sync };
                    let from = address.clone();
                    self.send(&address, request, SYNC_TIMEOUT, keeper, move |answer| {
                        let answer = match answer {
                            ControlPlaneResponse::Sync(answer) => answer,
                            _ => SyncAnswer::default(),
                        };
                        PeerNews::Synced { from, answer }
                    });
                }
                MemberEffect::Broadcast(member) => self.announce(member).await,
                MemberEffect::ViewChanged => {
                    let table = self.detector.table().clone();
                    self.published.send_replace(Arc::new(table));
                }
            }
        }
    }

    fn send_probe(&self, node: String, address: &str, probe: Probe, keeper: &ActorRef<Self>) {
        let request = ControlPlaneRequest::Probe { probe };
        self.send(address, request, PROBE_TIMEOUT, keeper, move |answer| {
            let answer = match answer {
                ControlPlaneResponse::Probe(answer) => answer,
                _ => ProbeAnswer::default(),
            };
            PeerNews::Probed { node, answer }
        });
    }

    /// Sends a request and hands the answer back to this actor. A request without an answer leaves
    /// the deadline of the failure detector to pass.
    fn send(
        &self,
        address: &str,
        request: ControlPlaneRequest,
        timeout: Duration,
        keeper: &ActorRef<Self>,
        news: impl FnOnce(ControlPlaneResponse) -> PeerNews + Send + 'static,
    ) {
        let Some(peer) = self.peer_at(address) else {
            return;
        };
        let (context, keeper) = (self.context.clone(), keeper.clone());
        tokio::spawn(async move {
            let deadline = tokio::time::Instant::now() + timeout;
            match context.transport.send(&peer, request, deadline).await {
                // The keeper is gone only when the node is stopping.
                Ok(answer) => drop(keeper.tell(news(answer)).await),
                Err(error) => log::debug!("no answer from {}: {error}", peer.address),
            }
        });
    }

    fn peer_at(&self, address: &str) -> Option<PeerAddress> {
        PeerAddress::from_control_address(self.detector.table(), &self.context.own, address)
    }

    async fn announce(&self, member: Member) {
        let payload = DisseminationPayload::Rumor {
            members: vec![member],
            crashes: Vec::new(),
        };
        let request = DisseminationRequest {
            salt: rand::rng().random(),
            scope: DisseminationScope::AllRegions,
        };
        // The relay is gone only when the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }

    async fn compare_version(&self, version: u64) {
        if version > self.context.served().snapshot.version() {
            let _ = self.config.tell(NoteAhead { version }).await;
        }
    }

    fn observe(&mut self, updates: &[Member]) {
        for member in updates {
            self.floor_table.observe(member);
        }
    }
}

/// Updates that came with a rumor.
pub(crate) struct MergeMembers(pub(crate) Vec<Member>);

impl Message<MergeMembers> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        MergeMembers(updates): MergeMembers,
        context: &mut Context<Self, ()>,
    ) {
        let keeper = context.actor_ref().clone();
        self.observe(&updates);
        let effects = self.detector.merge_updates(&updates, self.now());
        self.carry_out(effects, &keeper).await;
    }
}

/// All members as another node knows them, received on joining.
pub(crate) struct AdoptMembers(pub(crate) Vec<Member>);

impl Message<AdoptMembers> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AdoptMembers(members): AdoptMembers,
        context: &mut Context<Self, ()>,
    ) {
        let keeper = context.actor_ref().clone();
        self.observe(&members);
        let effects = self.detector.merge_member_list(&members, self.now());
        self.carry_out(effects, &keeper).await;
    }
}

/// Control addresses that the store names. The failure detector compares tables with those of which
/// it knows no live node, so that a part of the mesh that formed apart is joined to the rest.
pub(super) struct SetContacts(pub(super) Vec<String>);

impl Message<SetContacts> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, SetContacts(addresses): SetContacts, _: &mut Context<Self, ()>) {
        let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
        self.detector.set_seed_addresses(&addresses);
    }
}

/// A probe from another node.
pub(crate) struct AnswerProbe(pub(crate) Probe);

impl Message<AnswerProbe> for MemberActor {
    type Reply = Answer<ProbeAnswer>;

    async fn handle(
        &mut self,
        AnswerProbe(probe): AnswerProbe,
        context: &mut Context<Self, Answer<ProbeAnswer>>,
    ) -> Answer<ProbeAnswer> {
        let keeper = context.actor_ref().clone();
        self.observe(&probe.updates);
        let (answer, effects) = self.detector.on_probe(&probe, self.now());
        self.carry_out(effects, &keeper).await;
        self.compare_version(probe.version).await;
        Answer(answer)
    }
}

/// A comparison of member tables.
pub(crate) struct AnswerSync(pub(crate) Sync);

impl Message<AnswerSync> for MemberActor {
    type Reply = Answer<SyncAnswer>;

    async fn handle(
        &mut self,
        AnswerSync(sync): AnswerSync,
        context: &mut Context<Self, Answer<SyncAnswer>>,
    ) -> Answer<SyncAnswer> {
        let keeper = context.actor_ref().clone();
        self.observe(&sync.entries);
        let (answer, effects) = self.detector.on_sync(&sync, self.now());
        self.carry_out(effects, &keeper).await;
        Answer(answer)
    }
}

/// A node that has just started.
pub(crate) struct AnswerJoin(pub(crate) Join);

impl Message<AnswerJoin> for MemberActor {
    type Reply = Answer<JoinAnswer>;

    async fn handle(
        &mut self,
        AnswerJoin(join): AnswerJoin,
        context: &mut Context<Self, Answer<JoinAnswer>>,
    ) -> Answer<JoinAnswer> {
        let keeper = context.actor_ref().clone();
        let now = self.now();
        let served = self.context.served();
        let version = if served.may_serve {
            served.snapshot.version()
        } else {
            0
        };
        let table = self.detector.table();
        let answer = self
            .responder
            .answer_join(&join, table, &self.floor_table, version, now);
        if answer.accepted {
            let joined: Vec<Member> = join.member.into_iter().collect();
            let effects = self.detector.merge_updates(&joined, now);
            self.carry_out(effects, &keeper).await;
            for member in joined {
                release_later(member.node, &keeper);
            }
        }
        Answer(answer)
    }
}

/// Frees the place of a join once its answer has had the time to be sent.
fn release_later(node: String, keeper: &ActorRef<MemberActor>) {
    let keeper = keeper.clone();
    tokio::spawn(async move {
        tokio::time::sleep(JOIN_ANSWER_TIME).await;
        // The keeper is gone only when the node is stopping.
        let _ = keeper.tell(JoinAnswerSent(node)).await;
    });
}

struct JoinAnswerSent(String);

impl Message<JoinAnswerSent> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, JoinAnswerSent(node): JoinAnswerSent, _: &mut Context<Self, ()>) {
        self.responder.release(&node);
    }
}

/// Another node is about to put a version in force, or asks which one it held.
pub(crate) struct RecordFloor(pub(crate) FloorRecord);

impl Message<RecordFloor> for MemberActor {
    type Reply = Answer<FloorAnswer>;

    async fn handle(
        &mut self,
        RecordFloor(record): RecordFloor,
        _: &mut Context<Self, Answer<FloorAnswer>>,
    ) -> Answer<FloorAnswer> {
        Answer(self.floor_table.record(&record))
    }
}

/// A version is in force at this node.
pub(crate) struct VersionInForce(pub(crate) u64);

impl Message<VersionInForce> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, VersionInForce(version): VersionInForce, _: &mut Context<Self, ()>) {
        self.detector.set_version(version);
    }
}

/// What came back from a node that was asked.
enum PeerNews {
    Probed {
        node: String,
        answer: ProbeAnswer,
    },
    Indirect {
        node: String,
        answer: IndirectAnswer,
    },
    Synced {
        from: String,
        answer: SyncAnswer,
    },
}

impl Message<PeerNews> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, news: PeerNews, context: &mut Context<Self, ()>) {
        let keeper = context.actor_ref().clone();
        let now = self.now();
        let effects = match news {
            PeerNews::Probed { node, answer } => {
                self.observe(&answer.updates);
                self.compare_version(answer.version).await;
                self.detector.on_probe_answer(&node, &answer, now)
            }
            PeerNews::Indirect { node, answer } => {
                self.detector.on_indirect_answer(&node, &answer);
                Vec::new()
            }
            PeerNews::Synced { from, answer } => {
                self.observe(&answer.entries);
                self.detector.on_sync_answer(&from, &answer, now)
            }
        };
        self.carry_out(effects, &keeper).await;
    }
}

/// Time for the failure detector to look at its deadlines. The reply is the next deadline.
struct DetectorTick;

#[derive(kameo::Reply)]
struct NextDeadline(Instant);

impl Message<DetectorTick> for MemberActor {
    type Reply = NextDeadline;

    async fn handle(
        &mut self,
        _: DetectorTick,
        context: &mut Context<Self, NextDeadline>,
    ) -> NextDeadline {
        let keeper = context.actor_ref().clone();
        let effects = self.detector.tick(self.now(), &mut rand::rng());
        self.carry_out(effects, &keeper).await;
        NextDeadline(self.detector.next_deadline())
    }
}

/// Drives the failure detector until the node stops.
pub(crate) async fn run_detector(context: NodeContext, members: ActorRef<MemberActor>) {
    while let Ok(NextDeadline(deadline)) = members.ask(DetectorTick).await {
        let latest = context.clock.now().after(MAX_TICK_PAUSE);
        tokio::time::sleep_until(context.clock.runtime_instant(deadline.min(latest))).await;
    }
}

/// What the target beside this node takes calls for; an empty service says that it takes none.
pub(crate) struct SetTarget {
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) warming: bool,
}

impl Message<SetTarget> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, target: SetTarget, context: &mut Context<Self, ()>) {
        let keeper = context.actor_ref().clone();
        let now = self.now();
        let effects = self
            .detector
            .set_target(&target.service, target.slots, target.warming, now);
        self.carry_out(effects, &keeper).await;
    }
}

/// The node takes no new work, or is stopping: tell the others.
pub(crate) struct Leave(pub(crate) MemberStatus);

impl Message<Leave> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, Leave(status): Leave, context: &mut Context<Self, ()>) {
        let keeper = context.actor_ref().clone();
        let now = self.now();
        let effects = if status == MemberStatus::Draining {
            self.detector.drain(now)
        } else {
            self.detector.leave(now)
        };
        self.carry_out(effects, &keeper).await;
    }
}
