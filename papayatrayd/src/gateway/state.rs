//! State of an entry that its tasks share: plan, endpoints, roll-outs, evidence and counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::arrivals::ArrivalBudget;
use papayatray_core::gateway::canary::CanaryAllowance;
use papayatray_core::gateway::canary::ExposureBound;
use papayatray_core::gateway::entry_register::EntryList;
use papayatray_core::gateway::entry_roster::EntryRoster;
use papayatray_core::gateway::freshness::PlanFreshness;
use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::homes::Regions;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::slowness::UsualLatencies;
use papayatray_core::gateway::slowness::UsualPaces;
use papayatray_core::gateway::stream_times::UsualStreamTimes;
use papayatray_core::gateway::table::RouteTable;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::gateway::warm_up::ColdBound;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::SyncReply;

mod crashes;
mod entries;
mod evacuations;
mod evidence;
mod reach;
mod releases;
mod startup;
mod statements;

pub(super) use self::crashes::ANSWER_START;
use self::crashes::CrashView;
pub(super) use self::crashes::LostAttempt;
pub(super) use self::crashes::log_changes;
pub use self::entries::ConnectionGuard;
pub(super) use self::entries::InFlightGuard;
use super::buffers::BufferPool;
use super::connection_pool::ConnectionPool;
use super::dialect::Dialect;
use super::fleet::Fleet;
use super::fleet::PlacementQuery;
use super::fleet::Prompt;
use super::fleet::SelectedEndpoint;
use super::hop::Hops;
use super::metrics::GatewayMetrics;
use super::metrics::GaugeValues;
use crate::observe::Level;
use crate::observe::Traces;
use crate::observe::event;
use crate::tasks::Tasks;

/// Limits and intervals that hold for a whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a revoked key must stop working at every entry.
    pub revocation: Millis,
    /// Time within which an accepted plan must be in force at every entry.
    pub in_force: Millis,
    /// Interval of an endpoint's heartbeats.
    pub heartbeat: Millis,
    /// Retry budget of each service: limit on the attempts that reach endpoints, not counting the
    /// first one of each request.
    pub arrivals: ArrivalBound,
    /// Bound on the requests for a release in roll-out.
    pub exposure: ExposureBound,
    /// Longest duration of a graceful shutdown.
    pub grace: Millis,
    /// Time for which callers may cache the list of entry addresses.
    pub hold: Millis,
    /// Requests in any second that a cold endpoint may get.
    pub cold: ColdBound,
}

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ShutdownStage {
    /// Normal operation.
    Serving = 0,
    /// The entry is no longer listed as ready, but still serves the requests it receives.
    Draining = 1,
    /// New connections are no longer accepted, and idle ones are closed.
    Closed = 2,
}

/// Request for which an endpoint is sought.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) service: &'a ServiceId,
    /// Endpoints that the request must not get.
    pub(super) excluded: &'a [EndpointId],
    /// Regions to which the request is confined.
    pub(super) homes: &'a Homes,
    pub(super) prompt: Prompt,
    /// Number from 0 to 1 that all requests of a session share; it decides whether the session uses
    /// the release in roll-out.
    pub(super) session_draw: f64,
}

/// List of entries received from one control replica.
#[derive(Debug, Default)]
struct ReceivedEntries {
    list: EntryList,
    /// Whether the replica was the leader when it confirmed the list.
    is_from_leader: bool,
    updated_at: Millis,
}

/// State of an entry process, shared by its listeners and background tasks.
#[derive(Debug)]
pub struct Gateway {
    /// Id of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address on which callers' requests are accepted.
    pub caller_address: String,
    /// Processor share in thousandths of a core, or 0 if it is not known.
    pub size: u32,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Memory for buffered bodies.
    pub buffers: Arc<BufferPool>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Executor of background tasks.
    pub tasks: Tasks,
    /// Limits and intervals of the deployment.
    pub bounds: Bounds,
    /// Header conventions of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Most recent spans of this process.
    pub traces: Traces,
    /// Requests per thousand that are traced in addition to those whose callers sampled them.
    pub traced_permille: u32,
    /// Access to the other entries, through which requests get to endpoints that this one does not reach.
    pub(super) hops: Option<Hops>,
    /// Idle connections to endpoints.
    pub(super) connections: ConnectionPool,
    /// Notified when the control replicas must be synced with at once.
    pub(super) sync_needed: Event,
    /// Notified when the plan of this entry is confirmed to be the newest.
    plan_confirmed: Event,
    /// Notified when endpoints have registered or changed.
    endpoints_changed: Event,
    /// Time at which the process started.
    started_at: Millis,
    /// Notified when the callers' listener and idle connections must close.
    pub(super) close_event: Arc<Event>,
    incarnation: Incarnation,
    /// Routes of the plan in force.
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Evidence that the plan in force is the newest.
    evidence: Mutex<PlanFreshness>,
    fleet: Mutex<Fleet>,
    rollouts: RwLock<Arc<RolloutTable>>,
    /// Difference between the leader's wall clock and this process's monotonic clock.
    wall_offset: Mutex<Millis>,
    /// List of entries from each control replica, by its address.
    entry_lists: Mutex<BTreeMap<String, ReceivedEntries>>,
    /// Entries that share the bounds of the whole deployment.
    roster: Mutex<EntryRoster>,
    /// Retry budget of each service.
    budget: Mutex<ArrivalBudget>,
    /// Results since the process started, by service and release.
    tallies: Mutex<BTreeMap<(ServiceId, String), ReleaseResults>>,
    /// Requests that canaries get beyond their share.
    canary: Mutex<CanaryAllowance>,
    /// Usual times to a whole response, or to the first event of a stream.
    latencies: Mutex<UsualLatencies>,
    /// Usual times for each event of a stream.
    paces: Mutex<UsualPaces>,
    /// Usual times of streams from their first event to their end.
    stream_times: Mutex<UsualStreamTimes>,
    /// Notified when what is quarantined may have changed.
    quarantine_changed: Event,
    /// What makes endpoints crash, as far as this entry knows.
    crashes: Mutex<CrashView>,
    shutdown_stage: AtomicU8,
    in_flight: AtomicUsize,
    /// Connections of callers.
    open_connections: AtomicUsize,
}

impl Gateway {
    /// Creates an entry without a plan, endpoints or evidence.
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
            traced_permille: 0,
            hops: None,
            vm,
            data_centre,
            caller_address,
            size: 0,
            regions: Regions::default(),
            buffers: Arc::default(),
            incarnation: Incarnation(clock.wall().as_u64()),
            connections: ConnectionPool::new(tasks.clone()),
            metrics: GatewayMetrics::default(),
            sync_needed: Event::new(),
            plan_confirmed: Event::new(),
            endpoints_changed: Event::new(),
            started_at: clock.now(),
            close_event: Arc::default(),
            table: RwLock::default(),
            evidence: Mutex::new(PlanFreshness::new(bounds.revocation, bounds.in_force)),
            fleet: Mutex::new(Fleet::new(bounds.heartbeat, bounds.cold)),
            rollouts: RwLock::default(),
            wall_offset: Mutex::default(),
            entry_lists: Mutex::default(),
            roster: Mutex::default(),
            budget: Mutex::new(ArrivalBudget::new(bounds.arrivals)),
            tallies: Mutex::default(),
            canary: Mutex::default(),
            latencies: Mutex::default(),
            paces: Mutex::default(),
            stream_times: Mutex::default(),
            quarantine_changed: Event::new(),
            crashes: Mutex::default(),
            shutdown_stage: AtomicU8::new(ShutdownStage::Serving as u8),
            in_flight: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            clock,
            tasks,
            bounds,
            dialect,
        }
    }
}

/// # Hops
impl Gateway {
    /// Lets this entry send through the other ones, which reach it at `address`.
    pub fn enable_hops(&mut self, address: SocketAddr, key: ClusterKey) {
        self.hops = Some(Hops::new(address, key));
        self.fleet().enable_hops();
    }
}

/// # Updates from control replicas
impl Gateway {
    /// Applies the reply of the control replica at `control` to a sync request sent at `sent_at`.
    pub fn apply_sync(&self, control: &str, reply: SyncReply, sent_at: Millis) {
        if let Some(plan) = reply.plan {
            self.put_in_force(RouteTable::new(plan), control, sent_at);
        }
        let now = self.clock.now();
        let ids_to_close = self.fleet().apply_updates(&reply.endpoints, now);
        if !reply.endpoints.changed.is_empty() {
            self.endpoints_changed.notify(usize::MAX);
        }
        self.log_warm_ups();
        for id in ids_to_close {
            event(Level::Info, "endpoint_out", &[("endpoint", &id)]);
            self.connections.close_idle(&id);
        }
        self.apply_entries(control, reply.entries, reply.is_current);
        if let Some(rollouts) = reply.rollouts {
            self.set_rollouts(rollouts);
        }
        if let Some(evacuations) = reply.evacuations {
            self.apply_evacuations(evacuations);
        }
        if reply.is_current {
            self.set_leader_wall(reply.wall);
        }
        let incarnation = reply.endpoints.cursor.incarnation;
        self.apply_findings(control, incarnation, reply.findings, reply.is_current);
        if let Some(loads) = &reply.loads {
            self.fleet().apply_loads(loads);
        }
        if let Some(speeds) = &reply.speeds {
            self.fleet().apply_speeds(speeds, now);
            for _ in &speeds.changed {
                self.metrics.count_event("endpoint_speed_changed");
            }
        }
        self.learn_rate_limits(&reply.rate_statements.updates);
        if let Some(prefixes) = &reply.cached_prefixes {
            self.fleet().apply_cached_prefixes(&prefixes.updates, now);
        }
        // The evidence is renewed last: it wakes waiting requests, which must see the plan, the
        // endpoints and the roll-outs of the same reply.
        if reply.is_current && reply.version > PlanVersion::default() {
            lock(&self.evidence).confirm(reply.version, sent_at);
            self.plan_confirmed.notify(usize::MAX);
        }
    }
}

/// # Metrics
impl Gateway {
    /// Returns all metrics in the text exposition format.
    pub fn render_metrics(&self) -> String {
        let plan = self.route_table().map_or(0, |table| table.version().0);
        let age = self.evidence_age().map_or(u64::MAX, Millis::as_u64);
        let endpoints = self.fleet().accepting_count();
        let evacuated = self.fleet().evacuations().len();
        // The guard of a lock in the expression below is held until the end of the expression.
        let cold = self.fleet().cold_count(self.clock.now());
        self.metrics.render(&GaugeValues {
            in_flight: self.in_flight(),
            plan,
            evidence_age: age,
            endpoints,
            entries: self.caller_entries().len(),
            suspects: self.suspect_count(),
            unreachable: self.fleet().unreachable_count(),
            evacuated,
            cold,
            buffered: self.buffers.used(),
            ..GaugeValues::default()
        })
    }
}

/// # Endpoints
impl Gateway {
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Returns the endpoint that a request would get, or `None` if none is available.
    pub(super) fn pick(&self, request: &PlacementRequest<'_>) -> Option<SelectedEndpoint> {
        self.place(request, |fleet, query, now| fleet.pick(query, now))
    }

    /// Selects an endpoint for a request that is sent at once, or returns `None` if none is
    /// available.
    pub(super) fn reserve(&self, request: &PlacementRequest<'_>) -> Option<SelectedEndpoint> {
        self.place(request, Fleet::reserve)
    }

    fn place<F>(&self, request: &PlacementRequest<'_>, select: F) -> Option<SelectedEndpoint>
    where
        F: FnOnce(&mut Fleet, &PlacementQuery<'_>, Millis) -> Option<SelectedEndpoint>,
    {
        let PlacementRequest {
            service,
            excluded,
            homes,
            prompt,
            session_draw,
        } = *request;
        let now = self.clock.now();
        let rollouts = self.rollouts();
        let wall = self.leader_wall(now);
        let exposure = self.bounds.exposure.share;
        let eligibility = |release: &str| -> ReleaseEligibility {
            rollouts.eligibility(service, release, session_draw, wall, exposure)
        };
        let query = PlacementQuery {
            service,
            excluded,
            homes,
            regions: &self.regions,
            prompt,
            draw: rand::random(),
            local_data_centre: &self.data_centre,
            eligibility: &eligibility,
            entry_count: self.entry_count(),
            max_in_flight: self.max_per_endpoint(service),
        };
        select(&mut self.fleet(), &query, now)
    }

    /// Returns this entry's share of the connections allowed to an endpoint of a service, at least
    /// 2; or `u32::MAX` if the plan sets no limit.
    fn max_per_endpoint(&self, service: &ServiceId) -> u32 {
        let table = self.route_table();
        let connections = table
            .as_ref()
            .and_then(|table| table.services().get(service)?.connections);
        let entries = u32::try_from(self.entry_count()).unwrap_or(1);
        connections.map_or(u32::MAX, |limit| (limit / entries.max(1)).max(2))
    }

    /// Returns the roll-outs.
    pub fn rollouts(&self) -> Arc<RolloutTable> {
        let rollouts = self.rollouts.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&rollouts)
    }

    fn set_rollouts(&self, rollouts: RolloutTable) {
        let mut current = self
            .rollouts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if rollouts.changes() > current.changes() {
            *current = Arc::new(rollouts);
        }
    }

    /// Records the leader's wall clock, which all entries use as the time base of roll-outs.
    fn set_leader_wall(&self, wall: Millis) {
        let now = self.clock.now();
        let offset = wall.since(now);
        *lock(&self.wall_offset) = offset;
        self.fleet().set_wall_offset(offset, now);
    }

    fn leader_wall(&self, now: Millis) -> Millis {
        *lock(&self.wall_offset) + now
    }

    /// Returns the endpoints that stated to this entry that they are leaving, after departure number
    /// `number`.
    pub fn departures_since(&self, number: u64) -> UpdateBatch<Deregistration> {
        self.fleet().departures_since(number)
    }

    pub(super) fn stream_times(&self) -> MutexGuard<'_, UsualStreamTimes> {
        lock(&self.stream_times)
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, ArrivalBudget> {
        lock(&self.budget)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
