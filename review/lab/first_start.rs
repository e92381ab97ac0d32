//! One of three new control machines is lost at the first start of the deployment, and replaced.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Message;
use crate::poison_copies;
use crate::site::CORES;
use crate::site::Site;
use crate::worker::Action;
use crate::worker::Behaviour;

const SERVICE: &str = "wuno96b";
const WORKERS: usize = 4;
/// Time after which an empty machine takes the place of the lost one (`replace_core`, x = 2).
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Time for which the operator sends the first config again and again.
const OPERATOR_SECONDS: u64 = 45;

pub fn run(site: &mut Site) -> Verdict {
    // The machines start within 0.3 s of one another, in any order; the last one starts first and is lost.
    site.start(CORES - 1);
    if crate::has_trouble() {
        site.lose(CORES - 1);
    }
    site.start_others(CORES - 1);
    if crate::has_trouble() {
        thread::sleep(REPLACED_AFTER);
        site.add_core();
    }
    let behaviour: Behaviour =
        Arc::new(|_: &Message| Action::Answer(200, b"done".to_vec(), Duration::from_millis(40)));
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour, (0, 0));
    let routes = crate::route("commit", "non_idempotent", SERVICE, 1, "");
    let config = crate::config(&routes, SERVICE);
    let is_acknowledged = site.try_config(&config, Duration::from_secs(OPERATOR_SECONDS));
    thread::sleep(Duration::from_secs(5));
    let traffic = poison_copies::sound_traffic(site, "/commit/sound", 20);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(2));
    let ran: usize = workers.iter().map(|w| w.runs.lock().unwrap().len()).sum();
    Verdict {
        is_broken: ran == 0,
        text: format!(
            "first config acknowledged within {OPERATOR_SECONDS} s: {is_acknowledged}; {ran} of 200 requests were run"
        ),
    }
}
