//! States, events and actions of `charts/call.toml`.

use std::sync::LazyLock;

use agatedeck_chart::TransitionTable;
use derive_more::{Display, FromStr};

/// State of a call at the caller's node.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum CallState {
    /// The call has arrived and has not been processed yet.
    Received,
    /// The claim (idempotency record) of a call that must run at most once is being written.
    Claiming,
    /// The load balancer is picking a target.
    Picking,
    /// A connection to the target's node is being opened or taken from the connection pool.
    Connecting,
    /// The request is being sent, or has been sent and its answer has not begun.
    Dispatched,
    /// The answer is being forwarded to the caller.
    Answering,
    /// An attempt has ended and the owner of the retry budget is deciding on a retry.
    Deciding,
    /// The call is waiting for the backoff before its next attempt to end.
    Backoff,
    /// The outcome has been reported to the caller.
    Done,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ChartEvent {
    ClaimNeeded,
    ClaimNotNeeded,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
    TargetPicked,
    NoTarget,
    ConnectFailed,
    SendStarted,
    Refused,
    TargetFull,
    Declined,
    Misdirected,
    AnsweredFailure,
    ConnectionLost,
    AnswerStarted,
    AnswerTruncated,
    AnswerEnded,
    RetryGranted,
    RetryDenied,
    BackoffEnded,
    DeadlinePassed,
    Cancelled,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ChartAction {
    AcquireClaim,
    PickTarget,
    SendAttempt,
    CancelAttempt,
    ForwardAnswer,
    AbortAnswer,
    SetAnswered,
    SetNotRun,
    SetUnknown,
    CountDelivered,
    RecordAnswered,
    RecordFailed,
    RecordTimedOut,
    RecordRefused,
    RecordFull,
    RecordCancelled,
    DecideRetry,
    ScheduleBackoff,
    FinishClaim,
    ReportOutcome,
}

pub(crate) static CALL_CHART: LazyLock<TransitionTable<CallState, ChartEvent, ChartAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/call.toml"))
            .expect("the embedded chart `call` is valid")
    });
