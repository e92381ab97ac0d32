//! Roles of the gateway as processes: started, served, stopped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use displaydoc::Display;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
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

use super::agent::Agent;
use super::controller::RolloutController;
use super::dialect::Dialect;
use super::hub::Hub;
use super::hub::HubWatch;
use super::operate::OperatorService;
use super::relay::Relay;
use super::rpc;
use super::server::Handler;
use super::server::serve_http;
use super::state::Bounds;
use super::state::Gateway;
use super::state::StopStage;
use crate::control;
use crate::control::Control;
use crate::control::ControlError;
use crate::control::MembershipPolicy;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::SystemClock;
use crate::observe::event;
use crate::observe::flush_log;
use crate::observe::set_up_traces;
use crate::peer::Peers;
use crate::peer::ServerContext;
use crate::peer::serve;
use crate::tasks::Tasks;

/// Time between two looks at what is still in flight during a planned stop.
const STOP_LOOK: Millis = Millis::new(20);
/// Time before the end of the grace at which a planned stop ends whatever is left.
const STOP_RESERVE: Millis = Millis::new(400);
/// Times the hold for which some callers keep an address.
const HOLD_FACTOR: u64 = 3;
/// Time that a new leader gets before the old one is gone.
const HAND_OVER: Millis = Millis::new(500);
/// Time between two looks at the settings, which may change without a signal.
const RELOAD_LOOK: Millis = Millis::new(2_000);
/// Time between two rounds of upkeep.
const UPKEEP: Millis = Millis::new(500);

/// Why a role cannot run.
#[derive(Debug, Display)]
pub enum GatewayError {
    /// cannot listen at {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// a thread or signal handler cannot be set up: {0}
    Thread(std::io::Error),
    /// {0}
    Control(ControlError),
    /// the methods cannot be set up: {0}
    Methods(jsonrpsee_core::RegisterMethodError),
    /// the metrics cannot be set up: {0}
    Metrics(String),
}

impl std::error::Error for GatewayError {}

impl From<ControlError> for GatewayError {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}

/// What every process of the gateway knows of itself at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Secret that all processes of the deployment share.
    pub secret: String,
    /// Addresses of control replicas, for the system's own processes.
    pub seeds: Vec<SocketAddr>,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// Makes the handler of a listener from what its process knows.
pub type MakeHandler<T> = Box<dyn FnOnce(Arc<T>) -> Arc<dyn Handler>>;

/// Reads the seeds anew when the settings may have changed.
pub type ReadSeeds = Arc<dyn Fn() -> Result<Vec<SocketAddr>, String> + Send + Sync>;

/// Role entry of the gateway.
pub struct EntryRole {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Headers of the site.
    pub dialect: Arc<dyn Dialect>,
    /// Further addresses with their handlers.
    pub listeners: Vec<(SocketAddr, MakeHandler<Gateway>)>,
    /// Reads the seeds anew when the settings may have changed.
    pub reload: ReadSeeds,
    /// Requests in a thousand that are traced beside those whose callers ask for it.
    pub traced: u32,
}

impl std::fmt::Debug for EntryRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryRole")
            .field("callers", &self.callers)
            .finish_non_exhaustive()
    }
}

/// Role control of the gateway.
pub struct ControlRole {
    /// Address for the system's own processes.
    pub peers: SocketAddr,
    /// Folder that the replica's state lives under.
    pub folder: PathBuf,
    /// Whether the deployment stands already, so that an empty folder only joins.
    pub joins: bool,
    /// Replicas that may be lost at once.
    pub tolerance: usize,
    /// Addresses with their handlers.
    pub listeners: Vec<(SocketAddr, MakeHandler<OperatorService>)>,
}

impl std::fmt::Debug for ControlRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlRole")
            .field("peers", &self.peers)
            .field("folder", &self.folder)
            .finish_non_exhaustive()
    }
}

/// Signal that concerns the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Stop,
    Reload,
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns why the entry cannot start.
pub fn run_entry(identity: Identity, role: EntryRole) -> Result<(), GatewayError> {
    let told = watch_signals().map_err(GatewayError::Thread)?;
    let tasks = Tasks::without_threads();
    let own = tasks.clone();
    tasks.run(async move {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let key = ClusterKey::new(&identity.secret);
        let peers = Arc::new(Peers::new(own.clone(), key));
        let mut gateway = Gateway::new(
            identity.vm.clone(),
            identity.data_centre.clone(),
            role.callers.to_string(),
            identity.bounds,
            role.dialect,
            clock,
            own.clone(),
        );
        set_up_traces(&gateway.traces);
        gateway.traced = role.traced;
        let gateway = Arc::new(gateway);
        let relay = Arc::new(Relay::new(Arc::clone(&gateway)));
        let listener = bind(role.callers).await?;
        own.spawn(serve_http(listener, relay, own.clone()));
        for (address, handler) in role.listeners {
            let listener = bind(address).await?;
            let handler = handler(Arc::clone(&gateway));
            own.spawn(serve_http(listener, handler, own.clone()));
        }
        let agent = Arc::new(Agent::new(Arc::clone(&gateway), peers));
        agent.learn(&texts(&identity.seeds));
        own.spawn(keep_up(Arc::clone(&gateway)));
        own.spawn(watch_settings(Arc::clone(&agent), Arc::clone(&role.reload)));
        event(
            Level::Info,
            "started",
            &[
                ("role", &"entry"),
                ("vm", &identity.vm),
                ("data_centre", &identity.data_centre),
            ],
        );
        while let Ok(Told::Reload) = told.recv().await {
            reload(&agent, &role.reload);
        }
        stop_entry(&gateway).await;
        Ok(())
    })
}

/// Takes over changed seeds, with or without a signal; nothing that runs is touched.
async fn watch_settings(agent: Arc<Agent>, read: ReadSeeds) {
    loop {
        Timer::after(RELOAD_LOOK.to_duration()).await;
        match read() {
            Ok(seeds) => agent.learn(&texts(&seeds)),
            Err(error) => event(Level::Warn, "settings_unread", &[("error", &error)]),
        }
    }
}

fn reload(agent: &Arc<Agent>, read: &ReadSeeds) {
    match read() {
        Ok(seeds) => {
            event(Level::Info, "reloaded", &[("seeds", &seeds.len())]);
            agent.learn(&texts(&seeds));
        }
        Err(error) => event(Level::Warn, "reload_failed", &[("error", &error)]),
    }
}

/// Stops an entry without cutting off a request.
async fn stop_entry(gateway: &Arc<Gateway>) {
    let begun = gateway.clock.now();
    let end = begun + gateway.bounds.grace.since(STOP_RESERVE);
    event(
        Level::Info,
        "stopping",
        &[("in_flight", &gateway.in_flight())],
    );
    gateway.set_stop(StopStage::Announced);
    let hold = Millis::new(gateway.bounds.hold.as_u64() * HOLD_FACTOR);
    let hold = hold.min(Millis::new(gateway.bounds.grace.as_u64() / 2));
    Timer::after(hold.to_duration()).await;
    gateway.set_stop(StopStage::Closed);
    event(
        Level::Info,
        "closed",
        &[("in_flight", &gateway.in_flight())],
    );
    while gateway.in_flight() > 0 && gateway.clock.now() < end {
        Timer::after(STOP_LOOK.to_duration()).await;
    }
    // The last answers must leave the sockets too.
    Timer::after(STOP_LOOK.to_duration() * 4).await;
    event(
        Level::Info,
        "stopped",
        &[("in_flight", &gateway.in_flight())],
    );
    flush_log();
}

async fn keep_up(gateway: Arc<Gateway>) {
    let mut was_current = false;
    loop {
        Timer::after(UPKEEP.to_duration()).await;
        gateway.channels.expire(gateway.clock.now());
        let is_current = gateway.is_current();
        if is_current != was_current {
            was_current = is_current;
            let age = gateway.evidence_age().unwrap_or_default();
            event(
                Level::Info,
                "evidence",
                &[("current", &is_current), ("age", &age)],
            );
        }
    }
}

/// Runs a control replica until a signal stops it.
///
/// # Errors
///
/// Returns why the replica cannot start.
pub fn run_control(identity: &Identity, role: ControlRole) -> Result<(), GatewayError> {
    let told = watch_signals().map_err(GatewayError::Thread)?;
    let tasks = Tasks::without_threads();
    let own = tasks.clone();
    tasks.run(async move {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let key = ClusterKey::new(&identity.secret);
        let peers = Arc::new(Peers::new(own.clone(), key.clone()));
        let listener = bind(role.peers).await?;
        let hub = Arc::new(Hub::new(Arc::clone(&clock)));
        let control = start_replica(identity, &role, &peers, &clock, &hub)?;
        let local = rpc::Local {
            control: control.clone(),
            hub: Arc::clone(&hub),
        };
        let serving = ServerContext {
            tasks: own.clone(),
            key,
            module: rpc::module(local).map_err(GatewayError::Methods)?,
            control: Some(control.clone()),
        };
        own.spawn(serve(listener, serving));
        let operator = Arc::new(OperatorService::new(
            Arc::clone(&hub),
            role.peers.to_string(),
            Arc::clone(&peers),
            by_vm(&identity.seeds),
        ));
        for (address, handler) in role.listeners {
            let listener = bind(address).await?;
            let handler = handler(Arc::clone(&operator));
            own.spawn(serve_http(listener, handler, own.clone()));
        }
        let controller = RolloutController {
            hub,
            control: control.clone(),
            clock,
            exposure: identity.bounds.exposure,
        };
        own.spawn(controller.run());
        own.spawn(follow_members(operator));
        event(
            Level::Info,
            "started",
            &[("role", &"control"), ("vm", &identity.vm)],
        );
        while let Ok(Told::Reload) = told.recv().await {
            event(Level::Info, "reloaded", &[]);
        }
        event(Level::Info, "stopping", &[]);
        if let Err(error) = control.transfer_leadership().await {
            event(Level::Error, "hand_over_failed", &[("error", &error)]);
        }
        Timer::after(HAND_OVER.to_duration()).await;
        event(Level::Info, "stopped", &[]);
        flush_log();
        Ok(())
    })
}

fn start_replica(
    identity: &Identity,
    role: &ControlRole,
    peers: &Arc<Peers>,
    clock: &Arc<dyn Clock>,
    hub: &Arc<Hub>,
) -> Result<Control, GatewayError> {
    let metrics = Metrics::new(None, &identity.vm)
        .map_err(|error| GatewayError::Metrics(error.to_string()))?;
    let control = control::start(control::Start {
        vm: vm_at(&role.peers),
        address: role.peers.to_string(),
        folder: &role.folder,
        founders: by_vm(&identity.seeds),
        peers: Arc::clone(peers),
        clock: Arc::clone(clock),
        metrics: Arc::new(metrics),
        membership: MembershipPolicy {
            voters: Some(2 * role.tolerance + 1),
            joins: role.joins,
        },
        observer: Some(Box::new(HubWatch {
            hub: Arc::clone(hub),
        })),
    });
    Ok(control?)
}

/// Keeps the way to the leader up to date with the replicas that the log names.
async fn follow_members(operator: Arc<OperatorService>) {
    loop {
        Timer::after(UPKEEP.to_duration()).await;
        let controls = operator.hub.controls();
        let parsed = controls.iter().filter_map(|address| address.parse().ok());
        let controls: Vec<SocketAddr> = parsed.collect();
        operator.learn(&by_vm(&controls));
    }
}

/// Returns the name of the replica at an address; replicas know each other by nothing else.
fn vm_at(address: &SocketAddr) -> VmId {
    // An address consists of signs that a name may hold, and is shorter than the longest name.
    VmId::new(address.to_string()).unwrap_or_else(|error| unreachable!("{error}"))
}

fn by_vm(addresses: &[SocketAddr]) -> BTreeMap<VmId, String> {
    let pairs = addresses.iter().map(|own| (vm_at(own), own.to_string()));
    pairs.collect()
}

fn texts(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| GatewayError::Listen(address, error))
}

/// Returns a channel that tells of each signal.
fn watch_signals() -> std::io::Result<channel::Receiver<Told>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (telling, told) = channel::unbounded();
    let watch = move || {
        for signal in signals.forever() {
            event(Level::Info, "signal", &[("number", &signal)]);
            let told = if signal == SIGHUP {
                Told::Reload
            } else {
                Told::Stop
            };
            if telling.try_send(told).is_err() {
                return;
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watch)?;
    Ok(told)
}
