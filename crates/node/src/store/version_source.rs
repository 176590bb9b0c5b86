//! The sources that new versions are read from: the configuration feed, or the head of the store.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_records::ConfigSnapshot;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use super::catch_up::{CatchUpError, catch_up, latest_version, read_head};
use crate::adapters::{ConfigFeed, FeedAnswer};
use crate::config::{ConfigActor, FeedDelta, OfferFeedSnapshot};
use crate::context::NodeContext;
use crate::metrics::NodeMetrics;

/// Delay before a version found in the store is read, so that it can arrive over the dissemination
/// tree. Without the delay, most changes would be sent through each region twice.
const TREE_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// A version that was read and offered to the config actor.
#[derive(Clone, Debug)]
pub(crate) struct NewVersion {
    pub(crate) version: u64,
    /// Compressed delta from the version before it.
    pub(crate) delta: Vec<u8>,
}

/// Where a reader finds versions that are new to this node.
pub(crate) trait VersionSource: Debug + Send + Sync {
    /// Offers new versions to the config actor and returns them, oldest first. Waits up to `wait` for
    /// the first one, so that reads with a wait need no pause between them.
    ///
    /// # Errors
    ///
    /// Fails if the source does not answer by `deadline` or returns data that cannot be used.
    fn read_new(
        &self,
        wait: Duration,
        deadline: Instant,
    ) -> BoxFuture<'static, Result<Vec<NewVersion>, CatchUpError>>;
}

/// Long-polls the configuration feed, a source of complete snapshots.
#[derive(Clone, Debug)]
pub(crate) struct FeedSource {
    pub(crate) feed: Arc<dyn ConfigFeed>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) metrics: NodeMetrics,
}

impl FeedSource {
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

    async fn offer(&self, snapshot: ConfigSnapshot) -> Result<Vec<NewVersion>, CatchUpError> {
        let version = snapshot.version();
        let offered = self.config.ask(OfferFeedSnapshot(snapshot)).await;
        let FeedDelta(delta) = offered.map_err(|_| CatchUpError::Stopping)?;
        let new_version = delta.map(|delta| NewVersion { version, delta });
        Ok(new_version.into_iter().collect())
    }
}

impl VersionSource for FeedSource {
    fn read_new(
        &self,
        wait: Duration,
        deadline: Instant,
    ) -> BoxFuture<'static, Result<Vec<NewVersion>, CatchUpError>> {
        let source = self.clone();
        Box::pin(async move {
            let started_at = Instant::now();
            let answer = source.feed.next(wait, deadline).await?;
            source.report_answer(&answer, started_at);
            match answer.newest {
                Some(snapshot) => source.offer(snapshot).await,
                None => Ok(Vec::new()),
            }
        })
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
    async fn poll(&self) -> Result<Vec<NewVersion>, CatchUpError> {
        let (head, _) = read_head(&self.context).await?;
        if latest_version(&self.config).await? >= head.version {
            return Ok(Vec::new());
        }
        sleep(TREE_GRACE_PERIOD).await;
        let deltas = catch_up(&self.context, &self.config, &head).await?;
        let new_versions = deltas
            .into_iter()
            .map(|(version, delta)| NewVersion { version, delta });
        Ok(new_versions.collect())
    }
}

/// A random duration around `wait`, so that readers do not poll at the same time. The range is narrow
/// because the heartbeats of a leading reader follow its polls.
fn with_jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.75..1.25))
}

impl VersionSource for HeadSource {
    fn read_new(
        &self,
        wait: Duration,
        deadline: Instant,
    ) -> BoxFuture<'static, Result<Vec<NewVersion>, CatchUpError>> {
        let source = self.clone();
        Box::pin(async move {
            sleep(with_jitter(wait)).await;
            timeout_at(deadline, source.poll())
                .await
                .unwrap_or(Err(CatchUpError::DeadlinePassed))
        })
    }
}
