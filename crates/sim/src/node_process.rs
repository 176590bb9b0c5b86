//! The state machines of one node process.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfigReplica, FailureDetector, FloorTable, HeartbeatFilter, MemberSettings, PullMachine,
    PullRound, PullSettings, ReaderMachine, ReaderSettings, RelayLog, RelaySettings,
    ReplicaSettings, SilenceLog,
};
use agatedeck_wire::Member;
use rand::rngs::SmallRng;

use crate::message::Purpose;

/// A pull in progress.
#[derive(Debug)]
pub(crate) struct CurrentPull {
    pub(crate) number: u64,
    /// Version that the node held when the pull began.
    pub(crate) version: u64,
    pub(crate) round: PullRound,
}

/// Witnesses of one version.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FloorCount {
    pub(crate) open: usize,
    pub(crate) recorded: usize,
}

/// One process of a node.
#[derive(Debug)]
pub(crate) struct NodeProcess {
    pub(crate) detector: FailureDetector,
    pub(crate) floor_table: FloorTable,
    pub(crate) replica: ConfigReplica,
    pub(crate) pull_machine: PullMachine,
    pub(crate) pull: Option<CurrentPull>,
    /// Pulls that ended without an answer, of which answers are still applied.
    pub(crate) unanswered_pulls: BTreeSet<u64>,
    pub(crate) relay_log: RelayLog,
    pub(crate) silences: SilenceLog,
    pub(crate) heartbeat_filter: HeartbeatFilter,
    /// `None` until the node serves.
    pub(crate) reader: Option<ReaderMachine>,
    /// When the reader is polled next.
    pub(crate) reader_tick_at: Option<Instant>,
    /// Reads in progress.
    pub(crate) reads: BTreeSet<u64>,
    pub(crate) position: Option<u64>,
    /// Position up to which this node holds the newest version.
    pub(crate) held_position: u64,
    pub(crate) requests: BTreeMap<u64, Purpose>,
    pub(crate) floor_counts: BTreeMap<u64, FloorCount>,
    /// Whether a peer has answered the join.
    pub(crate) has_joined: bool,
    /// Whether the rows of the directory have been read.
    pub(crate) knows_directory: bool,
    /// Last snapshot version that was compressed for a pull.
    pub(crate) compressed_version: u64,
}

impl NodeProcess {
    pub(crate) fn new(local_member: &Member, now: Instant, rng: &mut SmallRng) -> Self {
        let settings = MemberSettings::default();
        let mut replica = ConfigReplica::new(ReplicaSettings::default())
            .unwrap_or_else(|error| unreachable!("the chart of activation is valid: {error}"));
        replica.raise_floor(0);
        Self {
            detector: FailureDetector::new(local_member, &settings, now, rng),
            floor_table: FloorTable::new(&local_member.domain),
            replica,
            pull_machine: PullMachine::new(PullSettings::default()),
            pull: None,
            unanswered_pulls: BTreeSet::new(),
            relay_log: RelayLog::new(&RelaySettings::default()),
            silences: SilenceLog::new(RelaySettings::default().silence_memory),
            heartbeat_filter: HeartbeatFilter::new(ReaderSettings::default()),
            reader: None,
            reader_tick_at: None,
            reads: BTreeSet::new(),
            position: None,
            held_position: 0,
            requests: BTreeMap::new(),
            floor_counts: BTreeMap::new(),
            has_joined: false,
            knows_directory: false,
            compressed_version: 0,
        }
    }

    /// Starts to serve if the node knows others and has a version in force.
    pub(crate) fn start_serving(&mut self, now: Instant, rng: &mut SmallRng) {
        if self.reader.is_some() || !self.knows_directory || self.current_version() == 0 {
            return;
        }
        let name = &self.detector.local_member().node;
        let live_nodes = self.detector.table().live().count();
        let settings = ReaderSettings::default();
        let reader = ReaderMachine::new(name, live_nodes, settings, now, rng);
        self.reader = Some(reader);
    }

    pub(crate) fn current_version(&self) -> u64 {
        self.replica.current().version()
    }

    pub(crate) fn latest_version(&self) -> u64 {
        self.replica.latest().version()
    }
}
