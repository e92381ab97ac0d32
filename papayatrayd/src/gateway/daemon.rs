//! Start-up, main loop and graceful shutdown of a process of each role: entry and control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use displaydoc::Display;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::clock::SteadyClock;
use papayatray_core::gateway::homes::Regions;
use papayatray_core::id::DataCentre;
use papayatray_core::id::VmId;
use papayatray_wire::link::ClusterKey;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use smol::Timer;
use smol::channel;
use smol::net::TcpListener;

use super::buffers::BufferPool;
use super::control_state::ControlState;
use super::control_state::ControlStateObserver;
use super::controller::RolloutController;
use super::dialect::Dialect;
use super::hop::HopServer;
use super::levels::LevelController;
use super::operator::OperatorService;
use super::relay::Relay;
use super::rpc;
use super::server::Handler;
use super::server::serve_http;
use super::server::serve_peers;
use super::state::Bounds;
use super::state::Gateway;
use super::state::ShutdownStage;
use super::sync_client::SyncClient;
use crate::control;
use crate::control::Control;
use crate::control::ControlError;
use crate::control::MembershipPolicy;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::SystemClock;
use crate::observe::event;
use crate::observe::set_up_traces;
use crate::observe::wait_for_log_writes;
use crate::peer::Peers;
use crate::peer::ServerContext;
use crate::peer::serve;
use crate::tasks::Tasks;

/// Interval at which a shutdown checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Millis = Millis::new(20);
/// Part of [`Bounds::grace`] reserved for the last steps of a shutdown; the wait for requests in
/// flight ends this long before the shutdown must be complete.
const SHUTDOWN_MARGIN: Millis = Millis::new(400);
/// Multiple of [`Bounds::hold`] for which a draining entry keeps accepting connections, as some
/// callers cache addresses longer than they should.
const ADDRESS_HOLD_FACTOR: u64 = 3;
/// Time between a leadership transfer and the end of the process, so that the new leader can start.
const LEADERSHIP_TRANSFER_TIME: Millis = Millis::new(500);
/// Interval at which the settings file is read again, as it may change without a signal.
const SETTINGS_POLL_INTERVAL: Millis = Millis::new(2_000);
/// Interval at which an entry closes expired idle connections, and at which a control replica reads
/// the members from the replicated log.
const MAINTENANCE_INTERVAL: Millis = Millis::new(500);

/// Reason why a role cannot start.
#[derive(Debug, Display)]
pub enum GatewayError {
    /// cannot listen at {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot start a thread or signal handler: {0}
    Thread(std::io::Error),
    /// {0}
    Control(ControlError),
    /// cannot register the RPC methods: {0}
    Methods(jsonrpsee_core::RegisterMethodError),
    /// cannot set up the metrics: {0}
    Metrics(String),
}

impl std::error::Error for GatewayError {}

impl From<ControlError> for GatewayError {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}

/// Settings that every process of the deployment needs, whatever its role.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Id of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Secret shared by all processes of the deployment, which authenticates their connections.
    pub secret: String,
    /// Peer addresses of control replicas to contact first; the replicated log lists all of them.
    pub seeds: Vec<SocketAddr>,
    /// Limits and intervals of the deployment.
    pub bounds: Bounds,
    /// Memory that the process may use in bytes, if it is known.
    pub memory: Option<u64>,
}

/// Constructor of a listener's handler from the state of its process.
pub type MakeHandler<T> = Box<dyn FnOnce(Arc<T>) -> Arc<dyn Handler>>;

/// Reads the seeds from the settings again, as they may have changed.
pub type ReadSeeds = Arc<dyn Fn() -> Result<Vec<SocketAddr>, String> + Send + Sync>;

/// Configuration of the entry role.
pub struct EntryRole {
    /// Address on which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Address on which attempts of other entries are accepted; without one, this entry carries none and
    /// sends none through others.
    pub peer_address: Option<SocketAddr>,
    /// Header conventions of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Further addresses to listen on, with the constructors of their handlers.
    pub listeners: Vec<(SocketAddr, MakeHandler<Gateway>)>,
    /// Reads the seeds from the settings again, on SIGHUP and at regular intervals.
    pub read_seeds: ReadSeeds,
    /// Requests per thousand that are traced in addition to those whose callers sampled them.
    pub traced_permille: u32,
    /// Processor share in thousandths of a core, or 0 if it is not known.
    pub size: u32,
    /// Regions of the data centres.
    pub regions: Regions,
}

impl std::fmt::Debug for EntryRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryRole")
            .field("callers", &self.caller_address)
            .finish_non_exhaustive()
    }
}

/// Configuration of the control role.
pub struct ControlRole {
    /// Address on which other processes of the deployment connect.
    pub peer_address: SocketAddr,
    /// Folder in which the replica stores its state.
    pub folder: PathBuf,
    /// Whether the deployment exists already: a replica with an empty folder then joins it, and
    /// never founds a new one.
    pub joins_existing: bool,
    /// Number of replicas whose simultaneous loss must be tolerated.
    pub tolerance: usize,
    /// Addresses to listen on, with the constructors of their handlers.
    pub listeners: Vec<(SocketAddr, MakeHandler<OperatorService>)>,
}

impl std::fmt::Debug for ControlRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlRole")
            .field("peers", &self.peer_address)
            .field("folder", &self.folder)
            .finish_non_exhaustive()
    }
}

/// What a received signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    Stop,
    Reload,
}

/// Runs an entry until SIGTERM or SIGINT; SIGHUP reloads the settings.
///
/// # Errors
///
/// Returns the reason why the entry cannot start.
pub fn run_entry(identity: Identity, role: EntryRole) -> Result<(), GatewayError> {
    let signals = watch_signals().map_err(GatewayError::Thread)?;
    // All tasks run on this thread, while `tasks.run` waits for the role to stop.
    let tasks = Tasks::without_threads();
    // Handle to the same executor, for tasks that start others.
    let spawner = tasks.clone();
    tasks.run(async move {
        let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new(SystemClock::default()));
        let key = ClusterKey::new(&identity.secret);
        // State of this entry.
        let mut gateway = Gateway::new(
            identity.vm.clone(),
            identity.data_centre.clone(),
            role.caller_address.to_string(),
            identity.bounds,
            role.dialect,
            clock,
            spawner.clone(),
        );
        set_up_traces(&gateway.traces);
        gateway.traced_permille = role.traced_permille;
        gateway.size = role.size;
        gateway.regions = role.regions;
        gateway.buffers = Arc::new(BufferPool::of_process(identity.memory));
        if let Some(address) = role.peer_address {
            gateway.enable_hops(address, key.clone());
        }
        let gateway = Arc::new(gateway);
        if let Some(address) = role.peer_address {
            let listener = bind(address).await?;
            let hop_server = Arc::new(HopServer::new(Arc::clone(&gateway)));
            spawner.spawn(serve_peers(
                listener,
                hop_server,
                key.clone(),
                spawner.clone(),
            ));
            spawner.spawn(Arc::clone(&gateway).watch_reach());
        }
        let relay = Arc::new(Relay::new(Arc::clone(&gateway)));
        let listener = bind(role.caller_address).await?;
        spawner.spawn(serve_http(listener, relay, spawner.clone()));
        for (address, make_handler) in role.listeners {
            let listener = bind(address).await?;
            let handler = make_handler(Arc::clone(&gateway));
            spawner.spawn(serve_http(listener, handler, spawner.clone()));
        }
        // Receives the plan and the registered endpoints from the control replicas.
        let sync_client = Arc::new(SyncClient::new(Arc::clone(&gateway), key));
        sync_client.add_replicas(&to_strings(&identity.seeds));
        spawner.spawn(maintain(Arc::clone(&gateway)));
        spawner.spawn(watch_settings(
            Arc::clone(&sync_client),
            Arc::clone(&role.read_seeds),
        ));
        event(
            Level::Info,
            "started",
            &[
                ("role", &"entry"),
                ("vm", &identity.vm),
                ("data_centre", &identity.data_centre),
            ],
        );
        while let Ok(SignalAction::Reload) = signals.recv().await {
            reload_seeds(&sync_client, &role.read_seeds);
        }
        stop_entry(&gateway).await;
        Ok(())
    })
}

/// Reads the settings at regular intervals and adds new seeds; those removed from the settings stay
/// in use.
async fn watch_settings(sync_client: Arc<SyncClient>, read: ReadSeeds) {
    loop {
        Timer::after(SETTINGS_POLL_INTERVAL.to_duration()).await;
        match read() {
            Ok(seeds) => sync_client.add_replicas(&to_strings(&seeds)),
            Err(error) => event(Level::Warn, "settings_unread", &[("error", &error)]),
        }
    }
}

fn reload_seeds(sync_client: &Arc<SyncClient>, read: &ReadSeeds) {
    match read() {
        Ok(seeds) => {
            event(Level::Info, "reloaded", &[("seeds", &seeds.len())]);
            sync_client.add_replicas(&to_strings(&seeds));
        }
        Err(error) => event(Level::Warn, "reload_failed", &[("error", &error)]),
    }
}

/// Shuts an entry down gracefully.
///
/// The entry leaves the list of entries, then closes its listener, then waits for the requests in
/// flight.
async fn stop_entry(gateway: &Arc<Gateway>) {
    let started_at = gateway.clock.now();
    // `since` subtracts the durations, with zero as the minimum.
    let end = started_at + gateway.bounds.grace.since(SHUTDOWN_MARGIN);
    event(
        Level::Info,
        "stopping",
        &[("in_flight", &gateway.in_flight())],
    );
    gateway.set_shutdown_stage(ShutdownStage::Draining);
    let drain_time = Millis::new(gateway.bounds.hold.as_u64() * ADDRESS_HOLD_FACTOR);
    // At least half of the time for the shutdown is left for the steps after the drain.
    let drain_time = drain_time.min(Millis::new(gateway.bounds.grace.as_u64() / 2));
    Timer::after(drain_time.to_duration()).await;
    gateway.set_shutdown_stage(ShutdownStage::Closed);
    event(
        Level::Info,
        "closed",
        &[("in_flight", &gateway.in_flight())],
    );
    // Idle connections have been closed, and busy ones end with their response.
    while gateway.is_busy() && gateway.clock.now() < end {
        Timer::after(DRAIN_POLL_INTERVAL.to_duration()).await;
    }
    // Lets the last responses be written to their sockets.
    Timer::after(DRAIN_POLL_INTERVAL.to_duration() * 4).await;
    event(
        Level::Info,
        "stopped",
        &[("in_flight", &gateway.in_flight())],
    );
    wait_for_log_writes();
}

/// Closes expired idle connections, and logs when the evidence that the entry has the newest plan
/// becomes too old to serve requests that need a key, or recent enough again.
async fn maintain(gateway: Arc<Gateway>) {
    let mut was_fresh = false;
    loop {
        Timer::after(MAINTENANCE_INTERVAL.to_duration()).await;
        gateway.connections.evict_expired(gateway.clock.now());
        gateway.evaluate_crashes();
        let is_fresh = gateway.has_fresh_evidence();
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            let age = gateway.evidence_age().unwrap_or_default();
            event(
                Level::Info,
                "evidence",
                &[("current", &is_fresh), ("age", &age)],
            );
        }
    }
}

/// Runs a control replica until SIGTERM or SIGINT; SIGHUP is only logged.
///
/// # Errors
///
/// Returns the reason why the replica cannot start.
pub fn run_control(identity: &Identity, role: ControlRole) -> Result<(), GatewayError> {
    let signals = watch_signals().map_err(GatewayError::Thread)?;
    // All tasks run on this thread, while `tasks.run` waits for the role to stop.
    let tasks = Tasks::without_threads();
    // Handle to the same executor, for tasks that start others.
    let spawner = tasks.clone();
    tasks.run(async move {
        let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new(SystemClock::default()));
        let key = ClusterKey::new(&identity.secret);
        let peers = Arc::new(Peers::new(spawner.clone(), key.clone()));
        let listener = bind(role.peer_address).await?;
        let state = Arc::new(ControlState::new(
            Arc::clone(&clock),
            Some(identity.data_centre.clone()),
        ));
        let control = start_replica(identity, &role, &peers, &clock, &state)?;
        let rpc_context = rpc::RpcContext {
            control: control.clone(),
            state: Arc::clone(&state),
        };
        let server_context = ServerContext {
            tasks: spawner.clone(),
            key,
            module: rpc::module(rpc_context).map_err(GatewayError::Methods)?,
            control: Some(control.clone()),
        };
        spawner.spawn(serve(listener, server_context));
        let operator = Arc::new(OperatorService::new(
            Arc::clone(&state),
            role.peer_address.to_string(),
            Arc::clone(&peers),
            replicas_by_vm(&identity.seeds),
            Arc::new(BufferPool::of_process(identity.memory)),
        ));
        for (address, make_handler) in role.listeners {
            let listener = bind(address).await?;
            let handler = make_handler(Arc::clone(&operator));
            spawner.spawn(serve_http(listener, handler, spawner.clone()));
        }
        let levels = LevelController::new(
            Arc::clone(&state),
            control.clone(),
            Arc::clone(&peers),
            Arc::clone(&clock),
        );
        spawner.spawn(Arc::new(levels).run());
        let controller = RolloutController {
            state,
            control: control.clone(),
            clock,
            max_exposure: identity.bounds.exposure.share,
        };
        spawner.spawn(controller.run());
        spawner.spawn(follow_members(operator));
        event(
            Level::Info,
            "started",
            &[("role", &"control"), ("vm", &identity.vm)],
        );
        while let Ok(SignalAction::Reload) = signals.recv().await {
            event(Level::Info, "reloaded", &[]);
        }
        event(Level::Info, "stopping", &[]);
        if let Err(error) = control.transfer_leadership().await {
            event(Level::Error, "hand_over_failed", &[("error", &error)]);
        }
        Timer::after(LEADERSHIP_TRANSFER_TIME.to_duration()).await;
        event(Level::Info, "stopped", &[]);
        wait_for_log_writes();
        Ok(())
    })
}

fn start_replica(
    identity: &Identity,
    role: &ControlRole,
    peers: &Arc<Peers>,
    clock: &Arc<dyn Clock>,
    state: &Arc<ControlState>,
) -> Result<Control, GatewayError> {
    // Without a collector's address, `StatsD` metrics are discarded.
    let metrics = Metrics::new(None, &identity.vm)
        .map_err(|error| GatewayError::Metrics(error.to_string()))?;
    let control = control::start(control::ControlParameters {
        vm: replica_vm(&role.peer_address),
        address: role.peer_address.to_string(),
        folder: &role.folder,
        founders: replicas_by_vm(&identity.seeds),
        peers: Arc::clone(peers),
        clock: Arc::clone(clock),
        metrics: Arc::new(metrics),
        membership: MembershipPolicy {
            voters: Some(2 * role.tolerance + 1),
            joins_existing: role.joins_existing,
        },
        observer: Some(Box::new(ControlStateObserver {
            state: Arc::clone(state),
        })),
    });
    Ok(control?)
}

/// Keeps the control replicas to which operators' requests are sent equal to the members in the
/// replicated log.
async fn follow_members(operator: Arc<OperatorService>) {
    loop {
        Timer::after(MAINTENANCE_INTERVAL.to_duration()).await;
        let controls = operator.state.controls();
        let parsed = controls.iter().filter_map(|address| address.parse().ok());
        let controls: Vec<SocketAddr> = parsed.collect();
        operator.update_replicas(&replicas_by_vm(&controls));
    }
}

/// Returns the id of the replica at an address.
///
/// Replicas are identified by a [`VmId`], but the seeds are only addresses, so the text of the
/// address serves as the id.
fn replica_vm(address: &SocketAddr) -> VmId {
    // An IPv4 address with its port only has characters that an id may contain, and is shorter
    // than the maximum length of an id.
    VmId::new(address.to_string()).unwrap_or_else(|error| unreachable!("{error}"))
}

fn replicas_by_vm(addresses: &[SocketAddr]) -> BTreeMap<VmId, String> {
    let pairs = addresses
        .iter()
        .map(|address| (replica_vm(address), address.to_string()));
    pairs.collect()
}

fn to_strings(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| GatewayError::Listen(address, error))
}

/// Starts a thread that forwards each signal to the returned channel.
fn watch_signals() -> std::io::Result<channel::Receiver<SignalAction>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = channel::unbounded();
    let watch = move || {
        for signal in signals.forever() {
            event(Level::Info, "signal", &[("number", &signal)]);
            let action = if signal == SIGHUP {
                SignalAction::Reload
            } else {
                SignalAction::Stop
            };
            if sender.try_send(action).is_err() {
                return;
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watch)?;
    Ok(receiver)
}
