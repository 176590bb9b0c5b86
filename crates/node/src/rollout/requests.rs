//! Requests of the rollout actor to the store and to the driver.

use std::time::Duration;

use agatedeck_calls::{RolloutOrder, RolloutStatus, StoredRollout};
use agatedeck_store::TransactionOutcome;
use agatedeck_wire::{ControlPlaneRequest, RolloutCounts, RolloutReport, RolloutState};

use super::row::{decode_row, row_key, write_transaction};
use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Time in which a report must be answered. One that is lost is not repeated, as the next one follows within a second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends results to the node that drives the rollouts.
pub(super) async fn send_report(context: &NodeContext, driver: &str, counts: Vec<RolloutCounts>) {
    let table = context.table();
    let Some(peer) = table.get(driver).and_then(PeerAddress::from_member) else {
        return;
    };
    let report = RolloutReport {
        node: context.local_member.node.clone(),
        counts,
    };
    let request = ControlPlaneRequest::ReportRollout { report };
    let deadline = tokio::time::Instant::now() + REPORT_TIMEOUT;
    if let Err(error) = context.transport.send(&peer, request, deadline).await {
        log::debug!("results of a rollout did not reach node `{driver}`: {error}");
    }
}

/// Reads the row of a service; `None` if the store does not answer.
pub(super) async fn read_rollout(context: &NodeContext, service: &str) -> Option<StoredRollout> {
    let key = row_key(service);
    let row = context.store.read_row(&key, context.store_deadline()).await;
    row.inspect_err(|error| log::debug!("cannot read row `{key}`: {error}"))
        .ok()
        .map(decode_row)
}

/// Replaces the row of this revision. Returns the new one, `None` if the row has another one, or an error if the
/// store does not answer.
pub(super) async fn write_rollout(
    context: &NodeContext,
    state: &RolloutState,
    revision: u64,
) -> Result<Option<u64>, ()> {
    let transaction = write_transaction(state, revision);
    let deadline = context.store_deadline();
    match context.store.transact(&transaction, deadline).await {
        Ok(TransactionOutcome::Committed(revision)) => Ok(Some(revision)),
        Ok(TransactionOutcome::Conflict(_)) => Ok(None),
        Err(error) => {
            log::debug!("cannot write the rollout of `{}`: {error}", state.service);
            Err(())
        }
    }
}

/// Writes the status that the operator reads; returns whether it is written.
pub(super) async fn write_status(
    context: &NodeContext,
    order: &RolloutOrder,
    status: RolloutStatus,
) -> bool {
    let Some(board) = &context.rollout_board else {
        return true;
    };
    let deadline = context.store_deadline();
    let RolloutOrder {
        service, target, ..
    } = order;
    match board.write_status(service, target, status, deadline).await {
        Ok(()) => {
            context.metrics.count_rollout_status(status);
            log::info!(
                event = "rollout-status", service, target, status:% = status;
                "the status of version `{target}` of `{service}` is {status}"
            );
            true
        }
        Err(error) => {
            log::debug!("cannot write the status of `{service}`: {error}");
            false
        }
    }
}
