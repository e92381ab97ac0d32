//! One worker of a service sends a body without end, in small chunks, until the caller closes.

use std::fs;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Channel;
use crate::client::HOST;
use crate::client::KEY;
use crate::site::FRONT_PORT;
use crate::site::Site;
use crate::worker::Answer;
use crate::worker::Request;
use crate::worker::Worker;

/// Memory of an edge machine, as on the sheet of Pagina Viva.
const MEMORY_MB: u32 = 110;
/// Interval at which the platform looks at the memory of the process.
const MEMORY_CHECK: Duration = Duration::from_millis(10);
/// Consumers with a stream on a kept channel.
const STREAMS: u32 = 12;
/// Events of a stream, and the pause between two of them.
const EVENTS: u32 = 140;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Further requests while a worker is in trouble, and the pause between two of them.
const READS: u32 = 14;
const READ_GAP: Duration = Duration::from_millis(250);

/// Returns the resident memory of a process in megabytes.
fn resident_mb(pid: u32) -> Option<u32> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u32 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024)
}

/// Answers with a stream; once `is_faulty` is set, with a failure whose body has no end.
fn stream_answer(is_faulty: Arc<AtomicBool>) -> Answer {
    Arc::new(
        move |worker: &Worker, request: &Request, stream: &mut TcpStream| {
            worker
                .record
                .add(&format!("{}: runs {}", worker.id, request.id()));
            if is_faulty.load(Ordering::Relaxed) {
                return answer_endlessly(worker, request, stream);
            }
            let is_short = request.head.path().ends_with("/short");
            let count = if is_short { 2 } else { EVENTS };
            let kept = worker.answer_stream(request, stream, count, EVENT_GAP);
            let outcome = if kept.is_ok() {
                "whole"
            } else {
                "its channel was lost"
            };
            worker
                .record
                .add(&format!("{}: ends {}: {outcome}", worker.id, request.id()));
            kept
        },
    )
}

/// Sends chunks of one byte until the caller closes the channel.
fn answer_endlessly(
    worker: &Worker,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let id = request.id();
    let head = format!(
        "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        worker.id
    );
    stream.write_all(head.as_bytes())?;
    let chunks = b"1\r\nx\r\n".repeat(2_000);
    let mut sent = 0_usize;
    let error = loop {
        match stream.write_all(&chunks) {
            Ok(()) => sent += 2_000,
            Err(error) => break error,
        }
    };
    let text = format!(
        "{}: sent {sent} bytes of the body of {id} until {error}",
        worker.id
    );
    worker.record.add(&text);
    Ok(false)
}

pub fn run(site: &mut Site, trouble: bool) -> Result<Option<String>, String> {
    let text = |error: io::Error| error.to_string();
    site.start_core().map_err(text)?;
    let edges = [
        site.edge(1, "zone-a", MEMORY_MB),
        site.edge(2, "zone-b", MEMORY_MB),
    ];
    let pid = site.start(&edges[0]).map_err(text)?;
    site.start(&edges[1]).map_err(text)?;
    let config = format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-stream","Hostname":"{HOST}","PathPrefix":"/stream/","RouteKind":"streaming","TimeoutMs":15000,"TargetLatencyMs":4000,"Priority":1,"Service":"assistant","MaxAttempts":3,"Resumable":true,"ItlTargetMs":1500}}],"Services":[{{"Name":"assistant","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"tenant-one","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    site.configure(&config)?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    for number in 1..=3 {
        let place = (format!("{}:18120", site.ip(60 + number)), "zone-a");
        let (id, controls) = (format!("model-{number}"), site.controls());
        let fault = if number == 3 {
            Arc::clone(&is_faulty)
        } else {
            Arc::default()
        };
        let answer = stream_answer(fault);
        Worker::start(
            &id,
            "assistant",
            place,
            controls,
            site.record.clone(),
            answer,
        )
        .map_err(text)?;
    }
    site.wait_ready(&edges[0])?;
    site.wait_ready(&edges[1])?;
    thread::sleep(Duration::from_secs(4));
    let front = format!("{}:{FRONT_PORT}", edges[0].ip);

    // Streams of sound workers, each the second request on its channel.
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut streams = Vec::new();
    for number in 1..=STREAMS {
        let (front, record, ends) = (front.clone(), site.record.clone(), Arc::clone(&ends));
        streams.push(thread::spawn(move || {
            let Ok(mut channel) = Channel::open(&front) else {
                return;
            };
            let first = channel.ask("POST", "/stream/short", &format!("first-{number}"), 15_000);
            record.add(&format!(
                "consumer {number}: first answer whole: {}",
                first.is_ok()
            ));
            let id = format!("stream-{number}");
            let head = channel
                .send("POST", "/stream/long", &id, 15_000)
                .and_then(|()| channel.head());
            let by = head
                .as_ref()
                .ok()
                .and_then(|head| head.get("x-server-stamp"));
            let by = by.unwrap_or("nobody").to_owned();
            let answer = head.and_then(|head| channel.body(&head).map(|body| (head, body)));
            let outcome = match &answer {
                Ok((head, body)) => {
                    format!("status {}, {} bytes, whole", head.status(), body.len())
                }
                Err(error) => format!("channel ended within the answer: {error}"),
            };
            record.add(&format!("consumer {number}: {id} by {by}: {outcome}"));
            if let Ok(mut ends) = ends.lock() {
                ends.push((by.starts_with("model-3"), answer.is_ok()));
            }
        }));
    }

    // The platform kills a process that uses more than `MemoryMb`.
    let done = Arc::new(AtomicBool::new(false));
    let peak = {
        let (done, record) = (Arc::clone(&done), site.record.clone());
        thread::spawn(move || {
            let mut peak = 0;
            while !done.load(Ordering::Relaxed) {
                let used = resident_mb(pid).unwrap_or(0);
                peak = peak.max(used);
                if used > MEMORY_MB {
                    record.add(&format!(
                        "platform: process {pid} uses {used} MB of {MEMORY_MB}: SIGKILL"
                    ));
                    let _ = std::process::Command::new("kill")
                        .arg("-KILL")
                        .arg(pid.to_string())
                        .status();
                    break;
                }
                thread::sleep(MEMORY_CHECK);
            }
            peak
        })
    };
    thread::sleep(Duration::from_secs(1));
    if trouble {
        site.record.add("model-3: in trouble from now on");
        is_faulty.store(true, Ordering::Relaxed);
    }
    let started = Instant::now();
    let mut reads = Vec::new();
    for number in 1..=READS {
        let (front, record) = (front.clone(), site.record.clone());
        reads.push(thread::spawn(move || {
            let id = format!("read-{number}");
            let asked = Channel::open(&front)
                .and_then(|mut channel| channel.ask("POST", "/stream/short", &id, 15_000));
            let outcome = match asked {
                Ok((head, body)) => format!("status {}, {} bytes", head.status(), body.len()),
                Err(error) => format!("no answer: {error}"),
            };
            record.add(&format!("consumer: {id}: {outcome}"));
        }));
        thread::sleep(READ_GAP);
    }
    for thread in reads.into_iter().chain(streams) {
        let _ = thread.join();
    }
    done.store(true, Ordering::Relaxed);
    let peak = peak.join().unwrap_or(0);
    let ends = ends.lock().map(|ends| ends.clone()).unwrap_or_default();
    // Only streams of sound workers count.
    let cut = ends
        .iter()
        .filter(|(is_faulty, is_whole)| !is_faulty && !is_whole)
        .count();
    site.record.add(&format!(
        "{} streams whole, {cut} of sound workers cut off; peak memory {peak} MB, {} ms after the first read; ended: {:?}",
        ends.iter().filter(|(_, is_whole)| *is_whole).count(),
        started.elapsed().as_millis(),
        site.ended(pid)
    ));
    if ends.len() < STREAMS as usize || (!trouble && cut > 0) {
        return Err("the streams were not served without the disruption".to_owned());
    }
    Ok((cut > 3).then(|| {
        format!("LOST: {cut} answers of sound workers on kept channels were cut off, as the process used {peak} MB of {MEMORY_MB}")
    }))
}
