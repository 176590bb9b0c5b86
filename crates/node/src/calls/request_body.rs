//! Bodies of requests, kept as far as they are small.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;

use super::drain_body::{BodyReturn, lend};

/// The body of a request.
#[derive(Debug)]
pub(super) enum RequestBody {
    /// The whole body; it can be sent again.
    Buffered(Bytes),
    /// The start of a body that is too large to be kept, and the rest as it arrives.
    Streaming(Bytes, UnreadBody),
}

/// The part of a large body that is not read yet.
#[derive(Debug)]
pub(super) enum UnreadBody {
    Available(Body),
    /// Sent with an attempt.
    InUse(BodyReturn),
    Lost,
}

impl RequestBody {
    /// Reads a body until it ends or `limit` bytes are exceeded.
    pub(super) async fn read(
        mut body: Body,
        max_buffered_bytes: usize,
    ) -> Result<Self, axum::Error> {
        let mut prefix = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
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

    /// Whether the whole body is kept.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// The part that is kept.
    pub(super) fn buffered_prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(whole) => whole,
            Self::Streaming(prefix, _) => prefix,
        }
    }

    /// The body for one attempt; `None` if it was streamed before.
    pub(super) fn attempt_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(whole) => Some(Body::from(whole.clone())),
            Self::Streaming(prefix, unread) => {
                let UnreadBody::Available(body) = std::mem::replace(unread, UnreadBody::Lost)
                else {
                    return None;
                };
                let (lent, back) = lend(body);
                *unread = UnreadBody::InUse(back);
                let prefix = stream::iter([Ok(std::mem::take(prefix))]);
                Some(Body::from_stream(prefix.chain(lent.into_data_stream())))
            }
        }
    }

    /// What the caller has not sent yet, to be read before the call is refused.
    pub(super) async fn into_unread(self) -> Option<Body> {
        match self {
            Self::Streaming(_, UnreadBody::Available(body)) => Some(body),
            Self::Streaming(_, UnreadBody::InUse(back)) => back.rest().await,
            Self::Streaming(_, UnreadBody::Lost) | Self::Buffered(_) => None,
        }
    }
}
