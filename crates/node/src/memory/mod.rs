//! Memory of the process that clients may hold: its limit, and the account in which each holder reserves
//! before it reads.

mod account;
mod host;

pub(crate) use account::grown_capacity;
pub use account::{MemoryAccount, MemoryReservation, MemoryShort};
pub(crate) use host::ProcessLimits;
