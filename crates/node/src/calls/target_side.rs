//! The target's side: takes calls of other nodes and sends them to the local target.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::Response;
use reqwest::Client;
use tokio::time::Instant;

use super::forward::{ForwardError, forward};
use super::headers::{DEADLINE, OUTCOME, ToldOutcome, refusal};

/// Time for a call from a node that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the handler works with.
#[derive(Clone)]
pub(crate) struct TargetState {
    pub(crate) client: Client,
    pub(crate) target: Option<SocketAddr>,
}

/// Takes every call.
pub(crate) fn target_router(state: TargetState) -> Router {
    Router::new().fallback(take_call).with_state(state)
}

async fn take_call(State(state): State<TargetState>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Some(target) = state.target else {
        let reason = "this node has no target";
        return refusal(StatusCode::SERVICE_UNAVAILABLE, ToldOutcome::NotRun, reason);
    };
    let stated = parts
        .headers
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok());
    let stated = stated
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let deadline = Instant::now() + stated.unwrap_or(DEFAULT_TIMEOUT);
    match forward(&state.client, target, &parts, body, deadline).await {
        Ok(mut response) => {
            response
                .headers_mut()
                .insert(OUTCOME, ToldOutcome::Answered.header());
            response
        }
        Err(ForwardError::NotSent) => {
            let reason = "the target cannot be reached";
            refusal(StatusCode::SERVICE_UNAVAILABLE, ToldOutcome::NotRun, reason)
        }
        Err(ForwardError::Unanswered) => {
            let reason = "the target was sent the call and gave no answer";
            refusal(StatusCode::GATEWAY_TIMEOUT, ToldOutcome::Unknown, reason)
        }
    }
}
