//! The caller's side: takes calls of local callers and sends them to the node of a target.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_records::SnapshotView;
use agatedeck_wire::MemberStatus;
use axum::Router;
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::Response;
use rand::seq::IteratorRandom;
use reqwest::Client;
use tokio::time::Instant;

use super::forward::{ForwardError, forward};
use super::headers::{DEADLINE, OUTCOME, ToldOutcome, refusal};
use crate::context::NodeContext;

/// What the handler works with.
#[derive(Clone)]
pub(crate) struct GatewayState {
    pub(crate) context: NodeContext,
    pub(crate) client: Client,
}

/// Where a call goes by the configuration in force.
struct CallPlan {
    service: String,
    deadline: Instant,
}

/// Takes every call.
pub(crate) fn gateway_router(state: GatewayState) -> Router {
    Router::new().fallback(take_call).with_state(state)
}

async fn take_call(State(state): State<GatewayState>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let plan = match plan_call(&state.context, &parts) {
        Ok(plan) => plan,
        Err((status, reason)) => return refusal(status, ToldOutcome::NotRun, reason),
    };
    let Some(address) = pick_target(&state.context, &plan.service) else {
        let reason = "no target of the service is known";
        return refusal(StatusCode::SERVICE_UNAVAILABLE, ToldOutcome::NotRun, reason);
    };
    match forward(&state.client, address, &parts, body, plan.deadline).await {
        Ok(mut response) => {
            let told = ToldOutcome::Answered.header();
            response.headers_mut().entry(OUTCOME).or_insert(told);
            response
        }
        Err(ForwardError::NotSent) => {
            let reason = "the node of the target cannot be reached";
            refusal(StatusCode::SERVICE_UNAVAILABLE, ToldOutcome::NotRun, reason)
        }
        Err(ForwardError::Unanswered) => {
            let reason = "the call was sent and no answer came";
            refusal(StatusCode::GATEWAY_TIMEOUT, ToldOutcome::Unknown, reason)
        }
    }
}

fn plan_call(context: &NodeContext, parts: &Parts) -> Result<CallPlan, (StatusCode, &'static str)> {
    let served = context.served();
    if !served.may_serve {
        let reason = "the node does not know yet which version it may serve";
        return Err((StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    let view = SnapshotView::new(&served.snapshot, context.own.reads_schema);
    let host = host_name(&parts.headers);
    let route = view.route_for(host, parts.uri.path());
    let route = route.ok_or((StatusCode::NOT_FOUND, "no route matches the call"))?;
    let policy = view.policy_of(&route.form.service);
    let policy = policy.ok_or((StatusCode::SERVICE_UNAVAILABLE, "the service has no policy"))?;
    let timeout = stated_timeout(&parts.headers);
    let timeout = timeout.unwrap_or(Duration::from_millis(u64::from(policy.form.timeout_ms)));
    let deadline = Instant::now() + timeout;
    Ok(CallPlan {
        service: route.form.service.clone(),
        deadline,
    })
}

fn host_name(headers: &HeaderMap) -> &str {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn stated_timeout(headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(DEADLINE)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// A live target of the service, from the nearest place that has one.
fn pick_target(context: &NodeContext, service: &str) -> Option<SocketAddr> {
    let table = context.table();
    let own = &context.own;
    let targets = || {
        table
            .live()
            .filter(|member| member.service == service && member.status() == MemberStatus::Alive)
    };
    let mut rng = rand::rng();
    let near = targets()
        .filter(|member| member.domain == own.domain)
        .choose(&mut rng);
    let near = near.or_else(|| {
        targets()
            .filter(|member| member.region == own.region)
            .choose(&mut rng)
    });
    let picked = near.or_else(|| targets().choose(&mut rng))?;
    picked.peer_address.parse().ok()
}
