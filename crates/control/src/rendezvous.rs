//! Rendezvous hashing: all nodes rank a set of candidates in the same order without coordination.
//!
//! If the views of two nodes differ, their rankings differ only in the candidates that are missing
//! from one of the views.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `candidate` for `salt`; the highest score ranks first.
pub fn rendezvous_score(salt: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), salt)
}

/// Sorts `candidates` by descending score for `salt`; ties are sorted by name.
pub fn rank_candidates<T>(salt: u64, candidates: &mut [T], name: impl Fn(&T) -> &str) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name(candidate);
        (
            std::cmp::Reverse(rendezvous_score(salt, name)),
            name.to_owned(),
        )
    });
}
