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
use tokio::sync::watch;
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

/// Age up to which a row may be missing in the copy that the store goes back to. Copies are some seconds
/// old.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);

/// Time over which the nodes spread the writes of their rows after the store has lost them.
const REWRITE_SPREAD: Duration = Duration::from_secs(2);

/// Timeout for removing the own row at shutdown.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Salt of the rendezvous ranking that selects the node that scans all rows.
const REFRESHER_RANK_SALT: u64 = 0x626f_6f74;

/// Discovers other nodes, then keeps the own row and the seed addresses up to date.
pub(crate) async fn run_directory(
    context: NodeContext,
    join: ActorRef<JoinActor>,
    members: ActorRef<MemberActor>,
    generation: watch::Receiver<Option<u64>>,
) {
    // Starts the join, which queries the floor without waiting for discovery.
    if join.ask(AddSeedAddresses(Vec::new())).await.is_err() {
        return;
    }
    let entry = discover_nodes(&context, &join, &members).await;
    let own_row = OwnRow::new(entry, *generation.borrow());
    tokio::join!(
        update_own_row(&context, own_row, generation),
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

/// The row of this node, as it was written last.
struct OwnRow {
    entry: Member,
    written_at: Instant,
    /// Generation of the store when the row was written; `None` if it was not known then.
    generation: Option<u64>,
}

impl OwnRow {
    fn new(entry: Member, generation: Option<u64>) -> Self {
        Self {
            entry,
            written_at: Instant::now(),
            generation,
        }
    }

    /// Whether the row differs from the entry in a field that a starting node uses.
    fn is_stale(&self, entry: &Member) -> bool {
        (&entry.service, entry.slots) != (&self.entry.service, self.entry.slots)
    }

    /// Whether the store may have lost the row, because it has gone back to an earlier copy since.
    fn may_be_lost(&self, generation: Option<u64>) -> bool {
        self.generation.is_some()
            && generation > self.generation
            && self.written_at.elapsed() < MAX_COPY_AGE
    }
}

/// Rewrites the own row after each relevant change of the own entry, and after the store has lost it.
async fn update_own_row(
    context: &NodeContext,
    mut own_row: OwnRow,
    mut generation: watch::Receiver<Option<u64>>,
) {
    let mut members = context.members.clone();
    loop {
        let changed = tokio::select! {
            changed = members.changed() => changed,
            changed = generation.changed() => changed,
        };
        // The senders are dropped when the node stops.
        if changed.is_err() {
            return;
        }
        own_row.generation = own_row.generation.or(*generation.borrow());
        if own_row.may_be_lost(*generation.borrow()) {
            sleep(with_jitter(REWRITE_SPREAD)).await;
        } else if own_row.is_stale(&own_entry(context)) {
            sleep(WRITE_DEBOUNCE).await;
        } else {
            continue;
        }
        let (entry, current) = (own_entry(context), *generation.borrow());
        match write_row(context, &entry).await {
            Ok(()) => own_row = OwnRow::new(entry, current),
            Err(error) => {
                log::warn!(event = "directory-unwritten"; "could not update the row of this node: {error}");
                sleep(with_jitter(MAX_BACKOFF)).await;
                // The write is retried at the next change of any member entry.
            }
        }
    }
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
