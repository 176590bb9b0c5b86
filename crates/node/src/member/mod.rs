//! The membership that this node knows.

mod bootstrap;
mod keeper;

pub(crate) use bootstrap::announce;
pub(crate) use keeper::{
    AnswerJoin, AnswerProbe, AnswerSync, Leave, MemberKeeper, MergeMembers, PROBE_TIMEOUT,
    ProbeTick,
};
