//! Detection of crashes of the local target from lost connections.

use std::time::Duration;

use agatedeck_calls::CrashSettings;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::actor::{RunningCall, SlotActor};
use super::slot_client::CallCompletion;
use crate::calls::crash_actor::ReportCrashes;

/// Timeout of the connection attempt that checks whether the target still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

impl SlotActor {
    /// Counts a crash if the target may be running calls that were dispatched since the last crash, or a
    /// lost connection is being checked.
    pub(super) fn count_crash(&mut self) {
        let now = self.context.clock.now();
        let in_flight = self
            .running
            .values()
            .any(|running| running.crash_count == self.crash_count);
        let may_run = in_flight || self.in_flight_table.has_abandoned(now);
        if !may_run && self.pending_crash_checks == 0 {
            return;
        }
        self.crash_count += 1;
        let crash_reports = self
            .in_flight_table
            .record_crash(now, CrashSettings::default().report_ttl_ms);
        log::warn!(
            event = "target-crashed";
            "target crashed with {} distinct requests in flight",
            crash_reports.len()
        );
        let _ = self
            .crash_actor
            .tell(ReportCrashes(crash_reports))
            .try_send();
        self.queue.restart_warm_up(now);
    }

    pub(super) fn complete_running_call(
        &mut self,
        running: RunningCall,
        completion: CallCompletion,
        actor: &ActorRef<Self>,
    ) {
        if running.crash_count == self.crash_count {
            let table = &mut self.in_flight_table;
            match completion {
                CallCompletion::Answered => {
                    table.record_end(running.fingerprint);
                    table.record_alive(running.dispatched_at);
                }
                CallCompletion::NotRun | CallCompletion::NotSent => {
                    table.record_end(running.fingerprint);
                }
                CallCompletion::Cancelled => {
                    table.record_abandoned(running.fingerprint, running.deadline);
                }
                CallCompletion::ConnectionLost => self.confirm_crash(running, actor),
            }
        }
        if completion == CallCompletion::NotSent {
            self.count_crash();
        }
    }

    /// Checks whether a target that announces itself still listens. For such a target a lost
    /// connection alone does not count as a crash: targets and networks also lose single
    /// connections, and each would implicate every request in flight. A target that does not
    /// announce itself may have restarted before the check, so every lost connection counts as a
    /// crash.
    fn confirm_crash(&mut self, running: RunningCall, actor: &ActorRef<Self>) {
        self.pending_crash_checks += 1;
        if self.registration.is_none() {
            self.count_crash();
            self.pending_crash_checks -= 1;
            return;
        }
        let Some(target) = self.context.settings.target.as_ref() else {
            return;
        };
        let (address, actor) = (target.address, actor.clone());
        tokio::spawn(async move {
            let connection = timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address)).await;
            let refused = matches!(connection, Ok(Err(_)));
            // The actor is stopped only when the node is stopping.
            let _ = actor.tell(CrashCheckResult { running, refused }).await;
        });
    }
}

/// Whether the target refused a connection after an earlier connection to it was lost.
struct CrashCheckResult {
    running: RunningCall,
    refused: bool,
}

impl Message<CrashCheckResult> for SlotActor {
    type Reply = ();

    async fn handle(&mut self, result: CrashCheckResult, ctx: &mut Context<Self, ()>) {
        if result.running.crash_count == self.crash_count {
            if result.refused {
                self.count_crash();
            } else {
                let RunningCall {
                    fingerprint,
                    deadline,
                    ..
                } = result.running;
                self.in_flight_table.record_abandoned(fingerprint, deadline);
            }
        }
        self.pending_crash_checks = self.pending_crash_checks.saturating_sub(1);
        if result.refused
            && let Some(registration) = &mut self.registration
        {
            let effects = registration.mark_unreachable();
            self.apply_registration_effects(effects, ctx.actor_ref())
                .await;
        }
    }
}
