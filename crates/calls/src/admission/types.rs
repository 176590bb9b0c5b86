//! Requests, settings and effects of an [`AdmissionQueue`](super::AdmissionQueue).

use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::{Display, From, Into};

/// Identifier of a call at this node, assigned by the user of the queue.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
pub struct CallId(u64);

/// Number of priorities of routes. The priority of a call is that of its workspace times this number, plus
/// that of its route, so that the workspace goes first.
pub const ROUTE_PRIORITIES: u32 = 256;

/// Priority of a call of a workspace; a workspace that is less urgent than any that can be told apart counts as
/// least urgent.
pub fn call_priority(workspace_priority: u32, route_priority: u32) -> u32 {
    let workspace_part = workspace_priority.saturating_mul(ROUTE_PRIORITIES);
    workspace_part.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1))
}

/// Settings of an [`AdmissionQueue`](super::AdmissionQueue), from the endpoint policy.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub queue: u32,
    /// Maximum share of the slots and of the queue that one workspace may use while others compete
    /// for them, in percent; 0 means no limit, as in records of schema 1.
    pub tenant_share_percent: u32,
    /// Time over which the slots of a new target are opened, in milliseconds.
    pub warm_up_ms: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 10,
            queue: 40,
            tenant_share_percent: 50,
            warm_up_ms: 0,
        }
    }
}

/// Request for a slot for one call.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Identifier of the call; must not be in use by another call of the queue.
    pub call: CallId,
    /// Workspace that the call is counted for.
    pub workspace: &'a str,
    /// Priority of the call; 0 is the most urgent. More urgent calls run first; calls of one
    /// priority are scheduled fairly over workspaces.
    pub priority: u32,
    /// Class whose service time estimate applies to the call.
    pub class: &'a str,
    /// Deadline of the call.
    pub deadline: Instant,
    /// Time until which an answer is of full use to the caller, if stated. A call that cannot be
    /// answered by then waits only briefly, since it would delay calls that can.
    pub useful_until: Option<Instant>,
}

impl AdmissionRequest<'_> {
    /// Time by which the calls of one workspace and priority are ordered, earliest first. A call
    /// that would be late even if it started now is ordered by its deadline, after those that can
    /// be in time.
    pub(super) fn due_at(&self, service_time: Duration, now: Instant) -> Instant {
        let useful_until = self.useful_until.unwrap_or(self.deadline);
        let late = useful_until < now.after(service_time);
        if late { self.deadline } else { useful_until }
    }
}

/// Reason for refusing a call with the outcome `not-run`.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The queue is full.
    #[display("the queue of the target is full")]
    QueueFull,
    /// The workspace uses its share of the queue and others compete for it.
    #[display("the tenant holds its share of the queue")]
    TenantShare,
    /// The call cannot be answered by its deadline.
    #[display("the call cannot be answered by its deadline")]
    Deadline,
    /// The target is draining or closed.
    #[display("the target is draining")]
    Draining,
}

impl RefusalReason {
    /// Whether the target cannot take any call at present, so that callers' nodes should avoid it
    /// for a while. The other reasons concern only the refused call.
    pub const fn is_full(self) -> bool {
        match self {
            Self::QueueFull | Self::Draining => true,
            Self::TenantShare | Self::Deadline => false,
        }
    }
}

/// Effect that the owner of an [`AdmissionQueue`](super::AdmissionQueue) must carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionEffect {
    /// Send the call to the target.
    Run(CallId),
    /// Answer the call with the outcome `not-run`; it has not been sent to the target.
    Refuse(CallId, RefusalReason),
    /// Cancel the call at the target, then release it.
    Stop(CallId),
    /// The target is draining and has no calls left.
    Drained,
}
