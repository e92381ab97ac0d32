//! Plans that entries receive in pieces, from replicas that come and go, while versions follow each
//! other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::piece_sources::NextPiece;
use papayatray_core::gateway::piece_sources::PieceSources;
use papayatray_core::gateway::plan::ApiKey;
use papayatray_core::gateway::plan::Organisation;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::gateway::plan::Service;
use papayatray_core::gateway::plan_copy::PlanCopy;
use papayatray_core::gateway::plan_log::PlanLog;
use papayatray_core::gateway::replicas::ReplicaView;
use papayatray_core::gateway::table::RouteTable;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const NOW: Millis = Millis::from_secs(100);

fn route(number: u16, timeout: u64) -> Route {
    Route {
        name: format!("r-{number}"),
        host: format!("Host-{}.example", number % 3),
        prefix: format!("/{number}/"),
        kind: RouteKind::Idempotent,
        timeout: Millis::new(timeout),
        objective: Millis::new(300),
        pause: None,
        rank: 1,
        sizes: Vec::new(),
        targets: Vec::new(),
        attempts: 2,
        public: false,
        homes: BTreeSet::new(),
    }
}

/// Returns a plan whose routes, by number, have these time-outs.
fn plan(version: u64, routes: &BTreeMap<u16, u64>) -> Arc<Plan> {
    let key = ApiKey(format!("key-{}", version % 4));
    let organisation = Organisation {
        keys: BTreeSet::from([key]),
        rank: None,
        homes: BTreeSet::new(),
    };
    let services = routes.keys().map(|number| {
        let id = ServiceId::new(format!("s-{}", number % 5)).unwrap();
        (id, Service::default())
    });
    Arc::new(Plan {
        version: PlanVersion(version),
        routes: routes.iter().map(|(n, t)| route(*n, *t)).collect(),
        services: services.collect(),
        organisations: BTreeMap::from([(OrganisationId::new("mill").unwrap(), organisation)]),
        ..Plan::default()
    })
}

fn assert_same(table: &RouteTable, plan: &Plan) {
    assert_eq!(
        format!("{table:?}"),
        format!("{:?}", RouteTable::new(plan.clone()))
    );
}

/// Step of a history: changes of routes, whether the second replica misses the version, and the
/// replica that the entry asks next.
type Step = (Vec<(u16, u64)>, bool, usize);

proptest! {
    /// Guards against an entry that works by a mixture of versions after it has changed the
    /// replica.
    #[test]
    fn completed_plan_is_that_of_the_replica(
        steps in vec((vec((0_u16..40, 0_u64..4), 0..8), proptest::bool::ANY, 0_usize..2), 1..60),
    ) {
        let steps: Vec<Step> = steps;
        let mut routes = BTreeMap::from([(0, 1), (1, 1)]);
        let mut logs = [PlanLog::default(), PlanLog::default()];
        let mut has_missed = false;
        let mut copy = PlanCopy::default();
        let mut version = 1;
        for (changes, misses, asked) in steps {
            version += 2;
            for (number, timeout) in changes {
                if timeout == 0 {
                    routes.remove(&number);
                } else {
                    routes.insert(number, timeout);
                }
            }
            let newest = plan(version, &routes);
            logs[0].record(&newest).unwrap();
            // A replica that missed versions learns of the next one by a snapshot.
            match (misses, has_missed) {
                (true, _) => has_missed = true,
                (false, true) => {
                    logs[1].restart(&newest).unwrap();
                    has_missed = false;
                }
                (false, false) => logs[1].record(&newest).unwrap(),
            }
            let log = &logs[asked];
            let piece = log.piece(copy.cursor(), 600);
            let (held, is_restart) = (copy.cursor().version, piece.is_restart);
            if let Some(table) = copy.apply(piece).unwrap() {
                assert_same(&table, log.plan().unwrap());
            }
            prop_assert!(is_restart || copy.cursor().version >= held);
        }
        // Without further versions, the plan is complete after a bounded number of pieces.
        let mut done = None;
        for _ in 0..200 {
            done = copy.apply(logs[0].piece(copy.cursor(), 600)).unwrap();
            if done.is_some() {
                break;
            }
        }
        let table = done.unwrap();
        assert_same(&table, logs[0].plan().unwrap());
        prop_assert_eq!(copy.cursor().version, PlanVersion(version));
    }
}

#[test]
fn transfer_goes_on_after_a_newer_version_and_sends_each_route_once() {
    let mut routes: BTreeMap<u16, u64> = (0..100).map(|number| (number, 1)).collect();
    let mut log = PlanLog::default();
    log.record(&plan(1, &routes)).unwrap();
    let mut copy = PlanCopy::default();
    let mut sent = 0;
    let mut version = 1;
    loop {
        let piece = log.piece(copy.cursor(), 2_000);
        sent += piece
            .text
            .lines()
            .filter(|line| line.contains("Route"))
            .count();
        if let Some(table) = copy.apply(piece).unwrap() {
            assert_same(&table, log.plan().unwrap());
            break;
        }
        // Each version changes one of the routes that were sent first.
        version += 1;
        routes.insert(u16::try_from(version % 3).unwrap(), version);
        log.record(&plan(version, &routes)).unwrap();
    }
    assert!(version > 5, "the transfer took {version} versions");
    assert!(sent <= 103, "{sent} routes were sent");
}

#[test]
fn change_of_one_route_is_sent_without_the_others() {
    let mut routes: BTreeMap<u16, u64> = (0..1_000).map(|number| (number, 1)).collect();
    let mut log = PlanLog::default();
    log.record(&plan(4, &routes)).unwrap();
    let mut copy = PlanCopy::default();
    copy.apply(log.piece(copy.cursor(), usize::MAX)).unwrap();
    routes.insert(7, 2);
    routes.remove(&8);
    log.record(&plan(8, &routes)).unwrap();
    let piece = log.piece(copy.cursor(), usize::MAX);
    assert!(!piece.is_restart);
    assert_eq!(piece.text.lines().count(), 2);
}

fn view(is_leader: bool, is_near: bool, plan: u64) -> ReplicaView {
    ReplicaView {
        is_leader,
        is_near,
        plan: PlanVersion(plan),
    }
}

fn from(address: &str) -> NextPiece {
    NextPiece::From(address.to_owned())
}

#[test]
fn piece_is_taken_from_the_near_replica_which_gets_time_to_catch_up() {
    let mut sources = PieceSources::default();
    sources.record_reply("leader", &view(true, false, 2), true, NOW);
    sources.record_reply("near", &view(false, true, 1), true, NOW);
    let held = PlanVersion(1);
    assert_eq!(sources.next(held, NOW), NextPiece::Wait(Millis::new(300)));
    let later = NOW + Millis::new(300);
    assert_eq!(sources.next(held, later), from("leader"));
    sources.record_reply("near", &view(false, true, 2), true, NOW);
    assert_eq!(sources.next(held, NOW), from("near"));
    assert_eq!(sources.next(PlanVersion(2), NOW), NextPiece::UpToDate);
}

/// Guards against transfers that never end on a link that is slower than the time-out.
#[test]
fn time_out_grows_while_no_piece_arrives() {
    let mut sources = PieceSources::default();
    sources.record_reply("only", &view(true, true, 2), true, NOW);
    for expected in [500, 1_000, 2_000, 4_000, 4_000] {
        assert_eq!(sources.timeout(), Millis::new(expected));
        sources.record_timeout("only", NOW);
    }
    assert_eq!(
        sources.next(PlanVersion(1), NOW),
        NextPiece::Wait(Millis::new(500))
    );
    let later = NOW + Millis::new(500);
    assert_eq!(sources.next(PlanVersion(1), later), from("only"));
    sources.record_success();
    assert_eq!(sources.timeout(), Millis::new(500));
}

/// Guards against an entry that waits for a replica that is stuck, for as long as versions follow
/// each other.
#[test]
fn near_replica_gets_time_once_while_versions_follow_each_other() {
    let mut sources = PieceSources::default();
    sources.record_reply("near", &view(false, true, 1), true, NOW);
    let held = PlanVersion(1);
    for step in 0..10 {
        let now = NOW + Millis::new(100 * step);
        sources.record_reply("leader", &view(true, false, 2 + step), true, now);
        let next = sources.next(held, now);
        assert_eq!(next == from("leader"), step >= 3, "{next:?}");
    }
}
