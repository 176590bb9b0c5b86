//! Messages of the quota actor.

use std::time::Duration;

use agatedeck_calls::{OwnerRequest, QuotaToken, TokenGrant};
use agatedeck_clock::Instant;
use agatedeck_wire::QuotaRequest;
use tokio::sync::oneshot;

/// Answer to a call that asked for a token.
#[derive(Clone, Copy, Debug)]
pub(super) enum TokenReply {
    /// The call may go on; without a token if its workspace has no limit.
    Granted(Option<QuotaToken>),
    /// A token is likely after this time.
    Refused(Duration),
}

/// Requests a token for a call.
pub(super) struct TakeToken {
    pub(super) workspace: String,
    pub(super) reply: oneshot::Sender<TokenReply>,
}

/// Returns the token of a call that did not run.
pub(super) struct ReturnToken {
    pub(super) workspace: String,
    pub(super) token: QuotaToken,
}

/// Passes on the request of a holder.
pub(crate) struct AnswerQuota(pub(crate) QuotaRequest);

/// Sends the requests that are due. It is queued behind the calls that have arrived, so that one request
/// covers them all.
pub(super) struct SendRequests;

/// Ends the waits of calls that have waited for too long.
pub(super) struct ExpireWaits;

/// Follows the members and the configuration; sent at an interval and at each new version.
pub(super) struct RefreshQuotas;

/// A request to an owner, or a check of whether a node answers, has ended.
pub(super) struct RequestEnded {
    pub(super) request: OwnerRequest,
    pub(super) sent_at: Instant,
    pub(super) grants: Option<Vec<TokenGrant>>,
}
