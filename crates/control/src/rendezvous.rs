//! Rendezvous hashing: every node ranks the same candidates in the same order, with no agreement.
//!
//! When the views of two nodes differ, their rankings differ only for the candidates that one of
//! them does not see.

/// Score of `candidate` for `salt`; the highest score ranks first.
pub fn score(salt: u64, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(candidate.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Sorts `candidates` by their rank for `salt`, the first-ranked one first.
pub fn rank_by<T>(salt: u64, candidates: &mut [T], name: impl Fn(&T) -> &str) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name(candidate);
        (std::cmp::Reverse(score(salt, name)), name.to_owned())
    });
}
