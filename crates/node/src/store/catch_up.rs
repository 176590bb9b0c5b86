//! Catches up with the head of the store.

use agatedeck_control::{DELTA_KEY_PREFIX, HEAD_KEY, VersionOrigin, delta_key, snapshot_key};
use agatedeck_store::{StoreError, StoredRow};
use agatedeck_wire::{Head, Offer, OfferOutcome, SpreadScope};
use derive_more::{Display, Error, From};
use kameo::actor::ActorRef;
use prost::Message as _;

use crate::config::{ConfigActor, OfferSnapshot, OfferVersion, ReadLatest};
use crate::context::NodeContext;
use crate::wire_answer::WireAnswer;

/// Maximum number of deltas in one scan.
const MAX_DELTAS_PER_SCAN: usize = 64;

/// Why catching up with the store failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CatchUpError {
    /// A request to the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// A row or object in the store is missing or invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Corrupt(#[error(not(source))] String),
    /// The newest version was rejected, and the one before it is not known.
    #[display("the newest version was rejected")]
    #[from(ignore)]
    Rejected,
    /// The store did not answer in time.
    #[display("the deadline passed")]
    #[from(ignore)]
    DeadlinePassed,
    /// The node is stopping.
    #[display("the node is stopping")]
    #[from(ignore)]
    Stopping,
}

/// A version that was read and offered to the config actor.
#[derive(Clone, Debug)]
pub(crate) struct NewVersion {
    pub(crate) version: u64,
    /// Compressed delta from the version before it.
    pub(crate) delta: Vec<u8>,
}

/// Reads the head row; the revision is 0 if there is no such row yet.
pub(crate) async fn read_head(context: &NodeContext) -> Result<(Head, u64), CatchUpError> {
    match context
        .store
        .read_row(HEAD_KEY, context.store_deadline())
        .await?
    {
        None => Ok((Head::default(), 0)),
        Some(row) => {
            let head = Head::decode(row.value.as_slice());
            let head =
                head.map_err(|error| CatchUpError::Corrupt(format!("row `head`: {error}")))?;
            Ok((head, row.revision))
        }
    }
}

/// Reads every version up to that of `head` and offers it to the config actor. Adds the versions read
/// as deltas to `new_versions`, oldest first, also if it fails or is dropped later; versions covered by
/// a snapshot are left out.
///
/// # Errors
///
/// Fails if the store cannot be read, its data is missing or invalid, or the node is stopping.
pub(crate) async fn catch_up(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
    head: &Head,
    new_versions: &mut Vec<NewVersion>,
) -> Result<(), CatchUpError> {
    loop {
        let latest = latest_version(config).await?;
        if latest >= head.version {
            return Ok(());
        }
        if head.stored_snapshot > latest {
            fetch_snapshot(context, config, head).await?;
            continue;
        }
        let after = delta_key(latest);
        let rows = context
            .store
            .scan_rows(
                DELTA_KEY_PREFIX,
                &after,
                MAX_DELTAS_PER_SCAN,
                context.store_deadline(),
            )
            .await?;
        if rows.is_empty() {
            let message = format!("version {} is missing from the store", latest + 1);
            return Err(CatchUpError::Corrupt(message));
        }
        for row in rows {
            new_versions.push(offer_row(config, row).await?);
        }
    }
}

/// The latest held version that passed its digest check.
pub(super) async fn latest_version(config: &ActorRef<ConfigActor>) -> Result<u64, CatchUpError> {
    let latest = config
        .ask(ReadLatest)
        .await
        .map_err(|_| CatchUpError::Stopping)?;
    Ok(latest.snapshot.version())
}

async fn offer_row(
    config: &ActorRef<ConfigActor>,
    row: StoredRow,
) -> Result<NewVersion, CatchUpError> {
    let version = row
        .key
        .strip_prefix(DELTA_KEY_PREFIX)
        .and_then(|digits| digits.parse().ok());
    let version: u64 = version
        .ok_or_else(|| CatchUpError::Corrupt(format!("row key `{}` names no version", row.key)))?;
    let scope = SpreadScope::Self_.into();
    let offer = Offer {
        version,
        delta: row.value.clone(),
        scope,
        position: 0,
    };
    let origin = VersionOrigin::Store;
    let answer = config.ask(OfferVersion { offer, origin }).await;
    let WireAnswer(answer) = answer.map_err(|_| CatchUpError::Stopping)?;
    if answer.outcome() == OfferOutcome::Refused {
        return Err(CatchUpError::Corrupt(format!(
            "version {version}: {}",
            answer.reason
        )));
    }
    Ok(NewVersion {
        version,
        delta: row.value,
    })
}

async fn fetch_snapshot(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
    head: &Head,
) -> Result<(), CatchUpError> {
    let key = snapshot_key(head.stored_snapshot, &head.stored_digest);
    let bytes = context
        .store
        .read_object(&key, context.store_deadline())
        .await?;
    let bytes = bytes.ok_or_else(|| CatchUpError::Corrupt(format!("object `{key}` is missing")))?;
    let digest = head.stored_digest.clone();
    config
        .ask(OfferSnapshot { bytes, digest })
        .await
        .map_err(|_| CatchUpError::Stopping)?;
    if latest_version(config).await? < head.stored_snapshot {
        return Err(CatchUpError::Corrupt(format!("object `{key}` was refused")));
    }
    Ok(())
}
