//! Reading versions from the platform's store or feed and committing changes to the store.

mod catch_up;
mod commit_actor;
mod reader;
mod version_source;

pub(crate) use catch_up::{CatchUpError, catch_up, read_head};
pub(crate) use commit_actor::{ChangeLookup, CommitActor, CommitChange, CommitReply, find_change};
pub(crate) use reader::{ReaderMessage, ReaderReceiver, ReaderSender, VersionReader, run_reader};
pub(crate) use version_source::{FeedSource, HeadSource, VersionSource};
