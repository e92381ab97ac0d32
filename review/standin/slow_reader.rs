//! An entry is stopped while consumers read their answers slowly.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Channel;
use crate::client::HOST;
use crate::client::KEY;
use crate::site::FRONT_PORT;
use crate::site::Site;
use crate::worker::Worker;

/// Size of an answer in bytes.
const ANSWER_BYTES: usize = 900_000;
/// Bytes that a consumer reads in one step.
const STEP_BYTES: usize = 4_500;
/// Pause of a consumer between two steps: at most 450 kB a second.
const STEP_PAUSE: Duration = Duration::from_millis(10);
/// Consumers of the stopped machine.
const CONSUMERS: u32 = 6;
/// Time limit of a request in milliseconds.
const DEADLINE_MS: u32 = 3_000;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects like a consumer across a network: segments of 1,460 bytes and a small receive window.
fn connect_slowly(address: &str) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let mut name = [0_u8; 16];
    name[..2].copy_from_slice(&2_u16.to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    let (window, segment): (i32, i32) = (8 << 10, 1_460);
    // SAFETY: plain calls of the C library with valid pointers to values of the stated lengths; the
    // new descriptor is owned by the returned stream alone.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(descriptor, name.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Reads an answer slowly; returns the bytes read and the time from the request to the end.
fn read_slowly(channel: &mut Channel, length: usize) -> usize {
    let mut read = 0;
    let mut buffer = vec![0; STEP_BYTES];
    while read < length {
        match channel.reader().read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => read += count,
        }
        thread::sleep(STEP_PAUSE);
    }
    read
}

pub fn run(site: &mut Site, trouble: bool) -> Result<Option<String>, String> {
    let text = |error: io::Error| error.to_string();
    site.start_core().map_err(text)?;
    let edges = [site.edge(1, "zone-a", 260), site.edge(2, "zone-b", 260)];
    let pid = site.start(&edges[0]).map_err(text)?;
    site.start(&edges[1]).map_err(text)?;
    let config = format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-page","Hostname":"{HOST}","PathPrefix":"/page/","RouteKind":"non_idempotent","TimeoutMs":{DEADLINE_MS},"TargetLatencyMs":300,"Priority":0,"Service":"app","MaxAttempts":1}}],"Services":[{{"Name":"app","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"tenant-one","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    site.configure(&config)?;
    for number in 1..=3 {
        let address = format!("{}:18120", site.ip(60 + number));
        let answer = Arc::new(
            |worker: &Worker, request: &crate::worker::Request, stream: &mut TcpStream| {
                worker
                    .record
                    .add(&format!("{}: runs {}", worker.id, request.id()));
                worker.answer_whole(request, stream, &vec![b'x'; ANSWER_BYTES], false)
            },
        );
        let place = (address, "zone-a");
        let id = format!("w-{number}");
        Worker::start(
            &id,
            "app",
            place,
            site.controls(),
            site.record.clone(),
            answer,
        )
        .map_err(text)?;
    }
    site.wait_ready(&edges[0])?;
    site.wait_ready(&edges[1])?;
    thread::sleep(Duration::from_secs(4));
    let front = format!("{}:{FRONT_PORT}", edges[0].ip);
    let stopped_at = Instant::now();
    if trouble {
        site.signal(pid, "TERM");
    }
    // Consumers may hold the address for 3 s: the answer of the directory states one second, and some
    // keep it three times as long.
    thread::sleep(Duration::from_millis(2_500));
    let (sender, receiver) = mpsc::channel();
    for number in 1..=CONSUMERS {
        let (sender, front, record) = (sender.clone(), front.clone(), site.record.clone());
        thread::spawn(move || {
            let id = format!("slow-{number}");
            let started = Instant::now();
            let mut status = 0;
            let mut read = 0;
            if let Ok(stream) = connect_slowly(&front)
                && let Ok(mut channel) = Channel::new(stream)
                && channel.send("POST", "/page/1", &id, DEADLINE_MS).is_ok()
                && let Ok(head) = channel.head()
            {
                status = head.status();
                read = read_slowly(&mut channel, ANSWER_BYTES);
            }
            let took = started.elapsed();
            record.add(&format!(
                "consumer {id}: status {status}, {read} of {ANSWER_BYTES} bytes, channel or answer ended after {} ms",
                took.as_millis()
            ));
            let _ = sender.send((status, read, took));
        });
    }
    drop(sender);
    let results: Vec<_> = receiver.iter().collect();
    let limit = Duration::from_millis(u64::from(DEADLINE_MS));
    let cut = results
        .iter()
        .filter(|(status, read, took)| *status == 200 && *read < ANSWER_BYTES && *took < limit);
    let cut = cut.count();
    let whole = results
        .iter()
        .filter(|(status, read, _)| *status == 200 && *read == ANSWER_BYTES);
    let whole = whole.count();
    thread::sleep(Duration::from_millis(300));
    let ended = site.ended(pid);
    site.record.add(&format!(
        "{whole} answers whole, {cut} cut off before their time limit; process {pid} ended: {ended:?}, {} ms after the signal",
        stopped_at.elapsed().as_millis()
    ));
    if !trouble && whole < CONSUMERS as usize {
        return Err(format!(
            "only {whole} of {CONSUMERS} answers were whole without the disruption"
        ));
    }
    Ok((cut > 0)
        .then(|| format!("LOST: {cut} of {CONSUMERS} answers were cut off by a planned stop")))
}
