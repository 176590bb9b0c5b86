//! Selection of the subset of a service's targets that this node calls, from the member table and
//! the configuration.
//!
//! The selection computes one hash per pair of caller and target, which takes milliseconds in a
//! large mesh, so it runs outside the actor that picks targets.

use std::sync::Arc;

use agatedeck_calls::{SubsetSettings, TargetStatus, TargetView, choose_subset};
use agatedeck_control::MemberTable;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{Member, MemberStatus, NodeLocality};

use crate::clock::unix_ms;
use crate::context::NodeContext;

/// Selected targets of one service, by their node names in the member table they were selected
/// from.
pub(super) struct TargetSubset {
    pub(super) service: String,
    pub(super) warm_up_ms: u32,
    default_slots: u32,
    table: Arc<MemberTable>,
    selected: Vec<String>,
    draining: Vec<String>,
}

impl TargetSubset {
    /// Selects targets of `service` by the last published member table and configuration.
    pub(super) fn select(context: &NodeContext, service: &str) -> Self {
        let (served, table) = (context.served(), context.table());
        let mut subset = Self {
            service: service.to_owned(),
            warm_up_ms: 0,
            default_slots: 0,
            table: Arc::clone(&table),
            selected: Vec::new(),
            draining: Vec::new(),
        };
        let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
        let Some(policy) = view.service_policy(service) else {
            return subset;
        };
        (subset.default_slots, subset.warm_up_ms) = (policy.form.slots, policy.form.warm_up_ms);
        let members = table.members().filter(|member| member.service == service);
        let targets = members.filter_map(|member| subset.target_view(member));
        let (draining, live): (Vec<_>, Vec<_>) =
            targets.partition(|target| target.status == TargetStatus::Draining);
        let callers = calling_nodes(&table, view, service);
        let own_locality = NodeLocality::from(&*context.local_member);
        let name = |target: &TargetView<'_>| target.locality.node.to_owned();
        // Each node needs targets of both versions of a rollout.
        let rollouts = context.rollouts();
        let ordered = rollouts.splits.get(service).map(|split| &split.target);
        let is_ordered =
            |target: &TargetView<'_>| ordered.is_some_and(|version| target.version == version);
        let (new, old): (Vec<_>, Vec<_>) = live.into_iter().partition(is_ordered);
        for group in [old, new] {
            let localities: Vec<_> = group.iter().map(|target| target.locality).collect();
            let settings = SubsetSettings::default();
            let selection = choose_subset(&own_locality, &callers, &localities, &settings);
            let names = selection.into_iter().map(|index| name(&group[index]));
            subset.selected.extend(names);
        }
        subset.draining = draining.iter().map(name).collect();
        subset
    }

    /// Returns the targets that accept new calls.
    pub(super) fn selected(&self) -> Vec<TargetView<'_>> {
        self.target_views(&self.selected)
    }

    /// Returns the targets that accept no new calls but may have calls in flight.
    pub(super) fn draining(&self) -> Vec<TargetView<'_>> {
        self.target_views(&self.draining)
    }

    fn target_views(&self, nodes: &[String]) -> Vec<TargetView<'_>> {
        let members = nodes.iter().filter_map(|node| self.table.get(node));
        members
            .filter_map(|member| self.target_view(member))
            .collect()
    }

    fn target_view<'a>(&self, member: &'a Member) -> Option<TargetView<'a>> {
        let status = match member.status() {
            MemberStatus::Alive => TargetStatus::Alive,
            MemberStatus::Suspect => TargetStatus::Suspect,
            MemberStatus::Draining => TargetStatus::Draining,
            MemberStatus::Left | MemberStatus::Dead => return None,
        };
        // The initial incarnation is the Unix time in milliseconds at which the node started.
        let age_ms = unix_ms().saturating_sub(member.incarnation);
        Some(TargetView {
            locality: member.into(),
            peer: member.peer_address.parse().ok()?,
            // The incarnation also increases when a suspicion is refuted, so it does not identify
            // restarts. The node of a restarted target warms it up by opening slots gradually.
            generation: 0,
            version: &member.target_version,
            slots: if member.slots > 0 {
                member.slots
            } else {
                self.default_slots
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

/// Returns the nodes that call `service`: those of the services that depend on it. If no service
/// depends on it, its callers are outside the mesh and may call through any node.
fn calling_nodes<'a>(
    table: &'a MemberTable,
    view: SnapshotView<'_>,
    service: &str,
) -> Vec<NodeLocality<'a>> {
    let depends_on_service = |member: &&Member| {
        let caller = view.service(&member.service);
        caller.is_some_and(|caller| caller.form.depends_on.iter().any(|name| name == service))
    };
    let callers: Vec<_> = table
        .live()
        .filter(depends_on_service)
        .map(NodeLocality::from)
        .collect();
    if callers.is_empty() {
        table.live().map(NodeLocality::from).collect()
    } else {
        callers
    }
}
