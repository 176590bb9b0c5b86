//! The context of a node, and the actors and tasks of its control plane.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_control::{
    ConfirmationLog, DisseminationPolicy, JoinState, MemberTable, StorePolling, TreeDissemination,
};
use agatedeck_records::NEWEST_SCHEMA;
use agatedeck_wire::{Member, MemberStatus};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::adapters::NodeAdapters;
use crate::calls::CrashMonitor;
use crate::clock::{ProcessClock, unix_ms};
use crate::config::ConfigActor;
use crate::confirmation::{
    ConfirmationReceiver, ConfirmationSender, ConfirmationTask, MAX_QUEUED_CONFIRMATIONS,
    run_confirmation,
};
use crate::context::{NodeContext, ServedConfig};
use crate::dissemination::DisseminationRelay;
use crate::listeners::NodeAddresses;
use crate::member::{
    JoinActor, JoinReceivers, MemberActor, SetActiveVersion, SetHeldVersion, run_detector,
    run_directory, run_join,
};
use crate::memory::{MemoryAccount, ProcessLimits};
use crate::metrics::NodeMetrics;
use crate::peer::{
    ConnectionMeters, DelayedTransport, MeteredTransport, PeerTransport, PooledTransport,
};
use crate::quota::QuotaActor;
use crate::rollout::{PublishedRollouts, RolloutActor};
use crate::settings::{DisseminationMode, EmulationSettings, NodeSettings};
use crate::store::{
    CommitActor, FeedSource, HeadSource, ReaderReceiver, ReaderSender, VersionReader,
    VersionSource, run_reader,
};

/// Number of readers of the configuration feed in each region. A version waits for no takeover if one
/// of them loses the feed.
const FEED_READERS_PER_REGION: usize = 2;

/// Time for which one long poll of a reader of the feed on standby waits for the next version. Each
/// request is billed.
const FEED_STANDBY_WAIT: Duration = Duration::from_secs(5);

fn local_member(settings: &NodeSettings, addresses: &NodeAddresses) -> Member {
    Member {
        node: settings.name.clone(),
        incarnation: unix_ms(),
        status: MemberStatus::Alive.into(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        // A target that announces itself takes no calls before it is registered.
        service: match &settings.target {
            Some(target) if !target.announces => target.service.clone(),
            _ => String::new(),
        },
        control_address: addresses.control.to_string(),
        peer_address: addresses.peer.to_string(),
        reads_schema: NEWEST_SCHEMA,
        version: 0,
        slots: 0,
        warming: false,
        target_version: String::new(),
    }
}

fn dissemination_policy(
    settings: &NodeSettings,
    follows_feed: bool,
) -> Arc<dyn DisseminationPolicy> {
    match settings.dissemination {
        DisseminationMode::Tree => {
            let store_region = settings.store.region.clone();
            let mut tree = TreeDissemination {
                store_region,
                ..Default::default()
            };
            if follows_feed {
                (tree.home_reader_count, tree.remote_reader_count) =
                    (FEED_READERS_PER_REGION, FEED_READERS_PER_REGION);
                (tree.home_poll_interval, tree.remote_poll_interval) =
                    (FEED_STANDBY_WAIT, FEED_STANDBY_WAIT);
            }
            Arc::new(tree)
        }
        DisseminationMode::Poll => Arc::new(StorePolling::default()),
    }
}

fn peer_transport(
    settings: &NodeSettings,
    meters: &ConnectionMeters,
    metrics: &NodeMetrics,
) -> Arc<dyn PeerTransport> {
    let pooled = Arc::new(PooledTransport::start(&settings.region, meters.clone()));
    let pooled = Arc::new(MeteredTransport::new(pooled, metrics.clone()));
    if settings.emulation == EmulationSettings::default() {
        return pooled;
    }
    let (region, domain) = (&settings.region, &settings.domain);
    Arc::new(DelayedTransport::new(
        pooled,
        region,
        domain,
        settings.emulation,
    ))
}

/// The senders of the watch channels in [`NodeContext`].
pub(crate) struct StateSenders {
    config: watch::Sender<ServedConfig>,
    members: watch::Sender<Arc<MemberTable>>,
    phase: watch::Sender<JoinState>,
    confirmations: watch::Sender<ConfirmationLog>,
}

/// Sender of the rollouts in [`NodeContext`].
pub(crate) type RolloutSender = watch::Sender<Arc<PublishedRollouts>>;

pub(crate) fn node_context(
    settings: NodeSettings,
    addresses: &NodeAddresses,
    adapters: NodeAdapters,
    meters: &ConnectionMeters,
) -> (StateSenders, RolloutSender, NodeContext) {
    let (config_sender, config) = watch::channel(ServedConfig::default());
    let (members_sender, members) = watch::channel(Arc::new(MemberTable::default()));
    let (rollout_sender, rollouts) = watch::channel(Arc::default());
    let (phase_sender, phase) = watch::channel(JoinState::Starting);
    let (confirmation_sender, confirmations) = watch::channel(ConfirmationLog::default());
    let metrics = NodeMetrics::new(settings.metrics);
    let limits = ProcessLimits::from_settings(&settings.limits);
    limits.log();
    let context = NodeContext {
        memory: MemoryAccount::new(limits.caller_bytes, limits.memory_wait),
        node_memory: MemoryAccount::new(limits.node_bytes, limits.memory_wait),
        control_memory: MemoryAccount::new(limits.control_bytes, limits.memory_wait),
        limits,
        local_member: Arc::new(local_member(&settings, addresses)),
        clock: ProcessClock::start(),
        dissemination_policy: dissemination_policy(&settings, adapters.feed.is_some()),
        store: adapters.store,
        feed: adapters.feed,
        rollout_board: adapters.rollout_board,
        protocol: adapters.protocol,
        transport: peer_transport(&settings, meters, &metrics),
        metrics,
        settings: Arc::new(settings),
        config,
        members,
        confirmations,
        rollouts,
        phase,
    };
    let senders = StateSenders {
        config: config_sender,
        members: members_sender,
        phase: phase_sender,
        confirmations: confirmation_sender,
    };
    (senders, rollout_sender, context)
}

/// Maximum number of messages that wait for the reading task.
const MAX_QUEUED_READER_MESSAGES: usize = 16;

/// Senders of messages to the tasks that read and confirm versions.
#[derive(Clone, Debug)]
pub(crate) struct VersionSenders {
    pub(crate) reader: ReaderSender,
    pub(crate) confirmations: ConfirmationSender,
}

/// Receivers of these messages.
pub(crate) struct VersionReceivers {
    reader: ReaderReceiver,
    confirmations: ConfirmationReceiver,
}

/// Opens the channels to the tasks that read and confirm versions.
pub(crate) fn version_channels() -> (VersionSenders, VersionReceivers) {
    let (reader, reader_messages) = mpsc::channel(MAX_QUEUED_READER_MESSAGES);
    let (confirmations, confirmation_messages) = mpsc::channel(MAX_QUEUED_CONFIRMATIONS);
    let senders = VersionSenders {
        reader,
        confirmations,
    };
    let receivers = VersionReceivers {
        reader: reader_messages,
        confirmations: confirmation_messages,
    };
    (senders, receivers)
}

/// The actors of the control plane.
pub(crate) struct ControlActors {
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) relay: ActorRef<DisseminationRelay>,
    pub(crate) members: ActorRef<MemberActor>,
    pub(crate) commit_actor: ActorRef<CommitActor>,
    pub(crate) join: ActorRef<JoinActor>,
    pub(crate) crashes: CrashMonitor,
    /// Publishes the confirmations of versions.
    pub(crate) confirmation_log: watch::Sender<ConfirmationLog>,
    pub(crate) quotas: ActorRef<QuotaActor>,
}

impl ControlActors {
    pub(crate) fn spawn(
        context: &NodeContext,
        senders: StateSenders,
        version_senders: VersionSenders,
    ) -> Result<Self, ChartError> {
        let config = ConfigActor::new(context.clone(), senders.config)?;
        let config = ConfigActor::spawn(config);
        let relay = DisseminationRelay::spawn(DisseminationRelay::new(context.clone()));
        let crashes = CrashMonitor::start(context, relay.clone());
        let members = MemberActor::spawn(MemberActor::new(
            context.clone(),
            senders.members,
            relay.clone(),
            config.clone(),
            crashes.actor.clone(),
        ));
        let commit_actor = CommitActor::spawn(CommitActor {
            context: context.clone(),
            config: config.clone(),
            relay: relay.clone(),
        });
        let join = JoinActor::spawn(JoinActor::new(
            context.clone(),
            JoinReceivers {
                config: config.clone(),
                members: members.clone(),
                crash_actor: crashes.actor.clone(),
                reader: version_senders.reader,
                confirmations: version_senders.confirmations,
            },
            senders.phase,
        ));
        Ok(Self {
            config,
            relay,
            members,
            commit_actor,
            join,
            crashes,
            confirmation_log: senders.confirmations,
            quotas: QuotaActor::start(context),
        })
    }
}

/// Where a node reads versions: the configuration feed, or the store if there is none.
fn version_source(context: &NodeContext, config: &ActorRef<ConfigActor>) -> Arc<dyn VersionSource> {
    match context.feed.clone() {
        Some(feed) => Arc::new(FeedSource {
            feed,
            config: config.clone(),
            metrics: context.metrics.clone(),
        }),
        None => Arc::new(HeadSource {
            context: context.clone(),
            config: config.clone(),
        }),
    }
}

/// Starts the tasks that read versions and confirm them.
pub(crate) fn spawn_version_tasks(
    context: &NodeContext,
    config: ActorRef<ConfigActor>,
    relay: ActorRef<DisseminationRelay>,
    rollouts: ActorRef<RolloutActor>,
    senders: VersionSenders,
    receivers: VersionReceivers,
    log_sender: watch::Sender<ConfirmationLog>,
) -> ([JoinHandle<()>; 2], watch::Receiver<Option<u64>>) {
    let (generation_sender, generation) = watch::channel(None);
    let reader = VersionReader {
        context: context.clone(),
        source: version_source(context, &config),
        config: config.clone(),
        relay,
        messages: receivers.reader,
        confirmations: senders.confirmations,
        rollouts,
        generation: generation_sender,
    };
    let confirmation = ConfirmationTask {
        context: context.clone(),
        config,
        messages: receivers.confirmations,
        reader: senders.reader,
        log_sender,
    };
    let tasks = [
        tokio::spawn(run_reader(reader)),
        tokio::spawn(run_confirmation(confirmation)),
    ];
    (tasks, generation)
}

/// Starts the tasks that drive membership and the join.
pub(crate) fn spawn_membership_tasks(
    context: &NodeContext,
    members: &ActorRef<MemberActor>,
    join: &ActorRef<JoinActor>,
    generation: watch::Receiver<Option<u64>>,
) -> [JoinHandle<()>; 4] {
    [
        tokio::spawn(run_detector(context.clone(), members.clone())),
        tokio::spawn(run_join(join.clone())),
        tokio::spawn(run_directory(
            context.clone(),
            join.clone(),
            members.clone(),
            generation,
        )),
        tokio::spawn(forward_active_version(
            context.config.clone(),
            members.clone(),
            join.clone(),
        )),
    ]
}

/// Forwards the active version to the actors that depend on it.
async fn forward_active_version(
    mut config: watch::Receiver<ServedConfig>,
    members: ActorRef<MemberActor>,
    join: ActorRef<JoinActor>,
) {
    while config.changed().await.is_ok() {
        let version = config.borrow_and_update().snapshot.version();
        // The sends fail only while the node is stopping.
        let _ = members.tell(SetActiveVersion(version)).await;
        let _ = join.tell(SetHeldVersion(version)).await;
    }
}
