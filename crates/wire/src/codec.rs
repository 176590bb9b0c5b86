//! Codec of the control protocol.
//!
//! Postcard writes integers as varints and no field names, so that a probe stays well under a
//! hundred bytes. The fixed-width codecs that come with `tarpc` double that.
//!
//! Requests are written without the trace context of `tarpc`. It has a random span in each request
//! and takes 27 bytes, as much as the rest of a short request, and nothing here traces.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tarpc::{ClientMessage, Request, Response, context};

/// Longest time for a request that is taken from a message; longer ones are cut to it, as the sum
/// with the present time might not be a valid instant.
const MAX_REQUEST_TIME: Duration = Duration::from_mins(10);

/// A message of the control protocol in the form in which it is sent.
pub trait WireMessage: Sized {
    /// Writes the message.
    ///
    /// # Errors
    ///
    /// Fails if the message has no form on the wire.
    fn encode(&self) -> io::Result<Vec<u8>>;

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a message.
    fn decode(bytes: &[u8]) -> io::Result<Self>;
}

/// What is sent of a [`ClientMessage`].
#[derive(Deserialize, Serialize)]
enum RequestFrame<T> {
    Request {
        id: u64,
        /// Time that remains, since clocks differ between hosts.
        remaining_ms: u64,
        message: T,
    },
    Cancel {
        id: u64,
    },
}

fn write(value: &impl Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(io::Error::other)
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
    postcard::from_bytes(bytes).map_err(invalid)
}

impl<T: Serialize + DeserializeOwned> WireMessage for Response<T> {
    fn encode(&self) -> io::Result<Vec<u8>> {
        write(self)
    }

    fn decode(bytes: &[u8]) -> io::Result<Self> {
        read(bytes)
    }
}

impl<T: Serialize + DeserializeOwned> WireMessage for ClientMessage<T> {
    fn encode(&self) -> io::Result<Vec<u8>> {
        match self {
            Self::Request(request) => {
                let deadline = request.context.deadline;
                let remaining = deadline.saturating_duration_since(Instant::now());
                write(&RequestFrame::Request {
                    id: request.id,
                    remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
                    message: &request.message,
                })
            }
            Self::Cancel { request_id, .. } => {
                write(&RequestFrame::<T>::Cancel { id: *request_id })
            }
            _ => Err(io::Error::from(io::ErrorKind::Unsupported)),
        }
    }

    fn decode(bytes: &[u8]) -> io::Result<Self> {
        Ok(match read(bytes)? {
            RequestFrame::Request {
                id,
                remaining_ms,
                message,
            } => {
                let remaining = Duration::from_millis(remaining_ms).min(MAX_REQUEST_TIME);
                let mut context = context::current();
                context.deadline = Instant::now() + remaining;
                Self::Request(Request {
                    context,
                    id,
                    message,
                })
            }
            RequestFrame::Cancel { id } => Self::Cancel {
                trace_context: context::current().trace_context,
                request_id: id,
            },
        })
    }
}

/// Encodes `Out` and decodes `In` with postcard, one value to a frame.
#[derive(Debug)]
pub struct PostcardCodec<In, Out> {
    direction: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Default for PostcardCodec<In, Out> {
    fn default() -> Self {
        Self {
            direction: PhantomData,
        }
    }
}

impl<In, Out: WireMessage> tokio_serde::Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        item.encode().map(Bytes::from)
    }
}

impl<In: WireMessage, Out> tokio_serde::Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<In> {
        In::decode(src)
    }
}
