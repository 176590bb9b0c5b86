//! The configuration replica of this node.

mod actor;
mod pull;

pub(crate) use actor::{
    AnswerPull, ConfigActor, FeedDelta, ObservePeerVersion, OfferFeedSnapshot, OfferSnapshot,
    OfferVersion, PullFromPeers, RaiseFloor, ReadLatest,
};
