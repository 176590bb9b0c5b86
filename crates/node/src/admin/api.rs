//! Handlers of the admin API. `docs/design.md` section 6.1 lists its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_calls::{LatencySummary, RefusedRequest};
use agatedeck_control::{CommitOutcome, DELTA_KEY_PREFIX, delta_key};
use agatedeck_records::{
    ChangeRefusal, RecordConflict, RecordKey, decompress, kind_from_name, kind_name,
};
use agatedeck_wire::{Change, Delta, Record, SpreadScope};
use axum::Router;
use axum::extract::{Json, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use kameo::actor::ActorRef;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::survey::{local_report, survey};
use crate::calls::{
    CrashActor, LatencyActor, LatencyList, ListLatencies, ListRefusedRequests, RefusedRequestList,
};
use crate::config::ConfigActor;
use crate::context::NodeContext;
use crate::peer::ConnectionMeters;
use crate::store::{ChangeLookup, CommitActor, CommitChange, CommitReply, find_change};

/// Timeout of a change. After it, the request is answered with the outcome `not-yet-known`.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of changes in a history answer if the request states no limit.
const DEFAULT_HISTORY_CHANGES: usize = 20;

/// Maximum number of changes in a history answer.
const MAX_HISTORY_CHANGES: usize = 200;

/// Shared state of the handlers.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) commit_actor: ActorRef<CommitActor>,
    pub(crate) meters: ConnectionMeters,
    pub(crate) latency_actor: ActorRef<LatencyActor>,
    pub(crate) crash_actor: ActorRef<CrashActor>,
}

/// Returns the router of the admin API.
pub(crate) fn admin_router(state: AdminState) -> Router {
    Router::new()
        .route("/v1/changes", post(commit_change))
        .route("/v1/changes/{id}", get(read_change))
        .route("/v1/records", get(read_records))
        .route("/v1/history", get(read_history))
        .route("/v1/status", get(read_status))
        .route("/v1/node", get(read_node))
        .with_state(state)
}

async fn commit_change(State(state): State<AdminState>, Json(change): Json<Change>) -> Response {
    if change.change_id.is_empty() {
        let body = json!({ "outcome": "refused", "reasons": ["the change has no id"] });
        return (StatusCode::CONFLICT, Json(body)).into_response();
    }
    let id = change.change_id.clone();
    let commit = CommitChange {
        change,
        deadline: Instant::now() + COMMIT_TIMEOUT,
    };
    match state.commit_actor.ask(commit).await {
        Ok(CommitReply(Some(outcome))) => commit_response(&id, outcome),
        // The node is stopping and may have written the change.
        Ok(CommitReply(None)) | Err(_) => not_yet_known_response(StatusCode::ACCEPTED, &id),
    }
}

fn commit_response(id: &str, outcome: CommitOutcome) -> Response {
    match outcome {
        CommitOutcome::Accepted(version) => accepted_response(version),
        CommitOutcome::Refused(refusal) => refused_response(&refusal),
        CommitOutcome::Unreadable(nodes) => {
            let reasons: Vec<String> = nodes.iter().map(ToString::to_string).collect();
            let body = json!({ "outcome": "refused", "reasons": reasons, "conflicts": [] });
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        CommitOutcome::Unreachable => {
            let reasons = ["the store cannot be reached; nothing was written"];
            let body = json!({ "outcome": "unreachable", "reasons": reasons });
            (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response()
        }
        CommitOutcome::NotYetKnown => not_yet_known_response(StatusCode::ACCEPTED, id),
    }
}

fn accepted_response(version: u64) -> Response {
    Json(json!({ "outcome": "accepted", "version": version })).into_response()
}

fn not_yet_known_response(status: StatusCode, id: &str) -> Response {
    (
        status,
        Json(json!({ "outcome": "not-yet-known", "change_id": id })),
    )
        .into_response()
}

fn refused_response(refusal: &ChangeRefusal) -> Response {
    let reasons: Vec<String> = match refusal {
        ChangeRefusal::Conflict(conflicts) => conflicts.iter().map(ToString::to_string).collect(),
        ChangeRefusal::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
        other => vec![other.to_string()],
    };
    let conflicts: Vec<Value> = match refusal {
        ChangeRefusal::Conflict(conflicts) => conflicts.iter().map(conflict_json).collect(),
        _ => Vec::new(),
    };
    let body = json!({ "outcome": "refused", "reasons": reasons, "conflicts": conflicts });
    (StatusCode::CONFLICT, Json(body)).into_response()
}

fn conflict_json(conflict: &RecordConflict) -> Value {
    let RecordConflict { key, base, current } = conflict;
    json!({ "kind": kind_name(key.kind), "name": key.name, "base": base, "current": current })
}

async fn read_change(State(state): State<AdminState>, Path(id): Path<String>) -> Response {
    match find_change(&state.context, &id).await {
        ChangeLookup::Accepted(version) => accepted_response(version),
        ChangeLookup::Absent => (
            StatusCode::NOT_FOUND,
            Json(json!({ "outcome": "not-accepted" })),
        )
            .into_response(),
        ChangeLookup::Unknown => not_yet_known_response(StatusCode::SERVICE_UNAVAILABLE, &id),
    }
}

#[derive(Deserialize)]
struct RecordQuery {
    kind: Option<String>,
    name: Option<String>,
}

async fn read_records(
    State(state): State<AdminState>,
    Query(query): Query<RecordQuery>,
) -> Response {
    let kind = match query.kind.as_deref().map(kind_from_name) {
        Some(None) => return (StatusCode::BAD_REQUEST, "unknown kind").into_response(),
        Some(kind) => kind,
        None => None,
    };
    let snapshot = state.context.served().snapshot;
    let matches_query = |record: &&Record| {
        kind.is_none_or(|kind| record.kind() == kind)
            && query.name.as_ref().is_none_or(|name| record.name == *name)
    };
    let records: Vec<&Record> = snapshot.records().filter(matches_query).collect();
    Json(json!({ "version": snapshot.version(), "records": records })).into_response()
}

#[derive(Deserialize)]
struct HistoryQuery {
    before: Option<u64>,
    limit: Option<usize>,
}

async fn read_history(
    State(state): State<AdminState>,
    Query(query): Query<HistoryQuery>,
) -> Response {
    let limit = query
        .limit
        .unwrap_or(DEFAULT_HISTORY_CHANGES)
        .min(MAX_HISTORY_CHANGES);
    let newest = state.context.served().snapshot.version();
    let before = query.before.unwrap_or(u64::MAX).min(newest + 1);
    let first = before.saturating_sub(u64::try_from(limit).unwrap_or(0) + 1);
    let (context, after) = (&state.context, delta_key(first));
    let rows = context
        .store
        .scan_rows(DELTA_KEY_PREFIX, &after, limit, context.store_deadline())
        .await;
    match rows {
        Ok(rows) => {
            let deltas = rows
                .iter()
                .filter_map(|row| decompress::<Delta>(&row.value).ok());
            let mut changes: Vec<Value> = deltas
                .filter(|delta| delta.version < before)
                .map(|delta| history_json(&delta))
                .collect();
            changes.reverse();
            Json(json!({ "changes": changes })).into_response()
        }
        Err(error) => (StatusCode::SERVICE_UNAVAILABLE, error.to_string()).into_response(),
    }
}

fn history_json(delta: &Delta) -> Value {
    let puts: Vec<String> = delta
        .puts
        .iter()
        .map(|record| RecordKey::from_record(record).to_string())
        .collect();
    let retired: Vec<String> = delta
        .retired
        .iter()
        .map(|name| RecordKey::from(name).to_string())
        .collect();
    json!({
        "version": delta.version,
        "change_id": delta.change_id,
        "operator": delta.operator,
        "accepted_unix_ms": delta.accepted_unix_ms,
        "puts": puts,
        "retired": retired,
    })
}

async fn read_status(State(state): State<AdminState>) -> Response {
    let nodes = survey(&state.context, &state.config, SpreadScope::Region)
        .await
        .nodes;
    let version = state.context.served().snapshot.version();
    let body = json!({
        "version": version,
        "nodes": nodes,
        "histograms": histograms_json(&state).await,
        "refused_requests": refused_requests_json(&state).await,
    });
    Json(body).into_response()
}

/// Returns the latency histograms of answered calls from local callers, from the arrival of the
/// call to the end of its answer. They cover this node only, also in the status of the whole mesh.
async fn histograms_json(state: &AdminState) -> Vec<Value> {
    let LatencyList(summaries) = state
        .latency_actor
        .ask(ListLatencies)
        .await
        .unwrap_or_default();
    let histogram = |summary: &LatencySummary| {
        json!({
            "tenant": summary.workspace,
            "class": summary.class,
            "count": summary.count,
            "p50_us": summary.p50_us,
            "p99_us": summary.p99_us,
            "p999_us": summary.p999_us,
            "max_us": summary.max_us,
        })
    };
    summaries.iter().map(histogram).collect()
}

/// Returns the requests that are refused in this node's region because they crashed targets.
async fn refused_requests_json(state: &AdminState) -> Vec<Value> {
    let RefusedRequestList(refused) = state
        .crash_actor
        .ask(ListRefusedRequests)
        .await
        .unwrap_or_default();
    let entry = |(request, remaining_ms): &(RefusedRequest, u64)| {
        json!({
            "fingerprint": request.fingerprint.to_string(),
            "service": request.service,
            "crashes": request.crashes,
            "expires_in_ms": remaining_ms,
        })
    };
    refused.iter().map(entry).collect()
}

async fn read_node(State(state): State<AdminState>) -> Response {
    let report = local_report(&state.context, &state.config).await;
    let table = state.context.table();
    let mut members: BTreeMap<&str, usize> = BTreeMap::new();
    for member in table.members() {
        *members.entry(member.status().as_str_name()).or_default() += 1;
    }
    let mut targets: BTreeMap<&str, usize> = BTreeMap::new();
    for member in table.live().filter(|member| !member.service.is_empty()) {
        *targets.entry(&member.service).or_default() += 1;
    }
    let meters = &state.meters;
    let body = json!({
        "report": report,
        "members": members,
        "targets": targets,
        "control_bytes": meters.all.sent() + meters.all.received(),
        "cross_region_control_bytes": meters.cross_region.sent() + meters.cross_region.received(),
        "histograms": histograms_json(&state).await,
        "refused_requests": refused_requests_json(&state).await,
    });
    Json(body).into_response()
}
