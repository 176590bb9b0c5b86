//! The connection to one peer, owned by one actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_chart::{ChartError, ChartTable};
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

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest pause after a failed attempt to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Pause after the first failed attempt, before jitter.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Requests that may wait for a connection; more fail at once.
const MAX_WAITING: usize = 256;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum LinkState {
    Idle,
    Connecting,
    Up,
    Backoff,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum LinkEvent {
    Wanted,
    Connected,
    ConnectFailed,
    Lost,
    BackoffOver,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
enum LinkAction {
    Connect,
    SendWaiting,
    FailWaiting,
    StartBackoff,
    DropChannel,
}

type LinkTable = ChartTable<LinkState, LinkEvent, LinkAction>;

fn load() -> Result<LinkTable, ChartError> {
    ChartTable::parse(include_str!("../../charts/connection.toml"))
}

/// Checks `charts/connection.toml`.
///
/// # Errors
///
/// Fails if the chart is not sound.
pub fn check_connection_chart() -> Result<(), ChartError> {
    load().map(drop)
}

type PeerAnswer = Result<ControlPlaneResponse, PeerError>;
type PeerChannel = Channel<ControlPlaneRequest, ControlPlaneResponse>;

/// A request on its way to the peer.
pub(super) struct SendRequest {
    pub(super) request: ControlPlaneRequest,
    pub(super) deadline: Instant,
}

struct WaitingRequest {
    request: ControlPlaneRequest,
    deadline: Instant,
    reply: ReplySender<PeerAnswer>,
}

/// Owns the connection to one peer.
///
/// Invariant: `channel` is there exactly in the state `Up`.
#[derive(Actor)]
pub(super) struct PeerLink {
    address: SocketAddr,
    meters: Vec<Arc<ByteMeter>>,
    chart: LinkTable,
    state: LinkState,
    channel: Option<PeerChannel>,
    /// Grows with each connection, so that a late loss report does not close a newer one.
    generation: u64,
    waiting: Vec<WaitingRequest>,
    failures: u32,
    last_used: Instant,
}

impl PeerLink {
    pub(super) fn new(
        address: SocketAddr,
        meters: Vec<Arc<ByteMeter>>,
    ) -> Result<Self, ChartError> {
        let chart = load()?;
        Ok(Self {
            address,
            meters,
            state: chart.initial(),
            chart,
            channel: None,
            generation: 0,
            waiting: Vec::new(),
            failures: 0,
            last_used: Instant::now(),
        })
    }

    fn advance(&mut self, event: LinkEvent, link: &ActorRef<Self>) {
        let actions = self.chart.advance(&mut self.state, event).to_vec();
        for action in actions {
            match action {
                LinkAction::Connect => self.connect(link),
                LinkAction::SendWaiting => self.send_waiting(link),
                LinkAction::FailWaiting => self.fail_waiting(),
                LinkAction::StartBackoff => self.start_backoff(link),
                LinkAction::DropChannel => self.channel = None,
            }
        }
    }

    fn connect(&mut self, link: &ActorRef<Self>) {
        let (address, meters, link) = (self.address, self.meters.clone(), link.clone());
        tokio::spawn(async move {
            let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => stream.set_nodelay(true).map(|()| stream).ok(),
                _ => None,
            };
            let stream = stream.map(|stream| MeteredStream::new(stream, meters));
            // The link is gone only when the node is stopping.
            let _ = link.tell(ConnectEnded { stream }).await;
        });
    }

    fn open_channel(&mut self, stream: MeteredStream<TcpStream>, link: &ActorRef<Self>) {
        let transport = client_transport(stream);
        let NewClient { client, dispatch } = tarpc::client::new(Config::default(), transport);
        self.channel = Some(client);
        self.generation += 1;
        let (generation, link) = (self.generation, link.clone());
        tokio::spawn(async move {
            // The dispatch task owns the socket. It ends when the connection breaks or every
            // channel to it is dropped.
            let _ = dispatch.await;
            let _ = link.tell(ConnectionLost { generation }).await;
        });
    }

    fn send_waiting(&mut self, link: &ActorRef<Self>) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.dispatch(waiting, link);
        }
    }

    fn fail_waiting(&mut self) {
        for waiting in self.waiting.drain(..) {
            waiting.reply.send(Err(PeerError::Unreachable));
        }
    }

    fn start_backoff(&mut self, link: &ActorRef<Self>) {
        let ceiling = FIRST_BACKOFF
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_BACKOFF);
        self.failures += 1;
        let pause = rand::rng().random_range(Duration::ZERO..=ceiling);
        let link = link.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let _ = link.tell(BackoffEnded).await;
        });
    }

    fn dispatch(&self, waiting: WaitingRequest, link: &ActorRef<Self>) {
        let Some(channel) = self.channel.clone() else {
            waiting.reply.send(Err(PeerError::Unreachable));
            return;
        };
        let (generation, link) = (self.generation, link.clone());
        tokio::spawn(async move {
            let WaitingRequest {
                request,
                deadline,
                reply,
            } = waiting;
            let mut context = tarpc::context::current();
            context.deadline = deadline.into_std();
            let answer = match timeout_at(deadline, channel.call(context, request)).await {
                Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => Err(PeerError::Deadline),
                Ok(Err(_)) => {
                    let _ = link.tell(ConnectionLost { generation }).await;
                    Err(PeerError::Lost)
                }
                Ok(Ok(response)) => Ok(response),
            };
            reply.send(answer);
        });
    }
}

impl Message<SendRequest> for PeerLink {
    type Reply = DelegatedReply<PeerAnswer>;

    async fn handle(
        &mut self,
        SendRequest { request, deadline }: SendRequest,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let link = context.actor_ref().clone();
        let (delegated, reply) = context.reply_sender();
        let Some(reply) = reply else { return delegated };
        self.last_used = Instant::now();
        self.advance(LinkEvent::Wanted, &link);
        let waiting = WaitingRequest {
            request,
            deadline,
            reply,
        };
        match self.state {
            LinkState::Connecting if self.waiting.len() < MAX_WAITING => self.waiting.push(waiting),
            LinkState::Up => self.dispatch(waiting, &link),
            _ => waiting.reply.send(Err(PeerError::Unreachable)),
        }
        delegated
    }
}

struct ConnectEnded {
    stream: Option<MeteredStream<TcpStream>>,
}

impl Message<ConnectEnded> for PeerLink {
    type Reply = ();

    async fn handle(&mut self, ended: ConnectEnded, context: &mut Context<Self, ()>) {
        let link = context.actor_ref().clone();
        match ended.stream {
            Some(stream) => {
                self.failures = 0;
                self.open_channel(stream, &link);
                self.advance(LinkEvent::Connected, &link);
            }
            None => self.advance(LinkEvent::ConnectFailed, &link),
        }
    }
}

struct ConnectionLost {
    generation: u64,
}

impl Message<ConnectionLost> for PeerLink {
    type Reply = ();

    async fn handle(&mut self, lost: ConnectionLost, context: &mut Context<Self, ()>) {
        if lost.generation == self.generation {
            let link = context.actor_ref().clone();
            self.advance(LinkEvent::Lost, &link);
        }
    }
}

struct BackoffEnded;

impl Message<BackoffEnded> for PeerLink {
    type Reply = ();

    async fn handle(&mut self, _: BackoffEnded, context: &mut Context<Self, ()>) {
        let link = context.actor_ref().clone();
        self.advance(LinkEvent::BackoffOver, &link);
    }
}

/// Closes the connection if nothing was sent since `unused_since`. The reply tells whether it was
/// unused.
pub(super) struct CloseUnused {
    pub(super) unused_since: Instant,
}

impl Message<CloseUnused> for PeerLink {
    type Reply = bool;

    async fn handle(&mut self, close: CloseUnused, context: &mut Context<Self, bool>) -> bool {
        let unused = self.last_used < close.unused_since;
        if unused {
            let link = context.actor_ref().clone();
            self.advance(LinkEvent::Lost, &link);
        }
        unused
    }
}
