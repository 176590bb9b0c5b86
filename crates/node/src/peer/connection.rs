//! The actor that owns the connection to one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatedeck_chart::{ChartError, TransitionTable};
use agatedeck_wire::{
    ByteMeter, ControlPlaneRequest, ControlPlaneResponse, MeteredStream, client_transport,
};
use derive_more::FromStr;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::reply::{DelegatedReply, ReplySender};
use rand::Rng;
use tarpc::client::{Channel, Config, NewClient, RpcError};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::transport::PeerError;

/// Timeout for opening a connection, many times the round trip between regions. An attempt that
/// began during a partition delays the next one until it times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum reconnect backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time without a response after which requests that time out close the connection. After a
/// partition, TCP resends what was lost only seconds later, or the connection stays silent for
/// good, while a new one works at once.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reconnect backoff after the first failed attempt, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of requests that wait for the connection; further ones fail immediately.
const MAX_PENDING_REQUESTS: usize = 256;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum ConnectionState {
    Idle,
    Connecting,
    Connected,
    Backoff,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum ConnectionEvent {
    SendRequested,
    ConnectSucceeded,
    ConnectFailed,
    Disconnected,
    BackoffElapsed,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
enum ConnectionAction {
    Connect,
    SendPending,
    FailPending,
    StartBackoff,
    DropChannel,
}

type ConnectionChart = TransitionTable<ConnectionState, ConnectionEvent, ConnectionAction>;

fn load_chart() -> Result<ConnectionChart, ChartError> {
    TransitionTable::parse(include_str!("../../charts/connection.toml"))
}

/// Checks `charts/connection.toml`.
///
/// # Errors
///
/// Fails if the chart is invalid.
pub fn check_connection_chart() -> Result<(), ChartError> {
    load_chart().map(drop)
}

type PeerResult = Result<ControlPlaneResponse, PeerError>;
type PeerChannel = Channel<ControlPlaneRequest, ControlPlaneResponse>;

/// Sends a request to the peer and replies with its answer.
pub(super) struct SendRequest {
    pub(super) request: ControlPlaneRequest,
    pub(super) deadline: Instant,
}

struct PendingRequest {
    request: ControlPlaneRequest,
    deadline: Instant,
    reply: ReplySender<PeerResult>,
}

/// Owns the connection to one peer.
///
/// Invariant: `channel` is `Some` exactly in the state `Connected`.
#[derive(Actor)]
pub(super) struct PeerConnection {
    address: SocketAddr,
    meters: Vec<Arc<ByteMeter>>,
    /// Counts the connections that this node opens to any peer.
    opened: Arc<AtomicU64>,
    chart: ConnectionChart,
    state: ConnectionState,
    channel: Option<PeerChannel>,
    /// Incremented with each connection, so that a late [`ConnectionLost`] does not close a newer
    /// one.
    generation: u64,
    /// When the connection counts as silent if no response arrives; `None` if no request has timed
    /// out since the last response.
    silent_at: Option<Instant>,
    pending: Vec<PendingRequest>,
    failures: u32,
    last_used: Instant,
}

impl PeerConnection {
    pub(super) fn new(
        address: SocketAddr,
        meters: Vec<Arc<ByteMeter>>,
        opened: Arc<AtomicU64>,
    ) -> Result<Self, ChartError> {
        let chart = load_chart()?;
        Ok(Self {
            address,
            meters,
            opened,
            state: chart.initial(),
            chart,
            channel: None,
            generation: 0,
            silent_at: None,
            pending: Vec::new(),
            failures: 0,
            last_used: Instant::now(),
        })
    }

    fn advance(&mut self, event: ConnectionEvent, actor: &ActorRef<Self>) {
        let actions = self.chart.advance(&mut self.state, event).to_vec();
        for action in actions {
            match action {
                ConnectionAction::Connect => self.connect(actor),
                ConnectionAction::SendPending => self.send_pending(actor),
                ConnectionAction::FailPending => self.fail_pending(),
                ConnectionAction::StartBackoff => self.start_backoff(actor),
                ConnectionAction::DropChannel => self.channel = None,
            }
        }
    }

    fn connect(&mut self, actor: &ActorRef<Self>) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let (address, meters, actor) = (self.address, self.meters.clone(), actor.clone());
        tokio::spawn(async move {
            let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => stream.set_nodelay(true).map(|()| stream).ok(),
                _ => None,
            };
            let stream = stream.map(|stream| MeteredStream::new(stream, meters));
            // The send fails only while the node is stopping.
            let _ = actor.tell(ConnectCompleted { stream }).await;
        });
    }

    fn open_channel(&mut self, stream: MeteredStream<TcpStream>, actor: &ActorRef<Self>) {
        let transport = client_transport(stream);
        let NewClient { client, dispatch } = tarpc::client::new(Config::default(), transport);
        self.channel = Some(client);
        self.generation += 1;
        self.silent_at = None;
        let (generation, actor) = (self.generation, actor.clone());
        tokio::spawn(async move {
            // The dispatch task owns the socket. It ends when the connection breaks or all its
            // channels have been dropped.
            let _ = dispatch.await;
            let _ = actor.tell(ConnectionLost { generation }).await;
        });
    }

    fn send_pending(&mut self, actor: &ActorRef<Self>) {
        for pending in std::mem::take(&mut self.pending) {
            self.dispatch(pending, actor);
        }
    }

    fn fail_pending(&mut self) {
        for pending in self.pending.drain(..) {
            pending.reply.send(Err(PeerError::Unreachable));
        }
    }

    fn start_backoff(&mut self, actor: &ActorRef<Self>) {
        let max_pause = INITIAL_BACKOFF
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_BACKOFF);
        self.failures += 1;
        let pause = rand::rng().random_range(Duration::ZERO..=max_pause);
        let actor = actor.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let _ = actor.tell(BackoffElapsed).await;
        });
    }

    fn dispatch(&self, pending: PendingRequest, actor: &ActorRef<Self>) {
        let Some(channel) = self.channel.clone() else {
            pending.reply.send(Err(PeerError::Unreachable));
            return;
        };
        let (generation, actor) = (self.generation, actor.clone());
        tokio::spawn(async move {
            let PendingRequest {
                request,
                deadline,
                reply,
            } = pending;
            let mut context = tarpc::context::current();
            context.deadline = deadline.into_std();
            let sent_at = Instant::now();
            // The messages to the actor fail only while the node is stopping.
            let answer = match timeout_at(deadline, channel.call(context, request)).await {
                Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => {
                    let timed_out = RequestTimedOut {
                        generation,
                        sent_at,
                    };
                    let _ = actor.tell(timed_out).await;
                    Err(PeerError::Deadline)
                }
                Ok(Err(_)) => {
                    let _ = actor.tell(ConnectionLost { generation }).await;
                    Err(PeerError::ConnectionLost)
                }
                Ok(Ok(response)) => {
                    reply.send(Ok(response));
                    let _ = actor.tell(ResponseReceived { generation }).await;
                    return;
                }
            };
            reply.send(answer);
        });
    }
}

impl Message<SendRequest> for PeerConnection {
    type Reply = DelegatedReply<PeerResult>;

    async fn handle(
        &mut self,
        SendRequest { request, deadline }: SendRequest,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let actor = context.actor_ref().clone();
        let (delegated, reply) = context.reply_sender();
        let Some(reply) = reply else { return delegated };
        self.last_used = Instant::now();
        self.advance(ConnectionEvent::SendRequested, &actor);
        let pending = PendingRequest {
            request,
            deadline,
            reply,
        };
        match self.state {
            ConnectionState::Connecting if self.pending.len() < MAX_PENDING_REQUESTS => {
                self.pending.push(pending);
            }
            ConnectionState::Connected => self.dispatch(pending, &actor),
            _ => pending.reply.send(Err(PeerError::Unreachable)),
        }
        delegated
    }
}

struct ConnectCompleted {
    stream: Option<MeteredStream<TcpStream>>,
}

impl Message<ConnectCompleted> for PeerConnection {
    type Reply = ();

    async fn handle(&mut self, completed: ConnectCompleted, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        match completed.stream {
            Some(stream) => {
                self.failures = 0;
                self.open_channel(stream, &actor);
                self.advance(ConnectionEvent::ConnectSucceeded, &actor);
            }
            None => self.advance(ConnectionEvent::ConnectFailed, &actor),
        }
    }
}

struct ConnectionLost {
    generation: u64,
}

impl Message<ConnectionLost> for PeerConnection {
    type Reply = ();

    async fn handle(&mut self, lost: ConnectionLost, context: &mut Context<Self, ()>) {
        if lost.generation == self.generation {
            let actor = context.actor_ref().clone();
            self.advance(ConnectionEvent::Disconnected, &actor);
        }
    }
}

/// A request on the connection `generation` got a response.
struct ResponseReceived {
    generation: u64,
}

impl Message<ResponseReceived> for PeerConnection {
    type Reply = ();

    async fn handle(&mut self, received: ResponseReceived, _: &mut Context<Self, ()>) {
        if received.generation == self.generation {
            self.silent_at = None;
        }
    }
}

/// A request on the connection `generation` got no response before its deadline.
struct RequestTimedOut {
    generation: u64,
    sent_at: Instant,
}

impl Message<RequestTimedOut> for PeerConnection {
    type Reply = ();

    async fn handle(&mut self, timed_out: RequestTimedOut, context: &mut Context<Self, ()>) {
        if timed_out.generation != self.generation {
            return;
        }
        let silent_at = timed_out.sent_at + SILENCE_TIMEOUT;
        let silent_at = *self.silent_at.get_or_insert(silent_at);
        if Instant::now() >= silent_at {
            let actor = context.actor_ref().clone();
            self.advance(ConnectionEvent::Disconnected, &actor);
        }
    }
}

struct BackoffElapsed;

impl Message<BackoffElapsed> for PeerConnection {
    type Reply = ();

    async fn handle(&mut self, _: BackoffElapsed, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.advance(ConnectionEvent::BackoffElapsed, &actor);
    }
}

/// Closes the connection if no request was sent since `idle_since`. The reply tells whether it was
/// idle.
pub(super) struct CloseIfIdle {
    pub(super) idle_since: Instant,
}

impl Message<CloseIfIdle> for PeerConnection {
    type Reply = bool;

    async fn handle(&mut self, close: CloseIfIdle, context: &mut Context<Self, bool>) -> bool {
        let idle = self.last_used < close.idle_since;
        if idle {
            let actor = context.actor_ref().clone();
            self.advance(ConnectionEvent::Disconnected, &actor);
        }
        idle
    }
}
