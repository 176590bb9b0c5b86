//! To whom a node passes on what it received.

mod policy;

pub use policy::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, StorePolling,
    TreeDissemination,
};
