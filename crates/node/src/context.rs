//! What most tasks of a node share: immutable values, borders and published state.

use std::sync::Arc;

use agatedeck_control::{DisseminationPolicy, JoinState, MemberTable};
use agatedeck_records::ConfigSnapshot;
use agatedeck_store::PlatformStore;
use agatedeck_wire::Member;
use tokio::sync::watch;

use crate::adapters::{CallProtocol, ConfigFeed};
use crate::clock::ProcessClock;
use crate::metrics::NodeMetrics;
use crate::peer::PeerTransport;
use crate::settings::NodeSettings;

/// The configuration in force and whether the node may serve calls by it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedConfig {
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) may_serve: bool,
}

/// Shared by the tasks of a node. Nothing in it is changed by those who hold it.
#[derive(Clone, Debug)]
pub(crate) struct NodeContext {
    pub(crate) settings: Arc<NodeSettings>,
    /// The node's own entry as it was when the node started.
    pub(crate) own: Arc<Member>,
    pub(crate) clock: ProcessClock,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) feed: Option<Arc<dyn ConfigFeed>>,
    pub(crate) protocol: Arc<dyn CallProtocol>,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) metrics: NodeMetrics,
    pub(crate) policy: Arc<dyn DisseminationPolicy>,
    pub(crate) config: watch::Receiver<ServedConfig>,
    pub(crate) members: watch::Receiver<Arc<MemberTable>>,
    /// How far the node has come from its start to its end.
    pub(crate) phase: watch::Receiver<JoinState>,
}

impl NodeContext {
    /// When a request to the store that is sent now must have ended.
    pub(crate) fn store_deadline(&self) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.settings.store.timeout
    }

    /// The member table as last published.
    pub(crate) fn table(&self) -> Arc<MemberTable> {
        Arc::clone(&self.members.borrow())
    }

    /// The configuration as last published.
    pub(crate) fn served(&self) -> ServedConfig {
        self.config.borrow().clone()
    }
}
