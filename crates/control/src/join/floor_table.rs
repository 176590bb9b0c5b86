//! Version floors of the nodes of the local failure domain, and selection of the witnesses that
//! record them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use agatedeck_wire::{FloorAnswer, FloorRecord, Member};

use crate::member::MemberTable;
use crate::rendezvous::rendezvous_score;

/// Selects the witnesses of `node`, which record the version that it activates: the `count` live
/// nodes of its failure domain that rank first by rendezvous hashing.
pub fn select_witnesses<'a>(
    table: &'a MemberTable,
    node: &Member,
    count: usize,
) -> Vec<&'a Member> {
    let mut peers: Vec<&Member> = table
        .live()
        .filter(|member| member.domain == node.domain && member.node != node.node)
        .collect();
    let salt = rendezvous_score(0, &node.node);
    peers.sort_by_cached_key(|member| {
        (
            Reverse(rendezvous_score(salt, &member.node)),
            member.node.clone(),
        )
    });
    peers.truncate(count);
    peers
}

/// For each node of the domain, the highest version that it was seen to hold or recorded here.
///
/// Invariant: the floor of a node never decreases. Entries are never removed, since a node could
/// otherwise restart below the highest version that it held. Cost: about 100 bytes per host name
/// that occurred in the domain since this process started; the domain of 100 hosts in the design
/// gains about 10 names a day.
#[derive(Clone, Debug, Default)]
pub struct FloorTable {
    domain: String,
    floors: BTreeMap<String, u64>,
}

impl FloorTable {
    /// Creates an empty table for the nodes of `domain`.
    pub fn new(domain: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            ..Self::default()
        }
    }

    /// Records the version that a node is about to activate and returns the resulting floor.
    ///
    /// Version 0 records nothing; a joining node sends it to query its floor.
    pub fn record(&mut self, record: &FloorRecord) -> FloorAnswer {
        if record.version > 0 {
            let version = self.floors.entry(record.node.clone()).or_default();
            *version = record.version.max(*version);
        }
        FloorAnswer {
            version: self.floor(&record.node),
        }
    }

    /// Raises the floor of a node of the local domain to the version in its member entry.
    pub fn observe(&mut self, member: &Member) {
        if member.domain == self.domain {
            self.record(&FloorRecord {
                node: member.node.clone(),
                version: member.version,
            });
        }
    }

    /// Returns the highest version known for `node`; 0 for none.
    pub fn floor(&self, node: &str) -> u64 {
        self.floors.get(node).copied().unwrap_or(0)
    }
}
