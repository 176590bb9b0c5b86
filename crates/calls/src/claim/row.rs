//! Claim rows and their encoding.

use agatedeck_wire::{ClaimRow, ClaimState as WireState};
use derive_more::{Display, Error};
use prost::Message as _;

/// State of a claim as stored in its row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimPhase {
    /// The call is claimed and no answer is stored.
    InProgress,
    /// The call was answered with this answer.
    Done(ClaimAnswer),
    /// The call did not run. A new claim may replace the row.
    Released,
}

/// A stored answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer had none.
    pub content_type: String,
    /// Body; `None` if it was too large to be stored.
    pub body: Option<Vec<u8>>,
}

/// Value of the row `claim/<service>/<key>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// Unique identifier of the claim attempt among those of all nodes.
    pub token: String,
    /// Node that made the attempt.
    pub node: String,
    /// Digest of the request body.
    pub digest: Vec<u8>,
    /// Unix time in milliseconds after which the outcome of a call in progress counts as unknown.
    pub lease_unix_ms: u64,
    /// State of the claim.
    pub phase: ClaimPhase,
}

/// Error of [`decode_claim`].
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ClaimRowError {
    /// The value is not a `ClaimRow`.
    #[display("the claim row does not decode: {_0}")]
    Malformed(#[error(source)] prost::DecodeError),
    /// The row has a state or answer status that this version does not know.
    #[display("the claim row has the unknown {field} {value}")]
    Unknown {
        /// Field of the row.
        field: &'static str,
        /// Its value.
        value: i64,
    },
}

impl ClaimRecord {
    /// Upper bound of the size of the encoded row in bytes. Used to limit transactions.
    pub fn max_encoded_bytes(&self) -> usize {
        // Tags, lengths and integers of a `ClaimRow`.
        const MAX_FIXED_BYTES: usize = 96;
        let answer = match &self.phase {
            ClaimPhase::Done(answer) => {
                answer.content_type.len() + answer.body.as_ref().map_or(0, Vec::len)
            }
            ClaimPhase::InProgress | ClaimPhase::Released => 0,
        };
        MAX_FIXED_BYTES + self.token.len() + self.node.len() + self.digest.len() + answer
    }
}

/// Encodes a record as the value of its row.
pub fn encode_claim(record: &ClaimRecord) -> Vec<u8> {
    let state = match &record.phase {
        ClaimPhase::InProgress => WireState::InProgress,
        ClaimPhase::Done(_) => WireState::Done,
        ClaimPhase::Released => WireState::Released,
    };
    let mut row = ClaimRow {
        token: record.token.clone(),
        node: record.node.clone(),
        state: state.into(),
        request_digest: record.digest.clone(),
        lease_unix_ms: record.lease_unix_ms,
        ..ClaimRow::default()
    };
    if let ClaimPhase::Done(answer) = &record.phase {
        row.answer_status = answer.status.into();
        row.answer_content_type.clone_from(&answer.content_type);
        row.answer_body_omitted = answer.body.is_none();
        row.answer_body = answer.body.clone().unwrap_or_default();
    }
    row.encode_to_vec()
}

/// Decodes the value of a claim row.
///
/// # Errors
///
/// Fails if the value is not a `ClaimRow` or has an unknown state or answer status.
pub fn decode_claim(value: &[u8]) -> Result<ClaimRecord, ClaimRowError> {
    let row = ClaimRow::decode(value).map_err(ClaimRowError::Malformed)?;
    let unknown = |field, value| ClaimRowError::Unknown { field, value };
    let phase = match WireState::try_from(row.state) {
        Ok(WireState::InProgress) => ClaimPhase::InProgress,
        Ok(WireState::Released) => ClaimPhase::Released,
        Ok(WireState::Done) => ClaimPhase::Done(ClaimAnswer {
            status: u16::try_from(row.answer_status)
                .map_err(|_| unknown("answer status", row.answer_status.into()))?,
            content_type: row.answer_content_type,
            body: (!row.answer_body_omitted).then_some(row.answer_body),
        }),
        Err(_) => return Err(unknown("state", row.state.into())),
    };
    Ok(ClaimRecord {
        token: row.token,
        node: row.node,
        digest: row.request_digest,
        lease_unix_ms: row.lease_unix_ms,
        phase,
    })
}
