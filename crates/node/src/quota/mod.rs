//! Quotas of workspaces over all nodes: the actor that owns the state of both sides, and the handle for
//! the tasks of calls.
//!
//! `QuotaActor` owns the `QuotaTable` of this node and the calls that wait for a token. It sends requests in
//! tasks of their own, whose end is a message to it.

mod actor;
mod client;
mod limits;
mod messages;
mod requests;

pub(crate) use actor::{QuotaActor, run_quota_ticks};
pub(crate) use client::{QuotaClient, TokenLease};
pub(crate) use limits::quota_limit;
pub(crate) use messages::AnswerQuota;
