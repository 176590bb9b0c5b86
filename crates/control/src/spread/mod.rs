//! To whom a node passes on what it received.

mod policy;

pub use policy::{PollSpread, SpreadDelivery, SpreadOrder, SpreadPolicy, SpreadReach, TreeSpread};
