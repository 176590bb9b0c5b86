//! Dissemination: to which nodes a node forwards a version or a rumor.

mod policy;
mod relay_log;

pub use policy::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, StorePolling,
    TreeDissemination,
};
pub use relay_log::{RelayLog, RelaySettings, RelayedPayload};
