//! The request of an attempt: the caller's request with the headers that nodes exchange.

use std::time::Duration;

use agatedeck_calls::Fingerprint;
use axum::body::Body;
use axum::http::uri::Authority;
use axum::http::{HeaderMap, HeaderValue, Request, header, request};

use super::headers::{
    ATTEMPT, CALLER_SERVICE, CLASS, DEADLINE_MS, DEPTH, FINGERPRINT, HAS_KEY, PRIORITY, SENT_AT,
    SERVICE, USEFUL_MS, WORKSPACE, header_text, strip_hop_by_hop_headers,
};
use super::http_client::forwarded_uri;
use super::plan::CallPlan;
use super::request_body::RequestBody;
use crate::context::NodeContext;

/// The caller's request, from which the request of each attempt is built.
#[derive(Debug)]
pub(super) struct CallRequest {
    pub(super) parts: request::Parts,
    pub(super) body: RequestBody,
}

/// What the headers of an attempt state.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptMetadata<'a> {
    pub(super) context: &'a NodeContext,
    pub(super) plan: &'a CallPlan,
    pub(super) fingerprint: &'a Fingerprint,
    /// Number of the attempt, from 1.
    pub(super) attempt: u32,
}

impl CallRequest {
    /// BLAKE3 digest of the method, path and query, content length and body, by which a claim tells
    /// whether its key comes again with the same request. The body of a claimed call is buffered.
    pub(super) fn claim_digest(&self) -> [u8; 32] {
        let parts = &self.parts;
        let mut hasher = blake3::Hasher::new();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let length = header_text(&parts.headers, &header::CONTENT_LENGTH).unwrap_or_default();
        for part in [parts.method.as_str(), path, length] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body.buffered_prefix());
        *hasher.finalize().as_bytes()
    }

    /// Builds the request of an attempt at the node at `authority`; `None` if the body was already
    /// consumed.
    pub(super) fn build_attempt(
        &mut self,
        metadata: &AttemptMetadata<'_>,
        authority: Authority,
    ) -> Option<Request<Body>> {
        let mut attempt_request = Request::new(self.body.attempt_body()?);
        let parts = &self.parts;
        *attempt_request.uri_mut() = forwarded_uri(&parts.uri, authority)?;
        *attempt_request.method_mut() = parts.method.clone();
        let mut headers = parts.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        metadata.insert_headers(&mut headers)?;
        *attempt_request.headers_mut() = headers;
        Some(attempt_request)
    }
}

impl AttemptMetadata<'_> {
    /// Inserts the headers; `None` if a value cannot be sent in a header.
    fn insert_headers(&self, headers: &mut HeaderMap) -> Option<()> {
        let (context, plan) = (self.context, self.plan);
        let now = context.clock.now();
        let remaining = plan.deadline.since(now);
        headers.insert(DEADLINE_MS, millis_rounded_up(remaining).into());
        headers.insert(DEPTH, (plan.depth + 1).into());
        headers.insert(ATTEMPT, self.attempt.into());
        headers.insert(PRIORITY, plan.priority.into());
        let sent_at = format!("{}/{}", context.local_member.node, now.as_micros());
        headers.insert(SENT_AT, HeaderValue::from_str(&sent_at).ok()?);
        if let Some(useful_until) = plan.useful_until {
            let useful_ms = millis_rounded_down(useful_until.since(now));
            headers.insert(USEFUL_MS, useful_ms.into());
        }
        headers.insert(SERVICE, HeaderValue::from_str(&plan.service).ok()?);
        let caller_service = context.settings.service_name();
        headers.insert(CALLER_SERVICE, HeaderValue::from_str(caller_service).ok()?);
        headers.insert(WORKSPACE, HeaderValue::from_str(&plan.workspace).ok()?);
        headers.remove(HAS_KEY);
        if plan.has_key {
            headers.insert(HAS_KEY, HeaderValue::from_static("1"));
        }
        if plan.has_workspaces {
            context.protocol.remove_credentials(headers);
        }
        if let Ok(class) = HeaderValue::from_str(&plan.class) {
            headers.insert(CLASS, class);
        }
        let fingerprint = self.fingerprint.to_string();
        headers.insert(FINGERPRINT, HeaderValue::from_str(&fingerprint).ok()?);
        Some(())
    }
}

fn millis_rounded_down(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds, rounded up so that a remaining time above zero is never sent as 0.
fn millis_rounded_up(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
