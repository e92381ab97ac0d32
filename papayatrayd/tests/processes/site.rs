//! Site of three control replicas and two entries, each a process, with an HTTP client for tests.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use papayatray_standin::free_address;

/// Time-out of waits; generous, because the tests do not check how fast something happens.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Memory that each process may use, in megabytes.
pub const MEMORY_MB: u64 = 110;

/// Secret that all processes of a site share.
pub const SECRET: &str = "0123456789abcdef";

/// Process of the site, running or not.
struct Process {
    /// Contents of the settings file.
    settings: String,
    /// The operating system's process, or `None` while it is not running.
    child: Option<Child>,
}

/// Site of one test; its processes are killed when it is dropped.
pub struct Site {
    folder: PathBuf,
    processes: BTreeMap<String, Process>,
    /// Addresses at which the control replicas serve operators and endpoints.
    pub operator_addresses: Vec<SocketAddr>,
    /// Addresses at which the control replicas serve other processes.
    pub peer_addresses: Vec<SocketAddr>,
    /// Addresses at which the entries serve callers.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses at which the entries serve the list of entries.
    pub status_addresses: Vec<SocketAddr>,
    /// Address of the first entry's metrics page.
    pub metrics_address: SocketAddr,
}

impl Site {
    /// Starts the site of the test `name`.
    pub fn start(name: &str) -> Self {
        let unique = format!("papayatray-processes-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        // An earlier run with the same process id may have left a folder.
        let _gone = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let free = || free_address().unwrap();
        let seeds: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
        let mut site = Self {
            folder,
            processes: BTreeMap::new(),
            operator_addresses: Vec::new(),
            peer_addresses: seeds.clone(),
            caller_addresses: Vec::new(),
            status_addresses: Vec::new(),
            metrics_address: free(),
        };
        for (number, peer) in seeds.iter().enumerate() {
            let operator = free();
            site.operator_addresses.push(operator);
            let data = site.data_folder(number);
            std::fs::create_dir_all(&data).unwrap();
            let role_table = format!(
                "[control]\npeer_address = \"{peer}\"\noperator_address = \"{operator}\"\n\
                 data_folder = \"{}\"\nfounds = true\n",
                data.display(),
            );
            site.add(&format!("control-{number}"), &seeds, &role_table);
        }
        for number in 0..2 {
            let (caller, status) = (free(), free());
            site.caller_addresses.push(caller);
            site.status_addresses.push(status);
            let metrics = if number == 0 {
                format!("metrics_address = \"{}\"\n", site.metrics_address)
            } else {
                String::new()
            };
            let role_table = format!(
                "{metrics}[entry]\ncaller_address = \"{caller}\"\nstatus_address = \"{status}\"\n"
            );
            site.add(&format!("entry-{number}"), &seeds, &role_table);
        }
        site
    }

    /// Returns the data folder of a control replica.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    /// Adds a process and starts it; `role_table` is the part of its settings for its role.
    fn add(&mut self, name: &str, seeds: &[SocketAddr], role_table: &str) {
        let settings = format!(
            "vm = \"{name}\"\ndata_centre = \"here\"\n\
             cluster_secret = \"{SECRET}\"\nmemory = {MEMORY_MB}\nseeds = {:?}\n{role_table}\
             [bounds]\ngrace = \"6s\"\nhold = \"200ms\"\n",
            seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
        );
        let process = Process {
            settings,
            child: None,
        };
        self.processes.insert(name.to_owned(), process);
        self.spawn(name);
    }

    /// Starts a process that is not running.
    pub fn spawn(&mut self, name: &str) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        self.spawn_with_output(name, Stdio::from(log.unwrap()));
    }

    /// Starts a process whose output goes to a pipe that is never read.
    pub fn spawn_with_unread_output(&mut self, name: &str) {
        self.spawn_with_output(name, Stdio::piped());
    }

    fn spawn_with_output(&mut self, name: &str, output: Stdio) {
        let path = self.folder.join(format!("{name}.toml"));
        let process = self.processes.get_mut(name).unwrap();
        std::fs::write(&path, &process.settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_papayatray-gateway"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn();
        process.child = Some(child.unwrap());
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).unwrap();
        let mut child = process.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, name: &str) {
        let child = self.processes[name].child.as_ref().unwrap();
        let id = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    }

    /// Waits until a process has exited, which must be with success.
    pub fn wait_exit(&mut self, name: &str) {
        let process = self.processes.get_mut(name).unwrap();
        let status = process.child.take().unwrap().wait().unwrap();
        assert!(status.success(), "{name}: {status}");
    }

    /// Returns the most memory that a running process has used so far, in megabytes.
    pub fn peak_memory_mb(&self, name: &str) -> u64 {
        let id = self.processes[name].child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes * 1_024 / 1_000_000
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap()
    }

    /// Repeats a call to the operator interfaces until one of them accepts it.
    pub fn call_operator(&self, method: &str, path: &str, body: &str) -> String {
        let begin = Instant::now();
        let mut last = String::new();
        while begin.elapsed() < WAIT_TIMEOUT {
            for address in &self.operator_addresses {
                let (status, response) = call(*address, method, path, body);
                if status == 200 {
                    return response;
                }
                last = format!("{status} {response}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{method} {path}: expected the status 200, got {last}");
    }

    /// Publishes a plan with one public route to the service `app`.
    pub fn publish(&self, version: u64, prefix: &str) {
        let plan = serde_json::json!({
            "version": version,
            "routes": [{
                "name": "app", "host": "site.example", "prefix": prefix,
                "kind": {"Stream": {"resumable": true}}, "timeout": 20_000, "objective": 1_000,
                "pause": null, "rank": 1, "sizes": [],
                "targets": [{"service": "app", "weight": 1}], "attempts": 3, "public": true,
            }],
            "services": {"app": {"connections": null, "costs": {}}},
            "organisations": {},
            "limits": {"head": 16384, "body": 4 << 20, "header_timeout": 5000, "idle_timeout": 9000},
        });
        self.call_operator("PUT", "/v1/plan", &plan.to_string());
    }

    /// Announces the endpoint `e-1` of the service `app`.
    pub fn announce(&self, address: SocketAddr) {
        self.announce_as("e-1", address);
    }

    /// Announces an endpoint of the service `app`.
    pub fn announce_as(&self, id: &str, address: SocketAddr) {
        self.announce_in("here", id, address);
    }

    /// Announces an endpoint of the service `app` in a data centre.
    pub fn announce_in(&self, data_centre: &str, id: &str, address: SocketAddr) {
        let endpoint = serde_json::json!({
            "id": id, "incarnation": 1, "sequence": 1, "address": address.to_string(),
            "data_centre": data_centre, "offer": {"service": "app"}, "slots": 8, "fences": false,
            "leaving": false, "load": {"running": 0, "waiting": 0}, "release": "v1", "cold": 0,
        });
        self.call_operator("PUT", "/v1/endpoints", &endpoint.to_string());
    }

    /// Waits until an entry responds to a request with the status `expected`; returns the body.
    pub fn wait_status(&self, entry: usize, path: &str, expected: u16) -> String {
        let begin = Instant::now();
        let mut last = (0, String::new());
        while begin.elapsed() < WAIT_TIMEOUT {
            last = call(self.caller_addresses[entry], "GET", path, "");
            if last.0 == expected {
                return last.1;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("entry {entry}: expected the status {expected}, got {last:?}");
    }

    /// Returns the caller addresses of the entries that an entry lists.
    pub fn entries(&self, entry: usize) -> Vec<String> {
        let (_, body) = call(self.status_addresses[entry], "GET", "/v1/entries", "");
        let body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|address| address.as_str().map(str::to_owned))
            .collect()
    }

    /// Waits until `condition` is true; `what` names it in the failure message.
    pub fn wait<F>(&self, what: &str, condition: F)
    where
        F: Fn(&Self) -> bool,
    {
        let begin = Instant::now();
        while !condition(self) {
            assert!(begin.elapsed() < WAIT_TIMEOUT, "{what}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                // The process may have exited already.
                let _killed = child.kill();
                let _ended = child.wait();
            }
        }
        // Failure to remove the folder does no harm.
        let _gone = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one request; returns the status, or 0 without a response, and the body.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    call_with_headers(address, method, path, "", body)
}

/// Sends one request like [`call`], with further header lines.
pub fn call_with_headers(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
        return (0, String::new());
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\
         Papayatray-Request: r-1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len(),
    );
    let mut bytes = Vec::new();
    let sent = stream.write_all(request.as_bytes());
    // If the connection breaks, the part of the response received so far is returned.
    let _read = sent.and_then(|()| stream.read_to_end(&mut bytes));
    let text = String::from_utf8_lossy(&bytes);
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    (status.unwrap_or(0), rest.to_owned())
}

/// Reads the head of a request; returns `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Starts an endpoint that responds with a stream of `events` events, `pause` apart.
pub fn start_endpoint(events: u64, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                if read_head(&mut stream).is_none() {
                    return;
                }
                // The header `Papayatray-Ran` states that the endpoint ran the request.
                let mut out = "HTTP/1.1 200 OK\r\nPapayatray-Request: r-1\r\n\
                               Papayatray-Ran: s\r\nConnection: close\r\n\
                               Transfer-Encoding: chunked\r\n\r\n"
                    .to_owned();
                for id in 1..=events {
                    let event = format!("id: {id}\ndata: piece\n\n");
                    // Writing to a string cannot fail.
                    let _written = write!(out, "{:x}\r\n{event}\r\n", event.len());
                    if stream.write_all(out.as_bytes()).is_err() {
                        return;
                    }
                    out.clear();
                    thread::sleep(pause);
                }
                // The peer may have closed the connection.
                let _sent = stream.write_all(b"0\r\n\r\n");
            });
        }
    });
    address
}
