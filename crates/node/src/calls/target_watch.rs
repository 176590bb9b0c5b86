//! The actor that probes the local target.

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

use super::http_client::CallClient;
use super::slots::{SlotKeeper, TargetProbe};
use crate::context::NodeContext;

/// Time allowed for a probe. A slow answer only leaves the reported load as it was.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 4096;

/// Owns what the last probe of the target found.
#[derive(Actor)]
pub(super) struct TargetWatch {
    pub(super) context: NodeContext,
    pub(super) client: CallClient,
    pub(super) target: SocketAddr,
    pub(super) slots: ActorRef<SlotKeeper>,
    pub(super) refused: bool,
}

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
}

/// Why a probe has no answer.
enum ProbeError {
    /// The target refused the connection.
    Refused,
    /// The target is slow, or its answer is of an unknown form. This says nothing about its calls.
    Unclear,
}

impl TargetWatch {
    /// Paths of the health and the load endpoint; empty where there is none.
    fn paths(&self) -> (String, String) {
        let served = self.context.served();
        let view = SnapshotView::new(&served.snapshot, self.context.local_member.reads_schema);
        let service = view.service(&self.context.local_member.service);
        service.map_or_else(Default::default, |service| {
            let form = service.form;
            (form.health_path.clone(), form.load_path.clone())
        })
    }

    async fn get(&self, path: &str) -> Result<Bytes, ProbeError> {
        let uri = probe_uri(self.target, path).ok_or(ProbeError::Unclear)?;
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri;
        let answered = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    ProbeError::Refused
                } else {
                    ProbeError::Unclear
                }
            })?;
            let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
            let body = body.collect().await.map_err(|_| ProbeError::Unclear)?;
            Ok(body.to_bytes())
        };
        timeout(PROBE_TIMEOUT, answered)
            .await
            .unwrap_or(Err(ProbeError::Unclear))
    }

    async fn probe(&mut self) -> Option<TargetProbe> {
        let (health, load) = self.paths();
        // The load says as much as the health, so a target that reports it is probed once.
        let path = if load.is_empty() { &health } else { &load };
        if path.is_empty() {
            return None;
        }
        match self.get(path).await {
            Err(ProbeError::Refused) => {
                self.refused = true;
                Some(TargetProbe::Refused)
            }
            Err(ProbeError::Unclear) => None,
            Ok(_) if std::mem::take(&mut self.refused) => Some(TargetProbe::Returned),
            Ok(body) => {
                let report: Option<LoadReport> = serde_json::from_slice(&body).ok();
                Some(TargetProbe::Answered(report.map(|report| report.running)))
            }
        }
    }
}

/// Where a path of the target is asked for; `None` if the path is not one.
pub(super) fn probe_uri(target: SocketAddr, path: &str) -> Option<Uri> {
    let authority: Authority = target.to_string().parse().ok()?;
    let path: PathAndQuery = path.parse().ok()?;
    let mut parts = axum::http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(path);
    Uri::from_parts(parts).ok()
}

/// Time to probe the target.
pub(super) struct ProbeTarget;

impl Message<ProbeTarget> for TargetWatch {
    type Reply = ();

    async fn handle(&mut self, ProbeTarget: ProbeTarget, ctx: &mut Context<Self, ()>) {
        if let Some(probe) = self.probe().await {
            // The keeper is gone only when the node is stopping.
            let _ = self.slots.tell(probe).try_send();
        }
        let pause = self.context.settings.calls.probe_interval;
        ctx.actor_ref().tell(ProbeTarget).send_after(pause);
    }
}
