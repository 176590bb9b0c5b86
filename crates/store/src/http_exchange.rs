//! Sending of requests and decoding of responses, shared by the HTTP clients of stores.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use crate::store::StoreError;

/// Status and body of a store's response.
pub type StoreResponse = (StatusCode, Vec<u8>);

/// Sends a request and reads the complete response before the deadline. `status_error` returns the
/// error for a status that means that the request did not run or that its outcome is unknown.
///
/// # Errors
///
/// Fails if no complete response arrives before the deadline, or with the error that `status_error`
/// returns for its status.
pub async fn send_request(
    request: RequestBuilder,
    deadline: Instant,
    status_error: fn(StatusCode) -> Option<StoreError>,
) -> Result<StoreResponse, StoreError> {
    let response = send_request_for_headers(request, deadline, status_error).await?;
    Ok(response.1)
}

/// As [`send_request`], and returns the headers of the response too.
///
/// # Errors
///
/// As [`send_request`].
pub async fn send_request_for_headers(
    request: RequestBuilder,
    deadline: Instant,
    status_error: fn(StatusCode) -> Option<StoreError>,
) -> Result<(HeaderMap, StoreResponse), StoreError> {
    let response = async {
        let response = request
            .send()
            .await
            .map_err(|error| classify_send_error(&error))?;
        let headers = response.headers().clone();
        let (status, body) = read_body(response).await?;
        status_error(status).map_or(Ok((headers, (status, body))), Err)
    };
    match timeout_at(deadline, response).await {
        Ok(response) => response,
        Err(_) => Err(StoreError::Unanswered("the deadline passed".to_owned())),
    }
}

async fn read_body(response: Response) -> Result<StoreResponse, StoreError> {
    let status = response.status();
    let body = response.bytes().await;
    let body = body.map_err(|error| StoreError::Unanswered(error.to_string()))?;
    Ok((status, body.to_vec()))
}

fn classify_send_error(error: &reqwest::Error) -> StoreError {
    if error.is_connect() || error.is_builder() {
        StoreError::Unreachable(error.to_string())
    } else {
        StoreError::Unanswered(error.to_string())
    }
}

/// Decodes the JSON body of a response.
///
/// # Errors
///
/// Fails with [`StoreError::InvalidResponse`] if the body is not JSON of the expected structure.
pub fn decode_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

/// Decodes the value of a row from base64.
///
/// # Errors
///
/// Fails with [`StoreError::InvalidResponse`] if the text is not base64.
pub fn decode_value(text: &str) -> Result<Vec<u8>, StoreError> {
    let value = BASE64_STANDARD.decode(text);
    value.map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

/// Returns the error for a status that the protocol does not define.
pub fn unexpected_status(status: StatusCode) -> StoreError {
    StoreError::InvalidResponse(format!("status {status}"))
}

/// Returns the object in the response to a read, or `None` if it does not exist.
///
/// # Errors
///
/// Fails on a status that the protocol does not define.
pub fn read_object_response((status, body): StoreResponse) -> Result<Option<Vec<u8>>, StoreError> {
    match status {
        StatusCode::OK => Ok(Some(body)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(unexpected_status(status)),
    }
}

/// Checks that the response to a write of an object reports success.
///
/// # Errors
///
/// Fails on a status other than success.
pub fn check_write_response((status, _): StoreResponse) -> Result<(), StoreError> {
    if status.is_success() {
        Ok(())
    } else {
        Err(unexpected_status(status))
    }
}
