//! The configuration that this node holds.

mod actor;

pub(crate) use actor::{
    AnswerPull, ConfigActor, FeedDelta, ObservePeerVersion, OfferFeedSnapshot, OfferSnapshot,
    OfferVersion, PullFromPeers, RaiseFloor, ReadLatest,
};
