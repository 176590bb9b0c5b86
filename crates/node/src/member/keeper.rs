//! The actor that owns the member table.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_control::{MemberTable, MergeOutcome, SpreadOrder, SpreadReach};
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, Join, JoinAnswer, Member, MemberStatus, Probe,
    ProbeAnswer, Sync, SyncAnswer,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::config::{ConfigKeeper, NoteAhead};
use crate::context::NodeContext;
use crate::peer::PeerAddress;
use crate::spread::{SpreadPayload, SpreadRelay, StartSpread};

/// Time allowed for the answer to a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Owns the member table and publishes it.
#[derive(Actor)]
pub(crate) struct MemberKeeper {
    context: NodeContext,
    own: Member,
    table: MemberTable,
    published: watch::Sender<Arc<MemberTable>>,
    relay: ActorRef<SpreadRelay>,
    config: ActorRef<ConfigKeeper>,
}

impl MemberKeeper {
    pub(crate) fn new(
        context: NodeContext,
        published: watch::Sender<Arc<MemberTable>>,
        relay: ActorRef<SpreadRelay>,
        config: ActorRef<ConfigKeeper>,
    ) -> Self {
        let own = Member::clone(&context.own);
        let mut keeper = Self {
            context,
            own,
            table: MemberTable::default(),
            published,
            relay,
            config,
        };
        keeper.merge(&[keeper.own.clone()]);
        keeper
    }

    fn merge(&mut self, updates: &[Member]) -> Vec<Member> {
        let now = self.context.clock.now();
        let mut applied = Vec::new();
        for update in updates {
            if self.table.merge(update, now) == MergeOutcome::Applied {
                applied.push(update.clone());
            }
        }
        if !applied.is_empty() {
            self.published.send_replace(Arc::new(self.table.clone()));
        }
        applied
    }

    async fn spread(&self, members: Vec<Member>) {
        let payload = SpreadPayload::Rumor {
            members,
            crashes: Vec::new(),
        };
        let order = SpreadOrder {
            salt: rand::rng().random(),
            reach: SpreadReach::Everywhere,
        };
        // The relay is gone only when the node is stopping.
        let _ = self.relay.tell(StartSpread { order, payload }).await;
    }

    async fn note_version(&mut self, node: &str, version: u64) {
        self.table.note_version(node, version);
        let own_version = self.context.served().snapshot.version();
        if version > own_version {
            let _ = self.config.tell(NoteAhead).await;
        }
    }
}

/// Updates that came with a rumor.
pub(crate) struct MergeMembers(pub(crate) Vec<Member>);

impl Message<MergeMembers> for MemberKeeper {
    type Reply = ();

    async fn handle(&mut self, MergeMembers(updates): MergeMembers, _: &mut Context<Self, ()>) {
        self.merge(&updates);
    }
}

/// A probe from another node.
pub(crate) struct AnswerProbe(pub(crate) Probe);

impl Message<AnswerProbe> for MemberKeeper {
    type Reply = Answer<ProbeAnswer>;

    async fn handle(
        &mut self,
        AnswerProbe(probe): AnswerProbe,
        _: &mut Context<Self, Answer<ProbeAnswer>>,
    ) -> Answer<ProbeAnswer> {
        self.merge(&probe.updates);
        self.note_version(&probe.node, probe.version).await;
        Answer(ProbeAnswer {
            incarnation: self.own.incarnation,
            version: self.context.served().snapshot.version(),
            member_digest: 0,
            updates: vec![self.own.clone()],
        })
    }
}

/// A comparison of member tables.
pub(crate) struct AnswerSync(pub(crate) Sync);

impl Message<AnswerSync> for MemberKeeper {
    type Reply = Answer<SyncAnswer>;

    async fn handle(
        &mut self,
        AnswerSync(sync): AnswerSync,
        _: &mut Context<Self, Answer<SyncAnswer>>,
    ) -> Answer<SyncAnswer> {
        self.merge(&sync.entries);
        Answer(SyncAnswer {
            digests: Vec::new(),
            entries: self.table.members().cloned().collect(),
        })
    }
}

/// A node that has just started.
pub(crate) struct AnswerJoin(pub(crate) Join);

impl Message<AnswerJoin> for MemberKeeper {
    type Reply = Answer<JoinAnswer>;

    async fn handle(
        &mut self,
        AnswerJoin(join): AnswerJoin,
        _: &mut Context<Self, Answer<JoinAnswer>>,
    ) -> Answer<JoinAnswer> {
        let joined = join.member.into_iter().collect::<Vec<_>>();
        let fresh = self.merge(&joined);
        if !fresh.is_empty() {
            self.spread(fresh).await;
        }
        Answer(JoinAnswer {
            accepted: true,
            floor: 0,
            version: self.context.served().snapshot.version(),
            members: self.table.members().cloned().collect(),
        })
    }
}

/// Time to probe a node.
pub(crate) struct ProbeTick;

impl Message<ProbeTick> for MemberKeeper {
    type Reply = ();

    async fn handle(&mut self, _: ProbeTick, context: &mut Context<Self, ()>) {
        let peers = self
            .table
            .live()
            .filter(|member| member.node != self.own.node);
        let Some(target) = peers.choose(&mut rand::rng()).cloned() else {
            return;
        };
        let Some(peer) = PeerAddress::of(&target) else {
            return;
        };
        let probe = Probe {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            version: self.context.served().snapshot.version(),
            member_digest: 0,
            updates: vec![self.own.clone()],
        };
        let (node_context, keeper) = (self.context.clone(), context.actor_ref().clone());
        tokio::spawn(async move {
            let request = ControlPlaneRequest::Probe { probe };
            let deadline = Instant::now() + PROBE_TIMEOUT;
            let answer = node_context.transport.send(&peer, request, deadline).await;
            if let Ok(ControlPlaneResponse::Probe(answer)) = answer {
                let _ = keeper
                    .tell(ProbeAnswered {
                        node: target.node,
                        answer,
                    })
                    .await;
            }
        });
    }
}

struct ProbeAnswered {
    node: String,
    answer: ProbeAnswer,
}

impl Message<ProbeAnswered> for MemberKeeper {
    type Reply = ();

    async fn handle(&mut self, answered: ProbeAnswered, _: &mut Context<Self, ()>) {
        self.merge(&answered.answer.updates);
        self.note_version(&answered.node, answered.answer.version)
            .await;
    }
}

/// The node is stopping: tell the others.
pub(crate) struct Leave(pub(crate) MemberStatus);

impl Message<Leave> for MemberKeeper {
    type Reply = ();

    async fn handle(&mut self, Leave(status): Leave, _: &mut Context<Self, ()>) {
        self.own.status = status.into();
        let own = self.own.clone();
        self.merge(std::slice::from_ref(&own));
        self.spread(vec![own]).await;
    }
}
