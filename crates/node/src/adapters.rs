//! Adapter interfaces between a node and external systems: the source of configuration versions and
//! the HTTP conventions of callers and targets.
//!
//! The node makes the decisions; an implementation only translates. The implementations for this
//! project's own protocols are in this crate. Those for a particular platform are in a crate of
//! their own.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, RolloutOrder, RolloutStatus};
use agatedeck_records::{ConfigSnapshot, KeyDigest};
use agatedeck_store::{PlatformStore, StoreError};
use axum::http::{HeaderMap, StatusCode};
use futures::future::BoxFuture;
use tokio::time::Instant;

use crate::calls::StopReason;

/// Position in a configuration feed: all changes up to it have been read.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FeedPosition {
    /// Number of times that the source has gone back to an earlier copy of itself. Offsets of different
    /// generations cannot be compared, since the source gives them out again.
    pub generation: u64,
    /// Offset in the changes of this generation.
    pub offset: u64,
}

/// Answer of a configuration feed.
#[derive(Clone, Debug, Default)]
pub struct FeedAnswer {
    /// Position from which to read on.
    pub position: FeedPosition,
    /// The newest version in the answer; `None` if it has none.
    pub newest: Option<ConfigSnapshot>,
    /// Orders to roll out a version of a service, oldest first. Only answers to [`ConfigFeed::next`] have
    /// them.
    pub orders: Vec<RolloutOrder>,
    /// Whether the answer leaves out changes after the position that was asked for.
    pub skips_changes: bool,
    /// Number of configurations in the answer, older versions included.
    pub configurations: u64,
    /// Size of these configurations as sent.
    pub bytes: u64,
    /// Whether it is certain that no version newer than those in the answer, or before its position,
    /// existed when the read began. An answer of limited size may leave out the newest ones.
    pub shows_newest: bool,
    /// Whether the newest version in the answer was rejected as a whole, so that the valid one before it
    /// remains the newest. An answer to [`ConfigFeed::newest`] does not tell which one that is.
    pub is_rejected: bool,
}

/// A source of complete configuration versions that are written outside the mesh, such as by the
/// operators of a platform.
pub trait ConfigFeed: Debug + Send + Sync {
    /// Reads the newest version. The answer is empty if none was written yet.
    ///
    /// # Errors
    ///
    /// Fails if the source cannot be read by `deadline`.
    fn newest(&self, deadline: Instant) -> BoxFuture<'_, Result<FeedAnswer, StoreError>>;

    /// Waits up to `wait` for a version that was written after `after`. The answer is empty if there
    /// was none in that time. If the source no longer has the changes after that position, or is of
    /// another generation, the answer holds its newest version.
    ///
    /// # Errors
    ///
    /// Fails if the source cannot be read by `deadline`.
    fn next(
        &self,
        after: FeedPosition,
        wait: Duration,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<FeedAnswer, StoreError>>;
}

/// Orders to roll out versions of services, and the status of the rollouts. Orders that are written after
/// the node has read them are in the answers of the [`ConfigFeed`].
pub trait RolloutBoard: Debug + Send + Sync {
    /// Reads the last order of each service.
    ///
    /// # Errors
    ///
    /// Fails if the orders cannot be read by `deadline`.
    fn read_orders(
        &self,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Vec<RolloutOrder>, StoreError>>;

    /// Writes the status of the rollout of the version `target` of `service`.
    ///
    /// # Errors
    ///
    /// Fails if the status may not have been written by `deadline`.
    fn write_status<'a>(
        &'a self,
        service: &'a str,
        target: &'a str,
        status: RolloutStatus,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
}

/// Call options that a local caller states in the headers of its request.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerMetadata<'a> {
    /// Time that the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Workspace that the call is counted and limited for.
    pub workspace: Option<&'a str>,
    /// Number of hops before this one.
    pub depth: u32,
    /// Idempotency key; calls with the same key run at most once.
    pub idempotency_key: Option<&'a str>,
    /// Digest of the key of a workspace.
    pub workspace_key: Option<KeyDigest>,
    /// Request ID, which the target echoes and which log lines contain.
    pub request_id: Option<&'a str>,
}

/// An answer that the node generates when no target answered the call.
#[derive(Clone, Copy, Debug)]
pub struct LocalAnswer {
    /// Whether the call may have run.
    pub outcome: CallOutcome,
    /// Why no target answered.
    pub reason: StopReason,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Data that the node sends to the target in the headers of a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetMetadata<'a> {
    /// Time that remains until the deadline of the call.
    pub remaining: Duration,
    /// ID of the target that the request is addressed to; empty if it announced none.
    pub target_id: &'a str,
    /// Service on the host that the call originates from.
    pub caller_service: &'a str,
    /// Workspace of the call; `None` if the configuration has no workspaces or the route is public.
    pub workspace: Option<&'a str>,
}

/// Classification of an answer that arrived on the connection to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The target's answer to the request.
    Answered,
    /// The target did not run the request.
    Declined,
    /// A different target listens at the address; it did not run the request.
    WrongTarget,
    /// Not an answer to this request, or one that cannot be forwarded. The request may have run.
    Unusable,
}

/// Load that a target reports in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Calls that are running.
    pub running: u32,
    /// Calls that wait for a slot in the target's own queue.
    pub waiting: u32,
    /// Calls that the target can run concurrently.
    pub slots: u32,
    /// How long work takes on the target's host at this moment, in percent of the usual time; `None` if the
    /// target does not share its host with other work.
    pub slowdown_percent: Option<u32>,
}

/// The HTTP headers and status codes that callers and targets use. Requests between nodes always
/// use this project's own headers.
pub trait CallProtocol: Debug + Send + Sync {
    /// Reads the call options from a local caller's request.
    fn caller_metadata<'a>(&self, headers: &'a HeaderMap) -> CallerMetadata<'a>;

    /// Returns the status and headers of an answer that the node generates.
    fn encode_local_answer(&self, answer: &LocalAnswer) -> (StatusCode, HeaderMap);

    /// Removes the credentials of the caller from a request that has been assigned to a workspace, so
    /// that no other process receives them.
    fn remove_credentials(&self, headers: &mut HeaderMap);

    /// Rewrites the headers of a target's answer before it is forwarded to the caller.
    fn rewrite_answer_headers(&self, headers: &mut HeaderMap);

    /// Rewrites the headers of a request before it is sent to the target.
    fn rewrite_request_headers(&self, headers: &mut HeaderMap, metadata: &TargetMetadata<'_>);

    /// Classifies an answer to the request `request_id` by its status and headers.
    fn classify_answer(
        &self,
        request_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerKind;

    /// Whether an answer with neither `content-length` nor chunked encoding ends when its
    /// connection is closed. This requires targets that reset the connection when they abort an
    /// answer, so that a truncated answer differs from a complete one.
    fn allows_close_delimited_answers(&self) -> bool;

    /// Reads the target's ID from the headers of its answer to a health probe.
    fn target_identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads the load that the target reports in the headers of an answer.
    fn target_load(&self, headers: &HeaderMap) -> Option<TargetLoad>;

    /// Reads the calls per second that the target accepts from all nodes together; `None` if it states
    /// no limit, or one that is not a finite number of at least 0.
    fn target_rate_limit(&self, headers: &HeaderMap) -> Option<f64>;

    /// Whether the target states in the headers of an answer that it is leaving.
    fn is_target_leaving(&self, headers: &HeaderMap) -> bool;
}

/// The adapters that a node runs with.
#[derive(Clone, Debug)]
pub struct NodeAdapters {
    /// The platform's table store and object store.
    pub store: Arc<dyn PlatformStore>,
    /// Source of configuration versions; `None` if nodes accept and write changes themselves.
    pub feed: Option<Arc<dyn ConfigFeed>>,
    /// Orders and status of rollouts; `None` if the platform has none.
    pub rollout_board: Option<Arc<dyn RolloutBoard>>,
    /// HTTP conventions of callers and targets.
    pub protocol: Arc<dyn CallProtocol>,
}
