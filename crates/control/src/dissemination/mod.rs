//! Dissemination: to which nodes a node forwards a version or a rumor.

mod hedging;
mod policy;
mod relay_log;

pub use hedging::{LikelySilence, PlannedHop, plan_hops};
pub use policy::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, StorePolling,
    TreeDissemination,
};
pub use relay_log::{RelayLog, RelaySettings, RelayedPayload};
