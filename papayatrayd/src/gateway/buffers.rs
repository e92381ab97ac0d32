//! Memory for bodies that a process buffers whole: one pool for all connections and requests.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use papayatray_core::gateway::buffer_shares::BufferShares;
use papayatray_core::gateway::buffer_shares::Exhausted;
use papayatray_core::id::EndpointId;
use papayatray_core::id::OrganisationId;

/// Part of the process's memory for buffered bodies; connections, the plan and the allocator's free
/// lists need the rest.
const BUFFER_PART: u64 = 4;
/// Memory assumed where the settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// Sender of bodies; each gets a share of the pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferSource {
    /// Responses and heartbeats of an endpoint, whatever the way on which they come.
    Endpoint(EndpointId),
    /// Requests of an organisation.
    Organisation(OrganisationId),
    /// Requests without an organisation, on the route with this name.
    PublicRoute(String),
    /// Requests that other entries pass on.
    Entries,
    /// Orders of operators.
    Operators,
    /// Announcements of endpoints whose ids are in the body.
    Announcements,
}

/// Memory for buffered bodies.
#[derive(Debug)]
pub struct BufferPool(Mutex<BufferShares<BufferSource>>);

impl Default for BufferPool {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY_BYTES)
    }
}

impl BufferPool {
    /// Creates the pool of a process that may use `memory` bytes in all.
    pub fn new(memory: u64) -> Self {
        let capacity = usize::try_from(memory / BUFFER_PART).unwrap_or(usize::MAX);
        Self(Mutex::new(BufferShares::new(capacity)))
    }

    /// Creates the pool of a process, of the default size if its memory is not known.
    pub fn of_process(memory: Option<u64>) -> Self {
        memory.map_or_else(Self::default, Self::new)
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.shares().used()
    }

    /// Returns an empty reservation for bodies from a source.
    pub fn reservation(self: &Arc<Self>, source: BufferSource) -> Reservation {
        Reservation {
            pool: Arc::clone(self),
            source,
            bytes: 0,
        }
    }

    fn shares(&self) -> MutexGuard<'_, BufferShares<BufferSource>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Part of the pool that a body takes up, until it is dropped.
pub struct Reservation {
    pool: Arc<BufferPool>,
    source: BufferSource,
    bytes: usize,
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation")
            .field("source", &self.source)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Extends the reservation to `bytes`; a longer one stays as it is.
    ///
    /// # Errors
    ///
    /// Returns the reason why the pool grants no more to this source.
    pub fn extend_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            self.pool.shares().reserve(&self.source, added)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Reduces the reservation to `bytes`, and returns one for the rest.
    #[must_use]
    pub fn split_off(&mut self, bytes: usize) -> Self {
        let rest = self.bytes.saturating_sub(bytes);
        self.bytes -= rest;
        Self {
            pool: Arc::clone(&self.pool),
            source: self.source.clone(),
            bytes: rest,
        }
    }

    /// Returns a body that keeps this reservation until its last clone is dropped.
    pub fn attach<B>(self, body: B) -> Bytes
    where
        B: AsRef<[u8]> + Send + 'static,
    {
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.pool.shares().release(&self.source, self.bytes);
        }
    }
}

/// Buffered body with its reservation.
struct ReservedBody<B> {
    body: B,
    _reservation: Reservation,
}

impl<B> AsRef<[u8]> for ReservedBody<B>
where
    B: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.body.as_ref()
    }
}
