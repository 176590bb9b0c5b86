//! Codec of the control protocol.
//!
//! Postcard writes integers as varints and no field names, so that a probe stays well under a
//! hundred bytes. The fixed-width codecs that come with `tarpc` double that.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

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

impl<In, Out: Serialize> tokio_serde::Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(io::Error::other)
    }
}

impl<In: DeserializeOwned, Out> tokio_serde::Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<In> {
        postcard::from_bytes(src).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
