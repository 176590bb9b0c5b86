//! Reading versions from the platform's store or feed and committing changes to the store.

mod catch_up;
mod commit_actor;
mod feed;
mod reader;

pub(crate) use catch_up::{CatchUpError, catch_up, read_head};
pub(crate) use commit_actor::{ChangeLookup, CommitActor, CommitChange, CommitReply, find_change};
pub(crate) use feed::{FeedFollower, run_feed};
pub(crate) use reader::{StoreReader, run_reader};
