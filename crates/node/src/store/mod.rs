//! Reading versions from the platform's store and writing them to it.

mod acceptor;
mod feed;
mod fetch;
mod reader;

pub(crate) use acceptor::{AcceptChange, AcceptReply, ChangeAcceptor, LookedUp, look_up};
pub(crate) use feed::{FeedFollower, run_feed};
pub(crate) use fetch::{CatchUpError, catch_up, read_head};
pub(crate) use reader::{StoreReader, run_reader};
