//! Calls: from local callers to nodes of targets, and from other nodes to the local target.
//!
//! One actor owns each part of the state: `CallRouter` the target board and the retry budget,
//! `SlotKeeper` the slots and the queue of the local target, `BodyIntake` the order in which it receives
//! large bodies, `ClaimActor` the claims,
//! `CrashActor` the crash reports, `TargetWatch` the probes of the local target and
//! `LatencyActor` the histograms and the metrics. A call is one task, which drives its `CallMachine`
//! and asks the actors. What an actor grants to a call is a lease that is given back when dropped,
//! so that a call whose caller has gone leaves nothing behind.
//!
//! Their mailboxes are unbounded, because a lease is given back without waiting. The messages in
//! them are bounded by the calls that are open.

mod answer_body;
mod ask_first;
mod attempt;
mod call_task;
mod claim_actor;
mod crash_actor;
mod drain_body;
mod first_look;
mod gateway;
mod headers;
mod http_client;
mod latency_actor;
mod native_protocol;
mod plan;
mod reason;
mod request_body;
mod router;
mod slots;
mod system;
mod target_plan;
mod target_side;
mod target_watch;

pub(crate) use crash_actor::{
    CrashActor, ListRefusedRequests, MergeCrashReports, RefusedRequestList,
};
pub(crate) use latency_actor::{LatencyActor, LatencyList, ListLatencies};
pub use native_protocol::NativeProtocol;
pub use reason::StopReason;
pub(crate) use slots::{SlotKeeper, WithdrawTarget};
pub use system::CallSystemError;
pub(crate) use system::{CallDrain, CallSystem};
