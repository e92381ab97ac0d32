//! Memory of a process whose callers or endpoints send bytes without end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::site::MEMORY_MB;
use crate::site::Site;
use crate::site::call;
use crate::site::call_with_headers;
use crate::site::read_head;

/// Requests that the endpoint answers without end at the same time.
const REQUESTS: usize = 40;
/// Callers with a stream of the same endpoint meanwhile, and the events of each.
const STREAMS: usize = 4;
const EVENTS: usize = 30;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that the endpoint sends at once.
const BLOCK_BYTES: usize = 12 << 10;
/// Size limit of a request body, by the plan.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Time in which a response of the largest size arrives.
const RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Time for which the connections with incomplete requests stay open.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Heads of chunked responses.
const EVENTS_HEAD: &str = "HTTP/1.1 200 OK\r\nPapayatray-Request: r-1\r\n\
                           Papayatray-Ran: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const FAILURE_HEAD: &str = "HTTP/1.1 500 Failed\r\nPapayatray-Request: r-1\r\n\
                            Papayatray-Ran: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Response that does not end: its start, and what follows again and again.
struct Endless {
    start: String,
    block: Vec<u8>,
}

impl Endless {
    fn new(start: &str, piece: &str) -> Self {
        let count = (BLOCK_BYTES / piece.len()).max(1);
        Self {
            start: start.to_owned(),
            block: piece.repeat(count).into_bytes(),
        }
    }
}

/// Returns `text` as a chunk.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a stream of events, each a chunk.
fn send_events(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(EVENTS_HEAD.as_bytes())?;
    for id in 1..=EVENTS {
        let event = chunk(&format!("id: {id}\ndata: piece\n\n"));
        stream.write_all(event.as_bytes())?;
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends `endless` until the other end closes the connection.
fn send_endlessly(stream: &mut TcpStream, endless: &Endless) -> std::io::Result<()> {
    stream.write_all(endless.start.as_bytes())?;
    while !endless.block.is_empty() {
        stream.write_all(&endless.block)?;
    }
    // The other end closes the connection.
    stream.read_exact(&mut [0; 1])
}

/// Starts an endpoint that answers requests for `/a/sound` with events, and others with `endless`.
fn start_endpoint(endless: Endless) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endless = std::sync::Arc::new(endless);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let endless = std::sync::Arc::clone(&endless);
            thread::spawn(move || {
                let Some(head) = read_head(&mut stream) else {
                    return;
                };
                // The gateway closes the connection of an endless response.
                let _ended = if head.contains(" /a/sound") {
                    send_events(&mut stream)
                } else {
                    send_endlessly(&mut stream, &endless)
                };
            });
        }
    });
    address
}

/// Starts callers of streams; each thread returns the number of events that its caller got.
fn start_streams(entry: SocketAddr) -> Vec<JoinHandle<usize>> {
    let start = || {
        thread::spawn(move || {
            let deadline = "Papayatray-Deadline-Ms: 20000\r\n";
            let (_, body) = call_with_headers(entry, "GET", "/a/sound", deadline, "");
            body.matches("data: piece").count()
        })
    };
    (0..STREAMS).map(|_| start()).collect()
}

fn assert_within_memory(site: &Site, name: &str, streams: Vec<JoinHandle<usize>>) {
    let peak = site.peak_memory_mb(name);
    println!("{name}: {peak} MB at its peak");
    assert!(peak < MEMORY_MB, "{name} used {peak} MB of {MEMORY_MB} MB");
    for stream in streams {
        assert_eq!(stream.join().unwrap(), EVENTS);
    }
}

/// Asserts that an entry stays within its memory, and serves on, while an endpoint answers `REQUESTS`
/// requests with `endless`.
fn assert_endless_fits(name: &str, endless: Endless) {
    let site = Site::start(name);
    site.publish(1, "/a/");
    site.announce(start_endpoint(endless));
    let entry = site.caller_addresses[0];
    site.wait_status(0, "/a/sound", 200);
    let streams = start_streams(entry);
    let request = || thread::spawn(move || call(entry, "GET", "/a/endless", "").0);
    let requests: Vec<_> = (0..REQUESTS).map(|_| request()).collect();
    let statuses: Vec<u16> = requests.into_iter().map(|r| r.join().unwrap()).collect();
    assert_within_memory(&site, "entry-0", streams);
    assert!(
        statuses.iter().all(|status| matches!(status, 502 | 503)),
        "{statuses:?}"
    );
}

/// Guards against an entry that keeps 32 bytes and more for each byte of a body.
#[test]
fn endless_failure_in_chunks_of_one_byte_fits_into_memory() {
    let endless = Endless::new(FAILURE_HEAD, &chunk("x"));
    assert_endless_fits("endless-bytes", endless);
}

/// Guards against a size limit for each response that all responses together exceed.
#[test]
fn endless_failures_in_large_chunks_fit_into_memory() {
    let endless = Endless::new(FAILURE_HEAD, &chunk(&"x".repeat(BLOCK_BYTES)));
    assert_endless_fits("endless-chunks", endless);
}

#[test]
fn endless_events_fit_into_memory() {
    for (name, piece) in [("bytes", 1), ("chunks", BLOCK_BYTES)] {
        let endless = Endless::new(EVENTS_HEAD, &chunk(&"x".repeat(piece)));
        assert_endless_fits(&format!("endless-event-{name}"), endless);
    }
}

#[test]
fn endless_heads_extensions_and_trailers_fit_into_memory() {
    let trailer = format!("{FAILURE_HEAD}0\r\n");
    let extension = format!("{FAILURE_HEAD}1;x=");
    for (name, start, piece) in [
        ("head", "HTTP/1.1 500 Failed\r\n", "X-Filler: x\r\n"),
        ("interim", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("extension", &extension, "x"),
        ("trailer", &trailer, "X-Filler: x\r\n"),
    ] {
        assert_endless_fits(&format!("endless-{name}"), Endless::new(start, piece));
    }
}

/// Sends requests with incomplete bodies to an address and holds their connections open.
fn hold_bodies(address: SocketAddr, method: &str, path: &str) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nPapayatray-Request: r-1\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let connections: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(head.as_bytes()).unwrap();
            // The last byte is missing; the other end may refuse the request before.
            let _sent = stream.write_all(&vec![b'x'; MAX_BODY_BYTES - 1]);
            stream
        })
        .collect();
    thread::sleep(HOLD_TIME);
    drop(connections);
}

/// Guards against a size limit for each request body that all bodies together exceed.
#[test]
fn held_request_bodies_fit_into_memory() {
    let site = Site::start("held-bodies");
    site.publish(1, "/a/");
    site.announce(start_endpoint(Endless::new("", "x")));
    site.wait_status(0, "/a/sound", 200);
    let streams = start_streams(site.caller_addresses[0]);
    hold_bodies(site.caller_addresses[0], "POST", "/a/held");
    hold_bodies(site.operator_addresses[0], "PUT", "/v1/plan");
    assert_within_memory(&site, "entry-0", streams);
    assert_within_memory(&site, "control-0", Vec::new());
}

/// Starts an endpoint that answers requests for `/a/sound` with events, and others with a failure of the
/// largest size.
pub fn start_endpoint_of_large_responses() -> SocketAddr {
    let body = "x".repeat(MAX_BODY_BYTES);
    let start = format!(
        "HTTP/1.1 500 Failed\r\nPapayatray-Request: r-1\r\nPapayatray-Ran: s\r\n\
         Connection: close\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{body}"
    );
    start_endpoint(Endless {
        start,
        block: Vec::new(),
    })
}

/// Opens a connection that takes few bytes unless they are read.
pub fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let family = rustix::net::AddressFamily::INET;
    let socket = rustix::net::socket(family, rustix::net::SocketType::STREAM, None).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&socket, 4 << 10).unwrap();
    rustix::net::connect(&socket, &address).unwrap();
    TcpStream::from(socket)
}

/// Guards against responses that are copied whole for callers that do not read them.
#[test]
fn unread_responses_fit_into_memory() {
    let site = Site::start("unread-responses");
    site.publish(1, "/a/");
    for number in 1..=3 {
        let address = start_endpoint_of_large_responses();
        site.announce_as(&format!("e-{number}"), address);
    }
    let entry = site.caller_addresses[0];
    site.wait_status(0, "/a/sound", 200);
    let streams = start_streams(entry);
    let unread: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let mut stream = connect_with_small_window(entry);
            let head = "GET /a/large HTTP/1.1\r\nHost: site.example\r\n\
                        Papayatray-Request: r-1\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            // Lets the response arrive, so that only what is unread takes memory.
            thread::sleep(RESPONSE_TIME);
            stream
        })
        .collect();
    thread::sleep(HOLD_TIME);
    assert_within_memory(&site, "entry-0", streams);
    drop(unread);
}
