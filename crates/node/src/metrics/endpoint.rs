//! The HTTP endpoint that serves metrics in the `OpenMetrics` text format.

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;

use super::node_metrics::NodeMetrics;

/// Content type of the `OpenMetrics` text format.
const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the router that serves `metrics` at `/metrics`.
pub(crate) fn metrics_router(metrics: NodeMetrics) -> Router {
    Router::new()
        .route("/metrics", get(read_metrics))
        .with_state(metrics)
}

async fn read_metrics(State(metrics): State<NodeMetrics>) -> Response {
    match metrics.encode_text() {
        Ok(text) => ([(header::CONTENT_TYPE, OPEN_METRICS_CONTENT_TYPE)], text).into_response(),
        Err(error) => {
            log::error!(event = "metrics-unread"; "metrics cannot be encoded: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
