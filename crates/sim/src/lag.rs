//! Measures how long nodes in touch lack a confirmed version, against the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;

use crate::message::MessageKind;

/// A node in touch that lacked a confirmed version.
#[derive(Clone, Debug)]
pub struct LagSample {
    /// Name of the node.
    pub node: String,
    /// When it was seen, from the start of the run.
    pub at: Instant,
    /// Version that the node had in force.
    pub held: u64,
    /// Oldest confirmed version that it lacked.
    pub missing: u64,
    /// Time since the confirmation of that version.
    pub lag: Duration,
    /// Bound that was in force.
    pub bound: Duration,
}

impl LagSample {
    /// The lag as a part of the bound.
    pub fn ratio(&self) -> f64 {
        self.lag.as_secs_f64() / self.bound.as_secs_f64()
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct LagReport {
    /// The sample nearest to its bound, or furthest beyond it; `None` if no node in touch lacked a
    /// confirmed version.
    pub largest: Option<LagSample>,
    /// The same, while the store was undisturbed.
    pub largest_stable: Option<LagSample>,
    /// Number of confirmed versions.
    pub versions: usize,
    /// Time from each confirmation until the last node in touch had the version in force, sorted.
    pub spread_times: Vec<Duration>,
    /// Calls that reached the store.
    pub store_calls: usize,
    /// Messages between nodes.
    pub messages: usize,
    /// The same, by kind.
    pub messages_by_kind: BTreeMap<MessageKind, usize>,
    /// Largest number of messages in a second of the run.
    pub busiest_second: usize,
    /// The second that is being counted, from the start of the run, and its messages so far.
    counted_second: (u64, usize),
    /// Whether the run was given up because of the number of messages.
    pub is_overloaded: bool,
    /// Largest number of nodes that led the reading at one time.
    pub max_leaders: usize,
    /// What happened, one line each, if the settings ask for it.
    pub timeline: Vec<String>,
}

impl LagReport {
    /// Whether each confirmed version was in force in time on the nodes in touch.
    pub fn holds(&self) -> bool {
        !self.is_overloaded
            && self
                .largest
                .as_ref()
                .is_none_or(|sample| sample.ratio() <= 1.0)
    }

    /// Counts a message that is sent at `now`.
    pub(crate) fn count_message(&mut self, kind: MessageKind, now: Instant) {
        self.messages += 1;
        *self.messages_by_kind.entry(kind).or_default() += 1;
        let second = now.since(Instant::default()).as_secs();
        if self.counted_second.0 != second {
            self.counted_second = (second, 0);
        }
        self.counted_second.1 += 1;
        self.busiest_second = self.busiest_second.max(self.counted_second.1);
    }

    pub(crate) fn record(&mut self, sample: &LagSample, is_stable: bool) {
        if is_stable {
            replace_if_larger(&mut self.largest_stable, sample);
        }
        replace_if_larger(&mut self.largest, sample);
    }
}

fn replace_if_larger(largest: &mut Option<LagSample>, sample: &LagSample) {
    if largest
        .as_ref()
        .is_none_or(|largest| sample.ratio() > largest.ratio())
    {
        *largest = Some(sample.clone());
    }
}

/// A version that the operator knows to be written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmedVersion {
    pub(crate) version: u64,
    pub(crate) confirmed_at: Instant,
    /// When a node in touch was last seen without it.
    pub(crate) last_missing_at: Option<Instant>,
}
