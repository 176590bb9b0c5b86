//! Why a call was not answered by a target.

use agatedeck_calls::{AttemptEvent, ClaimRefusal, RefusalReason};
use axum::http::StatusCode;
use derive_more::{Display, FromStr};

/// Why a call has no answer from a target. The text form is the value of the header
/// `agatedeck-reason` and the last part of the names of metrics.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum StopReason {
    /// The node does not know yet which version it may serve.
    NotServing,
    /// The node or its target takes no new calls.
    Draining,
    /// No route matches.
    NoRoute,
    /// The service has no policy.
    NoPolicy,
    /// No target of the service takes calls.
    NoTarget,
    /// The call chain is too deep.
    TooDeep,
    /// Requests like this one crashed targets.
    CrashedTargets,
    /// The call needs an idempotency key.
    MissingKey,
    /// The body is too large to be kept.
    BodyTooLarge,
    /// The body of the request broke off.
    BodyIncomplete,
    /// The queue of the target is full.
    QueueFull,
    /// The target's node has too many large bodies to receive.
    IntakeFull,
    /// The tenant holds its share of the target.
    TenantShare,
    /// The call cannot be answered by its deadline.
    Deadline,
    /// The target cannot be reached.
    Unreachable,
    /// The target said that it did not run the call.
    Declined,
    /// Another target than the one meant listens at the address.
    Displaced,
    /// The store did not confirm the claim in time.
    StoreAway,
    /// The idempotency key was used with another request.
    KeyReused,
    /// Other claims on the same key are being made.
    ClaimContended,
    /// Too many claims are in progress.
    TooManyClaims,
    /// The idempotency key is not valid.
    InvalidKey,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// An earlier call with the same idempotency key may have run.
    UnknownEarlier,
    /// The call ran, and its answer was too large to be kept.
    AnswerNotKept,
    /// The call was sent and no answer came.
    NoAnswer,
    /// The answer broke off.
    AnswerTruncated,
    /// The end of the answer is not certain.
    AnswerUnbounded,
    /// The answer does not belong to the call.
    AnswerUnusable,
    /// The target answered that it failed.
    TargetFailed,
    /// The caller cancelled the call.
    Cancelled,
}

impl StopReason {
    /// The status that the caller receives.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::MissingKey | Self::InvalidKey | Self::BodyIncomplete | Self::Cancelled => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::AnswerNotKept => StatusCode::CONFLICT,
            Self::TenantShare => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline | Self::NoAnswer | Self::UnknownEarlier => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerTruncated
            | Self::AnswerUnbounded
            | Self::AnswerUnusable
            | Self::TargetFailed => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// What a refusal for this reason means for the attempt that received it. A node that has no room
    /// or no target is avoided for a moment; the other reasons concern the call alone.
    pub(super) fn attempt_event(self) -> AttemptEvent {
        match self {
            Self::Declined | Self::Displaced => AttemptEvent::Declined,
            Self::QueueFull
            | Self::Deadline
            | Self::Draining
            | Self::NoTarget
            | Self::Unreachable => AttemptEvent::TargetFull,
            _ => AttemptEvent::Refused,
        }
    }

    /// The sentence that the caller reads.
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
            Self::TenantShare => "the tenant holds its share of the target",
            Self::Deadline => "the call cannot be answered by its deadline",
            Self::Unreachable => "the target cannot be reached",
            Self::Declined => "the target said that it did not run the call",
            Self::Displaced => "another target than the one meant listens at the address",
            Self::StoreAway => "the store did not confirm the claim in time",
            Self::KeyReused => "the idempotency key was used with another request",
            Self::ClaimContended => "other claims on the same key are being made",
            Self::TooManyClaims => "too many claims are in progress on this node",
            Self::InvalidKey => "the idempotency key is not valid",
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
