//! Releases in roll-out that are bad on one route of a service with few requests a second.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::canary::CanaryAllowance;
use papayatray_core::gateway::canary::ExposureBound;
use papayatray_core::gateway::release_evidence::EntryResults;
use papayatray_core::gateway::release_evidence::Regression;
use papayatray_core::gateway::release_evidence::ReleaseEvidence;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::request_failures::RequestFailures;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::Schedule;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

const LIMIT: Millis = Millis::from_secs(12);
const STARTED_AT: Millis = Millis::from_secs(100);
const BOUND: ExposureBound = ExposureBound {
    share: 0.15,
    slack: 30.0,
};

/// Returns the results of one entry with these good and bad responses by route.
fn results(routes: &[(&str, u32, u32)]) -> EntryResults {
    let mut results = ReleaseResults::default();
    for (route, good, bad) in routes {
        (0..*good).for_each(|_| results.count_response(route, true));
        (0..*bad).for_each(|_| results.count_response(route, false));
    }
    let entry = (VmId::new("vm-1").unwrap(), Incarnation(1));
    BTreeMap::from([(entry, results)])
}

fn record(
    evidence: &mut ReleaseEvidence,
    others: &[(&str, u32, u32)],
    target: &[(&str, u32, u32)],
) -> Option<Regression> {
    evidence.record(BTreeMap::from([
        ("v1".to_owned(), results(others)),
        ("v2".to_owned(), results(target)),
    ]))
}

/// Guards against failures on one route that weigh little beside the usual ones of other routes.
#[test]
fn release_that_fails_orders_is_suspicious_beside_look_ups_that_fail_usually() {
    let others = [
        ("order", 163, 4),
        ("look-up", 64, 27),
        ("history", 71, 0),
        ("missing", 0, 24),
    ];
    let target = [
        ("order", 5, 4),
        ("look-up", 2, 0),
        ("history", 6, 0),
        ("missing", 0, 1),
    ];
    let mut evidence = ReleaseEvidence::new("v2");
    let regression = record(&mut evidence, &others, &target);
    assert!(regression.is_some() || evidence.is_suspicious());
}

#[test]
fn release_with_the_usual_failures_of_each_route_is_not_suspicious() {
    let others = [("order", 163, 1), ("look-up", 64, 9), ("missing", 0, 24)];
    let target = [("order", 22, 0), ("look-up", 11, 2), ("missing", 0, 5)];
    let mut evidence = ReleaseEvidence::new("v2");
    assert_eq!(record(&mut evidence, &others, &target), None);
    assert!(!evidence.is_suspicious());
    assert!(evidence.covers_routes());
}

#[test]
fn release_that_a_main_route_has_hardly_met_is_not_known_well_enough() {
    let others = [("order", 100, 0), ("look-up", 50, 0), ("rare", 4, 0)];
    let mut evidence = ReleaseEvidence::new("v2");
    let target = [("order", 2, 0), ("look-up", 20, 0)];
    assert_eq!(record(&mut evidence, &others, &target), None);
    assert!(!evidence.covers_routes());
    let target = [("order", 3, 0), ("look-up", 20, 0)];
    assert_eq!(record(&mut evidence, &others, &target), None);
    assert!(evidence.covers_routes());
}

#[test]
fn results_of_entries_without_routes_are_judged_by_their_sum() {
    let without_routes = |good, bad| {
        let mut entries = results(&[("any", good, bad)]);
        for results in entries.values_mut() {
            results.routes.clear();
        }
        entries
    };
    let mut evidence = ReleaseEvidence::new("v2");
    let regression = evidence.record(BTreeMap::from([
        ("v1".to_owned(), without_routes(200, 2)),
        ("v2".to_owned(), without_routes(4, 9)),
    ]));
    assert_eq!(regression, Some(Regression::Responses));
    assert!(evidence.covers_routes());
}

/// Guards against requests that fail everywhere and count as failures of the release that got them.
#[test]
fn request_that_fails_at_another_release_too_counts_against_none() {
    let mut failures = RequestFailures::default();
    failures.record("v2", true);
    assert!(failures.has_failed_at_target());
    failures.record("v1", false);
    assert!(failures.take_counted().is_empty());
    failures.record("v1", false);
    assert!(failures.take_counted().is_empty());
}

#[test]
fn failures_of_the_target_alone_count_each() {
    let mut failures = RequestFailures::default();
    failures.record("v2", true);
    failures.record("v2", true);
    assert_eq!(failures.take_counted(), ["v2", "v2"]);
    let mut failures = RequestFailures::default();
    failures.record("v1", false);
    assert_eq!(failures.take_counted(), ["v1"]);
}

fn rollout() -> Rollout {
    Rollout {
        target: "v2".to_owned(),
        started_at: STARTED_AT,
        limit: LIMIT,
        state: RolloutState::Running,
    }
}

/// Returns how many requests each of `entries` entries grants, asked every 50 ms until all traffic
/// goes to the target; entry `n` has the phase `n / entries`.
fn grants(entries: usize, bound: ExposureBound) -> Vec<u32> {
    let service = ServiceId::new("app").unwrap();
    let schedule = Schedule::new(LIMIT, bound.share);
    let grant_all = |entry: usize| {
        let mut allowance = CanaryAllowance::default();
        let phase = entry as f64 / entries as f64;
        let times = (0..LIMIT.as_u64()).step_by(50).map(Millis::new);
        let times = times.take_while(|elapsed| !schedule.is_full(*elapsed));
        let granted = times.filter(|elapsed| {
            let now = STARTED_AT + *elapsed;
            allowance.grant(&service, &rollout(), bound, entries, now, phase)
        });
        u32::try_from(granted.count()).unwrap()
    };
    (0..entries).map(grant_all).collect()
}

#[test]
fn additional_requests_of_all_entries_use_most_of_the_slack_and_no_more() {
    for entries in [1, 7, 9, 88, 195] {
        let total: u32 = grants(entries, BOUND).iter().sum();
        assert!((22..=30).contains(&total), "{entries} entries: {total}");
    }
    assert_eq!(
        grants(
            7,
            ExposureBound {
                slack: 0.0,
                ..BOUND
            }
        ),
        [0; 7]
    );
}

#[test]
fn no_additional_request_is_granted_in_the_first_half_or_after_the_end() {
    let service = ServiceId::new("app").unwrap();
    let mut allowance = CanaryAllowance::default();
    let first_half = STARTED_AT + Millis::new(5_900);
    assert!(!allowance.grant(&service, &rollout(), BOUND, 1, first_half, 0.0));
    let ended = Rollout {
        state: RolloutState::RolledBack,
        ..rollout()
    };
    let late = STARTED_AT + Millis::new(10_000);
    assert!(!allowance.grant(&service, &ended, BOUND, 1, late, 0.0));
    assert!(allowance.grant(&service, &rollout(), BOUND, 1, late, 0.0));
}

#[test]
fn request_that_was_sent_elsewhere_is_granted_again() {
    let service = ServiceId::new("app").unwrap();
    let mut allowance = CanaryAllowance::default();
    let late = STARTED_AT + Millis::new(10_000);
    let grant = |allowance: &mut CanaryAllowance| {
        allowance.grant(&service, &rollout(), BOUND, 7, late, 0.0)
    };
    while grant(&mut allowance) {}
    allowance.take_back(&service);
    assert!(grant(&mut allowance));
    assert!(!grant(&mut allowance));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The target's requests, by share until the canary's end and by additional ones, stay within the bound
    /// for any limit, traffic and number of entries.
    #[test]
    fn canary_stays_within_the_exposure_bound(
        limit_s in 6_u64..60,
        requests in 20_u32..5_000,
        entries in 1_usize..60,
    ) {
        let limit = Millis::from_secs(limit_s);
        let schedule = Schedule::new(limit, BOUND.share);
        let rollout = Rollout { limit, ..rollout() };
        let service = ServiceId::new("app").unwrap();
        let mut allowances = vec![CanaryAllowance::default(); entries];
        let mut used = 0.0;
        for number in 0..requests {
            let elapsed = Millis::new(limit.as_u64() * u64::from(number) / u64::from(requests));
            let entry = number as usize % entries;
            let phase = entry as f64 / entries as f64;
            let now = STARTED_AT + elapsed;
            let share = schedule.share(elapsed);
            if share < 1.0
                && allowances[entry].grant(&service, &rollout, BOUND, entries, now, phase)
            {
                used += 1.0;
            } else {
                used += share;
            }
        }
        prop_assert!(used <= BOUND.share * f64::from(requests) + BOUND.slack);
    }
}
