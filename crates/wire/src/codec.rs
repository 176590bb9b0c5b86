//! Codec of the control protocol.
//!
//! Postcard encodes integers as varints and omits field names. Requests have their own frame type,
//! because `tarpc` adds a trace context of 27 bytes to each request, which the nodes do not use.
//! For a change of 90 bytes it would make up a quarter of the bytes between regions.

use std::io;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Request, Response, context, trace};
use tokio_serde::{Deserializer, Serializer};

use crate::rpc::{ControlPlaneRequest, ControlPlaneResponse};

/// Maximum remaining time that is accepted from a received request. Adding a longer one to the
/// current time could overflow the instant.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_mins(10);

/// Encodes and decodes the messages of the control protocol, one to a frame.
#[derive(Debug, Default)]
pub struct ControlCodec;

/// Frame that a client sends; borrows the message.
#[derive(Serialize)]
enum OutgoingFrame<'a> {
    Request {
        id: u64,
        /// Time until the deadline, in milliseconds; relative, because clocks differ between hosts.
        remaining_ms: u64,
        message: &'a ControlPlaneRequest,
    },
    Cancel {
        id: u64,
    },
}

/// Frame that a server receives. Its variants and fields must match those of [`OutgoingFrame`].
#[derive(Deserialize)]
enum IncomingFrame {
    Request {
        id: u64,
        remaining_ms: u64,
        message: Box<ControlPlaneRequest>,
    },
    Cancel {
        id: u64,
    },
}

fn encode(value: &impl Serialize) -> io::Result<Bytes> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    Ok(Bytes::from(bytes))
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

fn remaining_ms(deadline: Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(Instant::now());
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}

impl Serializer<ClientMessage<ControlPlaneRequest>> for ControlCodec {
    type Error = io::Error;

    fn serialize(
        self: Pin<&mut Self>,
        item: &ClientMessage<ControlPlaneRequest>,
    ) -> io::Result<Bytes> {
        match item {
            ClientMessage::Request(request) => encode(&OutgoingFrame::Request {
                id: request.id,
                remaining_ms: remaining_ms(request.context.deadline),
                message: &request.message,
            }),
            ClientMessage::Cancel { request_id, .. } => {
                encode(&OutgoingFrame::Cancel { id: *request_id })
            }
            _ => Err(io::Error::from(io::ErrorKind::Unsupported)),
        }
    }
}

impl Deserializer<ClientMessage<ControlPlaneRequest>> for ControlCodec {
    type Error = io::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        src: &BytesMut,
    ) -> io::Result<ClientMessage<ControlPlaneRequest>> {
        Ok(match decode(src)? {
            IncomingFrame::Request {
                id,
                remaining_ms,
                message,
            } => {
                let mut context = context::current();
                let remaining = Duration::from_millis(remaining_ms).min(MAX_REQUEST_TIMEOUT);
                context.deadline = Instant::now() + remaining;
                ClientMessage::Request(Request {
                    context,
                    id,
                    message: *message,
                })
            }
            IncomingFrame::Cancel { id } => ClientMessage::Cancel {
                trace_context: trace::Context::default(),
                request_id: id,
            },
        })
    }
}

impl Serializer<Response<ControlPlaneResponse>> for ControlCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Response<ControlPlaneResponse>) -> io::Result<Bytes> {
        encode(item)
    }
}

impl Deserializer<Response<ControlPlaneResponse>> for ControlCodec {
    type Error = io::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        src: &BytesMut,
    ) -> io::Result<Response<ControlPlaneResponse>> {
        decode(src)
    }
}
