//! The control protocol between nodes, as a `tarpc` service over one TCP connection a peer.

use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::codec::ControlCodec;
use crate::generated::{
    FloorAnswer, FloorRecord, IndirectAnswer, IndirectProbe, Join, JoinAnswer, Offer, OfferAnswer,
    Probe, ProbeAnswer, Pull, PullAnswer, Rumor, RumorAnswer, Survey, SurveyAnswer, Sync,
    SyncAnswer,
};

/// Bytes of the length of a frame.
const LENGTH_BYTES: usize = 3;

/// Largest frame, in bytes. A snapshot of 130 services stays far below it.
const MAX_FRAME_BYTES: usize = (1 << (8 * LENGTH_BYTES)) - 1;

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
pub type ControlTransport<S, In, Out> = Transport<S, In, Out, ControlCodec>;

/// Transport of the calling side.
pub type ClientTransport<S> =
    ControlTransport<S, Response<ControlPlaneResponse>, ClientMessage<ControlPlaneRequest>>;

/// Transport of the answering side.
pub type ServerTransport<S> =
    ControlTransport<S, ClientMessage<ControlPlaneRequest>, Response<ControlPlaneResponse>>;

/// Frames `stream` for the calling side.
pub fn client_transport<S: AsyncRead + AsyncWrite>(stream: S) -> ClientTransport<S> {
    serde_transport::new(frame_stream(stream), ControlCodec)
}

/// Frames `stream` for the answering side.
pub fn server_transport<S: AsyncRead + AsyncWrite>(stream: S) -> ServerTransport<S> {
    serde_transport::new(frame_stream(stream), ControlCodec)
}

fn frame_stream<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}
