//! The configuration that this node holds.

mod actor;

pub(crate) use actor::{
    ConfigActor, NoteAhead, OfferSnapshot, OfferSource, OfferVersion, PullNow, PullVersions,
    RaiseFloor, ReadLatest, SourceDelta,
};
