//! A stand-in of the admin API on loopback, and a way to run the command line against it.

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

/// A request that the stand-in received.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) body: Value,
}

/// What the stand-in does with a request.
pub(crate) enum Reply {
    Json(u16, Value),
    /// Keeps the connection open and never answers.
    Silence,
}

type Delivery = (SeenRequest, oneshot::Sender<Reply>);

/// A running stand-in. One task owns its script and what it has seen.
pub(crate) struct AdminStandin {
    pub(crate) address: SocketAddr,
    server: JoinHandle<()>,
    script: JoinHandle<Vec<SeenRequest>>,
}

impl AdminStandin {
    pub(crate) async fn start(
        mut script: impl FnMut(&SeenRequest) -> Reply + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (deliveries, mut inbox) = mpsc::channel::<Delivery>(16);
        let app = Router::new().fallback(receive).with_state(deliveries);
        let server = tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        let script = tokio::spawn(async move {
            let mut seen = Vec::new();
            let mut unanswered = Vec::new();
            while let Some((request, answer)) = inbox.recv().await {
                match script(&request) {
                    Reply::Silence => unanswered.push(answer),
                    reply @ Reply::Json(..) => drop(answer.send(reply)),
                }
                seen.push(request);
            }
            seen
        });
        Self {
            address,
            server,
            script,
        }
    }

    /// Stops the stand-in and returns the requests it received.
    pub(crate) async fn stop(self) -> Vec<SeenRequest> {
        self.server.abort();
        let _ = self.server.await;
        self.script.await.unwrap()
    }
}

async fn receive(
    State(deliveries): State<mpsc::Sender<Delivery>>,
    method: Method,
    uri: Uri,
    body: Bytes,
) -> Response {
    let (answer, reply) = oneshot::channel();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let request = SeenRequest {
        method,
        target: uri.to_string(),
        body,
    };
    deliveries.send((request, answer)).await.unwrap();
    drop(deliveries);
    match reply.await {
        Ok(Reply::Json(status, body)) => {
            (StatusCode::from_u16(status).unwrap(), axum::Json(body)).into_response()
        }
        _ => std::future::pending().await,
    }
}

/// What a command left behind.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) status: ExitStatus,
    pub(crate) out: String,
    pub(crate) progress: String,
}

impl Finished {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs `line`, split at spaces, with the admin addresses of `nodes`.
pub(crate) async fn ctl(line: &str, nodes: &[SocketAddr]) -> Finished {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    let environment = CliEnvironment {
        nodes: (!nodes.is_empty()).then(|| nodes.join(",")),
        user: Some("services".to_owned()),
    };
    let arguments = line.split_whitespace().map(OsString::from);
    let (mut out, mut progress) = (Vec::new(), Vec::new());
    let status = run(arguments, &environment, &mut out, &mut progress).await;
    Finished {
        status,
        out: String::from_utf8(out).unwrap(),
        progress: String::from_utf8(progress).unwrap(),
    }
}
