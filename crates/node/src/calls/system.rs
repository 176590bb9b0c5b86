//! Starts the actors that handle calls, and drains calls on shutdown.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::HealthCheckTicket;
use agatedeck_chart::ChartError;
use axum::Router;
use derive_more::{Display, Error, From};
use hdrhistogram::errors::CreationError;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::call_drain::{CallDrain, DrainProgress};
use super::claim_actor::ClaimActor;
use super::crash_actor::{CrashActor, CrashMonitor, RemoveExpiredReports};
use super::gateway::{GatewayContext, gateway_router};
use super::health_check::check_health;
use super::http_client::{CallClients, ClientLimits};
use super::inbound::{InboundContext, LocalTarget, inbound_router};
use super::latency_actor::{FlushMetrics, LatencyActor};
use super::router::{CallRouter, RolloutsChanged, TopologyChanged};
use super::slots::{BodyClient, PolicyChanged, SlotActor, SlotClient};
use super::target_client::TargetClient;
use super::target_probe::{ProbeActor, ProbeTarget};
use crate::context::NodeContext;
use crate::member::MemberActor;
use crate::pipelining::RunAheadPolicy;
use crate::quota::{QuotaActor, QuotaClient};
use crate::rollout::PublishedRollouts;
use crate::settings::CallSettings;

/// Minimum time between two refreshes of the load balancer's targets, so that a burst of member
/// updates causes only one.
const TARGET_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an idle connection to another node is closed.
const PEER_CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Why the actors that handle calls did not start.
#[derive(Debug, Display, Error, From)]
pub enum CallSystemError {
    /// A state chart is invalid.
    #[display("{_0}")]
    Chart(ChartError),
    /// The settings of the latency histograms are invalid.
    #[display("the latency histograms cannot be set up: {_0}")]
    Histogram(CreationError),
}

/// The actors that handle calls, and the HTTP routes of both listeners for calls.
#[derive(Debug)]
pub(crate) struct CallSystem {
    pub(crate) latency_actor: ActorRef<LatencyActor>,
    pub(crate) router: ActorRef<CallRouter>,
    /// Actor that owns the slots of the local target, if there is one.
    pub(crate) slots: Option<ActorRef<SlotActor>>,
    /// HTTP routes for local callers.
    pub(crate) gateway: Router,
    /// Decides which of the pipelined requests of a local caller run side by side.
    pub(crate) run_ahead: Arc<dyn RunAheadPolicy>,
    /// HTTP routes for other nodes.
    pub(crate) inbound_router: Router,
    pub(crate) drain: CallDrain,
    /// Tasks that run as long as the node.
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

/// Builds the clients for calls to other nodes and to the local target.
fn new_clients(settings: &CallSettings) -> (CallClients, TargetClient) {
    let min_large_bytes = settings.ask_first_bytes as u64;
    let limits = ClientLimits {
        connect_timeout: settings.connect_timeout,
        user_timeout: Some(settings.user_timeout),
        idle_connections: settings.idle_connections,
        idle_timeout: PEER_CONNECTION_IDLE_TIMEOUT,
    };
    let peer_clients = CallClients::new(&limits, min_large_bytes);
    // Half of the connections carry calls (see `admission_settings`), and one of the others is
    // for the probe.
    let idle_connections = settings.target_connections / 2 - 1;
    let idle_connections = usize::try_from(idle_connections).unwrap_or(usize::MAX);
    let target_limits = ClientLimits {
        idle_connections,
        idle_timeout: settings.target_idle,
        ..limits
    };
    let target_client = TargetClient::new(&target_limits, min_large_bytes);
    (peer_clients, target_client)
}

/// Starts the probes of a target that does not announce itself.
async fn probe_target(context: NodeContext, client: TargetClient, slots: ActorRef<SlotActor>) {
    let Some(target) = &context.settings.target else {
        return;
    };
    let probe_actor = ProbeActor::spawn(ProbeActor {
        target: target.address,
        context: context.clone(),
        client,
        slots,
        was_refused: false,
    });
    let _ = probe_actor.tell(ProbeTarget).await;
}

impl CallSystem {
    pub(crate) fn start(
        context: &NodeContext,
        crashes: &CrashMonitor,
        members: ActorRef<MemberActor>,
        quotas: ActorRef<QuotaActor>,
    ) -> Result<Self, CallSystemError> {
        let settings = &context.settings.calls;
        let (drain_progress, drain_receiver) = watch::channel(DrainProgress::default());
        let (drained_sender, drained) = watch::channel(false);
        let (health_checks, health_check_requests) = watch::channel(HealthCheckTicket::default());
        let open_calls = TaskTracker::new();
        let (peer_clients, target_client) = new_clients(settings);

        let latency_actor = LatencyActor::new(context.metrics.clone())?;
        let latency_actor = LatencyActor::spawn_with_mailbox(latency_actor, mailbox::unbounded());
        let claim_actor = ClaimActor::new(context.clone(), latency_actor.clone())?;
        let claim_actor = ClaimActor::spawn_with_mailbox(claim_actor, mailbox::unbounded());
        let router = CallRouter::new(context.clone());
        let router = CallRouter::spawn_with_mailbox(router, mailbox::unbounded());
        let slots = context.settings.target.as_ref().map(|_| {
            let slot_actor = SlotActor::new(
                context.clone(),
                members,
                crashes.actor.clone(),
                health_checks,
                drained_sender,
            );
            SlotActor::spawn_with_mailbox(slot_actor, mailbox::unbounded())
        });
        let mut tasks = vec![
            tokio::spawn(forward_changes(
                context.clone(),
                router.clone(),
                slots.clone(),
            )),
            tokio::spawn(forward_rollouts(context.rollouts.clone(), router.clone())),
            tokio::spawn(start_periodic_messages(
                latency_actor.clone(),
                crashes.actor.clone(),
            )),
        ];
        let mut target = None;
        if let (Some(settings), Some(slots)) = (&context.settings.target, &slots) {
            let authority = settings.address.to_string().parse();
            target = authority.ok().map(|authority| LocalTarget {
                authority,
                slots: SlotClient::new(slots.clone()),
                bodies: BodyClient::start(context, slots.clone()),
            });
        }
        if let (Some(settings), Some(slots)) = (&context.settings.target, &slots) {
            let client = target_client.clone();
            let checks = if settings.announces {
                let (context, slots) = (context.clone(), slots.clone());
                tokio::spawn(check_health(context, client, slots, health_check_requests))
            } else {
                tokio::spawn(probe_target(context.clone(), client, slots.clone()))
            };
            tasks.push(checks);
        }
        let gateway_context = GatewayContext {
            context: context.clone(),
            clients: peer_clients,
            router,
            claim_actor: claim_actor.clone(),
            crash_actor: crashes.actor.clone(),
            latency_actor: latency_actor.clone(),
            crash_view: crashes.view.clone(),
            quotas: QuotaClient::new(quotas),
            drain: drain_receiver,
            open_calls: open_calls.clone(),
        };
        let inbound_context = InboundContext {
            node: context.clone(),
            client: target_client,
            target,
            crash_actor: crashes.actor.clone(),
            latency_actor: latency_actor.clone(),
            crash_view: crashes.view.clone(),
            open_calls: open_calls.clone(),
        };
        let router = gateway_context.router.clone();
        let gateway_context = Arc::new(gateway_context);
        Ok(Self {
            latency_actor,
            router,
            slots: slots.clone(),
            gateway: gateway_router(Arc::clone(&gateway_context)),
            run_ahead: gateway_context,
            inbound_router: inbound_router(Arc::new(inbound_context)),
            drain: CallDrain {
                progress: drain_progress,
                slots: slots.map(|slots| (slots, drained)),
                claim_actor,
                open_calls,
            },
            tasks,
        })
    }
}

/// Sends the first of the messages that the actors then repeat at an interval.
async fn start_periodic_messages(
    latency_actor: ActorRef<LatencyActor>,
    crash_actor: ActorRef<CrashActor>,
) {
    // The actors stop only when the node stops.
    let _ = latency_actor.tell(FlushMetrics).await;
    let _ = crash_actor.tell(RemoveExpiredReports).await;
}

/// Notifies the router of changes to the rollouts. A rollback must not wait for other changes.
async fn forward_rollouts(
    mut rollouts: watch::Receiver<Arc<PublishedRollouts>>,
    router: ActorRef<CallRouter>,
) {
    while rollouts.changed().await.is_ok() {
        rollouts.mark_unchanged();
        if router.tell(RolloutsChanged).await.is_err() {
            break;
        }
    }
}

/// Notifies the actors of changes to members or the configuration.
async fn forward_changes(
    mut context: NodeContext,
    router: ActorRef<CallRouter>,
    slots: Option<ActorRef<SlotActor>>,
) {
    loop {
        tokio::select! {
            changed = context.config.changed() => {
                if changed.is_err() {
                    break;
                }
                if let Some(slots) = &slots {
                    let _ = slots.tell(PolicyChanged).await;
                }
            }
            changed = context.members.changed() => {
                if changed.is_err() {
                    break;
                }
            }
        }
        if router.tell(TopologyChanged).await.is_err() {
            break;
        }
        sleep(TARGET_REFRESH_INTERVAL).await;
    }
}
