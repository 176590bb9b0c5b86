//! Request fingerprints.

use derive_more::Display;

/// BLAKE3 key derivation context. Separates fingerprints from other uses of the hash and from later
/// versions of the fingerprint.
const HASH_CONTEXT: &str = "agatedeck 2026 request fingerprint v2";

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service on the host that the request originates from. Targets are told the caller, and may
    /// crash on the request of one caller while they answer the same request of others.
    pub caller: &'a str,
    /// Host name that the request is addressed to. It tells requests to different services apart where
    /// the service itself cannot be used: a route may be split over several services, or move to another
    /// one, and the request then crashes targets of each.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark; empty if there is none.
    pub query: &'a str,
    /// The body, or the first bytes of a large one. Their number must be the same in each attempt.
    pub body: &'a [u8],
}

/// BLAKE3 hash of a [`RequestView`]. [`Display`](std::fmt::Display) writes it in hexadecimal.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn from_request(request: &RequestView<'_>) -> Self {
        let parts = [
            request.caller.as_bytes(),
            request.host.as_bytes(),
            request.method.as_bytes(),
            request.path.as_bytes(),
            request.query.as_bytes(),
            request.body,
        ];
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        for part in parts {
            // Length prefixes distinguish `a` + `bc` from `ab` + `c`.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Converts raw bytes to a fingerprint; `None` unless there are 32 of them.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the fingerprint.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}
