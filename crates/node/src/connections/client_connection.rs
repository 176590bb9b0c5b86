//! What a connection of a client waits for, as its task records it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use agatedeck_calls::ConnectionPhase;
use agatedeck_clock::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock::ProcessClock;

/// Number of bytes that count as progress. A client that sends single bytes makes none.
const PROGRESS_BYTES: u64 = 4 * 1_024;

#[derive(Debug)]
struct ConnectionState {
    clock: ProcessClock,
    /// Number of requests that are served. Pipelined ones are served side by side.
    served_requests: AtomicUsize,
    /// Whether bytes of the next request have arrived.
    reads_head: AtomicBool,
    reads_body: AtomicBool,
    is_write_blocked: AtomicBool,
    progressed_at_us: AtomicU64,
    /// Bytes transferred since the last progress.
    transferred_bytes: AtomicU64,
    closing: CancellationToken,
}

/// Handle to a connection. Clones stand for the same connection.
#[derive(Clone, Debug)]
pub(crate) struct ClientConnection(Arc<ConnectionState>);

/// A request that a connection serves, until its answer is passed on or it is dropped.
#[derive(Debug)]
pub(crate) struct ServedRequest(ClientConnection);

/// A body whose next bytes the connection waits for, until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReading<'a>(&'a ClientConnection);

impl ClientConnection {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        let connection = Self(Arc::new(ConnectionState {
            clock,
            served_requests: AtomicUsize::new(0),
            reads_head: AtomicBool::new(false),
            reads_body: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            progressed_at_us: AtomicU64::new(0),
            transferred_bytes: AtomicU64::new(0),
            closing: CancellationToken::new(),
        }));
        connection.record_progress();
        connection
    }

    /// What the connection waits for.
    pub(crate) fn phase(&self) -> ConnectionPhase {
        let state = &self.0;
        if state.is_write_blocked.load(Ordering::Relaxed) {
            ConnectionPhase::WritingAnswer
        } else if state.reads_body.load(Ordering::Relaxed) {
            ConnectionPhase::ReadingBody
        } else if self.serves_request() {
            ConnectionPhase::Working
        } else if state.reads_head.load(Ordering::Relaxed) {
            ConnectionPhase::ReadingHead
        } else {
            ConnectionPhase::Idle
        }
    }

    /// Whether the head of a request has arrived whose answer is not passed on.
    pub(super) fn serves_request(&self) -> bool {
        self.0.served_requests.load(Ordering::Relaxed) > 0
    }

    /// When the connection last made progress.
    pub(crate) fn progressed_at(&self) -> Instant {
        Instant::from_micros(self.0.progressed_at_us.load(Ordering::Relaxed))
    }

    pub(crate) fn record_progress(&self) {
        let now = self.0.clock.now().as_micros();
        self.0.progressed_at_us.store(now, Ordering::Relaxed);
        self.0.transferred_bytes.store(0, Ordering::Relaxed);
        self.0.reads_head.store(false, Ordering::Relaxed);
    }

    /// Records bytes that were received. The first of them after a request begin the head of the next.
    pub(super) fn record_received(&self, bytes: usize) {
        let state = &self.0;
        let begins_head = !self.serves_request() && !state.reads_head.load(Ordering::Relaxed);
        if begins_head {
            self.record_progress();
            state.reads_head.store(true, Ordering::Relaxed);
        }
        self.record_bytes(bytes);
    }

    /// Records bytes that were transferred.
    pub(super) fn record_bytes(&self, bytes: usize) {
        let transferred = &self.0.transferred_bytes;
        let before = transferred.fetch_add(bytes as u64, Ordering::Relaxed);
        if before + bytes as u64 >= PROGRESS_BYTES {
            self.record_progress();
        }
    }

    /// Records whether the client has to take bytes before more can be sent.
    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self.0.is_write_blocked.swap(is_blocked, Ordering::Relaxed);
        if is_blocked && !was_blocked {
            self.record_progress();
        }
    }

    /// Begins a request.
    pub(super) fn begin_request(&self) -> ServedRequest {
        self.0.served_requests.fetch_add(1, Ordering::Relaxed);
        self.record_progress();
        ServedRequest(self.clone())
    }

    /// Begins to wait for bytes of a body.
    pub(crate) fn begin_reading(&self) -> BodyReading<'_> {
        self.set_reading(true);
        BodyReading(self)
    }

    /// Records whether the connection waits for bytes of a body.
    pub(crate) fn set_reading(&self, is_reading: bool) {
        self.0.reads_body.store(is_reading, Ordering::Relaxed);
    }

    /// Asks the task of the connection to close it.
    pub(super) fn close(&self) {
        self.0.closing.cancel();
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_for_close(&self) {
        self.0.closing.cancelled().await;
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.0.served_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.record_progress();
    }
}

impl Drop for BodyReading<'_> {
    fn drop(&mut self) {
        self.0.set_reading(false);
    }
}
