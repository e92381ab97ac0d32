//! Results of releases in roll-out, as an entry counts them.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::id::ServiceId;
use papayatray_core::regression::Tally;
use papayatray_wire::peer::SyncReply;

use crate::endpoint::FakeEndpoint;
use crate::endpoint::Step;
use crate::endpoint::response;
use crate::rig::Rig;
use crate::rig::announcement;
use crate::rig::plan;

const LIMIT: Millis = Millis::from_secs(1_000);

/// Returns an endpoint that fails requests whose path contains `failing`.
fn endpoint(failing: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, request| {
        let status = if request.head.contains(failing) {
            "500 Failed"
        } else {
            "200 OK"
        };
        vec![Step::Send(response(request, status, "body"))]
    })
}

/// Returns an entry with one endpoint of the release in use, `v1`, and one of `v2`, to which all traffic
/// is being moved.
fn rig_in_rollout(usual: &FakeEndpoint, target: &FakeEndpoint) -> Rig {
    let rig = Rig::without_plan();
    let mut announced = vec![announcement(0, usual), announcement(1, target)];
    "v2".clone_into(&mut announced[1].release);
    rig.apply_announcements(plan(), announced);
    let mut rollouts = RolloutTable::default();
    let order = RolloutOrder {
        service: ServiceId::new("app").unwrap(),
        target: "v2".to_owned(),
        limit: LIMIT,
    };
    let wall = rig.gateway.clock.wall();
    let started_at = wall.since(LIMIT) + Millis::from_secs(1);
    rollouts.begin(&order, started_at);
    let reply = SyncReply {
        is_current: true,
        wall,
        rollouts: Some(rollouts),
        ..SyncReply::default()
    };
    rig.gateway
        .apply_sync("control", reply, rig.gateway.clock.now());
    rig
}

/// Returns the responses by release and route.
fn responses(rig: &Rig) -> BTreeMap<(String, String), Tally> {
    let mut all = BTreeMap::new();
    for tally in rig.gateway.tallies() {
        for (route, responses) in tally.results.routes {
            all.insert((tally.release.clone(), route), responses);
        }
    }
    all
}

/// Guards against callers that get the failure of a release in roll-out although the other one answers,
/// and against failures that are not counted for the release.
#[test]
fn request_that_a_release_in_roll_out_fails_is_answered_by_the_other_one() {
    let (usual, target) = (endpoint("nothing"), endpoint("/safe/"));
    let rig = rig_in_rollout(&usual, &target);
    for _ in 0..3 {
        assert_eq!(rig.request("/safe/x", "").status, 200);
    }
    let counted = responses(&rig);
    let of = |release: &str| counted[&(release.to_owned(), "/safe/".to_owned())];
    assert_eq!(of("v2"), Tally { good: 0, bad: 3 });
    assert_eq!(of("v1"), Tally { good: 3, bad: 0 });
}

/// Guards against a release that is rolled back for requests that fail everywhere.
#[test]
fn request_that_fails_at_both_releases_counts_against_neither() {
    let (usual, target) = (endpoint("/safe/"), endpoint("/safe/"));
    let rig = rig_in_rollout(&usual, &target);
    for _ in 0..3 {
        assert_eq!(rig.request("/safe/x", "").status, 500);
    }
    assert_eq!(rig.request("/once/x", "").status, 200);
    let counted = responses(&rig);
    let whole = Tally { good: 1, bad: 0 };
    let once = ("v2".to_owned(), "/once/".to_owned());
    assert_eq!(counted, BTreeMap::from([(once, whole)]));
}

/// Guards against failures of requests that may run once, which no other endpoint can confirm, being left out.
#[test]
fn failure_of_a_request_that_may_run_once_counts() {
    let (usual, target) = (endpoint("nothing"), endpoint("/once/"));
    let rig = rig_in_rollout(&usual, &target);
    assert_eq!(rig.request("/once/x", "").status, 500);
    let counted = responses(&rig);
    let once = ("v2".to_owned(), "/once/".to_owned());
    assert_eq!(counted[&once], Tally { good: 0, bad: 1 });
}
