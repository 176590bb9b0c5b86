//! Metrics as text, in the exposition format of `OpenMetrics`.

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;

use super::node_metrics::NodeMetrics;

/// Media type of the text.
const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics in `book` at `/metrics`.
pub(crate) fn metrics_router(metrics: NodeMetrics) -> Router {
    Router::new()
        .route("/metrics", get(read_metrics))
        .with_state(metrics)
}

async fn read_metrics(State(metrics): State<NodeMetrics>) -> Response {
    match metrics.encode_text() {
        Ok(text) => ([(header::CONTENT_TYPE, OPEN_METRICS_CONTENT_TYPE)], text).into_response(),
        Err(error) => {
            log::error!(event = "metrics-unread"; "the metrics cannot be written: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
