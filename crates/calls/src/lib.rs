//! Decisions on routing, admission, retries and claims.
