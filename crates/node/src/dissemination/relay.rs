//! The actor that forwards messages to the next hops of this node in each dissemination tree.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use agatedeck_control::{DisseminationHop, DisseminationRequest, DisseminationScope};
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

/// Timeout of one hop, after which its fallbacks are tried. Several times the round trip between
/// regions.
const HOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of recent requests kept for duplicate detection.
const MAX_SEEN_REQUESTS: usize = 1024;

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

/// Owns the set of recently handled requests. Each hop is sent by a separate task.
#[derive(Actor)]
pub(crate) struct DisseminationRelay {
    context: NodeContext,
    /// Recently handled requests, each with whether its payload is a version: the salt of a version
    /// is its number, which the salt of a rumor may equal.
    seen: BTreeSet<(bool, DisseminationRequest)>,
    /// The elements of `seen`, oldest first.
    seen_queue: VecDeque<(bool, DisseminationRequest)>,
}

impl DisseminationRelay {
    pub(crate) fn new(context: NodeContext) -> Self {
        Self {
            context,
            seen: BTreeSet::new(),
            seen_queue: VecDeque::new(),
        }
    }

    /// Records the request; returns whether it was not recorded before.
    fn is_first_seen(&mut self, dissemination: &StartDissemination) -> bool {
        let key = (
            matches!(dissemination.payload, DisseminationPayload::Version { .. }),
            dissemination.request,
        );
        if !self.seen.insert(key) {
            return false;
        }
        self.seen_queue.push_back(key);
        if self.seen_queue.len() > MAX_SEEN_REQUESTS
            && let Some(oldest) = self.seen_queue.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}

impl Message<StartDissemination> for DisseminationRelay {
    type Reply = ();

    async fn handle(&mut self, dissemination: StartDissemination, _: &mut Context<Self, ()>) {
        if !self.is_first_seen(&dissemination) {
            return;
        }
        let context = &self.context;
        let table = context.table();
        for hop in context.dissemination_policy.next_hops(
            &table,
            &context.local_member,
            dissemination.request,
        ) {
            let (context, payload) = (context.clone(), dissemination.payload.clone());
            tokio::spawn(async move {
                send_with_fallbacks(&context, dissemination.request.salt, &payload, hop).await;
            });
        }
    }
}

/// Sends one message, and to the fallback hops if it is not acknowledged. Fallback hops are tried
/// concurrently: after the loss of a rack, most of them time out as well.
async fn send_with_fallbacks(
    context: &NodeContext,
    salt: u64,
    payload: &DisseminationPayload,
    first: DisseminationHop,
) {
    let mut in_flight = FuturesUnordered::from_iter([send_to_hop(context, salt, payload, first)]);
    while let Some(unacknowledged) = in_flight.next().await {
        if let Some(failed_hop) = unacknowledged {
            let table = context.table();
            let local_member = &context.local_member;
            let fallbacks =
                context
                    .dissemination_policy
                    .fallback_hops(&table, local_member, salt, &failed_hop);
            in_flight.extend(
                fallbacks
                    .into_iter()
                    .map(|hop| send_to_hop(context, salt, payload, hop)),
            );
        }
    }
}

/// Sends one message; returns the hop if the message was not acknowledged.
async fn send_to_hop(
    context: &NodeContext,
    salt: u64,
    payload: &DisseminationPayload,
    hop: DisseminationHop,
) -> Option<DisseminationHop> {
    let peer = PeerAddress::from_hop(&hop)?;
    let request = payload.to_request(salt, hop.scope);
    let deadline = Instant::now() + HOP_TIMEOUT;
    let error = context
        .transport
        .send(&peer, request, deadline)
        .await
        .err()?;
    log::debug!("node `{}` did not acknowledge a message: {error}", hop.node);
    Some(hop)
}
