//! One part of a prompt crashes each worker before the first byte of an answer.

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

const SERVICE: &str = "huvo11a";
const WORKERS: usize = 18;
const SECONDS: u64 = 30;
/// Requests with the part that come at the same time.
const TOGETHER: u64 = 4;
/// Time between two such groups.
const GAP: Duration = Duration::from_secs(6);
/// Time in which a worker reads the prompt.
const READING: Duration = Duration::from_millis(900);
const PART: &str = "bad0bad0";

fn behaviour() -> Behaviour {
    let has_trouble = crate::has_trouble();
    Arc::new(move |request: &Message| {
        let parts = request.header("x-prefix-hash").unwrap_or("");
        if has_trouble && parts.contains(PART) {
            Action::Crash(READING)
        } else {
            Action::Stream(8, Duration::from_millis(60))
        }
    })
}

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let more = r#","Sticky":true,"Resumable":true,"ItlTargetMs":800"#;
    let routes = crate::route("note", "streaming", SERVICE, 3, more);
    site.put_config(&crate::config(&routes, SERVICE));
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour(), (0, 0));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let record = site.record.clone();
    let entries: Vec<_> = (0..ENTRIES).map(|index| site.entry(index)).collect();
    let (sound_record, sound_entries) = (record.clone(), entries.clone());
    let sound = thread::spawn(move || {
        let end = sound_record.now() + (SECONDS + 2) * 1_000;
        let mut number = 0;
        while sound_record.now() < end {
            number += 1;
            let (record, entry) = (sound_record.clone(), sound_entries[number % ENTRIES]);
            thread::spawn(move || {
                let id = format!("5{number:07x}");
                let prefix = format!("5c1e07a2:800,91bd3f{:02x}:140,{number:x}5:50", number % 7);
                let more = [
                    ("X-Model", "m0"),
                    ("X-Token-Count", "990,16"),
                    ("X-Prefix-Hash", prefix.as_str()),
                ];
                crate::send(&record, entry, "POST", "/note/x", &id, &more, id.as_bytes());
            });
            thread::sleep(Duration::from_millis(100));
        }
    });
    thread::sleep(Duration::from_secs(2));
    for number in 0..SECONDS / GAP.as_secs() * TOGETHER {
        let record = record.clone();
        let entry = entries[number as usize % ENTRIES];
        thread::spawn(move || {
            let id = format!("bad{number:05x}");
            let prefix = format!("5c1e07a2:800,{PART}:140,{number:x}7:50");
            let more = [
                ("X-Model", "m0"),
                ("X-Token-Count", "990,16"),
                ("X-Prefix-Hash", prefix.as_str()),
            ];
            crate::send(&record, entry, "POST", "/note/x", &id, &more, id.as_bytes());
        });
        if number % TOGETHER == TOGETHER - 1 {
            thread::sleep(GAP);
        }
    }
    let _ = sound.join();
    let mut crashes: Vec<u64> = Vec::new();
    for worker in &workers {
        crashes.extend(
            worker
                .crashes
                .lock()
                .unwrap()
                .iter()
                .map(|(time, ..)| *time),
        );
    }
    crashes.sort_unstable();
    let fifth = crashes.get(4).copied();
    // Counted are requests, not the workers that each of them reached.
    let mut late: Vec<String> = Vec::new();
    for worker in &workers {
        for (time, _, id) in worker.runs.lock().unwrap().iter() {
            if id.starts_with("bad") && fifth.is_some_and(|at| *time > at + CONTACT_MS) {
                late.push(id.clone());
            }
        }
    }
    late.sort();
    late.dedup();
    site.record.line(&format!(
        "fifth crash: {fifth:?}, crashes: {}",
        crashes.len()
    ));
    Verdict {
        is_broken: late.len() > 3,
        text: format!(
            "{} requests with the part reached workers later than ContactMs after the fifth crash (3 allowed); {} crashes",
            late.len(),
            crashes.len()
        ),
    }
}
