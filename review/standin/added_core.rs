//! Core machines are added, and workers deregister at them.

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
use crate::site::CONTROL_PORT;
use crate::site::FRONT_PORT;
use crate::site::Site;
use crate::worker::Request;
use crate::worker::Worker;

/// Time after the acknowledgement from which a leaving worker gets no request.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after the acknowledgement at which consumers send again.
const SILENCE: Duration = Duration::from_millis(2_300);
/// Time for which a worker serves after the acknowledgement.
const LINGER: Duration = Duration::from_secs(5);
/// Requests that are sent at the same time.
const REQUESTS: u32 = 12;

/// Sends requests to an edge machine at the same time; returns how many were answered with success.
fn send_all(site: &Site, front: &str, name: &str) -> usize {
    let mut threads = Vec::new();
    for number in 1..=REQUESTS {
        let (front, record) = (front.to_owned(), site.record.clone());
        let id = format!("{name}-{number}");
        threads.push(thread::spawn(move || {
            let asked = Channel::open(&front)
                .and_then(|mut channel| channel.ask("GET", "/page/1", &id, 3_000));
            let status = asked.map_or(0, |(head, _)| head.status());
            record.add(&format!("consumer: {id}: status {status}"));
            status == 200
        }));
    }
    let served = threads.into_iter().filter_map(|thread| thread.join().ok());
    served.filter(|is_served| *is_served).count()
}

pub fn run(site: &mut Site, trouble: bool) -> Result<Option<String>, String> {
    let text = |error: io::Error| error.to_string();
    site.start_core().map_err(text)?;
    let edges = [site.edge(1, "zone-a", 260), site.edge(2, "zone-b", 260)];
    site.start(&edges[0]).map_err(text)?;
    site.start(&edges[1]).map_err(text)?;
    let config = format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-page","Hostname":"{HOST}","PathPrefix":"/page/","RouteKind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Service":"app","MaxAttempts":2}}],"Services":[{{"Name":"app","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"tenant-one","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    site.configure(&config)?;
    // Time of the acknowledgement of each leaving worker, and the late requests.
    let acknowledged: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let late: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 1..=4 {
        let place = (format!("{}:18120", site.ip(60 + number)), "zone-a");
        let (acknowledged, late) = (Arc::clone(&acknowledged), Arc::clone(&late));
        let answer = Arc::new(
            move |worker: &Worker, request: &Request, stream: &mut TcpStream| {
                let left = acknowledged.lock().ok().and_then(|all| {
                    let found = all.iter().find(|(id, _)| *id == worker.id);
                    found.map(|(_, at)| at.elapsed())
                });
                let text = format!(
                    "{}: runs {}, deregistered since {left:?}",
                    worker.id,
                    request.id()
                );
                worker.record.add(&text);
                if left.is_some_and(|left| left > DRAIN)
                    && let Ok(mut late) = late.lock()
                {
                    late.push(text);
                }
                thread::sleep(Duration::from_millis(30));
                worker.answer_whole(request, stream, &[b'x'; 800], left.is_some())
            },
        );
        let id = format!("app-{number}");
        let (controls, record) = (site.controls(), site.record.clone());
        workers.push(Worker::start(&id, "app", place, controls, record, answer).map_err(text)?);
    }
    site.wait_ready(&edges[0])?;
    site.wait_ready(&edges[1])?;
    let mut nodes = vec![site.controls()[1].clone(), site.controls()[2].clone()];
    if trouble {
        nodes.clear();
        for (number, zone) in [(3, "zone-a"), (4, "zone-b")] {
            let machine = site.core(number, zone, false);
            site.start(&machine).map_err(text)?;
            nodes.push(format!("{}:{CONTROL_PORT}", machine.ip));
        }
    }
    // Longer than `SeedLagS`, `CatchUpS` and `ContactMs` together.
    thread::sleep(Duration::from_secs(11));
    let front = format!("{}:{FRONT_PORT}", edges[0].ip);
    let served = send_all(site, &front, "before");
    if served < REQUESTS as usize {
        return Err(format!(
            "only {served} of {REQUESTS} requests were served before"
        ));
    }
    thread::sleep(Duration::from_millis(500));
    for (worker, node) in workers.iter().zip(&nodes) {
        let sent = worker.deregister(std::slice::from_ref(node));
        if sent.is_none() {
            return Err(format!("{node} did not acknowledge a deregistration"));
        }
        if let Ok(mut all) = acknowledged.lock() {
            all.push((worker.id.clone(), Instant::now()));
        }
    }
    thread::sleep(SILENCE);
    let served = send_all(site, &front, "after");
    site.record.add(&format!(
        "{served} of {REQUESTS} requests served after the deregistrations"
    ));
    thread::sleep(LINGER - SILENCE);
    let late = late.lock().map(|late| late.clone()).unwrap_or_default();
    for line in &late {
        site.record.add(&format!("late: {line}"));
    }
    Ok((!late.is_empty()).then(|| {
        format!("DRAIN: {} requests reached a worker more than 2,000 ms after its deregistration was acknowledged", late.len())
    }))
}
