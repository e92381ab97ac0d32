//! Status reports of another writer, for a service that no config names.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Verdict;
use crate::http;
use crate::http::Message;
use crate::poison_copies;
use crate::site::CONTACT_MS;
use crate::site::Site;
use crate::worker::Action;
use crate::worker::Behaviour;
use crate::worker::Worker;

const SERVICE: &str = "wuno96b";
const WORKERS: usize = 4;

/// Sends one report for a service that no config names, with the address of a worker.
fn send_foreign_report(site: &Site, worker: &Worker) {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let body = format!(
        r#"{{"Service":"zz-unnamed","Address":"{}","Zone":"aviles","Version":"v9","Slots":4,"State":"ready","ColdLeftMs":0,"SeqNo":1,"born":{}}}"#,
        worker.address,
        born.as_millis()
    );
    let path = format!("/api/instances/x-{}/heartbeat", worker.number);
    let headers = [("Content-Type", "application/json")];
    let timeout = Duration::from_secs(1);
    let answer = http::call(
        site.control(0),
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        timeout,
    );
    let status = answer.map_or(0, |answer| answer.status());
    site.record.line(&format!(
        "foreign report with the address {}: {status}",
        worker.address
    ));
}

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let routes = crate::route("commit", "non_idempotent", SERVICE, 1, "");
    site.put_config(&crate::config(&routes, SERVICE));
    let behaviour: Behaviour =
        Arc::new(|_: &Message| Action::Answer(200, b"done".to_vec(), Duration::from_millis(40)));
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour, (0, 0));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_millis(2_000));
    if crate::has_trouble() {
        for worker in &workers {
            send_foreign_report(site, worker);
        }
    }
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let traffic = poison_copies::sound_traffic(site, "/commit/sound", 30);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(2));
    let ran: usize = workers.iter().map(|w| w.runs.lock().unwrap().len()).sum();
    Verdict {
        is_broken: ran == 0,
        text: format!("{ran} of 300 requests were run by {WORKERS} sound workers"),
    }
}
