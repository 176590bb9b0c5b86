//! Client of the admin API over HTTP.

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

/// Divisor of the request timeout for a lookup. Lookups are repeated, and a node that hangs must
/// not use up the time for all of them.
const LOOKUP_TIMEOUT_DIVISOR: u64 = 4;

/// Settings of [`HttpAdminClient`].
#[derive(Clone, Debug)]
pub struct HttpClientSettings {
    /// Admin addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Timeout of one request to one node, in milliseconds.
    pub request_timeout_ms: u64,
    /// Timeout of the connection to one node, in milliseconds. Capped at about half of
    /// `request_timeout_ms`, so that a failed connection is detected before the request times out: a
    /// change may go to the next node only if no connection was made.
    pub connect_timeout_ms: u64,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            request_timeout_ms: 10_000,
            connect_timeout_ms: 1_000,
        }
    }
}

/// [`AdminClient`] that sends HTTP requests to nodes.
#[derive(Debug)]
pub struct HttpAdminClient {
    settings: HttpClientSettings,
    client: Client,
}

/// Error of a request to one node.
enum RequestError {
    /// No byte of the request was sent.
    NotSent(NodeError),
    /// The node may have processed the request, but gave no usable response.
    NoResponse(NodeError),
}

impl RequestError {
    fn into_node_error(self) -> NodeError {
        let (Self::NotSent(node_error) | Self::NoResponse(node_error)) = self;
        node_error
    }
}

impl HttpAdminClient {
    /// Creates a client of the nodes in `settings`. No connection is opened until the first request.
    ///
    /// # Errors
    ///
    /// Fails with [`CommandError::Setup`] if the HTTP client cannot be created.
    pub fn new(settings: HttpClientSettings) -> Result<Self, CommandError> {
        let connect_timeout_ms = settings
            .connect_timeout_ms
            .min(settings.request_timeout_ms / 2 + 1);
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_millis(connect_timeout_ms))
            .build()
            .map_err(|error| CommandError::Setup(root_cause(&error)))?;
        Ok(Self { settings, client })
    }

    async fn send_request(
        &self,
        node: SocketAddr,
        request: RequestBuilder,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Vec<u8>), RequestError> {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let node_error = |reason: String| NodeError { node, reason };
        let exchange = async {
            let response = request.send().await?;
            let status = response.status();
            Ok((status, response.bytes().await?.to_vec()))
        };
        match timeout_at(deadline, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify_send_error(&error, node_error(root_cause(&error)))),
            Err(_) => {
                let reason = format!("no response within {timeout_ms} ms");
                Err(RequestError::NoResponse(node_error(reason)))
            }
        }
    }

    /// Tries the nodes in order and returns the first usable response.
    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, ClientError> {
        let mut node_errors = Vec::new();
        for &node in &self.settings.nodes {
            let response = self.get_json_from(node, path, query, self.settings.request_timeout_ms);
            match response.await {
                Ok(response) => return Ok(response),
                Err(error) => node_errors.push(error.into_node_error()),
            }
        }
        Err(ClientError::Unreachable(node_errors))
    }

    async fn get_json_from<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
        query: &[(&str, String)],
        timeout_ms: u64,
    ) -> Result<T, RequestError> {
        let request = self.client.get(format!("http://{node}{path}")).query(query);
        let (status, body) = self.send_request(node, request, timeout_ms).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let reason = format!("status {status} with an invalid response body: {error}");
            RequestError::NoResponse(NodeError { node, reason })
        })
    }

    async fn post_change(&self, change: &Change) -> Result<ChangeResponse, ClientError> {
        let mut node_errors = Vec::new();
        for &node in &self.settings.nodes {
            let request = self.client.post(format!("http://{node}/v1/changes"));
            let request = request.json(change);
            match self
                .send_request(node, request, self.settings.request_timeout_ms)
                .await
            {
                Ok((status, body)) => return parse_change_response(node, status, &body),
                Err(RequestError::NotSent(node_error)) => node_errors.push(node_error),
                Err(RequestError::NoResponse(node_error)) => {
                    return Err(ClientError::NoResponse(node_error));
                }
            }
        }
        Err(ClientError::Unreachable(node_errors))
    }

    /// Queries all nodes concurrently, so that one that hangs does not delay the others.
    ///
    /// "Not yet known" takes precedence over "not accepted", because it may come from the node that
    /// is still writing the change. A node that accepts the connection but gives no usable response
    /// turns "not accepted" into "not yet known" too: a paused process may write the change when it
    /// resumes. A node that accepts no connection is ignored.
    async fn look_up_on_all_nodes(&self, change_id: &str) -> Result<LookupResponse, ClientError> {
        let path = format!("/v1/changes/{change_id}");
        let timeout_ms = self.settings.request_timeout_ms / LOOKUP_TIMEOUT_DIVISOR;
        let nodes = self.settings.nodes.iter();
        let mut responses: FuturesUnordered<_> = nodes
            .map(|&node| self.get_json_from(node, &path, &[], timeout_ms))
            .collect();
        let mut node_errors = Vec::new();
        let (mut not_accepted, mut not_yet_known, mut any_unanswered) = (None, None, false);
        while let Some(response) = responses.next().await {
            match response {
                Ok(LookupResponse::Accepted { version }) => {
                    return Ok(LookupResponse::Accepted { version });
                }
                Ok(response @ LookupResponse::NotAccepted) => not_accepted = Some(response),
                Ok(response @ LookupResponse::NotYetKnown { .. }) => not_yet_known = Some(response),
                Err(error) => {
                    any_unanswered |= matches!(error, RequestError::NoResponse(_));
                    node_errors.push(error.into_node_error());
                }
            }
        }
        if any_unanswered && not_accepted.is_some() {
            let change_id = change_id.to_owned();
            return Ok(LookupResponse::NotYetKnown { change_id });
        }
        not_yet_known
            .or(not_accepted)
            .ok_or(ClientError::Unreachable(node_errors))
    }
}

fn classify_send_error(error: &reqwest::Error, node_error: NodeError) -> RequestError {
    if error.is_connect() || error.is_builder() {
        RequestError::NotSent(node_error)
    } else {
        RequestError::NoResponse(node_error)
    }
}

/// Returns the innermost cause, which describes the failed system call; the outer errors repeat
/// the address.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn parse_change_response(
    node: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<ChangeResponse, ClientError> {
    if let Ok(response) = serde_json::from_slice(body) {
        return Ok(response);
    }
    let reason = format!("{node}: status {status}: {}", String::from_utf8_lossy(body));
    if status.is_client_error() {
        // The HTTP layer of the node rejected the request before it processed the change.
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
        self.post_change(change).boxed()
    }

    fn look_up<'a>(
        &'a self,
        change_id: &'a str,
    ) -> BoxFuture<'a, Result<LookupResponse, ClientError>> {
        self.look_up_on_all_nodes(change_id).boxed()
    }

    fn records<'a>(
        &'a self,
        filter: RecordFilter<'a>,
    ) -> BoxFuture<'a, Result<RecordsResponse, ClientError>> {
        async move {
            let parameters = [("kind", filter.kind), ("name", filter.name)];
            let query: Vec<(&str, String)> = parameters
                .into_iter()
                .filter_map(|(key, value)| Some((key, value?.to_owned())))
                .collect();
            self.get_json("/v1/records", &query).await
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
            self.get_json("/v1/history", &query).await
        }
        .boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<StatusResponse, ClientError>> {
        self.get_json("/v1/status", &[]).boxed()
    }
}
