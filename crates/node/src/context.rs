//! State shared by most tasks of a node: immutable values, adapters and published state.

use std::sync::Arc;

use agatedeck_control::{ConfirmationLog, DisseminationPolicy, JoinState, MemberTable};
use agatedeck_records::ConfigSnapshot;
use agatedeck_store::PlatformStore;
use agatedeck_wire::Member;
use tokio::sync::watch;

use crate::adapters::{CallProtocol, ConfigFeed, RolloutBoard};
use crate::clock::{BootClock, ProcessClock};
use crate::confirmation::KEY_VALIDITY_MARGIN;
use crate::memory::{MemoryAccount, ProcessLimits};
use crate::metrics::NodeMetrics;
use crate::peer::PeerTransport;
use crate::rollout::PublishedRollouts;
use crate::settings::NodeSettings;

/// The active configuration, and whether the node may serve calls with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedConfig {
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) may_serve: bool,
}

/// Shared by the tasks of a node, which only read it.
#[derive(Clone, Debug)]
pub(crate) struct NodeContext {
    pub(crate) settings: Arc<NodeSettings>,
    /// The member entry of this node as of startup.
    pub(crate) local_member: Arc<Member>,
    pub(crate) clock: ProcessClock,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) feed: Option<Arc<dyn ConfigFeed>>,
    pub(crate) rollout_board: Option<Arc<dyn RolloutBoard>>,
    pub(crate) protocol: Arc<dyn CallProtocol>,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) metrics: NodeMetrics,
    /// What clients may hold of the process.
    pub(crate) limits: ProcessLimits,
    /// Account of the bytes that local callers and operators hold.
    pub(crate) memory: MemoryAccount,
    /// Account of the bytes that other nodes hold. A call holds memory at its caller's node while it waits
    /// for memory at this one, so callers must not take it.
    pub(crate) node_memory: MemoryAccount,
    /// Account of the frames of the control protocol that are not complete.
    pub(crate) control_memory: MemoryAccount,
    pub(crate) dissemination_policy: Arc<dyn DisseminationPolicy>,
    pub(crate) config: watch::Receiver<ServedConfig>,
    pub(crate) members: watch::Receiver<Arc<MemberTable>>,
    /// When versions were known to be the newest ones.
    pub(crate) confirmations: watch::Receiver<ConfirmationLog>,
    pub(crate) rollouts: watch::Receiver<Arc<PublishedRollouts>>,
    /// Life cycle state of the node.
    pub(crate) phase: watch::Receiver<JoinState>,
}

impl NodeContext {
    /// Deadline of a store request that is sent now.
    pub(crate) fn store_deadline(&self) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.settings.store.timeout
    }

    /// The latest published member table.
    pub(crate) fn table(&self) -> Arc<MemberTable> {
        Arc::clone(&self.members.borrow())
    }

    /// Whether keys of the configuration `version` may still be used. True if their validity is not
    /// limited.
    pub(crate) fn permits_keys(&self, version: u64) -> bool {
        self.settings.calls.key_validity.is_none_or(|key_validity| {
            let validity = key_validity.saturating_sub(KEY_VALIDITY_MARGIN);
            let now = BootClock::now();
            self.confirmations
                .borrow()
                .permits_keys(version, validity, now)
        })
    }

    /// The latest published rollouts.
    pub(crate) fn rollouts(&self) -> Arc<PublishedRollouts> {
        Arc::clone(&self.rollouts.borrow())
    }

    /// The latest published configuration.
    pub(crate) fn served(&self) -> ServedConfig {
        self.config.borrow().clone()
    }
}
