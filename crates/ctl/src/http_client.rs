//! The admin API over HTTP.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_wire::Change;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::client::{AdminClient, ClientError, NodeError, RecordFilter};
use crate::error::CommandError;
use crate::responses::{
    ChangeResponse, HistoryResponse, LookupResponse, RecordsResponse, StatusResponse,
};

/// Part of the time for a request that a look-up takes. Look-ups are repeated, and a node that
/// hangs must not use up the time for all of them.
const LOOK_UP_SHARE: u64 = 4;

/// Settings of [`HttpAdminClient`].
#[derive(Clone, Debug)]
pub struct HttpClientSettings {
    /// Admin addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Time for one request to one node, in milliseconds.
    pub request_ms: u64,
    /// Time to connect to one node, in milliseconds. Kept well under `request_ms`, because a
    /// change may go to the next node only if the connection was never made.
    pub connect_ms: u64,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            request_ms: 10_000,
            connect_ms: 1_000,
        }
    }
}

/// Asks nodes over HTTP.
#[derive(Debug)]
pub struct HttpAdminClient {
    settings: HttpClientSettings,
    client: Client,
}

/// Why one node gave no answer.
enum RequestError {
    /// No byte of the request was sent.
    NotSent(NodeError),
    /// The node may have run the request.
    NoResponse(NodeError),
}

impl RequestError {
    fn into_failure(self) -> NodeError {
        let (Self::NotSent(failure) | Self::NoResponse(failure)) = self;
        failure
    }
}

impl HttpAdminClient {
    /// A client of the nodes in `settings`. No connection is opened until the first request.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(settings: HttpClientSettings) -> Result<Self, CommandError> {
        let connect_ms = settings.connect_ms.min(settings.request_ms / 2 + 1);
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_millis(connect_ms))
            .build()
            .map_err(|error| CommandError::Setup(describe(&error)))?;
        Ok(Self { settings, client })
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        request: RequestBuilder,
        limit_ms: u64,
    ) -> Result<(StatusCode, Vec<u8>), RequestError> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let failure = |reason: String| NodeError { node, reason };
        let answer = async {
            let response = request.send().await?;
            let status = response.status();
            Ok((status, response.bytes().await?.to_vec()))
        };
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(send_failure(&error, failure(describe(&error)))),
            Err(_) => {
                let reason = format!("no answer within {limit_ms} ms");
                Err(RequestError::NoResponse(failure(reason)))
            }
        }
    }

    /// Reads from the first node that gives a usable answer.
    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, ClientError> {
        let mut failures = Vec::new();
        for &node in &self.settings.nodes {
            let answer = self.read_from(node, path, query, self.settings.request_ms);
            match answer.await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failures.push(failure.into_failure()),
            }
        }
        Err(ClientError::Unreachable(failures))
    }

    async fn read_from<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
        query: &[(&str, String)],
        limit_ms: u64,
    ) -> Result<T, RequestError> {
        let request = self.client.get(format!("http://{node}{path}")).query(query);
        let (status, body) = self.exchange(node, request, limit_ms).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let reason = format!("status {status} with an answer that cannot be read: {error}");
            RequestError::NoResponse(NodeError { node, reason })
        })
    }

    async fn submit_once(&self, change: &Change) -> Result<ChangeResponse, ClientError> {
        let mut failures = Vec::new();
        for &node in &self.settings.nodes {
            let request = self.client.post(format!("http://{node}/v1/changes"));
            let request = request.json(change);
            match self.exchange(node, request, self.settings.request_ms).await {
                Ok((status, body)) => return read_change_answer(node, status, &body),
                Err(RequestError::NotSent(failure)) => failures.push(failure),
                Err(RequestError::NoResponse(failure)) => {
                    return Err(ClientError::NoResponse(failure));
                }
            }
        }
        Err(ClientError::Unreachable(failures))
    }

    /// Asks all nodes at once, so that one that hangs does not hide the answer of another.
    ///
    /// "Not yet known" counts more than "not accepted", because it may come from the node that is
    /// still writing the change. So does the silence of a node that takes connections: a paused
    /// process may write the change when it resumes. A node that takes none is passed over.
    async fn look_up_anywhere(&self, change_id: &str) -> Result<LookupResponse, ClientError> {
        let path = format!("/v1/changes/{change_id}");
        let limit_ms = self.settings.request_ms / LOOK_UP_SHARE;
        let nodes = self.settings.nodes.iter();
        let mut answers: FuturesUnordered<_> = nodes
            .map(|&node| self.read_from(node, &path, &[], limit_ms))
            .collect();
        let mut failures = Vec::new();
        let (mut absent, mut undecided, mut silent) = (None, None, false);
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(LookupResponse::Accepted { version }) => {
                    return Ok(LookupResponse::Accepted { version });
                }
                Ok(answer @ LookupResponse::NotAccepted) => absent = Some(answer),
                Ok(answer @ LookupResponse::NotYetKnown { .. }) => undecided = Some(answer),
                Err(failure) => {
                    silent |= matches!(failure, RequestError::NoResponse(_));
                    failures.push(failure.into_failure());
                }
            }
        }
        if silent && absent.is_some() {
            let change_id = change_id.to_owned();
            return Ok(LookupResponse::NotYetKnown { change_id });
        }
        undecided
            .or(absent)
            .ok_or(ClientError::Unreachable(failures))
    }
}

fn send_failure(error: &reqwest::Error, failure: NodeError) -> RequestError {
    if error.is_connect() || error.is_builder() {
        RequestError::NotSent(failure)
    } else {
        RequestError::NoResponse(failure)
    }
}

/// The innermost cause, which names the failed system call; the outer ones repeat the address.
fn describe(error: &reqwest::Error) -> String {
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn read_change_answer(
    node: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<ChangeResponse, ClientError> {
    if let Ok(answer) = serde_json::from_slice(body) {
        return Ok(answer);
    }
    let reason = format!("{node}: status {status}: {}", String::from_utf8_lossy(body));
    if status.is_client_error() {
        // The node's HTTP layer turned the request down before the change was looked at.
        let (reasons, conflicts) = (vec![reason], Vec::new());
        return Ok(ChangeResponse::Refused { reasons, conflicts });
    }
    Err(ClientError::NoResponse(NodeError { node, reason }))
}

impl AdminClient for HttpAdminClient {
    fn nodes(&self) -> &[SocketAddr] {
        &self.settings.nodes
    }

    fn submit<'a>(
        &'a self,
        change: &'a Change,
    ) -> BoxFuture<'a, Result<ChangeResponse, ClientError>> {
        self.submit_once(change).boxed()
    }

    fn look_up<'a>(
        &'a self,
        change_id: &'a str,
    ) -> BoxFuture<'a, Result<LookupResponse, ClientError>> {
        self.look_up_anywhere(change_id).boxed()
    }

    fn records<'a>(
        &'a self,
        filter: RecordFilter<'a>,
    ) -> BoxFuture<'a, Result<RecordsResponse, ClientError>> {
        async move {
            let parts = [("kind", filter.kind), ("name", filter.name)];
            let query: Vec<(&str, String)> = parts
                .into_iter()
                .filter_map(|(key, value)| Some((key, value?.to_owned())))
                .collect();
            self.read("/v1/records", &query).await
        }
        .boxed()
    }

    fn history(
        &self,
        before: Option<u64>,
        limit: u64,
    ) -> BoxFuture<'_, Result<HistoryResponse, ClientError>> {
        async move {
            let mut query = vec![("limit", limit.to_string())];
            query.extend(before.map(|version| ("before", version.to_string())));
            self.read("/v1/history", &query).await
        }
        .boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<StatusResponse, ClientError>> {
        self.read("/v1/status", &[]).boxed()
    }
}
