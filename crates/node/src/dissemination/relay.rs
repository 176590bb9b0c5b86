//! The actor that forwards messages to the next hops of this node in each dissemination tree.

use std::time::Duration;

use agatedeck_control::{
    DisseminationHop, DisseminationRequest, DisseminationScope, RelayLog, RelaySettings,
    RelayedPayload,
};
use agatedeck_wire::{
    ControlPlaneRequest, CrashReport, Member, Offer, ReaderHeartbeat, Rumor, SpreadScope,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::Actor;
use kameo::message::{Context, Message};
use rand::Rng;
use tokio::time::Instant;

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
    /// Shows that the source of versions answers a reader, which has a version in force.
    ReaderHeartbeat { node: String, version: u64 },
}

impl DisseminationPayload {
    fn relayed_kind(&self) -> RelayedPayload {
        match self {
            Self::Version { .. } => RelayedPayload::Version,
            Self::Rumor { .. } | Self::ReaderHeartbeat { .. } => RelayedPayload::Message,
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
            Self::ReaderHeartbeat { node, version } => {
                let heartbeat = ReaderHeartbeat {
                    node: node.clone(),
                    version: *version,
                    salt,
                    scope,
                    position,
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

/// Owns the log of relayed requests. Each hop is sent by a separate task.
#[derive(Actor)]
pub(crate) struct DisseminationRelay {
    context: NodeContext,
    settings: RelaySettings,
    log: RelayLog,
}

impl DisseminationRelay {
    pub(crate) fn new(context: NodeContext) -> Self {
        let settings = RelaySettings::default();
        Self {
            context,
            settings,
            log: RelayLog::new(&settings),
        }
    }
}

impl Message<StartDissemination> for DisseminationRelay {
    type Reply = ();

    async fn handle(&mut self, dissemination: StartDissemination, _: &mut Context<Self, ()>) {
        let kind = dissemination.payload.relayed_kind();
        if !self.log.record(kind, dissemination.request) {
            return;
        }
        let (context, hop_timeout) = (&self.context, self.settings.hop_timeout);
        let table = context.table();
        for hop in context.dissemination_policy.next_hops(
            &table,
            &context.local_member,
            dissemination.request,
        ) {
            let (context, payload) = (context.clone(), dissemination.payload.clone());
            tokio::spawn(async move {
                let message = HopMessage {
                    salt: dissemination.request.salt,
                    payload: &payload,
                    timeout: hop_timeout,
                };
                send_with_fallbacks(&context, message, hop).await;
            });
        }
    }
}

/// What is sent to a hop and its fallbacks.
#[derive(Clone, Copy, Debug)]
struct HopMessage<'a> {
    salt: u64,
    payload: &'a DisseminationPayload,
    timeout: Duration,
}

/// Sends one message, and to the fallback hops if it is not acknowledged. Fallback hops are tried
/// concurrently: after the loss of a rack, most of them time out as well.
async fn send_with_fallbacks(
    context: &NodeContext,
    message: HopMessage<'_>,
    first: DisseminationHop,
) {
    let mut in_flight = FuturesUnordered::from_iter([send_to_hop(context, message, first)]);
    while let Some(unacknowledged) = in_flight.next().await {
        if let Some(failed_hop) = unacknowledged {
            let table = context.table();
            let local_member = &context.local_member;
            let fallbacks = context.dissemination_policy.fallback_hops(
                &table,
                local_member,
                message.salt,
                &failed_hop,
            );
            in_flight.extend(
                fallbacks
                    .into_iter()
                    .map(|hop| send_to_hop(context, message, hop)),
            );
        }
    }
}

/// Sends one message; returns the hop if the message was not acknowledged.
async fn send_to_hop(
    context: &NodeContext,
    message: HopMessage<'_>,
    hop: DisseminationHop,
) -> Option<DisseminationHop> {
    let peer = PeerAddress::from_hop(&hop)?;
    let request = message.payload.to_request(message.salt, hop.scope);
    let deadline = Instant::now() + message.timeout;
    let error = context
        .transport
        .send(&peer, request, deadline)
        .await
        .err()?;
    log::debug!("node `{}` did not acknowledge a message: {error}", hop.node);
    Some(hop)
}
