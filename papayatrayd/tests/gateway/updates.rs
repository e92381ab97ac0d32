//! Updates from control replicas, which an entry must apply atomically.

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
use papayatray_core::gateway::plan::Plan;
use papayatray_core::id::PlanVersion;
use papayatray_wire::peer::SyncReply;
use papayatrayd::gateway::Gateway;
use papayatrayd::observe::SystemClock;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::response;
use crate::rig::AdvancedClock;
use crate::rig::Rig;
use crate::rig::plan;

/// Time for one observation. An observation that waits for a lock of the observed thread cannot
/// end, so the observed thread continues after this time.
const MAX_OBSERVATION: Duration = Duration::from_millis(100);

/// Clock that, on each call by the observed thread, lets another thread observe what a request
/// would see at that moment.
struct ObservingClock {
    clock: SystemClock,
    /// Thread during whose calls the observer makes an observation.
    observed: ThreadId,
    /// Asks the observer for an observation; the observer signals its end on the received sender.
    observer: Mutex<Option<Sender<Sender<()>>>>,
}

impl fmt::Debug for ObservingClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ObservingClock").finish_non_exhaustive()
    }
}

impl Clock for ObservingClock {
    fn now(&self) -> Millis {
        let observer = self.observer.lock().unwrap().clone();
        if let Some(observer) = observer.filter(|_| thread::current().id() == self.observed) {
            let (done, finished) = mpsc::channel();
            observer.send(done).unwrap();
            // An observation that takes longer waits for a lock, as a request would.
            let _finished = finished.recv_timeout(MAX_OBSERVATION);
        }
        self.clock.now()
    }

    fn wall(&self) -> Millis {
        self.clock.wall()
    }
}

/// Returns how many endpoints a request would see, or `None` while requests are not admitted.
fn visible_endpoints(gateway: &Gateway) -> Option<usize> {
    let metrics = gateway
        .has_fresh_evidence()
        .then(|| gateway.render_metrics())?;
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.strip_prefix("papayatray_endpoints "))?;
    count.parse().ok()
}

/// Guards against requests that are admitted by a new plan before its endpoints are known. The
/// evidence must be renewed only after the rest of the update is applied.
#[test]
fn requests_are_admitted_only_after_plan_and_endpoints_are_applied() {
    let clock = Arc::new(ObservingClock {
        clock: SystemClock::default(),
        observed: thread::current().id(),
        observer: Mutex::new(None),
    });
    let rig = Rig::with_clock(Arc::clone(&clock) as Arc<dyn Clock>);
    let (observer, observations) = mpsc::channel::<Sender<()>>();
    let gateway = Arc::clone(&rig.gateway);
    let observing = thread::spawn(move || {
        let mut counts = Vec::new();
        for done in observations {
            counts.extend(visible_endpoints(&gateway));
            // The receiver is gone if the observed thread no longer waits.
            let _sent = done.send(());
        }
        counts
    });
    *clock.observer.lock().unwrap() = Some(observer);
    let fake = FakeEndpoint::start(|_, _| Vec::new());
    rig.apply_update(plan(), &[&fake]);
    rig.apply_update(plan(), &[&fake]);
    *clock.observer.lock().unwrap() = None;
    let counts = observing.join().unwrap();
    assert!(!counts.is_empty(), "no observation was made");
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
}

/// Guards against an entry that serves by a plan that it has known to be outdated since long ago.
#[test]
fn requests_are_refused_while_a_newer_plan_is_overdue() {
    let fake =
        FakeEndpoint::start(|_, request| vec![Step::Send(response(request, "200 OK", "done"))]);
    let clock = Arc::new(AdvancedClock::default());
    let rig = Rig::with_clock(Arc::clone(&clock) as Arc<dyn Clock>);
    rig.apply_update(plan(), &[&fake]);
    let name_newer = || {
        let reply = SyncReply {
            is_current: true,
            version: PlanVersion(2),
            ..SyncReply::default()
        };
        rig.gateway.apply_sync("control", reply, clock.now());
    };
    name_newer();
    // The bound of the test entry is 4 s.
    clock.advance(Millis::new(3_000));
    name_newer();
    assert_eq!(rig.request("/safe/", "").status, 200);
    clock.advance(Millis::new(600));
    name_newer();
    let refused = rig.request("/safe/", "");
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after() > 0.0);
    assert!(!rig.gateway.is_ready());
    let newer = Plan {
        version: PlanVersion(2),
        ..plan()
    };
    rig.apply_update(newer, &[&fake]);
    assert_eq!(rig.request("/safe/", "").status, 200);
}
