//! The actor that owns the member table, the failure detector and the floors recorded for other
//! nodes.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    FailureDetector, FloorTable, JoinResponder, MemberEffect, MemberSettings, MemberTable,
    ResponderSettings, UpdateReport,
};
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, FloorAnswer, FloorRecord, IndirectAnswer, Join,
    JoinAnswer, Member, MemberStatus, Probe, ProbeAnswer, Rumor, SpreadScope, Sync, SyncAnswer,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::calls::{CrashActor, MergeCrashReports};
use crate::config::{ConfigActor, ObservePeerVersion};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationRelay, StartDissemination};
use crate::peer::PeerAddress;
use crate::wire_answer::WireAnswer;

/// Timeout of a probe, also of one sent on behalf of another node.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an anti-entropy exchange and of a request for an indirect probe.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a collector has to accept a report, before another one is tried. Several times the round trip
/// between the domains of a region.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the answer to a join counts as sent. A member table of 0.6 MB, the size
/// expected in two years, takes 50 ms at 100 Mbit/s.
const JOIN_ANSWER_SEND_TIME: Duration = Duration::from_millis(50);

/// Maximum pause between two ticks of the failure detector. A message received during the pause may
/// set a deadline earlier than the one from which the pause was computed.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(100);

/// Owns the [`FailureDetector`] and publishes its member table.
#[derive(Actor)]
pub(crate) struct MemberActor {
    context: NodeContext,
    detector: FailureDetector,
    floor_table: FloorTable,
    responder: JoinResponder,
    table_sender: watch::Sender<Arc<MemberTable>>,
    relay: ActorRef<DisseminationRelay>,
    config: ActorRef<ConfigActor>,
    crash_actor: ActorRef<CrashActor>,
}

impl MemberActor {
    pub(crate) fn new(
        context: NodeContext,
        table_sender: watch::Sender<Arc<MemberTable>>,
        relay: ActorRef<DisseminationRelay>,
        config: ActorRef<ConfigActor>,
        crash_actor: ActorRef<CrashActor>,
    ) -> Self {
        let now = context.clock.now();
        let settings = MemberSettings::default();
        let detector =
            FailureDetector::new(&context.local_member, &settings, now, &mut rand::rng());
        table_sender.send_replace(Arc::new(detector.table().clone()));
        let floor_table = FloorTable::new(&context.local_member.domain);
        let responder = JoinResponder::new(&ResponderSettings::default());
        Self {
            context,
            detector,
            floor_table,
            responder,
            table_sender,
            relay,
            config,
            crash_actor,
        }
    }

    fn now(&self) -> Instant {
        self.context.clock.now()
    }

    async fn apply_effects(&mut self, effects: Vec<MemberEffect>, actor: &ActorRef<Self>) {
        for effect in effects {
            match effect {
                MemberEffect::Probe {
                    node,
                    address,
                    probe,
                } => self.send_probe(node, &address, probe, actor),
                MemberEffect::RequestIndirectProbe { address, request } => {
                    let node = request.node.clone();
                    let request = ControlPlaneRequest::ProbeThrough { probe: request };
                    self.send(&address, request, SYNC_TIMEOUT, actor, move |answer| {
                        let answer = match answer {
                            ControlPlaneResponse::ProbeThrough(answer) => answer,
                            _ => IndirectAnswer::default(),
                        };
                        PeerAnswer::IndirectProbe { node, answer }
                    });
                }
                MemberEffect::Sync { address, sync } => {
                    let request = ControlPlaneRequest::Sync { sync };
                    let from = address.clone();
                    self.send(&address, request, SYNC_TIMEOUT, actor, move |answer| {
                        let answer = match answer {
                            ControlPlaneResponse::Sync(answer) => answer,
                            _ => SyncAnswer::default(),
                        };
                        PeerAnswer::Sync { from, answer }
                    });
                }
                MemberEffect::ReportUpdates(report) => self.send_report(report, actor),
                MemberEffect::Broadcast(members) => self.broadcast(members).await,
                MemberEffect::ViewChanged => {
                    let table = self.detector.table().clone();
                    self.table_sender.send_replace(Arc::new(table));
                }
            }
        }
    }

    fn send_probe(&self, node: String, address: &str, probe: Probe, actor: &ActorRef<Self>) {
        let request = ControlPlaneRequest::Probe { probe };
        self.send(address, request, PROBE_TIMEOUT, actor, move |answer| {
            let answer = match answer {
                ControlPlaneResponse::Probe(answer) => answer,
                _ => ProbeAnswer::default(),
            };
            PeerAnswer::Probe { node, answer }
        });
    }

    /// Sends a request and passes the answer to this actor as a message. After a failed request
    /// nothing is sent: the deadline of the failure detector expires.
    fn send(
        &self,
        address: &str,
        request: ControlPlaneRequest,
        timeout: Duration,
        actor: &ActorRef<Self>,
        to_message: impl FnOnce(ControlPlaneResponse) -> PeerAnswer + Send + 'static,
    ) {
        let Some(peer) = self.peer_at(address) else {
            return;
        };
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            let deadline = tokio::time::Instant::now() + timeout;
            match context.transport.send(&peer, request, deadline).await {
                // The send fails only while the node is stopping.
                Ok(answer) => drop(actor.tell(to_message(answer)).await),
                Err(error) => log::debug!("request to {} failed: {error}", peer.address),
            }
        });
    }

    fn peer_at(&self, address: &str) -> Option<PeerAddress> {
        PeerAddress::from_control_address(
            self.detector.table(),
            &self.context.local_member,
            address,
        )
    }

    fn send_report(&self, report: UpdateReport, actor: &ActorRef<Self>) {
        let Some(peer) = self.peer_at(&report.address) else {
            return;
        };
        let rumor = Rumor {
            scope: SpreadScope::Collect.into(),
            members: report.members.clone(),
            ..Rumor::default()
        };
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            let deadline = tokio::time::Instant::now() + REPORT_TIMEOUT;
            let request = ControlPlaneRequest::Rumor { rumor };
            let answer = context.transport.send(&peer, request, deadline).await;
            let ended = ReportEnded {
                report,
                is_accepted: answer.is_ok(),
            };
            // The send fails only while the node is stopping.
            let _ = actor.tell(ended).await;
        });
    }

    async fn broadcast(&self, members: Vec<Member>) {
        let dissemination = StartDissemination::of_rumor(members, Vec::new());
        // The send fails only while the node is stopping.
        let _ = self.relay.tell(dissemination).await;
    }

    async fn report_peer_version(&self, version: u64) {
        if version > self.context.served().snapshot.version() {
            let _ = self.config.tell(ObservePeerVersion { version }).await;
        }
    }

    fn record_floors(&mut self, updates: &[Member]) {
        for member in updates {
            self.floor_table.observe(member);
        }
    }
}

/// Merges member updates that were broadcast.
pub(crate) struct MergeBroadcast(pub(crate) Vec<Member>);

impl Message<MergeBroadcast> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        MergeBroadcast(updates): MergeBroadcast,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        self.record_floors(&updates);
        let effects = self.detector.on_broadcast(&updates, self.now());
        self.apply_effects(effects, &actor).await;
    }
}

/// Merges member updates that this node broadcasts as the collector of its domain.
pub(crate) struct CollectUpdates(pub(crate) Vec<Member>);

impl Message<CollectUpdates> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        CollectUpdates(updates): CollectUpdates,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        self.record_floors(&updates);
        let effects = self.detector.on_update_report(&updates, self.now());
        self.apply_effects(effects, &actor).await;
    }
}

/// A collector has accepted a report, or did not answer in time.
struct ReportEnded {
    report: UpdateReport,
    is_accepted: bool,
}

impl Message<ReportEnded> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, ended: ReportEnded, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let report = &ended.report;
        if ended.is_accepted {
            return self.detector.on_report_accepted(&report.collector);
        }
        let now = self.now();
        let effects = self.detector.on_report_failed(report, now);
        self.apply_effects(effects, &actor).await;
    }
}

/// Merges the complete member list of another node or of the store.
pub(crate) struct MergeMemberList(pub(crate) Vec<Member>);

impl Message<MergeMemberList> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        MergeMemberList(members): MergeMemberList,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        self.record_floors(&members);
        let effects = self.detector.merge_member_list(&members, self.now());
        self.apply_effects(effects, &actor).await;
    }
}

/// Sets the control addresses found in the store. The failure detector syncs member tables with
/// addresses that belong to no live member, so that partitions that formed separately merge.
pub(super) struct SetSeedAddresses(pub(super) Vec<String>);

impl Message<SetSeedAddresses> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        SetSeedAddresses(addresses): SetSeedAddresses,
        _: &mut Context<Self, ()>,
    ) {
        let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
        self.detector.set_seed_addresses(&addresses);
    }
}

/// Answers a probe of another node.
pub(crate) struct AnswerProbe(pub(crate) Probe);

impl Message<AnswerProbe> for MemberActor {
    type Reply = WireAnswer<ProbeAnswer>;

    async fn handle(
        &mut self,
        AnswerProbe(probe): AnswerProbe,
        context: &mut Context<Self, WireAnswer<ProbeAnswer>>,
    ) -> WireAnswer<ProbeAnswer> {
        let actor = context.actor_ref().clone();
        self.record_floors(&probe.updates);
        let (answer, effects) = self.detector.on_probe(&probe, self.now());
        self.apply_effects(effects, &actor).await;
        self.report_peer_version(probe.version).await;
        WireAnswer(answer)
    }
}

/// Answers an anti-entropy exchange of member tables.
pub(crate) struct AnswerSync(pub(crate) Sync);

impl Message<AnswerSync> for MemberActor {
    type Reply = WireAnswer<SyncAnswer>;

    async fn handle(
        &mut self,
        AnswerSync(sync): AnswerSync,
        context: &mut Context<Self, WireAnswer<SyncAnswer>>,
    ) -> WireAnswer<SyncAnswer> {
        let actor = context.actor_ref().clone();
        self.record_floors(&sync.entries);
        let (answer, effects) = self.detector.on_sync(&sync, self.now());
        self.apply_effects(effects, &actor).await;
        WireAnswer(answer)
    }
}

/// Answers the join request of a node that has just started.
pub(crate) struct AnswerJoin(pub(crate) Join);

impl Message<AnswerJoin> for MemberActor {
    type Reply = WireAnswer<JoinAnswer>;

    async fn handle(
        &mut self,
        AnswerJoin(join): AnswerJoin,
        context: &mut Context<Self, WireAnswer<JoinAnswer>>,
    ) -> WireAnswer<JoinAnswer> {
        let actor = context.actor_ref().clone();
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
            self.apply_effects(effects, &actor).await;
            for member in joined {
                release_after_answer(member.node, &actor);
            }
        }
        WireAnswer(answer)
    }
}

/// Ends the join of `node` at the responder after [`JOIN_ANSWER_SEND_TIME`].
fn release_after_answer(node: String, actor: &ActorRef<MemberActor>) {
    let actor = actor.clone();
    tokio::spawn(async move {
        tokio::time::sleep(JOIN_ANSWER_SEND_TIME).await;
        // The send fails only while the node is stopping.
        let _ = actor.tell(JoinAnswerSent(node)).await;
    });
}

struct JoinAnswerSent(String);

impl Message<JoinAnswerSent> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, JoinAnswerSent(node): JoinAnswerSent, _: &mut Context<Self, ()>) {
        self.responder.release(&node);
    }
}

/// Records the floor of a node that is about to activate a version, or answers its floor query.
pub(crate) struct RecordFloor(pub(crate) FloorRecord);

impl Message<RecordFloor> for MemberActor {
    type Reply = WireAnswer<FloorAnswer>;

    async fn handle(
        &mut self,
        RecordFloor(record): RecordFloor,
        _: &mut Context<Self, WireAnswer<FloorAnswer>>,
    ) -> WireAnswer<FloorAnswer> {
        WireAnswer(self.floor_table.record(&record))
    }
}

/// Sets the active version in the own entry.
pub(crate) struct SetActiveVersion(pub(crate) u64);

impl Message<SetActiveVersion> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        SetActiveVersion(version): SetActiveVersion,
        _: &mut Context<Self, ()>,
    ) {
        self.detector.set_version(version);
    }
}

/// The answer of a peer to a request of this actor.
enum PeerAnswer {
    Probe {
        node: String,
        answer: ProbeAnswer,
    },
    IndirectProbe {
        node: String,
        answer: IndirectAnswer,
    },
    Sync {
        from: String,
        answer: SyncAnswer,
    },
}

impl Message<PeerAnswer> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, peer_answer: PeerAnswer, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.now();
        let effects = match peer_answer {
            PeerAnswer::Probe { node, answer } => {
                self.record_floors(&answer.updates);
                self.report_peer_version(answer.version).await;
                self.detector.on_probe_answer(&node, &answer, now)
            }
            PeerAnswer::IndirectProbe { node, answer } => {
                self.detector.on_indirect_answer(&node, &answer);
                Vec::new()
            }
            PeerAnswer::Sync { from, mut answer } => {
                let crashes = std::mem::take(&mut answer.crashes);
                if !crashes.is_empty() {
                    // The send fails only while the node is stopping.
                    let _ = self.crash_actor.tell(MergeCrashReports(crashes)).await;
                }
                self.record_floors(&answer.entries);
                self.detector.on_sync_answer(&from, &answer, now)
            }
        };
        self.apply_effects(effects, &actor).await;
    }
}

/// Makes the failure detector check its deadlines. The reply is the next deadline.
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
        let actor = context.actor_ref().clone();
        let effects = self.detector.tick(self.now(), &mut rand::rng());
        self.apply_effects(effects, &actor).await;
        NextDeadline(self.detector.next_deadline())
    }
}

/// Ticks the failure detector at its deadlines until the actor stops.
pub(crate) async fn run_detector(context: NodeContext, members: ActorRef<MemberActor>) {
    while let Ok(NextDeadline(deadline)) = members.ask(DetectorTick).await {
        let latest = context.clock.now().after(MAX_TICK_PAUSE);
        tokio::time::sleep_until(context.clock.runtime_instant(deadline.min(latest))).await;
    }
}

/// Sets the service and the slots of the local target in the own entry. An empty service means that
/// the target takes no calls.
pub(crate) struct SetTarget {
    pub(crate) service: String,
    pub(crate) slots: u32,
    /// Software version of the target; empty if it is not known.
    pub(crate) version: String,
    pub(crate) warming: bool,
}

impl Message<SetTarget> for MemberActor {
    type Reply = ();

    async fn handle(&mut self, target: SetTarget, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let now = self.now();
        let effects = self.detector.set_target(
            &target.service,
            &target.version,
            target.slots,
            target.warming,
            now,
        );
        self.apply_effects(effects, &actor).await;
    }
}

/// Announces to the other nodes that this node is draining or has left.
pub(crate) struct AnnounceStatus(pub(crate) MemberStatus);

impl Message<AnnounceStatus> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AnnounceStatus(status): AnnounceStatus,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let now = self.now();
        let effects = if status == MemberStatus::Draining {
            self.detector.drain(now)
        } else {
            self.detector.leave(now)
        };
        self.apply_effects(effects, &actor).await;
    }
}
