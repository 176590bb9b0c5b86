//! Guards against messages that change in encoding and decoding, and against larger frames: traffic
//! between regions is billed.

use std::pin::Pin;
use std::time::{Duration, Instant};

use agatedeck_wire::{ControlCodec, ControlPlaneRequest, ControlPlaneResponse, Offer, OfferAnswer};
use bytes::BytesMut;
use tarpc::{ClientMessage, Request, Response, context, trace};
use tokio_serde::{Deserializer, Serializer};

/// Maximum overhead of a request over the version that it carries, in bytes: 30% of a change of 90
/// bytes, minus the length prefix of the frame and the answer.
const MAX_REQUEST_OVERHEAD_BYTES: usize = 14;

fn round_trip<T>(message: &T) -> (T, usize)
where
    ControlCodec: Serializer<T, Error = std::io::Error> + Deserializer<T, Error = std::io::Error>,
{
    let mut codec = ControlCodec;
    let bytes =
        Serializer::serialize(Pin::new(&mut codec), message).expect("the message is encoded");
    let decoded = Deserializer::deserialize(Pin::new(&mut codec), &BytesMut::from(&bytes[..]));
    (decoded.expect("the frame is decoded"), bytes.len())
}

fn offer() -> Offer {
    Offer {
        version: 70_000,
        delta: vec![7; 90],
        scope: 3,
        position: 0,
    }
}

#[test]
fn request_round_trips_within_the_overhead_limit() {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(200);
    let message = ControlPlaneRequest::Offer { offer: offer() };
    let sent = ClientMessage::Request(Request {
        context,
        id: 300,
        message,
    });
    let (received, size) = round_trip(&sent);
    let ClientMessage::Request(request) = received else {
        panic!("a request was decoded to another message");
    };
    assert_eq!(request.id, 300);
    let ControlPlaneRequest::Offer { offer: received } = request.message else {
        panic!("an offer was decoded to another request");
    };
    assert_eq!(received, offer());
    let remaining = request
        .context
        .deadline
        .saturating_duration_since(Instant::now());
    assert!(remaining <= Duration::from_millis(200) && remaining > Duration::from_millis(100));
    assert!(size <= 90 + MAX_REQUEST_OVERHEAD_BYTES, "{size} bytes");
}

#[test]
fn cancellation_round_trips() {
    let trace_context = trace::Context::default();
    let sent: ClientMessage<ControlPlaneRequest> = ClientMessage::Cancel {
        trace_context,
        request_id: 9,
    };
    let (received, _) = round_trip(&sent);
    assert!(matches!(
        received,
        ClientMessage::Cancel { request_id: 9, .. }
    ));
}

#[test]
fn response_round_trips() {
    let answer = OfferAnswer {
        outcome: 3,
        version: 4,
        reason: "digest".to_owned(),
    };
    let sent = Response {
        request_id: 9,
        message: Ok(ControlPlaneResponse::Offer(answer.clone())),
    };
    let (received, _): (Response<ControlPlaneResponse>, _) = round_trip(&sent);
    let Ok(ControlPlaneResponse::Offer(received)) = received.message else {
        panic!("an offer answer was decoded to another response");
    };
    assert_eq!(received, answer);
}

#[test]
fn malformed_frame_is_an_error() {
    let mut codec = ControlCodec;
    let bytes = BytesMut::from(&[9, 9, 9][..]);
    let decoded: std::io::Result<ClientMessage<ControlPlaneRequest>> =
        Deserializer::deserialize(Pin::new(&mut codec), &bytes);
    assert!(decoded.is_err());
}
