//! The actor that sends this node's part of each tree.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use agatedeck_control::{DisseminationHop, DisseminationRequest, DisseminationScope};
use agatedeck_wire::{ControlPlaneRequest, CrashReport, Member, Offer, Rumor, SpreadScope};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::time::Instant;

use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Time allowed for a message to be acknowledged before its receiver is replaced. A few times the
/// round trip between regions.
const HOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of orders remembered, so that one that arrives twice is passed on once.
const MAX_SEEN_REQUESTS: usize = 1024;

/// What is spread.
#[derive(Clone, Debug)]
pub(crate) enum DisseminationPayload {
    /// A version with its compressed delta.
    Version { version: u64, delta: Vec<u8> },
    /// Member updates and crash reports.
    Rumor {
        members: Vec<Member>,
        crashes: Vec<CrashReport>,
    },
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
        }
    }
}

/// Passes something on to the part of the fleet that the order names.
#[derive(Clone, Debug)]
pub(crate) struct StartDissemination {
    pub(crate) request: DisseminationRequest,
    pub(crate) payload: DisseminationPayload,
}

impl StartDissemination {
    /// The order that came with a message.
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
}

/// Owns the memory of orders carried out. Each delivery is a task of its own.
#[derive(Actor)]
pub(crate) struct DisseminationRelay {
    context: NodeContext,
    seen: BTreeSet<(bool, DisseminationRequest)>,
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

    /// Whether the order came for the first time.
    fn is_first_seen(&mut self, start: &StartDissemination) -> bool {
        let key = (
            matches!(start.payload, DisseminationPayload::Version { .. }),
            start.request,
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

    async fn handle(&mut self, start: StartDissemination, _: &mut Context<Self, ()>) {
        if !self.is_first_seen(&start) {
            return;
        }
        let context = &self.context;
        let table = context.table();
        for hop in context
            .policy
            .next_hops(&table, &context.own, start.request)
        {
            let (context, payload) = (context.clone(), start.payload.clone());
            tokio::spawn(async move {
                send_with_fallbacks(&context, start.request.salt, &payload, hop).await;
            });
        }
    }
}

/// Sends one message, and its replacements if it is not acknowledged. Replacements are sent at the
/// same time: after the loss of a rack, most of them have a deadline to wait for.
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
            let own = &context.own;
            let fallbacks = context.policy.fallback_hops(&table, own, salt, &failed_hop);
            in_flight.extend(
                fallbacks
                    .into_iter()
                    .map(|hop| send_to_hop(context, salt, payload, hop)),
            );
        }
    }
}

/// Sends one message; returns the delivery if it was not acknowledged.
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
    log::debug!("node `{}` did not take a message: {error}", hop.node);
    Some(hop)
}
