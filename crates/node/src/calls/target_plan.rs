//! The targets of a service that this node calls, worked out from members and configuration.
//!
//! Choosing them takes one hash for each pair of caller and target, milliseconds in a large mesh, so
//! it is done apart from the actor that picks targets.

use std::sync::Arc;

use agatedeck_calls::{NodeLocality, SubsetSettings, TargetStatus, TargetView, choose_subset};
use agatedeck_control::MemberTable;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{Member, MemberStatus};

use crate::clock::unix_ms;
use crate::context::NodeContext;

/// Targets of one service, named as in the member table that they were chosen from.
pub(super) struct TargetPlan {
    pub(super) service: String,
    pub(super) warm_up_ms: u32,
    slots: u32,
    table: Arc<MemberTable>,
    chosen: Vec<String>,
    draining: Vec<String>,
}

impl TargetPlan {
    /// Chooses the targets of `service` by the members and the configuration as last published.
    pub(super) fn choose(context: &NodeContext, service: &str) -> Self {
        let (served, table) = (context.served(), context.table());
        let mut plan = Self {
            service: service.to_owned(),
            warm_up_ms: 0,
            slots: 0,
            table: Arc::clone(&table),
            chosen: Vec::new(),
            draining: Vec::new(),
        };
        let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
        let Some(policy) = view.policy_of(service) else {
            return plan;
        };
        (plan.slots, plan.warm_up_ms) = (policy.form.slots, policy.form.warm_up_ms);
        let members = table.members().filter(|member| member.service == service);
        let targets = members.filter_map(|member| plan.view(member));
        let (draining, live): (Vec<_>, Vec<_>) =
            targets.partition(|target| target.status == TargetStatus::Draining);
        let places: Vec<_> = live.iter().map(|target| target.locality).collect();
        let callers = callers(&table, view, service);
        let own = place_of(&context.local_member);
        let subset = choose_subset(&own, &callers, &places, &SubsetSettings::default());
        let name = |target: &TargetView<'_>| target.locality.node.to_owned();
        plan.chosen = subset.into_iter().map(|index| name(&live[index])).collect();
        plan.draining = draining.iter().map(name).collect();
        plan
    }

    /// The targets that take new calls.
    pub(super) fn chosen(&self) -> Vec<TargetView<'_>> {
        self.views(&self.chosen)
    }

    /// The targets that take no new calls and may still have some in flight.
    pub(super) fn draining(&self) -> Vec<TargetView<'_>> {
        self.views(&self.draining)
    }

    fn views(&self, nodes: &[String]) -> Vec<TargetView<'_>> {
        let members = nodes.iter().filter_map(|node| self.table.get(node));
        members.filter_map(|member| self.view(member)).collect()
    }

    fn view<'a>(&self, member: &'a Member) -> Option<TargetView<'a>> {
        let status = match member.status() {
            MemberStatus::Alive => TargetStatus::Alive,
            MemberStatus::Suspect => TargetStatus::Suspect,
            MemberStatus::Draining => TargetStatus::Draining,
            MemberStatus::Left | MemberStatus::Dead => return None,
        };
        // The incarnation starts from the Unix time at which the node started.
        let age_ms = unix_ms().saturating_sub(member.incarnation);
        Some(TargetView {
            locality: place_of(member),
            peer: member.peer_address.parse().ok()?,
            // The incarnation also rises when a suspicion is refuted, so it does not tell a
            // restart. A restarted target is warmed up by the slots that its own node opens step
            // by step.
            generation: 0,
            slots: if member.slots > 0 {
                member.slots
            } else {
                self.slots
            },
            warm: if member.slots > 0 {
                !member.warming
            } else {
                age_ms > u64::from(self.warm_up_ms)
            },
            status,
        })
    }
}

/// Nodes that call `service`: those of the services that depend on it. If there are none, its
/// callers are outside and may call at any node.
fn callers<'a>(
    table: &'a MemberTable,
    view: SnapshotView<'_>,
    service: &str,
) -> Vec<NodeLocality<'a>> {
    let calls = |member: &&Member| {
        let caller = view.service(&member.service);
        caller.is_some_and(|caller| caller.form.depends_on.iter().any(|name| name == service))
    };
    let callers: Vec<_> = table.live().filter(calls).map(place_of).collect();
    if callers.is_empty() {
        table.live().map(place_of).collect()
    } else {
        callers
    }
}

pub(super) fn place_of(member: &Member) -> NodeLocality<'_> {
    NodeLocality {
        node: &member.node,
        domain: &member.domain,
        region: &member.region,
    }
}
