//! Node discovery through the platform's store.
//!
//! The table in the store has one row per node, which holds the node's member entry. A node writes
//! its own row before it reads the others, so that of two nodes that start at the same time at
//! least one finds the other. The rows only provide addresses to contact: a stale entry costs a
//! failed attempt.

use std::time::Duration;

use agatedeck_control::rank_candidates;
use agatedeck_store::{RowWrite, StoreError, StoreTransaction};
use agatedeck_wire::{Member, MemberStatus};
use kameo::actor::ActorRef;
use prost::Message as _;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use super::actor::{MemberActor, MergeMemberList, SetSeedAddresses};
use super::join::{AddSeedAddresses, JoinActor};
use crate::context::NodeContext;

/// Key prefix of node rows.
const NODE_KEY_PREFIX: &str = "node/";

/// Maximum number of rows in one scan.
const MAX_ROWS_PER_SCAN: usize = 500;

/// Pause after the first failed discovery attempt, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum pause between two discovery attempts, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Interval at which the first-ranked node of a failure domain scans all rows, before jitter.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// Time for which changes of the own entry are collected into one write of the row.
const WRITE_DEBOUNCE: Duration = Duration::from_millis(300);

/// Timeout for removing the own row at shutdown.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Salt of the rendezvous ranking that selects the node that scans all rows.
const REFRESHER_RANK_SALT: u64 = 0x626f_6f74;

/// Discovers other nodes, then keeps the own row and the seed addresses up to date.
pub(crate) async fn run_directory(
    context: NodeContext,
    join: ActorRef<JoinActor>,
    members: ActorRef<MemberActor>,
) {
    // Starts the join, which queries the floor without waiting for discovery.
    if join.ask(AddSeedAddresses(Vec::new())).await.is_err() {
        return;
    }
    let written_entry = discover_nodes(&context, &join, &members).await;
    tokio::join!(
        update_own_row(&context, written_entry),
        refresh_seed_addresses(&context, &members)
    );
}

/// A random duration between half of `pause` and `pause`, so that nodes that start together do not
/// access the store at the same time.
fn with_jitter(pause: Duration) -> Duration {
    rand::rng().random_range(pause / 2..=pause)
}

/// Retries until it has written the own row and read the others, and passes the found members to
/// the actors. Returns the entry written.
async fn discover_nodes(
    context: &NodeContext,
    join: &ActorRef<JoinActor>,
    members: &ActorRef<MemberActor>,
) -> Member {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let entry = own_entry(context);
        let found_members = match write_row(context, &entry).await {
            Ok(()) => read_rows(context).await,
            Err(error) => Err(error),
        };
        // Nodes that know this host from an earlier run may have contacted it already.
        let table = context.table();
        let others = table.live().filter(|other| other.node != entry.node);
        let mut seed_addresses: Vec<String> =
            others.map(|other| other.control_address.clone()).collect();
        if let Ok(found_members) = &found_members {
            seed_addresses.extend(
                found_members
                    .iter()
                    .map(|member| member.control_address.clone()),
            );
        }
        // The sends fail only while the node is stopping.
        let _ = join.tell(AddSeedAddresses(seed_addresses.clone())).await;
        match found_members {
            Ok(found_members) => {
                let _ = members.tell(SetSeedAddresses(seed_addresses)).await;
                let _ = members.tell(MergeMemberList(found_members)).await;
                return entry;
            }
            Err(error) => {
                log::warn!(event = "directory-unread"; "could not write the row of this node or read those of other nodes: {error}");
            }
        }
        sleep(with_jitter(backoff)).await;
        backoff = backoff.saturating_mul(2).min(MAX_BACKOFF);
    }
}

/// Rewrites the own row after each relevant change of the own entry.
async fn update_own_row(context: &NodeContext, mut written_entry: Member) {
    let mut members = context.members.clone();
    while members.changed().await.is_ok() {
        if !is_row_stale(&own_entry(context), &written_entry) {
            continue;
        }
        sleep(WRITE_DEBOUNCE).await;
        let entry = own_entry(context);
        match write_row(context, &entry).await {
            Ok(()) => written_entry = entry,
            Err(error) => {
                log::warn!(event = "directory-unwritten"; "could not update the row of this node: {error}");
                sleep(with_jitter(MAX_BACKOFF)).await;
                // The write is retried at the next change of any member entry.
            }
        }
    }
}

/// Whether the row differs from the entry in a field that a starting node uses.
fn is_row_stale(entry: &Member, written_entry: &Member) -> bool {
    (&entry.service, entry.slots) != (&written_entry.service, written_entry.slots)
}

/// Passes the addresses in all rows to the failure detector, which merges partitions that formed
/// separately, and removes the rows of departed nodes. Only the first-ranked node of a failure
/// domain does this, so the number of scans does not grow with the number of nodes.
async fn refresh_seed_addresses(context: &NodeContext, members: &ActorRef<MemberActor>) {
    loop {
        sleep(with_jitter(REFRESH_INTERVAL)).await;
        if !is_refresher(context) {
            continue;
        }
        match read_rows(context).await {
            Ok(found_members) => {
                remove_departed_rows(context, &found_members).await;
                let seed_addresses = found_members
                    .into_iter()
                    .map(|member| member.control_address);
                // The send fails only while the node is stopping.
                let _ = members
                    .tell(SetSeedAddresses(seed_addresses.collect()))
                    .await;
            }
            Err(error) => {
                log::warn!(event = "directory-stale"; "could not read the rows of other nodes: {error}");
            }
        }
    }
}

/// Whether this node ranks first among the live nodes of its failure domain.
fn is_refresher(context: &NodeContext) -> bool {
    let table = context.table();
    let local_member = &context.local_member;
    let mut domain_members: Vec<&Member> = table
        .live()
        .filter(|member| {
            member.domain == local_member.domain && member.status() == MemberStatus::Alive
        })
        .collect();
    rank_candidates(REFRESHER_RANK_SALT, &mut domain_members, |member| {
        &member.node
    });
    domain_members
        .first()
        .is_some_and(|first| first.node == local_member.node)
}

/// Removes the rows of left and dead nodes of the own failure domain.
async fn remove_departed_rows(context: &NodeContext, found_members: &[Member]) {
    let table = context.table();
    let departed = |row: &&Member| {
        let known = table.get(&row.node);
        row.domain == context.local_member.domain
            && known.is_some_and(|known| {
                matches!(known.status(), MemberStatus::Left | MemberStatus::Dead)
                    && known.incarnation >= row.incarnation
            })
    };
    for member in found_members.iter().filter(departed) {
        if let Err(error) = remove_row(context, member).await {
            log::info!(event = "directory-kept"; "could not remove the row of node `{}`: {error}", member.node);
        }
    }
}

/// The own entry in the member table; the entry from startup while the table has none.
fn own_entry(context: &NodeContext) -> Member {
    let table = context.table();
    let entry = table.get(&context.local_member.node).cloned();
    entry.unwrap_or_else(|| context.local_member.as_ref().clone())
}

fn row_key(member: &Member) -> String {
    let Member {
        region,
        domain,
        node,
        ..
    } = member;
    format!("{NODE_KEY_PREFIX}{region}/{domain}/{node}")
}

/// Reads the entries of all nodes that have a row, except this node.
async fn read_rows(context: &NodeContext) -> Result<Vec<Member>, StoreError> {
    let mut found_members: Vec<Member> = Vec::new();
    let mut after = String::new();
    loop {
        let rows = context
            .store
            .scan_rows(
                NODE_KEY_PREFIX,
                &after,
                MAX_ROWS_PER_SCAN,
                context.store_deadline(),
            )
            .await?;
        let members = rows.iter().filter_map(|row| decode_entry(&row.value));
        found_members.extend(members.filter(|member| member.node != context.local_member.node));
        match rows.last() {
            Some(last) if rows.len() == MAX_ROWS_PER_SCAN => after.clone_from(&last.key),
            _ => return Ok(found_members),
        }
    }
}

/// Decodes the entry in a row; `None` if another writer has stored an invalid value there.
fn decode_entry(value: &[u8]) -> Option<Member> {
    let member = Member::decode(value).ok()?;
    let valid = !member.node.is_empty() && !member.control_address.is_empty();
    valid.then_some(member)
}

async fn write_row(context: &NodeContext, entry: &Member) -> Result<(), StoreError> {
    let alive_entry = Member {
        status: MemberStatus::Alive.into(),
        ..entry.clone()
    };
    write_key(context, row_key(entry), Some(alive_entry.encode_to_vec())).await
}

async fn remove_row(context: &NodeContext, member: &Member) -> Result<(), StoreError> {
    write_key(context, row_key(member), None).await
}

async fn write_key(
    context: &NodeContext,
    key: String,
    value: Option<Vec<u8>>,
) -> Result<(), StoreError> {
    let transaction = StoreTransaction {
        conditions: Vec::new(),
        writes: vec![RowWrite { key, value }],
    };
    let request = context
        .store
        .transact(&transaction, context.store_deadline());
    request.await.map(drop)
}

/// Removes the row of this node at shutdown. A failure is only logged.
pub(crate) async fn remove_own_row(context: &NodeContext) {
    let deadline = Instant::now() + REMOVE_TIMEOUT;
    match timeout_at(deadline, remove_row(context, &context.local_member)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::info!(event = "directory-kept"; "could not remove the row of this node: {error}");
        }
        Err(_) => {
            log::info!(event = "directory-kept"; "could not remove the row of this node: no answer within {REMOVE_TIMEOUT:?}");
        }
    }
}
