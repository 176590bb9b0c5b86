//! Serves the listeners of a node, each with its limits.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::StallLimits;
use axum::Router;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::ProcessClock;
use crate::connections::{
    ConnectionHandler, HttpHandler, HttpLimits, ListenerOptions, ListenerServer, RunAheadOptions,
};
use crate::context::NodeContext;
use crate::memory::{MemoryAccount, ProcessLimits};
use crate::metrics::NodeMetrics;
use crate::peer::{ControlHandler, ControlServer};
use crate::pipelining::RunAheadPolicy;

/// Time for which a body may stand still on a listener whose requests have no deadline, and a frame of the
/// control protocol.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// What the headers that nodes add may take, beyond the head of the caller.
const NODE_HEAD_BYTES: usize = 4 * 1_024;

/// Time for which connections of other nodes may be idle: longer than their nodes keep them, which would
/// otherwise send calls on connections that are being closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of headers that a request of another node may have: those of a caller, of which there are at most
/// 100, and those that nodes add.
const NODE_HEADERS: usize = 160;

/// Refusal of a connection beyond the limit. The status guarantees that no request on it has run.
const HTTP_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.000\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The same for other nodes, which may send the call elsewhere.
const PEER_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nagatedeck-outcome: not-run\r\n\
    agatedeck-reason: memory-short\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Starts the servers of listeners.
#[derive(Clone, Debug)]
pub(crate) struct ListenerServers {
    limits: ProcessLimits,
    memory: MemoryAccount,
    node_memory: MemoryAccount,
    control_memory: MemoryAccount,
    clock: ProcessClock,
    metrics: NodeMetrics,
    stop: watch::Receiver<bool>,
}

impl ListenerServers {
    /// Servers that accept connections until `stop` is true, then answer the open requests and end.
    pub(crate) fn new(context: &NodeContext, stop: watch::Receiver<bool>) -> Self {
        Self {
            limits: context.limits,
            memory: context.memory.clone(),
            node_memory: context.node_memory.clone(),
            control_memory: context.control_memory.clone(),
            clock: context.clock,
            metrics: context.metrics.clone(),
            stop,
        }
    }

    /// Serves local callers.
    pub(crate) fn serve_callers(
        &self,
        listener: TcpListener,
        router: Router,
        policy: Arc<dyn RunAheadPolicy>,
    ) -> JoinHandle<()> {
        let options = ListenerOptions {
            receive_buffer_bytes: self.limits.call_buffer_bytes,
            ..self.options("calls", self.limits.call_connections)
        };
        let handler = HttpHandler::new(router, self.http_limits(), self.stop.clone());
        let run_ahead = RunAheadOptions {
            policy,
            account: self.memory.clone(),
        };
        self.serve(listener, Arc::new(handler.pipelined(run_ahead)), options)
    }

    /// Serves calls of other nodes.
    pub(crate) fn serve_nodes(&self, listener: TcpListener, router: Router) -> JoinHandle<()> {
        let options = ListenerOptions {
            receive_buffer_bytes: self.limits.peer_buffer_bytes,
            refusal: PEER_REFUSAL,
            account: self.node_memory.clone(),
            ..self.options("peer", self.limits.call_connections)
        };
        let limits = HttpLimits {
            head_bytes: self.limits.head_bytes + NODE_HEAD_BYTES,
            headers: Some(NODE_HEADERS),
            idle_timeout: self.limits.idle_timeout.max(PEER_IDLE_TIMEOUT),
            ..self.http_limits()
        };
        self.serve_http(listener, router, limits, options)
    }

    /// Serves operators or the platform.
    pub(crate) fn serve_operators(
        &self,
        name: &'static str,
        listener: TcpListener,
        router: Router,
    ) -> JoinHandle<()> {
        let mut options = self.options(name, self.limits.operator_connections);
        options.stalls.body = Some(BODY_TIMEOUT);
        let limits = HttpLimits {
            bodies: Some(self.memory.clone()),
            ..self.http_limits()
        };
        self.serve_http(listener, router, limits, options)
    }

    /// Serves the control protocol.
    pub(crate) fn serve_control(
        &self,
        listener: TcpListener,
        server: ControlServer,
    ) -> JoinHandle<()> {
        let mut options = self.options("control", self.limits.control_connections);
        options.stalls.body = Some(BODY_TIMEOUT);
        options.account = self.control_memory.clone();
        options.refusal = &[];
        let handler = ControlHandler::new(server, self.control_memory.clone());
        self.serve(listener, Arc::new(handler), options)
    }

    fn options(&self, name: &'static str, connections: usize) -> ListenerOptions {
        ListenerOptions {
            name,
            connections,
            stalls: StallLimits {
                short: self.limits.stall_timeout,
                head: self.limits.head_timeout,
                body: None,
                answer: self.limits.idle_timeout,
            },
            receive_buffer_bytes: None,
            refusal: HTTP_REFUSAL,
            account: self.memory.clone(),
        }
    }

    fn http_limits(&self) -> HttpLimits {
        HttpLimits {
            head_bytes: self.limits.head_bytes,
            headers: None,
            idle_timeout: self.limits.idle_timeout,
            bodies: None,
        }
    }

    fn serve_http(
        &self,
        listener: TcpListener,
        router: Router,
        limits: HttpLimits,
        options: ListenerOptions,
    ) -> JoinHandle<()> {
        let handler = HttpHandler::new(router, limits, self.stop.clone());
        self.serve(listener, Arc::new(handler), options)
    }

    fn serve(
        &self,
        listener: TcpListener,
        handler: Arc<dyn ConnectionHandler>,
        options: ListenerOptions,
    ) -> JoinHandle<()> {
        let server = ListenerServer::new(handler, options, self.clock, self.metrics.clone());
        tokio::spawn(server.run(listener, self.stop.clone()))
    }
}
