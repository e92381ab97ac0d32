//! The entry's state, shared by its tasks.

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

use papayatray_core::choice::RatingGuard;
use papayatray_core::choice::RatingTable;
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
use papayatray_core::regression::Tally;
use papayatray_core::retry::RetryBudget;
use papayatray_core::router::ExposureQuotas;
use papayatray_core::shared_parts::SharedParts;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::EntryVersions;
use smol::Timer;

use super::Billing;
use super::EndpointRegistry;
use super::InFlightRequests;
use super::LeaderClient;
use super::View;
use super::updates::UpdateQueue;
use crate::engine::ConnectionPool;
use crate::engine::SendTracker;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::event;
use crate::peer::Peers;
use crate::settings::EntrySettings;
use crate::settings::Settings;
use crate::tasks::Tasks;

/// Lowest rating for which a response counts as good.
const MIN_GOOD_RATING: f64 = 0.5;
/// Interval at which endpoints are expired and pools are adapted.
const UPKEEP_INTERVAL: Millis = Millis::new(50);

/// Stage of an entry's graceful shutdown; the stages follow one another in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ShutdownStage {
    /// No shutdown was requested.
    Serving = 0,
    /// Callers are directed to other entries; requests that still arrive are served.
    Draining = 1,
    /// New requests are rejected; in-flight requests continue.
    Closed = 2,
}

/// Parameters of the entry role.
#[derive(Debug)]
pub struct EntryParameters {
    /// Whole settings file of the daemon.
    pub daemon_settings: Settings,
    /// Settings of the entry role.
    pub entry_settings: EntrySettings,
    /// Executor of background tasks.
    pub tasks: Tasks,
    /// Connections to the other processes of the deployment.
    pub peers: Arc<Peers>,
    /// Clock, replaceable in tests.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Key that all processes of the deployment share.
    pub key: ClusterKey,
}

/// One entry: serves callers from its view of the replicated state.
#[derive(Debug)]
pub struct Entry {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Settings of the entry role.
    pub settings: EntrySettings,
    /// Whole settings file of the daemon.
    pub daemon_settings: Settings,
    /// Executor of background tasks.
    pub tasks: Tasks,
    /// Connections to the other processes of the deployment.
    pub peers: Arc<Peers>,
    /// Clock, replaceable in tests.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Key that all processes of the deployment share; session tokens are signed with it.
    pub key: ClusterKey,
    /// Client of the leader.
    pub leader: Arc<LeaderClient>,
    /// Endpoints and their pools.
    pub registry: EndpointRegistry,
    /// In-flight requests.
    pub in_flight: Arc<InFlightRequests>,
    /// Queue of bills to commit to the ledger.
    pub billing: Arc<Billing>,
    /// Pool of connections to endpoints.
    pub connections: ConnectionPool,
    /// Sends to endpoints in progress, with the revision that each was checked against.
    pub sends: SendTracker,
    pub(super) updates: UpdateQueue,
    incarnation: Incarnation,
    view: RwLock<Arc<View>>,
    lease: Mutex<HeldLease>,
    quotas: Mutex<ExposureQuotas>,
    budget: Mutex<RetryBudget>,
    /// Counts of good and bad responses since the entry started.
    tallies: Mutex<BTreeMap<VersionId, Tally>>,
    ratings: Mutex<RatingTable>,
    /// Holds ratings back, and discards them while all are equal.
    rating_guard: Mutex<RatingGuard>,
    /// Suspects that the leader's renewal replies may not list yet.
    suspects: RwLock<BTreeSet<Fingerprint>>,
    /// Prompt parts that crash endpoints.
    shared_parts: Mutex<SharedParts>,
    shutdown_stage: AtomicU8,
    drain_requested: AtomicBool,
    id_counter: AtomicU64,
}

impl Entry {
    /// Creates an entry and starts its background tasks.
    pub fn start(parameters: EntryParameters) -> Arc<Self> {
        let file = &parameters.daemon_settings.file;
        let replicas = file.replicas.iter();
        let controls = replicas
            .map(|(vm, address)| (vm.clone(), address.to_string()))
            .collect();
        let leader = Arc::new(LeaderClient::new(Arc::clone(&parameters.peers), controls));
        let entry = Arc::new(Self {
            vm: file.vm.clone(),
            data_centre: file.data_centre.clone(),
            settings: parameters.entry_settings,
            registry: EndpointRegistry::new(Arc::clone(&parameters.clock)),
            in_flight: Arc::default(),
            billing: Arc::default(),
            connections: ConnectionPool::default(),
            sends: SendTracker::default(),
            updates: UpdateQueue::default(),
            incarnation: Incarnation(parameters.clock.wall().as_u64()),
            view: RwLock::default(),
            lease: Mutex::default(),
            quotas: Mutex::default(),
            budget: Mutex::default(),
            tallies: Mutex::default(),
            ratings: Mutex::default(),
            rating_guard: Mutex::default(),
            suspects: RwLock::default(),
            shared_parts: Mutex::default(),
            shutdown_stage: AtomicU8::new(ShutdownStage::Serving as u8),
            drain_requested: AtomicBool::new(false),
            id_counter: AtomicU64::new(rand::random()),
            leader,
            tasks: parameters.tasks,
            peers: parameters.peers,
            clock: parameters.clock,
            metrics: parameters.metrics,
            key: parameters.key,
            daemon_settings: parameters.daemon_settings,
        });
        entry.tasks.spawn(Arc::clone(&entry).maintain_lease());
        entry.tasks.spawn(Arc::clone(&entry).maintain_quotas());
        entry.tasks.spawn(Arc::clone(&entry).relay_updates());
        entry.tasks.spawn(Arc::clone(&entry).run_upkeep());
        for worker in entry.billing.workers(&entry.leader) {
            entry.tasks.spawn(worker);
        }
        entry
    }

    /// Expires endpoints, adapts pools and dispatches waiting requests, until the process ends.
    async fn run_upkeep(self: Arc<Self>) {
        loop {
            Timer::after(UPKEEP_INTERVAL.to_duration()).await;
            let now = self.clock.now();
            for id in self.registry.expire() {
                event(Level::Warn, "endpoint_expired", &[("endpoint", &id)]);
            }
            self.registry.set_entry_count(self.view().entries.len());
            for (_, shared_pool) in self.registry.pools() {
                shared_pool.with(|pool| pool.adapt(now));
                shared_pool.dispatch_waiting();
            }
            self.metrics
                .gauge("entry.in_flight", self.in_flight.count());
        }
    }
}

/// # State
impl Entry {
    /// Returns the current view of the replicated state.
    pub fn view(&self) -> Arc<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&view)
    }

    pub(super) fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Makes the next renewal request all parts again except the configuration.
    pub(super) fn request_full_state(&self) {
        let mut view = View::clone(&self.view());
        view.part_versions = EntryVersions {
            revision: view.part_versions.revision,
            ..EntryVersions::default()
        };
        self.set_view(view);
    }

    /// Returns the entry's lease, which bounds the age of its configuration.
    pub fn lease(&self) -> MutexGuard<'_, HeldLease> {
        lock(&self.lease)
    }

    /// Returns whether the lease is valid, so that new work may start.
    pub fn has_lease(&self) -> bool {
        self.lease().is_held(self.clock.now())
    }

    /// Returns the exposure quotas.
    pub fn quotas(&self) -> MutexGuard<'_, ExposureQuotas> {
        lock(&self.quotas)
    }

    /// Returns the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Returns the counts of good and bad responses by version at this entry.
    pub fn tallies(&self) -> MutexGuard<'_, BTreeMap<VersionId, Tally>> {
        lock(&self.tallies)
    }

    /// Returns the ratings received by this entry.
    pub fn ratings(&self) -> MutexGuard<'_, RatingTable> {
        lock(&self.ratings)
    }

    /// Records a rating; ratings are discarded while the rating service gives the same one to all
    /// responses.
    pub fn record_rating(&self, version: &VersionId, kind: &Kind, rating: f64) {
        let mut guard = lock(&self.rating_guard);
        let was_constant = guard.is_constant();
        // The rating that the guard releases is an earlier one, or none.
        let released_rating = guard.add(version, kind, rating);
        if guard.is_constant() != was_constant {
            event(
                Level::Warn,
                "ratings_flat",
                &[("flat", &guard.is_constant())],
            );
        }
        drop(guard);
        let Some((version, kind, rating)) = released_rating else {
            return;
        };
        self.ratings().add(&version, &kind, rating);
        self.count_response(&version, rating >= MIN_GOOD_RATING);
    }

    /// Counts a good or bad response of a version.
    pub fn count_response(&self, version: &VersionId, is_good: bool) {
        let mut tallies = self.tallies();
        let tally = tallies.entry(version.clone()).or_default();
        if is_good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Returns whether a request is a suspect, according to this entry or to the leader.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let local_suspects = self.suspects.read().unwrap_or_else(PoisonError::into_inner);
        local_suspects.contains(&fingerprint) || self.view().suspects.contains(&fingerprint)
    }

    /// Returns the evidence on prompt parts that crash endpoints.
    pub fn shared_parts(&self) -> MutexGuard<'_, SharedParts> {
        lock(&self.shared_parts)
    }

    /// Records suspects before the leader's next renewal reply lists them.
    pub(super) fn add_suspects(&self, suspects: &BTreeSet<Fingerprint>) {
        if suspects.is_empty() {
            return;
        }
        let mut local_suspects = self
            .suspects
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        local_suspects.extend(suspects);
    }

    /// Removes a cleared request from the suspects that this entry recorded itself.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let mut local_suspects = self
            .suspects
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        local_suspects.remove(&fingerprint);
    }

    /// Returns a number that this entry has not used before, for request ids, attempts and nonces.
    pub fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }
}

/// # Graceful shutdown
impl Entry {
    /// Returns the description of this entry that other processes receive.
    pub fn info(&self) -> EntryInfo {
        EntryInfo {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            caller_address: self.settings.caller_address.to_string(),
            peer_address: self.daemon_settings.file.peer_address.to_string(),
            draining: self.shutdown_stage() != ShutdownStage::Serving,
            is_cut_off: false,
            size: 0,
        }
    }

    /// Returns the stage of the graceful shutdown.
    pub fn shutdown_stage(&self) -> ShutdownStage {
        match self.shutdown_stage.load(Ordering::Relaxed) {
            0 => ShutdownStage::Serving,
            1 => ShutdownStage::Draining,
            _ => ShutdownStage::Closed,
        }
    }

    /// Advances the graceful shutdown to `stage`; an earlier stage than the current one is ignored.
    pub fn set_shutdown_stage(&self, stage: ShutdownStage) {
        self.shutdown_stage
            .fetch_max(stage as u8, Ordering::Relaxed);
    }

    /// Requests a graceful shutdown of the daemon, as a signal would.
    pub fn request_drain(&self) {
        self.drain_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether a graceful shutdown was requested.
    pub fn is_drain_requested(&self) -> bool {
        self.drain_requested.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
