//! Accepts the connections of a listener up to its limit, and closes those that make no progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{ConnectionView, StallLimits, connection_to_replace, connections_to_close};
use futures::future::BoxFuture;
use nix::sys::socket::{setsockopt, sockopt::RcvBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::client_connection::ClientConnection;
use super::client_stream::ClientStream;
use crate::clock::ProcessClock;
use crate::memory::MemoryAccount;
use crate::metrics::NodeMetrics;

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which connections are checked, and while holders wait for memory.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const SHORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two log lines on closed and refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of refused connections of a listener that are kept until their clients have read the refusal.
const MAX_REFUSALS: usize = 16;

/// Time for which a refused connection is kept. Closing it while bytes of its client arrive would reset it
/// before the client has read the refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Number of bytes of a refused connection that are read at a time.
const DISCARDED_BYTES: usize = 1_024;

/// Serves the connections of a listener. Dropping the future closes the connection.
pub(crate) trait ConnectionHandler: Send + Sync {
    /// Serves a connection until it ends or is to be closed.
    fn serve(&self, stream: ClientStream) -> BoxFuture<'static, ()>;
}

/// Limits of a listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerOptions {
    /// Name in metrics and log lines.
    pub(crate) name: &'static str,
    pub(crate) connections: usize,
    pub(crate) stalls: StallLimits,
    /// Receive buffer of a connection; `None` for that of the operating system.
    pub(crate) receive_buffer_bytes: Option<usize>,
    /// What a connection beyond the limit is sent before it is closed.
    pub(crate) refusal: &'static [u8],
    /// The account for whose holders stalled connections are closed.
    pub(crate) account: MemoryAccount,
}

/// Connections closed and refused since the last log line.
#[derive(Debug, Default)]
struct ClosedCounts {
    stalled: u64,
    replaced: u64,
    refused: u64,
}

/// Sends a refusal once a request has begun, since common clients take an answer before that for a fault.
/// Then reads what the client sends until that closes the connection.
async fn send_refusal(mut stream: TcpStream, refusal: &[u8]) {
    let mut discarded = [0; DISCARDED_BYTES];
    let Ok(1..) = stream.read(&mut discarded).await else {
        return;
    };
    // Whether the client receives the refusal makes no difference to the node.
    let _ = stream.write_all(refusal).await;
    let _ = stream.shutdown().await;
    while let Ok(1..) = stream.read(&mut discarded).await {}
}

/// Waits until the node stops.
async fn wait_until_stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped with the node.
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Owns the connections of a listener.
pub(crate) struct ListenerServer {
    handler: Arc<dyn ConnectionHandler>,
    options: ListenerOptions,
    clock: ProcessClock,
    metrics: NodeMetrics,
    connections: HashMap<Id, ClientConnection>,
    tasks: JoinSet<()>,
    refusals: JoinSet<Result<(), Elapsed>>,
    closed: ClosedCounts,
    next_log_at: Instant,
}

impl ListenerServer {
    pub(crate) fn new(
        handler: Arc<dyn ConnectionHandler>,
        options: ListenerOptions,
        clock: ProcessClock,
        metrics: NodeMetrics,
    ) -> Self {
        Self {
            handler,
            options,
            clock,
            metrics,
            connections: HashMap::new(),
            tasks: JoinSet::new(),
            refusals: JoinSet::new(),
            closed: ClosedCounts::default(),
            next_log_at: Instant::now(),
        }
    }

    /// Accepts connections until `stop` is true, then waits until the last of them has ended.
    pub(crate) async fn run(mut self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        self.limit_receive_buffer(&listener);
        let account = self.options.account.clone();
        let mut next_check_at = Instant::now() + CHECK_INTERVAL;
        let mut is_stopped = false;
        while !(is_stopped && self.tasks.is_empty()) {
            if account.waiting() > 0 {
                next_check_at = next_check_at.min(Instant::now() + SHORT_CHECK_INTERVAL);
            }
            tokio::select! {
                () = wait_until_stopped(&mut stop), if !is_stopped => is_stopped = true,
                Some(ended) = self.tasks.join_next_with_id() => self.remove(ended),
                accepted = listener.accept(), if !is_stopped => match accepted {
                    Ok((stream, _)) => self.admit(stream),
                    Err(error) => {
                        log::warn!(event = "accept-failed"; "could not accept a connection: {error}");
                        // The likely cause is a lack of file descriptors, which closing connections
                        // release.
                        sleep(ACCEPT_RETRY_PAUSE).await;
                    }
                },
                // The next check is moved above.
                () = account.wait_for_shortage(), if !self.tasks.is_empty() => {}
                () = sleep_until(next_check_at) => {
                    self.close_stalled();
                    next_check_at = Instant::now() + CHECK_INTERVAL;
                }
            }
        }
    }

    /// Limits what the kernel receives for a connection before it is read. Accepted sockets inherit the size.
    fn limit_receive_buffer(&self, listener: &TcpListener) {
        let Some(bytes) = self.options.receive_buffer_bytes else {
            return;
        };
        if let Err(error) = setsockopt(listener, RcvBuf, &bytes) {
            log::warn!(event = "buffer-size"; "could not set the size of receive buffers: {error}");
        }
    }

    fn views(&self) -> impl Iterator<Item = ConnectionView<Id>> {
        self.connections
            .iter()
            .map(|(id, connection)| ConnectionView {
                key: *id,
                phase: connection.phase(),
                progressed_at: connection.progressed_at(),
            })
    }

    /// Serves a new connection. Beyond the limit, the one that has been idle for longest makes room, and if
    /// there is none, the new one is refused.
    fn admit(&mut self, stream: TcpStream) {
        if self.connections.len() >= self.options.connections {
            let Some(replaced) = connection_to_replace(self.views()) else {
                self.refuse(stream);
                return;
            };
            self.close(replaced);
            self.closed.replaced += 1;
            self.metrics.count_closed(self.options.name, "replaced");
            self.log_closed();
        }
        // Without TCP_NODELAY, the last packet of a small answer waits up to 40 ms for an
        // acknowledgement.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("could not set TCP_NODELAY on a connection: {error}");
        }
        let connection = ClientConnection::new(self.clock);
        let stream = ClientStream::new(stream, connection.clone());
        let task = self.tasks.spawn(self.handler.serve(stream));
        self.connections.insert(task.id(), connection);
        self.report_connections();
    }

    fn refuse(&mut self, stream: TcpStream) {
        while self.refusals.try_join_next().is_some() {}
        if !self.options.refusal.is_empty() && self.refusals.len() < MAX_REFUSALS {
            let refusal = send_refusal(stream, self.options.refusal);
            self.refusals.spawn(timeout(REFUSAL_TIME, refusal));
        }
        self.closed.refused += 1;
        self.metrics.count_closed(self.options.name, "refused");
        self.log_closed();
    }

    fn close_stalled(&mut self) {
        let waiting = self.options.account.waiting();
        let now = self.clock.now();
        let stalled = connections_to_close(self.views(), &self.options.stalls, waiting, now);
        for id in stalled {
            self.close(id);
            self.closed.stalled += 1;
            self.metrics.count_closed(self.options.name, "stalled");
        }
        self.log_closed();
    }

    /// Closes a connection. It no longer counts: its task ends within a second.
    fn close(&mut self, id: Id) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.close();
        }
        self.report_connections();
    }

    fn remove(&mut self, ended: Result<(Id, ()), JoinError>) {
        let id = match ended {
            Ok((id, ())) => id,
            Err(error) => {
                log::error!(event = "connection-failed"; "the task of a connection failed: {error}");
                error.id()
            }
        };
        self.connections.remove(&id);
        self.report_connections();
    }

    fn report_connections(&self) {
        self.metrics
            .set_connections(self.options.name, self.connections.len());
    }

    fn log_closed(&mut self) {
        let ClosedCounts {
            stalled,
            replaced,
            refused,
        } = self.closed;
        let now = Instant::now();
        if stalled + replaced + refused == 0 || now < self.next_log_at {
            return;
        }
        self.next_log_at = now + LOG_INTERVAL;
        self.closed = ClosedCounts::default();
        log::warn!(
            event = "connections-closed", listener = self.options.name, stalled, replaced, refused,
            used_bytes = self.options.account.used_bytes(), waiting = self.options.account.waiting();
            "connections of the listener `{}`: {stalled} without progress and {replaced} idle ones closed, {refused} refused",
            self.options.name
        );
    }
}
