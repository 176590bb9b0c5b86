//! Client of the platform's protocol: JSON over HTTP, with row values in base64.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use futures::future::BoxFuture;
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http_exchange::{
    check_write_response, decode_json, decode_value, read_object_response, send_request,
    unexpected_status,
};
use crate::store::{
    PlatformStore, RowCondition, RowWrite, StoreError, StoreTransaction, StoredRow,
    TransactionOutcome,
};

/// Settings of [`HttpStore`].
#[derive(Clone, Debug)]
pub struct HttpStoreSettings {
    /// Base URL, as `http://IP:PORT`.
    pub base_url: String,
    /// Maximum number of idle connections kept open.
    pub idle_connections: usize,
}

impl Default for HttpStoreSettings {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7400".to_owned(),
            idle_connections: 4,
        }
    }
}

/// A [`PlatformStore`] over the platform's HTTP protocol.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    base_url: String,
}

#[derive(Deserialize)]
struct RowBody {
    key: String,
    value: String,
    revision: u64,
}

#[derive(Deserialize)]
struct RowsBody {
    rows: Vec<RowBody>,
}

#[derive(Serialize)]
struct TransactionBody<'a> {
    conditions: Vec<ConditionBody<'a>>,
    writes: Vec<WriteBody<'a>>,
}

#[derive(Serialize)]
struct ConditionBody<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct WriteBody<'a> {
    key: &'a str,
    value: Option<String>,
}

#[derive(Deserialize)]
struct CommittedBody {
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    failed: Vec<String>,
}

impl HttpStore {
    /// Creates a client. No connection is opened until the first request.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(settings: &HttpStoreSettings) -> Result<Self, StoreError> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(settings.idle_connections)
            .build()
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        Ok(Self {
            client,
            base_url: settings.base_url.trim_end_matches('/').to_owned(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

/// Returns the error for a status that means that the request did not run or that its outcome is
/// unknown.
fn status_error(status: StatusCode) -> Option<StoreError> {
    match status {
        // The platform returns 503 only before it runs a request.
        StatusCode::SERVICE_UNAVAILABLE => {
            Some(StoreError::Unreachable(format!("status {status}")))
        }
        status if status.is_server_error() => {
            Some(StoreError::Unanswered(format!("status {status}")))
        }
        _ => None,
    }
}

impl TryFrom<RowBody> for StoredRow {
    type Error = StoreError;

    fn try_from(body: RowBody) -> Result<Self, StoreError> {
        Ok(Self {
            value: decode_value(&body.value)?,
            key: body.key,
            revision: body.revision,
        })
    }
}

impl<'a> From<&'a StoreTransaction> for TransactionBody<'a> {
    fn from(transaction: &'a StoreTransaction) -> Self {
        let condition = |condition: &'a RowCondition| ConditionBody {
            key: &condition.key,
            revision: condition.revision,
        };
        let write = |write: &'a RowWrite| WriteBody {
            key: &write.key,
            value: write
                .value
                .as_ref()
                .map(|value| BASE64_STANDARD.encode(value)),
        };
        Self {
            conditions: transaction.conditions.iter().map(condition).collect(),
            writes: transaction.writes.iter().map(write).collect(),
        }
    }
}

impl PlatformStore for HttpStore {
    fn read_row<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<StoredRow>, StoreError>> {
        Box::pin(async move {
            let request = self
                .client
                .get(self.url("/table/row"))
                .query(&[("key", key)]);
            match send_request(request, deadline, status_error).await? {
                (StatusCode::OK, body) => decode_json::<RowBody>(&body)?.try_into().map(Some),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, _) => Err(unexpected_status(status)),
            }
        })
    }

    fn scan_rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Vec<StoredRow>, StoreError>> {
        Box::pin(async move {
            let limit = limit.to_string();
            let query = [
                ("prefix", prefix),
                ("after", after),
                ("limit", limit.as_str()),
            ];
            let request = self.client.get(self.url("/table/rows")).query(&query);
            match send_request(request, deadline, status_error).await? {
                (StatusCode::OK, body) => decode_json::<RowsBody>(&body)?
                    .rows
                    .into_iter()
                    .map(TryInto::try_into)
                    .collect(),
                (status, _) => Err(unexpected_status(status)),
            }
        })
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>> {
        Box::pin(async move {
            let body = TransactionBody::from(transaction);
            let request = self.client.post(self.url("/table/transaction")).json(&body);
            match send_request(request, deadline, status_error).await? {
                (StatusCode::OK, body) => Ok(TransactionOutcome::Committed(
                    decode_json::<CommittedBody>(&body)?.revision,
                )),
                (StatusCode::CONFLICT, body) => Ok(TransactionOutcome::Conflict(
                    decode_json::<ConflictBody>(&body)?.failed,
                )),
                (status, _) => Err(unexpected_status(status)),
            }
        })
    }

    fn read_object<'a>(
        &'a self,
        key: &'a str,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, StoreError>> {
        Box::pin(async move {
            let request = self.client.get(self.url("/object")).query(&[("key", key)]);
            read_object_response(send_request(request, deadline, status_error).await?)
        })
    }

    fn write_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let request = self.client.put(self.url("/object")).query(&[("key", key)]);
            let request = request.body(value.to_vec());
            check_write_response(send_request(request, deadline, status_error).await?)
        })
    }
}
