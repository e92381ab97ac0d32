//! The daemon: roles started, served and stopped as the settings say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use displaydoc::Display;
use jsonrpsee_core::server::RpcModule;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
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
use crate::entry::Start;
use crate::entry::Stop;
use crate::http::listen;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::SystemClock;
use crate::observe::Traces;
use crate::observe::event;
use crate::observe::flush_log;
use crate::observe::set_up_log;
use crate::observe::set_up_traces;
use crate::peer::Peers;
use crate::peer::Serving;
use crate::peer::serve;
use crate::settings::Settings;
use crate::tasks::Tasks;

mod methods;

use self::methods::Local;

/// Time between two looks at what is still in flight during a planned stop.
const STOP_LOOK: Millis = Millis::new(50);
/// Time that the other processes get to learn of a stop.
const STOP_SPREAD: Millis = Millis::from_secs(2);
/// Time that a new leader gets before the old one is gone.
const HAND_OVER: Millis = Millis::new(500);

/// Why the daemon cannot run.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// the logs cannot be set up: {0}
    Log(String),
    /// the metrics cannot be set up: {0}
    Metrics(String),
    /// {key} = {address}: cannot listen there: {cause}
    Listen {
        /// Key of the address in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// a thread cannot be started: {0}
    Thread(std::io::Error),
    /// {0}
    Control(ControlError),
    /// the methods cannot be set up: {0}
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

/// Runs the daemon until it is stopped by a signal or an operator.
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

/// Returns a channel that tells of each signal to stop.
fn watch_signals() -> std::io::Result<channel::Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (told, stop) = channel::unbounded();
    let watch = move || {
        for signal in signals.forever() {
            event(Level::Info, "signal", &[("number", &signal)]);
            let _ = told.try_send(());
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watch)?;
    Ok(stop)
}

/// Roles that run.
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
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let key = ClusterKey::new(file.cluster_secret.expose());
        let peers = Arc::new(Peers::new(tasks.clone(), key.clone()));
        // All sockets first: a clash of addresses shows before any state is touched.
        let peer_listener =
            bind("peer_address", file.peer_bind.unwrap_or(file.peer_address)).await?;
        let caller_listener = match &file.entry {
            Some(own) => Some(bind("entry.caller_address", own.caller_address).await?),
            None => None,
        };
        let replicas = file.replicas.iter();
        let founders: BTreeMap<_, _> = replicas
            .map(|(vm, address)| (vm.clone(), address.to_string()))
            .collect();
        let control = match &file.control {
            Some(own) => Some(control::start(control::Start {
                vm: file.vm.clone(),
                address: file.peer_address.to_string(),
                folder: &own.data_folder,
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
            Entry::start(Start {
                settings: settings.clone(),
                entry_settings,
                tasks: tasks.clone(),
                peers,
                clock,
                metrics,
                key: key.clone(),
            })
        });
        let local = Local {
            control: control.clone(),
            entry: entry.clone(),
            traces,
        };
        let module = methods::module(local)?;
        let serving = Serving {
            tasks: tasks.clone(),
            key,
            module,
            control: control.clone(),
        };
        tasks.spawn(serve(peer_listener, serving));
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
        signalled.or(self.kicked()).await;
        event(Level::Info, "stopping", &[]);
        if let Some(entry) = &self.entry {
            drain(entry).await;
        }
        if let Some(control) = &self.control {
            let _ = control.transfer_leadership().await;
            Timer::after(HAND_OVER.to_duration()).await;
        }
        event(Level::Info, "stopped", &[]);
        flush_log();
    }

    /// Waits until an operator asks for a planned stop.
    async fn kicked(&self) {
        loop {
            Timer::after(STOP_LOOK.to_duration()).await;
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

/// Stops an entry without cutting off a request.
async fn drain(entry: &Entry) {
    entry.set_stop(Stop::Announced);
    // Callers may hold the address for this long, and must be served if they come.
    let hold = entry.settings.hold.0 + STOP_SPREAD;
    Timer::after(hold.to_duration()).await;
    entry.set_stop(Stop::Closed);
    event(
        Level::Info,
        "closed",
        &[("in_flight", &entry.in_flight.count())],
    );
    loop {
        Timer::after(STOP_LOOK.to_duration()).await;
        if entry.in_flight.count() == 0 {
            // The last answers must leave the sockets too.
            Timer::after(STOP_LOOK.to_duration() * 4).await;
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

/// Module of the methods that other processes call.
type Methods = RpcModule<Local>;
