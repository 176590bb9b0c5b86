//! Whether a lost connection was a crash of the target.

use std::time::Duration;

use agatedeck_calls::CrashSettings;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::gate::RunEnd;
use super::keeper::{RunningCall, SlotKeeper};
use crate::calls::crash_actor::ReportCrashes;

/// Time allowed for the connection that shows whether the target still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

impl SlotKeeper {
    /// Counts a crash if calls of the present run of the target are in flight.
    pub(super) fn note_crash(&mut self) {
        let in_flight = self
            .running
            .values()
            .any(|running| running.crashes == self.crashes);
        if !in_flight && self.unchecked == 0 {
            return;
        }
        self.crashes += 1;
        let notices = self
            .flight
            .record_crash(CrashSettings::default().report_ttl_ms);
        log::warn!(
            event = "target-crashed";
            "the target lost its connections with {} kinds of requests in flight",
            notices.len()
        );
        let _ = self.crash_actor.tell(ReportCrashes(notices)).try_send();
        self.queue.restart_warm_up(self.context.clock.now());
    }

    pub(super) fn end_running(
        &mut self,
        running: RunningCall,
        end: RunEnd,
        keeper: &ActorRef<Self>,
    ) {
        let current = running.crashes == self.crashes;
        if current && end == RunEnd::ConnectionLost {
            self.check_crash(running, keeper);
        } else if current {
            self.flight.record_end(running.fingerprint);
        }
        if end == RunEnd::NotSent {
            self.note_crash();
        }
    }

    /// Looks whether a target that announces itself still listens. A lost connection alone is no
    /// crash there: targets and links also lose single ones, and each would blame every request in
    /// flight. A target that does not announce itself may be back before it is looked at, so that a
    /// lost connection is all there is to go by.
    fn check_crash(&mut self, running: RunningCall, keeper: &ActorRef<Self>) {
        self.unchecked += 1;
        if self.register.is_none() {
            self.note_crash();
            self.unchecked -= 1;
            return;
        }
        let Some(target) = self.context.settings.target.as_ref() else {
            return;
        };
        let (address, keeper) = (target.address, keeper.clone());
        tokio::spawn(async move {
            let dialed = timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address)).await;
            let refused = matches!(dialed, Ok(Err(_)));
            // The keeper is gone only when the node is stopping.
            let _ = keeper.tell(CrashChecked { running, refused }).await;
        });
    }
}

/// Whether the target still listened after a connection to it was lost.
struct CrashChecked {
    running: RunningCall,
    refused: bool,
}

impl Message<CrashChecked> for SlotKeeper {
    type Reply = ();

    async fn handle(&mut self, checked: CrashChecked, ctx: &mut Context<Self, ()>) {
        if checked.running.crashes == self.crashes {
            if checked.refused {
                self.note_crash();
            } else {
                self.flight.record_end(checked.running.fingerprint);
            }
        }
        self.unchecked = self.unchecked.saturating_sub(1);
        if checked.refused
            && let Some(register) = &mut self.register
        {
            let effects = register.mark_unreachable();
            self.carry_out_register(effects, ctx.actor_ref()).await;
        }
    }
}
