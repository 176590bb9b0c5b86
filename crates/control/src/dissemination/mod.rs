//! Dissemination: to which nodes a node forwards a version or a rumor.

mod policy;

pub use policy::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, StorePolling,
    TreeDissemination,
};
