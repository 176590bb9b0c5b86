//! Follows the configuration feed, a source of complete snapshots, while this node is one of its
//! readers.
//!
//! A few nodes of each region long-poll the next version and disseminate it as a delta. An outdated
//! membership view adds or removes one reader until the view is correct again.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_control::{DisseminationRequest, DisseminationScope, JoinState};
use agatedeck_records::ConfigSnapshot;
use agatedeck_store::StoreError;
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::adapters::ConfigFeed;
use crate::config::{ConfigActor, FeedDelta, OfferFeedSnapshot};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};

/// Interval at which a node that is not a reader checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which one long poll waits for the next version. Each request is billed, which favours a
/// long wait; a dead connection is detected only after the wait, which favours a short one.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);

/// Time allowed for the answer after the long poll wait has ended.
const LONG_POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after the first failed request, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum pause after failed requests, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Dependencies of the task that follows the feed.
#[derive(Clone)]
pub(crate) struct FeedFollower {
    pub(crate) context: NodeContext,
    pub(crate) feed: Arc<dyn ConfigFeed>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
}

/// Follows the feed until the task is aborted.
pub(crate) async fn run_feed(follower: FeedFollower) {
    let mut backoff = INITIAL_BACKOFF;
    let mut unavailable = false;
    // Before the node serves, the join reads the feed and the other nodes are unknown. If all nodes
    // started together, each would consider itself a reader and disseminate the version to all.
    let mut phase = follower.context.phase.clone();
    if phase
        .wait_for(|phase| *phase == JoinState::Serving)
        .await
        .is_err()
    {
        return;
    }
    let mut was_reader = false;
    loop {
        let is_reader = follower.is_reader();
        if is_reader != std::mem::replace(&mut was_reader, is_reader) {
            log::info!(event = "feed-reader", reads = is_reader; "reads the configuration feed: {is_reader}");
        }
        if !is_reader {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match follower.poll_next_version().await {
            Ok(snapshot) => {
                if std::mem::take(&mut unavailable) {
                    log::info!(event = "feed-regained"; "the configuration feed answers again");
                }
                backoff = INITIAL_BACKOFF;
                if let Some(snapshot) = snapshot {
                    follower.offer_and_disseminate(snapshot).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut unavailable, true) {
                    log::warn!(event = "feed-lost"; "the configuration feed does not answer: {error}");
                }
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                sleep(pause).await;
                backoff = backoff.saturating_mul(2).min(MAX_BACKOFF);
            }
        }
    }
}

impl FeedFollower {
    fn is_reader(&self) -> bool {
        let context = &self.context;
        let interval = context
            .dissemination_policy
            .poll_interval(&context.table(), &context.local_member);
        interval.is_some()
    }

    async fn poll_next_version(&self) -> Result<Option<ConfigSnapshot>, StoreError> {
        let deadline = Instant::now() + LONG_POLL_WAIT + LONG_POLL_ANSWER_TIMEOUT;
        self.feed.next(LONG_POLL_WAIT, deadline).await
    }

    /// Offers a version to the config actor and disseminates it if it is new.
    async fn offer_and_disseminate(&self, snapshot: ConfigSnapshot) {
        let version = snapshot.version();
        // The send fails only while the node is stopping.
        let offered = self.config.ask(OfferFeedSnapshot(snapshot)).await;
        let Ok(FeedDelta(Some(delta))) = offered else {
            return;
        };
        // Readers in the region of the store disseminate to all regions, so that regions whose own
        // readers are cut off also receive the version. If the region of the store is unknown, all
        // readers do so. A node that already has the version does not forward it.
        let store_region = &self.context.settings.store.region;
        let scope = if store_region.is_empty() || *store_region == self.context.local_member.region
        {
            DisseminationScope::AllRegions
        } else {
            DisseminationScope::Region
        };
        let request = DisseminationRequest {
            salt: version,
            scope,
        };
        let payload = DisseminationPayload::Version { version, delta };
        // The send fails only while the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }
}
