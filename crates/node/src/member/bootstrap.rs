//! How a node that has just started finds other nodes and is found by them.
//!
//! The platform's table has one row for each failure domain, with the control addresses of a few
//! nodes. Nothing is decided by these rows: a stale address only costs a failed attempt.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_control::rank_by;
use agatedeck_platform::{RowCondition, RowWrite, StoreError, StoreTransaction};
use agatedeck_wire::{Member, MemberStatus};
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep};

use super::join::{AddContacts, ContactState, JoinKeeper, MeetNodes};
use crate::context::NodeContext;

/// Prefix of the rows that name a few nodes of each failure domain.
const BOOTSTRAP_PREFIX: &str = "bootstrap/";

/// Addresses kept in a row.
const ADDRESSES_PER_ROW: usize = 16;

/// Rows read at once; more failure domains than this are not expected.
const MAX_ROWS: usize = 256;

/// First pause between two attempts to find other nodes.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two attempts to find other nodes.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Pause between two looks at the row of the own failure domain by its first-ranked node.
const REFRESH_PAUSE: Duration = Duration::from_secs(10);

/// Longest pause between two looks for nodes that are named in the store and not known here. One
/// read for each failure domain and pause is under one read a second at 27 domains.
const MAX_MEET_PAUSE: Duration = Duration::from_mins(1);

/// Salt of the ranks that select the nodes named in a row.
const ROW_SALT: u64 = 0x626f_6f74;

/// Finds other nodes, then keeps the row of the own failure domain up to date.
pub(crate) async fn run_bootstrap(context: NodeContext, join: ActorRef<JoinKeeper>) {
    find_others(&context, &join).await;
    let mut written = BTreeSet::new();
    let mut meet_pause = REFRESH_PAUSE;
    let mut meet_at = Instant::now();
    loop {
        sleep(jittered(REFRESH_PAUSE)).await;
        let Some(wanted) = row_to_write(&context) else {
            continue;
        };
        // Before the own row is written, which may still name nodes of another part of the mesh.
        if Instant::now() >= meet_at {
            meet_strangers(&context, &join).await;
            meet_at = Instant::now() + meet_pause;
            meet_pause = meet_pause.saturating_mul(2).min(MAX_MEET_PAUSE);
        }
        if wanted != written {
            match write_row(&context, &wanted).await {
                Ok(()) => written = wanted,
                Err(error) => {
                    log::warn!("the row of the failure domain is not up to date: {error}");
                }
            }
        }
    }
}

/// Between half of `pause` and all of it, so that nodes that start together spread out.
fn jittered(pause: Duration) -> Duration {
    rand::rng().random_range(pause / 2..=pause)
}

/// Looks for other nodes until one has taken this node in, or there is no other.
async fn find_others(context: &NodeContext, join: &ActorRef<JoinKeeper>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let rows = read_rows(context).await;
        let named = rows.as_ref().map_or(Vec::new(), |rows| {
            rows.iter().map(ToString::to_string).collect()
        });
        let Ok(ContactState { adopted }) = join.ask(AddContacts(named)).await else {
            return;
        };
        if adopted {
            return;
        }
        match rows {
            Ok(_) => {
                if let Err(error) = add_own(context).await {
                    log::warn!("the node is not named in the store yet: {error}");
                }
            }
            Err(error) => log::warn!("the nodes named in the store are not known: {error}"),
        }
        sleep(jittered(pause)).await;
        pause = pause.saturating_mul(2).min(MAX_PAUSE);
    }
}

/// Has this node compare its member table with nodes that are named in the store and that it does
/// not know. Nodes that start together may take each other in by pairs, and each part of the mesh is
/// content with itself then.
async fn meet_strangers(context: &NodeContext, join: &ActorRef<JoinKeeper>) {
    let named = match read_rows(context).await {
        Ok(named) => named,
        Err(error) => {
            log::warn!("the nodes named in the store are not known: {error}");
            return;
        }
    };
    let table = context.table();
    let known: BTreeSet<&str> = table
        .members()
        .map(|member| member.control_address.as_str())
        .collect();
    let strangers = named
        .into_iter()
        .filter(|address| !known.contains(address.to_string().as_str()));
    // The actor is gone only when the node is stopping.
    let _ = join.tell(MeetNodes(strangers.collect())).await;
}

/// Addresses of all nodes named in the store.
async fn read_rows(context: &NodeContext) -> Result<BTreeSet<SocketAddr>, StoreError> {
    let rows = context
        .store
        .scan_rows(BOOTSTRAP_PREFIX, "", MAX_ROWS, context.store_deadline())
        .await?;
    Ok(rows
        .iter()
        .flat_map(|row| row_addresses(&row.value))
        .collect())
}

fn row_addresses(value: &[u8]) -> Vec<SocketAddr> {
    let text = String::from_utf8_lossy(value);
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

fn row_key(context: &NodeContext) -> String {
    format!("{BOOTSTRAP_PREFIX}{}", context.own.domain)
}

fn row_value(addresses: impl Iterator<Item = SocketAddr>) -> Vec<u8> {
    let lines: Vec<String> = addresses.map(|address| address.to_string()).collect();
    lines.join("\n").into_bytes()
}

/// Adds this node to the row of its failure domain. Used only until another node has taken this one
/// in, so that a herd that joins through existing nodes writes nothing.
async fn add_own(context: &NodeContext) -> Result<(), StoreError> {
    let key = row_key(context);
    let Ok(own) = context.own.control_address.parse() else {
        return Ok(());
    };
    let row = context
        .store
        .read_row(&key, context.store_deadline())
        .await?;
    let revision = row.as_ref().map_or(0, |row| row.revision);
    let mut addresses = row.map_or_else(Vec::new, |row| row_addresses(&row.value));
    if addresses.contains(&own) {
        return Ok(());
    }
    // The oldest address is the one most likely to be gone.
    if addresses.len() >= ADDRESSES_PER_ROW {
        addresses.remove(0);
    }
    addresses.push(own);
    let condition = RowCondition {
        key: key.clone(),
        revision,
    };
    let value = Some(row_value(addresses.into_iter()));
    let transaction = StoreTransaction {
        conditions: vec![condition],
        writes: vec![RowWrite { key, value }],
    };
    // A refused transaction is repeated at the next attempt.
    context
        .store
        .transact(&transaction, context.store_deadline())
        .await
        .map(drop)
}

/// The addresses that the row should name, if it is up to this node to write it.
fn row_to_write(context: &NodeContext) -> Option<BTreeSet<SocketAddr>> {
    let table = context.table();
    let own = &context.own;
    let mut members: Vec<&Member> = table
        .live()
        .filter(|member| member.domain == own.domain && member.status() == MemberStatus::Alive)
        .collect();
    rank_by(ROW_SALT, &mut members, |member| &member.node);
    let first = members.first()?;
    let addresses = members.iter().take(ADDRESSES_PER_ROW);
    let addresses = addresses.filter_map(|member| member.control_address.parse().ok());
    (first.node == own.node).then(|| addresses.collect())
}

async fn write_row(
    context: &NodeContext,
    addresses: &BTreeSet<SocketAddr>,
) -> Result<(), StoreError> {
    let key = row_key(context);
    let value = Some(row_value(addresses.iter().copied()));
    let transaction = StoreTransaction {
        conditions: Vec::new(),
        writes: vec![RowWrite { key, value }],
    };
    context
        .store
        .transact(&transaction, context.store_deadline())
        .await
        .map(drop)
}
