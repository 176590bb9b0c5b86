//! All records of one version, and how a delta leads to the next.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use agatedeck_wire::{Delta, Record, RecordKind, RecordName, Snapshot};
use derive_more::{Display, Error};
use prost::Message;

use crate::key::RecordKey;
use crate::validation::{ValidationError, validate_records};

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;

/// Level of zstd; higher levels gain under 2% on changes of a few records.
const ZSTD_LEVEL: i32 = 3;

/// Largest size that a compressed value may expand to, in bytes. Guards a node's memory against a
/// damaged frame.
const MAX_DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;

/// Identifies the content of a snapshot: 128 bits of BLAKE3 over its canonical encoding.
#[derive(Clone, Copy, Eq, PartialEq, Hash, Default)]
pub struct SnapshotDigest([u8; DIGEST_BYTES]);

impl SnapshotDigest {
    fn compute(bytes: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The bytes of the digest.
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

/// Why a delta or a received snapshot is refused. The snapshot held stays as it is.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// The delta does not follow the version held.
    #[display("delta {delta} does not follow version {held}")]
    OutOfSequence {
        /// Version held.
        held: u64,
        /// Version of the delta.
        delta: u64,
    },
    /// The delta retires a record that is not there.
    #[display("the delta retires {_0}, which does not exist")]
    #[error(ignore)]
    RetiresMissingRecord(RecordKey),
    /// The result differs from what the accepting node computed.
    #[display("version {version} has digest {actual}, not the stated one")]
    DigestMismatch {
        /// Version of the delta or snapshot.
        version: u64,
        /// Digest of the result here.
        actual: SnapshotDigest,
    },
    /// The result breaks rules.
    #[display("version {version} breaks rules: {}", join(errors))]
    Invalid {
        /// Version of the delta or snapshot.
        version: u64,
        /// All rules broken.
        errors: Vec<ValidationError>,
    },
    /// The bytes received are not a delta or snapshot.
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

/// Version that `delta` starts from.
pub fn delta_base_version(delta: &Delta) -> u64 {
    delta.base.unwrap_or(delta.version.saturating_sub(1))
}

/// All records of one version.
///
/// Invariant: `digest` is the digest of the canonical encoding of `version` and `records`, and the
/// records break no rule of [`validate_records`].
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    version: u64,
    records: BTreeMap<RecordKey, Arc<Record>>,
    digest: SnapshotDigest,
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
            records,
            digest: SnapshotDigest::default(),
        };
        snapshot.digest = SnapshotDigest::compute(&snapshot.encode());
        snapshot
    }

    /// Version of the snapshot; 0 is the empty configuration that precedes the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Digest of the snapshot.
    pub fn digest(&self) -> SnapshotDigest {
        self.digest
    }

    /// The record under `key`.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key).map(Arc::as_ref)
    }

    /// All records in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(Arc::as_ref)
    }

    /// All records of one kind in the order of their names.
    pub fn records_of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Record> {
        let of_kind = self.records.range(RecordKey::new(kind, "")..);
        let of_kind = of_kind.take_while(move |(key, _)| key.kind == kind);
        of_kind.map(|(_, record)| record.as_ref())
    }

    pub(crate) fn record_map(&self) -> &BTreeMap<RecordKey, Arc<Record>> {
        &self.records
    }

    /// The snapshot that results from `delta`.
    ///
    /// # Errors
    ///
    /// Fails if the delta does not follow this version, breaks a rule, or leads to another digest
    /// than it states. This snapshot is unchanged in any case.
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

    /// A version whose records come from outside, such as a configuration that the platform's
    /// operators write whole.
    ///
    /// # Errors
    ///
    /// Fails if the records break a rule.
    pub fn try_from_records(version: u64, records: Vec<Record>) -> Result<Self, ApplyError> {
        let records = records
            .into_iter()
            .map(|record| (RecordKey::from_record(&record), Arc::new(record)))
            .collect();
        let errors = validate_records(&records);
        if !errors.is_empty() {
            return Err(ApplyError::Invalid { version, errors });
        }
        Ok(Self::from_records(version, records))
    }

    /// The difference that leads from this version to `next`.
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

    /// Reads a compressed snapshot and compares it with the digest expected.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged, break a rule, or have another digest.
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

    /// The compressed encoding of the snapshot.
    pub fn compressed(&self) -> Vec<u8> {
        compress(&self.to_message())
    }
}

/// Encodes and compresses a message.
pub fn compress(message: &impl Message) -> Vec<u8> {
    // Compression of a buffer in memory has no way to fail but running out of memory.
    zstd::bulk::compress(&message.encode_to_vec(), ZSTD_LEVEL)
        .expect("compression in memory succeeds")
}

/// Reads a message that [`compress`] wrote.
///
/// # Errors
///
/// Fails with [`ApplyError::Malformed`] if the bytes do not decompress or decode.
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
