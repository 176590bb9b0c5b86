//! One health probe, at node startup, of a target that announces itself.
//!
//! Without it, a node that restarts beside a running target would send it no calls until the next
//! announcement, a second or more later. After the loss of all nodes that is most of the outage.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{TargetReadiness, UNKNOWN_START};
use agatedeck_records::SnapshotView;
use axum::body::Body;
use axum::http::{HeaderMap, Request, StatusCode};
use kameo::actor::ActorRef;
use tokio::time::timeout;

use super::slots::{ConfirmTarget, SlotActor};
use super::target_client::TargetClient;
use super::target_probe::probe_uri;
use crate::context::NodeContext;
use crate::registrar::Announcement;

/// Timeout of the startup probe.
const STARTUP_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes the health of the target once the configuration states the health path, and registers the
/// target if it is healthy.
pub(super) async fn probe_at_startup(
    mut context: NodeContext,
    client: TargetClient,
    slots: ActorRef<SlotActor>,
) {
    let configured = context
        .config
        .wait_for(|served| served.snapshot.version() > 0);
    if configured.await.is_err() {
        return;
    }
    let Some(request) = health_request(&context) else {
        return;
    };
    let Ok(Ok(answer)) = timeout(STARTUP_PROBE_TIMEOUT, client.request(request)).await else {
        log::info!(event = "first-look"; "the target did not answer the startup probe");
        return;
    };
    if answer.status() != StatusCode::OK {
        log::info!(
            event = "first-look";
            "the target answered the startup probe with status {}",
            answer.status()
        );
        return;
    }
    // The actor stops only when the node stops.
    let _ = slots.tell(ConfirmTarget).await;
    if let Some(announcement) = build_announcement(&context, answer.headers()) {
        // `ask` instead of `tell`: an actor stops if the handler of a `tell` message fails.
        if let Err(error) = slots.ask(announcement).await {
            log::info!(event = "first-look"; "result of the startup probe ignored: {error}");
        }
    }
}

fn health_request(context: &NodeContext) -> Option<Request<Body>> {
    let target = context.settings.target.as_ref()?;
    let served = context.served();
    let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
    let path = &view.service(&target.service)?.form.health_path;
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = probe_uri(target.address, path)?;
    Some(request)
}

/// Builds an announcement from the answer. Its start time is unknown and its sequence number is 0,
/// so any announcement of the target itself supersedes it.
fn build_announcement(context: &NodeContext, headers: &HeaderMap) -> Option<Announcement> {
    let target = context.settings.target.as_ref()?;
    let protocol = Arc::clone(&context.protocol);
    Some(Announcement {
        id: protocol.target_identity(headers)?.to_owned(),
        service: target.service.clone(),
        address: target.address.to_string(),
        started_unix_ms: UNKNOWN_START,
        sequence: 0,
        readiness: TargetReadiness::Ready,
        slots: protocol.target_load(headers).map_or(0, |load| load.slots),
        warm_up_left: Duration::ZERO,
    })
}
