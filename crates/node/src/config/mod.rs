//! The configuration that this node holds.

mod keeper;

pub(crate) use keeper::{
    ConfigKeeper, NoteAhead, OfferSnapshot, OfferSource, OfferVersion, PullNow, PullVersions,
    RaiseFloor, ReadHeld, SourceDelta,
};
