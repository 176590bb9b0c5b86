//! What a command needs of the mesh.

use std::fmt::Debug;
use std::net::SocketAddr;

use agatedeck_wire::Change;
use derive_more::{Display, Error};
use futures::future::BoxFuture;

use crate::responses::{
    ChangeResponse, HistoryResponse, LookupResponse, RecordsResponse, StatusResponse,
};

/// A node that gave no usable answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{node}: {reason}")]
pub struct NodeError {
    /// Admin address of the node.
    pub node: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// Why a request has no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ClientError {
    /// No node answered. A change has not been sent to any of them.
    #[display("no node answered: {}", join_errors(_0))]
    #[error(ignore)]
    Unreachable(Vec<NodeError>),
    /// The request was sent and no answer came. A change may have been accepted.
    #[display("no answer from {_0}")]
    #[error(ignore)]
    NoResponse(NodeError),
}

fn join_errors(errors: &[NodeError]) -> String {
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    messages.join("; ")
}

/// Which records to return; the default is all of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordFilter<'a> {
    /// Only records of this kind.
    pub kind: Option<&'a str>,
    /// Only records of this name.
    pub name: Option<&'a str>,
}

/// The admin API of the mesh. Requests that only read go to the next node if one does not answer.
pub trait AdminClient: Debug + Send + Sync {
    /// Admin addresses of the nodes that are asked, in this order.
    fn nodes(&self) -> &[SocketAddr];

    /// Sends a change once. Another node is tried only if no byte can have reached the one before.
    fn submit<'a>(
        &'a self,
        change: &'a Change,
    ) -> BoxFuture<'a, Result<ChangeResponse, ClientError>>;

    /// Asks what became of a change.
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

    /// Returns the state of the mesh.
    fn status(&self) -> BoxFuture<'_, Result<StatusResponse, ClientError>>;
}
