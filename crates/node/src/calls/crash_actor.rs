//! The actor that owns the crash reports known to this node.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    CrashSettings, CrashTracker, Fingerprint, MergeResult, RefusedRequest, TargetCrashReport,
};
use agatedeck_clock::Instant;
use agatedeck_wire::CrashReport;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use kameo::{Actor, mailbox};
use tokio::sync::watch;

use crate::context::NodeContext;
use crate::dissemination::{DisseminationRelay, StartDissemination};

/// Interval at which expired reports are removed. It affects only memory use.
const REPORT_EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// Snapshot of the crash state for the tasks of calls, published so that they need not send a
/// message to the actor.
#[derive(Debug, Default)]
pub(crate) struct CrashView {
    refused_until: HashMap<Fingerprint, Instant>,
    /// Whether any report is known. Answered requests are reported to the actor only then.
    pub(super) has_reports: bool,
}

impl CrashView {
    /// Whether requests with this fingerprint are refused at `now`.
    pub(super) fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let expires_at = self.refused_until.get(&fingerprint);
        expires_at.is_some_and(|expires_at| !expires_at.is_past(now))
    }
}

/// Owns the crash tracker and publishes the fingerprints of refused requests.
#[derive(Actor)]
pub(crate) struct CrashActor {
    context: NodeContext,
    tracker: CrashTracker,
    relay: ActorRef<DisseminationRelay>,
    view_sender: watch::Sender<Arc<CrashView>>,
}

/// The crash actor and the state that it publishes.
#[derive(Clone, Debug)]
pub(crate) struct CrashMonitor {
    pub(crate) actor: ActorRef<CrashActor>,
    pub(super) view: watch::Receiver<Arc<CrashView>>,
}

impl CrashMonitor {
    pub(crate) fn start(context: &NodeContext, relay: ActorRef<DisseminationRelay>) -> Self {
        let (view_sender, view) = watch::channel(Arc::default());
        let actor = CrashActor {
            context: context.clone(),
            tracker: CrashTracker::new(CrashSettings::default()),
            relay,
            view_sender,
        };
        let actor = CrashActor::spawn_with_mailbox(actor, mailbox::unbounded());
        Self { actor, view }
    }
}

impl CrashActor {
    /// Merges crash reports and returns those that were added.
    fn merge_reports(&mut self, reports: Vec<TargetCrashReport>) -> Vec<TargetCrashReport> {
        let now = self.context.clock.now();
        let added: Vec<TargetCrashReport> = reports
            .into_iter()
            .filter(|report| self.tracker.merge(report, now) == MergeResult::Added)
            .collect();
        if !added.is_empty() {
            self.publish_view(now);
        }
        added
    }

    fn publish_view(&self, now: Instant) {
        let refused = self.tracker.refused_requests(now);
        let view = CrashView {
            refused_until: refused
                .into_iter()
                .map(|request| (request.fingerprint, request.expires_at))
                .collect(),
            has_reports: !self.tracker.is_empty(),
        };
        self.view_sender.send_replace(Arc::new(view));
    }
}

/// Reports that the local target crashed with these requests in flight.
pub(super) struct ReportCrashes(pub(super) Vec<TargetCrashReport>);

impl Message<ReportCrashes> for CrashActor {
    type Reply = ();

    async fn handle(&mut self, ReportCrashes(reports): ReportCrashes, _: &mut Context<Self, ()>) {
        let added = self.merge_reports(reports);
        if added.is_empty() {
            return;
        }
        // To all regions, since a caller may resend the request through any node.
        let crashes = added.iter().map(TargetCrashReport::to_wire).collect();
        let dissemination = StartDissemination::of_rumor(Vec::new(), crashes);
        // The relay stops only when the node stops.
        let _ = self.relay.tell(dissemination).await;
    }
}

/// Merges crash reports received from another node.
pub(crate) struct MergeCrashReports(pub(crate) Vec<CrashReport>);

impl Message<MergeCrashReports> for CrashActor {
    type Reply = ();

    async fn handle(
        &mut self,
        MergeCrashReports(messages): MergeCrashReports,
        _: &mut Context<Self, ()>,
    ) {
        let reports = messages
            .iter()
            .filter_map(TargetCrashReport::from_wire)
            .collect();
        self.merge_reports(reports);
    }
}

/// Requests crash reports for another node.
pub(crate) enum ListCrashReports {
    /// All that count, for a node that has just started.
    Counted,
    /// Those for which this node refuses requests, for a node that may have missed them.
    Refused,
}

/// Crash reports, as [`CrashTracker::counted_reports`] lists them.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct CrashReportList(pub(crate) Vec<CrashReport>);

impl Message<ListCrashReports> for CrashActor {
    type Reply = CrashReportList;

    async fn handle(
        &mut self,
        list: ListCrashReports,
        _: &mut Context<Self, CrashReportList>,
    ) -> CrashReportList {
        let min_reports = match list {
            ListCrashReports::Counted => 1,
            ListCrashReports::Refused => CrashSettings::default().crash_threshold,
        };
        let now = self.context.clock.now();
        let reports = self.tracker.counted_reports(min_reports, now);
        CrashReportList(reports.iter().map(TargetCrashReport::to_wire).collect())
    }
}

/// Records that a target answered a request.
pub(super) struct RecordCompletion(pub(super) Fingerprint);

impl Message<RecordCompletion> for CrashActor {
    type Reply = ();

    async fn handle(
        &mut self,
        RecordCompletion(fingerprint): RecordCompletion,
        _: &mut Context<Self, ()>,
    ) {
        self.tracker
            .record_completion(fingerprint, self.context.clock.now());
    }
}

/// Removes expired reports; the actor sends it to itself at an interval.
pub(super) struct RemoveExpiredReports;

impl Message<RemoveExpiredReports> for CrashActor {
    type Reply = ();

    async fn handle(
        &mut self,
        RemoveExpiredReports: RemoveExpiredReports,
        ctx: &mut Context<Self, ()>,
    ) {
        let now = self.context.clock.now();
        self.tracker.remove_expired(now);
        self.publish_view(now);
        ctx.actor_ref()
            .tell(RemoveExpiredReports)
            .send_after(REPORT_EXPIRY_INTERVAL);
    }
}

/// Requests the list of refused requests.
pub(crate) struct ListRefusedRequests;

/// Refused requests, each with the milliseconds until the refusal expires.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct RefusedRequestList(pub(crate) Vec<(RefusedRequest, u64)>);

impl Message<ListRefusedRequests> for CrashActor {
    type Reply = RefusedRequestList;

    async fn handle(
        &mut self,
        ListRefusedRequests: ListRefusedRequests,
        _: &mut Context<Self, RefusedRequestList>,
    ) -> RefusedRequestList {
        let now = self.context.clock.now();
        let refused = self.tracker.refused_requests(now).into_iter();
        RefusedRequestList(
            refused
                .map(|request| {
                    let remaining_ms = request.expires_at.since(now).as_micros() / 1_000;
                    (request, u64::try_from(remaining_ms).unwrap_or(u64::MAX))
                })
                .collect(),
        )
    }
}
