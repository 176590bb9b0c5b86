//! The server of the control protocol.

use agatedeck_control::{VersionOrigin, is_probe_answer_of};
use agatedeck_wire::{
    ConfirmationRequest, ControlPlane, ControlPlaneRequest, ControlPlaneResponse, FloorAnswer,
    FloorRecord, IndirectAnswer, IndirectProbe, Join, JoinAnswer, Offer, OfferAnswer, OfferOutcome,
    Probe, ProbeAnswer, Pull, PullAnswer, QuotaAnswer, QuotaRequest, ReaderHeartbeat,
    ReaderHeartbeatAnswer, RolloutReport, RolloutReportAnswer, Rumor, RumorAnswer, SpreadScope,
    Survey, SurveyAnswer, Sync, SyncAnswer, VersionConfirmation, server_transport,
};
use futures::StreamExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::time::Instant;

use super::frame_stream::FrameStream;
use crate::adapters::FeedPosition;
use crate::admin::survey;
use crate::calls::{CrashActor, ListCrashReports, MergeCrashReports};
use crate::clock::BootClock;
use crate::config::{AnswerPull, ConfigActor, ObservePeerVersion, OfferVersion};
use crate::confirmation::ConfirmationMessage;
use crate::connections::{ClientStream, ConnectionHandler};
use crate::context::NodeContext;
use crate::control_plane::VersionSenders;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};
use crate::member::{
    AnswerJoin, AnswerProbe, AnswerSync, CollectUpdates, MemberActor, MergeBroadcast,
    PROBE_TIMEOUT, RecordFloor,
};
use crate::memory::MemoryAccount;
use crate::peer::PeerAddress;
use crate::quota::{AnswerQuota, QuotaActor};
use crate::rollout::{MergeHeartbeat, RecordReport, RolloutActor};
use crate::store::ReaderMessage;

/// Passes requests of other nodes to the actors that own the state.
#[derive(Clone)]
pub(crate) struct ControlServer {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) members: ActorRef<MemberActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
    pub(crate) crash_actor: ActorRef<CrashActor>,
    pub(crate) quotas: ActorRef<QuotaActor>,
    pub(crate) versions: VersionSenders,
    pub(crate) rollouts: ActorRef<RolloutActor>,
}

/// Maximum number of requests of one connection that are open at the same time. A node has at most 256
/// waiting, and some that it has given up.
const MAX_OPEN_REQUESTS: usize = 512;

/// Serves the control protocol on the connections of its listener.
pub(crate) struct ControlHandler {
    server: ControlServer,
    /// Account of the frames that are not complete.
    frames: MemoryAccount,
}

impl ControlHandler {
    pub(crate) fn new(server: ControlServer, frames: MemoryAccount) -> Self {
        Self { server, frames }
    }
}

impl ConnectionHandler for ControlHandler {
    fn serve(&self, stream: ClientStream) -> BoxFuture<'static, ()> {
        let server = self.server.clone();
        let connection = stream.connection().clone();
        let stream = FrameStream::new(stream, &self.frames);
        Box::pin(async move {
            let channel = BaseChannel::with_defaults(server_transport(stream));
            let channel = channel.max_concurrent_requests(MAX_OPEN_REQUESTS);
            let requests = channel.execute(server.serve());
            let answered = requests.for_each(|request| async {
                tokio::spawn(request);
            });
            tokio::select! {
                () = answered => {}
                () = connection.wait_for_close() => {}
            }
        })
    }
}

impl ControlServer {
    /// Probes a node on behalf of one that could not reach it. Returns whether the node itself
    /// answered.
    async fn probe_indirectly(&self, request: &IndirectProbe) -> bool {
        let table = self.context.table();
        let member = table.get(&request.node);
        let Some(peer) = member.and_then(PeerAddress::from_member) else {
            return false;
        };
        let local_member = &self.context.local_member;
        let probe = Probe {
            node: local_member.node.clone(),
            incarnation: local_member.incarnation,
            version: self.context.served().snapshot.version(),
            ..Probe::default()
        };
        let probe = ControlPlaneRequest::Probe { probe };
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let answer = self.context.transport.send(&peer, probe, deadline).await;
        matches!(answer, Ok(ControlPlaneResponse::Probe(answer)) if is_probe_answer_of(&answer, &request.node))
    }
}

impl ControlPlane for ControlServer {
    async fn offer(self, _: Context, offer: Offer) -> OfferAnswer {
        let payload = DisseminationPayload::Version {
            version: offer.version,
            delta: offer.delta.clone(),
        };
        let dissemination =
            StartDissemination::from_message(offer.version, offer.scope(), offer.position, payload);
        let answer = self
            .config
            .ask(OfferVersion {
                offer,
                origin: VersionOrigin::Tree,
            })
            .await
            .unwrap_or_default()
            .0;
        if answer.outcome() != OfferOutcome::Refused {
            // The send fails only while the node is stopping. The receivers then learn of the
            // version from probes.
            let _ = self.relay.tell(dissemination).await;
        }
        answer
    }

    async fn pull(self, _: Context, pull: Pull) -> PullAnswer {
        self.config
            .ask(AnswerPull(pull))
            .await
            .unwrap_or_default()
            .0
    }

    async fn probe(self, _: Context, probe: Probe) -> ProbeAnswer {
        self.members
            .ask(AnswerProbe(probe))
            .await
            .unwrap_or_default()
            .0
    }

    async fn probe_through(self, _: Context, probe: IndirectProbe) -> IndirectAnswer {
        let reached = self.probe_indirectly(&probe).await;
        IndirectAnswer { reached }
    }

    async fn sync(self, _: Context, sync: Sync) -> SyncAnswer {
        // The second request of an exchange has none.
        let begins_exchange = !sync.digests.is_empty();
        let answer = self.members.ask(AnswerSync(sync)).await;
        let mut answer = answer.unwrap_or_default().0;
        if begins_exchange {
            let reports = self.crash_actor.ask(ListCrashReports::Refused).await;
            answer.crashes = reports.unwrap_or_default().0;
        }
        answer
    }

    async fn rumor(self, _: Context, rumor: Rumor) -> RumorAnswer {
        let answer = RumorAnswer {
            version: self.context.served().snapshot.version(),
        };
        // The sends fail only while the node is stopping.
        if rumor.scope() == SpreadScope::Collect {
            let _ = self.members.tell(CollectUpdates(rumor.members)).await;
            return answer;
        }
        let payload = DisseminationPayload::Rumor {
            members: rumor.members.clone(),
            crashes: rumor.crashes.clone(),
        };
        let dissemination =
            StartDissemination::from_message(rumor.salt, rumor.scope(), rumor.position, payload);
        let _ = self.members.tell(MergeBroadcast(rumor.members)).await;
        if !rumor.crashes.is_empty() {
            let _ = self
                .crash_actor
                .tell(MergeCrashReports(rumor.crashes))
                .await;
        }
        let _ = self.relay.tell(dissemination).await;
        answer
    }

    async fn reader_heartbeat(
        self,
        _: Context,
        heartbeat: ReaderHeartbeat,
    ) -> ReaderHeartbeatAnswer {
        let (node, version) = (heartbeat.node.clone(), heartbeat.version);
        let position = FeedPosition {
            generation: heartbeat.feed_generation,
            offset: heartbeat.feed_position,
        };
        let position = (position > FeedPosition::default()).then_some(position);
        if !heartbeat.rollouts.is_empty() || !self.context.rollouts().is_known {
            let merge = MergeHeartbeat {
                node: node.clone(),
                is_pending: heartbeat.rollouts_pending,
                states: heartbeat.rollouts.clone(),
            };
            let _ = self.rollouts.tell(merge).await;
        }
        let dissemination = StartDissemination::from_message(
            heartbeat.salt,
            heartbeat.scope(),
            heartbeat.position,
            DisseminationPayload::ReaderHeartbeat {
                node: heartbeat.node,
                version,
                position,
                rollouts: heartbeat.rollouts,
                rollouts_pending: heartbeat.rollouts_pending,
            },
        );
        let _ = self.relay.tell(dissemination).await;
        let _ = self
            .versions
            .confirmations
            .try_send(ConfirmationMessage::HeartbeatReceived(node.clone()));
        // A full queue holds other heartbeats that the reading task has yet to handle.
        let _ = self.versions.reader.try_send(ReaderMessage::Heartbeat {
            node,
            version,
            position,
        });
        if version > self.context.served().snapshot.version() {
            let _ = self.config.tell(ObservePeerVersion { version }).await;
        }
        ReaderHeartbeatAnswer {}
    }

    async fn record_floor(self, _: Context, record: FloorRecord) -> FloorAnswer {
        self.members
            .ask(RecordFloor(record))
            .await
            .unwrap_or_default()
            .0
    }

    async fn join(self, _: Context, join: Join) -> JoinAnswer {
        let answer = self.members.ask(AnswerJoin(join)).await;
        let mut answer = answer.unwrap_or_default().0;
        if answer.accepted {
            let reports = self.crash_actor.ask(ListCrashReports::Counted).await;
            answer.crashes = reports.unwrap_or_default().0;
        }
        answer
    }

    async fn survey(self, _: Context, request: Survey) -> SurveyAnswer {
        survey(&self.context, &self.config, request.scope()).await
    }

    async fn confirm_version(self, _: Context, _: ConfirmationRequest) -> VersionConfirmation {
        let confirmations = self.context.confirmations.borrow();
        confirmations.answer(BootClock::now())
    }

    async fn request_quota(self, _: Context, request: QuotaRequest) -> QuotaAnswer {
        let answer = self.quotas.ask(AnswerQuota(request)).await;
        answer.unwrap_or_default().0
    }

    async fn report_rollout(self, _: Context, report: RolloutReport) -> RolloutReportAnswer {
        // The send fails only while the node is stopping.
        let _ = self.rollouts.tell(RecordReport(report.counts)).await;
        RolloutReportAnswer {}
    }
}
