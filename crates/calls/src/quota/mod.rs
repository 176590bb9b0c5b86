//! Quotas of workspaces over all nodes.
//!
//! One node, the owner, holds a token bucket for each workspace and leases tokens to the nodes that
//! receive its calls (the holders). In any window of 5 s, the calls that run stay
//! within (`rate_per_s` x 5 + `burst`) x 1.1 + 20. What is allowed beyond the rate and the burst is
//! divided between two needs, see [`QuotaLimit`]: tokens that are leased and not yet used, and tokens
//! that are granted while the owner cannot be reached.

mod contacts;
mod demand;
mod fleet;
mod holder;
mod limit;
mod owner;
mod table;

pub use contacts::PeerContacts;
pub use holder::{QuotaHolder, QuotaToken, TokenAnswer};
pub use limit::{NONOWNER_SHARE, QuotaLimit};
pub use owner::{OwnerRole, QuotaOwner, TokenDemand, TokenGrant};
pub use table::{OwnerChanges, OwnerRequest, QuotaTable};
