//! Both sides of all quotas at one node: the buckets that it owns, the leases that it holds, and what it
//! knows of the other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::Member;

use super::contacts::PeerContacts;
use super::fleet::QuotaFleet;
use super::holder::{QuotaHolder, QuotaToken, TokenAnswer};
use super::limit::QuotaLimit;
use super::owner::{OwnerRole, QuotaOwner, TokenDemand, TokenGrant};

/// Time after the node began to serve until it grants tokens. Until then it may not know the other
/// members, and all nodes that start at once would each take itself for the owner.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time without any event above which the process counts as having been paused. Other nodes take over the
/// workspaces of a silent owner after this time.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after which tokens may be expected from an owner that does not know the workspace yet.
const UNKNOWN_RETRY_TIME: Duration = Duration::from_millis(200);

/// Maximum number of nodes that are checked at each refresh because they did not answer.
const MAX_CHECKS: usize = 4;

/// Request to the owner of some workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerRequest {
    /// Node that is asked.
    pub node: String,
    /// Workspaces and the demands for them; empty if the request only checks whether the node answers.
    pub demands: Vec<(String, TokenDemand)>,
}

/// Changes of the workspaces that a node owns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerChanges {
    /// Workspaces that the node began to own.
    pub gained: u64,
    /// Workspaces that it ceased to own.
    pub lost: u64,
}

/// Quotas at one node.
#[derive(Debug)]
pub struct QuotaTable {
    own_node: String,
    fleet: QuotaFleet,
    contacts: PeerContacts,
    limits: BTreeMap<String, QuotaLimit>,
    owners: BTreeMap<String, QuotaOwner>,
    holders: BTreeMap<String, QuotaHolder>,
    /// From when on the node grants tokens; `None` until it serves.
    grants_from: Option<Instant>,
    last_active_at: Instant,
    /// Nodes to check, and those that are being checked.
    due_checks: BTreeSet<String>,
    open_checks: BTreeSet<String>,
    /// Tokens granted since they were last counted.
    granted: u64,
}

impl QuotaTable {
    /// Creates the table of a node that does not serve yet.
    pub fn new(own_node: &str, own_domain: &str, now: Instant) -> Self {
        Self {
            own_node: own_node.to_owned(),
            fleet: QuotaFleet::new(own_node, own_domain),
            contacts: PeerContacts::default(),
            limits: BTreeMap::new(),
            owners: BTreeMap::new(),
            holders: BTreeMap::new(),
            grants_from: None,
            last_active_at: now,
            due_checks: BTreeSet::new(),
            open_checks: BTreeSet::new(),
            granted: 0,
        }
    }

    /// Records that the node serves calls.
    pub fn start_serving(&mut self, now: Instant) {
        let grants_from = now.after(SETTLING_TIME);
        self.grants_from.get_or_insert(grants_from);
    }

    /// Records the time of an event. Returns the time for which the process was paused if the buckets were
    /// emptied for that: other nodes may have granted tokens meanwhile.
    pub fn observe_time(&mut self, now: Instant) -> Option<Duration> {
        let pause = now.since(self.last_active_at);
        self.last_active_at = self.last_active_at.max(now);
        if pause <= PAUSE_THRESHOLD || self.owners.is_empty() {
            return None;
        }
        for owner in self.owners.values_mut() {
            owner.empty(now);
        }
        Some(pause)
    }

    /// Replaces the members.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Instant) {
        self.fleet.set_members(members, now);
        self.fleet
            .rank_owners(self.limits.keys().map(String::as_str));
        let fleet = &self.fleet;
        self.contacts
            .retain_members(|node| fleet.domain_of(node).is_some());
    }

    /// Replaces the limits of the workspaces that have one.
    pub fn set_limits(&mut self, limits: BTreeMap<String, QuotaLimit>, now: Instant) {
        self.limits = limits;
        self.fleet
            .rank_owners(self.limits.keys().map(String::as_str));
        let limits = &self.limits;
        self.owners
            .retain(|workspace, _| limits.contains_key(workspace));
        for (workspace, owner) in &mut self.owners {
            if let Some(limit) = limits.get(workspace) {
                owner.set_limit(*limit, now);
            }
        }
    }

    /// Whether the workspace has a limit.
    pub fn is_limited(&self, workspace: &str) -> bool {
        self.limits.contains_key(workspace)
    }

    /// Counts a call of `workspace` and takes a token for it if there is one.
    pub fn take(&mut self, workspace: &str, now: Instant) -> TokenAnswer {
        if !self.holders.contains_key(workspace) {
            let holder = QuotaHolder::new(now);
            self.holders.insert(workspace.to_owned(), holder);
        }
        let holder = self.holders.get_mut(workspace);
        holder.map_or(TokenAnswer::Wait, |holder| holder.take(now))
    }

    /// Takes a token for a call that waits.
    pub fn take_for_waiting(&mut self, workspace: &str, now: Instant) -> TokenAnswer {
        let holder = self.holders.get_mut(workspace);
        holder.map_or(TokenAnswer::Wait, |holder| {
            holder.take_for_counted_call(now)
        })
    }

    /// Takes one of the tokens that the node has for itself, for a call for which no owner answered.
    pub fn take_alone(&mut self, workspace: &str, now: Instant) -> Option<QuotaToken> {
        if self.is_settling(now) {
            return None;
        }
        let members = u32::try_from(self.fleet.live_members()).unwrap_or(u32::MAX);
        let limit = self.limits.get(workspace)?;
        let holder = self.holders.get_mut(workspace)?;
        holder.take_alone(limit, members, now)
    }

    /// Whether the last request for tokens of `workspace` was not answered.
    pub fn is_alone(&self, workspace: &str) -> bool {
        let holder = self.holders.get(workspace);
        holder.is_some_and(QuotaHolder::is_alone)
    }

    /// Returns the token of a call that did not run.
    pub fn give_back(&mut self, workspace: &str, token: QuotaToken, now: Instant) {
        if let Some(holder) = self.holders.get_mut(workspace) {
            holder.give_back(token, now);
        }
    }

    /// Whether the owner of `workspace` should be asked now; `waiting` calls wait for a token.
    pub fn needs_request(&mut self, workspace: &str, waiting: u32, now: Instant) -> bool {
        let holder = self.holders.get_mut(workspace);
        holder.is_some_and(|holder| holder.needs_request(waiting, now))
    }

    /// Starts the requests that are due, one for each owner, and answers those to this node itself.
    /// Returns the requests to send and the workspaces that were answered without one.
    pub fn start_requests(
        &mut self,
        waiting: impl Fn(&str) -> u32,
        now: Instant,
    ) -> (Vec<OwnerRequest>, Vec<String>) {
        let mut due = Vec::new();
        for (workspace, holder) in &mut self.holders {
            let waiting = waiting(workspace);
            if holder.needs_request(waiting, now) {
                due.push((workspace.clone(), holder.start_request(waiting, now)));
            }
        }
        let mut requests: BTreeMap<String, OwnerRequest> = BTreeMap::new();
        let mut answered = Vec::new();
        let own_node = self.own_node.clone();
        for (workspace, demand) in due {
            let owner = self.fleet.owner_to_ask(&workspace, &self.contacts, now);
            let node = owner.map(|owner| owner.node.clone());
            if let Some(node) = node.as_ref().filter(|node| **node != own_node) {
                let request = requests.entry(node.clone()).or_default();
                request.node.clone_from(node);
                request.demands.push((workspace, demand));
                continue;
            }
            let grant = node.map(|_| self.grant(&own_node, &workspace, demand, now));
            self.record_grant(&workspace, grant, now, now);
            answered.push(workspace);
        }
        self.add_early_renewals(&mut requests, now);
        (requests.into_values().collect(), answered)
    }

    /// Adds the demands that will be due soon to the requests that are sent now.
    fn add_early_renewals(&mut self, requests: &mut BTreeMap<String, OwnerRequest>, now: Instant) {
        if requests.is_empty() {
            return;
        }
        for (workspace, holder) in &mut self.holders {
            if !holder.wants_early_renewal(now) {
                continue;
            }
            let owner = self.fleet.owner_to_ask(workspace, &self.contacts, now);
            let request = owner.and_then(|owner| requests.get_mut(&owner.node));
            if let Some(request) = request {
                let demand = holder.start_request(0, now);
                request.demands.push((workspace.clone(), demand));
            }
        }
    }

    /// Records the end of a request that was sent at `sent_at`: the grants in the order of the demands, or
    /// `None` if there was no answer.
    pub fn record_end(
        &mut self,
        request: &OwnerRequest,
        grants: Option<&[TokenGrant]>,
        sent_at: Instant,
        now: Instant,
    ) {
        self.open_checks.remove(&request.node);
        if let Some(domain) = self.fleet.domain_of(&request.node) {
            match grants {
                Some(_) => self.contacts.record_sign(&request.node, domain),
                None => self.contacts.record_failure(&request.node, domain, now),
            }
        }
        for (index, (workspace, _)) in request.demands.iter().enumerate() {
            let grant = grants.and_then(|grants| grants.get(index));
            self.record_grant(workspace, grant.copied(), sent_at, now);
        }
    }

    fn record_grant(
        &mut self,
        workspace: &str,
        grant: Option<TokenGrant>,
        sent_at: Instant,
        now: Instant,
    ) {
        if let Some(holder) = self.holders.get_mut(workspace) {
            match grant {
                Some(grant) => holder.record_grant(grant, sent_at, now),
                None => holder.record_silence(now),
            }
        }
    }

    /// Records a request of another node.
    pub fn record_sign(&mut self, node: &str) {
        if let Some(domain) = self.fleet.domain_of(node) {
            self.contacts.record_sign(node, domain);
        }
    }

    /// Grants tokens of a workspace to a holder, which may be this node.
    pub fn grant(
        &mut self,
        holder: &str,
        workspace: &str,
        demand: TokenDemand,
        now: Instant,
    ) -> TokenGrant {
        let role = self.role(workspace, now);
        let Some(limit) = self.limits.get(workspace) else {
            return TokenGrant {
                retry_after: UNKNOWN_RETRY_TIME,
                ..TokenGrant::default()
            };
        };
        let owner = self.owners.entry(workspace.to_owned());
        let owner = owner.or_insert_with(|| QuotaOwner::new(*limit, role, now));
        owner.set_role(role, now);
        let grant = owner.grant(holder, demand, now);
        self.granted += u64::from(grant.tokens);
        // A holder that asks another node than the first by rank has seen its silence, which this node must
        // know too.
        let first = self.fleet.ranked(workspace).next();
        if let Some(first) = first.filter(|first| first.node != self.own_node) {
            self.due_checks.insert(first.node.clone());
        }
        grant
    }

    /// Updates the roles of this node, creates the buckets of the workspaces that it owns, so that they fill
    /// before the first call, and removes what is no longer used. Called at an interval.
    pub fn refresh(&mut self, now: Instant) -> OwnerChanges {
        let mut changes = OwnerChanges::default();
        let roles: Vec<_> = self
            .limits
            .iter()
            .map(|(workspace, limit)| (workspace.clone(), *limit, self.role(workspace, now)))
            .collect();
        for (workspace, limit, role) in roles {
            let is_owning = matches!(role, OwnerRole::Owning { .. });
            let Some(owner) = self.owners.get_mut(&workspace) else {
                if is_owning {
                    let owner = QuotaOwner::new(limit, role, now);
                    self.owners.insert(workspace, owner);
                    changes.gained += 1;
                }
                continue;
            };
            let was_owning = matches!(owner.role(), OwnerRole::Owning { .. });
            changes.gained += u64::from(is_owning && !was_owning);
            changes.lost += u64::from(was_owning && !is_owning);
            owner.set_role(role, now);
            if !is_owning && owner.is_idle(now) {
                self.owners.remove(&workspace);
            }
        }
        let limits = &self.limits;
        self.holders
            .retain(|workspace, holder| limits.contains_key(workspace) && !holder.is_unused(now));
        let unanswering = self.contacts.unanswering().take(MAX_CHECKS);
        self.due_checks.extend(unanswering.map(str::to_owned));
        changes
    }

    /// Requests that check whether nodes answer; each is ended by [`Self::record_end`].
    pub fn start_checks(&mut self) -> Vec<OwnerRequest> {
        let due = std::mem::take(&mut self.due_checks).into_iter();
        let due = due.filter(|node| self.open_checks.insert(node.clone()));
        due.map(|node| OwnerRequest {
            node,
            demands: Vec::new(),
        })
        .collect()
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.grants_from.is_none_or(|from| !from.is_past(now))
    }

    /// Role of this node for `workspace`.
    fn role(&self, workspace: &str, now: Instant) -> OwnerRole {
        if self.is_settling(now) {
            OwnerRole::Settling
        } else if self.fleet.owns(workspace, &self.contacts, now) {
            let share = self.reachable_share(now);
            OwnerRole::Owning { share }
        } else {
            OwnerRole::Substitute
        }
    }

    /// Whether this node grants the whole limit of `workspace`.
    pub fn owns(&self, workspace: &str, now: Instant) -> bool {
        matches!(self.role(workspace, now), OwnerRole::Owning { .. })
    }

    /// Share of the members that this node reaches.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        self.fleet.reachable_share(&self.contacts, now)
    }

    /// Returns the number of tokens granted since the last call.
    pub fn take_granted(&mut self) -> u64 {
        std::mem::take(&mut self.granted)
    }

    /// Number of workspaces for which this node has a bucket.
    pub fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Number of leases that this node has granted and that have not expired.
    pub fn lease_count(&self) -> usize {
        self.owners.values().map(QuotaOwner::lease_count).sum()
    }
}
