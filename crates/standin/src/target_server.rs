//! Test double of a target: answers calls, counts the runs of each request, reports health and load.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Json, Request, State};
use axum::http::header::CONTENT_LENGTH;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures::{StreamExt, stream};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::faults::sleep_for;
use crate::resettable_listener::ResettableListener;

/// Header that identifies a request in the counters and in the answer.
const REQUEST_ID: &str = "x-request-id";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Behaviour of the target, including injected faults. The default answers at once and is healthy.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize, kameo::Reply)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault that can be injected independently"
)]
pub struct TargetBehaviour {
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
    /// Whether health checks are answered with 503.
    pub unhealthy: bool,
    /// Number of running calls that the target reports as its load, in place of the actual number.
    pub false_load: Option<u32>,
    /// Whether calls are answered with 500.
    pub failing: bool,
    /// Maximum number of concurrent calls; further ones wait without limit, as in a target that does
    /// not shed load. `None` for no maximum.
    pub slots: Option<u32>,
    /// Whether calls are read completely and never answered.
    pub hang: bool,
    /// Whether calls are neither read completely nor answered.
    pub stall: bool,
    /// Path of calls that simulate a crash: such a call, once read, resets all connections of the
    /// target. The target accepts new connections at once.
    pub crash_path: Option<String>,
    /// Padding in each answer, in bytes.
    pub padding_bytes: usize,
    /// Number of bytes after which an answer is cut off by a connection reset.
    pub break_after_bytes: Option<usize>,
    /// Whether answers use chunked encoding, without a content length.
    pub chunked: bool,
    /// Whether answers use chunked encoding and continue without pause or end.
    pub endless: bool,
    /// URL that each call requests before it answers, with a copy of its own `agatedeck-` headers.
    pub calls_on: Option<String>,
}

/// Settings of [`TargetServer`].
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Address to listen at; port 0 selects a free port.
    pub address: SocketAddr,
    /// Service of the target, reported in answers.
    pub service: String,
    /// Name of the target, reported in answers.
    pub name: String,
    /// Initial behaviour.
    pub behaviour: TargetBehaviour,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: "service".to_owned(),
            name: "target".to_owned(),
            behaviour: TargetBehaviour::default(),
        }
    }
}

/// Counters of calls and connections.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize, kameo::Reply)]
pub struct TargetCounters {
    /// Calls started.
    pub started: u64,
    /// Calls that ended, including cancelled ones.
    pub finished: u64,
    /// Calls that were cancelled before they were answered, for instance by a closed connection.
    pub cancelled: u64,
    /// Maximum number of concurrent calls so far.
    pub peak: u64,
    /// Open connections.
    pub connections: u64,
    /// Maximum number of concurrent connections so far.
    pub peak_connections: u64,
    /// Number of runs of each request, by its `x-request-id` header.
    pub runs: BTreeMap<String, u64>,
}

/// A running test double of a target. Dropping it stops it and resets its connections.
#[derive(Debug)]
pub struct TargetServer {
    address: SocketAddr,
    actor: ActorRef<TargetActor>,
    reset_sender: watch::Sender<CancellationToken>,
    task: JoinHandle<()>,
}

impl TargetServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(settings: TargetSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let (reset_sender, reset_token) = watch::channel(CancellationToken::new());
        let actor = TargetActor {
            service: settings.service,
            name: settings.name,
            slots: slot_semaphore(&settings.behaviour),
            behaviour: settings.behaviour,
            counters: TargetCounters::default(),
            reset_sender: reset_sender.clone(),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .map_err(io::Error::other)?,
        };
        // The mailbox is unbounded, so that `Drop` can always report the end of a cancelled call.
        let actor = TargetActor::spawn_with_mailbox(actor, mailbox::unbounded());
        let app = router(actor.clone());
        let listener_actor = actor.clone();
        let task = tokio::spawn(async move {
            // A failed listener looks like an unreachable target, as in `PlatformServer::start`.
            let _ = axum::serve(
                ResettableListener::new(listener, reset_token, listener_actor),
                app,
            )
            .await;
        });
        Ok(Self {
            address,
            actor,
            reset_sender,
            task,
        })
    }

    /// Returns the address that the target listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the behaviour.
    pub async fn set_behaviour(&self, behaviour: TargetBehaviour) {
        // The actor runs as long as the server, so a failure means that the server is being dropped.
        let _ = self.actor.ask(SetBehaviour(behaviour)).await;
    }

    /// Returns the counters.
    pub async fn counters(&self) -> TargetCounters {
        self.actor.ask(ReadCounters).await.unwrap_or_default()
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
        self.reset_sender.borrow().cancel();
    }
}

/// Owns the behaviour and the counters.
#[derive(Actor, Debug)]
pub(crate) struct TargetActor {
    service: String,
    name: String,
    behaviour: TargetBehaviour,
    /// Limits concurrent calls; `None` if the behaviour sets no limit. A running call holds a permit.
    slots: Option<Arc<Semaphore>>,
    counters: TargetCounters,
    /// Current reset token, replaced and cancelled by a simulated crash. Each connection holds the
    /// token that was current when it was accepted.
    reset_sender: watch::Sender<CancellationToken>,
    client: reqwest::Client,
}

fn slot_semaphore(behaviour: &TargetBehaviour) -> Option<Arc<Semaphore>> {
    let slots = usize::try_from(behaviour.slots?).unwrap_or(Semaphore::MAX_PERMITS);
    Some(Arc::new(Semaphore::new(slots)))
}

/// State that a call needs to run.
#[derive(Debug, kameo::Reply)]
struct RunContext {
    service: String,
    name: String,
    behaviour: TargetBehaviour,
    slots: Option<Arc<Semaphore>>,
    run_number: u64,
    client: reqwest::Client,
}

/// Starts a run of the request with this id.
struct StartRun(String);

impl Message<StartRun> for TargetActor {
    type Reply = RunContext;

    async fn handle(
        &mut self,
        StartRun(id): StartRun,
        _: &mut Context<Self, RunContext>,
    ) -> RunContext {
        self.counters.started += 1;
        let running = self.counters.started - self.counters.finished;
        self.counters.peak = self.counters.peak.max(running);
        let run_count = self.counters.runs.entry(id).or_default();
        *run_count += 1;
        RunContext {
            service: self.service.clone(),
            name: self.name.clone(),
            behaviour: self.behaviour.clone(),
            slots: self.slots.as_ref().map(Arc::clone),
            run_number: *run_count,
            client: self.client.clone(),
        }
    }
}

struct FinishRun {
    cancelled: bool,
}

impl Message<FinishRun> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, FinishRun { cancelled }: FinishRun, _: &mut Context<Self, ()>) {
        self.counters.finished += 1;
        self.counters.cancelled += u64::from(cancelled);
    }
}

/// Reports the end of a call when dropped. The call counts as cancelled unless `cancelled` was
/// cleared before.
struct RunGuard {
    actor: ActorRef<TargetActor>,
    cancelled: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let cancelled = self.cancelled;
        // The actor may have stopped; its counters are no longer needed then.
        let _ = self.actor.tell(FinishRun { cancelled }).try_send();
    }
}

/// Event of a connection of the target.
pub(crate) enum ConnectionEvent {
    Opened,
    Closed,
}

impl Message<ConnectionEvent> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, event: ConnectionEvent, _: &mut Context<Self, ()>) {
        let counters = &mut self.counters;
        match event {
            ConnectionEvent::Opened => counters.connections += 1,
            ConnectionEvent::Closed => counters.connections -= 1,
        }
        counters.peak_connections = counters.peak_connections.max(counters.connections);
    }
}

/// Resets the connections that were accepted so far.
struct ResetConnections;

impl Message<ResetConnections> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, ResetConnections: ResetConnections, _: &mut Context<Self, ()>) {
        let previous = self.reset_sender.send_replace(CancellationToken::new());
        previous.cancel();
    }
}

struct SetBehaviour(TargetBehaviour);

impl Message<SetBehaviour> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, SetBehaviour(behaviour): SetBehaviour, _: &mut Context<Self, ()>) {
        self.slots = slot_semaphore(&behaviour);
        self.behaviour = behaviour;
    }
}

struct ReadCounters;

impl Message<ReadCounters> for TargetActor {
    type Reply = TargetCounters;

    async fn handle(
        &mut self,
        ReadCounters: ReadCounters,
        _: &mut Context<Self, TargetCounters>,
    ) -> TargetCounters {
        self.counters.clone()
    }
}

/// Requests the behaviour and the number of running calls.
struct ReadStatus;

impl Message<ReadStatus> for TargetActor {
    type Reply = (TargetBehaviour, u64);

    async fn handle(
        &mut self,
        ReadStatus: ReadStatus,
        _: &mut Context<Self, (TargetBehaviour, u64)>,
    ) -> (TargetBehaviour, u64) {
        (
            self.behaviour.clone(),
            self.counters.started - self.counters.finished,
        )
    }
}

type ActorState = State<ActorRef<TargetActor>>;

fn router(actor: ActorRef<TargetActor>) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/load", get(load))
        .route("/standin/behaviour", post(set_behaviour))
        .route("/standin/counters", get(read_counters))
        .fallback(handle_call)
        .with_state(actor)
}

async fn health(State(actor): ActorState) -> StatusCode {
    match actor.ask(ReadStatus).await {
        Ok((behaviour, _)) if !behaviour.unhealthy => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn load(State(actor): ActorState) -> Response {
    match actor.ask(ReadStatus).await {
        Ok((behaviour, running)) => {
            let running = behaviour.false_load.map_or(running, u64::from);
            Json(json!({ "running": running })).into_response()
        }
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn set_behaviour(
    State(actor): ActorState,
    Json(behaviour): Json<TargetBehaviour>,
) -> StatusCode {
    match actor.ask(SetBehaviour(behaviour)).await {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn read_counters(State(actor): ActorState) -> Response {
    match actor.ask(ReadCounters).await {
        Ok(counters) => Json(counters).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn request_id(headers: &HeaderMap) -> String {
    let id = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    id.unwrap_or("none").to_owned()
}

async fn handle_call(State(actor): ActorState, request: Request) -> Response {
    let id = request_id(request.headers());
    let path = request.uri().path().to_owned();
    let Ok(run_context) = actor.ask(StartRun(id.clone())).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut guard = RunGuard {
        actor: actor.clone(),
        cancelled: true,
    };
    if run_context.behaviour.stall {
        // Keeps the request, so that its connection stays open.
        let _request = request;
        return std::future::pending().await;
    }
    let headers = request.headers().clone();
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await;
    let behaviour = &run_context.behaviour;
    if behaviour.crash_path.as_ref() == Some(&path) {
        let _ = actor.ask(ResetConnections).await;
        return std::future::pending().await;
    }
    if behaviour.hang {
        return std::future::pending().await;
    }
    let slot = match &run_context.slots {
        // The semaphore is never closed.
        Some(slots) => slots.acquire().await.ok(),
        None => None,
    };
    sleep_for(Duration::from_millis(behaviour.work_ms)).await;
    drop(slot);
    let upstream_answer = match &behaviour.calls_on {
        Some(url) => Some(call_upstream(&run_context.client, url, &headers).await),
        None => None,
    };
    guard.cancelled = false;
    drop(guard);
    if behaviour.failing {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    if behaviour.endless {
        let chunks = stream::repeat_with(|| Ok::<_, io::Error>(Bytes::from_static(&[b'x'; 4096])));
        return Body::from_stream(chunks).into_response();
    }
    let answer = json!({
        "service": run_context.service,
        "target": run_context.name,
        "request": id,
        "path": path,
        "run": run_context.run_number,
        "received_bytes": body.as_ref().map_or(0, Bytes::len),
        "inner": upstream_answer,
        "depth": header_text(&headers, "agatedeck-depth"),
        "padding": "x".repeat(behaviour.padding_bytes),
    });
    let Some(sent_bytes) = behaviour.break_after_bytes else {
        if behaviour.chunked {
            let chunk = stream::iter([Ok::<_, io::Error>(answer.to_string())]);
            return Body::from_stream(chunk).into_response();
        }
        return Json(answer).into_response();
    };
    truncated_response(&answer.to_string(), sent_bytes, behaviour.chunked)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Calls `url` with the `agatedeck-` headers, by which nodes recognise a nested call. Returns the
/// status, outcome, reason and body of the answer, or the error, as JSON.
async fn call_upstream(client: &reqwest::Client, url: &str, headers: &HeaderMap) -> Value {
    let mut request = client.get(url);
    for (name, value) in headers {
        if name.as_str().starts_with("agatedeck-") {
            request = request.header(name, value);
        }
    }
    match request.send().await {
        Ok(answer) => json!({
            "status": answer.status().as_u16(),
            "outcome": header_text(answer.headers(), "agatedeck-outcome"),
            "reason": header_text(answer.headers(), "agatedeck-reason"),
            "answer": answer.json::<Value>().await.unwrap_or_default(),
        }),
        Err(error) => json!({ "error": error.to_string() }),
    }
}

/// Returns an answer whose connection is reset after `sent_bytes` bytes.
fn truncated_response(answer: &str, sent_bytes: usize, chunked: bool) -> Response {
    let first_bytes = Bytes::copy_from_slice(&answer.as_bytes()[..sent_bytes.min(answer.len())]);
    let frames = stream::iter([Ok(first_bytes)]).chain(stream::once(async {
        // Lets the first bytes be sent before the connection is reset.
        tokio::time::sleep(Duration::from_millis(20)).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    }));
    let mut response = Response::new(Body::from_stream(frames));
    if !chunked {
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, answer.len().into());
    }
    response
}
