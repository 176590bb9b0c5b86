//! The transport of requests to other nodes.

use std::fmt::Debug;
use std::net::SocketAddr;

use agatedeck_control::{DisseminationHop, MemberTable};
use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse, Member};
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use tokio::time::Instant;

/// Control address and locality of a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PeerAddress {
    pub(crate) address: SocketAddr,
    pub(crate) region: String,
    pub(crate) domain: String,
}

impl PeerAddress {
    /// Address of a member; `None` if its entry has no valid one.
    pub(crate) fn from_member(member: &Member) -> Option<Self> {
        let address = member.control_address.parse().ok()?;
        Some(Self {
            address,
            region: member.region.clone(),
            domain: member.domain.clone(),
        })
    }

    /// Address of the node whose control listener is at `address`; `None` if it is not valid. A
    /// node that is not in the table yet is assumed to be in the region and failure domain of
    /// `local_member`.
    pub(crate) fn from_control_address(
        table: &MemberTable,
        local_member: &Member,
        address: &str,
    ) -> Option<Self> {
        let mut members = table.members();
        let known = members.find(|member| member.control_address == address);
        let (region, domain) = known
            .map_or((&local_member.region, &local_member.domain), |member| {
                (&member.region, &member.domain)
            });
        Some(Self {
            address: address.parse().ok()?,
            region: region.clone(),
            domain: domain.clone(),
        })
    }

    /// Address of the receiver of a hop; `None` if it is not valid.
    pub(crate) fn from_hop(hop: &DisseminationHop) -> Option<Self> {
        let address = hop.address.parse().ok()?;
        let (region, domain) = (hop.region.clone(), hop.domain.clone());
        Some(Self {
            address,
            region,
            domain,
        })
    }
}

/// Why a request to a node failed.
#[derive(Clone, Debug, Display, Error)]
pub(crate) enum PeerError {
    /// No connection could be opened, the reconnect backoff has not elapsed, or too many requests
    /// wait for the connection.
    #[display("the node cannot be reached")]
    Unreachable,
    /// No answer came before the deadline.
    #[display("the node did not answer in time")]
    Deadline,
    /// The connection broke before the answer came.
    #[display("the connection was lost")]
    ConnectionLost,
}

/// Sends requests to other nodes.
pub(crate) trait PeerTransport: Debug + Send + Sync {
    /// Sends `request` and waits for the answer until `deadline`.
    fn send<'a>(
        &'a self,
        peer: &'a PeerAddress,
        request: ControlPlaneRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<ControlPlaneResponse, PeerError>>;
}
