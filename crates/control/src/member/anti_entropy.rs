//! Anti-entropy between the member tables of two nodes: the entries of the failure domains whose digests
//! differ are exchanged.

use std::collections::BTreeMap;

use agatedeck_clock::Instant;
use agatedeck_wire::{Member, Sync, SyncAnswer};

use super::detector::{FailureDetector, MemberEffect, push_if_absent};
use super::table::is_live;
use super::update_batch::EntryState;

impl FailureDetector {
    /// Handles an anti-entropy request. The answer holds the entries of the domains whose digests
    /// differ, and of the entries that the sender included those that are newer here.
    pub fn on_sync(&mut self, sync: &Sync, now: Instant) -> (SyncAnswer, Vec<MemberEffect>) {
        let mut entries = Vec::new();
        if !sync.digests.is_empty() {
            let differing_domains = self.table.differing_domains(&sync.digests);
            let members = self.table.members();
            entries.extend(
                members
                    .filter(|member| differing_domains.contains(&member.domain))
                    .cloned(),
            );
        }
        let effects = self.merge_updates(&sync.entries, now);
        self.push_newer_entries(&sync.entries, &mut entries);
        // An answer without digests ends the exchange.
        let digests = if sync.digests.is_empty() {
            Vec::new()
        } else {
            self.table.domain_digests()
        };
        let answer = SyncAnswer {
            digests,
            entries,
            ..SyncAnswer::default()
        };
        (answer, effects)
    }

    /// Handles the answer to an anti-entropy request and sends the entries that the answering node
    /// lacks. The answer to that second request is merged without a further message, so that two
    /// nodes that cannot agree on an entry send at most two requests per exchange.
    pub fn on_sync_answer(
        &mut self,
        address: &str,
        answer: &SyncAnswer,
        now: Instant,
    ) -> Vec<MemberEffect> {
        if answer.digests.is_empty() {
            return self.merge_updates(&answer.entries, now);
        }
        let remote_entries: BTreeMap<&str, &Member> = answer
            .entries
            .iter()
            .map(|entry| (entry.node.as_str(), entry))
            .collect();
        let differing_domains = self.table.differing_domains(&answer.digests);
        let mut entries: Vec<Member> = Vec::new();
        for member in self
            .table
            .members()
            .filter(|member| differing_domains.contains(&member.domain))
        {
            let peer_lacks = match remote_entries.get(member.node.as_str()) {
                Some(entry) => supersedes(member, entry),
                None => is_live(member.status()),
            };
            if peer_lacks {
                entries.push(member.clone());
            }
        }
        // The peer may list as live an entry that is a tombstone here.
        self.push_newer_entries(&answer.entries, &mut entries);
        let mut effects = self.merge_updates(&answer.entries, now);
        if !entries.is_empty() {
            effects.push(MemberEffect::Sync {
                address: address.to_owned(),
                sync: Sync {
                    digests: Vec::new(),
                    entries,
                },
            });
        }
        effects
    }

    /// Adds to `entries` those that this node knows and that supersede one of `received`.
    fn push_newer_entries(&self, received: &[Member], entries: &mut Vec<Member>) {
        for entry in received {
            let latest_entry = self.table.latest_known(&entry.node);
            push_if_absent(
                entries,
                latest_entry.filter(|latest| supersedes(latest, entry)),
            );
        }
    }
}

/// Whether `candidate` replaces `known` in the order that `charts/member.toml` defines.
fn supersedes(candidate: &Member, known: &Member) -> bool {
    EntryState::from(candidate) > EntryState::from(known)
}
