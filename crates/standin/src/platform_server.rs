//! HTTP server of the platform test double.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Json, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use kameo::actor::{ActorRef, Spawn};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::faults::{PlatformFaults, sleep_for};
use crate::platform_actor::{
    PlatformActor, PlatformReply, PlatformRequest, ReadCounters, RequestResult, SetFaults,
    TransactionBody,
};

/// Maximum size of a request body, and so of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Numbers of requests received so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize, kameo::Reply)]
pub struct PlatformCounters {
    /// Reads of rows and objects, and scans.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
    /// Requests answered with 503 because of an injected fault.
    pub refused: u64,
}

/// A running test double of the platform. It stops when dropped.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    actor: ActorRef<PlatformActor>,
    task: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts the server at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let actor = PlatformActor::spawn(PlatformActor::default());
        let app = router(actor.clone());
        let task = tokio::spawn(async move {
            // `serve` returns only when the listener fails. Requests then get no response, as with
            // an unreachable platform.
            let _ = axum::serve(listener, app).await;
        });
        Ok(Self {
            address,
            actor,
            task,
        })
    }

    /// Returns the address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients, as `http://IP:PORT`.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        // The actor runs as long as the server, so a failure means that the server is being dropped.
        let _ = self.actor.ask(SetFaults(faults)).await;
    }

    /// Returns the request counters.
    pub async fn counters(&self) -> PlatformCounters {
        self.actor.ask(ReadCounters).await.unwrap_or_default()
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn router(actor: ActorRef<PlatformActor>) -> Router {
    Router::new()
        .route("/table/row", get(read_row))
        .route("/table/rows", get(scan_rows))
        .route("/table/transaction", post(transact))
        .route("/object", get(read_object).put(write_object))
        .route("/faults", post(set_faults))
        .route("/counters", get(read_counters))
        .layer(DefaultBodyLimit::max(MAX_OBJECT_BYTES))
        .with_state(actor)
}

type ActorState = State<ActorRef<PlatformActor>>;

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct ScanQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
}

async fn read_row(actor: ActorState, Query(query): Query<KeyQuery>) -> Response {
    run_request(&actor, PlatformRequest::ReadRow(query.key)).await
}

async fn scan_rows(actor: ActorState, Query(query): Query<ScanQuery>) -> Response {
    let ScanQuery {
        prefix,
        after,
        limit,
    } = query;
    run_request(
        &actor,
        PlatformRequest::ScanRows {
            prefix,
            after,
            limit,
        },
    )
    .await
}

async fn transact(actor: ActorState, Json(body): Json<TransactionBody>) -> Response {
    run_request(&actor, PlatformRequest::Transact(body)).await
}

async fn read_object(actor: ActorState, Query(query): Query<KeyQuery>) -> Response {
    run_request(&actor, PlatformRequest::ReadObject(query.key)).await
}

async fn write_object(actor: ActorState, Query(query): Query<KeyQuery>, body: Bytes) -> Response {
    run_request(
        &actor,
        PlatformRequest::WriteObject(query.key, body.to_vec()),
    )
    .await
}

async fn set_faults(State(actor): ActorState, Json(faults): Json<PlatformFaults>) -> StatusCode {
    match actor.ask(SetFaults(faults)).await {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

async fn read_counters(State(actor): ActorState) -> Response {
    match actor.ask(ReadCounters).await {
        Ok(counters) => Json(counters).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn run_request(actor: &ActorRef<PlatformActor>, request: PlatformRequest) -> Response {
    let Ok(PlatformReply {
        result,
        delay,
        response_lost,
    }) = actor.ask(request).await
    else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    sleep_for(delay).await;
    match result {
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        // A lost response looks like a gateway timeout to the client.
        Some(_) if response_lost => StatusCode::GATEWAY_TIMEOUT.into_response(),
        Some(result) => encode_result(result),
    }
}

fn encode_result(result: RequestResult) -> Response {
    match result {
        RequestResult::Row(Some(row)) => Json(row).into_response(),
        RequestResult::Row(None) | RequestResult::Object(None) => {
            StatusCode::NOT_FOUND.into_response()
        }
        RequestResult::Rows(rows) => Json(json!({ "rows": rows })).into_response(),
        RequestResult::Committed(revision) => Json(json!({ "revision": revision })).into_response(),
        RequestResult::Conflict(failed) => {
            (StatusCode::CONFLICT, Json(json!({ "failed": failed }))).into_response()
        }
        RequestResult::Object(Some(bytes)) => bytes.into_response(),
        RequestResult::Written => StatusCode::NO_CONTENT.into_response(),
    }
}
