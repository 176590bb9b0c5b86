//! The HTTP side of the platform stand-in.

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

use crate::faults::{PlatformFaults, pause};
use crate::table::{
    ReadCounters, SetFaults, TableAnswer, TableKeeper, TableReply, TableRequest, TransactionBody,
};

/// Largest object that the stand-in takes, in bytes.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Requests served so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize, kameo::Reply)]
pub struct PlatformCounters {
    /// Rows, scans and objects read.
    pub reads: u64,
    /// Transactions and objects written.
    pub writes: u64,
    /// Requests answered with 503 because of a fault.
    pub refused: u64,
}

/// A running platform stand-in. It stops when dropped.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    keeper: ActorRef<TableKeeper>,
    task: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts the stand-in at `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let keeper = TableKeeper::spawn(TableKeeper::default());
        let app = router(keeper.clone());
        let task = tokio::spawn(async move {
            // `serve` returns only when the listener fails, and then requests go unanswered as
            // they would with a platform that is gone.
            let _ = axum::serve(listener, app).await;
        });
        Ok(Self {
            address,
            keeper,
            task,
        })
    }

    /// Address of the stand-in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base address for [`PlatformServer`]'s clients, as `http://IP:PORT`.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the faults in effect.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        // The keeper runs as long as the server; a failure means that the server is being dropped.
        let _ = self.keeper.ask(SetFaults(faults)).await;
    }

    /// Requests served so far.
    pub async fn counters(&self) -> PlatformCounters {
        self.keeper.ask(ReadCounters).await.unwrap_or_default()
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn router(keeper: ActorRef<TableKeeper>) -> Router {
    Router::new()
        .route("/table/row", get(read_row))
        .route("/table/rows", get(scan_rows))
        .route("/table/transaction", post(transact))
        .route("/object", get(read_object).put(write_object))
        .route("/faults", post(set_faults))
        .route("/counters", get(read_counters))
        .layer(DefaultBodyLimit::max(MAX_OBJECT_BYTES))
        .with_state(keeper)
}

type Keeper = State<ActorRef<TableKeeper>>;

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

async fn read_row(keeper: Keeper, Query(query): Query<KeyQuery>) -> Response {
    answer(&keeper, TableRequest::ReadRow(query.key)).await
}

async fn scan_rows(keeper: Keeper, Query(query): Query<ScanQuery>) -> Response {
    let ScanQuery {
        prefix,
        after,
        limit,
    } = query;
    answer(
        &keeper,
        TableRequest::ScanRows {
            prefix,
            after,
            limit,
        },
    )
    .await
}

async fn transact(keeper: Keeper, Json(body): Json<TransactionBody>) -> Response {
    answer(&keeper, TableRequest::Transact(body)).await
}

async fn read_object(keeper: Keeper, Query(query): Query<KeyQuery>) -> Response {
    answer(&keeper, TableRequest::ReadObject(query.key)).await
}

async fn write_object(keeper: Keeper, Query(query): Query<KeyQuery>, body: Bytes) -> Response {
    answer(&keeper, TableRequest::WriteObject(query.key, body.to_vec())).await
}

async fn set_faults(State(keeper): Keeper, Json(faults): Json<PlatformFaults>) -> StatusCode {
    match keeper.ask(SetFaults(faults)).await {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

async fn read_counters(State(keeper): Keeper) -> Response {
    match keeper.ask(ReadCounters).await {
        Ok(counters) => Json(counters).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn answer(keeper: &ActorRef<TableKeeper>, request: TableRequest) -> Response {
    let Ok(TableReply {
        answer,
        delay,
        lost,
    }) = keeper.ask(request).await
    else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    pause(delay).await;
    match answer {
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        // The client sees a gateway's answer in place of the platform's own.
        Some(_) if lost => StatusCode::GATEWAY_TIMEOUT.into_response(),
        Some(answer) => encode(answer),
    }
}

fn encode(answer: TableAnswer) -> Response {
    match answer {
        TableAnswer::Row(Some(row)) => Json(row).into_response(),
        TableAnswer::Row(None) | TableAnswer::Object(None) => StatusCode::NOT_FOUND.into_response(),
        TableAnswer::Rows(rows) => Json(json!({ "rows": rows })).into_response(),
        TableAnswer::Committed(revision) => Json(json!({ "revision": revision })).into_response(),
        TableAnswer::Refused(failed) => {
            (StatusCode::CONFLICT, Json(json!({ "failed": failed }))).into_response()
        }
        TableAnswer::Object(Some(bytes)) => bytes.into_response(),
        TableAnswer::Written => StatusCode::NO_CONTENT.into_response(),
    }
}
