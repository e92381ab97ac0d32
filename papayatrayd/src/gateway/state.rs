//! What an entry of the gateway knows and shares between its tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;

use event_listener::Event;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::access;
use papayatray_core::gateway::access::RatingTable;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::arrivals::ArrivalBudget;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::crashes::Suspect;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::table::RouteTable;
use papayatray_core::id::DataCentre;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_core::rollout::Tally;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_wire::peer::SyncReply;
use smol::Timer;
use smol::future::FutureExt;

mod presence;
mod releases;

pub(super) use self::presence::FlightGuard;
pub(super) use self::releases::Outcome;
use super::channel;
use super::channel::Channels;
use super::dialect::Dialect;
use super::fleet::Choice;
use super::fleet::Fleet;
use super::fleet::Prompt;
use super::fleet::Wish;
use super::meter::Meter;
use super::meter::Snapshot;
use crate::observe::Level;
use crate::observe::Traces;
use crate::observe::event;
use crate::tasks::Tasks;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which revoked keys must stop working everywhere.
    pub revocation: Millis,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Millis,
    /// Bound on arrivals beyond the first of each request.
    pub arrivals: ArrivalBound,
    /// Share of a service's requests that a release in roll-out may get.
    pub exposure: f64,
    /// Time that a planned stop may take.
    pub grace: Millis,
    /// Time for which callers may keep the addresses to use.
    pub hold: Millis,
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum StopStage {
    /// The entry serves.
    Serving = 0,
    /// Callers are told to go elsewhere; those who come are served.
    Announced = 1,
    /// No new connection is taken.
    Closed = 2,
}

/// Entries as one control replica lists them.
#[derive(Debug)]
struct EntryList {
    entries: Vec<EntryInfo>,
    version: u64,
    heard: Millis,
}

/// Entry of the gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: String,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Runner of tasks.
    pub tasks: Tasks,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Headers of the site.
    pub dialect: Arc<dyn Dialect>,
    /// Metrics.
    pub meter: Meter,
    /// Last spans of this process.
    pub traces: Traces,
    /// Requests in a thousand that are traced beside those whose callers ask for it.
    pub traced: u32,
    /// Connections to endpoints.
    pub(super) channels: Channels,
    /// Tells of a change that the control replicas must hear of at once.
    pub(super) news: Event,
    /// Tells that the plan here has been found to be the newest.
    current: Event,
    /// Moment at which the process began.
    born: Millis,
    /// Tells that unused connections are to close.
    pub(super) closing: Arc<Event>,
    incarnation: Incarnation,
    table: RwLock<Option<Arc<RouteTable>>>,
    evidence: Mutex<RatingTable>,
    fleet: Mutex<Fleet>,
    rollouts: RwLock<Arc<RolloutTable>>,
    /// Difference between the leader's time of day and this process's own time.
    wall: Mutex<Millis>,
    lists: Mutex<BTreeMap<String, EntryList>>,
    budget: Mutex<ArrivalBudget>,
    tallies: Mutex<BTreeMap<(ServiceId, String), Tally>>,
    latencies: Mutex<BTreeMap<(String, usize), f64>>,
    crashes: Mutex<CrashTable>,
    stop: AtomicU8,
    in_flight: AtomicUsize,
}

impl Gateway {
    /// Creates an entry that knows nothing yet.
    pub fn new(
        vm: VmId,
        data_centre: DataCentre,
        caller_address: String,
        bounds: Bounds,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        tasks: Tasks,
    ) -> Self {
        Self {
            traces: Traces::new(vm.clone()),
            traced: 0,
            vm,
            data_centre,
            caller_address,
            incarnation: Incarnation(clock.wall().as_u64()),
            channels: Channels::new(tasks.clone()),
            meter: Meter::default(),
            news: Event::new(),
            current: Event::new(),
            born: clock.now(),
            closing: Arc::default(),
            table: RwLock::default(),
            evidence: Mutex::new(RatingTable::new(bounds.revocation)),
            fleet: Mutex::new(Fleet::new(bounds.heartbeat)),
            rollouts: RwLock::default(),
            wall: Mutex::default(),
            lists: Mutex::default(),
            budget: Mutex::new(ArrivalBudget::new(bounds.arrivals)),
            tallies: Mutex::default(),
            latencies: Mutex::default(),
            crashes: Mutex::default(),
            stop: AtomicU8::new(StopStage::Serving as u8),
            in_flight: AtomicUsize::new(0),
            clock,
            tasks,
            bounds,
            dialect,
        }
    }
}

/// # News from control replicas
impl Gateway {
    /// Takes in what the control replica at `control` answered to a question of `asked`.
    pub fn take_synced(&self, control: &str, synced: SyncReply, asked: Millis) {
        if let Some(plan) = synced.plan {
            let version = plan.version;
            if self.set_table(RouteTable::new(plan)) {
                event(
                    Level::Info,
                    "plan_applied",
                    &[("version", &version), ("control", &control)],
                );
            }
        }
        let now = self.clock.now();
        let stale = self.fleet().take(&synced.news, now);
        for id in stale {
            event(Level::Info, "endpoint_out", &[("endpoint", &id)]);
            self.channels.forget(&id);
        }
        match synced.entries {
            Some(entries) => self.set_entries(control, entries, synced.entries_version),
            None => self.touch_entries(control),
        }
        if let Some(book) = synced.rollouts {
            self.set_rollouts(book);
        }
        if synced.is_current {
            self.set_wall(synced.wall);
        }
        if !synced.suspects.is_empty() {
            self.crashes().merge(&synced.suspects, now);
        }
        if let Some(loads) = &synced.loads {
            self.fleet().set_others(loads);
        }
        if let Some(warm) = &synced.warm {
            self.fleet().take_warm(&warm.notes, now);
        }
        // The evidence comes last: requests that wait for it go on at once, by the plan, the
        // endpoints and the roll-outs that came with it.
        let held = self.table().map(|table| table.version());
        if synced.is_current && held.is_some_and(|version| version >= synced.version) {
            self.renew_evidence(asked);
        }
    }
}

/// # Plan and evidence
impl Gateway {
    /// Returns the plan in force here, if any has come.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Puts a newer plan in force; an older one is left aside. Tells whether it was newer.
    fn set_table(&self, table: RouteTable) -> bool {
        let mut held = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = held
            .as_ref()
            .is_none_or(|own| table.version() > own.version());
        if is_newer {
            *held = Some(Arc::new(table));
        }
        is_newer
    }

    /// Takes in evidence that the plan here is the newest.
    fn renew_evidence(&self, asked: Millis) {
        lock(&self.evidence).renew(asked);
        self.current.notify(usize::MAX);
    }

    /// Waits a little for the first evidence where the process has just started.
    pub(super) async fn wait_for_plan(&self, deadline: Option<Millis>) {
        let begun = self.clock.now();
        let until = begun + access::startup_wait(begun.since(self.born), deadline);
        while !self.is_current() {
            let now = self.clock.now();
            let listener = self.current.listen();
            if now >= until || self.is_current() {
                return;
            }
            let timeout = async {
                Timer::after(until.since(now).to_duration()).await;
            };
            listener.or(timeout).await;
        }
    }

    /// Returns the age of the evidence that the plan here is the newest.
    pub fn evidence_age(&self) -> Option<Millis> {
        lock(&self.evidence).age(self.clock.now())
    }

    /// Tells whether the plan here is known to be new enough for keyed requests.
    pub fn is_current(&self) -> bool {
        lock(&self.evidence).is_fresh(self.clock.now())
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.stop() == StopStage::Serving && self.is_current() && self.table().is_some()
    }
}

/// # Metrics
impl Gateway {
    /// Returns all metrics as text.
    pub fn render_metrics(&self) -> String {
        let plan = self.table().map_or(0, |table| table.version().0);
        let age = self.evidence_age().map_or(u64::MAX, Millis::as_u64);
        let endpoints = self.fleet().count();
        self.meter.render(&Snapshot {
            in_flight: self.in_flight(),
            plan,
            evidence_age: age,
            endpoints,
            entries: self.entries().len(),
            leads: false,
        })
    }
}

/// # Endpoints
impl Gateway {
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Picks an endpoint for a request; `session` is the same for all requests of a session.
    pub(super) fn pick(
        &self,
        service: &ServiceId,
        avoid: &[papayatray_core::id::EndpointId],
        prompt: Prompt,
        session: f64,
    ) -> Option<Choice> {
        let now = self.clock.now();
        let rollouts = self.rollouts();
        let wall = self.fleet_wall(now);
        let exposure = self.bounds.exposure;
        let standing = |release: &str| -> ReleaseEligibility {
            rollouts.standing(service, release, session, wall, exposure)
        };
        let wish = Wish {
            service,
            avoid,
            prompt,
            draw: rand::random(),
            near: &self.data_centre,
            standing: &standing,
            entries: self.entry_count(),
            most: self.most_at_one(service),
        };
        self.fleet().pick(&wish, now)
    }

    /// Returns how many requests this entry may have at one endpoint of a service.
    fn most_at_one(&self, service: &ServiceId) -> u32 {
        let table = self.table();
        let own = table
            .as_ref()
            .and_then(|table| table.plan().services.get(service)?.connections);
        let entries = u32::try_from(self.entry_count()).unwrap_or(1);
        own.map_or(u32::MAX, |all| (all / entries.max(1)).max(2))
    }

    /// Returns the roll-outs.
    pub fn rollouts(&self) -> Arc<RolloutTable> {
        let rollouts = self.rollouts.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&rollouts)
    }

    fn set_rollouts(&self, book: RolloutTable) {
        let mut held = self
            .rollouts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if book.changes() > held.changes() {
            *held = Arc::new(book);
        }
    }

    /// Notes the leader's time of day, by which roll-outs go on alike at all entries.
    fn set_wall(&self, wall: Millis) {
        *lock(&self.wall) = wall.since(self.clock.now());
    }

    fn fleet_wall(&self, now: Millis) -> Millis {
        *lock(&self.wall) + now
    }

    pub(super) fn crashes(&self) -> MutexGuard<'_, CrashTable> {
        lock(&self.crashes)
    }

    /// Returns the requests suspected of crashing endpoints.
    pub fn suspects(&self) -> Vec<Suspect> {
        self.crashes().suspects()
    }

    /// Finds out whether a lost connection means that the endpoint crashed, and counts it.
    pub(super) fn look_for_crash(self: &Arc<Self>, fingerprint: Fingerprint, choice: &Choice) {
        let (gateway, choice) = (Arc::clone(self), choice.clone());
        self.tasks.spawn(async move {
            if !channel::is_refused(choice.address).await {
                return;
            }
            event(Level::Warn, "endpoint_crashed", &[("endpoint", &choice.id)]);
            let life = EndpointIncarnation {
                endpoint: choice.id,
                incarnation: choice.incarnation,
            };
            let now = gateway.clock.now();
            gateway.crashes().note(fingerprint, life, now);
            gateway.news.notify(usize::MAX);
        });
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, ArrivalBudget> {
        lock(&self.budget)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
