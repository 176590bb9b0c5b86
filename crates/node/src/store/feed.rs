//! Follows a source of whole versions when this node is one of its readers.
//!
//! A few nodes of each region wait for the next version and spread it as a delta. A wrong view of
//! the membership makes one node more wait, or one less until the view is right again.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_control::{DisseminationRequest, DisseminationScope, JoinState};
use agatedeck_records::ConfigSnapshot;
use agatedeck_store::StoreError;
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::borders::ConfigFeed;
use crate::config::{ConfigActor, FeedDelta, OfferFeedSnapshot};
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};

/// Pause before a node that is not a reader looks again whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which one request waits for the next version. Each request is billed, and one that has
/// gone silent is noticed only at its end.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);

/// Time allowed for the answer beyond the wait.
const LONG_POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// First and longest pause after failed requests.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// What a follower of the feed works with.
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
    // Until the node serves, its join reads the source and the other nodes are not known. Each node
    // of a fleet that starts together would take itself for a reader and pass the version on to all.
    let mut phase = follower.context.phase.clone();
    if phase
        .wait_for(|phase| *phase == JoinState::Serving)
        .await
        .is_err()
    {
        return;
    }
    loop {
        if !follower.is_reader() {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match follower.poll_next_version().await {
            Ok(snapshot) => {
                if std::mem::take(&mut unavailable) {
                    log::info!(event = "feed-regained"; "the source of versions answers again");
                }
                backoff = INITIAL_BACKOFF;
                if let Some(snapshot) = snapshot {
                    follower.offer_and_disseminate(snapshot).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut unavailable, true) {
                    log::warn!(event = "feed-lost"; "the source of versions does not answer: {error}");
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
        let interval = context.policy.poll_interval(&context.table(), &context.own);
        interval.is_some()
    }

    async fn poll_next_version(&self) -> Result<Option<ConfigSnapshot>, StoreError> {
        let deadline = Instant::now() + LONG_POLL_WAIT + LONG_POLL_ANSWER_TIMEOUT;
        self.feed.next(LONG_POLL_WAIT, deadline).await
    }

    /// Puts a version on its way into force here and, if it is new, to other nodes.
    async fn offer_and_disseminate(&self, snapshot: ConfigSnapshot) {
        let version = snapshot.version();
        // The keeper is gone only when the node is stopping.
        let offered = self.config.ask(OfferFeedSnapshot(snapshot)).await;
        let Ok(FeedDelta(Some(delta))) = offered else {
            return;
        };
        // Readers in the region of the source also cover the regions whose own readers are cut off.
        // Where the source stands is not always known, and then all of them do. A node that has the
        // version passes nothing on.
        let store_region = &self.context.settings.store.region;
        let scope = if store_region.is_empty() || *store_region == self.context.own.region {
            DisseminationScope::AllRegions
        } else {
            DisseminationScope::Region
        };
        let request = DisseminationRequest {
            salt: version,
            scope,
        };
        let payload = DisseminationPayload::Version { version, delta };
        // The relay is gone only when the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }
}
