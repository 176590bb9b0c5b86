//! The holder's side: the lease of one workspace at a node that receives its calls.

use std::sync::LazyLock;
use std::time::Duration;

use agatedeck_chart::TransitionTable;
use agatedeck_clock::Instant;
use derive_more::FromStr;

use super::demand::DemandEstimate;
use super::limit::{NONOWNER_SHARE, QuotaLimit};
use super::owner::{TokenDemand, TokenGrant};

/// Time of its demand for which a holder asks tokens. Shorter leases cost more requests: at one second, the
/// owner of a workspace that all of 59 nodes call answers at most 59 requests a second.
const LEASE_TIME: Duration = Duration::from_secs(1);

/// Time of its demand that must be left when a holder asks for more. A round trip between regions is
/// 24 ms, and a process on a tenth of a core may wait up to 100 ms for its turn.
const PREFETCH_TIME: Duration = Duration::from_millis(150);

/// Calls per second above which the next lease is requested before a call needs it. At this rate a token
/// is used before it expires with a probability of nine tenths.
const MIN_PREFETCH_RATE: f64 = 1.2;

/// Expected calls of a lease above which one more token is requested.
const ROUND_UP: f64 = 0.3;

/// Pause after a request without an answer, before the next owner by rank is asked.
const ALONE_TIME: Duration = Duration::from_millis(100);

/// Time after the last call until the state of a workspace may be dropped. No token is valid by then.
const IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum LeaseState {
    Idle,
    Asking,
    Leased,
    Renewing,
    Refusing,
    Alone,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum LeaseEvent {
    Needed,
    Withheld,
    Granted,
    Denied,
    Unanswered,
    Spent,
    Due,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
enum LeaseAction {
    StartAlone,
}

/// Parsed from the file embedded in the binary; `tests/quota.rs` checks that it loads.
static LEASE_CHART: LazyLock<TransitionTable<LeaseState, LeaseEvent, LeaseAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/quota_lease.toml"))
            .expect("charts/quota_lease.toml is a valid chart")
    });

/// A token that a call has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaToken {
    /// Number of requests that the holder had sent when the token was taken.
    request_count: u64,
}

/// Answer to a call that needs a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenAnswer {
    /// The call may go on.
    Granted(QuotaToken),
    /// The owner was asked, or must be asked; the call waits.
    Wait,
    /// No token is expected before this time has passed.
    Refused(Duration),
}

/// Lease of one workspace, and the demand for it.
#[derive(Debug)]
pub struct QuotaHolder {
    state: LeaseState,
    demand: DemandEstimate,
    tokens: u32,
    expires_at: Instant,
    /// Until when the owner is not asked.
    ask_after: Instant,
    request_count: u64,
    /// Tokens that the node has for itself while no owner answers.
    alone_tokens: f64,
    alone_refilled_at: Instant,
    last_call_at: Instant,
}

impl QuotaHolder {
    /// Creates a holder without tokens.
    pub fn new(now: Instant) -> Self {
        Self {
            state: LEASE_CHART.initial(),
            demand: DemandEstimate::new(now),
            tokens: 0,
            expires_at: now,
            ask_after: now,
            request_count: 0,
            alone_tokens: 0.0,
            alone_refilled_at: now,
            last_call_at: now,
        }
    }

    /// Counts a call and takes a token for it if there is one.
    pub fn take(&mut self, now: Instant) -> TokenAnswer {
        self.demand.record_call(now);
        self.last_call_at = now;
        self.take_for_counted_call(now)
    }

    /// Takes a token for a call that has been counted and waits.
    pub fn take_for_counted_call(&mut self, now: Instant) -> TokenAnswer {
        self.refresh(now);
        if self.tokens > 0 {
            self.tokens -= 1;
            if self.tokens == 0 {
                self.advance(LeaseEvent::Spent, now);
            }
            return TokenAnswer::Granted(QuotaToken {
                request_count: self.request_count,
            });
        }
        if self.state == LeaseState::Idle && !self.ask_after.is_past(now) {
            self.advance(LeaseEvent::Withheld, now);
        }
        match self.state {
            LeaseState::Refusing | LeaseState::Alone => {
                TokenAnswer::Refused(self.ask_after.since(now))
            }
            _ => TokenAnswer::Wait,
        }
    }

    /// Takes a token of those that the node has for itself while no owner answers: all `members` nodes
    /// together have [`NONOWNER_SHARE`] of the rate, and no burst.
    pub fn take_alone(
        &mut self,
        limit: &QuotaLimit,
        members: u32,
        now: Instant,
    ) -> Option<QuotaToken> {
        let rate = limit.rate_per_s * NONOWNER_SHARE / f64::from(members.max(1));
        let elapsed = now.since(self.alone_refilled_at).as_secs_f64();
        // Nodes must not save up tokens while the owner answers.
        let elapsed = elapsed.min(limit.window.as_secs_f64());
        self.alone_tokens = (self.alone_tokens + elapsed * rate).min(1.0_f64.max(rate));
        self.alone_refilled_at = self.alone_refilled_at.max(now);
        if self.alone_tokens < 1.0 {
            return None;
        }
        self.alone_tokens -= 1.0;
        Some(QuotaToken {
            request_count: self.request_count,
        })
    }

    /// Whether the owner should be asked now; `waiting` calls wait for a token.
    pub fn needs_request(&mut self, waiting: u32, now: Instant) -> bool {
        self.refresh(now);
        if !self.ask_after.is_past(now) {
            return false;
        }
        match self.state {
            LeaseState::Idle => waiting > 0 || self.wants_prefetch(now),
            LeaseState::Leased => self.wants_prefetch(now),
            _ => false,
        }
    }

    /// Whether a request that is sent to the owner anyway should ask for this workspace too.
    pub fn wants_early_renewal(&mut self, now: Instant) -> bool {
        self.refresh(now);
        let rate = self.demand.rate(now);
        let is_half_used = f64::from(self.tokens) <= rate * LEASE_TIME.as_secs_f64() / 2.0;
        let may_ask = self.state == LeaseState::Leased && self.ask_after.is_past(now);
        may_ask && is_half_used && rate >= MIN_PREFETCH_RATE
    }

    fn wants_prefetch(&self, now: Instant) -> bool {
        let rate = self.demand.rate(now);
        let reserve = rate * PREFETCH_TIME.as_secs_f64();
        rate >= MIN_PREFETCH_RATE && f64::from(self.tokens) <= reserve
    }

    /// Starts a request for `waiting` calls and those that are expected.
    pub fn start_request(&mut self, waiting: u32, now: Instant) -> TokenDemand {
        self.refresh(now);
        self.advance(LeaseEvent::Needed, now);
        self.request_count += 1;
        let expected = self.demand.rate(now) * LEASE_TIME.as_secs_f64() + ROUND_UP;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rate is not negative, and the conversion saturates"
        )]
        let expected = expected as u32;
        // The calls that wait are part of the demand; for a rate that rises, they are most of it.
        let wanted = expected.max(waiting);
        TokenDemand {
            wanted: wanted.saturating_sub(self.tokens).max(1),
            needed: waiting,
            unspent: self.tokens,
        }
    }

    /// Records the answer to a request that was sent at `sent_at`.
    pub fn record_grant(&mut self, grant: TokenGrant, sent_at: Instant, now: Instant) {
        let expires_at = sent_at.after(grant.validity);
        self.ask_after = now.after(grant.retry_after);
        if expires_at.is_past(now) || grant.tokens == 0 {
            self.advance(LeaseEvent::Denied, now);
            return;
        }
        self.refresh(now);
        self.tokens = self.tokens.saturating_add(grant.tokens);
        // The owner counts the tokens that were left until the new lease expires.
        self.expires_at = expires_at;
        self.advance(LeaseEvent::Granted, now);
    }

    /// Records that a request was not answered, or that there is no owner to ask.
    pub fn record_silence(&mut self, now: Instant) {
        self.advance(LeaseEvent::Unanswered, now);
    }

    /// Returns the token of a call that did not run. It is lost if the owner was told of the tokens left
    /// since the token was taken: the owner counts it as used then.
    pub fn give_back(&mut self, token: QuotaToken, now: Instant) {
        self.refresh(now);
        let is_settled = matches!(self.state, LeaseState::Leased | LeaseState::Idle);
        let is_valid = is_settled && !self.expires_at.is_past(now);
        if token.request_count == self.request_count && is_valid {
            self.tokens += 1;
        }
    }

    /// Whether no call came for so long that the state has no effect any more.
    pub fn is_unused(&self, now: Instant) -> bool {
        self.last_call_at.after(IDLE_TIME).is_past(now)
    }

    /// Whether the last request was not answered, so that [`Self::take_alone`] applies.
    pub fn is_alone(&self) -> bool {
        self.state == LeaseState::Alone
    }

    fn refresh(&mut self, now: Instant) {
        if self.tokens > 0 && self.expires_at.is_past(now) {
            self.tokens = 0;
            self.advance(LeaseEvent::Spent, now);
        }
        let waits = matches!(self.state, LeaseState::Refusing | LeaseState::Alone);
        if waits && self.ask_after.is_past(now) {
            self.advance(LeaseEvent::Due, now);
        }
    }

    fn advance(&mut self, event: LeaseEvent, now: Instant) {
        for action in LEASE_CHART.advance(&mut self.state, event) {
            match action {
                LeaseAction::StartAlone => self.ask_after = now.after(ALONE_TIME),
            }
        }
    }
}
