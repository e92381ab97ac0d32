//! State of a control replica: the applied state of the log, and soft state of endpoints and
//! entries that is not replicated through the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::updates::UpdateRelay;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::regression::Tally;
use papayatray_state::node::Node;
use papayatray_state::storage::FolderDisk;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::EndpointLoad;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::ReleaseTally;
use papayatray_wire::peer::SYNC_POLL_TIMEOUT;
use papayatray_wire::peer::SpreadRequest;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future::FutureExt;

use crate::control::TurnObserver;
use crate::observe::Level;
use crate::observe::event;

/// Time without a sync request after which an entry is removed from the list.
const ENTRY_TTL: Millis = Millis::new(1_500);
/// Time after a heartbeat during which replies report the endpoint as renewed; longer than
/// [`SYNC_POLL_TIMEOUT`], so that each entry gets a reply within it.
const RENEWED_WINDOW: Millis = Millis::new(800);
/// Deregistrations retained for entries that sync late.
const MAX_DEREGISTRATIONS: usize = 1_024;
/// Cached-prefix updates retained for entries that sync late; covers some seconds of all entries'
/// requests.
const MAX_PREFIX_UPDATES: usize = 1_024;

/// State applied from the log.
#[derive(Clone, Debug, Default)]
struct Applied {
    plan_version: PlanVersion,
    plan: Option<Arc<Plan>>,
    rollouts: Arc<RolloutTable>,
    controls: Vec<String>,
    /// End of the leader lease, while this replica is the leader.
    lease_end: Option<Millis>,
}

/// Last sync request of an entry.
#[derive(Debug)]
struct EntryRecord {
    info: EntryInfo,
    last_sync: Millis,
    loads: Vec<EndpointLoad>,
    tallies: Vec<ReleaseTally>,
}

/// Good and bad responses of one release, by the entry that counted them and its incarnation.
pub(super) type EntryTallies = BTreeMap<(VmId, Incarnation), Tally>;

#[derive(Debug)]
struct Inner {
    applied: Applied,
    directory: Directory,
    /// Number of the last change of each endpoint; deregistrations share the numbering.
    change_numbers: BTreeMap<EndpointId, u64>,
    deregistrations: VecDeque<(u64, Deregistration)>,
    /// Number of the last change or deregistration.
    last_number: u64,
    entries: BTreeMap<VmId, EntryRecord>,
    entries_version: u64,
    crashes: CrashTable,
    cached_prefixes: UpdateRelay<CachedPrefix>,
}

/// State of a control replica, shared by its listeners and background tasks.
#[derive(Debug)]
pub struct ControlState {
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
    inner: Mutex<Inner>,
    /// Notified when waiting sync requests have to be checked for updates.
    updated: Event,
}

impl ControlState {
    /// Creates the state of a replica that has applied nothing and knows no endpoints or entries.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let wall = clock.wall().as_u64();
        let inner = Inner {
            applied: Applied::default(),
            directory: Directory::default(),
            change_numbers: BTreeMap::new(),
            deregistrations: VecDeque::new(),
            last_number: 0,
            entries: BTreeMap::new(),
            // Starts at the wall clock, so that a restarted replica uses no version that an entry
            // has already received.
            entries_version: wall,
            crashes: CrashTable::default(),
            cached_prefixes: UpdateRelay::new(MAX_PREFIX_UPDATES),
        };
        Self {
            incarnation: Incarnation(wall),
            inner: Mutex::new(inner),
            updated: Event::new(),
            clock,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// # Applied state
impl ControlState {
    /// Returns the version of the last applied plan.
    pub fn version(&self) -> PlanVersion {
        self.inner().applied.plan_version
    }

    /// Returns the applied roll-outs.
    pub(super) fn rollouts(&self) -> Arc<RolloutTable> {
        Arc::clone(&self.inner().applied.rollouts)
    }

    /// Returns whether this replica is the leader and holds the leader lease.
    pub fn has_leader_lease(&self) -> bool {
        let now = self.clock.now();
        self.inner().applied.has_leader_lease(now)
    }

    /// Returns the number of endpoints that accept requests, and of entries that sync.
    pub(super) fn counts(&self) -> (usize, usize) {
        let inner = self.inner();
        let endpoints = inner.directory.accepting().count();
        (endpoints, inner.entries.len())
    }

    /// Returns the addresses of the control replicas.
    pub(super) fn controls(&self) -> Vec<String> {
        self.inner().applied.controls.clone()
    }
}

impl Applied {
    fn has_leader_lease(&self, now: Millis) -> bool {
        self.lease_end.is_some_and(|lease_end| now < lease_end)
    }
}

/// Copies the state that the control thread has applied from the log into a [`ControlState`].
#[derive(Debug)]
pub(super) struct ControlStateObserver {
    pub(super) state: Arc<ControlState>,
}

impl TurnObserver for ControlStateObserver {
    fn on_turn(&mut self, node: &Node<FolderDisk>, now: Millis) {
        let machine = node.machine();
        let mut inner = self.state.inner();
        let applied = &mut inner.applied;
        applied.lease_end = node.replica().current_until(now);
        let mut is_changed = false;
        let publication = machine.publication();
        let version = publication
            .map(|publication| publication.plan.version)
            .unwrap_or_default();
        if version > applied.plan_version || (applied.plan.is_none() && publication.is_some()) {
            applied.plan_version = version;
            applied.plan = publication.map(|publication| Arc::new(publication.plan.clone()));
            is_changed = true;
        }
        if machine.rollouts().changes() > applied.rollouts.changes() {
            applied.rollouts = Arc::new(machine.rollouts().clone());
            is_changed = true;
        }
        let members = node.replica().members();
        let has_same_members = applied.controls.len() == members.iter().count()
            && members
                .iter()
                .zip(&applied.controls)
                .all(|((_, member), address)| member.address == *address);
        if !has_same_members {
            applied.controls = members.iter().map(|(_, m)| m.address.clone()).collect();
            is_changed = true;
        }
        drop(inner);
        if is_changed {
            self.state.updated.notify(usize::MAX);
        }
    }
}

/// # Endpoints
impl ControlState {
    /// Applies an endpoint's announcement; returns whether entries must receive it at once.
    pub fn announce(&self, endpoint: &Endpoint) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner();
        let before = inner.directory.get(&endpoint.id).cloned();
        if !inner.directory.merge(endpoint, now) {
            return false;
        }
        let evicted = inner.directory.evict_address(endpoint);
        let after = inner.directory.get(&endpoint.id).cloned();
        let has_changed =
            before.map(without_volatile_fields) != after.clone().map(without_volatile_fields);
        if has_changed {
            inner.record_change(&endpoint.id);
        }
        for id in &evicted {
            inner.record_change(id);
        }
        drop(inner);
        if let Some(after) = after.filter(|_| has_changed) {
            event(
                Level::Info,
                "endpoint_seen",
                &[
                    ("endpoint", &after.id),
                    ("address", &after.address),
                    ("release", &after.release),
                    ("leaving", &after.leaving),
                    ("sequence", &after.sequence),
                ],
            );
            self.updated.notify(usize::MAX);
        }
        has_changed
    }

    /// Records the deregistration of an endpoint.
    ///
    /// One of an unknown endpoint is recorded too: an entry may know the endpoint from another
    /// replica.
    pub fn deregister(&self, deregistration: &Deregistration) {
        let mut inner = self.inner();
        let is_known = inner
            .directory
            .deregister_incarnation(&deregistration.id, deregistration.incarnation);
        if is_known {
            inner.record_change(&deregistration.id);
        }
        inner.record_deregistration(deregistration);
        drop(inner);
        event(
            Level::Info,
            "endpoint_left",
            &[("endpoint", &deregistration.id), ("known", &is_known)],
        );
        self.updated.notify(usize::MAX);
    }

    /// Applies the changes that another control replica received.
    pub(super) fn apply_spread(&self, spread: &SpreadRequest) {
        for endpoint in &spread.changed {
            self.announce(endpoint);
        }
        for deregistration in &spread.deregistered {
            self.deregister(deregistration);
        }
    }

    /// Returns an endpoint, if this replica knows it.
    pub fn endpoint(&self, id: &EndpointId) -> Option<Endpoint> {
        self.inner().directory.get(id).cloned()
    }

    /// Returns how many endpoints of a service accept requests: those that run `release`, and all
    /// others.
    pub(super) fn accepting_counts(&self, service: &ServiceId, release: &str) -> (usize, usize) {
        let inner = self.inner();
        let accepting = inner.directory.accepting().filter(|e| e.runs(service));
        let (target, others): (Vec<_>, Vec<_>) = accepting.partition(|e| e.release == release);
        (target.len(), others.len())
    }
}

/// Returns the endpoint without the fields that change with every heartbeat.
///
/// `warm_up_left` counts down, so it is reduced to whether it is zero. A difference in any other
/// field is sent to entries at once.
fn without_volatile_fields(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        sequence: 0,
        warm_up_left: if endpoint.warm_up_left > Millis::ZERO {
            Millis::new(1)
        } else {
            Millis::ZERO
        },
        ..endpoint
    }
}

impl Inner {
    fn record_change(&mut self, id: &EndpointId) {
        self.last_number += 1;
        self.change_numbers.insert(id.clone(), self.last_number);
    }

    fn record_deregistration(&mut self, deregistration: &Deregistration) {
        self.last_number += 1;
        self.deregistrations
            .push_back((self.last_number, deregistration.clone()));
        if self.deregistrations.len() > MAX_DEREGISTRATIONS {
            self.deregistrations.pop_front();
        }
    }

    /// Marks endpoints that entries report as leaving; returns whether one accepted requests until
    /// now.
    ///
    /// Unknown endpoints are ignored: each entry reports to every replica that it syncs with.
    fn apply_departures(&mut self, departures: &[Deregistration]) -> bool {
        let mut has_changed = false;
        for departure in departures {
            let was_accepting = self
                .directory
                .deregister_incarnation(&departure.id, departure.incarnation);
            if was_accepting {
                event(
                    Level::Info,
                    "endpoint_left",
                    &[("endpoint", &departure.id), ("reported_by", &"entry")],
                );
                self.record_deregistration(departure);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the changes and deregistrations with numbers above `last_seen`, and the endpoints
    /// renewed by a recent heartbeat.
    fn updates_after(
        &self,
        last_seen: u64,
        incarnation: Incarnation,
        now: Millis,
    ) -> EndpointUpdates {
        let changed = self
            .change_numbers
            .iter()
            .filter(|(_, number)| **number > last_seen);
        let changed = changed.filter_map(|(id, _)| self.directory.get(id));
        let deregistered = self.deregistrations.iter().filter(|(n, _)| *n > last_seen);
        let is_renewed = |endpoint: &&Endpoint| {
            let last_heard = self.directory.last_heard(&endpoint.id);
            last_heard.is_some_and(|time| now.since(time) < RENEWED_WINDOW)
        };
        let renewed = self.directory.accepting().filter(is_renewed);
        EndpointUpdates {
            cursor: Cursor {
                incarnation,
                number: self.last_number,
            },
            changed: changed.cloned().collect(),
            deregistered: deregistered
                .map(|(_, deregistration)| deregistration.clone())
                .collect(),
            renewed: renewed.map(|endpoint| endpoint.id.clone()).collect(),
        }
    }
}

/// # Entries
impl ControlState {
    /// Returns what changed since the entry's last sync.
    ///
    /// This is a long poll: while nothing changes, the reply is delayed by up to
    /// [`SYNC_POLL_TIMEOUT`].
    pub async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.record_entry(&request);
        let poll_end = self.clock.now() + SYNC_POLL_TIMEOUT;
        loop {
            let listener = self.updated.listen();
            let now = self.clock.now();
            if now >= poll_end || self.has_updates(&request) {
                return self.reply(&request, now);
            }
            let timeout = async {
                Timer::after(poll_end.since(now).to_duration()).await;
            };
            listener.or(timeout).await;
        }
    }

    /// Stores an entry's sync request, unless a later incarnation of the entry has synced already.
    fn record_entry(&self, request: &SyncRequest) {
        let now = self.clock.now();
        let mut inner = self.inner();
        // Departures concern endpoints, so they count whichever incarnation of the entry reports.
        let has_departures = inner.apply_departures(&request.departures.updates);
        let previous = inner.entries.get(&request.info.vm);
        let is_outdated =
            previous.is_some_and(|record| record.info.incarnation > request.info.incarnation);
        if is_outdated {
            return;
        }
        let is_listed_anew = previous.is_none_or(|record| record.info != request.info);
        let record = EntryRecord {
            info: request.info.clone(),
            last_sync: now,
            loads: request.loads.clone(),
            tallies: request.tallies.clone(),
        };
        let (vm, incarnation) = (&request.info.vm, request.info.incarnation);
        inner
            .cached_prefixes
            .receive(vm, incarnation, &request.cached_prefixes);
        inner.entries.insert(request.info.vm.clone(), record);
        if !request.suspects.is_empty() {
            inner.crashes.merge(&request.suspects, now);
        }
        if is_listed_anew {
            inner.entries_version += 1;
        }
        drop(inner);
        if is_listed_anew || has_departures {
            self.updated.notify(usize::MAX);
        }
    }

    fn has_updates(&self, request: &SyncRequest) -> bool {
        let inner = self.inner();
        let versions = &request.versions;
        let cursor = Cursor {
            incarnation: self.incarnation,
            number: inner.last_number,
        };
        inner.applied.plan_version > versions.plan
            || inner.applied.rollouts.changes() > versions.rollouts
            || cursor != versions.endpoints
            || inner.entries_version != versions.entries
    }

    fn reply(&self, request: &SyncRequest, now: Millis) -> SyncReply {
        let inner = self.inner();
        let versions = &request.versions;
        let applied = &inner.applied;
        let is_current = applied.has_leader_lease(now);
        let is_same_incarnation = versions.endpoints.incarnation == self.incarnation;
        // Another incarnation's numbers do not apply to this one, which then sends all updates.
        let (last_seen, prefixes_received) = if is_same_incarnation {
            (versions.endpoints.number, versions.cached_prefixes)
        } else {
            (0, 0)
        };
        let plan = applied
            .plan
            .clone()
            .filter(|_| applied.plan_version > versions.plan);
        let rollouts = Arc::clone(&applied.rollouts);
        let has_rollouts = rollouts.changes() > versions.rollouts;
        let entries = (inner.entries_version != versions.entries).then(|| inner.entry_list());
        let loads = is_current.then(|| inner.loads_excluding(&request.info.vm));
        let reply = SyncReply {
            is_current,
            version: applied.plan_version,
            plan: None,
            endpoints: inner.updates_after(last_seen, self.incarnation, now),
            entries_version: inner.entries_version,
            entries,
            rollouts: None,
            wall: self.clock.wall(),
            controls: applied.controls.clone(),
            loads,
            suspects: inner.crashes.suspects(),
            cached_prefixes: is_current.then(|| {
                inner
                    .cached_prefixes
                    .updates_for(&request.info.vm, prefixes_received)
            }),
        };
        drop(inner);
        // Large parts are copied after the lock is released.
        SyncReply {
            plan: plan.map(|plan| Plan::clone(&plan)),
            rollouts: has_rollouts.then(|| RolloutTable::clone(&rollouts)),
            ..reply
        }
    }

    /// Removes entries that have not synced within [`ENTRY_TTL`].
    pub(super) fn expire_entries(&self) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let before = inner.entries.len();
        inner
            .entries
            .retain(|_, record| now.since(record.last_sync) < ENTRY_TTL);
        if inner.entries.len() != before {
            let Inner {
                entries,
                cached_prefixes,
                ..
            } = &mut *inner;
            cached_prefixes.retain(|vm| entries.contains_key(vm));
            inner.entries_version += 1;
            drop(inner);
            self.updated.notify(usize::MAX);
        }
    }

    /// Returns the counts of good and bad responses of a service, by release and entry.
    pub(super) fn tallies(&self, service: &ServiceId) -> BTreeMap<String, EntryTallies> {
        let inner = self.inner();
        let mut all: BTreeMap<String, EntryTallies> = BTreeMap::new();
        for (vm, record) in &inner.entries {
            for release_tally in record.tallies.iter().filter(|t| t.service == *service) {
                let entry = (vm.clone(), record.info.incarnation);
                let release = all.entry(release_tally.release.clone()).or_default();
                release.insert(entry, release_tally.tally);
            }
        }
        all
    }
}

impl Inner {
    fn entry_list(&self) -> Vec<EntryInfo> {
        self.entries
            .values()
            .map(|record| record.info.clone())
            .collect()
    }

    /// Returns the load at each endpoint, summed over all entries but the one on `vm`.
    fn loads_excluding(&self, vm: &VmId) -> Vec<EndpointLoad> {
        let others = self.entries.iter().filter(|(id, _)| *id != vm);
        let mut sums: BTreeMap<&EndpointId, (u32, u32)> = BTreeMap::new();
        for load in others.flat_map(|(_, record)| &record.loads) {
            let (running, prefill_ms) = sums.entry(&load.id).or_default();
            *running += load.running;
            *prefill_ms = prefill_ms.saturating_add(load.prefill_ms);
        }
        let loads = sums
            .into_iter()
            .map(|(id, (running, prefill_ms))| EndpointLoad {
                id: id.clone(),
                running,
                prefill_ms,
            });
        loads.collect()
    }
}
