//! A small deployment on loopback: settings files, processes, operator.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Bound of the deployment after which a calm machine is in touch, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;
pub const CORES: usize = 3;
pub const ENTRIES: usize = 3;
pub const HOST: &str = "shop.example";
pub const KEY: &str = "k7rj2m4x9wq";
pub const TENANT: &str = "hule930";

const ZONES: [&str; 3] = ["aviles", "gijon", "langreo"];
const FRONTEND: u16 = 8227;
const READY: u16 = 8220;
const DIRECTORY: u16 = 8224;
const CONTROL: u16 = 8229;
const LINK: u16 = 7340;
const METRICS: u16 = 9464;
pub const WORKER: u16 = 8066;

/// Log of what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Processes that run, which must not outlive this program.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ends the processes that this program started, and nothing else.
pub fn end_processes() {
    let running = RUNNING
        .lock()
        .map(|mut running| std::mem::take(&mut *running));
    for process in running.unwrap_or_default() {
        if let Ok(process) = i32::try_from(process) {
            // SAFETY: the call takes numbers only.
            let _ = unsafe { kill(process, SIGKILL) };
        }
    }
}

/// Ends the program because the case could not be run.
pub fn cannot_run(why: &str) -> ! {
    end_processes();
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

/// Process of the system.
struct Machine {
    role: &'static str,
    name: String,
    boot: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    /// Numbers of the control machines that are not lost.
    cores: Vec<usize>,
    prefix: String,
    folder: PathBuf,
    machines: Vec<Machine>,
    pub record: Record,
}

impl Site {
    /// Writes the settings of a new deployment; nothing is started yet.
    pub fn new(record: Record) -> Self {
        let prefix = free_prefix();
        let folder = std::env::temp_dir().join(format!("papayatray-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut site = Self {
            cores: (0..CORES).collect(),
            prefix,
            folder,
            machines: Vec::new(),
            record,
        };
        for index in 0..CORES {
            site.add("control", index);
        }
        for index in 0..ENTRIES {
            site.add("entry", index);
        }
        site
    }

    fn add(&mut self, role: &'static str, index: usize) {
        let name = format!("{role}-{index}");
        self.machines.push(Machine {
            role,
            boot: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            name,
            child: None,
        });
        self.write_settings(role, index, true);
    }

    fn ip(&self, role: &str, index: usize) -> String {
        let base = if role == "control" { 21 } else { 11 };
        format!("{}.{}", self.prefix, base + index)
    }

    fn write_settings(&self, role: &str, index: usize, bootstrap: bool) {
        let ip = self.ip(role, index);
        let zone = ZONES[index % ZONES.len()];
        let is_core = role == "control";
        let (class, serves, listen, data) = if is_core {
            let data = self.folder.join(format!("data-{index}"));
            let _ = fs::create_dir_all(&data);
            (
                "core",
                r#"["control"]"#,
                format!(r#"{{"ControlPlane":"{ip}:{CONTROL}"}}"#),
                format!("\"{}\"", data.display()),
            )
        } else {
            (
                "edge",
                r#"["edge","directory"]"#,
                format!(
                    r#"{{"Frontend":"{ip}:{FRONTEND}","Ready":"{ip}:{READY}","DirectoryAddr":"{ip}:{DIRECTORY}"}}"#
                ),
                "null".to_owned(),
            )
        };
        // An added machine gets the present list of the operator, the others that of the first start.
        let listed = if index < CORES {
            (0..CORES).collect()
        } else {
            self.cores.clone()
        };
        let listed = listed.iter();
        let seeds: Vec<String> = listed
            .map(|core| format!("\"{}:{CONTROL}\"", self.ip("control", *core)))
            .collect();
        let text = format!(
            r#"{{"NodeName":"{class}-{zone}-1","Role":"{role}","MachineClass":"{class}","Serves":{serves},"Ip":"{ip}","Zone":"{zone}","Region":"asturias","Zones":{{"aviles":"asturias","gijon":"asturias","langreo":"asturias"}},"Listen":{listen},"PortRange":[{LINK},7355],"Seeds":[{}],"Bootstrap":{bootstrap},"FaultCounted":{is_core},"Limits":{{"CpuShare":0.6,"Cores":1,"MemoryMb":256,"MaxFds":4096,"LinkMbps":1000.0,"DiskMb":128}},"DataDir":{data},"Discovery":"registration","Entry":"directory","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"],"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"StretchMs":5000,"FailClosed":true,"RevokeMs":5000,"RetryRatio":0.9,"RetryWindowS":10,"RetrySlack":54,"ExposureShare":0.15,"ExposureSlack":30,"RollbackMs":5000,"RecoveryS":12,"DeliveryMs":120,"ReuseWindowS":10,"SessionTtlS":5,"ttl_max_s":5}},"ConfigMode":"highest"}}"#,
            seeds.join(",")
        );
        let path = self.folder.join(format!("{role}-{index}.json"));
        fs::write(path, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }

    pub fn start(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let log = File::options().create(true).append(true).open(&machine.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = log
            .try_clone()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let path = std::env::var("PATH").unwrap_or_default();
        let spawned = Command::new("target/release/papayatray-platform")
            .arg(machine.role)
            .env_clear()
            .env("PATH", path)
            .env("PAPAYATRAY_BOOT", &machine.boot)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = spawned.unwrap_or_else(|error| cannot_run(&format!("the program: {error}")));
        self.record
            .line(&format!("start {} (process {})", machine.name, child.id()));
        RUNNING.lock().unwrap().push(child.id());
        machine.child = Some(child);
    }

    pub fn start_all(&mut self) {
        for number in 0..self.machines.len() {
            self.start(number);
        }
    }

    /// Starts all machines but one.
    pub fn start_others(&mut self, left_out: usize) {
        for number in 0..self.machines.len() {
            if number != left_out {
                self.start(number);
            }
        }
    }

    /// Kills a control process at once; its machine does not come back.
    pub fn lose(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record
                .line(&format!("SIGKILL {}, gone for good", machine.name));
        }
        self.cores.retain(|other| *other != index);
    }

    /// Starts a control machine at a new address, with an empty disk.
    pub fn add_core(&mut self) {
        let index = CORES;
        self.cores.push(index);
        self.add("control", index);
        self.write_settings("control", index, false);
        self.start(self.machines.len() - 1);
    }

    /// SIGKILL to all processes that run, at the same moment.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
            }
        }
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
                forget(child.id());
                self.record.line(&format!("SIGKILL {}", machine.name));
            }
        }
        // The deployment exists from now on.
        for index in 0..CORES {
            self.write_settings("control", index, false);
        }
        for index in 0..ENTRIES {
            self.write_settings("entry", index, false);
        }
    }

    /// Names of processes that have ended without a signal of this program.
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                if !matches!(child.try_wait(), Ok(None)) {
                    names.push(machine.name.clone());
                }
            }
        }
        names
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        address(&self.ip("control", index % CORES), CONTROL)
    }

    /// Addresses of the control machines that are not lost, as the operator and the workers know them.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let present = self.cores.iter();
        present
            .map(|index| address(&self.ip("control", *index), CONTROL))
            .collect()
    }

    pub fn entry(&self, index: usize) -> SocketAddr {
        address(&self.ip("entry", index % ENTRIES), FRONTEND)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        address(&self.ip("entry", index % ENTRIES), READY)
    }

    pub fn worker(&self, index: usize) -> SocketAddr {
        address(&format!("{}.{}", self.prefix, 40 + index), WORKER)
    }

    /// Sends a config until it is acknowledged.
    pub fn put_config(&self, text: &str) {
        if !self.try_config(text, Duration::from_secs(20)) {
            cannot_run("the config is not acknowledged");
        }
    }

    /// Sends a config to one control machine after the other; returns whether it was acknowledged in time.
    pub fn try_config(&self, text: &str, time: Duration) -> bool {
        let limit = Instant::now() + time;
        let controls = self.controls();
        let mut attempt = 0;
        while Instant::now() < limit {
            let answer = http::call(
                controls[attempt % controls.len()],
                "POST",
                "/api/config/replace",
                &[("Content-Type", "application/json")],
                text.as_bytes(),
                Duration::from_secs(1),
            );
            match &answer {
                Ok(answer) if answer.status() == 200 => {
                    self.record.line("operator: the config is acknowledged");
                    return true;
                }
                Ok(answer) if (400..500).contains(&answer.status()) => {
                    cannot_run(&format!("the config is refused: {}", answer.text()));
                }
                Ok(answer) if attempt % 20 == 0 => {
                    let text = answer.text();
                    self.record
                        .line(&format!("operator gets {} {text}", answer.status()));
                }
                _ => {}
            }
            attempt += 1;
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("operator: the config is not acknowledged");
        false
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            let is_ready = |index: usize| {
                let answer = http::call(
                    self.ready(index),
                    "GET",
                    "/api/readyz",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if (0..ENTRIES).all(is_ready) {
                self.record.line("all entries are ready");
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                forget(child.id());
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Forgets a process that has ended: its number may be given to another one.
fn forget(process: u32) {
    RUNNING.lock().unwrap().retain(|other| *other != process);
}

fn address(ip: &str, port: u16) -> SocketAddr {
    let parsed = format!("{ip}:{port}").parse();
    parsed.unwrap_or_else(|_| cannot_run("an address cannot be parsed"))
}

/// Finds a range of loopback addresses of which no port in use is taken.
fn free_prefix() -> String {
    let start = std::process::id();
    for offset in 0..200 {
        let number = (start + offset * 7) % 40_000;
        let prefix = format!("127.{}.{}", 60 + number / 250, 1 + number % 250);
        let hosts = [11, 12, 13, 21, 22, 23, 24, 40, 41];
        let ports = [FRONTEND, READY, DIRECTORY, CONTROL, LINK, METRICS, WORKER];
        let is_free = hosts.iter().all(|host| {
            let free = |port: &u16| TcpListener::bind((format!("{prefix}.{host}"), *port)).is_ok();
            ports.iter().all(free)
        });
        if is_free {
            return prefix;
        }
    }
    cannot_run("no free loopback addresses")
}
