//! The admin API as a trait, and its errors.

use std::fmt::Debug;
use std::net::SocketAddr;

use agatedeck_wire::Change;
use derive_more::{Display, Error};
use futures::future::BoxFuture;

use crate::responses::{
    ChangeResponse, HistoryResponse, LookupResponse, RecordsResponse, StatusResponse,
};

/// Failure of a request to one node.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{node}: {reason}")]
pub struct NodeError {
    /// Admin address of the node.
    pub node: SocketAddr,
    /// Cause of the failure.
    pub reason: String,
}

/// Error of a request to the admin API.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ClientError {
    /// No node gave a usable response. A change was not sent to any of them.
    #[display("no node gave a usable response: {}", join_errors(_0))]
    #[error(ignore)]
    Unreachable(Vec<NodeError>),
    /// The change was sent, but no usable response arrived; it may have been accepted.
    #[display("no usable response from {_0}")]
    #[error(ignore)]
    NoResponse(NodeError),
}

fn join_errors(errors: &[NodeError]) -> String {
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    messages.join("; ")
}

/// Filter of records; the default selects all of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordFilter<'a> {
    /// Only records of this kind.
    pub kind: Option<&'a str>,
    /// Only records of this name.
    pub name: Option<&'a str>,
}

/// Client of the admin API. A read is retried on the next node if one gives no usable response.
pub trait AdminClient: Debug + Send + Sync {
    /// Admin addresses of the nodes, in the order in which they are tried.
    fn nodes(&self) -> &[SocketAddr];

    /// Sends a change once. The next node is tried only if no byte of the request can have reached
    /// the previous one.
    fn submit<'a>(
        &'a self,
        change: &'a Change,
    ) -> BoxFuture<'a, Result<ChangeResponse, ClientError>>;

    /// Looks up whether a change was accepted.
    fn look_up<'a>(
        &'a self,
        change_id: &'a str,
    ) -> BoxFuture<'a, Result<LookupResponse, ClientError>>;

    /// Returns the records that a node holds.
    fn records<'a>(
        &'a self,
        filter: RecordFilter<'a>,
    ) -> BoxFuture<'a, Result<RecordsResponse, ClientError>>;

    /// Returns up to `limit` accepted changes below version `before`, newest first.
    fn history(
        &self,
        before: Option<u64>,
        limit: u64,
    ) -> BoxFuture<'_, Result<HistoryResponse, ClientError>>;

    /// Returns the versions of all nodes, latencies and refused requests.
    fn status(&self) -> BoxFuture<'_, Result<StatusResponse, ClientError>>;
}
