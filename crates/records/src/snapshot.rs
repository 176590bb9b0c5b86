//! Snapshots of a configuration version, their digests, and the application of deltas.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use agatedeck_wire::{Delta, Record, RecordKind, RecordName, Snapshot};
use derive_more::{Display, Error};
use prost::Message;

use crate::key::RecordKey;
use crate::key_digest::KeyDigest;
use crate::validation::{ValidationError, validate_records};
use crate::workspaces::WorkspaceIndex;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;

/// Compression level of zstd; higher levels save less than 2% on deltas of a few records.
const ZSTD_LEVEL: i32 = 3;

/// Maximum decompressed size of a value, in bytes. Bounds the memory that a corrupt frame can make
/// a node allocate.
const MAX_DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;

/// Digest of a snapshot: the first 128 bits of BLAKE3 over its canonical encoding.
#[derive(Clone, Copy, Eq, PartialEq, Hash, Default)]
pub struct SnapshotDigest([u8; DIGEST_BYTES]);

impl SnapshotDigest {
    fn compute(bytes: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for SnapshotDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for SnapshotDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SnapshotDigest({self})")
    }
}

/// Reason for which a delta or a received snapshot is rejected. The held snapshot is unchanged.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// The delta is not based on the held version, or its version is not newer.
    #[display("delta {delta} does not follow version {held}")]
    OutOfSequence {
        /// Held version.
        held: u64,
        /// Version of the delta.
        delta: u64,
    },
    /// The delta retires a record that does not exist.
    #[display("the delta retires {_0}, which does not exist")]
    #[error(ignore)]
    RetiresMissingRecord(RecordKey),
    /// The result differs from the snapshot that the accepting node computed.
    #[display("version {version} has digest {actual}, not the stated one")]
    DigestMismatch {
        /// Version of the delta or snapshot.
        version: u64,
        /// Digest of the result on this node.
        actual: SnapshotDigest,
    },
    /// The result violates validation rules.
    #[display("version {version} breaks rules: {}", join(errors))]
    Invalid {
        /// Version of the delta or snapshot.
        version: u64,
        /// All violations.
        errors: Vec<ValidationError>,
    },
    /// The bytes do not decode to a delta or a snapshot.
    #[display("the encoding is damaged: {_0}")]
    #[error(ignore)]
    Malformed(String),
}

fn join(errors: &[ValidationError]) -> String {
    errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

/// Returns the version that `delta` is based on.
pub fn delta_base_version(delta: &Delta) -> u64 {
    delta.base.unwrap_or(delta.version.saturating_sub(1))
}

/// All records of one version.
///
/// Invariant: `digest` is the digest of the canonical encoding of `version` and `records`, and
/// [`validate_records`] returns no error for the records.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    version: u64,
    records: BTreeMap<RecordKey, Arc<Record>>,
    digest: SnapshotDigest,
    workspaces: WorkspaceIndex,
}

impl Default for ConfigSnapshot {
    fn default() -> Self {
        Self::from_records(0, BTreeMap::new())
    }
}

impl ConfigSnapshot {
    pub(crate) fn from_records(version: u64, records: BTreeMap<RecordKey, Arc<Record>>) -> Self {
        let mut snapshot = Self {
            version,
            workspaces: WorkspaceIndex::new(&records),
            records,
            digest: SnapshotDigest::default(),
        };
        snapshot.digest = SnapshotDigest::compute(&snapshot.encode());
        snapshot
    }

    /// Returns the version of the snapshot; 0 is the empty configuration before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the snapshot.
    pub fn digest(&self) -> SnapshotDigest {
        self.digest
    }

    /// Returns the record with this key.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key).map(Arc::as_ref)
    }

    /// Iterates over all records in key order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(Arc::as_ref)
    }

    /// Iterates over all records of one kind in name order.
    pub fn records_of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Record> {
        let of_kind = self.records.range(RecordKey::new(kind, "")..);
        let of_kind = of_kind.take_while(move |(key, _)| key.kind == kind);
        of_kind.map(|(_, record)| record.as_ref())
    }

    /// Name of the workspace that holds the key with this digest.
    pub(crate) fn workspace_name(&self, digest: &KeyDigest) -> Option<&str> {
        self.workspaces.name_of(digest)
    }

    pub(crate) fn record_map(&self) -> &BTreeMap<RecordKey, Arc<Record>> {
        &self.records
    }

    /// Applies `delta` and returns the resulting snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the delta is not based on this version or not newer, if it retires a record that
    /// does not exist, or if its result violates a validation rule or has another digest than the
    /// delta states.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ApplyError> {
        if delta_base_version(delta) != self.version || delta.version <= self.version {
            return Err(ApplyError::OutOfSequence {
                held: self.version,
                delta: delta.version,
            });
        }
        let mut records = self.records.clone();
        for name in &delta.retired {
            let key = RecordKey::from(name);
            if records.remove(&key).is_none() {
                return Err(ApplyError::RetiresMissingRecord(key));
            }
        }
        for record in &delta.puts {
            records.insert(RecordKey::from_record(record), Arc::new(record.clone()));
        }
        Self::verified(delta.version, records, &delta.digest)
    }

    /// Creates a snapshot of records from an external source, such as a complete configuration that
    /// the platform's operators write.
    ///
    /// # Errors
    ///
    /// Fails if the records violate a validation rule, or two of them have the same key.
    pub fn try_from_records(version: u64, records: Vec<Record>) -> Result<Self, ApplyError> {
        let mut by_key = BTreeMap::new();
        let mut errors = Vec::new();
        for record in records {
            let key = RecordKey::from_record(&record);
            if by_key.insert(key.clone(), Arc::new(record)).is_some() {
                errors.push(ValidationError::DuplicateRecord { key });
            }
        }
        let records = by_key;
        errors.extend(validate_records(&records));
        if !errors.is_empty() {
            return Err(ApplyError::Invalid { version, errors });
        }
        Ok(Self::from_records(version, records))
    }

    /// Returns the delta from this snapshot to `next`.
    pub fn delta_to(&self, next: &Self) -> Delta {
        let changed = next
            .records
            .iter()
            .filter(|(key, record)| self.records.get(*key) != Some(*record));
        let retired = self
            .records
            .keys()
            .filter(|key| !next.records.contains_key(*key));
        Delta {
            version: next.version,
            puts: changed.map(|(_, record)| record.as_ref().clone()).collect(),
            retired: retired.map(RecordName::from).collect(),
            digest: next.digest.as_bytes().to_vec(),
            base: Some(self.version),
            ..Delta::default()
        }
    }

    /// Decodes a compressed snapshot and verifies it against the expected digest.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed, the records violate a validation rule, or the digest
    /// differs.
    pub fn decode(bytes: &[u8], digest: &[u8]) -> Result<Self, ApplyError> {
        let snapshot: Snapshot = decompress(bytes)?;
        let records = snapshot.records.into_iter();
        let records = records
            .map(|record| (RecordKey::from_record(&record), Arc::new(record)))
            .collect();
        Self::verified(snapshot.version, records, digest)
    }

    fn verified(
        version: u64,
        records: BTreeMap<RecordKey, Arc<Record>>,
        digest: &[u8],
    ) -> Result<Self, ApplyError> {
        let errors = validate_records(&records);
        if !errors.is_empty() {
            return Err(ApplyError::Invalid { version, errors });
        }
        let snapshot = Self::from_records(version, records);
        if snapshot.digest.as_bytes() != digest {
            return Err(ApplyError::DigestMismatch {
                version,
                actual: snapshot.digest,
            });
        }
        Ok(snapshot)
    }

    fn to_message(&self) -> Snapshot {
        let records = self.records().cloned().collect();
        Snapshot {
            version: self.version,
            records,
        }
    }

    fn encode(&self) -> Vec<u8> {
        self.to_message().encode_to_vec()
    }

    /// Returns the compressed encoding of the snapshot.
    pub fn compressed(&self) -> Vec<u8> {
        compress(&self.to_message())
    }
}

/// Encodes a message and compresses it with zstd.
pub fn compress(message: &impl Message) -> Vec<u8> {
    // Compression of a buffer in memory fails only when memory runs out.
    zstd::bulk::compress(&message.encode_to_vec(), ZSTD_LEVEL)
        .expect("compression in memory succeeds")
}

/// Decompresses and decodes a message that [`compress`] encoded.
///
/// # Errors
///
/// Fails with [`ApplyError::Malformed`] if the bytes do not decompress or decode, or if the frame
/// states no decompressed size or one of more than 64 MiB.
pub fn decompress<M: Message + Default>(bytes: &[u8]) -> Result<M, ApplyError> {
    let malformed = |error: &dyn fmt::Display| ApplyError::Malformed(error.to_string());
    let decompressed = zstd::bulk::decompress(bytes, decompressed_size(bytes)?)
        .map_err(|error| malformed(&error))?;
    M::decode(decompressed.as_slice()).map_err(|error| malformed(&error))
}

fn decompressed_size(bytes: &[u8]) -> Result<usize, ApplyError> {
    let content_size = zstd::zstd_safe::get_frame_content_size(bytes)
        .ok()
        .flatten();
    let content_size = content_size.and_then(|size| usize::try_from(size).ok());
    content_size
        .filter(|size| *size <= MAX_DECOMPRESSED_BYTES)
        .ok_or_else(|| {
            ApplyError::Malformed("the frame states no size within the limit".to_owned())
        })
}
