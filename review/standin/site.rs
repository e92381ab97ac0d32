//! A small deployment on loopback addresses: settings files and processes of the system.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
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

/// Port of the operators' and endpoints' interface, the same on all machines.
pub const CONTROL_PORT: u16 = 18229;
/// Port for consumers.
pub const FRONT_PORT: u16 = 18227;
/// Port of the readiness check.
const READY_PORT: u16 = 18220;
/// Port for links between processes.
const PEER_PORT: u16 = 18340;

/// Log of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record in the current folder.
    pub fn create() -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create("record.txt")?)),
        })
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {line}");
        }
    }
}

/// Machine of the deployment with one process of the system.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: String,
    pub is_core: bool,
    pub memory_mb: u32,
    pub bootstrap: bool,
}

/// Deployment whose processes end when it is dropped.
pub struct Site {
    pub record: Record,
    pub folder: PathBuf,
    net: String,
    program: PathBuf,
    seeds: Vec<String>,
    children: Arc<Mutex<Vec<(String, Child)>>>,
}

impl Site {
    /// Creates a deployment without processes; `root` is the root of the repository.
    pub fn new(root: &str) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("papayatray-review-{id}"));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            record: Record::create()?,
            folder,
            net: format!("127.{}.{}", 64 + id / 250 % 128, id % 250),
            program: PathBuf::from(root).join("target/release/papayatray-platform"),
            seeds: Vec::new(),
            children: Arc::default(),
        })
    }

    /// Returns the loopback address of machine or worker number `number`.
    pub fn ip(&self, number: u32) -> String {
        format!("{}.{number}", self.net)
    }

    /// Starts the three core machines of a new deployment.
    pub fn start_core(&mut self) -> io::Result<Vec<Machine>> {
        self.start_core_late(Duration::ZERO)
    }

    /// Starts the three core machines, the last one `delay` after the others.
    pub fn start_core_late(&mut self, delay: Duration) -> io::Result<Vec<Machine>> {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let core: Vec<Machine> = (0..3_u32)
            .map(|n| self.core(n, zones[n as usize], true))
            .collect();
        let addresses = core
            .iter()
            .map(|machine| format!("{}:{CONTROL_PORT}", machine.ip));
        self.seeds = addresses.collect();
        for machine in &core {
            if machine.name == "core-2" {
                thread::sleep(delay);
            }
            self.start(machine)?;
        }
        Ok(core)
    }

    /// Returns core machine number `number`; only those of the first start have `bootstrap`.
    pub fn core(&self, number: u32, zone: &'static str, bootstrap: bool) -> Machine {
        Machine {
            name: format!("core-{number}"),
            zone,
            ip: self.ip(10 + number),
            is_core: true,
            memory_mb: 256,
            bootstrap,
        }
    }

    /// Returns edge machine number `number`.
    pub fn edge(&self, number: u32, zone: &'static str, memory_mb: u32) -> Machine {
        Machine {
            name: format!("edge-{number}"),
            zone,
            ip: self.ip(30 + number),
            is_core: false,
            memory_mb,
            bootstrap: true,
        }
    }

    /// Writes a machine's settings file and starts its process with the command of the deploy file.
    pub fn start(&self, machine: &Machine) -> io::Result<u32> {
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, self.settings(machine))?;
        let log = File::create(self.folder.join(format!("{}.log", machine.name)))?;
        let role = if machine.is_core { "control" } else { "entry" };
        let child = Command::new(&self.program)
            .arg(role)
            .env("PAPAYATRAY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid = child.id();
        self.record.add(&format!(
            "platform: started {} as process {pid}",
            machine.name
        ));
        if let Ok(mut children) = self.children.lock() {
            children.push((machine.name.clone(), child));
        }
        Ok(pid)
    }

    fn settings(&self, machine: &Machine) -> String {
        let data = self.folder.join(format!("{}-data", machine.name));
        let (class, serves, data, listen) = if machine.is_core {
            let _ = fs::create_dir_all(&data);
            let listen = format!("{{\"ControlPlane\":\"{}:{CONTROL_PORT}\"}}", machine.ip);
            (
                "core",
                "[\"control\"]",
                format!("{:?}", data.display().to_string()),
                listen,
            )
        } else {
            let listen = format!(
                "{{\"Frontend\":\"{ip}:{FRONT_PORT}\",\"Ready\":\"{ip}:{READY_PORT}\"}}",
                ip = machine.ip
            );
            (
                "edge",
                "[\"edge\",\"directory\"]",
                "null".to_owned(),
                listen,
            )
        };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let (share, fds, disk) = if machine.is_core {
            (0.6, 4096, 128)
        } else {
            (0.25, 4100, 0)
        };
        format!(
            r#"{{"NodeName":"{name}","Role":"{class}","MachineClass":"{class}","Serves":{serves},
"Ip":"{ip}","Zone":"{zone}","Region":"region-1",
"Zones":{{"zone-a":"region-1","zone-b":"region-1","zone-c":"region-1"}},
"Listen":{listen},"PortRange":[{PEER_PORT},{last}],"Seeds":[{seeds}],
"Bootstrap":{bootstrap},"FaultCounted":{core},
"Limits":{{"CpuShare":{share},"Cores":1,"MemoryMb":{memory},"MaxFds":{fds},"LinkMbps":1000.0,"DiskMb":{disk}}},
"DataDir":{data},"Discovery":"registration","Entry":"directory","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"],
"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"StretchMs":5000,
"FailClosed":true,"RevokeMs":5000,"RetryRatio":0.9,"RetryWindowS":10,"RetrySlack":58,
"ExposureShare":0.15,"ExposureSlack":30,"RollbackMs":5000,"RecoveryS":12,"DeliveryMs":120,
"ReuseWindowS":10,"SessionTtlS":5,"ttl_max_s":5}},"ConfigMode":"highest"}}
"#,
            name = machine.name,
            ip = machine.ip,
            zone = machine.zone,
            last = PEER_PORT + 15,
            seeds = seeds.join(","),
            bootstrap = machine.bootstrap,
            core = machine.is_core,
            memory = machine.memory_mb,
        )
    }

    /// Sends a signal to a process that this deployment started.
    pub fn signal(&self, pid: u32, name: &str) {
        self.record
            .add(&format!("platform: SIG{name} to process {pid}"));
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid.to_string())
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.add("platform: the signal was not sent");
        }
    }

    /// Returns the machine whose process has ended, with its exit status, if one has.
    pub fn ended(&self, pid: u32) -> Option<String> {
        let mut children = self.children.lock().ok()?;
        let found = children.iter_mut().find(|(_, child)| child.id() == pid);
        let status = found?.1.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the addresses at which the core machines serve workers and operators.
    pub fn controls(&self) -> Vec<String> {
        self.seeds.clone()
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, config: &str) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            for control in &self.seeds {
                let limit = Duration::from_secs(2);
                let sent = http::call(control, "POST /api/config/replace", config, limit);
                if let Ok((200, _)) = sent {
                    self.record.add(&format!(
                        "operator: configuration acknowledged by {control}"
                    ));
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Err("no configuration was acknowledged".to_owned())
    }

    /// Returns the process of a machine.
    pub fn pid(&self, name: &str) -> Option<u32> {
        let children = self.children.lock().ok()?;
        let found = children.iter().find(|(machine, _)| machine == name);
        found.map(|(_, child)| child.id())
    }

    /// Returns the address at which a core machine serves workers and operators.
    pub fn control_address(&self, machine: &Machine) -> String {
        format!("{}:{CONTROL_PORT}", machine.ip)
    }

    /// Waits until an edge machine says that it is ready.
    pub fn wait_ready(&self, machine: &Machine) -> Result<(), String> {
        self.wait_ready_for(machine, Duration::from_secs(20))
    }

    /// Asks an edge machine at least once whether it is ready, and for at most `limit`.
    pub fn wait_ready_for(&self, machine: &Machine, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let address = format!("{}:{READY_PORT}", machine.ip);
        loop {
            let asked = http::call(&address, "GET /api/readyz", "", Duration::from_secs(1));
            if let Ok((200, _)) = asked {
                return Ok(());
            }
            if Instant::now() >= end {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} did not become ready", machine.name))
    }

    /// Returns a function that ends all processes, for a time limit.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let children = Arc::clone(&self.children);
        move || end_all(&children)
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>) {
    if let Ok(mut children) = children.lock() {
        for (_, child) in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        end_all(&self.children);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
