//! Health checks of a target that announces itself, by which a start of the target is verified.
//!
//! The first one is sent when the node starts: without it, a node that restarts beside a running target
//! would send it no calls until the next announcement, a second or more later. After the loss of all
//! nodes that is most of the outage. The others follow an announcement of a start that is not verified.

use std::time::Duration;

use agatedeck_calls::HealthCheckTicket;
use agatedeck_records::SnapshotView;
use axum::body::Body;
use axum::http::{HeaderMap, Request, StatusCode};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::timeout;

use super::slots::{SlotActor, VerifyTarget};
use super::target_client::TargetClient;
use super::target_probe::probe_uri;
use crate::context::NodeContext;

/// Timeout of a health check. A target may be slow and sound, so it is longer than an announcement period.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(5);

/// Health checks that may be without an answer at the same time. A connection may have gone silent, so a
/// request does not wait for the answer to the previous one.
const MAX_HEALTH_CHECKS_IN_FLIGHT: usize = 4;

/// Checks the health of the target once the configuration states the health path, and at each change of
/// `requests`.
pub(super) async fn check_health(
    mut context: NodeContext,
    client: TargetClient,
    slots: ActorRef<SlotActor>,
    mut requests: watch::Receiver<HealthCheckTicket>,
) {
    let configured = context
        .config
        .wait_for(|served| served.snapshot.version() > 0);
    if configured.await.is_err() {
        return;
    }
    let mut checks = FuturesUnordered::new();
    checks.push(check_once(&context, &client, *requests.borrow_and_update()));
    loop {
        tokio::select! {
            changed = requests.changed(), if checks.len() < MAX_HEALTH_CHECKS_IN_FLIGHT => {
                if changed.is_err() {
                    return;
                }
                checks.push(check_once(&context, &client, *requests.borrow_and_update()));
            }
            Some(verified) = checks.next() => {
                if let Some(verified) = verified {
                    // The actor stops only when the node stops.
                    let _ = slots.tell(verified).await;
                }
            }
        }
    }
}

/// Sends one health check. Returns `None` unless the target answers that it serves and is not leaving.
async fn check_once(
    context: &NodeContext,
    client: &TargetClient,
    ticket: HealthCheckTicket,
) -> Option<VerifyTarget> {
    let request = health_request(context)?;
    let Ok(Ok(answer)) = timeout(HEALTH_CHECK_TIMEOUT, client.request(request)).await else {
        log::info!(event = "health-check"; "the target did not answer the health check");
        return None;
    };
    if answer.status() != StatusCode::OK {
        log::info!(
            event = "health-check", status = answer.status().as_u16();
            "the target answered the health check with status {}",
            answer.status()
        );
        return None;
    }
    Some(verification(context, answer.headers(), ticket))
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

fn verification(
    context: &NodeContext,
    headers: &HeaderMap,
    ticket: HealthCheckTicket,
) -> VerifyTarget {
    let protocol = &context.protocol;
    VerifyTarget {
        ticket,
        id: protocol.target_identity(headers).map(str::to_owned),
        slots: protocol.target_load(headers).map_or(0, |load| load.slots),
    }
}
