//! Drains the calls of a node that is stopped.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::task::TaskTracker;

use super::claim_actor::{ClaimActor, CountOpenClaims};
use super::slots::{DrainSlots, SlotActor};

/// Interval at which a draining node polls the number of open claims.
const OPEN_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the answers to calls that are cut off at the end of the drain.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// How far the drain of the calls of local callers has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainProgress {
    /// When calls that are still open are cut off; `None` unless the node is stopped.
    pub(super) ends_at: Option<Instant>,
    /// Whether new calls are refused.
    pub(super) refuses_calls: bool,
}

/// Waits until the drain cuts off the calls that are still open.
pub(super) async fn wait_for_cutoff(mut progress: watch::Receiver<DrainProgress>) {
    loop {
        let ends_at = progress.borrow_and_update().ends_at;
        let changed = match ends_at {
            Some(ends_at) => timeout_at(ends_at, progress.changed()).await.ok(),
            None => Some(progress.changed().await),
        };
        match changed {
            None => return,
            Some(Ok(())) => {}
            // The sender is dropped once the node has stopped.
            Some(Err(_)) => std::future::pending().await,
        }
    }
}

/// Drains calls on shutdown.
#[derive(Debug)]
pub(crate) struct CallDrain {
    pub(super) progress: watch::Sender<DrainProgress>,
    pub(super) slots: Option<(ActorRef<SlotActor>, watch::Receiver<bool>)>,
    pub(super) claim_actor: ActorRef<ClaimActor>,
    pub(super) open_calls: TaskTracker,
}

impl CallDrain {
    /// Refuses new calls from other nodes at once and those of local callers after `notice_ends_at`,
    /// and waits until queued and running calls have ended. Calls that are open at `deadline` are cut
    /// off with an answer. Returns whether all have ended before.
    pub(crate) async fn drain_calls(&self, notice_ends_at: Instant, deadline: Instant) -> bool {
        self.progress
            .send_modify(|progress| progress.ends_at = Some(deadline));
        if let Some((slots, _)) = &self.slots {
            // An actor that has stopped runs no calls.
            let _ = slots.tell(DrainSlots).await;
        }
        sleep_until(notice_ends_at.min(deadline)).await;
        self.progress
            .send_modify(|progress| progress.refuses_calls = true);
        self.open_calls.close();
        let drained = timeout_at(deadline, self.wait_until_drained()).await;
        if drained.is_err() {
            let _ = timeout(LAST_ANSWER_TIME, self.open_calls.wait()).await;
        }
        drained.is_ok()
    }

    async fn wait_until_drained(&self) {
        if let Some((_, drained)) = &self.slots {
            let _ = drained.clone().wait_for(|drained| *drained).await;
        }
        self.open_calls.wait().await;
        while self.claim_actor.ask(CountOpenClaims).await.unwrap_or(0) > 0 {
            sleep(OPEN_CLAIM_POLL_INTERVAL).await;
        }
    }
}
