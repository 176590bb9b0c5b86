//! Calls: from local callers to nodes of targets, and from other nodes to the local target.
//!
//! One actor owns each part of the state: `CallRouter` the target board and the retry budget,
//! `SlotKeeper` the slots and the queue of the local target, `BodyIntake` the order in which it receives
//! large bodies, `ClaimKeeper` the claims,
//! `CrashKeeper` the crash reports, `TargetWatch` the probes of the local target and
//! `LatencyKeeper` the histograms and the metrics. A call is one task, which drives its `CallMachine`
//! and asks the actors. What an actor grants to a call is a lease that is given back when dropped,
//! so that a call whose caller has gone leaves nothing behind.
//!
//! Their mailboxes are unbounded, because a lease is given back without waiting. The messages in
//! them are bounded by the calls that are open.

mod answer_body;
mod attempt;
mod call_task;
mod claim_keeper;
mod crash_keeper;
mod drain_body;
mod expect_continue;
mod gateway;
mod headers;
mod http_client;
mod inbound;
mod latency_keeper;
mod own_dialect;
mod plan;
mod reason;
mod request_body;
mod router;
mod slots;
mod startup_probe;
mod system;
mod target_probe;
mod target_subset;

pub(crate) use crash_keeper::{CrashKeeper, MergeCrashes, ReadRefused, RefusedList};
pub(crate) use latency_keeper::{LatencyKeeper, LatencyList, ReadLatencies};
pub use own_dialect::OwnDialect;
pub use reason::StopReason;
pub(crate) use slots::{DeregisterTarget, SlotActor};
pub use system::CallSystemError;
pub(crate) use system::{CallDrain, CallSystem};
