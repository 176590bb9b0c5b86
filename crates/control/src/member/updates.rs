//! Merging of the updates that a node receives, and changes of its own entry.

use agatedeck_clock::Instant;
use agatedeck_wire::{Member, MemberStatus};

use super::detector::{FailureDetector, MemberEffect};
use super::table::{MergeOutcome, is_live};

impl FailureDetector {
    /// Merges received updates and refutes those about this node.
    pub fn merge_updates(&mut self, updates: &[Member], now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let mut applied_nodes = Vec::new();
        for update in updates {
            if update.node == self.local_member.node {
                self.refute(update, now, &mut effects);
                continue;
            }
            if self.is_predecessor(update) && update.incarnation >= self.local_member.incarnation {
                // The wall clock of the host that had the address before was ahead.
                self.raise_incarnation_above(update.incarnation);
                self.disseminate_local_member(now, &mut effects);
            }
            if self.table.merge(update, now) == MergeOutcome::Applied {
                applied_nodes.push(update.node.as_str());
            }
        }
        if !applied_nodes.is_empty() {
            self.queue_updates(&applied_nodes);
            effects.push(MemberEffect::ViewChanged);
        }
        effects
    }

    /// Merges the full member list that a peer sent on joining. Unlike [`Self::merge_updates`] it
    /// disseminates none of these entries, since the other nodes know them already; only the entry
    /// of this node is broadcast.
    pub fn merge_member_list(&mut self, members: &[Member], now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        for member in members {
            let is_earlier_process = member.node == self.local_member.node;
            if (is_earlier_process || self.is_predecessor(member))
                && member.incarnation >= self.local_member.incarnation
            {
                // The wall clock of that process was ahead or equal.
                self.raise_incarnation_above(member.incarnation);
            }
            if !is_earlier_process {
                self.table.merge(member, now);
            }
        }
        self.disseminate_local_member(now, &mut effects);
        effects.push(MemberEffect::ViewChanged);
        effects
    }

    /// Announces that this node accepts no new work.
    pub fn drain(&mut self, now: Instant) -> Vec<MemberEffect> {
        self.set_local_status(MemberStatus::Draining, now)
    }

    /// Announces that this node leaves.
    pub fn leave(&mut self, now: Instant) -> Vec<MemberEffect> {
        self.set_local_status(MemberStatus::Left, now)
    }

    /// Announces the state of this node's target: the service that it serves, its software version, the
    /// number of calls that it runs concurrently, and whether it is still warming up. An empty `service` means that
    /// the target accepts no calls.
    pub fn set_target(
        &mut self,
        service: &str,
        version: &str,
        slots: u32,
        warming: bool,
        now: Instant,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.local_member.service == service
            && self.local_member.target_version == version
            && self.local_member.slots == slots
            && self.local_member.warming == warming
        {
            return effects;
        }
        service.clone_into(&mut self.local_member.service);
        version.clone_into(&mut self.local_member.target_version);
        self.local_member.slots = slots;
        self.local_member.warming = warming;
        // Entries of one incarnation may differ only in their status.
        self.raise_incarnation_above(self.local_member.incarnation);
        self.disseminate_local_member(now, &mut effects);
        effects.push(MemberEffect::ViewChanged);
        effects
    }

    fn set_local_status(&mut self, status: MemberStatus, now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.local_member.status < i32::from(status) {
            self.local_member.status = status.into();
            self.disseminate_local_member(now, &mut effects);
            effects.push(MemberEffect::ViewChanged);
        }
        effects
    }

    /// Refutes an update about this node. An update with a higher incarnation comes from an earlier
    /// process of this host whose wall clock was ahead. A node that has left refutes only those,
    /// since it would otherwise stay listed as live.
    fn refute(&mut self, update: &Member, now: Instant, effects: &mut Vec<MemberEffect>) {
        let has_left = self.local_member.status() == MemberStatus::Left;
        let same_incarnation = update.incarnation == self.local_member.incarnation;
        let status_advances = update.status > self.local_member.status;
        let address_differs = update.control_address != self.local_member.control_address;
        if update.incarnation > self.local_member.incarnation
            || same_incarnation && !has_left && (status_advances || address_differs)
        {
            self.raise_incarnation_above(update.incarnation);
            self.disseminate_local_member(now, effects);
        }
    }

    /// Makes the entry of this node supersede those of the incarnations up to `incarnation`.
    fn raise_incarnation_above(&mut self, incarnation: u64) {
        self.local_member.incarnation = incarnation.saturating_add(1);
    }

    /// Whether `update` lists a node of another name as live at the address of this node. Its host is
    /// gone, since this node listens there.
    fn is_predecessor(&self, update: &Member) -> bool {
        update.node != self.local_member.node
            && is_live(update.status())
            && !update.control_address.is_empty()
            && update.control_address == self.local_member.control_address
    }

    fn disseminate_local_member(&mut self, now: Instant, effects: &mut Vec<MemberEffect>) {
        let local_member = self.local_member.clone();
        self.table.merge(&local_member, now);
        self.queue_updates(&[&local_member.node]);
        if local_member.status() == MemberStatus::Left {
            self.report_leave(now, effects);
        } else {
            self.report_updates(&[local_member.node], now, effects);
        }
    }
}
