//! Polls the head of the store while this node is one of its readers.
//!
//! Polling finds versions that the node which committed them could not disseminate. With an
//! outdated membership view, a second node may poll, or none until the view is correct again.

use std::time::Duration;

use agatedeck_control::{DisseminationRequest, DisseminationScope};
use kameo::actor::ActorRef;
use rand::Rng;
use tokio::time::sleep;

use super::catch_up::{CatchUpError, catch_up, latest_version, read_head};
use crate::config::ConfigActor;
use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};

/// Interval at which a node that is not a reader checks whether it has become one, before jitter.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a version found in the store is read, so that it can arrive over the dissemination
/// tree. Without the delay, most changes would be sent through each region twice.
const TREE_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Maximum pause after failed reads, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Dependencies of the task that polls the store.
#[derive(Clone)]
pub(crate) struct StoreReader {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
}

/// Polls until the task is aborted.
pub(crate) async fn run_reader(reader: StoreReader) {
    let mut failures = 0;
    loop {
        let interval = reader.poll_interval();
        let Some(interval) = interval else {
            failures = 0;
            sleep(with_jitter(ROLE_CHECK_INTERVAL)).await;
            continue;
        };
        let backoff = interval
            .saturating_mul(1 << u32::min(failures, 8))
            .min(MAX_BACKOFF);
        sleep(with_jitter(backoff.max(interval))).await;
        match reader.poll().await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                log::warn!(event = "store-unread"; "could not read the store: {error}");
            }
        }
    }
}

/// A random duration from 0.5 to 1.5 times `pause`, so that readers do not poll at the same time.
fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

impl StoreReader {
    fn poll_interval(&self) -> Option<Duration> {
        let context = &self.context;
        context
            .dissemination_policy
            .poll_interval(&context.table(), &context.local_member)
    }

    async fn poll(&self) -> Result<(), CatchUpError> {
        let (head, _) = read_head(&self.context).await?;
        if latest_version(&self.config).await? >= head.version {
            return Ok(());
        }
        sleep(TREE_GRACE_PERIOD).await;
        let deltas = catch_up(&self.context, &self.config, &head).await?;
        for (version, delta) in deltas {
            self.disseminate(version, delta).await;
        }
        Ok(())
    }

    async fn disseminate(&self, version: u64, delta: Vec<u8>) {
        let request = DisseminationRequest {
            salt: version,
            scope: DisseminationScope::Region,
        };
        let payload = DisseminationPayload::Version { version, delta };
        // The send fails only while the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }
}
