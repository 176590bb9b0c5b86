//! Mock server of the admin API on loopback, and a function that runs the command line against it.

use std::ffi::OsString;
use std::net::SocketAddr;

use agatedeck_ctl::{CliEnvironment, ExitStatus, run};
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Request that the mock server received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) body: Value,
}

/// Response of the mock server to a request.
pub(crate) enum MockResponse {
    Json(u16, Value),
    /// Keeps the connection open and sends no response.
    NoResponse,
}

type PendingRequest = (ReceivedRequest, oneshot::Sender<MockResponse>);

/// Running mock server. One task owns the handler and the received requests.
pub(crate) struct MockAdminServer {
    pub(crate) address: SocketAddr,
    server_task: JoinHandle<()>,
    handler_task: JoinHandle<Vec<ReceivedRequest>>,
}

impl MockAdminServer {
    pub(crate) async fn start(
        mut handler: impl FnMut(&ReceivedRequest) -> MockResponse + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (request_sender, mut request_receiver) = mpsc::channel::<PendingRequest>(16);
        let router = Router::new()
            .fallback(handle_request)
            .with_state(request_sender);
        let server_task = tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        let handler_task = tokio::spawn(async move {
            let mut received = Vec::new();
            let mut unanswered = Vec::new();
            while let Some((request, response_sender)) = request_receiver.recv().await {
                match handler(&request) {
                    MockResponse::NoResponse => unanswered.push(response_sender),
                    response @ MockResponse::Json(..) => drop(response_sender.send(response)),
                }
                received.push(request);
            }
            received
        });
        Self {
            address,
            server_task,
            handler_task,
        }
    }

    /// Stops the server and returns the requests that it received.
    pub(crate) async fn stop(self) -> Vec<ReceivedRequest> {
        self.server_task.abort();
        let _ = self.server_task.await;
        self.handler_task.await.unwrap()
    }
}

async fn handle_request(
    State(request_sender): State<mpsc::Sender<PendingRequest>>,
    method: Method,
    uri: Uri,
    body: Bytes,
) -> Response {
    let (response_sender, response_receiver) = oneshot::channel();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let request = ReceivedRequest {
        method,
        target: uri.to_string(),
        body,
    };
    request_sender
        .send((request, response_sender))
        .await
        .unwrap();
    drop(request_sender);
    match response_receiver.await {
        Ok(MockResponse::Json(status, body)) => {
            (StatusCode::from_u16(status).unwrap(), axum::Json(body)).into_response()
        }
        _ => std::future::pending().await,
    }
}

/// Exit status and output of a command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) status: ExitStatus,
    pub(crate) out: String,
    pub(crate) progress: String,
}

impl CommandOutput {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs `command_line`, split at spaces, with the admin addresses of `nodes`.
pub(crate) async fn run_ctl(command_line: &str, nodes: &[SocketAddr]) -> CommandOutput {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    let environment = CliEnvironment {
        nodes: (!nodes.is_empty()).then(|| nodes.join(",")),
        user: Some("services".to_owned()),
    };
    let arguments = command_line.split_whitespace().map(OsString::from);
    let (mut out, mut progress) = (Vec::new(), Vec::new());
    let status = run(arguments, &environment, &mut out, &mut progress).await;
    CommandOutput {
        status,
        out: String::from_utf8(out).unwrap(),
        progress: String::from_utf8(progress).unwrap(),
    }
}
