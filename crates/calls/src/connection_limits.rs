//! Which connections of a listener are closed, so that those that make no progress do not keep memory and
//! descriptors from others.

use std::time::Duration;

use agatedeck_clock::Instant;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// For its client to begin a request.
    Idle,
    /// For its client to send the rest of the head of a request.
    ReadingHead,
    /// For its client to send the body of a request that has not run.
    ReadingBody,
    /// For this process, or for memory.
    Working,
    /// For its client to take an answer.
    WritingAnswer,
}

/// A connection as the decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionView<K> {
    /// Key of the connection.
    pub key: K,
    /// What it waits for.
    pub phase: ConnectionPhase,
    /// When it last made progress.
    pub progressed_at: Instant,
}

/// Times without progress after which connections are closed.
#[derive(Clone, Copy, Debug)]
pub struct StallLimits {
    /// While holders wait for memory: the time that a body may stand still. Answers, whose calls have run,
    /// may stand still for longer by [`WRITING_FACTOR`].
    pub short: Duration,
    /// The time within which a head must make progress or be complete.
    pub head: Duration,
    /// The time that a body may stand still at other times; `None` if its deadline ends it.
    pub body: Option<Duration>,
    /// The time that an answer may stand still at other times.
    pub answer: Duration,
}

/// By how much longer an answer may stand still than a body while memory is short. Its call has run, and
/// its caller may be behind a slow link.
pub const WRITING_FACTOR: u32 = 4;

impl StallLimits {
    /// Whether a connection has stood still for too long at any time.
    fn is_overdue<K>(&self, view: &ConnectionView<K>, now: Instant) -> bool {
        let stalled = now.since(view.progressed_at);
        match view.phase {
            ConnectionPhase::ReadingHead => stalled >= self.head,
            ConnectionPhase::ReadingBody => self.body.is_some_and(|limit| stalled >= limit),
            ConnectionPhase::WritingAnswer => stalled >= self.answer,
            ConnectionPhase::Idle | ConnectionPhase::Working => false,
        }
    }

    /// Whether a connection may be closed while memory is short.
    fn is_stalled<K>(&self, view: &ConnectionView<K>, now: Instant) -> bool {
        let stalled = now.since(view.progressed_at);
        match view.phase {
            ConnectionPhase::ReadingBody => stalled >= self.short,
            ConnectionPhase::WritingAnswer => stalled >= self.short * WRITING_FACTOR,
            ConnectionPhase::Idle | ConnectionPhase::ReadingHead | ConnectionPhase::Working => {
                false
            }
        }
    }
}

/// Connections to close: all that are overdue, and of those that stand still while memory is short as many
/// as there are holders that wait for it. Those without progress for longest come first.
pub fn connections_to_close<K: Copy>(
    views: impl Iterator<Item = ConnectionView<K>>,
    limits: &StallLimits,
    waiting: usize,
    now: Instant,
) -> Vec<K> {
    let mut views: Vec<_> = views
        .filter(|view| limits.is_overdue(view, now) || limits.is_stalled(view, now))
        .collect();
    views.sort_by_key(|view| view.progressed_at);
    let mut left = waiting;
    views.retain(|view| {
        let closes = limits.is_overdue(view, now) || left > 0;
        left = left.saturating_sub(1);
        closes
    });
    views.into_iter().map(|view| view.key).collect()
}

/// The connection that makes room for a new one: the one that has been without a request for longest.
/// `None` if all have one.
pub fn connection_to_replace<K: Copy>(views: impl Iterator<Item = ConnectionView<K>>) -> Option<K> {
    views
        .filter(|view| {
            matches!(
                view.phase,
                ConnectionPhase::Idle | ConnectionPhase::ReadingHead
            )
        })
        .min_by_key(|view| view.progressed_at)
        .map(|view| view.key)
}
