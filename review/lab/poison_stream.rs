//! A request whose stream has just begun when it crashes its worker comes again, one at a time.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Message;
use crate::poison_copies;
use crate::site::CONTACT_MS;
use crate::site::ENTRIES;
use crate::site::Site;
use crate::worker::Action;
use crate::worker::Behaviour;

const SERVICE: &str = "dele69a";
const WORKERS: usize = 6;
const POISON_PATH: &str = "/draft/poison";
const POISON_BODY: &[u8] = b"a body that crashes its worker";
/// Events of a whole stream, and the pause before each.
const EVENTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(100);
/// Events of the poison request before the crash: 400 ms from the first one on.
const EVENTS_BEFORE: usize = 5;
const REPEATS: u64 = 14;
const GAP: Duration = Duration::from_secs(3);

fn behaviour() -> Behaviour {
    let has_trouble = crate::has_trouble();
    Arc::new(move |request: &Message| {
        if has_trouble && request.path() == POISON_PATH {
            Action::StreamThenCrash(EVENTS_BEFORE, PAUSE)
        } else {
            Action::Stream(EVENTS, PAUSE)
        }
    })
}

pub fn run(site: &mut Site) -> Verdict {
    site.start_all();
    let routes = crate::route("draft", "streaming", SERVICE, 1, r#","ItlTargetMs":1500"#);
    site.put_config(&crate::config(&routes, SERVICE));
    let workers = crate::start_workers(site, WORKERS, SERVICE, &behaviour(), (0, 0));
    if !site.wait_ready(Duration::from_secs(20)) {
        crate::site::cannot_run("the entries are not ready");
    }
    // All machines are in touch before the first request.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let traffic = poison_copies::sound_traffic(site, "/draft/sound", REPEATS * GAP.as_secs());
    thread::sleep(Duration::from_secs(1));
    for number in 0..REPEATS {
        let (record, entry) = (site.record.clone(), site.entry(number as usize % ENTRIES));
        thread::spawn(move || {
            let id = format!("bad{number:05x}");
            crate::send(&record, entry, "POST", POISON_PATH, &id, &[], POISON_BODY);
        });
        thread::sleep(GAP);
    }
    let _ = traffic.join();
    let third = poison_copies::third_crash(&workers);
    let late = third.map_or(0, |at| {
        poison_copies::runs_after(&workers, "bad", at + CONTACT_MS)
    });
    site.record.line(&format!("third crash: {third:?}"));
    Verdict {
        is_broken: late > 3,
        text: format!(
            "{late} runs of the request later than ContactMs after its third crash (3 allowed)"
        ),
    }
}
