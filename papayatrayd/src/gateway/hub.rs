//! What a control replica of the gateway knows: applied state, and soft state of endpoints and
//! entries that needs no log.

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
use papayatray_core::gateway::notes::UpdateRelay;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::warmth::CachedPrefix;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::rollout::Tally;
use papayatray_state::node::Node;
use papayatray_state::storage::FolderDisk;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::EndpointLoad;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::ReleaseTally;
use papayatray_wire::peer::SYNC_POLL_TIMEOUT;
use papayatray_wire::peer::Spread;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future::FutureExt;

use crate::control::TurnObserver;
use crate::observe::Level;
use crate::observe::event;

/// Time without a sync after which an entry is left out of the list.
const ENTRY_KEPT: Millis = Millis::new(1_500);
/// Time for which an endpoint counts as just heard of in an answer.
const RENEWED_KEPT: Millis = Millis::new(800);
/// Departures that are remembered for entries that ask late.
const DEPARTURES: usize = 1_024;
/// Notes on warm prefixes that are remembered for entries that ask late: some seconds' worth of
/// all entries' requests.
const WARM_NOTES: usize = 1_024;

/// State that the log has given.
#[derive(Clone, Debug, Default)]
struct Applied {
    version: PlanVersion,
    plan: Option<Arc<Plan>>,
    rollouts: Arc<RolloutTable>,
    controls: Vec<String>,
    /// Moment until which this replica leads beyond doubt.
    current_until: Option<Millis>,
}

/// Entry that has asked.
#[derive(Debug)]
struct EntryRecord {
    info: EntryInfo,
    heard: Millis,
    loads: Vec<EndpointLoad>,
    tallies: Vec<ReleaseTally>,
}

/// What one release did, by entry and start of the entry.
pub(super) type EntryTallies = BTreeMap<(VmId, Incarnation), Tally>;

#[derive(Debug)]
struct Knowledge {
    applied: Applied,
    directory: Directory,
    /// Number of the last news about each endpoint.
    marks: BTreeMap<EndpointId, u64>,
    departures: VecDeque<(u64, Deregistration)>,
    number: u64,
    entries: BTreeMap<VmId, EntryRecord>,
    entries_version: u64,
    crashes: CrashTable,
    warm: UpdateRelay<CachedPrefix>,
}

/// What a control replica knows.
#[derive(Debug)]
pub struct Hub {
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
    knowledge: Mutex<Knowledge>,
    changed: Event,
}

impl Hub {
    /// Creates a hub that knows nothing.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let wall = clock.wall().as_u64();
        let knowledge = Knowledge {
            applied: Applied::default(),
            directory: Directory::default(),
            marks: BTreeMap::new(),
            departures: VecDeque::new(),
            number: 0,
            entries: BTreeMap::new(),
            entries_version: wall,
            crashes: CrashTable::default(),
            warm: UpdateRelay::new(WARM_NOTES),
        };
        Self {
            incarnation: Incarnation(wall),
            knowledge: Mutex::new(knowledge),
            changed: Event::new(),
            clock,
        }
    }

    fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// # Applied state
impl Hub {
    /// Returns the version of the plan that this replica has applied.
    pub fn version(&self) -> PlanVersion {
        self.knowledge().applied.version
    }

    /// Returns the roll-outs that this replica has applied.
    pub(super) fn rollouts(&self) -> Arc<RolloutTable> {
        Arc::clone(&self.knowledge().applied.rollouts)
    }

    /// Tells whether this replica leads beyond doubt.
    pub fn is_current(&self) -> bool {
        let now = self.clock.now();
        self.knowledge().applied.is_current(now)
    }

    /// Returns how many endpoints take work, and how many entries ask.
    pub(super) fn counts(&self) -> (usize, usize) {
        let knowledge = self.knowledge();
        let endpoints = knowledge.directory.open().count();
        (endpoints, knowledge.entries.len())
    }

    /// Returns the addresses of the control replicas.
    pub(super) fn controls(&self) -> Vec<String> {
        self.knowledge().applied.controls.clone()
    }
}

impl Applied {
    fn is_current(&self, now: Millis) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }
}

/// Takes the control thread's state over into a hub.
#[derive(Debug)]
pub(super) struct HubWatch {
    pub(super) hub: Arc<Hub>,
}

impl TurnObserver for HubWatch {
    fn on_turn(&mut self, node: &Node<FolderDisk>, now: Millis) {
        let machine = node.machine();
        let mut knowledge = self.hub.knowledge();
        let applied = &mut knowledge.applied;
        applied.current_until = node.replica().current_until(now);
        let mut is_new = false;
        let newest = machine.publication();
        let version = newest.map(|own| own.plan.version).unwrap_or_default();
        if version > applied.version || (applied.plan.is_none() && newest.is_some()) {
            applied.version = version;
            applied.plan = newest.map(|own| Arc::new(own.plan.clone()));
            is_new = true;
        }
        if machine.rollouts().changes() > applied.rollouts.changes() {
            applied.rollouts = Arc::new(machine.rollouts().clone());
            is_new = true;
        }
        let members = node.replica().members();
        let is_same = applied.controls.len() == members.iter().count()
            && members
                .iter()
                .zip(&applied.controls)
                .all(|((_, member), known)| member.address == *known);
        if !is_same {
            applied.controls = members.iter().map(|(_, m)| m.address.clone()).collect();
            is_new = true;
        }
        drop(knowledge);
        if is_new {
            self.hub.changed.notify(usize::MAX);
        }
    }
}

/// # Endpoints
impl Hub {
    /// Takes in an endpoint's announcement; tells whether entries must hear of it at once.
    pub fn announce(&self, endpoint: &Endpoint) -> bool {
        let now = self.clock.now();
        let mut knowledge = self.knowledge();
        let before = knowledge.directory.get(&endpoint.id).cloned();
        if !knowledge.directory.merge(endpoint, now) {
            return false;
        }
        let evicted = knowledge.directory.evict_address(endpoint);
        let after = knowledge.directory.get(&endpoint.id).cloned();
        let is_change = before.map(essence) != after.clone().map(essence);
        if is_change {
            knowledge.mark(&endpoint.id);
        }
        for id in &evicted {
            knowledge.mark(id);
        }
        drop(knowledge);
        if let Some(after) = after.filter(|_| is_change) {
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
            self.changed.notify(usize::MAX);
        }
        is_change
    }

    /// Takes in the departure of an endpoint, known here or not.
    pub fn depart(&self, departure: &Deregistration) {
        let mut knowledge = self.knowledge();
        let is_known = knowledge
            .directory
            .depart(&departure.id, departure.incarnation);
        if is_known {
            knowledge.mark(&departure.id);
        }
        knowledge.number += 1;
        let number = knowledge.number;
        knowledge.departures.push_back((number, departure.clone()));
        if knowledge.departures.len() > DEPARTURES {
            knowledge.departures.pop_front();
        }
        drop(knowledge);
        event(
            Level::Info,
            "endpoint_left",
            &[("endpoint", &departure.id), ("known", &is_known)],
        );
        self.changed.notify(usize::MAX);
    }

    /// Takes in what another control replica passes on.
    pub(super) fn take_spread(&self, spread: &Spread) {
        for endpoint in &spread.changed {
            self.announce(endpoint);
        }
        for departure in &spread.departed {
            self.depart(departure);
        }
    }

    /// Returns the endpoint as it is known here.
    pub fn endpoint(&self, id: &EndpointId) -> Option<Endpoint> {
        self.knowledge().directory.get(id).cloned()
    }

    /// Returns how many endpoints of a service take work, those of `release` and all others.
    pub(super) fn strength(&self, service: &ServiceId, release: &str) -> (usize, usize) {
        let knowledge = self.knowledge();
        let open = knowledge.directory.open().filter(|e| e.runs(service));
        let (own, others): (Vec<_>, Vec<_>) = open.partition(|e| e.release == release);
        (own.len(), others.len())
    }
}

/// Returns what entries must hear of at once.
fn essence(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        sequence: 0,
        cold: if endpoint.cold > Millis::ZERO {
            Millis::new(1)
        } else {
            Millis::ZERO
        },
        ..endpoint
    }
}

impl Knowledge {
    fn mark(&mut self, id: &EndpointId) {
        self.number += 1;
        self.marks.insert(id.clone(), self.number);
    }

    fn news(&self, since: u64, incarnation: Incarnation, now: Millis) -> EndpointUpdates {
        let changed = self.marks.iter().filter(|(_, number)| **number > since);
        let changed = changed.filter_map(|(id, _)| self.directory.get(id));
        let departed = self.departures.iter().filter(|(n, _)| *n > since);
        let is_renewed = |endpoint: &&Endpoint| {
            let heard = self.directory.heard(&endpoint.id);
            heard.is_some_and(|at| now.since(at) < RENEWED_KEPT)
        };
        let renewed = self.directory.open().filter(is_renewed);
        EndpointUpdates {
            upto: Cursor {
                incarnation,
                number: self.number,
            },
            changed: changed.cloned().collect(),
            departed: departed.map(|(_, departure)| departure.clone()).collect(),
            renewed: renewed.map(|endpoint| endpoint.id.clone()).collect(),
        }
    }
}

/// # Entries
impl Hub {
    /// Brings an entry up to date; where nothing is new, the answer is held for a while.
    pub(super) async fn sync(&self, sync: SyncRequest) -> SyncReply {
        self.note_entry(&sync);
        let until = self.clock.now() + SYNC_POLL_TIMEOUT;
        loop {
            let listener = self.changed.listen();
            let now = self.clock.now();
            if now >= until || self.has_news(&sync) {
                return self.answer(&sync, now);
            }
            let timeout = async {
                Timer::after(until.since(now).to_duration()).await;
            };
            listener.or(timeout).await;
        }
    }

    fn note_entry(&self, sync: &SyncRequest) {
        let now = self.clock.now();
        let mut knowledge = self.knowledge();
        let known = knowledge.entries.get(&sync.info.vm);
        let is_late = known.is_some_and(|own| own.info.incarnation > sync.info.incarnation);
        if is_late {
            return;
        }
        let is_new = known.is_none_or(|own| own.info != sync.info);
        let record = EntryRecord {
            info: sync.info.clone(),
            heard: now,
            loads: sync.loads.clone(),
            tallies: sync.tallies.clone(),
        };
        let (vm, start) = (&sync.info.vm, sync.info.incarnation);
        knowledge.warm.take(vm, start, &sync.warm);
        knowledge.entries.insert(sync.info.vm.clone(), record);
        if !sync.suspects.is_empty() {
            knowledge.crashes.merge(&sync.suspects, now);
        }
        if is_new {
            knowledge.entries_version += 1;
            drop(knowledge);
            self.changed.notify(usize::MAX);
        }
    }

    fn has_news(&self, sync: &SyncRequest) -> bool {
        let knowledge = self.knowledge();
        let seen = &sync.seen;
        let upto = Cursor {
            incarnation: self.incarnation,
            number: knowledge.number,
        };
        knowledge.applied.version > seen.plan
            || knowledge.applied.rollouts.changes() > seen.rollouts
            || upto != seen.news
            || knowledge.entries_version != seen.entries
    }

    fn answer(&self, sync: &SyncRequest, now: Millis) -> SyncReply {
        let knowledge = self.knowledge();
        let seen = &sync.seen;
        let applied = &knowledge.applied;
        let is_current = applied.is_current(now);
        let is_same = seen.news.incarnation == self.incarnation;
        let (since, told) = if is_same {
            (seen.news.number, seen.warm)
        } else {
            (0, 0)
        };
        let plan = applied.plan.clone().filter(|_| applied.version > seen.plan);
        let rollouts = Arc::clone(&applied.rollouts);
        let has_rollouts = rollouts.changes() > seen.rollouts;
        let entries = (knowledge.entries_version != seen.entries).then(|| knowledge.list());
        let loads = is_current.then(|| knowledge.loads_beside(&sync.info.vm));
        let synced = SyncReply {
            is_current,
            version: applied.version,
            plan: None,
            news: knowledge.news(since, self.incarnation, now),
            entries_version: knowledge.entries_version,
            entries,
            rollouts: None,
            wall: self.clock.wall(),
            controls: applied.controls.clone(),
            loads,
            suspects: knowledge.crashes.suspects(),
            warm: is_current.then(|| knowledge.warm.beside(&sync.info.vm, told)),
        };
        drop(knowledge);
        // Large parts are copied without holding everybody else up.
        SyncReply {
            plan: plan.map(|plan| Plan::clone(&plan)),
            rollouts: has_rollouts.then(|| RolloutTable::clone(&rollouts)),
            ..synced
        }
    }

    /// Leaves out entries that have not asked for a while.
    pub(super) fn expire_entries(&self) {
        let now = self.clock.now();
        let mut knowledge = self.knowledge();
        let before = knowledge.entries.len();
        knowledge
            .entries
            .retain(|_, record| now.since(record.heard) < ENTRY_KEPT);
        if knowledge.entries.len() != before {
            let Knowledge { entries, warm, .. } = &mut *knowledge;
            warm.retain(|vm| entries.contains_key(vm));
            knowledge.entries_version += 1;
            drop(knowledge);
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns what each release of a service did, by entry.
    pub(super) fn tallies(&self, service: &ServiceId) -> BTreeMap<String, EntryTallies> {
        let knowledge = self.knowledge();
        let mut all: BTreeMap<String, EntryTallies> = BTreeMap::new();
        for (vm, record) in &knowledge.entries {
            for own in record.tallies.iter().filter(|t| t.service == *service) {
                let entry = (vm.clone(), record.info.incarnation);
                let release = all.entry(own.release.clone()).or_default();
                release.insert(entry, own.tally);
            }
        }
        all
    }
}

impl Knowledge {
    fn list(&self) -> Vec<EntryInfo> {
        self.entries
            .values()
            .map(|record| record.info.clone())
            .collect()
    }

    fn loads_beside(&self, vm: &VmId) -> Vec<EndpointLoad> {
        let others = self.entries.iter().filter(|(id, _)| *id != vm);
        let mut sums: BTreeMap<&EndpointId, (u32, u32)> = BTreeMap::new();
        for load in others.flat_map(|(_, record)| &record.loads) {
            let (running, reading) = sums.entry(&load.id).or_default();
            *running += load.running;
            *reading = reading.saturating_add(load.reading);
        }
        let loads = sums
            .into_iter()
            .map(|(id, (running, reading))| EndpointLoad {
                id: id.clone(),
                running,
                reading,
            });
        loads.collect()
    }
}
