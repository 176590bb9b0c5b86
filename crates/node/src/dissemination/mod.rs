//! Passing versions and member updates on to other nodes.

mod relay;

pub(crate) use relay::{DisseminationPayload, DisseminationRelay, StartDissemination};
