//! The store: the operator's versions, the feed, and how it treats each host.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::ReadProgress;
use agatedeck_records::ConfigSnapshot;

use crate::settings::ConfigSize;

/// How the store treats the calls of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreTreatment {
    Answers,
    /// Neither answers nor refuses.
    Silent,
    /// Refuses each call at once.
    Refuses,
}

/// A read that waits at the store for a new version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedWatch {
    pub(crate) read: ReadCall,
    pub(crate) after: u64,
}

/// A read of the feed on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ReadCall {
    pub(crate) host: usize,
    pub(crate) process_number: u64,
    pub(crate) number: u64,
    /// Position after which to read; `None` for the newest version alone.
    pub(crate) after: Option<u64>,
    pub(crate) wait: Duration,
    /// Whether a node that has just started reads, which disseminates nothing.
    pub(crate) is_join: bool,
}

/// An answer of the feed.
#[derive(Clone, Debug)]
pub(crate) struct FeedPage {
    pub(crate) position: u64,
    pub(crate) newest: Option<Arc<ConfigSnapshot>>,
    pub(crate) progress: ReadProgress,
    pub(crate) bytes: usize,
}

/// The store. The position of a version in the feed is its number.
#[derive(Debug)]
pub(crate) struct StoreModel {
    config_size: ConfigSize,
    versions: Vec<Arc<ConfigSnapshot>>,
    /// Reads after an earlier position are told to read the newest version.
    history_from: u64,
    /// Whether watches hear of no new version.
    pub(crate) watches_are_deaf: bool,
    pub(crate) treatments: Vec<StoreTreatment>,
    pub(crate) operator_is_served: bool,
    pub(crate) answer_time: Duration,
    watches: Vec<FeedWatch>,
    /// Calls that reached the store.
    pub(crate) calls: usize,
    /// Disturbances in progress that leave a bound, and that leave none.
    pub(crate) disturbances: usize,
    pub(crate) outages: usize,
    pub(crate) disturbed_until: Instant,
    pub(crate) outage_until: Instant,
}

impl StoreModel {
    pub(crate) fn new(
        first: Arc<ConfigSnapshot>,
        hosts: usize,
        config_size: ConfigSize,
        answer_time: Duration,
    ) -> Self {
        Self {
            config_size,
            versions: vec![first],
            history_from: 0,
            watches_are_deaf: false,
            treatments: vec![StoreTreatment::Answers; hosts],
            operator_is_served: true,
            answer_time,
            watches: Vec::new(),
            calls: 0,
            disturbances: 0,
            outages: 0,
            disturbed_until: Instant::default(),
            outage_until: Instant::default(),
        }
    }

    pub(crate) fn newest(&self) -> &Arc<ConfigSnapshot> {
        self.versions
            .last()
            .unwrap_or_else(|| unreachable!("the first version is never removed"))
    }

    /// Writes a version; returns the watches that it answers.
    pub(crate) fn write(&mut self, snapshot: Arc<ConfigSnapshot>) -> Vec<FeedWatch> {
        self.versions.push(snapshot);
        self.take_watches()
    }

    /// Removes the watches that have something to tell.
    pub(crate) fn take_watches(&mut self) -> Vec<FeedWatch> {
        if self.watches_are_deaf {
            return Vec::new();
        }
        let newest = self.newest().version();
        let answered = self.watches.extract_if(.., |watch| watch.after < newest);
        answered.collect()
    }

    /// Removes all watches.
    pub(crate) fn drop_watches(&mut self) -> Vec<FeedWatch> {
        std::mem::take(&mut self.watches)
    }

    pub(crate) fn add_watch(&mut self, watch: FeedWatch) {
        self.watches.push(watch);
    }

    /// Removes the watch of a read; `None` if it has been answered.
    pub(crate) fn end_watch(&mut self, read: &ReadCall) -> Option<FeedWatch> {
        let index = self.watches.iter().position(|watch| watch.read == *read)?;
        Some(self.watches.swap_remove(index))
    }

    pub(crate) fn drop_history(&mut self) {
        self.history_from = self.newest().version();
    }

    /// Whether the history after a position is still there.
    pub(crate) fn has_history(&self, after: u64) -> bool {
        after >= self.history_from
    }

    /// The page of versions after a position; the newest version alone for `None`.
    pub(crate) fn page(&self, after: Option<u64>) -> FeedPage {
        let size = &self.config_size;
        let Some(after) = after else {
            let newest = Arc::clone(self.newest());
            return FeedPage {
                position: newest.version(),
                newest: Some(newest),
                progress: ReadProgress::Current,
                bytes: size.feed_bytes,
            };
        };
        let unread = self.versions.iter().filter(|one| one.version() > after);
        let max_count = size.page_bytes.div_ceil(size.feed_bytes).max(1);
        let page: Vec<&Arc<ConfigSnapshot>> = unread.take(max_count).collect();
        let newest = page.last().map(|newest| Arc::clone(newest));
        FeedPage {
            position: newest.as_ref().map_or(after, |newest| newest.version()),
            progress: if page.len() > 1 {
                ReadProgress::Behind
            } else {
                ReadProgress::Current
            },
            bytes: page.len() * size.feed_bytes,
            newest,
        }
    }
}
