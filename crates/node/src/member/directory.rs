//! How a node that has just started finds other nodes and is found by them.
//!
//! The platform's table has one row for each failure domain, with the control addresses of a few
//! nodes. Nothing is decided by these rows: a stale address only costs a failed attempt.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_control::rank_by;
use agatedeck_store::{RowCondition, RowWrite, StoreError, StoreTransaction};
use agatedeck_wire::{Member, MemberStatus};
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::sleep;

use super::join::{AddContacts, ContactState, JoinKeeper};
use super::keeper::{MemberKeeper, SetContacts};
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
const REFRESH_PAUSE: Duration = Duration::from_secs(20);

/// Time over which nodes that start together look for others.
const START_SPREAD: Duration = Duration::from_millis(400);

/// Salt of the ranks that select the nodes named in a row.
const ROW_SALT: u64 = 0x626f_6f74;

/// Finds other nodes, then keeps the row of the own failure domain up to date.
pub(crate) async fn run_bootstrap(
    context: NodeContext,
    join: ActorRef<JoinKeeper>,
    members: ActorRef<MemberKeeper>,
) {
    // The store is asked for the floor at once. Other nodes are looked for a little later: those that
    // start together spread out, so that most find a row that names another.
    if join.ask(AddContacts(Vec::new())).await.is_err() {
        return;
    }
    let pause = rand::rng().random_range(Duration::ZERO..=START_SPREAD);
    sleep(pause).await;
    find_others(&context, &join, &members).await;
    let mut written = BTreeSet::new();
    loop {
        sleep(jittered(REFRESH_PAUSE)).await;
        let Some(wanted) = row_to_write(&context) else {
            continue;
        };
        if let Err(error) = refresh(&context, &members, &wanted, &mut written).await {
            log::warn!(event = "bootstrap-stale"; "the nodes named in the store are not up to date: {error}");
        }
    }
}

/// Hands the addresses in all rows to the failure detector, and writes the row of the own failure
/// domain if it changed. Only the first-ranked node of a failure domain does this, so the reads do
/// not grow with the fleet.
async fn refresh(
    context: &NodeContext,
    members: &ActorRef<MemberKeeper>,
    wanted: &BTreeSet<SocketAddr>,
    written: &mut BTreeSet<SocketAddr>,
) -> Result<(), StoreError> {
    let named = read_rows(context).await?;
    let contacts = named.iter().map(ToString::to_string).collect();
    // The keeper is gone only when the node is stopping.
    let _ = members.tell(SetContacts(contacts)).await;
    // Written after it was read, since it may name nodes of another part of the mesh.
    if wanted != written {
        let addresses: Vec<SocketAddr> = wanted.iter().copied().collect();
        write_row(context, None, &addresses).await?;
        written.clone_from(wanted);
    }
    Ok(())
}

/// Between half of `pause` and all of it, so that nodes that start together spread out.
fn jittered(pause: Duration) -> Duration {
    rand::rng().random_range(pause / 2..=pause)
}

/// Looks for other nodes until one has taken this node in, or there is no other.
async fn find_others(
    context: &NodeContext,
    join: &ActorRef<JoinKeeper>,
    members: &ActorRef<MemberKeeper>,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        let rows = read_rows(context).await;
        let mut named: Vec<String> = rows.as_ref().map_or(Vec::new(), |rows| {
            rows.iter().map(ToString::to_string).collect()
        });
        if rows.is_ok() {
            // The keeper is gone only when the node is stopping.
            let _ = members.tell(SetContacts(named.clone())).await;
        }
        // Nodes that remember this host may have got in touch by themselves.
        let table = context.table();
        let others = table.live().filter(|other| other.node != context.own.node);
        named.extend(others.map(|other| other.control_address.clone()));
        let Ok(ContactState { adopted }) = join.ask(AddContacts(named)).await else {
            return;
        };
        if adopted {
            return;
        }
        match rows {
            Ok(_) => {
                if let Err(error) = add_own(context).await {
                    log::warn!(event = "bootstrap-unwritten"; "the node is not named in the store yet: {error}");
                }
            }
            Err(error) => {
                log::warn!(event = "bootstrap-unread"; "the nodes named in the store are not known: {error}");
            }
        }
        sleep(jittered(pause)).await;
        pause = pause.saturating_mul(2).min(MAX_PAUSE);
    }
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
    // A refused transaction is repeated at the next attempt.
    write_row(context, Some(revision), &addresses).await
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

/// Writes the row of the own failure domain, if it still has `revision` where one is given.
async fn write_row(
    context: &NodeContext,
    revision: Option<u64>,
    addresses: &[SocketAddr],
) -> Result<(), StoreError> {
    let key = row_key(context);
    let lines: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let conditions = revision.map(|revision| RowCondition {
        key: key.clone(),
        revision,
    });
    let transaction = StoreTransaction {
        conditions: conditions.into_iter().collect(),
        writes: vec![RowWrite {
            key,
            value: Some(lines.join("\n").into_bytes()),
        }],
    };
    let written = context
        .store
        .transact(&transaction, context.store_deadline());
    written.await.map(drop)
}
