//! Messages between the nodes of a simulated fleet.

use std::sync::Arc;

use agatedeck_control::{DisseminationScope, PlannedHop, RelayedPayload, UpdateReport};
use agatedeck_wire::{
    FloorRecord, IndirectAnswer, IndirectProbe, Member, Probe, ProbeAnswer, Sync, SyncAnswer,
};
use derive_more::Display;

/// Bytes of a member entry.
pub(crate) const MEMBER_BYTES: usize = 120;

/// Content of a dissemination.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    Version {
        version: u64,
        delta: Arc<Vec<u8>>,
    },
    Heartbeat {
        node: String,
        version: u64,
        position: u64,
    },
    Rumor {
        members: Vec<Member>,
    },
}

impl Payload {
    pub(crate) fn relayed_kind(&self) -> RelayedPayload {
        match self {
            Self::Version { .. } => RelayedPayload::Version,
            Self::Heartbeat { .. } => RelayedPayload::Heartbeat,
            Self::Rumor { .. } => RelayedPayload::Rumor,
        }
    }
}

/// A request of one node to another.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Disseminate {
        salt: u64,
        scope: DisseminationScope,
        payload: Payload,
    },
    Pull {
        version: u64,
    },
    /// Member updates for the collector of a domain.
    ReportUpdates(Vec<Member>),
    Probe(Probe),
    ProbeThrough(IndirectProbe),
    Sync(Sync),
    RecordFloor(FloorRecord),
    /// A node has started and asks for the members.
    Join(Member),
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// Of a dissemination or a floor record.
    Received,
    Pulled(PulledVersions),
    Probed(ProbeAnswer),
    ProbedThrough(IndirectAnswer),
    Synced(SyncAnswer),
    Joined(Vec<Member>),
}

/// Versions that a node returns to one that is behind.
#[derive(Clone, Debug)]
pub(crate) struct PulledVersions {
    pub(crate) version: u64,
    pub(crate) deltas: Vec<Vec<u8>>,
    pub(crate) snapshot: Vec<u8>,
    pub(crate) digest: Vec<u8>,
}

/// What the sender of a request does with its answer.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Hop {
        hop: PlannedHop,
        salt: u64,
        payload: Payload,
    },
    Pull {
        node: String,
        /// Number of the pull round that asks.
        round: u64,
    },
    ReportUpdates(UpdateReport),
    Probe {
        node: String,
    },
    ProbeThrough {
        node: String,
    },
    /// A probe on behalf of another node.
    ProbeFor {
        requester: usize,
        request: u64,
    },
    Sync {
        address: String,
    },
    RecordFloor {
        version: u64,
    },
    Join,
}

/// Kind of a message, for counts.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum MessageKind {
    /// A version with its delta.
    Offer,
    /// A heartbeat of a reader.
    Heartbeat,
    /// Member updates sent over the tree.
    Rumor,
    /// Member updates sent to the collector of a domain.
    UpdateReport,
    /// A pull of missing versions.
    Pull,
    /// A probe, also on behalf of another node.
    Probe,
    /// An anti-entropy exchange.
    Sync,
    /// A floor record.
    FloorRecord,
    /// A join.
    Join,
    /// An answer to any request, or a refused connection.
    Answer,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) enum Envelope {
    Request {
        from: usize,
        number: u64,
        request: Request,
    },
    Answer {
        number: u64,
        answer: Answer,
    },
    /// The connection was refused.
    Refused {
        number: u64,
    },
}

impl Envelope {
    pub(crate) fn kind(&self) -> MessageKind {
        let Self::Request { request, .. } = self else {
            return MessageKind::Answer;
        };
        match request {
            Request::Disseminate { payload, .. } => match payload {
                Payload::Version { .. } => MessageKind::Offer,
                Payload::Heartbeat { .. } => MessageKind::Heartbeat,
                Payload::Rumor { .. } => MessageKind::Rumor,
            },
            Request::ReportUpdates(_) => MessageKind::UpdateReport,
            Request::Pull { .. } => MessageKind::Pull,
            Request::Probe(_) | Request::ProbeThrough(_) => MessageKind::Probe,
            Request::Sync(_) => MessageKind::Sync,
            Request::RecordFloor(_) => MessageKind::FloorRecord,
            Request::Join(_) => MessageKind::Join,
        }
    }

    /// Size in bytes, with a delta of one change counted as `delta_bytes` and a snapshot as
    /// `snapshot_bytes`.
    pub(crate) fn size(&self, delta_bytes: usize, snapshot_bytes: usize) -> usize {
        match self {
            Self::Request { request, .. } => match request {
                Request::Disseminate { payload, .. } => match payload {
                    Payload::Version { .. } => delta_bytes,
                    Payload::Heartbeat { .. } => 0,
                    Payload::Rumor { members } => members.len() * MEMBER_BYTES,
                },
                Request::ReportUpdates(members) => members.len() * MEMBER_BYTES,
                Request::Probe(probe) => probe.updates.len() * MEMBER_BYTES,
                Request::Sync(sync) => sync.entries.len() * MEMBER_BYTES,
                Request::Join(_) => MEMBER_BYTES,
                Request::Pull { .. } | Request::ProbeThrough(_) | Request::RecordFloor(_) => 0,
            },
            Self::Answer { answer, .. } => match answer {
                Answer::Pulled(pulled) if pulled.snapshot.is_empty() => {
                    pulled.deltas.len() * delta_bytes
                }
                Answer::Pulled(_) => snapshot_bytes,
                Answer::Probed(answer) => answer.updates.len() * MEMBER_BYTES,
                Answer::Synced(answer) => answer.entries.len() * MEMBER_BYTES,
                Answer::Joined(members) => members.len() * MEMBER_BYTES,
                Answer::Received | Answer::ProbedThrough(_) => 0,
            },
            Self::Refused { .. } => 0,
        }
    }
}
