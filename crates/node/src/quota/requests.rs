//! Requests for tokens to other nodes.

use std::time::Duration;

use agatedeck_calls::{OwnerRequest, TokenDemand, TokenGrant};
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, QuotaDemand, QuotaGrant, QuotaRequest,
};
use kameo::actor::ActorRef;

use super::actor::QuotaActor;
use super::messages::RequestEnded;
use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Timeout of a request. A round trip between regions is 24 ms, and a process on a tenth of a core that is busy may
/// wait more than 100 ms for its turn at either end. The tokens of an answer after the timeout are lost, and the
/// holder turns to a node that grants a part of the limit.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request and passes its end to the actor as a message.
pub(super) fn send_request(
    context: &NodeContext,
    request: OwnerRequest,
    actor: &ActorRef<QuotaActor>,
) {
    let (context, actor) = (context.clone(), actor.clone());
    tokio::spawn(async move {
        let sent_at = context.clock.now();
        let grants = request_grants(&context, &request).await;
        let ended = RequestEnded {
            request,
            sent_at,
            grants,
        };
        // The send fails only while the node is stopping.
        let _ = actor.tell(ended).await;
    });
}

/// Asks the node and waits for the grants; `None` if it does not answer.
async fn request_grants(context: &NodeContext, request: &OwnerRequest) -> Option<Vec<TokenGrant>> {
    let peer = context.table().get(&request.node).cloned();
    let peer = peer.as_ref().and_then(PeerAddress::from_member)?;
    let message = QuotaRequest {
        node: context.local_member.node.clone(),
        demands: request.demands.iter().map(encode_demand).collect(),
    };
    let message = ControlPlaneRequest::RequestQuota { request: message };
    let deadline = tokio::time::Instant::now() + REQUEST_TIMEOUT;
    match context.transport.send(&peer, message, deadline).await {
        Ok(ControlPlaneResponse::RequestQuota(answer)) => {
            Some(answer.grants.iter().map(decode_grant).collect())
        }
        Ok(_) => None,
        Err(error) => {
            log::debug!("request for tokens to {} failed: {error}", request.node);
            None
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn encode_demand((workspace, demand): &(String, TokenDemand)) -> QuotaDemand {
    QuotaDemand {
        workspace: workspace.clone(),
        wanted: demand.wanted,
        needed: demand.needed,
        unspent: demand.unspent,
    }
}

pub(super) fn decode_demand(demand: &QuotaDemand) -> TokenDemand {
    TokenDemand {
        wanted: demand.wanted,
        needed: demand.needed,
        unspent: demand.unspent,
    }
}

pub(super) fn encode_grant(grant: TokenGrant) -> QuotaGrant {
    QuotaGrant {
        tokens: grant.tokens,
        valid_ms: millis(grant.validity),
        retry_after_ms: millis(grant.retry_after),
    }
}

fn decode_grant(grant: &QuotaGrant) -> TokenGrant {
    TokenGrant {
        tokens: grant.tokens,
        validity: Duration::from_millis(grant.valid_ms.into()),
        retry_after: Duration::from_millis(grant.retry_after_ms.into()),
    }
}
