//! Request bodies. Small ones are buffered so that they can be replayed.

use axum::body::{Body, HttpBody};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use super::drain_body::{BodyRecovery, make_recoverable};
use crate::connections::ClientConnection;
use crate::memory::{MemoryAccount, MemoryReservation, MemoryShort, grown_capacity};

/// The body of a request.
#[derive(Debug)]
pub(super) enum RequestBody {
    /// The complete body, which can be replayed.
    Buffered(Bytes),
    /// The start of a body that is too large to buffer, and the remainder as it arrives.
    Streaming(Bytes, UnreadBody),
}

/// The remainder of a body that is too large to buffer.
#[derive(Debug)]
pub(super) enum UnreadBody {
    Available(Body),
    /// Given to an attempt, which returns what it does not send.
    InUse(BodyRecovery),
    /// Given to an attempt, and no longer recoverable.
    Lost,
}

/// Why a body was not read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The body broke off.
    Incomplete,
    /// The memory for it was not free in time. Contains what was not read.
    MemoryShort(Body),
    /// The connection is closed because its client made no progress.
    Stalled,
}

/// Where a body comes from, and the account of the bytes that are read ahead.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodySource<'a> {
    /// `None` if the connection has no limits.
    pub(super) connection: Option<&'a ClientConnection>,
    pub(super) account: &'a MemoryAccount,
}

impl BodySource<'_> {
    /// Reads the next bytes; `None` at the end of the body.
    pub(super) async fn next_data(&self, body: &mut Body) -> Result<Option<Bytes>, ReadError> {
        while let Some(frame) = self.next_frame(body).await? {
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    async fn next_frame(&self, body: &mut Body) -> Result<Option<Frame<Bytes>>, ReadError> {
        let Some(connection) = self.connection else {
            return body.frame().await.transpose().map_err(incomplete);
        };
        let _reading = connection.begin_reading();
        tokio::select! {
            frame = body.frame() => frame.transpose().map_err(incomplete),
            () = connection.wait_for_close() => Err(ReadError::Stalled),
        }
    }

    /// Begins to read ahead a body of which at most `max_bytes` are kept. The whole of a body that states
    /// its length is reserved at once, so that bodies do not block each other when they have been read in
    /// part.
    pub(super) async fn begin(&self, size: SizeHint, max_bytes: usize) -> Option<BodyBuffer> {
        let length = size.exact();
        let length = length.and_then(|length| usize::try_from(length).ok());
        let mut buffer = BodyBuffer {
            bytes: Vec::new(),
            max_bytes,
            reservation: self.account.reservation(),
        };
        let reserved = buffer
            .reserve(self, length.unwrap_or(0).min(max_bytes))
            .await;
        reserved.is_ok().then_some(buffer)
    }
}

fn incomplete(_: axum::Error) -> ReadError {
    ReadError::Incomplete
}

/// Bytes of a body that were read ahead, with their reservation.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    bytes: Vec<u8>,
    /// Number of bytes that are read ahead.
    max_bytes: usize,
    reservation: MemoryReservation,
}

impl BodyBuffer {
    /// Makes room for `capacity` bytes; waits while the memory is not free.
    async fn reserve(
        &mut self,
        source: &BodySource<'_>,
        capacity: usize,
    ) -> Result<(), MemoryShort> {
        if capacity <= self.bytes.capacity() {
            return Ok(());
        }
        self.reservation.grow_to(capacity).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        if let Some(connection) = source.connection {
            // The wait for memory is not the client's.
            connection.record_progress();
        }
        Ok(())
    }

    /// Appends bytes.
    pub(super) async fn append(
        &mut self,
        source: &BodySource<'_>,
        data: &[u8],
    ) -> Result<(), MemoryShort> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = grown_capacity(self.bytes.capacity(), length, self.max_bytes);
            self.reserve(source, capacity).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The bytes, which keep their reservation.
    pub(super) fn into_bytes(self) -> Bytes {
        self.reservation.into_bytes(self.bytes)
    }
}

impl RequestBody {
    /// Reads a body until it ends or exceeds `max_buffered_bytes`.
    pub(super) async fn read(
        mut body: Body,
        max_buffered_bytes: usize,
        source: &BodySource<'_>,
    ) -> Result<Self, ReadError> {
        let Some(mut prefix) = source.begin(body.size_hint(), max_buffered_bytes).await else {
            return Err(ReadError::MemoryShort(body));
        };
        while let Some(data) = source.next_data(&mut body).await? {
            if prefix.append(source, &data).await.is_err() {
                return Err(ReadError::MemoryShort(body));
            }
            if prefix.len() > max_buffered_bytes {
                return Ok(Self::Streaming(
                    prefix.into_bytes(),
                    UnreadBody::Available(body),
                ));
            }
        }
        Ok(Self::Buffered(prefix.into_bytes()))
    }

    /// Whether the complete body is buffered.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// The part of the body that is buffered. How far it reaches into a large body depends on how the
    /// body was read.
    pub(super) fn buffered_prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(whole) => whole,
            Self::Streaming(prefix, _) => prefix,
        }
    }

    /// The first `limit_bytes` bytes of the body, or all of a smaller one.
    pub(super) fn first_bytes(&self, limit_bytes: usize) -> &[u8] {
        let prefix = self.buffered_prefix();
        &prefix[..prefix.len().min(limit_bytes)]
    }

    /// Returns the body for an attempt; `None` if it was already streamed.
    pub(super) fn attempt_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(whole) => Some(Body::from(whole.clone())),
            Self::Streaming(prefix, unread) => {
                let UnreadBody::Available(body) = std::mem::replace(unread, UnreadBody::Lost)
                else {
                    return None;
                };
                let (body, recovery) = make_recoverable(body);
                *unread = UnreadBody::InUse(recovery);
                let prefix = stream::iter([Ok(std::mem::take(prefix))]);
                Some(Body::from_stream(prefix.chain(body.into_data_stream())))
            }
        }
    }

    /// Returns the part that the caller has not sent yet, which must be read before a refusal ends.
    pub(super) async fn into_unread(self) -> Option<Body> {
        match self {
            Self::Streaming(_, UnreadBody::Available(body)) => Some(body),
            Self::Streaming(_, UnreadBody::InUse(recovery)) => recovery.recover().await,
            Self::Streaming(_, UnreadBody::Lost) | Self::Buffered(_) => None,
        }
    }
}
