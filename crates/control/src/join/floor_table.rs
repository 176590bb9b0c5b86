//! What this node remembers of the versions that the nodes of its failure domain held.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use agatedeck_wire::{FloorAnswer, FloorRecord, Member};

use crate::member::MemberTable;
use crate::rendezvous::rendezvous_score;

/// The live nodes that remember which version `node` puts in force: the first `count` by rank in
/// its failure domain.
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

/// For each node of the domain, the highest version it was seen to hold or recorded here.
///
/// Invariant: the version remembered for a node never decreases. Entries are never dropped, since a
/// peer that forgot the highest version would let the node return below it. Cost: about 100 bytes
/// for each host name that the domain ever had while this process runs; the domain of 100 hosts in
/// the design gains about 10 names a day.
#[derive(Clone, Debug, Default)]
pub struct FloorTable {
    domain: String,
    floors: BTreeMap<String, u64>,
}

impl FloorTable {
    /// An empty ledger for the nodes of `domain`.
    pub fn new(domain: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            ..Self::default()
        }
    }

    /// Records what a node is about to put in force and answers with what is remembered then.
    ///
    /// Version 0 records nothing: a joining node asks for its floor with it.
    pub fn record(&mut self, record: &FloorRecord) -> FloorAnswer {
        if record.version > 0 {
            let version = self.floors.entry(record.node.clone()).or_default();
            *version = record.version.max(*version);
        }
        FloorAnswer {
            version: self.floor(&record.node),
        }
    }

    /// Takes in the version that a member entry or a probe showed.
    pub fn observe(&mut self, member: &Member) {
        if member.domain == self.domain {
            self.record(&FloorRecord {
                node: member.node.clone(),
                version: member.version,
            });
        }
    }

    /// Highest version remembered for `node`; 0 for none.
    pub fn floor(&self, node: &str) -> u64 {
        self.floors.get(node).copied().unwrap_or(0)
    }
}
