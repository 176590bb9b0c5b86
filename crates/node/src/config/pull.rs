//! Pulls the versions that this node lacks from other nodes.

use std::time::Duration;

use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse, Member, Pull, PullAnswer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep};

use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Timeout of a request for missing versions.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without an answer after which one more peer is asked. Several times the round trip between
/// regions.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of peers asked for missing versions in one pull. If none has them, a later report
/// of a newer version triggers another pull.
const MAX_PULL_ATTEMPTS: usize = 6;

/// Requests the versions after `version` from live peers and returns the first answer that has any.
/// Peers that do not answer hold up the next one only briefly: they may be frozen or cut off.
pub(super) async fn pull_from_peers(context: &NodeContext, version: u64) -> Option<PullAnswer> {
    let peers = rank_peers(context, version);
    let mut peers = peers.into_iter().take(MAX_PULL_ATTEMPTS);
    let mut pulls = FuturesUnordered::new();
    loop {
        let next_peer = peers.next();
        let is_last = next_peer.is_none();
        if let Some(peer) = next_peer {
            pulls.push(pull_from_peer(context, peer, version));
        }
        tokio::select! {
            pulled = pulls.next() => match pulled {
                Some(Some(answer)) => return Some(answer),
                Some(None) => {}
                None => return None,
            },
            () = sleep(NEXT_PEER_DELAY), if !is_last => {}
        }
    }
}

/// Live peers in the order in which they are asked: those that hold a version after `version` first,
/// then the nearest, then those with the newest version.
fn rank_peers(context: &NodeContext, version: u64) -> Vec<PeerAddress> {
    let table = context.table();
    let local_member = &context.local_member;
    let mut candidates: Vec<&Member> = table
        .live()
        .filter(|member| member.node != local_member.node)
        .collect();
    candidates.sort_by_key(|member| {
        let distance = (
            member.region != local_member.region,
            member.domain != local_member.domain,
        );
        (
            std::cmp::Reverse(member.version > version),
            distance,
            std::cmp::Reverse(member.version),
        )
    });
    candidates
        .into_iter()
        .filter_map(PeerAddress::from_member)
        .collect()
}

/// Requests the versions after `version` from one peer; `None` if it does not answer or has none.
async fn pull_from_peer(
    context: &NodeContext,
    peer: PeerAddress,
    version: u64,
) -> Option<PullAnswer> {
    let request = ControlPlaneRequest::Pull {
        pull: Pull { version },
    };
    let deadline = Instant::now() + PULL_TIMEOUT;
    match context.transport.send(&peer, request, deadline).await {
        Ok(ControlPlaneResponse::Pull(answer)) => (answer.version > version).then_some(answer),
        Ok(_) => None,
        Err(error) => {
            log::debug!("pull from {} failed: {error}", peer.address);
            None
        }
    }
}
