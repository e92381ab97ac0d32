//! A request that crashes each worker that runs it comes again, several copies at a time.

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
use crate::worker::Worker;

const SERVICE: &str = "wuno96b";
const WORKERS: usize = 6;
const ROUNDS: u64 = 6;
const COPIES: usize = 4;
const GAP: Duration = Duration::from_secs(5);
pub const POISON_PATH: &str = "/commit/poison";
pub const POISON_BODY: &[u8] = b"a body that crashes its worker";

pub fn behaviour() -> Behaviour {
    let has_trouble = crate::has_trouble();
    Arc::new(move |request: &Message| {
        if has_trouble && request.path() == POISON_PATH {
            Action::Crash(Duration::from_millis(60))
        } else {
            Action::Answer(200, b"done".to_vec(), Duration::from_millis(60))
        }
    })
}

/// Sound traffic for some seconds, 10 requests a second.
pub fn sound_traffic(site: &Site, path: &'static str, seconds: u64) -> thread::JoinHandle<()> {
    let record = site.record.clone();
    let entries: Vec<_> = (0..ENTRIES).map(|index| site.entry(index)).collect();
    thread::spawn(move || {
        let end = record.now() + seconds * 1_000;
        let mut number = 0;
        while record.now() < end {
            number += 1;
            let (record, entry) = (record.clone(), entries[number % ENTRIES]);
            thread::spawn(move || {
                let id = format!("5{number:07x}");
                let body = format!("sound {number}");
                crate::send(&record, entry, "POST", path, &id, &[], body.as_bytes());
            });
            thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Sends copies of the poison request at the same moment, each a consumer attempt with its own id.
pub fn send_copies(site: &Site, round: u64, copies: usize) {
    let senders = (0..copies).map(|copy| {
        let (record, entry) = (site.record.clone(), site.entry(copy));
        thread::spawn(move || {
            let id = format!("bad{round:03x}{copy:02x}");
            crate::send(&record, entry, "POST", POISON_PATH, &id, &[], POISON_BODY);
        })
    });
    let senders: Vec<_> = senders.collect();
    for sender in senders {
        let _ = sender.join();
    }
}

/// Time at which the poison request had crashed its third worker.
pub fn third_crash(workers: &[Arc<Worker>]) -> Option<u64> {
    let mut times: Vec<u64> = Vec::new();
    for worker in workers {
        times.extend(
            worker
                .crashes
                .lock()
                .unwrap()
                .iter()
                .map(|(time, ..)| *time),
        );
    }
    times.sort_unstable();
    times.get(2).copied()
}

/// Runs of poison requests that began later than `after`.
pub fn runs_after(workers: &[Arc<Worker>], prefix: &str, after: u64) -> usize {
    let count = |worker: &Arc<Worker>| {
        let runs = worker.runs.lock().unwrap();
        let late = runs
            .iter()
            .filter(|(time, _, id)| *time > after && id.starts_with(prefix));
        late.count()
    };
    workers.iter().map(count).sum()
}

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let routes = crate::route("commit", "non_idempotent", SERVICE, 1, "");
    site.put_config(&crate::config(&routes, SERVICE));
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour(), (0, 0));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    // All machines are in touch before the first request.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let traffic = sound_traffic(site, "/commit/sound", ROUNDS * GAP.as_secs());
    thread::sleep(Duration::from_secs(1));
    for round in 0..ROUNDS {
        send_copies(site, round, COPIES);
        thread::sleep(GAP);
    }
    let _ = traffic.join();
    let third = third_crash(&workers);
    let late = third.map_or(0, |at| runs_after(&workers, "bad", at + CONTACT_MS));
    site.record.line(&format!("third crash: {third:?}"));
    Verdict {
        is_broken: late > 3,
        text: format!(
            "{late} runs of the request later than ContactMs after its third crash (3 allowed)"
        ),
    }
}
