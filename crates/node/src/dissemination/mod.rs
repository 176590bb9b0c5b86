//! Dissemination of versions, member updates and crash reports to other nodes.

mod relay;

pub(crate) use relay::{DisseminationPayload, DisseminationRelay, StartDissemination};
