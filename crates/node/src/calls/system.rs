//! Starts the actors of calls and takes them down.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use axum::Router;
use derive_more::{Display, Error, From};
use hdrhistogram::errors::CreationError;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::task::TaskTracker;

use super::claim_keeper::{ClaimKeeper, CountOpenClaims};
use super::crash_keeper::{CrashKeeper, SweepReports};
use super::first_look::look_at_target;
use super::gateway::{GatewayContext, gateway_router};
use super::http_client::{ClientLimits, call_client};
use super::latency_keeper::{FlushMetrics, LatencyKeeper};
use super::router::{CallRouter, ViewChanged};
use super::slots::{BodyGateway, DrainSlots, PolicyChanged, SlotGate, SlotKeeper};
use super::target_side::{LocalTarget, TargetContext, target_router};
use super::target_watch::{ProbeTarget, TargetWatch};
use crate::context::NodeContext;
use crate::dissemination::DisseminationRelay;
use crate::member::MemberActor;

/// Shortest time between two refreshes of the board, so that a burst of member updates costs one.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an idle connection to another node is kept.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two looks at the open claims of a node that drains.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why the actors of calls did not start.
#[derive(Debug, Display, Error, From)]
pub enum CallSystemError {
    /// A state chart is not sound.
    #[display("{_0}")]
    Chart(ChartError),
    /// The settings of the histograms are not usable.
    #[display("the latency histograms cannot be set up: {_0}")]
    Histogram(CreationError),
}

/// The actors of calls and the routes of both listeners for calls.
#[derive(Debug)]
pub(crate) struct CallSystem {
    pub(crate) crash_keeper: ActorRef<CrashKeeper>,
    pub(crate) latency: ActorRef<LatencyKeeper>,
    pub(crate) router: ActorRef<CallRouter>,
    /// Owner of the slots of the local target, if there is one.
    pub(crate) slots: Option<ActorRef<SlotKeeper>>,
    /// Takes calls of local callers.
    pub(crate) gateway: Router,
    /// Takes calls of other nodes.
    pub(crate) target_side: Router,
    pub(crate) drain: CallDrain,
    /// Tasks that run as long as the node.
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

/// Ends calls in order.
#[derive(Debug)]
pub(crate) struct CallDrain {
    draining: watch::Sender<bool>,
    slots: Option<(ActorRef<SlotKeeper>, watch::Receiver<bool>)>,
    claims: ActorRef<ClaimKeeper>,
    open: TaskTracker,
}

impl CallSystem {
    pub(crate) fn start(
        context: &NodeContext,
        relay: ActorRef<DisseminationRelay>,
        members: ActorRef<MemberActor>,
    ) -> Result<Self, CallSystemError> {
        let settings = &context.settings.calls;
        let (published_crashes, crashes) = watch::channel(Arc::default());
        let (draining, drain_seen) = watch::channel(false);
        let (drained, slots_drained) = watch::channel(false);
        let open = TaskTracker::new();
        let limits = ClientLimits {
            connect_timeout: settings.connect_timeout,
            user_timeout: settings.user_timeout,
            idle_connections: settings.idle_connections,
            idle_timeout: PEER_IDLE_TIMEOUT,
        };
        let peers = call_client(&limits);
        // See `admission_settings`: half of the connections is for calls, one for the probe.
        let idle = settings.target_connections / 2 - 1;
        let idle = usize::try_from(idle).unwrap_or(usize::MAX);
        let local = call_client(&ClientLimits {
            idle_connections: idle,
            idle_timeout: settings.target_idle,
            ..limits
        });

        let latency = LatencyKeeper::new(context.metrics.clone())?;
        let latency = LatencyKeeper::spawn_with_mailbox(latency, mailbox::unbounded());
        let crash_keeper = CrashKeeper::new(context.clone(), relay, published_crashes);
        let crash_keeper = CrashKeeper::spawn_with_mailbox(crash_keeper, mailbox::unbounded());
        let claims = ClaimKeeper::new(context.clone(), latency.clone())?;
        let claims = ClaimKeeper::spawn_with_mailbox(claims, mailbox::unbounded());
        let router = CallRouter::new(context.clone());
        let router = CallRouter::spawn_with_mailbox(router, mailbox::unbounded());
        let slots = context.settings.target.as_ref().map(|_| {
            let keeper = SlotKeeper::new(context.clone(), members, crash_keeper.clone(), drained);
            SlotKeeper::spawn_with_mailbox(keeper, mailbox::unbounded())
        });
        let mut tasks = vec![
            tokio::spawn(follow_views(context.clone(), router.clone(), slots.clone())),
            tokio::spawn(tick(latency.clone(), crash_keeper.clone())),
        ];
        let mut target = None;
        if let (Some(settings), Some(slots)) = (&context.settings.target, &slots) {
            let authority = settings.address.to_string().parse();
            target = authority.ok().map(|authority| LocalTarget {
                authority,
                slots: SlotGate::new(slots.clone()),
                bodies: BodyGateway::start(context, slots.clone()),
            });
        }
        if let (Some(settings), Some(slots)) = (&context.settings.target, &slots)
            && settings.announces
        {
            tasks.push(tokio::spawn(look_at_target(
                context.clone(),
                local.clone(),
                slots.clone(),
            )));
        } else if let (Some(settings), Some(slots)) = (&context.settings.target, &slots) {
            let watch = TargetWatch::spawn(TargetWatch {
                context: context.clone(),
                client: local.clone(),
                target: settings.address,
                slots: slots.clone(),
                refused: false,
            });
            tasks.push(tokio::spawn(async move {
                let _ = watch.tell(ProbeTarget).await;
            }));
        }
        let call_context = GatewayContext {
            context: context.clone(),
            client: peers,
            router,
            claims: claims.clone(),
            crash_keeper: crash_keeper.clone(),
            latency: latency.clone(),
            crashes: crashes.clone(),
            draining: drain_seen,
            open: open.clone(),
        };
        let target_context = TargetContext {
            context: context.clone(),
            client: local,
            target,
            crash_keeper: crash_keeper.clone(),
            latency: latency.clone(),
            crashes,
            open: open.clone(),
        };
        Ok(Self {
            crash_keeper,
            latency,
            router: call_context.router.clone(),
            slots: slots.clone(),
            gateway: gateway_router(Arc::new(call_context)),
            target_side: target_router(Arc::new(target_context)),
            drain: CallDrain {
                draining,
                slots: slots.map(|slots| (slots, slots_drained)),
                claims,
                open,
            },
            tasks,
        })
    }
}

/// Starts the messages that actors then send to themselves.
async fn tick(latency: ActorRef<LatencyKeeper>, crash_keeper: ActorRef<CrashKeeper>) {
    // The actors are gone only when the node is stopping.
    let _ = latency.tell(FlushMetrics).await;
    let _ = crash_keeper.tell(SweepReports).await;
}

/// Tells the actors when members or configuration have changed.
async fn follow_views(
    mut context: NodeContext,
    router: ActorRef<CallRouter>,
    slots: Option<ActorRef<SlotKeeper>>,
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
        if router.tell(ViewChanged).await.is_err() {
            break;
        }
        sleep(REFRESH_INTERVAL).await;
    }
}

impl CallDrain {
    /// Refuses new calls and waits until those that are queued or running have ended, at most until
    /// `deadline`. Returns whether all have ended.
    pub(crate) async fn finish(&self, deadline: Instant) -> bool {
        self.refuse_peers().await;
        self.draining.send_replace(true);
        self.open.close();
        timeout_at(deadline, self.wait()).await.is_ok()
    }

    /// Refuses new calls of other nodes from now on.
    pub(crate) async fn refuse_peers(&self) {
        if let Some((slots, _)) = &self.slots {
            // A keeper that is gone runs no calls.
            let _ = slots.tell(DrainSlots).await;
        }
    }

    async fn wait(&self) {
        if let Some((_, drained)) = &self.slots {
            let _ = drained.clone().wait_for(|drained| *drained).await;
        }
        self.open.wait().await;
        while self.claims.ask(CountOpenClaims).await.unwrap_or(0) > 0 {
            sleep(CLAIM_CHECK_INTERVAL).await;
        }
    }
}
