//! The account of the bytes that clients hold.
//!
//! Whatever holds bytes of a client reserves them before it reads and gives them back when dropped. When the
//! account is short, the holder waits, and reading stops. A wait that lasts too long ends with
//! [`MemoryShort`], and meanwhile the listeners end the connections that make no progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Unit of the account. A permit of the semaphore stands for this many bytes.
const UNIT_BYTES: usize = 1_024;

/// Size up to which a holder may also use the reserved part of the account, so that ordinary requests are
/// read while large bodies wait for memory.
const SMALL_BYTES: usize = 64 * 1_024;

/// The reserved part is the account divided by this number.
const RESERVED_DIVISOR: u64 = 4;

/// Capacity of a buffer that has to hold `length` bytes. Buffers grow by doubling up to `max_bytes`, and beyond it
/// only to `length`.
pub(crate) fn grown_capacity(capacity: usize, length: usize, max_bytes: usize) -> usize {
    length.max(capacity.saturating_mul(2).min(max_bytes))
}

/// The account stayed short for as long as a holder may wait.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("the memory for clients is used up")]
pub struct MemoryShort;

#[derive(Debug)]
struct AccountState {
    /// Permits for holders of any size.
    general: Arc<Semaphore>,
    /// Permits for small holders only.
    reserved: Arc<Semaphore>,
    /// Permits that each part has in all.
    general_units: usize,
    reserved_units: usize,
    total_bytes: u64,
    wait_limit: Duration,
    /// Holders that wait at this moment.
    waiting: AtomicUsize,
    /// Notified when a holder begins to wait.
    wait_began: Notify,
    /// Reservations that were not granted, since the start.
    refused: AtomicU64,
}

/// Handle to an account. Clones share the account.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Arc<AccountState>);

/// Bytes reserved by one holder, which are given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    account: MemoryAccount,
    permits: Vec<OwnedSemaphorePermit>,
    units: usize,
}

/// Counts a holder that waits, until it is dropped.
struct WaitingHolder<'a>(&'a AccountState);

impl Drop for WaitingHolder<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes that keep their reservation until the last reference to them is dropped.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryAccount {
    /// Creates an account of this size, whose holders wait for at most `wait_limit`.
    pub fn new(total_bytes: u64, wait_limit: Duration) -> Self {
        let units = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX) / UNIT_BYTES;
        let units = |bytes| Semaphore::MAX_PERMITS.min(units(bytes));
        let reserved_bytes = total_bytes / RESERVED_DIVISOR;
        let general_units = units(total_bytes - reserved_bytes);
        let reserved_units = units(reserved_bytes);
        Self(Arc::new(AccountState {
            general: Arc::new(Semaphore::new(general_units)),
            reserved: Arc::new(Semaphore::new(reserved_units)),
            general_units,
            reserved_units,
            total_bytes,
            wait_limit,
            waiting: AtomicUsize::new(0),
            wait_began: Notify::new(),
            refused: AtomicU64::new(0),
        }))
    }

    /// An empty reservation, which its holder lets grow.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            account: self.clone(),
            permits: Vec::new(),
            units: 0,
        }
    }

    /// Size of the account.
    pub fn total_bytes(&self) -> u64 {
        self.0.total_bytes
    }

    /// Bytes that are reserved.
    pub fn used_bytes(&self) -> u64 {
        let free = self.0.general.available_permits() + self.0.reserved.available_permits();
        let free_bytes = (free as u64).saturating_mul(UNIT_BYTES as u64);
        self.0.total_bytes.saturating_sub(free_bytes)
    }

    /// Number of holders that wait for memory.
    pub fn waiting(&self) -> usize {
        self.0.waiting.load(Ordering::Relaxed)
    }

    /// Waits until the next holder begins to wait.
    pub(crate) async fn wait_for_shortage(&self) {
        self.0.wait_began.notified().await;
    }

    /// Number of reservations that were not granted, since the start.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Takes permits that are free; small holders from the reserved part if need be.
    fn try_take(&self, units: u32, is_small: bool) -> Option<OwnedSemaphorePermit> {
        let general = Arc::clone(&self.0.general).try_acquire_many_owned(units);
        general.ok().or_else(|| {
            let reserved = Arc::clone(&self.0.reserved);
            is_small.then(|| reserved.try_acquire_many_owned(units).ok())?
        })
    }

    fn count_refused(&self) -> MemoryShort {
        self.0.refused.fetch_add(1, Ordering::Relaxed);
        MemoryShort
    }
}

impl MemoryReservation {
    /// Lets the reservation grow to `bytes`; waits while the account is short.
    ///
    /// # Errors
    ///
    /// Fails if the memory is not free within the time that holders of the account wait.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryShort> {
        let Some((units, is_small)) = self.missing_units(bytes) else {
            return Ok(());
        };
        let permit = match self.account.try_take(units, is_small) {
            Some(permit) => permit,
            None => self.account.wait_for(units, is_small).await?,
        };
        self.add(permit);
        Ok(())
    }

    /// Lets the reservation grow to `bytes` without waiting; returns whether it did.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let Some((units, is_small)) = self.missing_units(bytes) else {
            return true;
        };
        let permit = self.account.try_take(units, is_small);
        let Some(permit) = permit else {
            self.account.count_refused();
            return false;
        };
        self.add(permit);
        true
    }

    /// Units missing for a size of `bytes`, and whether a holder of this size is small.
    fn missing_units(&self, bytes: usize) -> Option<(u32, bool)> {
        let missing = bytes.div_ceil(UNIT_BYTES).saturating_sub(self.units);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        (missing > 0).then_some((missing, bytes <= SMALL_BYTES))
    }

    fn add(&mut self, permit: OwnedSemaphorePermit) {
        self.units += permit.num_permits();
        self.permits.push(permit);
    }

    /// Binds the reservation to the bytes that it was made for.
    pub fn into_bytes(self, bytes: Vec<u8>) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl MemoryAccount {
    async fn wait_for(
        &self,
        units: u32,
        is_small: bool,
    ) -> Result<OwnedSemaphorePermit, MemoryShort> {
        let (part, part_units) = if is_small {
            (&self.0.reserved, self.0.reserved_units)
        } else {
            (&self.0.general, self.0.general_units)
        };
        // The semaphore keeps what becomes free for the first holder that waits. One that can never be
        // served would take all of it from the others.
        if units as usize > part_units {
            return Err(self.count_refused());
        }
        self.0.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingHolder(&self.0);
        self.0.wait_began.notify_waiters();
        let permit = Arc::clone(part).acquire_many_owned(units);
        let permit = timeout(self.0.wait_limit, permit).await;
        // The semaphores are never closed.
        permit
            .ok()
            .and_then(Result::ok)
            .ok_or_else(|| self.count_refused())
    }
}
