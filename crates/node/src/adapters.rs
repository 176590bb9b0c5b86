//! The borders of a node towards what is not of this project: where versions come from and what
//! callers and targets speak.
//!
//! The node decides; an implementation only translates. The implementations of the project's own
//! protocols are in this crate, those for a platform of its users in a crate of their own.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::CallOutcome;
use agatedeck_records::ConfigSnapshot;
use agatedeck_store::{PlatformStore, StoreError};
use axum::http::{HeaderMap, StatusCode};
use futures::future::BoxFuture;
use tokio::time::Instant;

use crate::calls::StopReason;

/// A source of whole versions that others write, such as the operators of a platform.
pub trait ConfigFeed: Debug + Send + Sync {
    /// The newest version; `None` if none was written yet.
    fn newest(
        &self,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Option<ConfigSnapshot>, StoreError>>;

    /// Waits for a version to be written after the last one that this feed returned. Returns `None`
    /// once `wait` has passed without one. Ends at `deadline` at the latest.
    fn next(
        &self,
        wait: Duration,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Option<ConfigSnapshot>, StoreError>>;
}

/// What the request of a local caller says of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerMetadata<'a> {
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Tenant that the call is counted for.
    pub workspace: Option<&'a str>,
    /// Hops that the call has behind it.
    pub depth: u32,
    /// Key under which the call runs at most once.
    pub idempotency_key: Option<&'a str>,
    /// Identity of the request, which the target echoes and log lines name.
    pub request_id: Option<&'a str>,
}

/// An answer that a node gives in place of a target.
#[derive(Clone, Copy, Debug)]
pub struct LocalAnswer {
    /// Whether the call may have run.
    pub outcome: CallOutcome,
    /// Why no target answered.
    pub reason: StopReason,
    /// Time after which the caller may try again.
    pub retry_after: Option<Duration>,
}

/// What the target is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetMetadata<'a> {
    /// Time until the deadline of the call.
    pub remaining: Duration,
    /// The target that the request is meant for; empty if it announced no identity.
    pub target_id: &'a str,
    /// Service beside which the call began.
    pub caller_service: &'a str,
}

/// What an answer on the connection to the target says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// It answers the request.
    Answered,
    /// The target says that it did not run the request.
    Declined,
    /// Another target listens at the address and did not run the request.
    WrongTarget,
    /// It is not an answer to this request, or cannot be passed on as one. The request may have run.
    Unusable,
}

/// Load that a target reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait for a slot inside it.
    pub waiting: u32,
    /// Calls that it can run at the same time.
    pub slots: u32,
}

/// How callers and targets state what a call needs. Nodes among each other always use the headers
/// of this project.
pub trait CallProtocol: Debug + Send + Sync {
    /// Reads the request of a local caller.
    fn caller_metadata<'a>(&self, headers: &'a HeaderMap) -> CallerMetadata<'a>;

    /// Status and headers of an answer that the node gives itself.
    fn encode_local_answer(&self, answer: &LocalAnswer) -> (StatusCode, HeaderMap);

    /// Completes the headers of a target's answer for the caller.
    fn rewrite_answer_headers(&self, headers: &mut HeaderMap);

    /// Completes the headers of a request for the target.
    fn rewrite_request_headers(&self, headers: &mut HeaderMap, metadata: &TargetMetadata<'_>);

    /// Reads the head of an answer to the request `request_id`.
    fn classify_answer(
        &self,
        request_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerKind;

    /// Whether an answer of stated neither length nor chunks ends where its connection is closed. A
    /// target that resets the connection of an answer that it breaks off makes the two distinct.
    fn allows_close_delimited_answers(&self) -> bool;

    /// The identity that the target states with an answer to a probe of its health.
    fn target_identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// The load that an answer of the target reports.
    fn target_load(&self, headers: &HeaderMap) -> Option<TargetLoad>;
}

/// The implementations that a node runs with.
#[derive(Clone, Debug)]
pub struct NodeAdapters {
    /// The platform's table and objects.
    pub store: Arc<dyn PlatformStore>,
    /// Where versions come from; `None` where this project's own acceptance writes them.
    pub feed: Option<Arc<dyn ConfigFeed>>,
    /// What callers and targets speak.
    pub protocol: Arc<dyn CallProtocol>,
}
