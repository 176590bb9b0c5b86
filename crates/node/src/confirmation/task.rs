//! The task that asks other nodes whether the version of this node is still the newest one.
//!
//! The task owns the log of confirmations, the schedule of requests and the requests in progress, and
//! publishes the log.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfirmationLog, ConfirmationSchedule, ConfirmationSettings, ConfirmationSource,
    ConfirmationView, ConfirmedVersion,
};
use agatedeck_records::SnapshotView;
use agatedeck_wire::{
    ConfirmationRequest, ControlPlaneRequest, ControlPlaneResponse, Member, VersionConfirmation,
};
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use kameo::actor::ActorRef;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::{ConfirmationMessage, ConfirmationReceiver, KEY_VALIDITY_MARGIN};
use crate::clock::BootClock;
use crate::config::{ConfigActor, ObservePeerVersion};
use crate::context::NodeContext;
use crate::peer::PeerAddress;
use crate::store::{ReaderMessage, ReaderSender};

/// Maximum pause of the task. A pause that began before a suspension of the host ends late by as much as
/// was left of it.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Dependencies of the task.
#[derive(Debug)]
pub(crate) struct ConfirmationTask {
    pub(crate) context: NodeContext,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) messages: ConfirmationReceiver,
    pub(crate) reader: ReaderSender,
    pub(crate) log_sender: watch::Sender<ConfirmationLog>,
}

/// Confirms versions until the task is aborted. Ends at once if keys are valid without confirmation.
pub(crate) async fn run_confirmation(mut task: ConfirmationTask) {
    let Some(key_validity) = task.context.settings.calls.key_validity else {
        return;
    };
    let validity = key_validity.saturating_sub(KEY_VALIDITY_MARGIN);
    ConfirmationLoop::new(validity).run(&mut task).await;
}

/// End of a request to another node.
struct PeerAnswer {
    node: String,
    sent_at: Instant,
    /// `None` if the node did not answer.
    answer: Option<VersionConfirmation>,
}

/// State of the task.
struct ConfirmationLoop {
    validity: Duration,
    settings: ConfirmationSettings,
    log: ConfirmationLog,
    schedule: ConfirmationSchedule,
    /// Requests in progress, including those that are no longer waited for.
    requests: FuturesUnordered<BoxFuture<'static, PeerAnswer>>,
    /// The leading reader, as its last heartbeat names it.
    reader: Option<String>,
    /// Version in force at this node.
    held: u64,
    /// Whether that version has keys, or none is in force yet.
    has_keys: bool,
    /// Whether keys were permitted when this was last logged.
    logged_permission: bool,
    rng: SmallRng,
}

impl ConfirmationLoop {
    fn new(validity: Duration) -> Self {
        let settings = ConfirmationSettings::default();
        Self {
            validity,
            settings,
            log: ConfirmationLog::default(),
            schedule: ConfirmationSchedule::new(settings, BootClock::now()),
            requests: FuturesUnordered::new(),
            reader: None,
            held: 0,
            has_keys: true,
            logged_permission: false,
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }

    async fn run(mut self, task: &mut ConfirmationTask) {
        let mut config = task.context.config.clone();
        config.mark_changed();
        loop {
            self.send_due_request(task);
            self.log_permission();
            let pause = self.next_deadline().since(BootClock::now());
            tokio::select! {
                Some(message) = task.messages.recv() => self.handle_message(message),
                Some(answer) = self.requests.next() => self.handle_answer(&task.config, answer).await,
                Ok(()) = config.changed() => {
                    config.mark_unchanged();
                    self.handle_config(&task.context);
                }
                () = sleep(pause.min(MAX_PAUSE)) => {}
            }
            self.publish(&task.log_sender);
        }
    }

    /// When the next request is due, or the permission of keys ends. A node without keys asks nothing.
    fn next_deadline(&self) -> Instant {
        if !self.has_keys {
            return BootClock::now().after(MAX_PAUSE);
        }
        let ask_at = self.schedule.next_deadline();
        match self.log.moment_of(self.held) {
            Some(moment) if self.logged_permission => {
                let expires_at = moment.after(self.validity + Duration::from_micros(1));
                ask_at.min(expires_at)
            }
            _ => ask_at,
        }
    }

    fn send_due_request(&mut self, task: &ConfirmationTask) {
        if !self.has_keys {
            return;
        }
        let context = &task.context;
        let table = context.table();
        let view = ConfirmationView {
            table: &table,
            local_member: &context.local_member,
            reader: self.reader.as_deref(),
        };
        let now = BootClock::now();
        match self.schedule.poll(view, now, &mut self.rng) {
            Some(ConfirmationSource::Peer(member)) => {
                let request_timeout = self.settings.request_timeout;
                self.requests
                    .extend(ask_peer(context, member, request_timeout));
            }
            Some(ConfirmationSource::OwnRead) => {
                // A full queue holds messages that the reading task has yet to handle.
                let _ = task.reader.try_send(ReaderMessage::ConfirmationNeeded);
            }
            None => {}
        }
    }

    fn handle_message(&mut self, message: ConfirmationMessage) {
        match message {
            ConfirmationMessage::VersionRead(confirmed) => {
                if self.log.record(confirmed) {
                    let now = BootClock::now();
                    self.schedule
                        .on_confirmed(None, confirmed.moment, now, &mut self.rng);
                }
            }
            ConfirmationMessage::HeartbeatReceived(node) => {
                self.reader = Some(node);
                self.schedule.on_heartbeat(BootClock::now(), &mut self.rng);
            }
        }
    }

    async fn handle_answer(&mut self, config: &ActorRef<ConfigActor>, answered: PeerAnswer) {
        let now = BootClock::now();
        let node = &answered.node;
        let Some(answer) = answered.answer else {
            return self.schedule.on_unreachable(node, now);
        };
        let confirmed = ConfirmedVersion::from_answer(&answer, answered.sent_at);
        let Some(confirmed) = confirmed.filter(|confirmed| self.log.record(*confirmed)) else {
            return self.schedule.on_unchanged_answer(node, now);
        };
        self.schedule
            .on_confirmed(Some(node), confirmed.moment, now, &mut self.rng);
        let version = confirmed.version;
        if version > self.held {
            // The send fails only while the node is stopping.
            let _ = config.tell(ObservePeerVersion { version }).await;
        }
    }

    fn handle_config(&mut self, context: &NodeContext) {
        let served = context.served();
        let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
        self.held = served.snapshot.version();
        // Without a version, the first one may have keys that must work at once.
        self.has_keys = self.held == 0 || view.has_workspaces();
        self.log.forget_before(self.held);
    }

    fn log_permission(&mut self) {
        let now = BootClock::now();
        let is_permitted = self.log.permits_keys(self.held, self.validity, now);
        if !self.has_keys
            || is_permitted == std::mem::replace(&mut self.logged_permission, is_permitted)
        {
            return;
        }
        let version = self.held;
        let age = self.log.moment_of(version).map(|moment| now.since(moment));
        let age_ms = age.unwrap_or_default().as_millis();
        if is_permitted {
            log::info!(event = "keys-confirmed", version, age_ms; "version {version} is confirmed: calls with keys are accepted");
        } else {
            log::warn!(event = "keys-unconfirmed", version, age_ms; "version {version} was last confirmed {age_ms} ms ago: calls with keys are refused");
        }
    }

    fn publish(&self, log_sender: &watch::Sender<ConfirmationLog>) {
        log_sender.send_if_modified(|published| {
            let is_new = *published != self.log;
            if is_new {
                published.clone_from(&self.log);
            }
            is_new
        });
    }
}

/// Sends a request to a node; `None` if its address is not valid.
fn ask_peer(
    context: &NodeContext,
    member: &Member,
    request_timeout: Duration,
) -> Option<BoxFuture<'static, PeerAnswer>> {
    let peer = PeerAddress::from_member(member)?;
    let (context, node) = (context.clone(), member.node.clone());
    let deadline = tokio::time::Instant::now() + request_timeout;
    let sent_at = BootClock::now();
    Some(Box::pin(async move {
        let request = ControlPlaneRequest::ConfirmVersion {
            request: ConfirmationRequest {},
        };
        let answer = match context.transport.send(&peer, request, deadline).await {
            Ok(ControlPlaneResponse::ConfirmVersion(answer)) => Some(answer),
            _ => None,
        };
        PeerAnswer {
            node,
            sent_at,
            answer,
        }
    }))
}
