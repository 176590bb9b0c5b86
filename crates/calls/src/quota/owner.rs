//! The owner's side: the token bucket of one workspace and its leases.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;

use super::limit::{NONOWNER_SHARE, QuotaLimit};

/// Time until a lease expires at the holder. Holders ask for a second of their demand, so that a lease
/// rarely expires with tokens left.
const LEASE_VALIDITY: Duration = Duration::from_secs(2);

/// Validity of a lease with fewer tokens than its holder wants. They are used at once, and must not count
/// as leased until the holder asks again: with the longer validity, a workspace over its limit got half of
/// the limit.
const SHORT_LEASE_VALIDITY: Duration = Duration::from_millis(500);

/// Part of the bucket that one lease may take, so that one holder cannot empty the bucket while others
/// ask.
const MAX_LEASE_PART: f64 = 0.33;

/// Time between two holders that ask again while the bucket is short. A request costs about 0.1 ms of
/// processor time, so that these are 6 % of a tenth of a core.
const MIN_SLOT_TIME: Duration = Duration::from_millis(16);

/// Longest time after which a holder that got too few tokens may ask again.
const MAX_RETRY_TIME: Duration = Duration::from_secs(2);

/// Time after which a holder may ask a node again that grants nothing yet, since it has just started.
const NO_RATE_RETRY_TIME: Duration = Duration::from_millis(250);

/// What a node may grant of the tokens of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnerRole {
    /// The node is the first by rank and has run for long enough to know the others. It grants the share
    /// of the members that it reaches.
    Owning {
        /// Share of the members, from 0 to 1.
        share: f64,
    },
    /// The first by rank did not answer a holder, and may still answer others.
    Substitute,
    /// The node has just started and may not know of the owner before it.
    Settling,
}

impl OwnerRole {
    fn share(self) -> f64 {
        match self {
            Self::Owning { share } => share.clamp(0.0, 1.0),
            Self::Substitute => NONOWNER_SHARE,
            Self::Settling => 0.0,
        }
    }
}

/// Demand of a holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenDemand {
    /// Tokens that the holder asks for.
    pub wanted: u32,
    /// Those of them that calls wait for.
    pub needed: u32,
    /// Tokens that it has left, and keeps.
    pub unspent: u32,
}

/// Answer to a demand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenGrant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time from the request until all tokens of the holder expire.
    pub validity: Duration,
    /// Time until the holder may ask again if it got less than it needs; zero otherwise.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct TokenLease {
    /// Tokens that may still be used.
    tokens: u32,
    expires_at: Instant,
}

/// Token bucket of one workspace.
///
/// Invariant: the tokens in the bucket and those that are leased, neither expired nor reported as used,
/// are together at most the capacity. With the refill, this bounds the calls of any window, whenever the
/// leased tokens are used.
#[derive(Debug)]
pub struct QuotaOwner {
    limit: QuotaLimit,
    role: OwnerRole,
    level: f64,
    refilled_at: Instant,
    /// From when on the next holder that gets too few tokens may ask again. Each gets a time of its own, so
    /// that holders do not ask all at once.
    next_slot_at: Instant,
    /// Leases by holder.
    leases: BTreeMap<String, TokenLease>,
}

impl QuotaOwner {
    /// Creates an empty bucket: an owner before this one may have granted a burst just now.
    pub fn new(limit: QuotaLimit, role: OwnerRole, now: Instant) -> Self {
        Self {
            limit,
            role,
            level: 0.0,
            refilled_at: now,
            next_slot_at: now,
            leases: BTreeMap::new(),
        }
    }

    /// Role as of the last [`Self::set_role`].
    pub fn role(&self) -> OwnerRole {
        self.role
    }

    /// Number of leases with tokens, as of the last demand.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Whether no lease is left, as of `now`.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.refresh(now);
        self.leases.is_empty()
    }

    /// Sets the limit of a new version.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Instant) {
        self.refresh(now);
        self.limit = limit;
    }

    /// Sets the role. The bucket of a node that no longer owns the workspace is emptied.
    pub fn set_role(&mut self, role: OwnerRole, now: Instant) {
        self.refresh(now);
        let was_owning = matches!(self.role, OwnerRole::Owning { .. });
        if was_owning && !matches!(role, OwnerRole::Owning { .. }) {
            self.level = 0.0;
        }
        self.role = role;
    }

    /// Empties the bucket after the process was paused: another node may have granted tokens meanwhile.
    pub fn empty(&mut self, now: Instant) {
        self.refresh(now);
        self.level = 0.0;
    }

    /// Answers the demand of `holder`.
    pub fn grant(&mut self, holder: &str, demand: TokenDemand, now: Instant) -> TokenGrant {
        self.refresh(now);
        // Leases of an earlier owner are counted when their holders ask here.
        let kept = TokenLease {
            tokens: demand.unspent,
            expires_at: now.after(LEASE_VALIDITY),
        };
        self.leases.insert(holder.to_owned(), kept);
        // Leaves only room for tokens that the holder has from elsewhere.
        self.refill(now);
        // Tokens that no call waits for would expire unused while other holders lack them.
        let max_tokens = self.level * MAX_LEASE_PART;
        let max_tokens = max_tokens.max(f64::from(demand.needed).min(self.level));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "leases have whole tokens, and the level is not negative"
        )]
        let tokens = demand.wanted.min(max_tokens as u32);
        self.level -= f64::from(tokens);
        let validity = if tokens < demand.wanted {
            SHORT_LEASE_VALIDITY
        } else {
            LEASE_VALIDITY
        };
        let retry_after = if tokens < demand.needed {
            self.next_slot(now)
        } else {
            Duration::ZERO
        };
        // A holder that gets no token keeps those that it has until its former lease expires, which is at most
        // the longer validity from now.
        if tokens > 0
            && let Some(lease) = self.leases.get_mut(holder)
        {
            lease.tokens = lease.tokens.saturating_add(tokens);
            lease.expires_at = now.after(validity);
        }
        TokenGrant {
            tokens,
            validity,
            retry_after,
        }
    }

    /// Reserves the next time at which a holder may ask again; returns the time until then.
    fn next_slot(&mut self, now: Instant) -> Duration {
        let rate = self.limit.rate_per_s * self.role.share();
        if rate <= 0.0 {
            return NO_RATE_RETRY_TIME;
        }
        let token_time = |tokens: f64| {
            let time = Duration::try_from_secs_f64(tokens / rate).unwrap_or(MAX_RETRY_TIME);
            time.min(MAX_RETRY_TIME)
        };
        let missing = (1.0 - self.level).max(0.0);
        let slot = self.next_slot_at.max(now.after(token_time(missing)));
        let slot = slot.min(now.after(MAX_RETRY_TIME));
        self.next_slot_at = slot.after(token_time(1.0).max(MIN_SLOT_TIME));
        slot.since(now)
    }

    /// Adds the tokens that have become available and removes expired leases, in the order of time: what a
    /// lease occupies is refilled only after it has expired.
    fn refresh(&mut self, now: Instant) {
        while let Some(expires_at) = self.next_expiry().filter(|at| at.is_past(now)) {
            self.refill(expires_at);
            let leases = self.leases.values_mut();
            for lease in leases.filter(|lease| lease.expires_at.is_past(expires_at)) {
                lease.tokens = 0;
            }
        }
        self.leases.retain(|_, lease| lease.tokens > 0);
        self.refill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        let leases = self.leases.values().filter(|lease| lease.tokens > 0);
        leases.map(|lease| lease.expires_at).min()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let leased = self.leases.values().map(|lease| f64::from(lease.tokens));
        let share = self.role.share();
        let room = (self.limit.capacity() * share - leased.sum::<f64>()).max(0.0);
        let refilled = self.level + elapsed * self.limit.rate_per_s * share;
        self.level = refilled.min(room);
    }
}
