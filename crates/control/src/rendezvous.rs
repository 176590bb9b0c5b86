//! Rendezvous hashing: every node ranks the same candidates in the same order, with no agreement.
//!
//! When the views of two nodes differ, their rankings differ only for the candidates that one of
//! them does not see.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `candidate` for `salt`; the highest score ranks first.
pub fn rendezvous_score(salt: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), salt)
}

/// Sorts `candidates` by their rank for `salt`, the first-ranked one first.
pub fn rank_candidates<T>(salt: u64, candidates: &mut [T], name: impl Fn(&T) -> &str) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name(candidate);
        (
            std::cmp::Reverse(rendezvous_score(salt, name)),
            name.to_owned(),
        )
    });
}
