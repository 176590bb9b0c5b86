//! How a node that has just started finds other nodes and is found by them.
//!
//! The platform's table has one row for each failure domain, with the control addresses of a few
//! nodes. Nothing is decided by these rows: a stale address only costs a failed attempt.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_platform::{
    RowCondition, RowWrite, StoreError, StoreTransaction, TransactionOutcome,
};
use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse, Join, JoinAnswer, Member};
use kameo::actor::ActorRef;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep};

use super::keeper::{MemberKeeper, MergeMembers};
use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Prefix of the rows that name a few nodes of each failure domain.
const BOOTSTRAP_PREFIX: &str = "bootstrap/";

/// Addresses kept in a row.
const ADDRESSES_PER_ROW: usize = 16;

/// Rows read at once; more failure domains than this are not expected.
const MAX_ROWS: usize = 256;

/// Time allowed for a node to answer a join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Nodes that are asked before the rows are read again.
const JOIN_ATTEMPTS: usize = 8;

/// Longest pause between two rounds of attempts.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Announces this node to the mesh, until some node answered or this is the first one.
pub(crate) async fn announce(context: &NodeContext, members: &ActorRef<MemberKeeper>) {
    let mut pause = Duration::from_millis(100);
    loop {
        let rows = read_rows(context).await;
        let answers = join_some(context, rows.as_ref().unwrap_or(&BTreeSet::new())).await;
        let joined = !answers.is_empty();
        for answer in answers {
            // The keeper is gone only when the node is stopping.
            let _ = members.tell(MergeMembers(answer.members)).await;
        }
        let written = match rows {
            Ok(_) => write_own(context).await,
            Err(error) => Err(error),
        };
        if let Err(error) = &written {
            log::warn!("the node is not named in the store yet: {error}");
        }
        if written.is_ok() && (joined || is_first(context).await) {
            return;
        }
        let jittered = rand::rng().random_range(pause / 2..=pause);
        sleep(jittered).await;
        pause = pause.saturating_mul(2).min(MAX_PAUSE);
    }
}

/// Addresses of all nodes named in the store, but this one.
async fn read_rows(context: &NodeContext) -> Result<BTreeSet<SocketAddr>, StoreError> {
    let rows = context
        .store
        .scan_rows(BOOTSTRAP_PREFIX, "", MAX_ROWS, context.store_deadline())
        .await?;
    let own: Option<SocketAddr> = context.own.control_address.parse().ok();
    let addresses = rows.iter().flat_map(|row| row_addresses(&row.value));
    Ok(addresses.filter(|address| Some(*address) != own).collect())
}

fn row_addresses(value: &[u8]) -> Vec<SocketAddr> {
    let text = String::from_utf8_lossy(value);
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

async fn is_first(context: &NodeContext) -> bool {
    read_rows(context)
        .await
        .is_ok_and(|others| others.is_empty())
}

async fn join_some(context: &NodeContext, named: &BTreeSet<SocketAddr>) -> Vec<JoinAnswer> {
    let seeds = context.settings.seeds.iter().copied();
    let mut candidates: Vec<SocketAddr> = named.iter().copied().chain(seeds).collect();
    candidates.shuffle(&mut rand::rng());
    let mut answers = Vec::new();
    for address in candidates.into_iter().take(JOIN_ATTEMPTS) {
        let request = ControlPlaneRequest::Join {
            join: Join {
                member: Some(Member::clone(&context.own)),
            },
        };
        // The region is not known yet; the bytes count as bytes within the region.
        let (region, domain) = (context.own.region.clone(), context.own.domain.clone());
        let peer = PeerAddress {
            address,
            region,
            domain,
        };
        let answer = context
            .transport
            .send(&peer, request, Instant::now() + JOIN_TIMEOUT)
            .await;
        if let Ok(ControlPlaneResponse::Join(answer)) = answer
            && answer.accepted
        {
            answers.push(answer);
            // One answer is enough: it names every node, and the rumor reaches them all.
            break;
        }
    }
    answers
}

/// Adds this node to the row of its failure domain, unless the row is full.
async fn write_own(context: &NodeContext) -> Result<(), StoreError> {
    let key = format!("{BOOTSTRAP_PREFIX}{}", context.own.domain);
    let own = context.own.control_address.clone();
    loop {
        let row = context
            .store
            .read_row(&key, context.store_deadline())
            .await?;
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let mut addresses = row.map_or_else(Vec::new, |row| row_addresses(&row.value));
        let named = addresses.iter().any(|address| address.to_string() == own);
        if named {
            return Ok(());
        }
        // The oldest address is the one most likely to be gone.
        if addresses.len() >= ADDRESSES_PER_ROW {
            addresses.remove(0);
        }
        let mut lines: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        lines.push(own.clone());
        let transaction = StoreTransaction {
            conditions: vec![RowCondition {
                key: key.clone(),
                revision,
            }],
            writes: vec![RowWrite {
                key: key.clone(),
                value: Some(lines.join("\n").into_bytes()),
            }],
        };
        let outcome = context
            .store
            .transact(&transaction, context.store_deadline())
            .await?;
        if matches!(outcome, TransactionOutcome::Committed(_)) {
            return Ok(());
        }
        let pause = Duration::from_millis(rand::rng().random_range(5..100));
        sleep(pause).await;
    }
}
