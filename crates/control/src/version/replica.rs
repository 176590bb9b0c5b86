//! Holds the version in force and the versions on their way to it.

use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use agatedeck_records::{ConfigSnapshot, SnapshotView, compress, decompress, delta_base};
use agatedeck_wire::Delta;

use super::activation::{
    self, ActivationAction, ActivationEvent, ActivationState, ActivationTable,
};

/// Settings of a [`ConfigReplica`].
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Highest schema version the node reads.
    pub reads_schema: u32,
    /// Time given to the witnesses to answer.
    pub witness_timeout: Duration,
    /// Number of recent deltas kept for nodes that are behind.
    pub max_retained_deltas: usize,
    /// Number of versions kept that arrived before the one they follow.
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

/// What became of a version that was offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The version is in force or is being put in force.
    Held,
    /// The node already had this version.
    Stale,
    /// The version before it is missing.
    Behind,
    /// The version is not usable; the reason.
    Refused(String),
}

/// What the owner of a [`ConfigReplica`] must carry out.
#[derive(Clone, Debug)]
pub enum VersionEffect {
    /// Record the version with the witnesses, then call [`ConfigReplica::witnessed`].
    RecordFloor {
        /// The version about to be put in force.
        version: u64,
        /// When to stop waiting; [`ConfigReplica::tick`] then puts the version in force.
        deadline: Instant,
    },
    /// Serve calls by this snapshot from now on.
    Activate(Arc<ConfigSnapshot>),
    /// Ask a node that is ahead for what follows the version held.
    PullAfter(u64),
}

/// What a node that is behind is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PullReply {
    /// Compressed deltas in ascending order; empty if there is nothing newer.
    Deltas(Vec<Vec<u8>>),
    /// A whole compressed snapshot.
    Snapshot(Vec<u8>),
}

/// A version that was checked and is not yet in force.
#[derive(Debug)]
struct CandidateVersion {
    snapshot: Arc<ConfigSnapshot>,
    state: ActivationState,
    deadline: Instant,
}

/// A delta and its compressed form. Compressing costs more than anything else that is done with one.
#[derive(Debug)]
struct DecodedDelta {
    message: Delta,
    compressed: Vec<u8>,
}

impl DecodedDelta {
    fn decode(bytes: &[u8]) -> Result<Self, String> {
        let message = decompress::<Delta>(bytes).map_err(|error| error.to_string())?;
        Ok(Self {
            message,
            compressed: bytes.to_vec(),
        })
    }
}

/// A compressed delta that nodes that are behind may ask for.
#[derive(Debug)]
struct RetainedDelta {
    base: u64,
    version: u64,
    compressed: Vec<u8>,
}

/// The version in force and the versions on their way to it.
///
/// Invariants: the version in force never decreases; `candidates` ascend and each is newer than the
/// version in force; a version below the floor is never in force once the floor is known.
#[derive(Debug)]
pub struct ConfigReplica {
    settings: ReplicaSettings,
    chart: ActivationTable,
    current: Arc<ConfigSnapshot>,
    /// The compressed form of `current`, once it was needed.
    compressed_current: OnceCell<Vec<u8>>,
    floor: Option<u64>,
    candidates: VecDeque<CandidateVersion>,
    /// Deltas that arrived before the version they start from, by the version they lead to.
    out_of_order: BTreeMap<u64, DecodedDelta>,
    retained_deltas: VecDeque<RetainedDelta>,
    refusal: Option<(u64, String)>,
}

impl ConfigReplica {
    /// A holder of the empty configuration that does not know its floor yet.
    ///
    /// # Errors
    ///
    /// Fails if the chart file is not sound.
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

    /// The snapshot in force.
    pub fn current(&self) -> &Arc<ConfigSnapshot> {
        &self.current
    }

    /// The newest snapshot that passed its check, in force or not.
    pub fn latest(&self) -> &Arc<ConfigSnapshot> {
        self.candidates
            .back()
            .map_or(&self.current, |candidate| &candidate.snapshot)
    }

    /// The last version refused and why, until a newer version is in force.
    pub fn refusal(&self) -> Option<(u64, &str)> {
        self.refusal
            .as_ref()
            .map(|(version, reason)| (*version, reason.as_str()))
    }

    /// Sets the lowest version the node may serve. A floor that is known never decreases.
    pub fn raise_floor(&mut self, floor: u64) {
        self.floor = Some(self.floor.unwrap_or(0).max(floor));
    }

    /// The lowest version the node may serve, once it is known.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Whether the node may serve calls by the snapshot in force.
    pub fn may_serve(&self) -> bool {
        self.floor
            .is_some_and(|floor| self.current.version() >= floor)
    }

    /// Takes in a version with its compressed delta.
    pub fn offer(
        &mut self,
        version: u64,
        delta: &[u8],
        now: Instant,
    ) -> (OfferResult, Vec<VersionEffect>) {
        let latest = self.latest().version();
        if version <= latest {
            return (OfferResult::Stale, Vec::new());
        }
        match DecodedDelta::decode(delta) {
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
        if delta_base(&delta.message) != latest {
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

    /// Takes in pulled deltas in ascending order.
    ///
    /// Versions that arrived by another way since the pull was sent are passed over.
    pub fn offer_pulled(&mut self, deltas: &[Vec<u8>], now: Instant) -> Vec<VersionEffect> {
        let mut effects = Vec::new();
        for bytes in deltas {
            let latest = self.latest().version();
            match DecodedDelta::decode(bytes) {
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
            // The farthest version is the one most likely to be pulled again anyway.
            self.out_of_order.pop_last();
        }
    }

    fn stage_buffered(&mut self, now: Instant, effects: &mut Vec<VersionEffect>) {
        loop {
            let latest = self.latest().version();
            self.out_of_order = self.out_of_order.split_off(&(latest + 1));
            let mut buffered = self.out_of_order.values().map(|delta| &delta.message);
            let next = buffered.find(|delta| delta_base(delta) == latest);
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

    /// Checks the version that follows the tip.
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
                self.retain_delta(delta);
                self.stage_candidate(snapshot, now, effects);
                OfferResult::Held
            }
            Err(reason) => self.refuse_offer(delta.message.version, reason),
        }
    }

    /// Takes in a whole version that was read from where versions come from. Returns the compressed
    /// delta that leads to it, for the nodes that hold what this node held; `None` if it is not
    /// newer.
    pub fn offer_from_store(
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
            base: delta_base(&delta.message),
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
            deadline,
        });
    }

    /// Takes in a whole snapshot, for a node that is too far behind for deltas.
    pub fn offer_snapshot(
        &mut self,
        bytes: &[u8],
        digest: &[u8],
        now: Instant,
    ) -> (OfferResult, Vec<VersionEffect>) {
        let decoded = ConfigSnapshot::decode(bytes, digest).map_err(|error| error.to_string());
        let decoded = decoded.and_then(|snapshot| self.require_readable(snapshot));
        match decoded {
            Ok(snapshot) if snapshot.version() <= self.latest().version() => {
                (OfferResult::Stale, Vec::new())
            }
            Ok(snapshot) => {
                // The deltas kept lead to the old tip and would leave a gap.
                self.retained_deltas.clear();
                let mut effects = Vec::new();
                self.stage_candidate(snapshot, now, &mut effects);
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

    /// Notes that the witnesses recorded `version`. Older candidates are passed over with it.
    pub fn on_witnesses_recorded(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_candidates(version, ActivationEvent::WitnessesRecorded)
    }

    /// Notes that the witnesses of `version` cannot record it, before their deadline has passed.
    pub fn on_witnesses_failed(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_candidates(version, ActivationEvent::WitnessesFailed)
    }

    /// Puts candidates in force whose witnesses did not answer in time.
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
                self.activate(candidate.snapshot, &mut effects);
            }
        }
        effects
    }

    fn activate(&mut self, snapshot: Arc<ConfigSnapshot>, effects: &mut Vec<VersionEffect>) {
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
        effects.push(VersionEffect::Activate(snapshot));
    }

    /// What a node that holds version `held` needs to catch up with the version in force here.
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

    /// The kept deltas that lead from `held` to `current`, if there is one for each step.
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
