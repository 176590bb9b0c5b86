//! State machine that commits one change at the node that received it.

use std::fmt::{self, Write as _};

use agatedeck_chart::{ChartError, TransitionTable};
use agatedeck_records::{ChangeRefusal, ConfigSnapshot, RecordKey, SnapshotView};
use agatedeck_wire::Member;
use derive_more::{Display, FromStr};

/// Key of the row that names the newest version; each commit is conditional on its revision.
pub const HEAD_KEY: &str = "head";

/// Prefix of the keys of the rows that hold the deltas of all versions.
pub const DELTA_KEY_PREFIX: &str = "delta/";

/// Number of versions between two stored snapshots. A starting node reads one snapshot object and
/// at most this many deltas.
pub const SNAPSHOT_INTERVAL_VERSIONS: u64 = 64;

/// Key of the row that holds the delta to `version`.
pub fn delta_key(version: u64) -> String {
    format!("{DELTA_KEY_PREFIX}{version:020}")
}

/// Key of the row that names the version of a committed change.
pub fn change_key(change_id: &str) -> String {
    format!("change/{change_id}")
}

/// Key of the object that holds the snapshot of `version`, with its digest in hexadecimal.
pub fn snapshot_key(version: u64, digest: &[u8]) -> String {
    let mut key = format!("snapshot/{version:020}-");
    for byte in digest {
        // Writing to a `String` is infallible.
        let _ = write!(key, "{byte:02x}");
    }
    key
}

/// State of a change; see `charts/commit.toml`.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the chart file describes the states")]
pub enum CommitState {
    Reading,
    Planning,
    ConfirmingRefusal,
    Writing,
    LookingUp,
    Accepted,
    Refused,
    TimedOut,
}

/// Event in the commit of a change.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum CommitEvent {
    /// The head was read and the snapshot of its version is available.
    HeadRead,
    /// The change was applied to the snapshot and yields a version that may be written.
    PlanMade,
    /// The change cannot be applied to the current head.
    PlanRefused,
    /// The transaction was committed.
    Committed,
    /// A condition of the transaction did not hold.
    ConditionFailed,
    /// A request may have run, but its answer was lost.
    Unanswered,
    /// A request did not reach the store.
    Unreachable,
    /// The store holds the change.
    ChangeFound,
    /// The store does not hold the change.
    ChangeAbsent,
    /// The operator's deadline has passed.
    Deadline,
}

/// Action that the owner of a [`CommitMachine`] must carry out next.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub enum CommitAction {
    /// Read the head at once.
    ReadHead,
    /// Read the head after a backoff.
    RetryRead,
    /// Apply the change to the snapshot of the head.
    MakePlan,
    /// Send the transaction to the store.
    Write,
    /// Look the change up in the store at once.
    LookUp,
    /// Look the change up in the store after a backoff.
    RetryLookUp,
    /// Report the outcome to the operator.
    Answer,
}

type CommitChart = TransitionTable<CommitState, CommitEvent, CommitAction>;

fn load_chart() -> Result<CommitChart, ChartError> {
    TransitionTable::parse(include_str!("../../charts/commit.toml"))
}

/// Validates `charts/commit.toml`.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn check_commit_chart() -> Result<(), ChartError> {
    load_chart().map(drop)
}

/// Outcome of a change as reported to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change was committed as this version.
    Accepted(u64),
    /// The change was not committed and will not be.
    Refused(ChangeRefusal),
    /// These live nodes cannot read the version that the change would produce.
    Unreadable(Vec<UnreadableNode>),
    /// The store was unavailable until the deadline; nothing was written.
    Unreachable,
    /// A write may have taken effect; a later look-up by the change id resolves it.
    NotYetKnown,
}

/// A live node that cannot read some records of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableNode {
    /// Name of the node.
    pub node: String,
    /// Records without a form in a schema version that the node reads.
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

/// The nodes among `live` that cannot read `snapshot`, each with its unreadable records.
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

/// State machine that commits one change.
///
/// Invariants: once a write was sent and not answered, the outcome is never `Unreachable`, and a
/// refusal is reported only after a look-up has found the change absent from the store. A refusal
/// that does not follow from a newer head is not reported while a write is in doubt.
#[derive(Debug)]
pub struct CommitMachine {
    chart: CommitChart,
    state: CommitState,
    write_may_have_run: bool,
    /// A write was sent and not answered, and no newer head than the one it is conditional on has
    /// been observed since.
    write_in_doubt: bool,
    refusal: Option<CommitOutcome>,
    version: Option<u64>,
}

impl CommitMachine {
    /// Creates the state machine for a change that was just received. The first action is
    /// [`CommitAction::ReadHead`].
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let chart = load_chart()?;
        let state = chart.initial();
        Ok(Self {
            chart,
            state,
            write_may_have_run: false,
            write_in_doubt: false,
            refusal: None,
            version: None,
        })
    }

    /// State of the change.
    pub fn state(&self) -> CommitState {
        self.state
    }

    /// Sets the refusal to report if the change is confirmed to be absent from the store.
    pub fn set_refusal(&mut self, refusal: CommitOutcome) {
        self.refusal = Some(refusal);
    }

    /// Sets the version as which the change was written or found.
    pub fn set_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Applies `event` and returns the next actions.
    pub fn advance(&mut self, event: CommitEvent) -> Vec<CommitAction> {
        // After a failed condition, too, the store may hold the change: another node may have
        // committed it, or an earlier write of this one.
        let inconclusive_events = [
            CommitEvent::Unanswered,
            CommitEvent::ConditionFailed,
            CommitEvent::Deadline,
        ];
        if self.state == CommitState::Writing && inconclusive_events.contains(&event) {
            self.write_may_have_run = true;
            self.write_in_doubt = event != CommitEvent::ConditionFailed;
        }
        self.chart.advance(&mut self.state, event).to_vec()
    }

    /// The outcome to report to the operator; `None` before a final state.
    pub fn outcome(&self) -> Option<CommitOutcome> {
        match self.state {
            CommitState::Accepted => self.version.map(CommitOutcome::Accepted),
            CommitState::Refused => match &self.refusal {
                // The write in doubt may still commit, although nodes that have joined since cannot
                // read its version. Every other refusal follows from a newer head, on which the
                // condition of that write fails.
                Some(CommitOutcome::Unreadable(_)) if self.write_in_doubt => {
                    Some(CommitOutcome::NotYetKnown)
                }
                refusal => refusal.clone(),
            },
            CommitState::TimedOut if self.write_may_have_run => Some(CommitOutcome::NotYetKnown),
            CommitState::TimedOut => Some(CommitOutcome::Unreachable),
            _ => None,
        }
    }
}
