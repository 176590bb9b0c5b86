//! The control protocol between nodes, as a `tarpc` service over one TCP connection a peer.

use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::codec::{PostcardCodec, WireMessage};
use crate::generated::{
    FloorAnswer, FloorRecord, IndirectAnswer, IndirectProbe, Join, JoinAnswer, Offer, OfferAnswer,
    Probe, ProbeAnswer, Pull, PullAnswer, Rumor, RumorAnswer, Survey, SurveyAnswer, Sync,
    SyncAnswer,
};

/// Largest frame of the control protocol, in bytes. A snapshot of 130 services stays far below it.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Requests that nodes send each other.
#[tarpc::service]
pub trait ControlPlane {
    /// Offers a version for the receiver and the part of the fleet it covers.
    async fn offer(offer: Offer) -> OfferAnswer;
    /// Asks for what follows the version held.
    async fn pull(pull: Pull) -> PullAnswer;
    /// Checks that the receiver is alive and compares versions and membership.
    async fn probe(probe: Probe) -> ProbeAnswer;
    /// Asks the receiver to probe a third node.
    async fn probe_through(probe: IndirectProbe) -> IndirectAnswer;
    /// Compares member tables.
    async fn sync(sync: Sync) -> SyncAnswer;
    /// Spreads member updates and crash reports.
    async fn rumor(rumor: Rumor) -> RumorAnswer;
    /// Asks the receiver to remember the version of the sender.
    async fn record_floor(record: FloorRecord) -> FloorAnswer;
    /// Announces a node that has just started.
    async fn join(join: Join) -> JoinAnswer;
    /// Asks for the versions in force.
    async fn survey(survey: Survey) -> SurveyAnswer;
}

/// Transport of the control protocol over the byte stream `S`.
pub type ControlTransport<S, In, Out> = Transport<S, In, Out, PostcardCodec<In, Out>>;

/// Frames `stream` for the control protocol.
///
/// A client reads `Response<ControlPlaneResponse>` and writes `ClientMessage<ControlPlaneRequest>`;
/// a server the other way round.
pub fn control_transport<S, In, Out>(stream: S) -> ControlTransport<S, In, Out>
where
    S: AsyncRead + AsyncWrite,
    In: WireMessage + serde::de::DeserializeOwned,
    Out: WireMessage + serde::Serialize,
{
    let framing = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framing, PostcardCodec::default())
}

/// Transport of the calling side.
pub type ClientTransport<S> =
    ControlTransport<S, Response<ControlPlaneResponse>, ClientMessage<ControlPlaneRequest>>;

/// Transport of the answering side.
pub type ServerTransport<S> =
    ControlTransport<S, ClientMessage<ControlPlaneRequest>, Response<ControlPlaneResponse>>;
