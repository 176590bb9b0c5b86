//! The control protocol between nodes, as a `tarpc` service over one TCP connection per peer.

use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::codec::ControlCodec;
use crate::generated::{
    ConfirmationRequest, FloorAnswer, FloorRecord, IndirectAnswer, IndirectProbe, Join, JoinAnswer,
    Offer, OfferAnswer, Probe, ProbeAnswer, Pull, PullAnswer, QuotaAnswer, QuotaRequest,
    ReaderHeartbeat, ReaderHeartbeatAnswer, RolloutReport, RolloutReportAnswer, Rumor, RumorAnswer,
    Survey, SurveyAnswer, Sync, SyncAnswer, VersionConfirmation,
};

/// Size of the length prefix of a frame, in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 3;

/// Maximum frame size, in bytes. A snapshot of 130 services stays far below it.
const MAX_FRAME_BYTES: usize = (1 << (8 * LENGTH_PREFIX_BYTES)) - 1;

/// Requests that nodes send each other.
#[tarpc::service]
pub trait ControlPlane {
    /// Offers a version to the receiver and the nodes in its dissemination scope.
    async fn offer(offer: Offer) -> OfferAnswer;
    /// Requests the versions after the one that the sender holds.
    async fn pull(pull: Pull) -> PullAnswer;
    /// Checks that the receiver is alive and compares versions and membership.
    async fn probe(probe: Probe) -> ProbeAnswer;
    /// Asks the receiver to probe a third node.
    async fn probe_through(probe: IndirectProbe) -> IndirectAnswer;
    /// Exchanges the member entries in which two member tables differ (anti-entropy).
    async fn sync(sync: Sync) -> SyncAnswer;
    /// Disseminates member updates and crash reports.
    async fn rumor(rumor: Rumor) -> RumorAnswer;
    /// Asks the receiver to record the version that the sender is about to activate.
    async fn record_floor(record: FloorRecord) -> FloorAnswer;
    /// Announces a node that has just started.
    async fn join(join: Join) -> JoinAnswer;
    /// Requests reports of the active versions.
    async fn survey(survey: Survey) -> SurveyAnswer;
    /// Disseminates that the store answers a node.
    async fn reader_heartbeat(heartbeat: ReaderHeartbeat) -> ReaderHeartbeatAnswer;
    /// Asks how recently the receiver's version was known to be the newest one.
    async fn confirm_version(request: ConfirmationRequest) -> VersionConfirmation;
    /// Asks the owner of workspaces for tokens of their quotas.
    async fn request_quota(request: QuotaRequest) -> QuotaAnswer;
    /// Reports the results of calls during a rollout to the node that drives it.
    async fn report_rollout(report: RolloutReport) -> RolloutReportAnswer;
}

/// Transport of the control protocol over the byte stream `S`.
pub type ControlTransport<S, In, Out> = Transport<S, In, Out, ControlCodec>;

/// Transport of the client side.
pub type ClientTransport<S> =
    ControlTransport<S, Response<ControlPlaneResponse>, ClientMessage<ControlPlaneRequest>>;

/// Transport of the server side.
pub type ServerTransport<S> =
    ControlTransport<S, ClientMessage<ControlPlaneRequest>, Response<ControlPlaneResponse>>;

/// Creates the client transport over `stream`.
pub fn client_transport<S: AsyncRead + AsyncWrite>(stream: S) -> ClientTransport<S> {
    serde_transport::new(frame_stream(stream), ControlCodec)
}

/// Creates the server transport over `stream`.
pub fn server_transport<S: AsyncRead + AsyncWrite>(stream: S) -> ServerTransport<S> {
    serde_transport::new(frame_stream(stream), ControlCodec)
}

fn frame_stream<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}
