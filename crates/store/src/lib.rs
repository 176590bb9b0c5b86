//! Client of the platform's transactional table service and object store.
//!
//! The rest of the system depends only on the trait [`PlatformStore`], so that a test can inject a
//! test double and an adopter can connect another service. `docs/platform.md` describes the
//! protocol of [`HttpStore`].

mod http_exchange;
mod http_store;
mod store;

pub use http_exchange::{
    StoreResponse, check_write_response, decode_json, decode_value, read_object_response,
    send_request, send_request_for_headers, unexpected_status,
};
pub use http_store::{HttpStore, HttpStoreSettings};
pub use store::{
    PlatformStore, RowCondition, RowWrite, StoreError, StoreTransaction, StoredRow,
    TransactionOutcome,
};
