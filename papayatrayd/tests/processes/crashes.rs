//! Endpoints that crash on requests with one prompt part, whatever else the requests hold.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::site::Site;
use crate::site::call_with_headers;
use crate::site::read_head;

/// Prompt part on which endpoints crash.
const POISON_PART: &str = "dead";
/// Endpoints at the start; far more than may crash.
const ENDPOINTS: usize = 40;
/// Requests with the part, at most; enough to crash all endpoints.
const MAX_POISON_REQUESTS: usize = 120;
/// Requests with the part after the first that is refused.
const LATER_REQUESTS: usize = 20;
/// Sound requests until one has to be served.
const MAX_SOUND_REQUESTS: usize = 10;
/// Time for which an endpoint reads a prompt.
const PREFILL: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Events of a stream.
const EVENTS: u64 = 10;

/// Endpoint that serves streams, and stops listening on a request with the poison part.
struct CrashingEndpoint {
    address: SocketAddr,
    has_crashed: AtomicBool,
    is_closed: AtomicBool,
    /// Requests with the poison part that arrived.
    poison_count: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

impl CrashingEndpoint {
    fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            has_crashed: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            poison_count: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let server = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_crashed.load(Ordering::SeqCst) {
                    break;
                }
                let clone = stream.try_clone().unwrap();
                server.connections.lock().unwrap().push(clone);
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
            drop(listener);
            server.is_closed.store(true, Ordering::SeqCst);
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(head) = read_head(&mut stream).map(|head| head.to_ascii_lowercase()) else {
            return;
        };
        let is_poison = head.contains(&format!("{POISON_PART}:"));
        if is_poison {
            self.poison_count.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(PREFILL);
        let response_head = "HTTP/1.1 200 OK\r\nPapayatray-Request: r-1\r\nPapayatray-Ran: s\r\n\
                             Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        // The gateway may have closed the connection, here and below.
        let _sent = stream.write_all(response_head.as_bytes());
        if is_poison {
            self.crash();
            return;
        }
        for id in 1..=EVENTS {
            let event = format!("id: {id}\ndata: piece\n\n");
            if write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_err() {
                return;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        let _sent = stream.write_all(b"0\r\n\r\n");
    }

    /// Stops listening, then resets all connections.
    fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the listener's thread, which closes the listener.
        let _woken = TcpStream::connect(self.address);
        while !self.is_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            // The peer may have closed it.
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Site whose endpoints crash, with callers that send sound requests until it is dropped.
struct CrashingSite {
    site: Arc<Site>,
    endpoints: Vec<Arc<CrashingEndpoint>>,
    is_over: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl CrashingSite {
    fn start(name: &str) -> Self {
        let site = Arc::new(Site::start(name));
        site.publish(1, "/a/");
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| CrashingEndpoint::start()).collect();
        announce(&site, &endpoints);
        for entry in 0..2 {
            site.wait_status(entry, "/a/x", 200);
        }
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..4).map(|number| {
            let (site, is_over) = (Arc::clone(&site), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut sent = 0;
                while !is_over.load(Ordering::SeqCst) {
                    sent += 1;
                    send_sound(&site, number % 2, number * 10_000 + sent);
                }
            })
        });
        Self {
            callers: callers.collect(),
            site,
            endpoints,
            is_over,
        }
    }

    /// Sends a request with the poison part that is like no other; returns whether it was refused as
    /// quarantined.
    fn send_poison(&self, number: usize) -> bool {
        let entry = number % 2;
        let parts = if number.is_multiple_of(3) {
            format!("aa:100,{POISON_PART}:50,{number:x}0000:9")
        } else {
            format!("aa:100,bb:50,{POISON_PART}:20,{number:x}0000:9")
        };
        let path = format!("/a/poison-{number}");
        let (status, reason) = send(&self.site, entry, &path, &parts);
        status == 503 && reason.contains("quarantined")
    }

    fn crashed(&self) -> usize {
        let crashed = self.endpoints.iter();
        crashed
            .filter(|e| e.has_crashed.load(Ordering::SeqCst))
            .count()
    }

    fn poison_arrivals(&self) -> usize {
        let counts = self.endpoints.iter();
        counts.map(|e| e.poison_count.load(Ordering::SeqCst)).sum()
    }
}

impl CrashingSite {
    fn stop_callers(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            // A caller that panicked has printed why.
            let _ended = caller.join();
        }
    }
}

impl Drop for CrashingSite {
    fn drop(&mut self) {
        self.stop_callers();
    }
}

/// Announces the endpoints that have not crashed.
fn announce(site: &Site, endpoints: &[Arc<CrashingEndpoint>]) {
    for (number, endpoint) in endpoints.iter().enumerate() {
        if !endpoint.has_crashed.load(Ordering::SeqCst) {
            site.announce_as(&format!("e-{number}"), endpoint.address);
        }
    }
}

/// Sends a sound request, which shares its first parts with requests that crash endpoints; returns
/// status and body.
fn send_sound(site: &Site, entry: usize, number: usize) -> (u16, String) {
    let parts = format!("aa:100,bb:50,{number:x}00:9");
    send(site, entry, &format!("/a/sound-{number}"), &parts)
}

fn send(site: &Site, entry: usize, path: &str, parts: &str) -> (u16, String) {
    let headers = format!("Papayatray-Prefix: {parts}\r\n");
    let address = site.caller_addresses[entry];
    call_with_headers(address, "POST", path, &headers, path)
}

/// Sends requests with the poison part until both entries refuse them; returns how many were sent.
fn play_until_quarantined(play: &CrashingSite) -> usize {
    let mut refused = [false, false];
    let mut number = 0;
    while refused != [true, true] && number < MAX_POISON_REQUESTS {
        refused[number % 2] = play.send_poison(number);
        number += 1;
    }
    let crashed = play.crashed();
    assert!(crashed < ENDPOINTS, "all {crashed} endpoints crashed");
    number
}

#[test]
fn prompt_part_that_crashes_endpoints_is_quarantined_at_every_entry() {
    let play = CrashingSite::start("part");
    let number = play_until_quarantined(&play);
    let arrivals = play.poison_arrivals();
    for later in 0..LATER_REQUESTS {
        assert!(play.send_poison(number + later));
    }
    assert_eq!(play.poison_arrivals(), arrivals);
    for entry in 0..2 {
        // A request that meets several crashed endpoints in a row is told to come back.
        let mut sent = 0;
        while send_sound(&play.site, entry, sent).0 != 200 {
            sent += 1;
            assert!(sent < MAX_SOUND_REQUESTS, "sound requests are not served");
        }
    }
}

#[test]
fn quarantine_outlives_a_restart_of_all_control_replicas_and_of_an_entry() {
    let mut play = CrashingSite::start("restart");
    let number = play_until_quarantined(&play);
    let arrivals = play.poison_arrivals();
    play.stop_callers();
    let site = Arc::get_mut(&mut play.site).unwrap();
    for control in 0..3 {
        site.kill(&format!("control-{control}"));
    }
    for control in 0..3 {
        site.spawn(&format!("control-{control}"));
    }
    site.publish(2, "/a/");
    announce(site, &play.endpoints);
    site.kill("entry-1");
    site.spawn("entry-1");
    for entry in 0..2 {
        site.wait_status(entry, "/a/x", 200);
    }
    for later in 0..LATER_REQUESTS {
        assert!(play.send_poison(number + later));
    }
    assert_eq!(play.poison_arrivals(), arrivals);
}
