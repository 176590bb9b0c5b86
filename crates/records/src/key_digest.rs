//! Digests of the keys by which the calls of a workspace are recognized.

use std::fmt;

/// Length of a digest in bytes.
const KEY_DIGEST_BYTES: usize = 16;

/// Domain separation of the digests from other uses of BLAKE3.
const KEY_DIGEST_CONTEXT: &str = "agatedeck 2026-12-07 workspace key";

/// Digest of a key. Nodes hold and compare digests only, so that a key cannot reach a log, a metric or
/// the configuration, and that the time of a comparison reveals nothing about it.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &str) -> Self {
        let mut digest = [0; KEY_DIGEST_BYTES];
        let hash = blake3::derive_key(KEY_DIGEST_CONTEXT, key.as_bytes());
        digest.copy_from_slice(&hash[..KEY_DIGEST_BYTES]);
        Self(digest)
    }

    /// Reads a digest from its bytes; `None` if they have another length.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
