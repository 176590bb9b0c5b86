//! The configuration replica: the active version, staged candidates and retained deltas.

use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use agatedeck_records::{ConfigSnapshot, SnapshotView, compress, decompress, delta_base_version};
use agatedeck_wire::Delta;
use derive_more::Display;

use super::activation::{
    self, ActivationAction, ActivationChart, ActivationEvent, ActivationState,
};

/// Settings of a [`ConfigReplica`].
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Highest schema version that the node can read.
    pub reads_schema: u32,
    /// Time that the witnesses have to acknowledge a floor record before the version is activated
    /// without them.
    pub witness_timeout: Duration,
    /// Maximum number of recent deltas retained for nodes that are behind.
    pub max_retained_deltas: usize,
    /// Maximum number of deltas buffered that arrived before their base version.
    pub max_out_of_order: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            reads_schema: agatedeck_records::NEWEST_SCHEMA,
            witness_timeout: Duration::from_millis(150),
            max_retained_deltas: 256,
            max_out_of_order: 64,
        }
    }
}

/// How a version reached the node.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum VersionOrigin {
    /// Read by this node from the configuration feed.
    Feed,
    /// Read by this node from the store.
    Store,
    /// Committed by this node.
    Commit,
    /// Received over the dissemination tree.
    Tree,
    /// Pulled from another node.
    Pull,
}

/// Result of offering a version to a [`ConfigReplica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The version is active or staged for activation.
    Held,
    /// The node already holds this version or a newer one.
    Stale,
    /// The base version of the delta is missing.
    Behind,
    /// The version failed validation, for this reason.
    Refused(String),
}

/// An effect that the owner of a [`ConfigReplica`] must carry out.
#[derive(Clone, Debug)]
pub enum VersionEffect {
    /// Record the version as the floor of this node with its witnesses, then call
    /// [`ConfigReplica::on_witnesses_recorded`].
    RecordFloor {
        /// The version to be activated.
        version: u64,
        /// When to stop waiting; [`ConfigReplica::tick`] then activates the version.
        deadline: Instant,
    },
    /// Serve calls by this snapshot from now on.
    Activate {
        /// The version that is now active.
        snapshot: Arc<ConfigSnapshot>,
        /// How it reached this node.
        origin: VersionOrigin,
        /// When it was validated.
        validated_at: Instant,
    },
    /// Pull the versions after this one from a node that is ahead.
    PullAfter(u64),
}

/// Answer to a pull by a node that is behind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PullReply {
    /// Compressed deltas in ascending order; empty if there is nothing newer.
    Deltas(Vec<Vec<u8>>),
    /// A complete compressed snapshot.
    Snapshot(Vec<u8>),
}

/// A validated version that is not yet active.
#[derive(Debug)]
struct CandidateVersion {
    snapshot: Arc<ConfigSnapshot>,
    state: ActivationState,
    origin: VersionOrigin,
    validated_at: Instant,
    deadline: Instant,
}

/// A delta with its compressed form, which is kept because compression is the most expensive step
/// in processing a delta.
#[derive(Debug)]
struct DecodedDelta {
    message: Delta,
    compressed: Vec<u8>,
    origin: VersionOrigin,
}

impl DecodedDelta {
    fn decode(bytes: &[u8], origin: VersionOrigin) -> Result<Self, String> {
        let message = decompress::<Delta>(bytes).map_err(|error| error.to_string())?;
        Ok(Self {
            message,
            compressed: bytes.to_vec(),
            origin,
        })
    }
}

/// A compressed delta retained for pulls by nodes that are behind.
#[derive(Debug)]
struct RetainedDelta {
    base: u64,
    version: u64,
    compressed: Vec<u8>,
}

/// The configuration of one node: the active version and the candidates staged after it.
///
/// Invariants: the active version never decreases; `candidates` ascend, and each is newer than the
/// active version; a version below the floor is never served once the floor is known.
#[derive(Debug)]
pub struct ConfigReplica {
    settings: ReplicaSettings,
    chart: ActivationChart,
    current: Arc<ConfigSnapshot>,
    /// The compressed form of `current`, computed on the first pull that needs it.
    compressed_current: OnceCell<Vec<u8>>,
    floor: Option<u64>,
    candidates: VecDeque<CandidateVersion>,
    /// Deltas that arrived before their base version, keyed by the version that they produce.
    out_of_order: BTreeMap<u64, DecodedDelta>,
    retained_deltas: VecDeque<RetainedDelta>,
    refusal: Option<(u64, String)>,
}

impl ConfigReplica {
    /// Creates a replica of the empty configuration with an unknown floor.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid.
    pub fn new(settings: ReplicaSettings) -> Result<Self, ChartError> {
        Ok(Self {
            settings,
            chart: activation::load_chart()?,
            current: Arc::default(),
            compressed_current: OnceCell::new(),
            floor: None,
            candidates: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            retained_deltas: VecDeque::new(),
            refusal: None,
        })
    }

    /// The active snapshot.
    pub fn current(&self) -> &Arc<ConfigSnapshot> {
        &self.current
    }

    /// The newest validated snapshot: the last candidate, or the active snapshot if there is none.
    pub fn latest(&self) -> &Arc<ConfigSnapshot> {
        self.candidates
            .back()
            .map_or(&self.current, |candidate| &candidate.snapshot)
    }

    /// The last refused version and the reason, until that version or a newer one is active.
    pub fn refusal(&self) -> Option<(u64, &str)> {
        self.refusal
            .as_ref()
            .map(|(version, reason)| (*version, reason.as_str()))
    }

    /// Raises the floor, the lowest version that the node may serve. A known floor never decreases.
    pub fn raise_floor(&mut self, floor: u64) {
        self.floor = Some(self.floor.unwrap_or(0).max(floor));
    }

    /// The lowest version that the node may serve; `None` until it is known.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Whether the floor is known and the active version is not below it.
    pub fn may_serve(&self) -> bool {
        self.floor
            .is_some_and(|floor| self.current.version() >= floor)
    }

    /// Offers a version as a compressed delta.
    pub fn offer(
        &mut self,
        version: u64,
        delta: &[u8],
        origin: VersionOrigin,
        now: Instant,
    ) -> (OfferResult, Vec<VersionEffect>) {
        let latest = self.latest().version();
        if version <= latest {
            return (OfferResult::Stale, Vec::new());
        }
        match DecodedDelta::decode(delta, origin) {
            Ok(delta) => self.offer_decoded(delta, now),
            Err(reason) => (self.refuse_offer(version, reason), Vec::new()),
        }
    }

    fn offer_decoded(
        &mut self,
        delta: DecodedDelta,
        now: Instant,
    ) -> (OfferResult, Vec<VersionEffect>) {
        let latest = self.latest().version();
        if delta_base_version(&delta.message) != latest {
            self.buffer_out_of_order(delta);
            return (OfferResult::Behind, vec![VersionEffect::PullAfter(latest)]);
        }
        let mut effects = Vec::new();
        let result = self.stage_next(delta, now, &mut effects);
        if result == OfferResult::Held {
            self.stage_buffered(now, &mut effects);
        }
        (result, effects)
    }

    /// Offers pulled deltas, which are in ascending order.
    ///
    /// Versions that have arrived over another path since the pull was sent are skipped.
    pub fn offer_pulled(&mut self, deltas: &[Vec<u8>], now: Instant) -> Vec<VersionEffect> {
        let mut effects = Vec::new();
        for bytes in deltas {
            let latest = self.latest().version();
            match DecodedDelta::decode(bytes, VersionOrigin::Pull) {
                Ok(delta) if delta.message.version <= latest => {}
                Ok(delta) => effects.extend(self.offer_decoded(delta, now).1),
                Err(reason) => self.record_refusal(latest + 1, &reason),
            }
        }
        effects
    }

    fn buffer_out_of_order(&mut self, delta: DecodedDelta) {
        self.out_of_order.insert(delta.message.version, delta);
        while self.out_of_order.len() > self.settings.max_out_of_order {
            // Evict the highest version, which is the most likely to be pulled again anyway.
            self.out_of_order.pop_last();
        }
    }

    fn stage_buffered(&mut self, now: Instant, effects: &mut Vec<VersionEffect>) {
        loop {
            let latest = self.latest().version();
            self.out_of_order = self.out_of_order.split_off(&(latest + 1));
            let mut buffered = self.out_of_order.values().map(|delta| &delta.message);
            let next = buffered.find(|delta| delta_base_version(delta) == latest);
            let Some(version) = next.map(|delta| delta.version) else {
                return;
            };
            let Some(delta) = self.out_of_order.remove(&version) else {
                return;
            };
            if self.stage_next(delta, now, effects) != OfferResult::Held {
                return;
            }
        }
    }

    /// Validates and stages the successor of the latest version.
    fn stage_next(
        &mut self,
        delta: DecodedDelta,
        now: Instant,
        effects: &mut Vec<VersionEffect>,
    ) -> OfferResult {
        let validated = self
            .latest()
            .apply(&delta.message)
            .map_err(|error| error.to_string());
        let validated = validated.and_then(|snapshot| self.require_readable(snapshot));
        match validated {
            Ok(snapshot) => {
                let origin = delta.origin;
                self.retain_delta(delta);
                self.stage_candidate(snapshot, origin, now, effects);
                OfferResult::Held
            }
            Err(reason) => self.refuse_offer(delta.message.version, reason),
        }
    }

    /// Offers a complete version read from the feed. Returns the compressed delta from the latest
    /// version before it, for the nodes that hold that version; `None` if the snapshot is not newer
    /// or is refused.
    pub fn offer_from_feed(
        &mut self,
        snapshot: &ConfigSnapshot,
        now: Instant,
    ) -> (Option<Vec<u8>>, Vec<VersionEffect>) {
        if snapshot.version() <= self.latest().version() {
            return (None, Vec::new());
        }
        let message = self.latest().delta_to(snapshot);
        let compressed = compress(&message);
        let delta = DecodedDelta {
            message,
            compressed: compressed.clone(),
            origin: VersionOrigin::Feed,
        };
        let (result, effects) = self.offer_decoded(delta, now);
        let compressed = (result == OfferResult::Held).then_some(compressed);
        (compressed, effects)
    }

    fn require_readable(&self, snapshot: ConfigSnapshot) -> Result<ConfigSnapshot, String> {
        let unreadable = SnapshotView::new(&snapshot, self.settings.reads_schema).unreadable();
        if unreadable.is_empty() {
            return Ok(snapshot);
        }
        let keys: Vec<String> = unreadable.iter().map(ToString::to_string).collect();
        let schema = self.settings.reads_schema;
        Err(format!(
            "no form up to schema {schema} in {}",
            keys.join(", ")
        ))
    }

    fn refuse_offer(&mut self, version: u64, reason: String) -> OfferResult {
        self.record_refusal(version, &reason);
        OfferResult::Refused(reason)
    }

    fn record_refusal(&mut self, version: u64, reason: &str) {
        let mut state = self.chart.initial();
        let actions = self
            .chart
            .advance(&mut state, ActivationEvent::ValidationFailed);
        if actions.contains(&ActivationAction::ReportRefusal) {
            self.refusal = Some((version, reason.to_owned()));
        }
    }

    fn retain_delta(&mut self, delta: DecodedDelta) {
        self.retained_deltas.push_back(RetainedDelta {
            base: delta_base_version(&delta.message),
            version: delta.message.version,
            compressed: delta.compressed,
        });
        while self.retained_deltas.len() > self.settings.max_retained_deltas {
            self.retained_deltas.pop_front();
        }
    }

    fn stage_candidate(
        &mut self,
        snapshot: ConfigSnapshot,
        origin: VersionOrigin,
        now: Instant,
        effects: &mut Vec<VersionEffect>,
    ) {
        let version = snapshot.version();
        let mut state = self.chart.initial();
        let deadline = now.after(self.settings.witness_timeout);
        for action in self
            .chart
            .advance(&mut state, ActivationEvent::ValidationPassed)
        {
            if *action == ActivationAction::RecordFloor {
                effects.push(VersionEffect::RecordFloor { version, deadline });
            }
        }
        let snapshot = Arc::new(snapshot);
        self.candidates.push_back(CandidateVersion {
            snapshot,
            state,
            origin,
            validated_at: now,
            deadline,
        });
    }

    /// Offers a complete compressed snapshot, for a node that is too far behind for deltas.
    pub fn offer_snapshot(
        &mut self,
        bytes: &[u8],
        digest: &[u8],
        origin: VersionOrigin,
        now: Instant,
    ) -> (OfferResult, Vec<VersionEffect>) {
        let decoded = ConfigSnapshot::decode(bytes, digest).map_err(|error| error.to_string());
        let decoded = decoded.and_then(|snapshot| self.require_readable(snapshot));
        match decoded {
            Ok(snapshot) if snapshot.version() <= self.latest().version() => {
                (OfferResult::Stale, Vec::new())
            }
            Ok(snapshot) => {
                // The retained deltas end at the previous version, so the chain would have a gap.
                self.retained_deltas.clear();
                let mut effects = Vec::new();
                self.stage_candidate(snapshot, origin, now, &mut effects);
                self.stage_buffered(now, &mut effects);
                (OfferResult::Held, effects)
            }
            Err(reason) => {
                let version = self.latest().version() + 1;
                self.record_refusal(version, &reason);
                (OfferResult::Refused(reason), Vec::new())
            }
        }
    }

    /// Handles the acknowledgement of `version` by its witnesses. Activates the candidates up to
    /// `version`, older ones included.
    pub fn on_witnesses_recorded(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_candidates(version, ActivationEvent::WitnessesRecorded)
    }

    /// Handles the failure of the witnesses to record `version`, known before their deadline.
    /// Activates the candidates up to `version` without waiting further.
    pub fn on_witnesses_failed(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_candidates(version, ActivationEvent::WitnessesFailed)
    }

    /// Activates the candidates up to the newest one whose witness deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<VersionEffect> {
        let expired = self
            .candidates
            .iter()
            .rev()
            .find(|candidate| candidate.deadline.is_past(now));
        let version = expired.map(|candidate| candidate.snapshot.version());
        version.map_or_else(Vec::new, |version| {
            self.advance_candidates(version, ActivationEvent::WitnessesFailed)
        })
    }

    fn advance_candidates(&mut self, version: u64, event: ActivationEvent) -> Vec<VersionEffect> {
        let mut effects = Vec::new();
        while self
            .candidates
            .front()
            .is_some_and(|first| first.snapshot.version() <= version)
        {
            let Some(mut candidate) = self.candidates.pop_front() else {
                break;
            };
            let actions = self.chart.advance(&mut candidate.state, event);
            if actions.contains(&ActivationAction::Activate) {
                self.activate(candidate, &mut effects);
            }
        }
        effects
    }

    fn activate(&mut self, candidate: CandidateVersion, effects: &mut Vec<VersionEffect>) {
        let snapshot = candidate.snapshot;
        if snapshot.version() <= self.current.version() {
            return;
        }
        if self
            .refusal
            .as_ref()
            .is_some_and(|(version, _)| *version <= snapshot.version())
        {
            self.refusal = None;
        }
        self.current = Arc::clone(&snapshot);
        self.compressed_current = OnceCell::new();
        effects.push(VersionEffect::Activate {
            snapshot,
            origin: candidate.origin,
            validated_at: candidate.validated_at,
        });
    }

    /// The deltas or the snapshot by which a node that holds version `held` reaches the active
    /// version of this node.
    pub fn answer_pull(&self, held: u64) -> PullReply {
        let current = self.current.version();
        if held >= current {
            return PullReply::Deltas(Vec::new());
        }
        let chain = self.delta_chain(held, current);
        let snapshot = self
            .compressed_current
            .get_or_init(|| self.current.compressed());
        match chain {
            Some(deltas) if deltas.iter().map(Vec::len).sum::<usize>() <= snapshot.len() => {
                PullReply::Deltas(deltas)
            }
            _ => PullReply::Snapshot(snapshot.clone()),
        }
    }

    /// The retained deltas from `held` to `current`; `None` if one of them is missing.
    fn delta_chain(&self, held: u64, current: u64) -> Option<Vec<Vec<u8>>> {
        let mut end = held;
        let mut chain = Vec::new();
        for delta in &self.retained_deltas {
            if delta.base == end && delta.version <= current {
                end = delta.version;
                chain.push(delta.compressed.clone());
            }
        }
        (end == current).then_some(chain)
    }
}
