//! Reasons why no target answered a call.

use agatedeck_calls::{AttemptEvent, ClaimRefusal, RefusalReason};
use axum::http::StatusCode;
use derive_more::{Display, FromStr};

/// Why no target answered a call. The text form (kebab-case) is the value of the header
/// `agatedeck-reason`, of the metric label `reason` and of the log field `reason`, and the last
/// part of the names of the `StatsD` counters.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum StopReason {
    /// The node does not know yet which configuration version it may serve.
    NotServing,
    /// The node or its target is draining and accepts no new calls.
    Draining,
    /// No route matches the request.
    NoRoute,
    /// The service has no policy.
    NoPolicy,
    /// No target of the service accepts calls.
    NoTarget,
    /// The chain of calls has reached its maximum number of hops.
    TooDeep,
    /// Targets crashed while they handled requests with the same fingerprint.
    CrashedTargets,
    /// The call must run at most once and has no idempotency key.
    MissingKey,
    /// The request body is too large to buffer.
    BodyTooLarge,
    /// The request body was truncated.
    BodyIncomplete,
    /// The admission queue of the target is full.
    QueueFull,
    /// Too many large request bodies wait to be received by the target's node.
    IntakeFull,
    /// The memory that clients may hold is used up.
    MemoryShort,
    /// The workspace already uses its share of the target.
    TenantShare,
    /// The call was not or cannot be answered by its deadline.
    Deadline,
    /// The target cannot be reached.
    Unreachable,
    /// The target stated that it did not run the call.
    Declined,
    /// The node at the address has a target of another service.
    Displaced,
    /// The target stated that it is another one than the call is meant for.
    WrongTarget,
    /// The store did not confirm the claim in time.
    StoreAway,
    /// The idempotency key was used with another request.
    KeyReused,
    /// Other calls are claiming the same idempotency key at the same time.
    ClaimContended,
    /// Too many claims are in progress.
    TooManyClaims,
    /// The idempotency key is not valid.
    InvalidKey,
    /// The route needs the key of a workspace, and the request has none that is known.
    UnknownKey,
    /// It is not certain that the key of the workspace is still valid, since the newest version is not
    /// known.
    KeyUnconfirmed,
    /// The workspace has used up its quota.
    QuotaExceeded,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// An earlier call with the same idempotency key may have run.
    UnknownEarlier,
    /// An earlier call with the same key ran, and its answer was too large to store.
    AnswerNotKept,
    /// The call was sent and no answer arrived.
    NoAnswer,
    /// The answer was truncated.
    AnswerTruncated,
    /// The answer has neither a content length nor chunked encoding, so truncation is undetectable.
    AnswerUnbounded,
    /// The answer does not belong to the call or cannot be forwarded.
    AnswerUnusable,
    /// The target answered with a server error.
    TargetFailed,
    /// The caller cancelled the call.
    Cancelled,
}

impl StopReason {
    /// HTTP status that the caller receives.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::MissingKey | Self::InvalidKey | Self::BodyIncomplete | Self::Cancelled => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::AnswerNotKept => StatusCode::CONFLICT,
            Self::TenantShare | Self::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline | Self::NoAnswer | Self::UnknownEarlier => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerTruncated
            | Self::AnswerUnbounded
            | Self::AnswerUnusable
            | Self::TargetFailed => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Event for the attempt that was refused for this reason. A target that is full or unreachable
    /// or that declined the call is avoided for a short time, and one whose node has another target by
    /// now counts as failed; the other reasons concern only the call.
    pub(super) fn attempt_event(self) -> AttemptEvent {
        match self {
            Self::Declined | Self::WrongTarget => AttemptEvent::Declined,
            Self::Displaced => AttemptEvent::Misdirected,
            Self::QueueFull
            | Self::Deadline
            | Self::Draining
            | Self::NoTarget
            | Self::Unreachable => AttemptEvent::TargetFull,
            _ => AttemptEvent::Refused,
        }
    }

    /// Message in the body of the answer to the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::NotServing => "the node does not know yet which version it may serve",
            Self::Draining => "the node is draining",
            Self::NoRoute => "no route matches the call",
            Self::NoPolicy => "the service has no policy",
            Self::NoTarget => "no target of the service takes calls",
            Self::TooDeep => "the call chain is too deep",
            Self::CrashedTargets => "requests like this one crashed targets of the service",
            Self::MissingKey => "the call runs at most once and needs the header idempotency-key",
            Self::BodyTooLarge => "the body is too large for a call that runs at most once",
            Self::BodyIncomplete => "the body of the request broke off",
            Self::QueueFull => "the queue of the target is full",
            Self::IntakeFull => "the target's node has too many large bodies to receive",
            Self::MemoryShort => "the memory of the node for requests is used up",
            Self::TenantShare => "the tenant holds its share of the target",
            Self::Deadline => "the call cannot be answered by its deadline",
            Self::Unreachable => "the target cannot be reached",
            Self::Declined => "the target said that it did not run the call",
            Self::Displaced => "the node at the address has a target of another service",
            Self::WrongTarget => "another target than the one meant listens at the address",
            Self::StoreAway => "the store did not confirm the claim in time",
            Self::KeyReused => "the idempotency key was used with another request",
            Self::ClaimContended => "other claims on the same key are being made",
            Self::TooManyClaims => "too many claims are in progress on this node",
            Self::InvalidKey => "the idempotency key is not valid",
            Self::UnknownKey => "the route needs the key of a workspace",
            Self::KeyUnconfirmed => "the node cannot confirm that the key is still valid",
            Self::QuotaExceeded => "the workspace has used up its quota",
            Self::InProgress => "a call with this idempotency key is in progress",
            Self::UnknownEarlier => "an earlier call with this idempotency key may have run",
            Self::AnswerNotKept => "the call ran, and its answer was too large to be kept",
            Self::NoAnswer => "the call was sent and no answer came",
            Self::AnswerTruncated => "the answer broke off",
            Self::AnswerUnbounded => "the answer states no length, so that its end is not certain",
            Self::AnswerUnusable => "the answer does not belong to the call",
            Self::TargetFailed => "the target answered that it failed",
            Self::Cancelled => "the caller cancelled the call",
        }
    }
}

impl From<RefusalReason> for StopReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::QueueFull => Self::QueueFull,
            RefusalReason::TenantShare => Self::TenantShare,
            RefusalReason::Deadline => Self::Deadline,
            RefusalReason::Draining => Self::Draining,
        }
    }
}

impl From<ClaimRefusal> for StopReason {
    fn from(refusal: ClaimRefusal) -> Self {
        match refusal {
            ClaimRefusal::StoreUnavailable => Self::StoreAway,
            ClaimRefusal::KeyReused => Self::KeyReused,
            ClaimRefusal::DeadlinePassed => Self::Deadline,
            ClaimRefusal::Contended => Self::ClaimContended,
            ClaimRefusal::TooManyClaims => Self::TooManyClaims,
            ClaimRefusal::InvalidKey => Self::InvalidKey,
        }
    }
}
