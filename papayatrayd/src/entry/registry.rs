//! Endpoints that the entry knows, in pools, with the requests that wait for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use papayatray_core::admission::Admission;
use papayatray_core::admission::Turn;
use papayatray_core::admission::Wish;
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

/// What a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A version of a model.
    Version(VersionId),
    /// A plain service.
    Service(ServiceId),
}

/// Pool with those who wait for it.
#[derive(Debug, Default)]
struct State {
    pool: Pool,
    waiting: BTreeMap<u64, channel::Sender<Turn>>,
    next_ticket: u64,
}

/// Pool under its own lock.
#[derive(Debug)]
pub struct SharedPool {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

/// Wish to run on a pool.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// Class of the organisation.
    pub class: Class,
    /// Whether the job is long.
    pub long: bool,
    /// Moment by which the request must begin.
    pub deadline: Millis,
}

/// Leave to run on a pool, until dropped.
#[derive(Debug)]
pub struct Permit {
    slot: Arc<SharedPool>,
    class: Class,
    since: Millis,
}

impl SharedPool {
    fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the pool.
    pub fn with<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Pool) -> T,
    {
        change(&mut self.state().pool)
    }

    /// Returns a permit if one is free at once.
    pub fn try_acquire(self: &Arc<Self>, wish: Use) -> Option<Permit> {
        let now = self.clock.now();
        let mut state = self.state();
        if state.pool.is_empty() || !state.pool.gate.try_run(wish.class, now) {
            return None;
        }
        Some(self.permit(wish.class, now))
    }

    fn permit(self: &Arc<Self>, class: Class, since: Millis) -> Permit {
        Permit {
            slot: Arc::clone(self),
            class,
            since,
        }
    }

    /// Waits for a permit.
    ///
    /// # Errors
    ///
    /// Returns after what time the caller may come back, where the request is shed.
    pub async fn enter(self: &Arc<Self>, wish: Use) -> Result<Permit, Millis> {
        match self.offer(wish) {
            Offered::Run(permit) => Ok(permit),
            Offered::Shed(retry) => Err(retry),
            Offered::Wait(waiting) => waiting.wait().await,
        }
    }

    fn offer(self: &Arc<Self>, wish: Use) -> Offered {
        let now = self.clock.now();
        let mut state = self.state();
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let Use {
            class,
            long,
            deadline,
        } = wish;
        match state.pool.gate.offer(
            Wish {
                ticket,
                class,
                long,
                deadline,
            },
            now,
        ) {
            Admission::Run => Offered::Run(self.permit(class, now)),
            Admission::Shed(retry) => Offered::Shed(retry),
            Admission::Wait => {
                let (sender, turn) = channel::bounded(1);
                state.waiting.insert(ticket, sender);
                Offered::Wait(Waiting {
                    slot: Arc::clone(self),
                    ticket,
                    class,
                    turn,
                })
            }
        }
    }

    /// Lets waiting requests run or tells them that they are shed.
    pub fn pump(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        while let Some(turn) = state.pool.gate.next(now) {
            let ticket = match turn {
                Turn::Run(ticket) | Turn::Shed(ticket, _) => ticket,
            };
            if let Some(waiting) = state.waiting.remove(&ticket) {
                let _ = waiting.try_send(turn);
            }
        }
    }

    /// Returns the endpoint that suits best, and counts a request on it.
    pub fn pick(&self, need: &EndpointCriteria<'_>) -> Option<Member> {
        let now = self.clock.now();
        let mut state = self.state();
        let member = state.pool.pick(need, now)?.clone();
        state.pool.begin(&member.id);
        if let Some(prefix) = need.prefix {
            state.pool.record_prefix(prefix, &member.id, now);
        }
        Some(member)
    }
}

/// What became of a wish to run.
#[derive(Debug)]
enum Offered {
    Run(Permit),
    Wait(Waiting),
    Shed(Millis),
}

/// Request that waits for a permit, until dropped.
#[derive(Debug)]
struct Waiting {
    slot: Arc<SharedPool>,
    ticket: u64,
    class: Class,
    turn: channel::Receiver<Turn>,
}

impl Waiting {
    async fn wait(self) -> Result<Permit, Millis> {
        match self.turn.recv().await {
            Ok(Turn::Run(_)) => Ok(self.slot.permit(self.class, self.slot.clock.now())),
            Ok(Turn::Shed(_, retry)) => Err(retry),
            Err(_closed) => Err(self.slot.with(|pool| pool.gate.retry_after())),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.slot.state();
        state.waiting.remove(&self.ticket);
        let was_waiting = state.pool.gate.cancel(self.ticket);
        drop(state);
        // A turn that came but was never taken must be given back.
        if !was_waiting && matches!(self.turn.try_recv(), Ok(Turn::Run(_))) {
            self.slot.with(|pool| pool.gate.finish(self.class, None));
            self.slot.pump();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service = self.slot.clock.now().since(self.since);
        self.slot
            .with(|pool| pool.gate.finish(self.class, Some(service)));
        self.slot.pump();
    }
}

/// Endpoints by name and by what they serve.
#[derive(Debug)]
pub struct EndpointRegistry {
    directory: Mutex<Directory>,
    pools: RwLock<BTreeMap<Target, Arc<SharedPool>>>,
    entries: AtomicUsize,
    clock: Arc<dyn Clock>,
}

impl EndpointRegistry {
    /// Creates a roster without endpoints.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            directory: Mutex::default(),
            pools: RwLock::default(),
            entries: AtomicUsize::new(1),
            clock,
        }
    }

    fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pool of `target`, if any endpoint has ever served it.
    pub fn pool(&self, target: &Target) -> Option<Arc<SharedPool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(target).cloned()
    }

    /// Tells whether an endpoint serves `target` at this moment.
    pub fn is_served(&self, target: &Target) -> bool {
        self.pool(target)
            .is_some_and(|slot| slot.with(|pool| !pool.is_empty()))
    }

    /// Takes in an announcement; tells whether it was news.
    pub fn announce(&self, endpoint: &Endpoint) -> bool {
        let now = self.clock.now();
        let mut directory = self.directory();
        let before = directory.get(&endpoint.id).cloned();
        if !directory.merge(endpoint, now) {
            return false;
        }
        let after = directory.get(&endpoint.id).cloned();
        self.place(before.as_ref(), after.as_ref(), now);
        true
    }

    /// Takes in a good-bye; returns what to pass on.
    pub fn leave(&self, id: &EndpointId) -> Option<Endpoint> {
        let now = self.clock.now();
        let mut directory = self.directory();
        let before = directory.get(id).cloned();
        let after = directory.leave(id, now)?;
        self.place(before.as_ref(), Some(&after), now);
        Some(after)
    }

    /// Drops endpoints that have not been heard of in time; returns their names.
    pub fn expire(&self) -> Vec<EndpointId> {
        let now = self.clock.now();
        let mut directory = self.directory();
        let gone = directory.expire(now);
        for endpoint in &gone {
            self.place(Some(endpoint), None, now);
        }
        gone.into_iter().map(|endpoint| endpoint.id).collect()
    }

    /// Tells among how many entries the endpoints are shared.
    pub fn set_entries(&self, entries: usize) {
        self.entries.store(entries, Ordering::Relaxed);
        for (_, slot) in self.pools() {
            slot.with(|pool| pool.set_entries(entries));
        }
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.directory().all().cloned().collect()
    }

    /// Returns all pools.
    pub fn pools(&self) -> Vec<(Target, Arc<SharedPool>)> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools
            .iter()
            .map(|(target, slot)| (target.clone(), Arc::clone(slot)))
            .collect()
    }

    /// Moves an endpoint between pools.
    fn place(&self, before: Option<&Endpoint>, after: Option<&Endpoint>, now: Millis) {
        let open = after.filter(|endpoint| !endpoint.leaving);
        let wanted = open.map(targets).unwrap_or_default();
        for target in before.map(targets).unwrap_or_default() {
            if let Some(before) = before
                && !wanted.contains(&target)
                && let Some(slot) = self.pool(&target)
            {
                slot.with(|pool| pool.take(&before.id));
            }
        }
        let Some(endpoint) = open else {
            return;
        };
        for target in wanted {
            let slot = self.slot(target);
            let entries = self.entries.load(Ordering::Relaxed);
            slot.with(|pool| {
                pool.set_entries(entries);
                pool.put(endpoint, now);
            });
            slot.pump();
        }
    }

    fn slot(&self, target: Target) -> Arc<SharedPool> {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Arc::new(SharedPool::new(Arc::clone(&self.clock)));
        Arc::clone(pools.entry(target).or_insert_with(fresh))
    }
}

fn targets(endpoint: &Endpoint) -> Vec<Target> {
    match &endpoint.offer {
        Offer::Versions(versions) => versions.iter().cloned().map(Target::Version).collect(),
        Offer::Service(service) => vec![Target::Service(service.clone())],
    }
}
