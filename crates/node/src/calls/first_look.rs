//! One look at a target that announces itself, when its node starts.
//!
//! A node that starts again beside a running target would give it no calls until the next
//! announcement, a second or more later. After the loss of all nodes that is most of the outage.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::TargetReadiness;
use agatedeck_records::SnapshotView;
use axum::body::Body;
use axum::http::{HeaderMap, Request, StatusCode};
use kameo::actor::ActorRef;
use tokio::time::timeout;

use super::http_client::CallClient;
use super::slots::SlotKeeper;
use super::target_watch::probe_uri;
use crate::announcer::Announcement;
use crate::context::NodeContext;

/// Time allowed for the answer.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the target for its health once versions say where, and announces it if it is well.
pub(super) async fn look_at_target(
    mut context: NodeContext,
    client: CallClient,
    slots: ActorRef<SlotKeeper>,
) {
    let known = context
        .config
        .wait_for(|served| served.snapshot.version() > 0);
    if known.await.is_err() {
        return;
    }
    let Some(request) = health_request(&context) else {
        return;
    };
    let Ok(Ok(answer)) = timeout(LOOK_TIMEOUT, client.request(request)).await else {
        log::info!(event = "first-look"; "the target does not answer yet");
        return;
    };
    if answer.status() != StatusCode::OK {
        log::info!(event = "first-look"; "the target answers status {}", answer.status());
        return;
    }
    if let Some(announced) = announcement(&context, answer.headers()) {
        // Asked, not told: an actor stops when a message that it was told fails.
        if let Err(error) = slots.ask(announced).await {
            log::info!(event = "first-look"; "what the target announced itself goes first: {error}");
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

/// What the answer says, as the oldest announcement of the target: any other goes before it.
fn announcement(context: &NodeContext, headers: &HeaderMap) -> Option<Announcement> {
    let target = context.settings.target.as_ref()?;
    let dialect = Arc::clone(&context.dialect);
    Some(Announcement {
        id: dialect.target_identity(headers)?.to_owned(),
        service: target.service.clone(),
        address: target.address.to_string(),
        started_unix_ms: 0,
        sequence: 0,
        state: TargetReadiness::Ready,
        slots: dialect.target_load(headers).map_or(0, |load| load.slots),
        warm_up_left: Duration::ZERO,
    })
}
