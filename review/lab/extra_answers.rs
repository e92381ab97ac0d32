//! Some workers send an answer to an earlier request once more, where the next one is expected.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Message;
use crate::site::CONTACT_MS;
use crate::site::ENTRIES;
use crate::site::Site;
use crate::worker::Action;
use crate::worker::Behaviour;

const SERVICE: &str = "wuno96b";
const WORKERS: usize = 4;
/// Workers of these that are faulty.
const FAULTY: usize = 2;
/// Thousandths of the requests that a worker runs and answers with a failure of its own.
const FAILING: u64 = 140;
/// Thousandths of a faulty worker's answers that come with an extra one.
const EXTRA: u64 = 30;
const PER_SECOND: u64 = 60;
const SECONDS: u64 = 85;
const ATTEMPTS: usize = 2;

fn behaviour() -> Behaviour {
    Arc::new(move |request: &Message| {
        // Whether a worker fails a request depends on the request and the worker.
        let id = request.header("x-request-id").unwrap_or("");
        let expected = request.header("x-expect-instance").unwrap_or("");
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in id.bytes().chain(expected.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        let status = if (hash >> 20) % 1_000 < FAILING {
            500
        } else {
            200
        };
        Action::Answer(status, b"order".to_vec(), Duration::from_millis(40))
    })
}

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let routes = crate::route("lookup", "idempotent", SERVICE, ATTEMPTS as u32, "");
    site.put_config(&crate::config(&routes, SERVICE));
    let faulty = if crate::has_trouble() { FAULTY } else { 0 };
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour(), (faulty, EXTRA));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let entries: Vec<_> = (0..ENTRIES).map(|index| site.entry(index)).collect();
    let mut senders = Vec::new();
    for number in 0..PER_SECOND * SECONDS {
        let (record, entry) = (site.record.clone(), entries[number as usize % ENTRIES]);
        senders.push(thread::spawn(move || {
            let id = format!("7{number:07x}");
            crate::send(&record, entry, "GET", "/lookup/1", &id, &[], b"")
        }));
        thread::sleep(Duration::from_micros(1_000_000 / PER_SECOND));
    }
    let mut refused = 0;
    for sender in senders {
        if sender.join().ok().flatten() == Some(503) {
            refused += 1;
        }
    }
    let mut runs: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for worker in &workers {
        for (_, number, id) in worker.runs.lock().unwrap().iter() {
            runs.entry(id.clone()).or_default().push(*number);
        }
    }
    let over: Vec<_> = runs
        .iter()
        .filter(|(_, workers)| workers.len() > ATTEMPTS)
        .collect();
    for (id, workers) in &over {
        site.record
            .line(&format!("{id} ran on workers {workers:?}"));
    }
    Verdict {
        is_broken: over.len() > 3,
        text: format!(
            "{} of {} requests ran on more workers than MaxAttempts = {ATTEMPTS} (3 allowed); {refused} refused",
            over.len(),
            runs.len()
        ),
    }
}
