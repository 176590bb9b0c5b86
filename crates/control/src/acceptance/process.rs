//! The life of one change at the node that accepts it.

use std::fmt::{self, Write as _};

use agatedeck_chart::{ChartError, TransitionTable};
use agatedeck_records::{ChangeRefusal, ConfigSnapshot, RecordKey, SnapshotView};
use agatedeck_wire::Member;
use derive_more::{Display, FromStr};

/// Key of the row that names the newest version.
pub const HEAD_KEY: &str = "head";

/// Prefix of the keys of all changes accepted.
pub const DELTA_PREFIX: &str = "delta/";

/// A snapshot is stored each time this many versions were accepted, so that a node that starts reads
/// one object and at most this many deltas.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// Key of the row that holds the change that led to `version`.
pub fn delta_key(version: u64) -> String {
    format!("{DELTA_PREFIX}{version:020}")
}

/// Key of the row that names the version of a change.
pub fn change_key(change_id: &str) -> String {
    format!("change/{change_id}")
}

/// Key of the object that holds a snapshot.
pub fn snapshot_key(version: u64, digest: &[u8]) -> String {
    let mut key = format!("snapshot/{version:020}-");
    for byte in digest {
        // Writing to a string cannot fail.
        let _ = write!(key, "{byte:02x}");
    }
    key
}

/// State of the change; see `charts/acceptance.toml`.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the chart file describes the states")]
pub enum AcceptState {
    Reading,
    Planning,
    Confirming,
    Writing,
    LookingUp,
    Accepted,
    Refused,
    Undecided,
}

/// What happened to the change.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum AcceptEvent {
    /// The newest version is known and its snapshot at hand.
    HeadRead,
    /// The change leads to a version that may be written.
    PlanMade,
    /// The change is refused as things stand.
    PlanRefused,
    /// The transaction took effect.
    Committed,
    /// A condition of the transaction did not hold.
    ConditionFailed,
    /// A request may have run, but its answer is lost.
    Unanswered,
    /// A request did not reach the store.
    Unreachable,
    /// The store holds the change.
    ChangeFound,
    /// The store does not hold the change.
    ChangeAbsent,
    /// The operator's deadline passed.
    Deadline,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub enum AcceptAction {
    /// Read the newest version at once.
    ReadHead,
    /// Read the newest version after a pause.
    RetryRead,
    /// Work out the version that the change leads to.
    MakePlan,
    /// Write the transaction.
    Write,
    /// Look the change up at once.
    LookUp,
    /// Look the change up after a pause.
    RetryLookUp,
    /// Tell the operator the outcome.
    Answer,
}

type AcceptTable = TransitionTable<AcceptState, AcceptEvent, AcceptAction>;

fn load() -> Result<AcceptTable, ChartError> {
    TransitionTable::parse(include_str!("../../charts/acceptance.toml"))
}

/// Checks `charts/acceptance.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub fn acceptance_chart() -> Result<(), ChartError> {
    load().map(drop)
}

/// What the operator is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcceptOutcome {
    /// The change is in force from this version on.
    Accepted(u64),
    /// The change was not and will not be written.
    Refused(ChangeRefusal),
    /// Nodes that are live cannot read the version that would result.
    Unreadable(Vec<UnreadableNode>),
    /// The store was away the whole time; nothing was written.
    Unreachable,
    /// A write may have taken effect. Looking the change up by its id will tell.
    NotYetKnown,
}

/// A live node that cannot read some records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableNode {
    /// Name of the node.
    pub node: String,
    /// Records without a form that the node reads.
    pub records: Vec<RecordKey>,
}

impl fmt::Display for UnreadableNode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let records: Vec<String> = self.records.iter().map(ToString::to_string).collect();
        write!(
            formatter,
            "node `{}` cannot read {}",
            self.node,
            records.join(", ")
        )
    }
}

/// Live nodes that could not read `snapshot`, with the records concerned.
pub fn unreadable_nodes<'a>(
    snapshot: &ConfigSnapshot,
    live: impl Iterator<Item = &'a Member>,
) -> Vec<UnreadableNode> {
    let unreadable = live.filter_map(|member| {
        let records = SnapshotView::new(snapshot, member.reads_schema).unreadable();
        let node = member.node.clone();
        (!records.is_empty()).then_some(UnreadableNode { node, records })
    });
    unreadable.collect()
}

/// The life of one change.
///
/// Invariant: once a write was sent and not answered, the outcome is never `Unreachable`, and a
/// refusal is given only after the store said that it does not hold the change. A refusal that does
/// not come from a newer head is not given while a write is open.
#[derive(Debug)]
pub struct AcceptProcess {
    chart: AcceptTable,
    state: AcceptState,
    may_be_written: bool,
    /// A write was sent and not answered, and the head it depends on was not seen to move since.
    write_is_open: bool,
    refusal: Option<AcceptOutcome>,
    version: Option<u64>,
}

impl AcceptProcess {
    /// A change that was just received. The first action is to read the newest version.
    ///
    /// # Errors
    ///
    /// Fails if the chart file is not sound.
    pub fn new() -> Result<Self, ChartError> {
        let chart = load()?;
        let state = chart.initial();
        Ok(Self {
            chart,
            state,
            may_be_written: false,
            write_is_open: false,
            refusal: None,
            version: None,
        })
    }

    /// State of the change.
    pub fn state(&self) -> AcceptState {
        self.state
    }

    /// Keeps why the change is refused as things stand.
    pub fn note_refusal(&mut self, refusal: AcceptOutcome) {
        self.refusal = Some(refusal);
    }

    /// Keeps the version under which the change was written or found.
    pub fn note_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Moves on by `event`; returns what to do next.
    pub fn advance(&mut self, event: AcceptEvent) -> Vec<AcceptAction> {
        // A failed condition counts too: the change may have been accepted through another node.
        let unclear = [
            AcceptEvent::Unanswered,
            AcceptEvent::ConditionFailed,
            AcceptEvent::Deadline,
        ];
        if self.state == AcceptState::Writing && unclear.contains(&event) {
            self.may_be_written = true;
            self.write_is_open = event != AcceptEvent::ConditionFailed;
        }
        self.chart.advance(&mut self.state, event).to_vec()
    }

    /// What to tell the operator; `None` until it is decided.
    pub fn outcome(&self) -> Option<AcceptOutcome> {
        match self.state {
            AcceptState::Accepted => self.version.map(AcceptOutcome::Accepted),
            AcceptState::Refused => match &self.refusal {
                // Nodes that joined since do not keep the open write from taking effect. Every
                // other refusal follows from a head on which the open write can no longer succeed.
                Some(AcceptOutcome::Unreadable(_)) if self.write_is_open => {
                    Some(AcceptOutcome::NotYetKnown)
                }
                refusal => refusal.clone(),
            },
            AcceptState::Undecided if self.may_be_written => Some(AcceptOutcome::NotYetKnown),
            AcceptState::Undecided => Some(AcceptOutcome::Unreachable),
            _ => None,
        }
    }
}
