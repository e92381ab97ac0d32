//! The daemon: starts the roles that the settings name, and shuts them down gracefully.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use displaydoc::Display;
use jsonrpsee_core::server::RpcModule;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::clock::SteadyClock;
use papayatray_wire::link::ClusterKey;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use smol::Timer;
use smol::channel;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::control;
use crate::control::Control;
use crate::control::ControlError;
use crate::control::dispatch_orders;
use crate::entry::Entry;
use crate::entry::EntryParameters;
use crate::entry::ShutdownStage;
use crate::http::listen;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::SystemClock;
use crate::observe::Traces;
use crate::observe::event;
use crate::observe::set_up_log;
use crate::observe::set_up_traces;
use crate::observe::wait_for_log_writes;
use crate::peer::Peers;
use crate::peer::ServerContext;
use crate::peer::serve;
use crate::settings::Settings;
use crate::tasks::Tasks;

mod methods;

use self::methods::RpcContext;

/// Interval between checks for a requested drain, and for the end of a running one.
const DRAIN_POLL_INTERVAL: Millis = Millis::new(50);
/// Time for the other entries to learn that this one is draining, so that they stop listing it.
const SHUTDOWN_ANNOUNCE_DELAY: Millis = Millis::from_secs(2);
/// Time for the new leader to take over before this process ends.
const LEADERSHIP_TRANSFER_DELAY: Millis = Millis::new(500);

/// Reason why the daemon cannot run.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot set up logging: {0}
    Log(String),
    /// cannot set up metrics: {0}
    Metrics(String),
    /// {key} = {address}: cannot listen at this address: {cause}
    Listen {
        /// Key of the address in the settings.
        key: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// cannot start a thread: {0}
    Thread(std::io::Error),
    /// {0}
    Control(ControlError),
    /// cannot register the RPC methods: {0}
    Methods(String),
}

impl std::error::Error for DaemonError {}

impl From<ControlError> for DaemonError {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}

impl From<jsonrpsee_core::RegisterMethodError> for DaemonError {
    fn from(error: jsonrpsee_core::RegisterMethodError) -> Self {
        Self::Methods(error.to_string())
    }
}

/// Runs the daemon until a signal or an operator stops it.
///
/// # Errors
///
/// Returns why the daemon cannot start.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let file = &settings.file;
    let level = file.log.level.clone().unwrap_or_else(|| "info".to_owned());
    set_up_log(&file.vm, &level).map_err(|error| DaemonError::Log(error.to_string()))?;
    let traces = Traces::new(file.vm.clone());
    set_up_traces(&traces);
    let stop = watch_signals().map_err(DaemonError::Thread)?;
    let tasks = Tasks::new(file.threads).map_err(DaemonError::Thread)?;
    smol::block_on(async {
        let roles = Roles::start(settings, tasks, traces).await?;
        roles.run(stop).await;
        Ok(())
    })
}

/// Returns a channel that receives a message for each SIGTERM and SIGINT.
fn watch_signals() -> std::io::Result<channel::Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, stop) = channel::unbounded();
    let watch = move || {
        for signal in signals.forever() {
            event(Level::Info, "signal", &[("number", &signal)]);
            let _ = sender.try_send(());
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watch)?;
    Ok(stop)
}

/// Roles that this process runs.
#[derive(Debug)]
struct Roles {
    entry: Option<Arc<Entry>>,
    control: Option<Control>,
}

impl Roles {
    async fn start(settings: Settings, tasks: Tasks, traces: Traces) -> Result<Self, DaemonError> {
        let file = settings.file.clone();
        let metrics = Metrics::new(file.metrics.address, &file.vm);
        let metrics = Arc::new(metrics.map_err(|error| DaemonError::Metrics(error.to_string()))?);
        let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new(SystemClock::default()));
        let key = ClusterKey::new(file.cluster_secret.expose());
        let peers = Arc::new(Peers::new(tasks.clone(), key.clone()));
        // Sockets are bound first, so that an address conflict shows before any state is touched.
        let peer_listener =
            bind("peer_address", file.peer_bind.unwrap_or(file.peer_address)).await?;
        let caller_listener = match &file.entry {
            Some(entry) => Some(bind("entry.caller_address", entry.caller_address).await?),
            None => None,
        };
        let replicas = file.replicas.iter();
        let founders: BTreeMap<_, _> = replicas
            .map(|(vm, address)| (vm.clone(), address.to_string()))
            .collect();
        let control = match &file.control {
            Some(settings) => Some(control::start(control::ControlParameters {
                vm: file.vm.clone(),
                address: file.peer_address.to_string(),
                folder: &settings.data_folder,
                founders,
                peers: Arc::clone(&peers),
                clock: Arc::clone(&clock),
                metrics: Arc::clone(&metrics),
                membership: control::MembershipPolicy::default(),
                observer: None,
            })?),
            None => None,
        };
        let entry = file.entry.clone().map(|entry_settings| {
            Entry::start(EntryParameters {
                daemon_settings: settings.clone(),
                entry_settings,
                tasks: tasks.clone(),
                peers,
                clock,
                metrics,
                key: key.clone(),
            })
        });
        let rpc_context = RpcContext {
            control: control.clone(),
            entry: entry.clone(),
            traces,
        };
        let module = methods::register_methods(rpc_context)?;
        let context = ServerContext {
            tasks: tasks.clone(),
            key,
            module,
            control: control.clone(),
        };
        tasks.spawn(serve(peer_listener, context));
        if let (Some(entry), Some(control)) = (&entry, &control) {
            tasks.spawn(dispatch_orders(Arc::clone(entry), control.clone()));
        }
        if let (Some(entry), Some(listener)) = (&entry, caller_listener) {
            tasks.spawn(listen(Arc::clone(entry), listener));
        }
        event(
            Level::Info,
            "started",
            &[("vm", &file.vm), ("data_centre", &file.data_centre)],
        );
        Ok(Self { entry, control })
    }

    async fn run(self, stop: channel::Receiver<()>) {
        let signalled = async {
            let _ = stop.recv().await;
        };
        signalled.or(self.wait_drain_requested()).await;
        event(Level::Info, "stopping", &[]);
        if let Some(entry) = &self.entry {
            drain(entry).await;
        }
        if let Some(control) = &self.control {
            let _ = control.transfer_leadership().await;
            Timer::after(LEADERSHIP_TRANSFER_DELAY.to_duration()).await;
        }
        event(Level::Info, "stopped", &[]);
        wait_for_log_writes();
    }

    /// Waits until an operator requests a graceful shutdown.
    async fn wait_drain_requested(&self) {
        loop {
            Timer::after(DRAIN_POLL_INTERVAL.to_duration()).await;
            if self
                .entry
                .as_ref()
                .is_some_and(|entry| entry.is_drain_requested())
            {
                return;
            }
        }
    }
}

/// Drains an entry: directs callers to others, then waits for the in-flight requests to end.
async fn drain(entry: &Entry) {
    entry.set_shutdown_stage(ShutdownStage::Draining);
    // Callers may cache this entry's address for this long, so their requests must still be served.
    let drain_time = entry.settings.hold.0 + SHUTDOWN_ANNOUNCE_DELAY;
    Timer::after(drain_time.to_duration()).await;
    entry.set_shutdown_stage(ShutdownStage::Closed);
    event(
        Level::Info,
        "closed",
        &[("in_flight", &entry.in_flight.count())],
    );
    loop {
        Timer::after(DRAIN_POLL_INTERVAL.to_duration()).await;
        if entry.in_flight.count() == 0 {
            // Leave time for the last responses to be written to their sockets.
            Timer::after(DRAIN_POLL_INTERVAL.to_duration() * 4).await;
            return;
        }
    }
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| DaemonError::Listen {
        key,
        address,
        cause,
    })
}

/// RPC methods that other processes call.
type Methods = RpcModule<RpcContext>;
