//! Site on loopback: writes settings files, and starts and stops daemons as child processes.

use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use http_types::Method;

use crate::client::call;

/// Bearer token of a site's operator.
pub const OPERATOR_KEY: &str = "operator-key-of-a-site-on-loopback";
/// Bearer token of a site's platform, with which endpoints are announced.
pub const PLATFORM_KEY: &str = "platform-key-of-a-site-on-loopback";
/// Cluster secret of a site.
const CLUSTER_SECRET: &str = "secret of a site on loopback";
/// Number of control replicas of a site.
const CONTROL_REPLICAS: usize = 3;
/// First port for daemons; the ephemeral ports of the system start at 32,768.
const FIRST_PORT: u16 = 12_000;
/// Number of ports for daemons; the last one is below 32,768.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports that processes with consecutive ids try.
///
/// With it, processes that run at the same time do not compete for the same ports.
const PORT_STRIDE: u32 = 211;
/// Interval at which awaited conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Errors of a site.
#[derive(Debug, Display)]
pub enum SiteError {
    /// cannot set up or start {0}: {1}
    Io(String, io::Error),
    /// the entry of {0} was not ready within the time limit
    NotReady(String),
}

impl std::error::Error for SiteError {}

/// Program that runs a daemon: its path and the arguments before the settings file.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Arguments before the settings file.
    pub arguments: Vec<String>,
}

/// VM of a site.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address on which the daemon listens for other daemons.
    pub peer_address: SocketAddr,
    /// Address of a relay through which other daemons connect, if there is one.
    pub relay: Option<SocketAddr>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the daemon has the role `control`, whose replica uses the data folder.
    pub is_control: bool,
    /// Process of the daemon, from its start until its end is observed.
    child: Option<Child>,
}

impl Vm {
    /// Returns the address that other daemons connect to.
    fn reachable_address(&self) -> SocketAddr {
        self.relay.unwrap_or(self.peer_address)
    }
}

/// Deployment of daemons on loopback.
///
/// Dropping it kills the daemons and removes its folder; after a panic the folder stays.
#[derive(Debug)]
pub struct Site {
    folder: PathBuf,
    program: Program,
    vms: Vec<Vm>,
    /// TOML text that is added to the table `[entry]` of the settings.
    entry_settings: String,
}

/// Returns a free loopback address, with a port that the system does not use for outgoing
/// connections.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    // Processes start at different ports, and none returns the same port twice until it has tried
    // all of them.
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let first_offset = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let next = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let offset = (first_offset + next) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Site {
    /// Prepares a site of `count` VMs, spread over `data_centres`, without starting them.
    ///
    /// The first three VMs have control replicas. `entry_settings` is TOML text that is added to
    /// the table `[entry]` of the settings. `name` is part of the name of the site's folder.
    ///
    /// # Errors
    ///
    /// Fails if a folder cannot be created or no port is free.
    pub fn new(
        program: Program,
        name: &str,
        count: usize,
        data_centres: &[&str],
        entry_settings: &str,
    ) -> Result<Self, SiteError> {
        let folder = std::env::temp_dir().join(format!("papayatray-{name}-{}", std::process::id()));
        let io_error = |error: std::io::Error| SiteError::Io(name.to_owned(), error);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(io_error)?;
        let mut vms = Vec::new();
        for number in 0..count {
            vms.push(Vm {
                name: format!("vm-{}", number + 1),
                data_centre: data_centres[number % data_centres.len()].to_owned(),
                peer_address: free_address().map_err(io_error)?,
                relay: None,
                caller_address: free_address().map_err(io_error)?,
                is_control: number < CONTROL_REPLICAS,
                child: None,
            });
        }
        Ok(Self {
            folder,
            program,
            vms,
            entry_settings: entry_settings.to_owned(),
        })
    }

    /// Returns the VMs.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Makes other daemons connect to a VM through a relay; takes effect when they start.
    pub fn set_relay(&mut self, number: usize, relay: SocketAddr) {
        self.vms[number].relay = Some(relay);
    }

    /// Returns the addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.caller_address).collect()
    }

    /// Returns the data folder of a VM.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.vms[number].name))
    }

    /// Returns the file that a VM logs to.
    pub fn log_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.vms[number].name))
    }

    /// Returns the process id of a VM's daemon, unless it was not started, or was ended by
    /// [`Self::kill`] or [`Self::wait_exited`].
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.vms[number].child.as_ref().map(Child::id)
    }

    /// Starts the daemon of a VM with the state in its data folder.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the program cannot be started.
    pub fn start(&mut self, number: usize) -> Result<(), SiteError> {
        let settings = self.settings(number);
        let path = self.folder.join(format!("{}.toml", self.vms[number].name));
        let io_error = |error: std::io::Error| SiteError::Io(path.display().to_string(), error);
        fs::create_dir_all(self.data_folder(number)).map_err(io_error)?;
        fs::write(&path, settings).map_err(io_error)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file(number))
            .map_err(io_error)?;
        let child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().map_err(io_error)?))
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(io_error)?;
        self.vms[number].child = Some(child);
        Ok(())
    }

    /// Starts the daemons of all VMs.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the program cannot be started.
    pub fn start_all(&mut self) -> Result<(), SiteError> {
        (0..self.vms.len()).try_for_each(|number| self.start(number))
    }

    /// Kills the daemon of a VM, as in a power loss.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.vms[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the daemon of a VM exits by itself.
    ///
    /// Returns whether it exited with success within `limit`, or was not running.
    pub async fn wait_exited(&mut self, number: usize, limit: Duration) -> bool {
        let started_at = Instant::now();
        let Some(mut child) = self.vms[number].child.take() else {
            return true;
        };
        while started_at.elapsed() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        self.vms[number].child = Some(child);
        false
    }

    /// Waits until the entries of the VMs in `numbers` are ready for requests.
    ///
    /// # Errors
    ///
    /// Fails if one of them is not ready within `limit`.
    pub async fn wait_ready(&self, numbers: &[usize], limit: Duration) -> Result<(), SiteError> {
        let started_at = Instant::now();
        for number in numbers {
            let vm = &self.vms[*number];
            loop {
                let response =
                    call(vm.caller_address, Method::Get, "/readyz", &[], Vec::new()).await;
                if response.is_ok_and(|response| response.status == 200) {
                    break;
                }
                if started_at.elapsed() > limit {
                    return Err(SiteError::NotReady(vm.name.clone()));
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn settings(&self, number: usize) -> String {
        let vm = &self.vms[number];
        let hash = |key: &str| blake3::hash(key.as_bytes()).to_hex();
        let mut text = format!(
            "vm = \"{}\"\ndata_centre = \"{}\"\npeer_address = \"{}\"\npeer_bind = \"{}\"\n",
            vm.name,
            vm.data_centre,
            vm.reachable_address(),
            vm.peer_address
        );
        let _ = writeln!(text, "cluster_secret = \"{CLUSTER_SECRET}\"");
        text.push_str("\n[replicas]\n");
        for replica in &self.vms[..CONTROL_REPLICAS] {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{} = \"{}\"",
                replica.name,
                replica.reachable_address()
            );
        }
        let _ = writeln!(
            text,
            "\n[entry]\ncaller_address = \"{}\"\n{}",
            vm.caller_address, self.entry_settings
        );
        if vm.is_control {
            let folder = self.data_folder(number);
            let _ = writeln!(text, "[control]\ndata_folder = \"{}\"", folder.display());
        }
        let _ = writeln!(text, "\n[operators]\noperator = \"{}\"", hash(OPERATOR_KEY));
        let _ = writeln!(text, "\n[platform]\nplatform = \"{}\"", hash(PLATFORM_KEY));
        text
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for number in 0..self.vms.len() {
            self.kill(number);
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
