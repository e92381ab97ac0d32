//! Large plans on narrow links: what else an entry is told meanwhile, and whether the plans arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::id::PlanVersion;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::Deregistration;
use papayatrayd::gateway::ControlState;
use papayatrayd::gateway::ShutdownStage;
use papayatrayd::gateway::SyncClient;
use papayatrayd::gateway::serve_entries;
use papayatrayd::observe::SystemClock;
use papayatrayd::tasks::Tasks;

use crate::endpoint::FakeEndpoint;
use crate::narrow_link::NarrowLink;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;
use crate::rig::route;

/// Routes of a large plan.
const ROUTES: usize = 1_400;
/// Time within which what must happen at all has to happen.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time after which evidence has run out, of the bound for revoked keys of the test entry.
const EVIDENCE_TIME: Duration = Duration::from_millis(4_600);

/// Entry that syncs with a leading replica over a narrow link.
struct Site {
    entry: Rig,
    replica: Arc<ControlState>,
    link: NarrowLink,
    _tasks: Tasks,
}

impl Site {
    /// Starts a leader with the small plan, and an entry whose link carries `rate` bytes a second.
    fn start(rate: usize) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let replica = Arc::new(ControlState::new(Arc::clone(&clock), None));
        replica.set_lease_end(Some(clock.now() + Millis::from_secs(3_600)));
        replica.publish(plan());
        let key = ClusterKey::new("secret of the deployment under test");
        let tasks = Tasks::new(2).unwrap();
        let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let serving = serve_entries(listener, Arc::clone(&replica), key.clone(), tasks.clone());
        tasks.spawn(async { serving.await.unwrap() });
        let link = NarrowLink::start(address, rate);
        let entry = Rig::with_clock(clock);
        let client = Arc::new(SyncClient::new(Arc::clone(&entry.gateway), key));
        client.add_replicas(&[link.address.to_string()]);
        let site = Self {
            entry,
            replica,
            link,
            _tasks: tasks,
        };
        site.wait_for("the first plan", |site| site.version() == 1);
        site
    }

    fn version(&self) -> u64 {
        let table = self.entry.gateway.route_table();
        table.map_or(0, |table| table.version().0)
    }

    fn endpoints(&self) -> u64 {
        let metrics = self.entry.gateway.render_metrics();
        let mut lines = metrics.lines();
        let value = lines.find_map(|line| line.strip_prefix("papayatray_endpoints "));
        value.unwrap().parse().unwrap()
    }

    fn wait_for<F>(&self, what: &str, is_done: F)
    where
        F: Fn(&Self) -> bool,
    {
        let started_at = Instant::now();
        while !is_done(self) {
            assert!(started_at.elapsed() < PATIENCE, "{what} did not happen");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Returns a plan with many routes, of which the first `changed` differ from those of other
/// versions.
fn large_plan(version: u64, changed: usize) -> Plan {
    let small = plan();
    let added = (0..ROUTES).map(|number| Route {
        timeout: if number < changed {
            Millis::new(1_000 + version)
        } else {
            Millis::new(1_000)
        },
        ..route(
            RouteKind::Idempotent,
            &format!("/{number}/{:x}/", number * 7_919),
        )
    });
    Plan {
        version: PlanVersion(version),
        routes: small.routes.iter().cloned().chain(added).collect(),
        ..small
    }
}

/// The transfer takes longer than a call may, on a link of about one megabit a second.
#[test]
fn plan_that_takes_longer_than_a_call_may_reaches_the_entry() {
    let site = Site::start(120_000);
    site.replica.publish(large_plan(2, 0));
    site.wait_for("the large plan", |site| site.version() == 2);
}

/// The delay is measured in bytes: the link carries this many in less than a second, and a plan of
/// this size as text has five times as many.
#[test]
fn departure_is_not_delayed_by_a_plan_in_transfer() {
    const MAX_CARRIED: usize = 100_000;
    let site = Site::start(120_000);
    let fakes = [
        FakeEndpoint::start(|_, _| Vec::new()),
        FakeEndpoint::start(|_, _| Vec::new()),
    ];
    for (index, fake) in fakes.iter().enumerate() {
        site.replica.announce(&announcement(index, fake));
    }
    site.wait_for("the endpoints", |site| site.endpoints() == 2);
    let sent_before = site.link.sent();
    site.replica.publish(large_plan(2, 0));
    site.wait_for("a part of the plan", |site| {
        site.link.sent() > sent_before + 4_000
    });
    let announced_at = site.link.sent();
    site.replica.deregister(&Deregistration {
        id: announcement(0, &fakes[0]).id,
        incarnation: None,
    });
    site.wait_for("the departure", |site| site.endpoints() == 1);
    let carried = site.link.sent() - announced_at;
    assert!(carried < MAX_CARRIED, "{carried} bytes came first");
}

/// A version with one changed route follows every 150 ms, for three times the bound of revoked
/// keys.
#[test]
fn entry_keeps_its_evidence_while_versions_of_a_large_plan_follow_each_other() {
    let site = Site::start(120_000);
    for version in 2..102 {
        site.replica.publish(large_plan(version, 1));
        std::thread::sleep(Duration::from_millis(150));
        assert!(
            site.entry.gateway.has_fresh_evidence(),
            "version {version} is published, {} is in force",
            site.version(),
        );
    }
    site.wait_for("the last plan", |site| site.version() == 101);
}

/// A reply takes longer than the time between two changes, each of which the entry reports at once.
#[test]
fn entry_keeps_its_evidence_while_changes_of_its_own_follow_each_other() {
    let site = Site::start(30_000);
    let started_at = Instant::now();
    while started_at.elapsed() < EVIDENCE_TIME {
        // Stays at this stage, and reports it.
        site.entry
            .gateway
            .set_shutdown_stage(ShutdownStage::Serving);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(site.entry.gateway.has_fresh_evidence());
}

/// Each reply takes longer than the first time-out of a call.
#[test]
fn entry_syncs_over_a_link_that_is_slower_than_the_time_out() {
    let site = Site::start(1_000_000);
    let age = |site: &Site| site.entry.gateway.evidence_age().unwrap();
    site.link.set_delay(Duration::from_millis(1_400));
    std::thread::sleep(EVIDENCE_TIME);
    site.wait_for("evidence", |site| age(site) < Millis::new(4_500));
}
