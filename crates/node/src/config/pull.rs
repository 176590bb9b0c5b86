//! Pulls the versions that this node lacks from other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_control::{PullRound, PullSettings, PullStep, select_pull_peers};
use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse, Member, Pull, PullAnswer};
use derive_more::Display;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::time::{Instant, sleep_until};

use crate::context::NodeContext;
use crate::peer::{PeerAddress, PeerError};

/// Timeout of a request for missing versions.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// What one peer returned: its name, and its answer unless it did not answer.
type PeerReply = (String, Result<PullAnswer, PeerError>);

/// What became of the request to one peer.
#[derive(Clone, Debug, Display)]
enum RequestState {
    #[display("waiting")]
    Waiting,
    #[display("newer")]
    Newer,
    #[display("nothing newer")]
    Outdated,
    #[display("{_0}")]
    Failed(PeerError),
}

/// One pull and its requests that are not answered yet.
pub(super) struct PeerPull {
    context: NodeContext,
    version: u64,
    round: PullRound,
    requests: FuturesUnordered<BoxFuture<'static, PeerReply>>,
    started_at: Instant,
    /// The peers that were asked, by name.
    asked_peers: BTreeMap<String, RequestState>,
}

impl PeerPull {
    /// Prepares a pull of the versions after `version`. Peers in `silent` are asked last.
    pub(super) fn new(
        context: &NodeContext,
        version: u64,
        silent: &BTreeSet<&str>,
        settings: PullSettings,
    ) -> Self {
        let table = context.table();
        let peers = select_pull_peers(
            &table,
            &context.local_member,
            version,
            silent,
            &mut rand::rng(),
        );
        let peers = peers.into_iter().cloned().collect();
        Self {
            round: PullRound::new(peers, settings, context.clock.now()),
            context: context.clone(),
            version,
            requests: FuturesUnordered::new(),
            started_at: Instant::now(),
            asked_peers: BTreeMap::new(),
        }
    }

    /// Asks one peer after the other and returns the first answer with a newer version. Returns `None`
    /// if none came in time; the requests go on.
    pub(super) async fn first_answer(&mut self) -> Option<PullAnswer> {
        let clock = self.context.clock;
        loop {
            let wake_up = match self.round.poll(clock.now()) {
                PullStep::Ask(peer) => {
                    self.send_request(peer);
                    continue;
                }
                PullStep::WaitUntil(at) => clock.runtime_instant(at),
                PullStep::Unanswered => return None,
            };
            tokio::select! {
                Some(reply) = self.requests.next() => {
                    if let Some(answer) = self.newer_answer(reply) {
                        return Some(answer);
                    }
                }
                () = sleep_until(wake_up) => {}
            }
        }
    }

    /// Waits for an answer with a newer version; `None` once no request is left.
    pub(super) async fn late_answer(&mut self) -> Option<PullAnswer> {
        while let Some(reply) = self.requests.next().await {
            if let Some(answer) = self.newer_answer(reply) {
                return Some(answer);
            }
        }
        None
    }

    /// Logs and counts the end of the wait for the first answer; `None` if no peer had a newer version.
    pub(super) fn report_first_answer(&self, answer: Option<&PullAnswer>) {
        let (held, asked) = (self.version, self.asked_peers.len());
        let took_ms = self.started_at.elapsed().as_millis();
        match answer {
            Some(answer) => log::info!(
                event = "pulled",
                held,
                version = answer.version,
                asked,
                took_ms,
                snapshot = !answer.snapshot.is_empty();
                "pulled version {} from another node", answer.version
            ),
            None => log::info!(
                event = "pull-unanswered",
                held,
                asked,
                took_ms,
                peers = self.describe_peers();
                "no peer returned a version newer than {held}"
            ),
        }
        self.context.metrics.count_pull(answer.is_some());
    }

    /// Peers that were asked, had time to answer and did not.
    pub(super) fn silent_peers(&self) -> impl Iterator<Item = &str> {
        self.round.silent_peers(self.context.clock.now())
    }

    fn newer_answer(&mut self, (node, answer): PeerReply) -> Option<PullAnswer> {
        let now = self.context.clock.now();
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.round.on_failed_request(now);
                self.asked_peers.insert(node, RequestState::Failed(error));
                return None;
            }
        };
        if answer.version > self.version {
            self.round.on_newer_reply(&node);
            self.asked_peers.insert(node, RequestState::Newer);
            return Some(answer);
        }
        self.round.on_outdated_reply(&node, now);
        self.asked_peers.insert(node, RequestState::Outdated);
        None
    }

    /// The peers that were asked, each with what became of its request.
    fn describe_peers(&self) -> String {
        let peers = self.asked_peers.iter();
        let peers = peers.map(|(node, state)| format!("{node}: {state}"));
        peers.collect::<Vec<_>>().join(", ")
    }

    fn send_request(&mut self, peer: Member) {
        self.asked_peers
            .insert(peer.node.clone(), RequestState::Waiting);
        let request = request_versions(self.context.clone(), peer, self.version);
        self.requests.push(request.boxed());
    }
}

/// Requests the versions after `version` from one peer.
async fn request_versions(context: NodeContext, peer: Member, version: u64) -> PeerReply {
    let Some(address) = PeerAddress::from_member(&peer) else {
        return (peer.node, Err(PeerError::Unreachable));
    };
    let request = ControlPlaneRequest::Pull {
        pull: Pull { version },
    };
    let deadline = Instant::now() + PULL_TIMEOUT;
    let answer = match context.transport.send(&address, request, deadline).await {
        Ok(ControlPlaneResponse::Pull(answer)) => Ok(answer),
        // The server answers each request with the answer of its kind.
        Ok(_) => Err(PeerError::ConnectionLost),
        Err(error) => Err(error),
    };
    (peer.node, answer)
}
