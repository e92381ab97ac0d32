//! State of a control replica: the applied state of the log, and soft state of endpoints and
//! entries that is not replicated through the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::endpoint_speed::SpeedTable;
use papayatray_core::gateway::entry_register::EntryRegister;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::load_table::LoadTable;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::rate_limits::RateStatement;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::updates::UpdateRelay;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_state::node::Node;
use papayatray_state::node::PlanUpdate;
use papayatray_state::node::Turn;
use papayatray_state::replica::ReplicaId;
use papayatray_state::storage::FolderDisk;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::ReleaseTally;
use papayatray_wire::peer::SpreadRequest;

use crate::control::TurnObserver;
use crate::observe::Level;
use crate::observe::event;

mod evacuations;
mod levels;
mod plans;
mod sync;

use self::plans::PlanStore;

/// Suspects retained from all entries: those in flight at half of the endpoints of a large
/// deployment, should they crash at once.
const MAX_SUSPECTS: usize = 4_096;
/// Deregistrations retained for entries that sync late.
const MAX_DEREGISTRATIONS: usize = 1_024;
/// Changed endpoints in one reply, which takes a few hundred bytes for each.
const MAX_ENDPOINTS_PER_REPLY: usize = 128;
/// Cached-prefix updates retained for entries that sync late; covers some seconds of all entries'
/// requests.
const MAX_PREFIX_UPDATES: usize = 1_024;
/// Changes of rate limits retained for entries that sync late; several for each endpoint of a large
/// deployment.
const MAX_RATE_STATEMENTS: usize = 512;

/// State applied from the log.
#[derive(Clone, Debug, Default)]
struct Applied {
    plan_version: PlanVersion,
    rollouts: Arc<RolloutTable>,
    evacuations: Arc<EvacuationTable>,
    level: FormatLevel,
    controls: Vec<String>,
    /// End of the leader lease, while this replica is the leader.
    lease_end: Option<Millis>,
    /// Answers of other replicas that this one has ignored.
    foreign_replies: u64,
}

#[derive(Debug)]
struct Inner {
    applied: Applied,
    directory: Directory,
    /// Number of the last change of each endpoint; deregistrations share the numbering.
    change_numbers: BTreeMap<EndpointId, u64>,
    deregistrations: VecDeque<(u64, Deregistration)>,
    /// Number of the last change or deregistration.
    last_number: u64,
    /// Number of the last heartbeat of each endpoint, and of the last one of all.
    heartbeat_numbers: BTreeMap<EndpointId, u64>,
    last_heartbeat: u64,
    entries: EntryRegister,
    /// Results of each release, by entry.
    tallies: BTreeMap<VmId, Vec<ReleaseTally>>,
    loads: LoadTable,
    speeds: SpeedTable,
    crashes: CrashTable,
    /// Number of the last findings on crashes that each entry has received.
    findings_received: BTreeMap<VmId, u64>,
    cached_prefixes: UpdateRelay<CachedPrefix>,
    rate_statements: UpdateRelay<RateStatement>,
    /// Format levels that entries read.
    entry_levels: BTreeMap<VmId, FormatLevel>,
    /// Format levels that replicas have stated to this one, while it leads; `None` without an answer.
    replica_levels: BTreeMap<ReplicaId, Option<FormatLevel>>,
    /// Data centres that endpoints, entries or the settings have named since the process started.
    data_centres: BTreeSet<DataCentre>,
    /// Whether this replica, or an entry that syncs with it, has heard of an endpoint.
    knows_endpoints: bool,
}

/// State of a control replica, shared by its listeners and background tasks.
#[derive(Debug)]
pub struct ControlState {
    clock: Arc<dyn Clock>,
    /// Data centre of the replica, if it is known.
    data_centre: Option<DataCentre>,
    incarnation: Incarnation,
    inner: Mutex<Inner>,
    plans: PlanStore,
    /// Notified when waiting sync requests have to be checked for updates.
    updated: Event,
}

impl ControlState {
    /// Creates the state of a replica that has applied nothing and knows no endpoints or entries.
    pub fn new(clock: Arc<dyn Clock>, data_centre: Option<DataCentre>) -> Self {
        let wall = clock.wall().as_u64();
        let inner = Inner {
            applied: Applied::default(),
            directory: Directory::default(),
            change_numbers: BTreeMap::new(),
            deregistrations: VecDeque::new(),
            last_number: 0,
            heartbeat_numbers: BTreeMap::new(),
            last_heartbeat: 0,
            entries: EntryRegister::default(),
            tallies: BTreeMap::new(),
            loads: LoadTable::default(),
            speeds: SpeedTable::default(),
            crashes: CrashTable::with_capacity(MAX_SUSPECTS),
            findings_received: BTreeMap::new(),
            cached_prefixes: UpdateRelay::new(MAX_PREFIX_UPDATES),
            rate_statements: UpdateRelay::new(MAX_RATE_STATEMENTS),
            entry_levels: BTreeMap::new(),
            replica_levels: BTreeMap::new(),
            data_centres: data_centre.iter().cloned().collect(),
            knows_endpoints: false,
        };
        Self {
            incarnation: Incarnation(wall),
            inner: Mutex::new(inner),
            plans: PlanStore::default(),
            updated: Event::new(),
            clock,
            data_centre,
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

    /// Puts a plan in force if it is newer than the current one, and informs the entries.
    pub fn publish(&self, plan: Plan) {
        self.apply_plans(&[PlanUpdate::Published(Arc::new(plan))]);
        self.updated.notify(usize::MAX);
    }

    /// Stores plans that have come into force; returns whether one is newer than the current one.
    fn apply_plans(&self, updates: &[PlanUpdate]) -> bool {
        if updates.is_empty() {
            return false;
        }
        let version = self.plans.record(updates);
        let mut inner = self.inner();
        let is_newer = version > inner.applied.plan_version;
        inner.applied.plan_version = version;
        is_newer
    }

    /// Sets the end of the leader lease, or `None` if another replica leads.
    pub fn set_lease_end(&self, lease_end: Option<Millis>) {
        self.inner().applied.lease_end = lease_end;
        self.updated.notify(usize::MAX);
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

    /// Returns the number of answers of other replicas that this one has ignored.
    pub(super) fn foreign_replies(&self) -> u64 {
        self.inner().applied.foreign_replies
    }

    /// Returns the number of endpoints that accept requests, and of entries that sync.
    pub(super) fn counts(&self) -> (usize, usize) {
        let inner = self.inner();
        let endpoints = inner.directory.accepting().count();
        (endpoints, inner.entries.len())
    }

    /// Returns the number of requests and prompt parts with evidence that they crash endpoints.
    pub(super) fn suspect_count(&self) -> usize {
        self.inner().crashes.len()
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
    fn on_turn(&mut self, node: &Node<FolderDisk>, turn: &Turn, now: Millis) {
        let machine = node.machine();
        let has_new_plan = self.state.apply_plans(&turn.plans);
        let mut inner = self.state.inner();
        let applied = &mut inner.applied;
        let led_before = applied.has_leader_lease(now);
        applied.lease_end = node.replica().current_until(now);
        applied.foreign_replies = node.replica().foreign_replies();
        // Entries renew their evidence at the leader, so they must hear of a new one at once.
        let mut is_changed = has_new_plan || led_before != applied.has_leader_lease(now);
        if machine.rollouts().changes() > applied.rollouts.changes() {
            applied.rollouts = Arc::new(machine.rollouts().clone());
            is_changed = true;
        }
        if machine.evacuations().changes() > applied.evacuations.changes() {
            applied.evacuations = Arc::new(machine.evacuations().clone());
            is_changed = true;
        }
        if machine.level() > applied.level {
            applied.level = machine.level();
            event(Level::Info, "level_raised", &[("level", &applied.level)]);
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
        inner.record_heartbeat(&endpoint.id);
        inner.name_data_centre(&endpoint.data_centre);
        inner.knows_endpoints = true;
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

    /// Returns how many endpoints of a service get requests, as they accept them and their data centre is
    /// not evacuated: those that run `release`, and all others.
    pub(super) fn accepting_counts(&self, service: &ServiceId, release: &str) -> (usize, usize) {
        let inner = self.inner();
        let evacuations = &inner.applied.evacuations;
        let accepting = inner.directory.accepting();
        let accepting =
            accepting.filter(|e| e.runs(service) && !evacuations.is_evacuated(&e.data_centre));
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
    fn record_heartbeat(&mut self, id: &EndpointId) {
        self.last_heartbeat += 1;
        self.heartbeat_numbers
            .insert(id.clone(), self.last_heartbeat);
    }

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

    /// Returns the changes, deregistrations and heartbeats with higher numbers than those seen.
    ///
    /// Of many changes, these are the first ones, and the cursor leads to the others.
    fn updates_after(
        &self,
        last_seen: u64,
        heartbeats_seen: u64,
        incarnation: Incarnation,
    ) -> EndpointUpdates {
        let mut pending: Vec<(u64, &EndpointId)> = self
            .change_numbers
            .iter()
            .filter(|(_, number)| **number > last_seen)
            .map(|(id, number)| (*number, id))
            .collect();
        let mut last_number = self.last_number;
        if pending.len() > MAX_ENDPOINTS_PER_REPLY {
            pending.sort_unstable();
            pending.truncate(MAX_ENDPOINTS_PER_REPLY);
            last_number = pending.last().map_or(last_number, |(number, _)| *number);
        }
        let changed = pending.iter().filter_map(|(_, id)| self.directory.get(id));
        let deregistered = self
            .deregistrations
            .iter()
            .filter(|(number, _)| (last_seen + 1..=last_number).contains(number));
        let renewed = self
            .heartbeat_numbers
            .iter()
            .filter(|(_, number)| **number > heartbeats_seen);
        EndpointUpdates {
            cursor: Cursor {
                incarnation,
                number: last_number,
            },
            changed: changed.cloned().collect(),
            deregistered: deregistered
                .map(|(_, deregistration)| deregistration.clone())
                .collect(),
            heartbeats: self.last_heartbeat,
            renewed: renewed.map(|(id, _)| id.clone()).collect(),
        }
    }
}
