//! Registry of endpoints, grouped into pools, with the requests that wait for a pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use papayatray_core::admission::Admission;
use papayatray_core::admission::AdmissionRequest;
use papayatray_core::admission::QueueOutcome;
use papayatray_core::catalogue::Class;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Offer;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VersionId;
use papayatray_core::pool::EndpointCriteria;
use papayatray_core::pool::Member;
use papayatray_core::pool::Pool;
use smol::channel;

/// Version or service that a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolTarget {
    /// A version of a model.
    Version(VersionId),
    /// A service without models.
    Service(ServiceId),
}

/// Pool, and the channels of the requests that wait in its queue, by ticket.
#[derive(Debug, Default)]
struct PoolState {
    pool: Pool,
    waiting_requests: BTreeMap<u64, channel::Sender<QueueOutcome>>,
    next_ticket: u64,
}

/// Pool with its own lock, shared by the requests that use it.
#[derive(Debug)]
pub struct SharedPool {
    state: Mutex<PoolState>,
    clock: Arc<dyn Clock>,
}

/// Request for a permit to run on a pool.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// Class of the organisation.
    pub class: Class,
    /// Whether the job is long, so that it may wait behind short ones.
    pub is_long: bool,
    /// Time by which the request must begin.
    pub deadline: Millis,
}

/// Permission to run one request on a pool; dropping it frees the slot for a waiting request.
#[derive(Debug)]
pub struct Permit {
    shared_pool: Arc<SharedPool>,
    class: Class,
    acquired_at: Millis,
}

impl SharedPool {
    fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `change` with the locked pool.
    pub fn with<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Pool) -> T,
    {
        change(&mut self.state().pool)
    }

    /// Returns a permit if one is free, without waiting.
    pub fn try_acquire(self: &Arc<Self>, request: PermitRequest) -> Option<Permit> {
        let now = self.clock.now();
        let mut state = self.state();
        if state.pool.is_empty() || !state.pool.gate.try_run(request.class, now) {
            return None;
        }
        Some(self.permit(request.class, now))
    }

    fn permit(self: &Arc<Self>, class: Class, acquired_at: Millis) -> Permit {
        Permit {
            shared_pool: Arc::clone(self),
            class,
            acquired_at,
        }
    }

    /// Waits for a permit.
    ///
    /// # Errors
    ///
    /// If the request is shed, returns the time after which the caller may retry.
    pub async fn acquire(self: &Arc<Self>, request: PermitRequest) -> Result<Permit, Millis> {
        match self.admit(request) {
            AdmissionOutcome::Run(permit) => Ok(permit),
            AdmissionOutcome::Shed(delay) => Err(delay),
            AdmissionOutcome::Wait(waiting) => waiting.wait().await,
        }
    }

    fn admit(self: &Arc<Self>, request: PermitRequest) -> AdmissionOutcome {
        let now = self.clock.now();
        let mut state = self.state();
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let PermitRequest {
            class,
            is_long,
            deadline,
        } = request;
        match state.pool.gate.offer(
            AdmissionRequest {
                ticket,
                class,
                is_long,
                deadline,
            },
            now,
        ) {
            Admission::Run => AdmissionOutcome::Run(self.permit(class, now)),
            Admission::Shed(delay) => AdmissionOutcome::Shed(delay),
            Admission::Wait => {
                let (sender, outcome) = channel::bounded(1);
                state.waiting_requests.insert(ticket, sender);
                AdmissionOutcome::Wait(WaitingRequest {
                    shared_pool: Arc::clone(self),
                    ticket,
                    class,
                    outcome,
                })
            }
        }
    }

    /// Admits or sheds waiting requests as permits become free and deadlines pass.
    pub fn dispatch_waiting(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        while let Some(outcome) = state.pool.gate.next(now) {
            let ticket = match outcome {
                QueueOutcome::Run(ticket) | QueueOutcome::Shed(ticket, _) => ticket,
            };
            if let Some(waiting) = state.waiting_requests.remove(&ticket) {
                let _ = waiting.try_send(outcome);
            }
        }
    }

    /// Picks the best endpoint, counts a request on it and records the prefix as cached there.
    pub fn pick(&self, criteria: &EndpointCriteria<'_>) -> Option<Member> {
        let now = self.clock.now();
        let mut state = self.state();
        let member = state.pool.pick(criteria, now)?.clone();
        state.pool.begin(&member.id);
        if let Some(prefix) = criteria.prefix {
            state.pool.record_prefix(prefix, &member.id, now);
        }
        Some(member)
    }
}

/// Outcome of a request for a permit.
#[derive(Debug)]
enum AdmissionOutcome {
    Run(Permit),
    Wait(WaitingRequest),
    Shed(Millis),
}

/// Request in a pool's queue; dropping it removes the request from the queue.
#[derive(Debug)]
struct WaitingRequest {
    shared_pool: Arc<SharedPool>,
    ticket: u64,
    class: Class,
    outcome: channel::Receiver<QueueOutcome>,
}

impl WaitingRequest {
    async fn wait(self) -> Result<Permit, Millis> {
        match self.outcome.recv().await {
            Ok(QueueOutcome::Run(_)) => Ok(self
                .shared_pool
                .permit(self.class, self.shared_pool.clock.now())),
            Ok(QueueOutcome::Shed(_, delay)) => Err(delay),
            Err(_closed) => Err(self.shared_pool.with(|pool| pool.gate.retry_after())),
        }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut state = self.shared_pool.state();
        state.waiting_requests.remove(&self.ticket);
        let was_waiting = state.pool.gate.cancel(self.ticket);
        drop(state);
        // A permit that was granted but not received must be returned.
        if !was_waiting && matches!(self.outcome.try_recv(), Ok(QueueOutcome::Run(_))) {
            self.shared_pool
                .with(|pool| pool.gate.finish(self.class, None));
            self.shared_pool.dispatch_waiting();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_time = self.shared_pool.clock.now().since(self.acquired_at);
        self.shared_pool
            .with(|pool| pool.gate.finish(self.class, Some(service_time)));
        self.shared_pool.dispatch_waiting();
    }
}

/// Endpoints by id, and pools by what they serve.
#[derive(Debug)]
pub struct EndpointRegistry {
    directory: Mutex<Directory>,
    pools: RwLock<BTreeMap<PoolTarget, Arc<SharedPool>>>,
    entry_count: AtomicUsize,
    clock: Arc<dyn Clock>,
}

impl EndpointRegistry {
    /// Creates a registry without endpoints.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            directory: Mutex::default(),
            pools: RwLock::default(),
            entry_count: AtomicUsize::new(1),
            clock,
        }
    }

    fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pool of `target`, if any endpoint has ever served it.
    pub fn pool(&self, target: &PoolTarget) -> Option<Arc<SharedPool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(target).cloned()
    }

    /// Returns whether an endpoint currently serves `target`.
    pub fn is_served(&self, target: &PoolTarget) -> bool {
        self.pool(target)
            .is_some_and(|shared_pool| shared_pool.with(|pool| !pool.is_empty()))
    }

    /// Registers an endpoint or updates it; returns whether that changed anything.
    pub fn register(&self, endpoint: &Endpoint) -> bool {
        let now = self.clock.now();
        let mut directory = self.directory();
        let before = directory.get(&endpoint.id).cloned();
        if !directory.merge(endpoint, now) {
            return false;
        }
        let after = directory.get(&endpoint.id).cloned();
        self.update_pools(before.as_ref(), after.as_ref(), now);
        true
    }

    /// Deregisters an endpoint; returns the update to relay to other entries.
    pub fn deregister(&self, id: &EndpointId) -> Option<Endpoint> {
        let now = self.clock.now();
        let mut directory = self.directory();
        let before = directory.get(id).cloned();
        let after = directory.deregister(id, now)?;
        self.update_pools(before.as_ref(), Some(&after), now);
        Some(after)
    }

    /// Removes endpoints whose heartbeats are overdue; returns their ids.
    pub fn expire(&self) -> Vec<EndpointId> {
        let now = self.clock.now();
        let mut directory = self.directory();
        let expired = directory.expire(now);
        for endpoint in &expired {
            self.update_pools(Some(endpoint), None, now);
        }
        expired.into_iter().map(|endpoint| endpoint.id).collect()
    }

    /// Sets the number of entries that share the endpoints; each entry initially uses its part of
    /// their slots.
    pub fn set_entry_count(&self, entry_count: usize) {
        self.entry_count.store(entry_count, Ordering::Relaxed);
        for (_, shared_pool) in self.pools() {
            shared_pool.with(|pool| pool.set_entries(entry_count));
        }
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.directory().all().cloned().collect()
    }

    /// Returns all pools.
    pub fn pools(&self) -> Vec<(PoolTarget, Arc<SharedPool>)> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools
            .iter()
            .map(|(target, shared_pool)| (target.clone(), Arc::clone(shared_pool)))
            .collect()
    }

    /// Updates the pools after an endpoint changed from `before` to `after`.
    fn update_pools(&self, before: Option<&Endpoint>, after: Option<&Endpoint>, now: Millis) {
        let active = after.filter(|endpoint| !endpoint.leaving);
        let new_targets = active.map(targets).unwrap_or_default();
        for target in before.map(targets).unwrap_or_default() {
            if let Some(before) = before
                && !new_targets.contains(&target)
                && let Some(shared_pool) = self.pool(&target)
            {
                shared_pool.with(|pool| pool.remove(&before.id));
            }
        }
        let Some(endpoint) = active else {
            return;
        };
        for target in new_targets {
            let shared_pool = self.pool_or_insert(target);
            let entry_count = self.entry_count.load(Ordering::Relaxed);
            shared_pool.with(|pool| {
                pool.set_entries(entry_count);
                pool.put(endpoint, now);
            });
            shared_pool.dispatch_waiting();
        }
    }

    fn pool_or_insert(&self, target: PoolTarget) -> Arc<SharedPool> {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(SharedPool::new(Arc::clone(&self.clock)));
        Arc::clone(pools.entry(target).or_insert_with(create))
    }
}

fn targets(endpoint: &Endpoint) -> Vec<PoolTarget> {
    match &endpoint.offer {
        Offer::Versions(versions) => versions.iter().cloned().map(PoolTarget::Version).collect(),
        Offer::Service(service) => vec![PoolTarget::Service(service.clone())],
    }
}
