//! Bodies of requests, kept as far as they are small.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;

use super::drain_body::{BodyRecovery, make_recoverable};

/// The body of a request.
#[derive(Debug)]
pub(super) enum RequestBody {
    /// The whole body; it can be sent again.
    Kept(Bytes),
    /// The start of a body that is too large to be kept, and the rest as it arrives.
    Streamed(Bytes, BodyRest),
}

/// The part of a large body that is not read yet.
#[derive(Debug)]
pub(super) enum BodyRest {
    Here(Body),
    /// Sent with an attempt.
    Lent(BodyRecovery),
    Gone,
}

impl RequestBody {
    /// Reads a body until it ends or `limit` bytes are exceeded.
    pub(super) async fn read(mut body: Body, limit: usize) -> Result<Self, axum::Error> {
        let mut head = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            head.extend_from_slice(&data);
            if head.len() > limit {
                return Ok(Self::Streamed(head.freeze(), BodyRest::Here(body)));
            }
        }
        Ok(Self::Kept(head.freeze()))
    }

    /// Whether the whole body is kept.
    pub(super) fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }

    /// The part that is kept.
    pub(super) fn head(&self) -> &[u8] {
        match self {
            Self::Kept(whole) => whole,
            Self::Streamed(head, _) => head,
        }
    }

    /// The body for one attempt; `None` if it was streamed before.
    pub(super) fn for_attempt(&mut self) -> Option<Body> {
        match self {
            Self::Kept(whole) => Some(Body::from(whole.clone())),
            Self::Streamed(head, rest) => {
                let BodyRest::Here(body) = std::mem::replace(rest, BodyRest::Gone) else {
                    return None;
                };
                let (lent, back) = make_recoverable(body);
                *rest = BodyRest::Lent(back);
                let head = stream::iter([Ok(std::mem::take(head))]);
                Some(Body::from_stream(head.chain(lent.into_data_stream())))
            }
        }
    }

    /// What the caller has not sent yet, to be read before the call is refused.
    pub(super) async fn unread(self) -> Option<Body> {
        match self {
            Self::Streamed(_, BodyRest::Here(body)) => Some(body),
            Self::Streamed(_, BodyRest::Lent(back)) => back.recover().await,
            Self::Streamed(_, BodyRest::Gone) | Self::Kept(_) => None,
        }
    }
}
