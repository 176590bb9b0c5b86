//! State machines of the control plane: commits of changes, version activation, reading of the
//! store, confirmation of the newest version, pulls from peers, dissemination, membership and joins.
//!
//! The crate performs no I/O and has no tasks or clocks: the caller passes in the current time and
//! received messages, and performs the returned effects.

mod commit;
mod confirmation;
mod dissemination;
mod join;
mod member;
mod pull;
mod reader;
mod rendezvous;
mod silence;
mod version;

pub use commit::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, CommitState, DELTA_KEY_PREFIX,
    HEAD_KEY, SNAPSHOT_INTERVAL_VERSIONS, UnreadableNode, change_key, check_commit_chart,
    delta_key, snapshot_key, unreadable_nodes,
};
pub use confirmation::{
    ConfirmationLog, ConfirmationSchedule, ConfirmationSettings, ConfirmationSource,
    ConfirmationView, ConfirmedVersion,
};
pub use dissemination::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, LikelySilence,
    PlannedHop, RelayLog, RelaySettings, RelayedPayload, StorePolling, TreeDissemination,
    plan_hops,
};
pub use join::{
    FloorTable, JoinEffect, JoinMachine, JoinResponder, JoinSettings, JoinState, ResponderSettings,
    select_witnesses,
};
pub use member::{
    FailureDetector, MemberEffect, MemberEntry, MemberKey, MemberSettings, MemberTable,
    MergeOutcome, UpdateReport, is_probe_answer_of,
};
pub use pull::{
    PullMachine, PullRequests, PullRound, PullSettings, PullState, PullStep, select_pull_peers,
};
pub use reader::{
    HeartbeatFilter, ReadProgress, ReadRange, ReaderMachine, ReaderSettings, ReaderState,
    ScheduledRead,
};
pub use rendezvous::{rank_candidates, rendezvous_score};
pub use silence::SilenceLog;
pub use version::{
    ActivationState, ConfigReplica, OfferResult, PullReply, ReplicaSettings, VersionEffect,
    VersionOrigin, check_activation_chart,
};
