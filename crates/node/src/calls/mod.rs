//! Calls from local callers to the nodes of targets, and from other nodes to the local target.
//!
//! Each actor owns one part of the state: `CallRouter` the load balancer and the retry budgets,
//! `SlotActor` the slots and the queue of the local target, `BodyActor` the order in which large
//! bodies are received, `ClaimActor` the claims, `CrashActor` the crash reports, `ProbeActor` the
//! probes of the local target, and `LatencyActor` the histograms and the metrics. A call is one
//! task, which runs its `CallMachine` and sends requests to the actors. An actor grants a resource
//! to a call as a lease that is released when dropped, so that a call whose caller disconnects
//! leaks nothing.
//!
//! The mailboxes of the actors are unbounded because a lease must be released without waiting. The
//! number of open calls bounds the number of messages in them.

mod answer_body;
mod attempt;
mod attempt_request;
mod call_drain;
mod call_stream;
mod call_task;
mod claim_actor;
mod crash_actor;
mod drain_body;
mod expect_continue;
mod gateway;
mod headers;
mod health_check;
mod host_watch;
mod http_client;
mod inbound;
mod latency_actor;
mod native_protocol;
mod plan;
mod reason;
mod refusal_trail;
mod request_body;
mod router;
mod slots;
mod system;
mod target_call;
mod target_client;
mod target_probe;
mod target_subset;

pub(crate) use call_drain::CallDrain;
pub(crate) use crash_actor::{
    CrashActor, CrashMonitor, ListCrashReports, ListRefusedRequests, MergeCrashReports,
    RefusedRequestList,
};
pub use headers::parse_rate_limit;
pub(crate) use latency_actor::{LatencyActor, LatencyList, ListLatencies};
pub use native_protocol::NativeProtocol;
pub use reason::StopReason;
pub(crate) use router::{CallRouter, TakeRolloutCounts};
pub(crate) use slots::{DeregisterTarget, ReadRegistration, SlotActor};
pub(crate) use system::CallSystem;
pub use system::CallSystemError;
