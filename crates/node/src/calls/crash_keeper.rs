//! The actor that owns the crash reports known to this node.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    CrashNotice, CrashSettings, CrashTracker, Fingerprint, MergeResult, RefusedRequest,
};
use agatedeck_clock::Instant;
use agatedeck_control::{DisseminationRequest, DisseminationScope};
use agatedeck_wire::CrashReport;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::Rng;
use tokio::sync::watch;

use crate::context::NodeContext;
use crate::dissemination::{DisseminationPayload, DisseminationRelay, StartDissemination};

/// Time between two removals of lapsed reports. Only memory depends on it.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// What the path of a call needs to know of crashes, published so that no call has to ask for it.
#[derive(Debug, Default)]
pub(crate) struct CrashView {
    refused: HashMap<Fingerprint, Instant>,
    /// Whether any report is known, so that answered requests are worth a message.
    pub(super) watching: bool,
}

impl CrashView {
    /// Whether requests with this fingerprint are refused now.
    pub(super) fn refuses(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let until = self.refused.get(&fingerprint);
        until.is_some_and(|until| !until.is_past(now))
    }
}

/// Owns the crash ledger and publishes what it refuses.
#[derive(Actor)]
pub(crate) struct CrashKeeper {
    context: NodeContext,
    ledger: CrashTracker,
    relay: ActorRef<DisseminationRelay>,
    published: watch::Sender<Arc<CrashView>>,
}

impl CrashKeeper {
    pub(super) fn new(
        context: NodeContext,
        relay: ActorRef<DisseminationRelay>,
        published: watch::Sender<Arc<CrashView>>,
    ) -> Self {
        Self {
            context,
            ledger: CrashTracker::new(CrashSettings::default()),
            relay,
            published,
        }
    }

    /// Merges notices and returns those that were new.
    fn merge(&mut self, notices: Vec<CrashNotice>) -> Vec<CrashNotice> {
        let now = self.context.clock.now();
        let fresh: Vec<CrashNotice> = notices
            .into_iter()
            .filter(|notice| self.ledger.merge(notice, now) == MergeResult::Added)
            .collect();
        if !fresh.is_empty() {
            self.publish(now);
        }
        fresh
    }

    fn publish(&self, now: Instant) {
        let refused = self.ledger.refused_requests(now);
        let view = CrashView {
            refused: refused
                .into_iter()
                .map(|request| (request.fingerprint, request.expires_at))
                .collect(),
            watching: !self.ledger.is_empty(),
        };
        self.published.send_replace(Arc::new(view));
    }
}

/// The local target crashed with these requests in flight.
pub(super) struct NoteCrashes(pub(super) Vec<CrashNotice>);

impl Message<NoteCrashes> for CrashKeeper {
    type Reply = ();

    async fn handle(&mut self, NoteCrashes(notices): NoteCrashes, _: &mut Context<Self, ()>) {
        let fresh = self.merge(notices);
        if fresh.is_empty() {
            return;
        }
        let payload = DisseminationPayload::Rumor {
            members: Vec::new(),
            crashes: fresh.iter().map(CrashNotice::to_wire).collect(),
        };
        let request = DisseminationRequest {
            salt: rand::rng().random(),
            // A caller may send the request again at any node.
            scope: DisseminationScope::AllRegions,
        };
        // The relay is gone only when the node is stopping.
        let _ = self
            .relay
            .tell(StartDissemination { request, payload })
            .await;
    }
}

/// Crash reports that came with a rumor.
pub(crate) struct MergeCrashes(pub(crate) Vec<CrashReport>);

impl Message<MergeCrashes> for CrashKeeper {
    type Reply = ();

    async fn handle(&mut self, MergeCrashes(reports): MergeCrashes, _: &mut Context<Self, ()>) {
        let notices = reports.iter().filter_map(CrashNotice::from_wire).collect();
        self.merge(notices);
    }
}

/// A request was answered by a target.
pub(super) struct CompleteRequest(pub(super) Fingerprint);

impl Message<CompleteRequest> for CrashKeeper {
    type Reply = ();

    async fn handle(
        &mut self,
        CompleteRequest(fingerprint): CompleteRequest,
        _: &mut Context<Self, ()>,
    ) {
        self.ledger
            .record_completion(fingerprint, self.context.clock.now());
    }
}

/// Time to remove lapsed reports.
pub(super) struct SweepReports;

impl Message<SweepReports> for CrashKeeper {
    type Reply = ();

    async fn handle(&mut self, SweepReports: SweepReports, ctx: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        self.ledger.remove_expired(now);
        self.publish(now);
        ctx.actor_ref()
            .tell(SweepReports)
            .send_after(SWEEP_INTERVAL);
    }
}

/// Asks for the requests that are refused.
pub(crate) struct ReadRefused;

/// The requests that are refused, each with the milliseconds until it is let through again.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct RefusedList(pub(crate) Vec<(RefusedRequest, u64)>);

impl Message<ReadRefused> for CrashKeeper {
    type Reply = RefusedList;

    async fn handle(
        &mut self,
        ReadRefused: ReadRefused,
        _: &mut Context<Self, RefusedList>,
    ) -> RefusedList {
        let now = self.context.clock.now();
        let refused = self.ledger.refused_requests(now).into_iter();
        RefusedList(
            refused
                .map(|request| {
                    let remaining = request.expires_at.since(now).as_micros() / 1_000;
                    (request, u64::try_from(remaining).unwrap_or(u64::MAX))
                })
                .collect(),
        )
    }
}
