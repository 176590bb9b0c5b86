//! Metrics as text, in the exposition format of `OpenMetrics`.

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;

use super::node_metrics::NodeMetrics;

/// Media type of the text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics in `book` at `/metrics`.
pub(crate) fn metrics_router(book: NodeMetrics) -> Router {
    Router::new()
        .route("/metrics", get(read_metrics))
        .with_state(book)
}

async fn read_metrics(State(book): State<NodeMetrics>) -> Response {
    match book.text() {
        Ok(text) => ([(header::CONTENT_TYPE, OPEN_METRICS)], text).into_response(),
        Err(error) => {
            log::error!(event = "metrics-unread"; "the metrics cannot be written: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
