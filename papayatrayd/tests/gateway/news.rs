//! News from control replicas: an entry serves by all of them or by none.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::ThreadId;
use std::time::Duration;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatrayd::gateway::Gateway;
use papayatrayd::observe::SystemClock;

use crate::endpoint::Fake;
use crate::rig::Rig;
use crate::rig::plan;

/// Time for a look from outside; one that waits for a lock of the asker ends after it.
const LOOK: Duration = Duration::from_millis(100);

/// Clock that, each time the test's own thread asks it, lets another thread look at what a request
/// would find at that moment.
struct Watcher {
    clock: SystemClock,
    asker: ThreadId,
    look: Mutex<Option<Sender<Sender<()>>>>,
}

impl fmt::Debug for Watcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watcher").finish_non_exhaustive()
    }
}

impl Clock for Watcher {
    fn now(&self) -> Millis {
        let look = self.look.lock().unwrap().clone();
        if let Some(look) = look.filter(|_| thread::current().id() == self.asker) {
            let (done, looked) = mpsc::channel();
            look.send(done).unwrap();
            // A look that takes longer waits for a lock, as a request would.
            let _looked = looked.recv_timeout(LOOK);
        }
        self.clock.now()
    }

    fn wall(&self) -> Millis {
        self.clock.wall()
    }
}

/// Returns how many endpoints requests may go to, where requests are let in at all.
fn endpoints(gateway: &Gateway) -> Option<usize> {
    let metrics = gateway.is_current().then(|| gateway.render_metrics())?;
    let mut lines = metrics.lines();
    let known = lines.find_map(|line| line.strip_prefix("papayatray_endpoints "))?;
    known.parse().ok()
}

/// A request that waits for the first news is let in only once the endpoints are known too.
#[test]
fn no_request_is_let_in_between_the_plan_and_the_endpoints() {
    let watcher = Arc::new(Watcher {
        clock: SystemClock::default(),
        asker: thread::current().id(),
        look: Mutex::new(None),
    });
    let rig = Rig::with_clock(Arc::clone(&watcher) as Arc<dyn Clock>);
    let (look, looks) = mpsc::channel::<Sender<()>>();
    let gateway = Arc::clone(&rig.gateway);
    let seen = thread::spawn(move || {
        let mut seen = Vec::new();
        for done in looks {
            seen.extend(endpoints(&gateway));
            // Whoever asked may have stopped to wait.
            let _told = done.send(());
        }
        seen
    });
    *watcher.look.lock().unwrap() = Some(look);
    let fake = Fake::start(|_, _| Vec::new());
    rig.learn(plan(), &[&fake]);
    rig.learn(plan(), &[&fake]);
    *watcher.look.lock().unwrap() = None;
    let seen = seen.join().unwrap();
    assert!(!seen.is_empty(), "nobody looked");
    assert!(seen.iter().all(|known| *known == 1), "{seen:?}");
}
