//! Rollouts of service versions at one node: the states that it holds, the counting of results, and the
//! driver at the leading reader.

mod actor;
mod messages;
mod order_reads;
mod published;
mod requests;
mod result_counter;
mod row;

pub(crate) use actor::{RolloutActor, START_GRACE};
pub(crate) use messages::{
    EndStartGrace, MergeHeartbeat, OrdersReceived, ReadOrders, RecordReport, SetLeading,
    SourceAnswered,
};
pub(crate) use published::PublishedRollouts;
pub(crate) use result_counter::{CallVerdict, CountedResult, ResultCounter};
