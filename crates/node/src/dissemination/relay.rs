//! The actor that forwards messages to the next hops of this node in each dissemination tree.

use std::sync::Arc;

use agatedeck_control::{
    DisseminationHop, DisseminationRequest, DisseminationScope, HeartbeatFilter, LikelySilence,
    PlannedHop, ReaderSettings, RelayLog, RelaySettings, RelayedPayload, SilenceLog, plan_hops,
};
use agatedeck_wire::{
    ControlPlaneRequest, CrashReport, Member, Offer, ReaderHeartbeat, RolloutState, Rumor,
    SpreadScope,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::Rng;
use tokio::time::Instant;

use crate::adapters::FeedPosition;
use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Content of a dissemination.
#[derive(Clone, Debug)]
pub(crate) enum DisseminationPayload {
    /// A version with its compressed delta.
    Version { version: u64, delta: Vec<u8> },
    /// Member updates and crash reports.
    Rumor {
        members: Vec<Member>,
        crashes: Vec<CrashReport>,
    },
    /// Shows that the source of versions answers a reader, which holds the newest version up to a
    /// position.
    ReaderHeartbeat {
        node: String,
        version: u64,
        position: Option<FeedPosition>,
        /// Rollouts that the reader drives.
        rollouts: Vec<RolloutState>,
        /// Whether the reader has not read all orders yet.
        rollouts_pending: bool,
    },
}

impl DisseminationPayload {
    fn relayed_kind(&self) -> RelayedPayload {
        match self {
            Self::Version { .. } => RelayedPayload::Version,
            Self::ReaderHeartbeat { .. } => RelayedPayload::Heartbeat,
            Self::Rumor { .. } => RelayedPayload::Rumor,
        }
    }

    fn to_request(&self, salt: u64, scope: DisseminationScope) -> ControlPlaneRequest {
        let (scope, position) = scope.to_message();
        let scope = scope.into();
        match self {
            Self::Version { version, delta } => {
                let offer = Offer {
                    version: *version,
                    delta: delta.clone(),
                    scope,
                    position,
                };
                ControlPlaneRequest::Offer { offer }
            }
            Self::Rumor { members, crashes } => {
                let (members, crashes) = (members.clone(), crashes.clone());
                let rumor = Rumor {
                    salt,
                    scope,
                    position,
                    members,
                    crashes,
                };
                ControlPlaneRequest::Rumor { rumor }
            }
            Self::ReaderHeartbeat {
                node,
                version,
                position: feed_position,
                rollouts,
                rollouts_pending,
            } => {
                let feed_position = feed_position.unwrap_or_default();
                let heartbeat = ReaderHeartbeat {
                    node: node.clone(),
                    version: *version,
                    salt,
                    scope,
                    position,
                    feed_position: feed_position.offset,
                    feed_generation: feed_position.generation,
                    rollouts: rollouts.clone(),
                    rollouts_pending: *rollouts_pending,
                };
                ControlPlaneRequest::ReaderHeartbeat { heartbeat }
            }
        }
    }
}

/// Sends a payload to the nodes in the scope of the request. Duplicate requests are ignored.
#[derive(Clone, Debug)]
pub(crate) struct StartDissemination {
    pub(crate) request: DisseminationRequest,
    pub(crate) payload: DisseminationPayload,
}

impl StartDissemination {
    /// The dissemination requested by a received message.
    pub(crate) fn from_message(
        salt: u64,
        scope: SpreadScope,
        position: u32,
        payload: DisseminationPayload,
    ) -> Self {
        let scope = DisseminationScope::from_message(scope, position);
        Self {
            request: DisseminationRequest { salt, scope },
            payload,
        }
    }

    /// The dissemination of a rumor that begins at this node and goes to all regions.
    pub(crate) fn of_rumor(members: Vec<Member>, crashes: Vec<CrashReport>) -> Self {
        let request = DisseminationRequest {
            salt: rand::rng().random(),
            scope: DisseminationScope::AllRegions,
        };
        let payload = DisseminationPayload::Rumor { members, crashes };
        Self { request, payload }
    }
}

/// Owns the log of relayed requests and of receivers that did not answer. Each hop is sent by a
/// separate task, which reports its end.
#[derive(Actor)]
pub(crate) struct DisseminationRelay {
    context: NodeContext,
    settings: RelaySettings,
    log: RelayLog,
    heartbeat_filter: HeartbeatFilter,
    silences: SilenceLog,
}

impl DisseminationRelay {
    pub(crate) fn new(context: NodeContext) -> Self {
        let settings = RelaySettings::default();
        Self {
            context,
            settings,
            log: RelayLog::new(&settings),
            heartbeat_filter: HeartbeatFilter::new(ReaderSettings::default()),
            silences: SilenceLog::new(settings.silence_memory),
        }
    }

    /// Whether to relay a payload, which is once, and for a heartbeat if its reader is preferred.
    fn admits(&mut self, dissemination: &StartDissemination) -> bool {
        let payload = &dissemination.payload;
        if let DisseminationPayload::ReaderHeartbeat { node, .. } = payload
            && !self.heartbeat_filter.admits(node, self.context.clock.now())
        {
            return false;
        }
        self.log
            .record(payload.relayed_kind(), dissemination.request)
    }

    /// Sends a message to its hops, and to the fallbacks of those that did not answer lately.
    fn send_hops(&self, message: &HopMessage, hops: Vec<DisseminationHop>, relay: &ActorRef<Self>) {
        let context = &self.context;
        let kind = message.payload.relayed_kind();
        let likely = LikelySilence {
            silences: &self.silences,
            min_silence: self.settings.min_silence_of(kind),
            now: context.clock.now(),
        };
        let planned = plan_hops(
            &*context.dissemination_policy,
            &context.table(),
            &context.local_member,
            message.salt,
            hops,
            likely,
        );
        for hop in planned {
            let (context, message, relay) = (context.clone(), message.clone(), relay.clone());
            let deadline = Instant::now() + self.settings.timeout_of(kind);
            tokio::spawn(async move {
                let is_answered = send_to_hop(&context, &message, &hop.hop, deadline).await;
                let ended = HopEnded {
                    hop,
                    message,
                    is_answered,
                };
                // The send fails only while the node is stopping.
                let _ = relay.tell(ended).await;
            });
        }
    }
}

impl Message<StartDissemination> for DisseminationRelay {
    type Reply = ();

    async fn handle(&mut self, dissemination: StartDissemination, context: &mut Context<Self, ()>) {
        if !self.admits(&dissemination) {
            return;
        }
        let StartDissemination { request, payload } = dissemination;
        let hops = self.context.dissemination_policy.next_hops(
            &self.context.table(),
            &self.context.local_member,
            request,
        );
        let message = HopMessage {
            salt: request.salt,
            payload: Arc::new(payload),
        };
        self.send_hops(&message, hops, context.actor_ref());
    }
}

/// What is sent to the hops of a dissemination.
#[derive(Clone, Debug)]
struct HopMessage {
    salt: u64,
    payload: Arc<DisseminationPayload>,
}

/// A message was answered, or had no answer in time.
struct HopEnded {
    hop: PlannedHop,
    message: HopMessage,
    is_answered: bool,
}

impl Message<HopEnded> for DisseminationRelay {
    type Reply = ();

    async fn handle(&mut self, ended: HopEnded, context: &mut Context<Self, ()>) {
        let PlannedHop { hop, is_hedged } = ended.hop;
        if ended.is_answered {
            return self.silences.record_answer(&hop.node);
        }
        self.silences
            .record_silence(&hop.node, self.context.clock.now());
        if is_hedged {
            return;
        }
        let fallbacks = self.context.dissemination_policy.fallback_hops(
            &self.context.table(),
            &self.context.local_member,
            ended.message.salt,
            &hop,
        );
        self.send_hops(&ended.message, fallbacks, context.actor_ref());
    }
}

/// Sends one message; returns whether it was answered by the deadline.
async fn send_to_hop(
    context: &NodeContext,
    message: &HopMessage,
    hop: &DisseminationHop,
    deadline: Instant,
) -> bool {
    let Some(peer) = PeerAddress::from_hop(hop) else {
        return false;
    };
    let request = message.payload.to_request(message.salt, hop.scope);
    match context.transport.send(&peer, request, deadline).await {
        Ok(_) => true,
        Err(error) => {
            log::debug!("node `{}` did not acknowledge a message: {error}", hop.node);
            false
        }
    }
}
