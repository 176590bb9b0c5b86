//! The configuration that this node holds.

mod keeper;

pub(crate) use keeper::{
    ConfigKeeper, NoteAhead, OfferSnapshot, OfferVersion, PullNow, PullVersions, RaiseFloor,
    ReadHeld,
};
