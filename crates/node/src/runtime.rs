//! Starts the actors, servers and tasks of a node and shuts them down in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_store::{HttpStore, HttpStoreSettings, StoreError};
use agatedeck_wire::{ByteMeter, MemberStatus};
use axum::Router;
use derive_more::{Display, Error, From};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::adapters::NodeAdapters;
use crate::admin::{AdminState, admin_router};
use crate::calls::{CallDrain, CallSystem, CallSystemError, NativeProtocol};
use crate::context::{NodeContext, ServedConfig};
use crate::control_plane::{
    ControlActors, RolloutSender, node_context, spawn_membership_tasks, spawn_version_tasks,
    version_channels,
};
use crate::listener_servers::ListenerServers;
use crate::listeners::{Listeners, NodeAddresses};
use crate::member::{
    AnnounceStatus, CallsDrained, JoinActor, MemberActor, StartDrain, remove_own_row,
};
use crate::metrics::{metrics_router, report_gauges, report_peer_requests};
use crate::peer::{ConnectionMeters, ControlServer};
use crate::quota::run_quota_ticks;
use crate::registrar::TargetRegistrar;
use crate::rollout::{EndStartGrace, RolloutActor, START_GRACE};
use crate::settings::NodeSettings;
use crate::store::ReaderSender;

/// Time allowed for the last messages of a leaving node to reach other nodes.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Time allowed for the connections of operators to close when the node stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a node did not start.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// An address cannot be bound.
    #[display("cannot listen at {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A state chart is invalid.
    #[display("{_0}")]
    Chart(ChartError),
    /// The client of the store cannot be created.
    #[display("cannot create the client of the store: {_0}")]
    Store(StoreError),
    /// The call system cannot be started.
    #[display("cannot start the call system: {_0}")]
    Calls(CallSystemError),
}

/// Bytes of the control protocol, sent and received on connections that the node opened. The sum
/// over all nodes counts each byte once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ControlBytes {
    /// All connections.
    pub all: u64,
    /// Connections to other regions.
    pub cross_region: u64,
}

fn served_version(served: &ServedConfig) -> Option<u64> {
    served.may_serve.then(|| served.snapshot.version())
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    addresses: NodeAddresses,
    context: NodeContext,
    meters: ConnectionMeters,
    members: ActorRef<MemberActor>,
    join: ActorRef<JoinActor>,
    registrar: TargetRegistrar,
    failure_receiver: watch::Receiver<bool>,
    shutting_down_sender: watch::Sender<bool>,
    drain: CallDrain,
    stop_sender: watch::Sender<bool>,
    servers: ListenerServers,
    /// Servers of calls. A call counts as ended once its answer is buffered, which its caller may still be
    /// reading.
    call_servers: Vec<JoinHandle<()>>,
    operator_servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Spawns the actor that owns the rollouts of a node.
fn spawn_rollouts(
    context: &NodeContext,
    calls: &CallSystem,
    reader: &ReaderSender,
    published: RolloutSender,
) -> ActorRef<RolloutActor> {
    let (router, reader) = (calls.router.clone(), reader.clone());
    let rollouts = RolloutActor::new(context.clone(), router, reader, published);
    let rollouts = RolloutActor::spawn(rollouts);
    rollouts.tell(EndStartGrace).send_after(START_GRACE);
    rollouts
}

impl Node {
    /// Starts a node with the native protocols of agatedeck for its platform, callers and targets.
    /// Returns once every listener is open; joining the mesh continues in the background.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a client cannot be created or a state chart is invalid.
    pub async fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let store = HttpStore::new(&HttpStoreSettings {
            base_url: settings.store.url.clone(),
            ..Default::default()
        })?;
        let adapters = NodeAdapters {
            store: Arc::new(store),
            feed: None,
            rollout_board: None,
            protocol: Arc::new(NativeProtocol),
        };
        Self::start_with_adapters(settings, adapters).await
    }

    /// Starts a node with the given adapters.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the call system cannot be started or a state chart is
    /// invalid.
    pub async fn start_with_adapters(
        settings: NodeSettings,
        adapters: NodeAdapters,
    ) -> Result<Self, NodeError> {
        let listeners = Listeners::bind(&settings).await?;
        let address = settings.listen.calls;
        let addresses = listeners.addresses();
        let addresses = addresses.map_err(|source| NodeError::Listen { address, source })?;
        let meters = ConnectionMeters::default();
        let (senders, rollout_sender, context) =
            node_context(settings, &addresses, adapters, &meters);
        let (version_senders, version_receivers) = version_channels();
        let ControlActors {
            config,
            relay,
            members,
            commit_actor,
            join,
            crashes,
            confirmation_log,
            quotas,
        } = ControlActors::spawn(&context, senders, version_senders.clone())?;
        let calls = CallSystem::start(&context, &crashes, members.clone(), quotas.clone())?;
        let rollouts = spawn_rollouts(&context, &calls, &version_senders.reader, rollout_sender);
        let (failure_sender, failure_receiver) = watch::channel(false);
        let failed = &failure_sender;
        let mut tasks = vec![
            supervise_actor("config keeper", &config, failed),
            supervise_actor("member keeper", &members, failed),
            supervise_actor("join keeper", &join, failed),
            supervise_actor("spread relay", &relay, failed),
            supervise_actor("rollout keeper", &rollouts, failed),
            supervise_actor("call router", &calls.router, failed),
            supervise_actor("quota keeper", &quotas, failed),
            tokio::spawn(run_quota_ticks(context.clone(), quotas.clone())),
        ];
        let slots = calls.slots.as_ref();
        tasks.extend(slots.map(|slots| supervise_actor("slot keeper", slots, failed)));
        let server = ControlServer {
            context: context.clone(),
            config: config.clone(),
            members: members.clone(),
            relay: relay.clone(),
            crash_actor: crashes.actor.clone(),
            versions: version_senders.clone(),
            quotas,
            rollouts: rollouts.clone(),
        };
        let admin = AdminState {
            context: context.clone(),
            config: config.clone(),
            commit_actor,
            meters: meters.clone(),
            latency_actor: calls.latency_actor.clone(),
            crash_actor: crashes.actor.clone(),
        };
        let (stop_sender, stop_receiver) = watch::channel(false);
        let servers = ListenerServers::new(&context, stop_receiver);
        let call_servers = vec![
            servers.serve_callers(listeners.calls, calls.gateway, calls.run_ahead),
            servers.serve_nodes(listeners.peer, calls.inbound_router),
        ];
        let mut operator_servers =
            vec![servers.serve_operators("admin", listeners.admin, admin_router(admin))];
        let metrics = listeners.metrics.map(|listener| {
            let router = metrics_router(context.metrics.clone());
            servers.serve_operators("metrics", listener, router)
        });
        operator_servers.extend(metrics);
        tasks.push(servers.serve_control(listeners.control, server));
        tasks.extend(calls.tasks);
        let (version_tasks, generation) = spawn_version_tasks(
            &context,
            config,
            relay,
            rollouts,
            version_senders,
            version_receivers,
            confirmation_log,
        );
        tasks.extend(version_tasks);
        tasks.extend(spawn_reports(&context, &meters));
        tasks.extend(spawn_membership_tasks(
            &context, &members, &join, generation,
        ));
        addresses.log();
        Ok(Self {
            addresses,
            context,
            meters,
            members,
            join,
            registrar: TargetRegistrar::new(calls.slots),
            failure_receiver,
            shutting_down_sender: watch::channel(false).0,
            drain: calls.drain,
            stop_sender,
            servers,
            call_servers,
            operator_servers,
            tasks,
        })
    }

    /// Addresses of the listeners of the node.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Active version; `None` while the node may not serve calls.
    pub fn version(&self) -> Option<u64> {
        served_version(&self.context.config.borrow())
    }

    /// Waits until `version` or a newer one is active and the node may serve calls.
    pub async fn wait_for_version(&self, version: u64) {
        let mut config = self.context.config.clone();
        let reached = |served: &ServedConfig| served_version(served) >= Some(version);
        // The actor that publishes the version runs as long as the node.
        let _ = config.wait_for(reached).await;
    }

    /// Bytes of the control protocol since the start, on connections that this node opened.
    pub fn control_bytes(&self) -> ControlBytes {
        let total = |meter: &ByteMeter| meter.sent() + meter.received();
        ControlBytes {
            all: total(&self.meters.all),
            cross_region: total(&self.meters.cross_region),
        }
    }

    /// Waits until an essential actor has ended although the node was not stopped. The node cannot
    /// serve after that, and its process should be restarted.
    pub async fn wait_for_failure(&self) {
        let mut receiver = self.failure_receiver.clone();
        // The sender lives as long as the node.
        let _ = receiver.wait_for(|failed| *failed).await;
    }

    /// Handle through which the local target announces itself.
    pub fn registrar(&self) -> TargetRegistrar {
        self.registrar.clone()
    }

    /// Serves a listener of the platform with the limits of the admin listener, until the task is aborted
    /// or the node stops. `name` stands in metrics and log lines.
    pub fn serve_operators(
        &self,
        name: &'static str,
        listener: TcpListener,
        router: Router,
    ) -> JoinHandle<()> {
        self.servers.serve_operators(name, listener, router)
    }

    /// Handle that reports whether the node takes calls.
    pub fn readiness(&self) -> NodeReadiness {
        NodeReadiness {
            config: self.context.config.clone(),
            shutting_down: self.shutting_down_sender.subscribe(),
        }
    }

    /// Announces that the node drains, refuses new calls, waits for the calls that are queued or
    /// running, then leaves the mesh and stops.
    ///
    /// For the time of the setting `drain_notice_ms`, calls of local callers are still accepted,
    /// while [`NodeReadiness`] already reports that the node is not ready.
    pub async fn shutdown(self) {
        log::info!(event = "stopping"; "stopping");
        let start = Instant::now();
        let deadline = start + self.context.settings.calls.drain_timeout();
        self.shutting_down_sender.send_replace(true);
        // The actors run until `self` is dropped.
        let _ = self.join.ask(StartDrain).await;
        let _ = self
            .members
            .ask(AnnounceStatus(MemberStatus::Draining))
            .await;
        let notice_ends_at = start + self.context.settings.calls.drain_notice;
        if !self.drain.drain_calls(notice_ends_at, deadline).await {
            log::warn!(event = "drain-limit"; "calls did not end within the drain limit and are aborted");
        }
        let _ = self.join.ask(CallsDrained).await;
        let _ = self.members.ask(AnnounceStatus(MemberStatus::Left)).await;
        tokio::join!(
            remove_own_row(&self.context),
            tokio::time::sleep(LEAVE_GRACE_PERIOD)
        );
        self.stop_sender.send_replace(true);
        let close_deadline = Instant::now() + CLOSE_TIMEOUT;
        await_servers(self.call_servers, deadline.max(close_deadline)).await;
        await_servers(self.operator_servers, close_deadline).await;
        for task in &self.tasks {
            task.abort();
        }
        log::info!(event = "stopped"; "stopped");
    }
}

/// Starts the tasks that report on the control plane.
fn spawn_reports(context: &NodeContext, meters: &ConnectionMeters) -> [JoinHandle<()>; 2] {
    [
        tokio::spawn(report_gauges(context.clone(), meters.clone())),
        tokio::spawn(report_peer_requests(
            context.metrics.clone(),
            meters.clone(),
        )),
    ]
}

/// Waits until the servers have closed their connections, and ends those that have not at `deadline`.
async fn await_servers(servers: Vec<JoinHandle<()>>, deadline: Instant) {
    for mut server in servers {
        if timeout_at(deadline, &mut server).await.is_err() {
            server.abort();
        }
    }
}

/// Reports whether the node takes calls of local callers.
#[derive(Clone, Debug)]
pub struct NodeReadiness {
    config: watch::Receiver<ServedConfig>,
    shutting_down: watch::Receiver<bool>,
}

impl NodeReadiness {
    /// Whether the node has an active version and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let serves = served_version(&self.config.borrow()).is_some_and(|version| version > 0);
        serves && !*self.shutting_down.borrow()
    }
}

/// Reports a failure if `actor` ends. The task is aborted when the node is stopped.
fn supervise_actor<A: Actor>(
    name: &'static str,
    actor: &ActorRef<A>,
    failure_sender: &watch::Sender<bool>,
) -> JoinHandle<()> {
    let (actor, failure_sender) = (actor.clone(), failure_sender.clone());
    tokio::spawn(async move {
        actor.wait_for_shutdown().await;
        log::error!(event = "actor-ended", actor = name; "actor `{name}` has ended unexpectedly");
        failure_sender.send_replace(true);
    })
}
