//! Small deployment on loopback addresses for the cases of the third review: starts the platform
//! programs as separate processes, and plays the operator, the consumers and the workers.
//!
//! `lab CASE FOLDER` runs one case and writes `record.txt` into FOLDER. It ends with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Program that `deploy/system.toml` builds and runs.
const PROGRAM: &str = "target/release/papayatray-platform";
/// Time after which a case that has not ended is given up.
const MAX_TIME: Duration = Duration::from_secs(115);
/// Interval of the workers' status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that callers of `control` wait for a response.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds of the deployment, as on the sheet of the site `paginaviva-pa`.
const BOUNDS: &str = r#"{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"StretchMs":5000,"FailClosed":true,"RevokeMs":5000,"RetryRatio":0.9,"RetryWindowS":10,"RetrySlack":58,"ExposureShare":0.15,"ExposureSlack":30,"RollbackMs":5000,"RecoveryS":12,"DeliveryMs":120,"ReuseWindowS":10,"SessionTtlS":5,"ttl_max_s":5}"#;

/// Processes to end before this program does.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

static NUMBERS: AtomicU64 = AtomicU64::new(0);

/// Returns a number that differs at each call and each run.
fn draw() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let mut x = nanos
        ^ (u64::from(std::process::id()) << 32)
        ^ NUMBERS.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^ (x >> 33)
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Record of what was sent, answered and run.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Answer to an HTTP request.
#[derive(Clone, Debug, Default)]
struct Answer {
    status: u16,
    headers: BTreeMap<String, String>,
    body: String,
}

/// Sends a request on a new channel and reads the whole answer; `None` if there is none in time.
fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let end = Instant::now() + timeout;
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        let left = end.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
        if let Some(answer) = parse(&bytes) {
            return Some(answer);
        }
    }
    parse(&bytes)
}

/// Returns the answer if it is whole.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok())?;
    (body.len() >= length).then(|| Answer {
        status,
        headers,
        body: body.to_owned(),
    })
}

/// Deployment; [`Lab::end`] ends its processes.
struct Lab {
    record: Arc<Record>,
    net: String,
    folder: PathBuf,
    processes: Arc<Mutex<BTreeMap<String, Child>>>,
    /// `ControlPlane` addresses that operators and workers pick from.
    controls: Arc<Mutex<Vec<String>>>,
    seeds: Vec<String>,
}

impl Lab {
    fn new(record: Arc<Record>) -> Self {
        let net = loop {
            let net = format!("127.{}.{}", 10 + draw() % 240, 1 + draw() % 250);
            if TcpListener::bind(format!("{net}.1:7340")).is_ok() {
                break net;
            }
        };
        let folder = std::env::temp_dir().join(format!(
            "papayatray-lab-{}-{:x}",
            std::process::id(),
            draw()
        ));
        fs::create_dir_all(&folder)
            .unwrap_or_else(|error| cannot_run(&format!("temporary folder: {error}")));
        let seeds = (1..=3).map(|n| format!("{net}.{n}:8229")).collect();
        let lab = Self {
            record,
            net,
            folder,
            processes: Arc::default(),
            controls: Arc::default(),
            seeds,
        };
        *lab.controls.lock().unwrap() = lab.seeds.clone();
        lab.watch();
        lab
    }

    /// Ends everything if the case takes too long.
    fn watch(&self) {
        let (processes, folder) = (Arc::clone(&self.processes), self.folder.clone());
        thread::spawn(move || {
            thread::sleep(MAX_TIME);
            for child in processes.lock().unwrap().values_mut() {
                let _ = child.kill();
            }
            let _ = fs::remove_dir_all(folder);
            cannot_run("the case took too long");
        });
    }

    /// Starts a process; `role` is `control` or `entry`, and `host` the last number of its address.
    fn start(&self, role: &str, host: u32, is_first_start: bool) {
        let (net, name) = (&self.net, format!("{role}-{host}"));
        let ip = format!("{net}.{host}");
        let zone = format!("z{}", 1 + host % 3);
        let data = self.folder.join(format!("{name}-data"));
        let is_control = role == "control";
        let (class, serves, listen, folder) = if is_control {
            let _ = fs::create_dir_all(&data);
            let listen = format!(r#"{{"ControlPlane":"{ip}:8229"}}"#);
            ("core", r#"["control"]"#, listen, format!("{data:?}"))
        } else {
            let listen = format!(
                r#"{{"Frontend":"{ip}:8227","Ready":"{ip}:8220","DirectoryAddr":"{ip}:8224"}}"#
            );
            ("edge", r#"["edge","directory"]"#, listen, "null".to_owned())
        };
        let seeds = if is_first_start {
            self.seeds.clone()
        } else {
            self.controls.lock().unwrap().clone()
        };
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"{role}","MachineClass":"{class}","Serves":{serves},"Ip":"{ip}","Zone":"{zone}","Region":"r1","Zones":{{"z1":"r1","z2":"r1","z3":"r1"}},"Listen":{listen},"PortRange":[7340,7355],"Seeds":{seeds:?},"Bootstrap":{is_first_start},"FaultCounted":{is_control},"Limits":{{"CpuShare":0.6,"Cores":1,"MemoryMb":256,"MaxFds":4096,"LinkMbps":1000.0,"DiskMb":128}},"DataDir":{folder},"Discovery":"registration","Entry":"directory","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"],"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},"Bounds":{BOUNDS},"ConfigMode":"highest"}}"#
        );
        let path = self.folder.join(format!("{name}.json"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let (Ok(()), Ok(log)) = (fs::write(&path, settings), log) else {
            cannot_run("the temporary folder cannot be written");
        };
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("PAPAYATRAY_BOOT", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_or_else(|_| Stdio::null(), Stdio::from))
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        self.processes.lock().unwrap().insert(name.clone(), child);
        self.record.line(&format!(
            "platform starts {name} at {ip}, Bootstrap {is_first_start}"
        ));
    }

    fn start_all(&self) {
        for host in 1..=3 {
            self.start("control", host, true);
        }
        for host in 101..=103 {
            self.start("entry", host, true);
        }
    }

    /// Sends an order to one control node after another until one answers below 500 or the time ends.
    fn order(&self, method: &str, path: &str, body: &str, limit: f64) -> Option<Answer> {
        let start = Instant::now();
        let mut wait = 0.1;
        let mut pick = draw() as usize;
        while start.elapsed().as_secs_f64() < limit {
            let nodes = self.controls.lock().unwrap().clone();
            let node = &nodes[pick % nodes.len()];
            pick += 1;
            let answer = call(node, method, path, &[], body, CONTROL_TIMEOUT);
            let text = answer.as_ref().map_or("no answer".to_owned(), |a| {
                format!("{} {}", a.status, short(&a.body))
            });
            self.record.line(&format!(
                "operator {method} {path} {} at {node}: {text}",
                short(body)
            ));
            if let Some(answer) = answer.filter(|a| a.status < 500) {
                return Some(answer);
            }
            pause(wait);
            wait = (wait * 1.5_f64).min(0.5);
        }
        None
    }

    /// Publishes a configuration and waits until it is in force.
    fn configure(&self, version: u64, routes: &[(&str, &str, &str)], services: &[&str]) {
        if self
            .order(
                "POST",
                "/api/config/replace",
                &config(version, routes, services),
                15.0,
            )
            .is_none_or(|a| a.status != 200)
        {
            cannot_run("no configuration was accepted");
        }
        pause(2.0);
    }

    /// Sends a request to a machine; returns the answer and whether it counts as served.
    fn request(&self, method: &str, path: &str) -> (String, Option<Answer>) {
        let id = format!("{:016x}", draw());
        let entry = format!("{}.{}:8227", self.net, 101 + draw() % 3);
        let headers = [
            ("Host", "a.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "3000".to_owned()),
        ];
        let body = if method == "POST" { "order" } else { "" };
        let answer = call(
            &entry,
            method,
            path,
            &headers,
            body,
            Duration::from_millis(3_200),
        );
        let text = answer.as_ref().map_or("no answer".to_owned(), |a| {
            let stamp = a.headers.get("x-server-stamp").map_or("-", String::as_str);
            format!(
                "{} stamp {stamp} {}",
                a.status,
                if a.status == 200 { "" } else { short(&a.body) }
            )
        });
        self.record
            .line(&format!("consumer {method} {path} {id} at {entry}: {text}"));
        (id, answer)
    }

    fn rollout_state(&self, service: &str) -> String {
        let answer = self.order("GET", &format!("/api/rollouts/{service}/read"), "", 4.0);
        let body = answer.map_or_else(String::new, |a| a.body);
        for state in ["running", "completed", "rolled_back"] {
            if body.contains(&format!("\"{state}\"")) {
                return state.to_owned();
            }
        }
        "unknown".to_owned()
    }
}

impl Lab {
    /// Ends all processes and removes their files.
    fn end(&self) {
        for child in self.processes.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    let children: Vec<String> = CHILDREN.lock().map_or_else(
        |_| Vec::new(),
        |ids| ids.iter().map(u32::to_string).collect(),
    );
    if !children.is_empty() {
        let _ = Command::new("kill").arg("-KILL").args(children).status();
    }
    std::process::exit(2);
}

/// Returns the first characters of a text.
fn short(text: &str) -> &str {
    let end = text
        .char_indices()
        .nth(110)
        .map_or(text.len(), |(index, _)| index);
    &text[..end]
}

/// Returns a configuration; each route is a prefix, a kind and a service.
fn config(version: u64, routes: &[(&str, &str, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            let attempts = if *kind == "idempotent" { 3 } else { 1 };
            format!(r#"{{"Name":"r{prefix}","Hostname":"a.example","PathPrefix":"{prefix}","RouteKind":"{kind}","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"{service}","MaxAttempts":{attempts},"Public":true}}"#)
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}"#))
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Stand-in for a worker, or for another server that answers as one does.
#[derive(Clone)]
struct Worker {
    id: String,
    service: String,
    version: String,
    address: String,
    born: u64,
    is_alive: Arc<AtomicBool>,
    /// Whether it answers half of its requests with 500.
    fails: Arc<AtomicBool>,
    /// Ids of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker on a free port, without status reports.
    fn listen(lab: &Lab, id: &str, service: &str, version: &str) -> Self {
        let listener = TcpListener::bind(format!("{}.200:0", lab.net))
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener
            .local_addr()
            .map(|a| a.to_string())
            .unwrap_or_default();
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address,
            born: unix_millis(),
            is_alive: Arc::new(AtomicBool::new(true)),
            fails: Arc::default(),
            runs: Arc::default(),
            record: Arc::clone(&lab.record),
        };
        lab.record.line(&format!(
            "worker {id} ({service} {version}) listens at {}",
            worker.address
        ));
        let _ = listener.set_nonblocking(true);
        let server = worker.clone();
        thread::spawn(move || {
            while server.is_alive.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = server.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        worker
    }

    /// Starts a worker that reports its status.
    fn start(lab: &Lab, id: &str, service: &str, version: &str) -> Self {
        let worker = Self::listen(lab, id, service, version);
        let (reporter, controls) = (worker.clone(), Arc::clone(&lab.controls));
        thread::spawn(move || {
            let mut number = 0;
            while reporter.is_alive.load(Ordering::Relaxed) {
                number += 1;
                let body = reporter.report(number);
                let nodes = controls.lock().unwrap().clone();
                let first = draw() as usize;
                for step in 0..nodes.len() {
                    let node = &nodes[(first + step) % nodes.len()];
                    let path = format!("/api/instances/{}/heartbeat", reporter.id);
                    let answer = call(node, "POST", &path, &[], &body, CONTROL_TIMEOUT);
                    if answer.is_some_and(|a| a.status == 200) {
                        break;
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn report(&self, number: u64) -> String {
        let Self {
            service,
            version,
            address,
            born,
            ..
        } = self;
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"z1","Version":"{version}","Slots":6,"State":"ready","ColdLeftMs":0,"SeqNo":{number},"born":{born}}}"#
        )
    }

    /// Ends the worker for good; its address refuses channels.
    fn lose(&self) {
        self.is_alive.store(false, Ordering::Relaxed);
        self.record
            .line(&format!("worker {} is lost for good", self.id));
    }

    fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut bytes = Vec::new();
        while self.is_alive.load(Ordering::Relaxed) {
            let Some((head, rest)) = read_head(&mut stream, &mut bytes) else {
                return;
            };
            let value = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(':'));
                lines
                    .find(|(n, _)| n.eq_ignore_ascii_case(name))
                    .map(|(_, v)| v.trim().to_owned())
            };
            let length: usize = value("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            bytes = rest;
            while bytes.len() < length {
                let mut buffer = [0; 4_096];
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                    _ => return,
                }
            }
            bytes.drain(..length);
            let id = value("x-request-id").unwrap_or_default();
            let expected = value("x-expect-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.runs.lock().unwrap().push(id.clone());
                self.record.line(&format!(
                    "worker {} ({} {}) runs {id}",
                    self.id, self.service, self.version
                ));
                thread::sleep(Duration::from_millis(10));
                let stamp = format!("X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\n", self.id);
                if self.fails.load(Ordering::Relaxed) && draw().is_multiple_of(2) {
                    format!(
                        "HTTP/1.1 500 Internal Server Error\r\n{stamp}Content-Length: 0\r\n\r\n"
                    )
                } else {
                    format!(
                        "HTTP/1.1 200 OK\r\n{stamp}Content-Length: 800\r\n\r\n{}",
                        "x".repeat(800)
                    )
                }
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads a request head; returns it with the bytes that follow.
fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(bytes).into_owned(), rest));
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// Sends requests to `paths` from a few threads until `is_over`.
fn traffic(
    lab: &Arc<Lab>,
    paths: &'static [(&'static str, &'static str)],
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    (0..4)
        .map(|_| {
            let (lab, is_over) = (Arc::clone(lab), Arc::clone(is_over));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let (method, path) = paths[draw() as usize % paths.len()];
                    lab.request(method, path);
                    pause(0.02);
                }
            })
        })
        .collect()
}

/// A status report with a field missing comes from another writer and names no worker to use.
fn incomplete_report(lab: &Arc<Lab>, has_trouble: bool) -> bool {
    lab.start_all();
    lab.configure(1, &[("/orders/", "non_idempotent", "app")], &["app"]);
    let workers: Vec<Worker> = (1..=3)
        .map(|n| Worker::start(lab, &format!("i-{n}"), "app", "v1"))
        .collect();
    let foreign = Worker::listen(lab, "i-foreign", "no service of ours", "v1");
    pause(3.0);
    if has_trouble {
        let (lab, foreign) = (Arc::clone(lab), foreign.clone());
        thread::spawn(move || {
            let report = Worker {
                service: "app".to_owned(),
                ..foreign
            };
            for number in 1..=15 {
                let body = report.report(number).replace(r#""ColdLeftMs":0,"#, "");
                let node = lab.controls.lock().unwrap()[draw() as usize % 3].clone();
                let path = "/api/instances/i-foreign/heartbeat";
                let answer = call(&node, "POST", path, &[], &body, CONTROL_TIMEOUT);
                lab.record.line(&format!(
                    "another writer POST {path} {body} at {node}: {:?}",
                    answer.map(|a| a.status)
                ));
                thread::sleep(HEARTBEAT);
            }
        });
    }
    pause(3.0);
    let mut foreign_answers = 0;
    for _ in 0..120 {
        let (_, answer) = lab.request("POST", "/orders/x");
        let stamp = answer
            .filter(|a| a.status == 200)
            .and_then(|a| a.headers.get("x-server-stamp").cloned());
        foreign_answers += usize::from(stamp.is_some_and(|stamp| stamp.starts_with("i-foreign.")));
        pause(0.05);
    }
    let own: usize = workers.iter().map(Worker::run_count).sum();
    let count = foreign.run_count();
    lab.record.say(&format!("120 orders: {own} run by the workers, {count} run by the server that no valid report names, {foreign_answers} answered with its stamp"));
    count > 0
}

/// Workers are lost for good one after the other; a good version is rolled out later.
fn lost_workers(lab: &Arc<Lab>, has_trouble: bool) -> bool {
    lab.start_all();
    lab.configure(
        1,
        &[
            ("/orders/", "non_idempotent", "app"),
            ("/reads/", "idempotent", "app"),
        ],
        &["app"],
    );
    let mut workers: Vec<Worker> = (1..=4)
        .map(|n| Worker::start(lab, &format!("i-{n}"), "app", "v1"))
        .collect();
    pause(3.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let threads = traffic(lab, &[("POST", "/orders/x"), ("GET", "/reads/x")], &is_over);
    for n in 5..=13 {
        if has_trouble {
            workers.remove(0).lose();
            pause(1.0);
            workers.push(Worker::start(lab, &format!("i-{n}"), "app", "v1"));
        }
        pause(3.5);
    }
    let order = r#"{"Service":"app","Target":"v2","CompleteByS":16}"#;
    if lab
        .order("POST", "/api/rollouts/begin", order, 4.0)
        .is_none_or(|a| a.status != 200)
    {
        cannot_run("the roll-out was not acknowledged");
    }
    let new: Vec<Worker> = (1..=4)
        .map(|n| Worker::start(lab, &format!("i-new-{n}"), "app", "v2"))
        .collect();
    let start = Instant::now();
    let mut state = String::new();
    while start.elapsed().as_secs_f64() < 17.0 && (state.is_empty() || state == "running") {
        pause(0.5);
        state = lab.rollout_state("app");
    }
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let counts: Vec<usize> = new.iter().map(Worker::run_count).collect();
    lab.record.say(&format!("roll-out of a good version, {:.1} s after its order: {state}; its workers ran {counts:?} requests without a failure", start.elapsed().as_secs_f64()));
    state != "completed"
}

/// A roll-out is rolled back as its workers fail; once they are sound, it is ordered again.
fn ordered_again(lab: &Arc<Lab>, has_trouble: bool) -> bool {
    lab.start_all();
    lab.configure(
        1,
        &[
            ("/orders/", "non_idempotent", "app"),
            ("/reads/", "idempotent", "app"),
        ],
        &["app"],
    );
    let _old: Vec<Worker> = (1..=3)
        .map(|n| Worker::start(lab, &format!("i-{n}"), "app", "v1"))
        .collect();
    pause(3.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let threads = traffic(lab, &[("POST", "/orders/x"), ("GET", "/reads/x")], &is_over);
    let order = r#"{"Service":"app","Target":"v2","CompleteByS":16}"#;
    let mut state = String::new();
    let mut new: Vec<Worker> = Vec::new();
    for round in 1..=2 {
        let before: usize = new.iter().map(Worker::run_count).sum();
        if lab
            .order("POST", "/api/rollouts/begin", order, 4.0)
            .is_none_or(|a| a.status != 200)
        {
            cannot_run("the roll-out was not acknowledged");
        }
        let start = Instant::now();
        if round == 1 {
            // The platform starts the workers of the new version beside the old ones.
            new = (1..=3)
                .map(|n| Worker::start(lab, &format!("i-new-{n}"), "app", "v2"))
                .collect();
            new.iter()
                .for_each(|worker| worker.fails.store(has_trouble, Ordering::Relaxed));
        }
        pause(1.0);
        state = lab.rollout_state("app");
        while start.elapsed().as_secs_f64() < 17.0
            && (state == "running" || (round == 2 && state == "rolled_back"))
        {
            pause(0.5);
            state = lab.rollout_state("app");
        }
        let count = new.iter().map(Worker::run_count).sum::<usize>() - before;
        lab.record.say(&format!("order {round} of the roll-out, acknowledged: {state} after {:.1} s; the new version ran {count} requests meanwhile", start.elapsed().as_secs_f64()));
        new.iter()
            .for_each(|worker| worker.fails.store(false, Ordering::Relaxed));
        lab.record
            .line("the workers of the new version are sound from now on");
        pause(6.0);
    }
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    state != "completed"
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        cannot_run("usage: lab CASE FOLDER");
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let file = File::create(PathBuf::from(folder).join("record.txt"));
    let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
    let record = Arc::new(Record {
        file: Mutex::new(file),
        start: Instant::now(),
    });
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let lab = Arc::new(Lab::new(Arc::clone(&record)));
    let is_broken = match case.as_str() {
        "incomplete-report" => incomplete_report(&lab, has_trouble),
        "lost-workers" => lost_workers(&lab, has_trouble),
        "ordered-again" => ordered_again(&lab, has_trouble),
        _ => cannot_run("unknown case"),
    };
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    lab.end();
    std::process::exit(i32::from(is_broken));
}
