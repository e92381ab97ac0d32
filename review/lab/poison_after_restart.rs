//! A request that crashes workers is held back; then all machines are killed and start again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Message;
use crate::poison_copies;
use crate::site::CONTACT_MS;
use crate::site::Site;
use crate::worker::Action;
use crate::worker::Behaviour;

const SERVICE: &str = "wuno96b";
const WORKERS: usize = 6;
const COPIES: usize = 4;

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let routes = crate::route("commit", "non_idempotent", SERVICE, 1, "");
    site.put_config(&crate::config(&routes, SERVICE));
    let behaviour: Behaviour = Arc::new(|request: &Message| {
        if request.path() == poison_copies::POISON_PATH {
            Action::Crash(Duration::from_millis(60))
        } else {
            Action::Answer(200, b"done".to_vec(), Duration::from_millis(60))
        }
    });
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour, (0, 0));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let traffic = poison_copies::sound_traffic(site, "/commit/sound", 38);
    // The request comes one at a time, until three workers have crashed; then it is refused.
    for round in 0..6 {
        poison_copies::send_copies(site, round, 1);
        thread::sleep(Duration::from_millis(1_500));
    }
    let third = poison_copies::third_crash(&workers);
    let Some(third) = third else {
        crate::site::cannot_run("the request has not crashed three workers");
    };
    thread::sleep(Duration::from_millis(CONTACT_MS));
    if crate::has_trouble() {
        site.kill_all();
        thread::sleep(Duration::from_secs(1));
        site.start_all();
    }
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready after the restart");
    }
    // All machines are in touch again: twice the bound, as after a fault that took most of the core.
    thread::sleep(Duration::from_millis(2 * CONTACT_MS + 1_000));
    for round in 10..12 {
        poison_copies::send_copies(site, round, COPIES);
        thread::sleep(Duration::from_secs(5));
    }
    let _ = traffic.join();
    let late = poison_copies::runs_after(&workers, "bad", third + CONTACT_MS);
    site.record.line(&format!("third crash: {third}"));
    Verdict {
        is_broken: late > 3,
        text: format!(
            "{late} runs of the request later than ContactMs after its third crash (3 allowed)"
        ),
    }
}
