//! The sources that new versions are read from: the configuration feed, or the head of the store.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::RolloutOrder;
use agatedeck_clock::Instant as ClockInstant;
use agatedeck_control::ReadProgress;
use agatedeck_records::ConfigSnapshot;
use agatedeck_wire::Head;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use super::catch_up::{CatchUpError, NewVersion, catch_up, latest_version, read_head};
use crate::adapters::{ConfigFeed, FeedAnswer, FeedPosition};
use crate::clock::BootClock;
use crate::config::{ConfigActor, FeedDelta, OfferFeedSnapshot};
use crate::context::NodeContext;
use crate::metrics::NodeMetrics;

/// Delay before a version found in the store is read, so that it can arrive over the dissemination
/// tree. Without the delay, most changes would be sent through each region twice.
const TREE_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Offers what was read to the config actor. Returns the versions that are new to this node, oldest
/// first.
pub(crate) type VersionHandover = BoxFuture<'static, Result<Vec<NewVersion>, CatchUpError>>;

/// Answer of a source of versions.
pub(crate) struct SourceAnswer {
    /// Position after what was read; `None` if the source has no positions.
    pub(crate) position: Option<FeedPosition>,
    pub(crate) progress: ReadProgress,
    /// The newest version that the answer shows or this node holds.
    pub(crate) version: u64,
    /// When the read began, if the answer shows that no newer version existed then. By [`BootClock`].
    pub(crate) current_at: Option<ClockInstant>,
    /// Orders to roll out a version, oldest first; `None` if the answer leaves out earlier changes, and so
    /// does not tell whether there are some.
    pub(crate) orders: Option<Vec<RolloutOrder>>,
    /// Must be driven to its end once the next read begins after `position`. `None` if nothing is new.
    pub(crate) handover: Option<VersionHandover>,
}

/// A read of a source of versions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SourceRead {
    /// Position after which to read; `None` to read the newest version.
    pub(crate) after: Option<FeedPosition>,
    /// Longest time to wait for the first new version, so that reads with a wait need no pause between
    /// them.
    pub(crate) wait: Duration,
    pub(crate) deadline: Instant,
}

/// Where a reader finds versions that are new to this node.
pub(crate) trait VersionSource: Debug + Send + Sync {
    /// Asks for new versions. The returned future has no effect on the node until it ends, so a read may
    /// be dropped.
    ///
    /// # Errors
    ///
    /// Fails if the source does not answer by the deadline or returns data that cannot be used.
    fn read(&self, read: SourceRead) -> BoxFuture<'static, Result<SourceAnswer, CatchUpError>>;
}

/// Long-polls the configuration feed, a source of complete snapshots.
#[derive(Clone, Debug)]
pub(crate) struct FeedSource {
    pub(crate) feed: Arc<dyn ConfigFeed>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) metrics: NodeMetrics,
}

impl FeedSource {
    async fn request(&self, read: SourceRead) -> Result<SourceAnswer, CatchUpError> {
        let began_at = BootClock::now();
        let started_at = Instant::now();
        let answer = match read.after {
            Some(after) => self.feed.next(after, read.wait, read.deadline).await?,
            None => self.feed.newest(read.deadline).await?,
        };
        self.report_answer(&answer, started_at);
        if answer.is_rejected && read.after.is_none() {
            return Err(CatchUpError::Rejected);
        }
        // An answer without a version shows that the one before its position is the newest.
        let held = latest_version(&self.config).await?;
        let newest = answer.newest.as_ref().map(ConfigSnapshot::version);
        let version = newest.unwrap_or_default().max(held);
        let current_at = answer.shows_newest.then_some(began_at);
        let orders = (read.after.is_some() && !answer.skips_changes).then_some(answer.orders);
        let handover = answer
            .newest
            .map(|snapshot| offer_snapshot(self.config.clone(), snapshot).boxed());
        let progress = if answer.configurations > 1 {
            ReadProgress::Behind
        } else {
            ReadProgress::Current
        };
        Ok(SourceAnswer {
            position: Some(answer.position),
            progress,
            version,
            current_at,
            orders,
            handover,
        })
    }

    fn report_answer(&self, answer: &FeedAnswer, started_at: Instant) {
        self.metrics.count_feed_answer(answer);
        let Some(newest) = &answer.newest else {
            return;
        };
        let version = newest.version();
        log::info!(
            event = "version-read",
            version,
            configurations = answer.configurations,
            bytes = answer.bytes,
            took_ms = started_at.elapsed().as_millis();
            "read version {version} from the feed"
        );
    }
}

async fn offer_snapshot(
    config: ActorRef<ConfigActor>,
    snapshot: ConfigSnapshot,
) -> Result<Vec<NewVersion>, CatchUpError> {
    let version = snapshot.version();
    let offered = config.ask(OfferFeedSnapshot(snapshot)).await;
    let FeedDelta(delta) = offered.map_err(|_| CatchUpError::Stopping)?;
    let new_version = delta.map(|delta| NewVersion { version, delta });
    Ok(new_version.into_iter().collect())
}

impl VersionSource for FeedSource {
    fn read(&self, read: SourceRead) -> BoxFuture<'static, Result<SourceAnswer, CatchUpError>> {
        let source = self.clone();
        Box::pin(async move { source.request(read).await })
    }
}

/// Polls the head row of the store. Finds versions that the node which committed them could not
/// disseminate.
#[derive(Clone, Debug)]
pub(crate) struct HeadSource {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
}

impl HeadSource {
    async fn poll(self, deadline: Instant) -> Result<SourceAnswer, CatchUpError> {
        let began_at = BootClock::now();
        let (head, _) = read_head(&self.context).await?;
        let version = head.version;
        let is_new = latest_version(&self.config).await? < head.version;
        let handover = is_new.then(|| self.fetch(head, deadline).boxed());
        Ok(SourceAnswer {
            position: None,
            // The handover reads all versions up to the head.
            progress: ReadProgress::Current,
            version,
            current_at: Some(began_at),
            orders: Some(Vec::new()),
            handover,
        })
    }

    async fn fetch(self, head: Head, deadline: Instant) -> Result<Vec<NewVersion>, CatchUpError> {
        sleep(TREE_GRACE_PERIOD).await;
        let mut new_versions = Vec::new();
        let caught_up = catch_up(&self.context, &self.config, &head, &mut new_versions);
        match by_deadline(deadline, caught_up).await {
            // The versions that were read are held here, so no later read returns them.
            Err(error) if !new_versions.is_empty() => {
                log::warn!(event = "head-unread"; "could not read all versions: {error}");
                Ok(new_versions)
            }
            result => result.map(|()| new_versions),
        }
    }
}

async fn by_deadline<T>(
    deadline: Instant,
    request: impl Future<Output = Result<T, CatchUpError>>,
) -> Result<T, CatchUpError> {
    timeout_at(deadline, request)
        .await
        .unwrap_or(Err(CatchUpError::DeadlinePassed))
}

/// A random duration around `wait`, so that readers do not poll at the same time. The range is narrow
/// because the heartbeats of a leading reader follow its polls.
fn with_jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.75..1.25))
}

impl VersionSource for HeadSource {
    fn read(&self, read: SourceRead) -> BoxFuture<'static, Result<SourceAnswer, CatchUpError>> {
        let source = self.clone();
        Box::pin(async move {
            sleep(with_jitter(read.wait)).await;
            by_deadline(read.deadline, source.poll(read.deadline)).await
        })
    }
}
