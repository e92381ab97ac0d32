//! Site on loopback: settings written, daemons started as processes of their own and ended.

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

/// Key of the site's operator.
pub const OPERATOR_KEY: &str = "operator-key-of-a-site-on-loopback";
/// Key of the site's platform.
pub const PLATFORM_KEY: &str = "platform-key-of-a-site-on-loopback";
/// Secret of the site.
const SECRET: &str = "secret of a site on loopback";
/// Control replicas of a site.
const REPLICAS: usize = 3;
/// First port that daemons get; the system takes its own ports from 32,768 on.
const FIRST_PORT: u16 = 12_000;
/// Ports that daemons get.
const PORTS: u16 = 20_000;
/// Ports between the beginnings of two processes with neighbouring numbers.
const PORT_STRIDE: u32 = 211;
/// Pause between two looks at something awaited.
const PAUSE: Duration = Duration::from_millis(20);

/// Why a site cannot be used.
#[derive(Debug, Display)]
pub enum SiteError {
    /// {0}: {1}
    Io(String, io::Error),
    /// not ready in time: {0}
    Slow(String),
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
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for the system's own processes.
    pub peer: SocketAddr,
    /// Address that the system's own processes reach the VM under, where a relay stands before it.
    pub relay: Option<SocketAddr>,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Whether the VM has a disk and plays the role control.
    pub is_control: bool,
    child: Option<Child>,
}

impl Vm {
    /// Returns the address that the others reach the VM under.
    fn reached(&self) -> SocketAddr {
        self.relay.unwrap_or(self.peer)
    }
}

/// Site on loopback.
#[derive(Debug)]
pub struct Site {
    folder: PathBuf,
    program: Program,
    vms: Vec<Vm>,
    extra: String,
}

/// Returns a free address on loopback that no outgoing connection takes in the meantime.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    // Each process begins elsewhere, and no port is given out twice.
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let begin = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORTS);
    for _ in 0..PORTS {
        let next = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = (begin + next) % u32::from(PORTS);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Site {
    /// Lays out a site of `count` VMs, the first three of them control replicas, over
    /// `data_centres`; nothing is started yet. `extra` is added to the table `[entry]`.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub fn new(
        program: Program,
        name: &str,
        count: usize,
        data_centres: &[&str],
        extra: &str,
    ) -> Result<Self, SiteError> {
        let folder = std::env::temp_dir().join(format!("papayatray-{name}-{}", std::process::id()));
        let failed = |error: std::io::Error| SiteError::Io(name.to_owned(), error);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(failed)?;
        let mut vms = Vec::new();
        for number in 0..count {
            vms.push(Vm {
                name: format!("vm-{}", number + 1),
                data_centre: data_centres[number % data_centres.len()].to_owned(),
                peer: free_address().map_err(failed)?,
                relay: None,
                caller: free_address().map_err(failed)?,
                is_control: number < REPLICAS,
                child: None,
            });
        }
        Ok(Self {
            folder,
            program,
            vms,
            extra: extra.to_owned(),
        })
    }

    /// Returns the VMs.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Puts a relay before the address for the system's own processes of a VM.
    pub fn set_relay(&mut self, number: usize, relay: SocketAddr) {
        self.vms[number].relay = Some(relay);
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.caller).collect()
    }

    /// Returns the data folder of a VM.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.vms[number].name))
    }

    /// Returns the file that a VM logs to.
    pub fn log_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.vms[number].name))
    }

    /// Returns the process number of a VM's daemon, while it runs.
    pub fn process(&self, number: usize) -> Option<u32> {
        self.vms[number].child.as_ref().map(Child::id)
    }

    /// Starts the daemon of a VM with the state it has.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub fn start(&mut self, number: usize) -> Result<(), SiteError> {
        let settings = self.settings(number);
        let path = self.folder.join(format!("{}.toml", self.vms[number].name));
        let failed = |error: std::io::Error| SiteError::Io(path.display().to_string(), error);
        fs::create_dir_all(self.data_folder(number)).map_err(failed)?;
        fs::write(&path, settings).map_err(failed)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file(number))
            .map_err(failed)?;
        let child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().map_err(failed)?))
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(failed)?;
        self.vms[number].child = Some(child);
        Ok(())
    }

    /// Starts all VMs.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub fn start_all(&mut self) -> Result<(), SiteError> {
        (0..self.vms.len()).try_for_each(|number| self.start(number))
    }

    /// Kills the daemon of a VM, as a power cut would.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.vms[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the daemon of a VM has ended by itself; tells whether it did well and in time.
    pub async fn wait_exited(&mut self, number: usize, limit: Duration) -> bool {
        let begin = Instant::now();
        let Some(mut child) = self.vms[number].child.take() else {
            return true;
        };
        while begin.elapsed() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            smol::Timer::after(PAUSE).await;
        }
        self.vms[number].child = Some(child);
        false
    }

    /// Waits until the entries of the VMs in `numbers` take requests.
    ///
    /// # Errors
    ///
    /// Fails when one does not in time.
    pub async fn wait_ready(&self, numbers: &[usize], limit: Duration) -> Result<(), SiteError> {
        let begin = Instant::now();
        for number in numbers {
            let vm = &self.vms[*number];
            loop {
                let answer = call(vm.caller, Method::Get, "/readyz", &[], Vec::new()).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if begin.elapsed() > limit {
                    return Err(SiteError::Slow(vm.name.clone()));
                }
                smol::Timer::after(PAUSE).await;
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
            vm.reached(),
            vm.peer
        );
        let _ = writeln!(text, "cluster_secret = \"{SECRET}\"");
        text.push_str("\n[replicas]\n");
        for replica in &self.vms[..REPLICAS] {
            // Writing into a text cannot fail.
            let _ = writeln!(text, "{} = \"{}\"", replica.name, replica.reached());
        }
        let _ = writeln!(
            text,
            "\n[entry]\ncaller_address = \"{}\"\n{}",
            vm.caller, self.extra
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
