//! The handle through which the tasks of calls take tokens.

use std::time::Duration;

use agatedeck_calls::QuotaToken;
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use super::actor::QuotaActor;
use super::messages::{ReturnToken, TakeToken, TokenReply};

/// Time after which a call may be repeated that found no actor, since the node stops.
const STOPPED_RETRY_TIME: Duration = Duration::from_secs(1);

/// Handle through which calls take tokens from `QuotaActor`.
#[derive(Clone, Debug)]
pub(crate) struct QuotaClient {
    actor: ActorRef<QuotaActor>,
}

impl QuotaClient {
    pub(crate) fn new(actor: ActorRef<QuotaActor>) -> Self {
        Self { actor }
    }

    /// Takes a token for a call of `workspace`; `None` if it has no limit. Fails with the time after which
    /// a token is likely.
    pub(crate) async fn take(&self, workspace: &str) -> Result<Option<TokenLease>, Duration> {
        let (reply, answer) = oneshot::channel();
        let message = TakeToken {
            workspace: workspace.to_owned(),
            reply,
        };
        // The actor stops only when the node stops. The send cannot block: the mailbox is unbounded.
        let _ = self.actor.tell(message).try_send();
        match answer.await {
            Ok(TokenReply::Granted(token)) => Ok(token.map(|token| TokenLease {
                workspace: workspace.to_owned(),
                token,
                actor: self.actor.clone(),
            })),
            Ok(TokenReply::Refused(retry_after)) => Err(retry_after),
            Err(_) => Err(STOPPED_RETRY_TIME),
        }
    }
}

/// The token of a call. It is used up unless it is given back.
#[derive(Debug)]
pub(crate) struct TokenLease {
    workspace: String,
    token: QuotaToken,
    actor: ActorRef<QuotaActor>,
}

impl TokenLease {
    /// Gives back the token of a call that did not run.
    pub(crate) fn give_back(self) {
        let message = ReturnToken {
            workspace: self.workspace,
            token: self.token,
        };
        // The actor stops only when the node stops.
        let _ = self.actor.tell(message).try_send();
    }
}
