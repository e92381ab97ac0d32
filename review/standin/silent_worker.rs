//! A planned stop of an entry while the workers of its streams are silent for some seconds.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Channel;
use crate::client::HOST;
use crate::client::KEY;
use crate::site::FRONT_PORT;
use crate::site::Site;
use crate::worker::Request;
use crate::worker::Worker;

/// Streams that are open at the signal.
const STREAMS: u32 = 6;
/// Events before and after the silence, and the pause between two of them.
const EVENTS: u32 = 8;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Time for which a worker preempts a request.
const PREEMPTED: Duration = Duration::from_millis(4_000);
/// Time from the requests to the signal.
const LEAD: Duration = Duration::from_millis(300);
/// Start of the last sixth of `GraceS`, from when on an answer may be cut off.
const LAST_SIXTH: Duration = Duration::from_millis(6_667);

pub fn run(site: &mut Site, trouble: bool) -> Result<Option<String>, String> {
    let text = |error: io::Error| error.to_string();
    site.start_core().map_err(text)?;
    let edges = [site.edge(1, "zone-a", 260), site.edge(2, "zone-b", 260)];
    let pid = site.start(&edges[0]).map_err(text)?;
    site.start(&edges[1]).map_err(text)?;
    let config = format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-stream","Hostname":"{HOST}","PathPrefix":"/stream/","RouteKind":"streaming","TimeoutMs":25000,"TargetLatencyMs":4000,"Priority":1,"Service":"drafting","MaxAttempts":3,"Resumable":false,"ItlTargetMs":800}}],"Services":[{{"Name":"drafting","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"tenant-one","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    site.configure(&config)?;
    for number in 1..=3 {
        let place = (format!("{}:18120", site.ip(60 + number)), "zone-a");
        let answer = Arc::new(
            move |worker: &Worker, request: &Request, stream: &mut TcpStream| {
                let id = request.id().to_owned();
                worker.record.add(&format!("{}: runs {id}", worker.id));
                let silence = if trouble { PREEMPTED } else { Duration::ZERO };
                let sent = worker.answer_preempted(request, stream, (EVENTS, EVENT_GAP), silence);
                worker
                    .record
                    .add(&format!("{}: ends {id}: {sent:?}", worker.id));
                sent
            },
        );
        let (id, controls) = (format!("model-{number}"), site.controls());
        Worker::start(
            &id,
            "drafting",
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
    let ends: Arc<Mutex<Vec<(bool, Instant)>>> = Arc::default();
    let mut streams = Vec::new();
    for number in 1..=STREAMS {
        let (front, record, ends) = (front.clone(), site.record.clone(), Arc::clone(&ends));
        streams.push(thread::spawn(move || {
            let id = format!("stream-{number}");
            let answer = Channel::open(&front)
                .and_then(|mut channel| channel.ask("POST", "/stream/1", &id, 25_000));
            let is_whole = answer.as_ref().is_ok_and(|(head, _)| head.status() == 200);
            let outcome = answer.map(|(head, body)| (head.status(), body.len()));
            record.add(&format!("consumer: {id}: whole {is_whole}: {outcome:?}"));
            if let Ok(mut ends) = ends.lock() {
                ends.push((is_whole, Instant::now()));
            }
        }));
    }
    thread::sleep(LEAD);
    let signalled_at = Instant::now();
    if trouble {
        site.signal(pid, "TERM");
    }
    for stream in streams {
        let _ = stream.join();
    }
    let ends = ends.lock().map(|ends| ends.clone()).unwrap_or_default();
    let cut = ends.iter().filter(|(is_whole, at)| {
        !is_whole && at.saturating_duration_since(signalled_at) < LAST_SIXTH
    });
    let cut = cut.count();
    let whole = ends.iter().filter(|(is_whole, _)| *is_whole).count();
    site.record.add(&format!(
        "{whole} of {STREAMS} streams whole, {cut} cut off before the last sixth of GraceS"
    ));
    if !trouble && whole < STREAMS as usize {
        return Err("the streams were not whole without the disruption".to_owned());
    }
    Ok((cut > 0).then(|| {
        format!("LOST: {cut} of {STREAMS} streams were cut off while their workers were silent")
    }))
}
