//! The actor that sends health probes to the local target.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_records::SnapshotView;
use axum::body::Body;
use axum::http::uri::{Authority, PathAndQuery, Scheme};
use axum::http::{Request, Uri};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use serde::Deserialize;
use tokio::time::timeout;

use super::slots::{ProbeResult, SlotActor};
use super::target_client::TargetClient;
use crate::context::NodeContext;

/// Timeout of a probe. A probe that times out leaves the reported load unchanged.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the body of an answer to a probe.
const MAX_PROBE_ANSWER_BYTES: usize = 4096;

/// Owns the state of the probes: whether the last one was refused.
#[derive(Actor)]
pub(super) struct ProbeActor {
    pub(super) context: NodeContext,
    pub(super) client: TargetClient,
    pub(super) target: SocketAddr,
    pub(super) slots: ActorRef<SlotActor>,
    pub(super) was_refused: bool,
}

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
}

/// Why a probe got no usable answer.
enum ProbeError {
    /// The target refused the connection.
    Refused,
    /// The target is slow or its answer is malformed, which says nothing about its calls.
    Inconclusive,
}

impl ProbeActor {
    /// Returns the paths of the health and load endpoints. The path of a missing endpoint is empty.
    fn probe_paths(&self) -> (String, String) {
        let served = self.context.served();
        let view = SnapshotView::new(&served.snapshot, self.context.local_member.reads_schema);
        let service = view.service(&self.context.local_member.service);
        service.map_or_else(Default::default, |service| {
            let form = service.form;
            (form.health_path.clone(), form.load_path.clone())
        })
    }

    async fn fetch(&self, path: &str) -> Result<Bytes, ProbeError> {
        let uri = probe_uri(self.target, path).ok_or(ProbeError::Inconclusive)?;
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri;
        let answer = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    ProbeError::Refused
                } else {
                    ProbeError::Inconclusive
                }
            })?;
            let body = Limited::new(answer.into_body(), MAX_PROBE_ANSWER_BYTES);
            let body = body.collect().await.map_err(|_| ProbeError::Inconclusive)?;
            Ok(body.to_bytes())
        };
        timeout(PROBE_TIMEOUT, answer)
            .await
            .unwrap_or(Err(ProbeError::Inconclusive))
    }

    async fn probe(&mut self) -> Option<ProbeResult> {
        let (health_path, load_path) = self.probe_paths();
        // An answer of the load endpoint also shows health, so one probe is enough.
        let path = if load_path.is_empty() {
            &health_path
        } else {
            &load_path
        };
        if path.is_empty() {
            return None;
        }
        match self.fetch(path).await {
            Err(ProbeError::Refused) => {
                self.was_refused = true;
                Some(ProbeResult::Refused)
            }
            Err(ProbeError::Inconclusive) => None,
            Ok(_) if std::mem::take(&mut self.was_refused) => Some(ProbeResult::Recovered),
            Ok(body) => {
                let report: Option<LoadReport> = serde_json::from_slice(&body).ok();
                Some(ProbeResult::Answered(report.map(|report| report.running)))
            }
        }
    }
}

/// Builds the URI of `path` at the target. Returns `None` if `path` is malformed.
pub(super) fn probe_uri(target: SocketAddr, path: &str) -> Option<Uri> {
    let authority: Authority = target.to_string().parse().ok()?;
    let path: PathAndQuery = path.parse().ok()?;
    let mut parts = axum::http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).ok()
}

/// Probes the target and schedules the next probe.
pub(super) struct ProbeTarget;

impl Message<ProbeTarget> for ProbeActor {
    type Reply = ();

    async fn handle(&mut self, ProbeTarget: ProbeTarget, ctx: &mut Context<Self, ()>) {
        if let Some(result) = self.probe().await {
            // The actor is stopped only when the node is stopping.
            let _ = self.slots.tell(result).try_send();
        }
        let interval = self.context.settings.calls.probe_interval;
        ctx.actor_ref().tell(ProbeTarget).send_after(interval);
    }
}
