//! The row of the store that holds the state of a rollout.

use std::time::Duration;

use agatedeck_calls::StoredRollout;
use agatedeck_store::{RowCondition, RowWrite, StoreTransaction, StoredRow};
use agatedeck_wire::RolloutState;
use prost::Message as _;

use crate::clock::unix_ms;

/// Prefix of the keys of these rows. The name of the service follows.
const ROLLOUT_KEY_PREFIX: &str = "rollout/";

/// Longest time that counts between the writing of a row and its reading. The clocks of two hosts may
/// differ, and a rollout takes less.
const MAX_ROW_AGE: Duration = Duration::from_mins(10);

pub(super) fn row_key(service: &str) -> String {
    format!("{ROLLOUT_KEY_PREFIX}{service}")
}

/// Decodes a row; adds the time since it was written to the time since the order. A row that cannot be
/// decoded counts as one without a state, and is replaced.
pub(super) fn decode_row(row: Option<StoredRow>) -> StoredRollout {
    let Some(row) = row else {
        return StoredRollout::default();
    };
    let state = RolloutState::decode(row.value.as_slice()).ok();
    let state = state.map(|mut state| {
        let max_age = u64::try_from(MAX_ROW_AGE.as_millis()).unwrap_or(u64::MAX);
        let age = unix_ms().saturating_sub(state.written_unix_ms).min(max_age);
        state.elapsed_ms = state.elapsed_ms.saturating_add(age);
        state
    });
    StoredRollout {
        state,
        revision: row.revision,
    }
}

/// The transaction that replaces the row of this revision; 0 if there is none.
pub(super) fn write_transaction(state: &RolloutState, revision: u64) -> StoreTransaction {
    let key = row_key(&state.service);
    let written = RolloutState {
        written_unix_ms: unix_ms(),
        ..state.clone()
    };
    StoreTransaction {
        conditions: vec![RowCondition {
            key: key.clone(),
            revision,
        }],
        writes: vec![RowWrite {
            key,
            value: Some(written.encode_to_vec()),
        }],
    }
}
