//! Holds the version in force and the versions on their way to it.

use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use agatedeck_records::{ConfigSnapshot, SnapshotView, compress, decompress, delta_base_version};
use agatedeck_wire::Delta;

use super::stage::{self, StageAction, StageEvent, StageState, StageTable};

/// Settings of a [`VersionHolder`].
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// Highest schema version the node reads.
    pub reads_schema: u32,
    /// Time given to the witnesses to answer.
    pub witness_timeout: Duration,
    /// Number of recent deltas kept for nodes that are behind.
    pub kept_deltas: usize,
    /// Number of versions kept that arrived before the one they follow.
    pub kept_ahead: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            reads_schema: agatedeck_records::NEWEST_SCHEMA,
            witness_timeout: Duration::from_millis(150),
            kept_deltas: 256,
            kept_ahead: 64,
        }
    }
}

/// What became of a version that was offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferVerdict {
    /// The version is in force or is being put in force.
    Held,
    /// The node already had this version.
    Stale,
    /// The version before it is missing.
    Behind,
    /// The version is not usable; the reason.
    Refused(String),
}

/// What the owner of a [`VersionHolder`] must carry out.
#[derive(Clone, Debug)]
pub enum VersionEffect {
    /// Record the version with the witnesses, then call [`VersionHolder::witnessed`].
    AskWitnesses {
        /// The version about to be put in force.
        version: u64,
        /// When to stop waiting; [`VersionHolder::tick`] then puts the version in force.
        deadline: Instant,
    },
    /// Serve calls by this snapshot from now on.
    PutInForce(Arc<ConfigSnapshot>),
    /// Ask a node that is ahead for what follows the version held.
    PullFrom(u64),
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
    state: StageState,
    deadline: Instant,
}

/// A delta and its compressed form. Compressing costs more than anything else that is done with one.
#[derive(Debug)]
struct ReadDelta {
    delta: Delta,
    bytes: Vec<u8>,
}

impl ReadDelta {
    fn decode(bytes: &[u8]) -> Result<Self, String> {
        let delta = decompress::<Delta>(bytes).map_err(|error| error.to_string())?;
        Ok(Self {
            delta,
            bytes: bytes.to_vec(),
        })
    }
}

/// A compressed delta that nodes that are behind may ask for.
#[derive(Debug)]
struct KeptDelta {
    base: u64,
    version: u64,
    bytes: Vec<u8>,
}

/// The version in force and the versions on their way to it.
///
/// Invariants: the version in force never decreases; `candidates` ascend and each is newer than the
/// version in force; a version below the floor is never in force once the floor is known.
#[derive(Debug)]
pub struct VersionHolder {
    settings: HolderSettings,
    chart: StageTable,
    current: Arc<ConfigSnapshot>,
    /// The compressed form of `current`, once it was needed.
    compressed: OnceCell<Vec<u8>>,
    floor: Option<u64>,
    candidates: VecDeque<CandidateVersion>,
    /// Deltas that arrived before the version they start from, by the version they lead to.
    ahead: BTreeMap<u64, ReadDelta>,
    deltas: VecDeque<KeptDelta>,
    refusal: Option<(u64, String)>,
}

impl VersionHolder {
    /// A holder of the empty configuration that does not know its floor yet.
    ///
    /// # Errors
    ///
    /// Fails if the chart file is not sound.
    pub fn new(settings: HolderSettings) -> Result<Self, ChartError> {
        Ok(Self {
            settings,
            chart: stage::load()?,
            current: Arc::default(),
            compressed: OnceCell::new(),
            floor: None,
            candidates: VecDeque::new(),
            ahead: BTreeMap::new(),
            deltas: VecDeque::new(),
            refusal: None,
        })
    }

    /// The snapshot in force.
    pub fn current(&self) -> &Arc<ConfigSnapshot> {
        &self.current
    }

    /// The newest snapshot that passed its check, in force or not.
    pub fn tip(&self) -> &Arc<ConfigSnapshot> {
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
    ) -> (OfferVerdict, Vec<VersionEffect>) {
        let tip = self.tip().version();
        if version <= tip {
            return (OfferVerdict::Stale, Vec::new());
        }
        match ReadDelta::decode(delta) {
            Ok(read) => self.offer_read(read, now),
            Err(reason) => (self.refused(version, reason), Vec::new()),
        }
    }

    fn offer_read(&mut self, read: ReadDelta, now: Instant) -> (OfferVerdict, Vec<VersionEffect>) {
        let tip = self.tip().version();
        if delta_base_version(&read.delta) != tip {
            self.keep_ahead(read);
            return (OfferVerdict::Behind, vec![VersionEffect::PullFrom(tip)]);
        }
        let mut effects = Vec::new();
        let verdict = self.take_next(read, now, &mut effects);
        if verdict == OfferVerdict::Held {
            self.take_ahead(now, &mut effects);
        }
        (verdict, effects)
    }

    /// Takes in pulled deltas in ascending order.
    ///
    /// Versions that arrived by another way since the pull was sent are passed over.
    pub fn offer_pulled(&mut self, deltas: &[Vec<u8>], now: Instant) -> Vec<VersionEffect> {
        let mut effects = Vec::new();
        for bytes in deltas {
            let tip = self.tip().version();
            match ReadDelta::decode(bytes) {
                Ok(read) if read.delta.version <= tip => {}
                Ok(read) => effects.extend(self.offer_read(read, now).1),
                Err(reason) => self.refuse(tip + 1, &reason),
            }
        }
        effects
    }

    fn keep_ahead(&mut self, read: ReadDelta) {
        self.ahead.insert(read.delta.version, read);
        while self.ahead.len() > self.settings.kept_ahead {
            // The farthest version is the one most likely to be pulled again anyway.
            self.ahead.pop_last();
        }
    }

    fn take_ahead(&mut self, now: Instant, effects: &mut Vec<VersionEffect>) {
        loop {
            let tip = self.tip().version();
            self.ahead = self.ahead.split_off(&(tip + 1));
            let mut ahead = self.ahead.values().map(|read| &read.delta);
            let next = ahead.find(|delta| delta_base_version(delta) == tip);
            let Some(version) = next.map(|delta| delta.version) else {
                return;
            };
            let Some(read) = self.ahead.remove(&version) else {
                return;
            };
            if self.take_next(read, now, effects) != OfferVerdict::Held {
                return;
            }
        }
    }

    /// Checks the version that follows the tip.
    fn take_next(
        &mut self,
        read: ReadDelta,
        now: Instant,
        effects: &mut Vec<VersionEffect>,
    ) -> OfferVerdict {
        let checked = self
            .tip()
            .apply(&read.delta)
            .map_err(|error| error.to_string());
        let checked = checked.and_then(|snapshot| self.readable(snapshot));
        match checked {
            Ok(snapshot) => {
                self.keep_delta(read);
                self.stage(snapshot, now, effects);
                OfferVerdict::Held
            }
            Err(reason) => self.refused(read.delta.version, reason),
        }
    }

    /// Takes in a whole version that was read from where versions come from. Returns the compressed
    /// delta that leads to it, for the nodes that hold what this node held; `None` if it is not
    /// newer.
    pub fn offer_source(
        &mut self,
        snapshot: &ConfigSnapshot,
        now: Instant,
    ) -> (Option<Vec<u8>>, Vec<VersionEffect>) {
        if snapshot.version() <= self.tip().version() {
            return (None, Vec::new());
        }
        let delta = self.tip().delta_to(snapshot);
        let bytes = compress(&delta);
        let read = ReadDelta {
            delta,
            bytes: bytes.clone(),
        };
        let (verdict, effects) = self.offer_read(read, now);
        let delta = (verdict == OfferVerdict::Held).then_some(bytes);
        (delta, effects)
    }

    fn readable(&self, snapshot: ConfigSnapshot) -> Result<ConfigSnapshot, String> {
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

    fn refused(&mut self, version: u64, reason: String) -> OfferVerdict {
        self.refuse(version, &reason);
        OfferVerdict::Refused(reason)
    }

    fn refuse(&mut self, version: u64, reason: &str) {
        let mut state = self.chart.initial();
        let actions = self.chart.advance(&mut state, StageEvent::CheckFailed);
        if actions.contains(&StageAction::ReportRefusal) {
            self.refusal = Some((version, reason.to_owned()));
        }
    }

    fn keep_delta(&mut self, read: ReadDelta) {
        self.deltas.push_back(KeptDelta {
            base: delta_base_version(&read.delta),
            version: read.delta.version,
            bytes: read.bytes,
        });
        while self.deltas.len() > self.settings.kept_deltas {
            self.deltas.pop_front();
        }
    }

    fn stage(&mut self, snapshot: ConfigSnapshot, now: Instant, effects: &mut Vec<VersionEffect>) {
        let version = snapshot.version();
        let mut state = self.chart.initial();
        let deadline = now.after(self.settings.witness_timeout);
        for action in self.chart.advance(&mut state, StageEvent::CheckPassed) {
            if *action == StageAction::AskWitnesses {
                effects.push(VersionEffect::AskWitnesses { version, deadline });
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
    ) -> (OfferVerdict, Vec<VersionEffect>) {
        let decoded = ConfigSnapshot::decode(bytes, digest).map_err(|error| error.to_string());
        let decoded = decoded.and_then(|snapshot| self.readable(snapshot));
        match decoded {
            Ok(snapshot) if snapshot.version() <= self.tip().version() => {
                (OfferVerdict::Stale, Vec::new())
            }
            Ok(snapshot) => {
                // The deltas kept lead to the old tip and would leave a gap.
                self.deltas.clear();
                let mut effects = Vec::new();
                self.stage(snapshot, now, &mut effects);
                self.take_ahead(now, &mut effects);
                (OfferVerdict::Held, effects)
            }
            Err(reason) => {
                let version = self.tip().version() + 1;
                self.refuse(version, &reason);
                (OfferVerdict::Refused(reason), Vec::new())
            }
        }
    }

    /// Notes that the witnesses recorded `version`. Older candidates are passed over with it.
    pub fn witnessed(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_to(version, StageEvent::Witnessed)
    }

    /// Notes that the witnesses of `version` cannot record it, before their deadline has passed.
    pub fn witnesses_failed(&mut self, version: u64) -> Vec<VersionEffect> {
        self.advance_to(version, StageEvent::WitnessDeadline)
    }

    /// Puts candidates in force whose witnesses did not answer in time.
    pub fn tick(&mut self, now: Instant) -> Vec<VersionEffect> {
        let late = self
            .candidates
            .iter()
            .rev()
            .find(|candidate| candidate.deadline.is_past(now));
        let version = late.map(|candidate| candidate.snapshot.version());
        version.map_or_else(Vec::new, |version| {
            self.advance_to(version, StageEvent::WitnessDeadline)
        })
    }

    fn advance_to(&mut self, version: u64, event: StageEvent) -> Vec<VersionEffect> {
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
            if actions.contains(&StageAction::PutInForce) {
                self.put_in_force(candidate.snapshot, &mut effects);
            }
        }
        effects
    }

    fn put_in_force(&mut self, snapshot: Arc<ConfigSnapshot>, effects: &mut Vec<VersionEffect>) {
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
        self.compressed = OnceCell::new();
        effects.push(VersionEffect::PutInForce(snapshot));
    }

    /// What a node that holds version `held` needs to catch up with the version in force here.
    pub fn pull(&self, held: u64) -> PullReply {
        let current = self.current.version();
        if held >= current {
            return PullReply::Deltas(Vec::new());
        }
        let chain = self.chain(held, current);
        let snapshot = self.compressed.get_or_init(|| self.current.compressed());
        match chain {
            Some(deltas) if deltas.iter().map(Vec::len).sum::<usize>() <= snapshot.len() => {
                PullReply::Deltas(deltas)
            }
            _ => PullReply::Snapshot(snapshot.clone()),
        }
    }

    /// The kept deltas that lead from `held` to `current`, if there is one for each step.
    fn chain(&self, held: u64, current: u64) -> Option<Vec<Vec<u8>>> {
        let mut reached = held;
        let mut chain = Vec::new();
        for delta in &self.deltas {
            if delta.base == reached && delta.version <= current {
                reached = delta.version;
                chain.push(delta.bytes.clone());
            }
        }
        (reached == current).then_some(chain)
    }
}
