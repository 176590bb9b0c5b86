//! Request bodies. Small ones are buffered so that they can be replayed.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;

use super::drain_body::{BodyRecovery, make_recoverable};

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

impl RequestBody {
    /// Reads a body until it ends or exceeds `max_buffered_bytes`.
    pub(super) async fn read(
        mut body: Body,
        max_buffered_bytes: usize,
    ) -> Result<Self, axum::Error> {
        let mut prefix = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            prefix.extend_from_slice(&data);
            if prefix.len() > max_buffered_bytes {
                return Ok(Self::Streaming(
                    prefix.freeze(),
                    UnreadBody::Available(body),
                ));
            }
        }
        Ok(Self::Buffered(prefix.freeze()))
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
