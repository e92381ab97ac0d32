//! The entry's shared state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use papayatray_core::choice::Evidence;
use papayatray_core::choice::RatingGuard;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::id::DataCentre;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Kind;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::lease::HeldLease;
use papayatray_core::retry::RetryBudget;
use papayatray_core::rollout::Tally;
use papayatray_core::router::ExposureQuotas;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::Seen;
use smol::Timer;

use super::Billing;
use super::EndpointRegistry;
use super::InFlightRequests;
use super::Leader;
use super::View;
use super::news::News;
use crate::engine::ConnectionPool;
use crate::engine::SendTracker;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::event;
use crate::peer::Peers;
use crate::settings::EntrySettings;
use crate::settings::Settings;
use crate::tasks::Tasks;

/// Rating below which an answer counts as bad.
const BAD_RATING: f64 = 0.5;
/// Time between two rounds of upkeep.
const UPKEEP_EVERY: Millis = Millis::new(50);

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Stop {
    /// The entry serves.
    None = 0,
    /// Callers are told to go elsewhere; those who come are served.
    Announced = 1,
    /// New requests are refused; those in flight go on.
    Closed = 2,
}

/// What an entry starts from.
#[derive(Debug)]
pub struct Start {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Settings of the role.
    pub own: EntrySettings,
    /// Runner of tasks.
    pub tasks: Tasks,
    /// Links to the other processes.
    pub peers: Arc<Peers>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Key of the deployment.
    pub key: ClusterKey,
}

/// Entry of the system.
#[derive(Debug)]
pub struct Entry {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Settings of the role.
    pub settings: EntrySettings,
    /// Settings of the daemon.
    pub daemon: Settings,
    /// Runner of tasks.
    pub tasks: Tasks,
    /// Links to the other processes.
    pub peers: Arc<Peers>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Key that session handles are signed with.
    pub key: ClusterKey,
    /// Way to the leader.
    pub leader: Arc<Leader>,
    /// Endpoints.
    pub registry: EndpointRegistry,
    /// Requests in flight.
    pub in_flight: Arc<InFlightRequests>,
    /// Way of bills to the ledger.
    pub billing: Arc<Billing>,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Sends on their way to endpoints.
    pub sends: SendTracker,
    pub(super) news: News,
    incarnation: Incarnation,
    view: RwLock<Arc<View>>,
    lease: Mutex<HeldLease>,
    quotas: Mutex<ExposureQuotas>,
    budget: Mutex<RetryBudget>,
    tallies: Mutex<BTreeMap<VersionId, Tally>>,
    ratings: Mutex<Evidence>,
    rating_guard: Mutex<RatingGuard>,
    suspects: RwLock<BTreeSet<Fingerprint>>,
    stop: AtomicU8,
    kicked: AtomicBool,
    numbers: AtomicU64,
}

impl Entry {
    /// Creates an entry and starts its tasks.
    pub fn start(start: Start) -> Arc<Self> {
        let file = &start.settings.file;
        let replicas = file.replicas.iter();
        let controls = replicas
            .map(|(vm, address)| (vm.clone(), address.to_string()))
            .collect();
        let leader = Arc::new(Leader::new(Arc::clone(&start.peers), controls));
        let entry = Arc::new(Self {
            vm: file.vm.clone(),
            data_centre: file.data_centre.clone(),
            settings: start.own,
            registry: EndpointRegistry::new(Arc::clone(&start.clock)),
            in_flight: Arc::default(),
            billing: Arc::default(),
            connections: ConnectionPool::default(),
            sends: SendTracker::default(),
            news: News::default(),
            incarnation: Incarnation(start.clock.wall().as_u64()),
            view: RwLock::default(),
            lease: Mutex::default(),
            quotas: Mutex::default(),
            budget: Mutex::default(),
            tallies: Mutex::default(),
            ratings: Mutex::default(),
            rating_guard: Mutex::default(),
            suspects: RwLock::default(),
            stop: AtomicU8::new(Stop::None as u8),
            kicked: AtomicBool::new(false),
            numbers: AtomicU64::new(rand::random()),
            leader,
            tasks: start.tasks,
            peers: start.peers,
            clock: start.clock,
            metrics: start.metrics,
            key: start.key,
            daemon: start.settings,
        });
        entry.tasks.spawn(Arc::clone(&entry).keep_lease());
        entry.tasks.spawn(Arc::clone(&entry).keep_portions());
        entry.tasks.spawn(Arc::clone(&entry).pass_on());
        entry.tasks.spawn(Arc::clone(&entry).keep_up());
        for lane in entry.billing.lanes(&entry.leader) {
            entry.tasks.spawn(lane);
        }
        entry
    }

    /// Lets queues move on and forgets what is gone.
    async fn keep_up(self: Arc<Self>) {
        loop {
            Timer::after(UPKEEP_EVERY.to_duration()).await;
            let now = self.clock.now();
            for id in self.registry.expire() {
                event(Level::Warn, "endpoint_expired", &[("endpoint", &id)]);
            }
            self.registry.set_entries(self.view().entries.len());
            for (_, slot) in self.registry.pools() {
                slot.with(|pool| pool.adapt(now));
                slot.pump();
            }
            self.metrics
                .gauge("entry.in_flight", self.in_flight.count());
        }
    }
}

/// # State
impl Entry {
    /// Returns the state that the entry works by.
    pub fn view(&self) -> Arc<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&view)
    }

    pub(super) fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Asks for everything anew with the next renewal; the configuration itself stays.
    pub(super) fn forget_seen(&self) {
        let mut view = View::clone(&self.view());
        view.seen = Seen {
            revision: view.seen.revision,
            ..Seen::default()
        };
        self.set_view(view);
    }

    /// Returns the lease.
    pub fn lease(&self) -> MutexGuard<'_, HeldLease> {
        lock(&self.lease)
    }

    /// Tells whether new work may start.
    pub fn has_lease(&self) -> bool {
        self.lease().is_held(self.clock.now())
    }

    /// Returns the exposures at hand.
    pub fn quotas(&self) -> MutexGuard<'_, ExposureQuotas> {
        lock(&self.quotas)
    }

    /// Returns the budget of retries.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Returns what each version did at this entry.
    pub fn tallies(&self) -> MutexGuard<'_, BTreeMap<VersionId, Tally>> {
        lock(&self.tallies)
    }

    /// Returns the ratings that came to this entry.
    pub fn ratings(&self) -> MutexGuard<'_, Evidence> {
        lock(&self.ratings)
    }

    /// Takes in a rating; one from a service that rates everything alike counts for nothing.
    pub fn rate(&self, version: &VersionId, kind: &Kind, rating: f64) {
        let mut guard = lock(&self.rating_guard);
        let was_flat = guard.is_flat();
        let counted = guard.add(version, kind, rating);
        if guard.is_flat() != was_flat {
            event(Level::Warn, "ratings_flat", &[("flat", &guard.is_flat())]);
        }
        drop(guard);
        let Some((version, kind, rating)) = counted else {
            return;
        };
        self.ratings().add(&version, &kind, rating);
        self.tally(&version, rating >= BAD_RATING);
    }

    /// Counts a request that a version answered well or badly.
    pub fn tally(&self, version: &VersionId, is_good: bool) {
        let mut tallies = self.tallies();
        let tally = tallies.entry(version.clone()).or_default();
        if is_good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Tells whether a request is under suspicion.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let own = self.suspects.read().unwrap_or_else(PoisonError::into_inner);
        own.contains(&fingerprint) || self.view().suspects.contains(&fingerprint)
    }

    pub(super) fn add_suspects(&self, suspects: &BTreeSet<Fingerprint>) {
        if suspects.is_empty() {
            return;
        }
        let mut own = self
            .suspects
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        own.extend(suspects);
    }

    /// Drops a suspicion that was found to be false.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let mut own = self
            .suspects
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        own.remove(&fingerprint);
    }

    /// Returns a number that this entry has not used before.
    pub fn next_id(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

/// # Stopping
impl Entry {
    /// Returns what the others are told of this entry.
    pub fn info(&self) -> EntryInfo {
        EntryInfo {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            caller_address: self.settings.caller_address.to_string(),
            peer_address: self.daemon.file.peer_address.to_string(),
            draining: self.stop() != Stop::None,
        }
    }

    /// Returns the stage of a planned stop.
    pub fn stop(&self) -> Stop {
        match self.stop.load(Ordering::Relaxed) {
            0 => Stop::None,
            1 => Stop::Announced,
            _ => Stop::Closed,
        }
    }

    /// Goes on to the next stage of a planned stop.
    pub fn set_stop(&self, stop: Stop) {
        self.stop.fetch_max(stop as u8, Ordering::Relaxed);
    }

    /// Asks the daemon to stop in a planned way, as a signal would.
    pub fn request_drain(&self) {
        self.kicked.store(true, Ordering::Relaxed);
    }

    /// Tells whether a planned stop was asked for.
    pub fn is_drain_requested(&self) -> bool {
        self.kicked.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
