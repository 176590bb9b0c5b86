//! How a node that has just started finds other nodes and is found by them.
//!
//! The platform's table has one row for each node, with its entry. A node writes its own row before
//! it reads the others, so that of two nodes that start together at least one finds the other. Nothing
//! is decided by these rows: an entry that is out of date only costs a failed attempt.

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

/// Prefix of the rows of nodes.
const NODE_KEY_PREFIX: &str = "node/";

/// Rows read at once.
const ROWS_PER_READ: usize = 500;

/// First pause between two attempts to find other nodes.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause between two attempts to find other nodes.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Pause between two looks at all rows by the first-ranked node of a failure domain.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// Time for which changes of the own entry are gathered before the row is written.
const WRITE_DEBOUNCE: Duration = Duration::from_millis(300);

/// Time allowed for the removal of the row of a node that stops.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Salt of the ranks that select the node that looks at all rows.
const REFRESHER_RANK_SALT: u64 = 0x626f_6f74;

/// Finds other nodes, then keeps the own row up to date.
pub(crate) async fn run_directory(
    context: NodeContext,
    join: ActorRef<JoinActor>,
    members: ActorRef<MemberActor>,
) {
    // The floor is asked for at once.
    if join.ask(AddSeedAddresses(Vec::new())).await.is_err() {
        return;
    }
    let written = discover_nodes(&context, &join, &members).await;
    tokio::join!(
        update_own_row(&context, written),
        refresh_seed_addresses(&context, &members)
    );
}

/// Between half of `pause` and all of it, so that nodes that start together spread out.
fn with_jitter(pause: Duration) -> Duration {
    rand::rng().random_range(pause / 2..=pause)
}

/// Writes the own row and takes in the others, until both have succeeded. Returns the entry written.
async fn discover_nodes(
    context: &NodeContext,
    join: &ActorRef<JoinActor>,
    members: &ActorRef<MemberActor>,
) -> Member {
    let mut pause = INITIAL_BACKOFF;
    loop {
        let own = own_entry(context);
        let found = match write_row(context, &own).await {
            Ok(()) => read_rows(context).await,
            Err(error) => Err(error),
        };
        // Nodes that remember this host may have got in touch by themselves.
        let table = context.table();
        let others = table.live().filter(|other| other.node != own.node);
        let mut seed_addresses: Vec<String> =
            others.map(|other| other.control_address.clone()).collect();
        if let Ok(found) = &found {
            seed_addresses.extend(found.iter().map(|member| member.control_address.clone()));
        }
        // The actors are gone only when the node is stopping.
        let _ = join.tell(AddSeedAddresses(seed_addresses.clone())).await;
        match found {
            Ok(found) => {
                let _ = members.tell(SetSeedAddresses(seed_addresses)).await;
                let _ = members.tell(MergeMemberList(found)).await;
                return own;
            }
            Err(error) => {
                log::warn!(event = "directory-unread"; "the nodes named in the store are not known: {error}");
            }
        }
        sleep(with_jitter(pause)).await;
        pause = pause.saturating_mul(2).min(MAX_BACKOFF);
    }
}

/// Writes the own row each time that the own entry has changed.
async fn update_own_row(context: &NodeContext, mut written: Member) {
    let mut members = context.members.clone();
    while members.changed().await.is_ok() {
        if !is_row_stale(&own_entry(context), &written) {
            continue;
        }
        sleep(WRITE_DEBOUNCE).await;
        let own = own_entry(context);
        match write_row(context, &own).await {
            Ok(()) => written = own,
            Err(error) => {
                log::warn!(event = "directory-unwritten"; "the row of this node is out of date: {error}");
                sleep(with_jitter(MAX_BACKOFF)).await;
                // The next change of any entry is the next attempt.
            }
        }
    }
}

/// Whether a node that starts would be misled by the row.
fn is_row_stale(entry: &Member, written: &Member) -> bool {
    (&entry.service, entry.slots) != (&written.service, written.slots)
}

/// Hands the addresses in all rows to the failure detector, which joins parts of the mesh that formed
/// apart, and removes the rows of nodes that are gone. Only the first-ranked node of a failure domain
/// does this, so the reads do not grow with the fleet.
async fn refresh_seed_addresses(context: &NodeContext, members: &ActorRef<MemberActor>) {
    loop {
        sleep(with_jitter(REFRESH_INTERVAL)).await;
        if !is_refresher(context) {
            continue;
        }
        match read_rows(context).await {
            Ok(found) => {
                remove_departed_rows(context, &found).await;
                let seed_addresses = found.into_iter().map(|member| member.control_address);
                // The keeper is gone only when the node is stopping.
                let _ = members
                    .tell(SetSeedAddresses(seed_addresses.collect()))
                    .await;
            }
            Err(error) => {
                log::warn!(event = "directory-stale"; "the rows of nodes could not be read: {error}");
            }
        }
    }
}

/// Whether this node ranks first among the live nodes of its failure domain.
fn is_refresher(context: &NodeContext) -> bool {
    let table = context.table();
    let own = &context.own;
    let mut domain: Vec<&Member> = table
        .live()
        .filter(|member| member.domain == own.domain && member.status() == MemberStatus::Alive)
        .collect();
    rank_candidates(REFRESHER_RANK_SALT, &mut domain, |member| &member.node);
    domain.first().is_some_and(|first| first.node == own.node)
}

/// Removes the rows of nodes of the own failure domain that have left or are dead.
async fn remove_departed_rows(context: &NodeContext, found: &[Member]) {
    let table = context.table();
    let departed = |row: &&Member| {
        let known = table.get(&row.node);
        row.domain == context.own.domain
            && known.is_some_and(|known| {
                matches!(known.status(), MemberStatus::Left | MemberStatus::Dead)
                    && known.incarnation >= row.incarnation
            })
    };
    for member in found.iter().filter(departed) {
        if let Err(error) = remove_row(context, member).await {
            log::info!(event = "directory-kept"; "the row of `{}` stays for now: {error}", member.node);
        }
    }
}

/// The own entry as the member table has it.
fn own_entry(context: &NodeContext) -> Member {
    let table = context.table();
    let entry = table.get(&context.own.node).cloned();
    entry.unwrap_or_else(|| context.own.as_ref().clone())
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

/// Entries of all nodes that have a row, this one excepted.
async fn read_rows(context: &NodeContext) -> Result<Vec<Member>, StoreError> {
    let mut found: Vec<Member> = Vec::new();
    let mut after = String::new();
    loop {
        let rows = context
            .store
            .scan_rows(
                NODE_KEY_PREFIX,
                &after,
                ROWS_PER_READ,
                context.store_deadline(),
            )
            .await?;
        let members = rows.iter().filter_map(|row| decode_entry(&row.value));
        found.extend(members.filter(|member| member.node != context.own.node));
        match rows.last() {
            Some(last) if rows.len() == ROWS_PER_READ => after.clone_from(&last.key),
            _ => return Ok(found),
        }
    }
}

/// The entry in a row; `None` if another writer put something else there.
fn decode_entry(value: &[u8]) -> Option<Member> {
    let member = Member::decode(value).ok()?;
    let valid = !member.node.is_empty() && !member.control_address.is_empty();
    valid.then_some(member)
}

async fn write_row(context: &NodeContext, own: &Member) -> Result<(), StoreError> {
    let entry = Member {
        status: MemberStatus::Alive.into(),
        ..own.clone()
    };
    write_key(context, row_key(own), Some(entry.encode_to_vec())).await
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
    let written = context
        .store
        .transact(&transaction, context.store_deadline());
    written.await.map(drop)
}

/// Removes the row of this node, which stops.
pub(crate) async fn remove_own_row(context: &NodeContext) {
    let deadline = Instant::now() + REMOVE_TIMEOUT;
    match timeout_at(deadline, remove_row(context, &context.own)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::info!(event = "directory-kept"; "the row of this node stays: {error}");
        }
        Err(_) => {
            log::info!(event = "directory-kept"; "the row of this node stays: the store is slow");
        }
    }
}
