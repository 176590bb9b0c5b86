//! What every client that speaks HTTP with a store has in common.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use crate::store::StoreError;

/// An answer as a store gave it.
pub type StoreResponse = (StatusCode, Vec<u8>);

/// Sends a request and reads the whole answer before the deadline. `failure` tells which statuses say
/// that the store did nothing, or leave open what it did.
///
/// # Errors
///
/// Fails if there is no whole answer, or with what `failure` says of its status.
pub async fn send_request(
    request: RequestBuilder,
    deadline: Instant,
    status_error: fn(StatusCode) -> Option<StoreError>,
) -> Result<StoreResponse, StoreError> {
    let response = async {
        let response = request
            .send()
            .await
            .map_err(|error| classify_send_error(&error))?;
        let (status, body) = read_body(response).await?;
        status_error(status).map_or(Ok((status, body)), Err)
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

/// Decodes the JSON body of an answer.
///
/// # Errors
///
/// Fails if the body is no such JSON.
pub fn decode_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

/// Decodes the value of a row from base64.
///
/// # Errors
///
/// Fails if the text is no base64.
pub fn decode_value(text: &str) -> Result<Vec<u8>, StoreError> {
    let value = BASE64_STANDARD.decode(text);
    value.map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

/// The error for a status that the protocol does not name.
pub fn unexpected_status(status: StatusCode) -> StoreError {
    StoreError::InvalidResponse(format!("status {status}"))
}

/// The object that a read was answered with, if there is one.
///
/// # Errors
///
/// Fails on a status that the protocol does not name.
pub fn read_object_response((status, body): StoreResponse) -> Result<Option<Vec<u8>>, StoreError> {
    match status {
        StatusCode::OK => Ok(Some(body)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(unexpected_status(status)),
    }
}

/// Whether a write of an object was answered with success.
///
/// # Errors
///
/// Fails on every other status.
pub fn check_write_response((status, _): StoreResponse) -> Result<(), StoreError> {
    if status.is_success() {
        Ok(())
    } else {
        Err(unexpected_status(status))
    }
}
