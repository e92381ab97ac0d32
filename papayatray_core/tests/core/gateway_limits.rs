//! Gateway limits: freshness of the plan for requests with a key, and the budget of extra arrivals.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::arrivals::ArrivalBudget;
use papayatray_core::gateway::freshness::PlanFreshness;
use papayatray_core::gateway::freshness::startup_wait;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;

const REVOCATION: Millis = Millis::new(5_000);
const IN_FORCE: Millis = Millis::new(2_000);

fn new_budget(ratio: f64, slack: f64) -> ArrivalBudget {
    ArrivalBudget::new(ArrivalBound {
        ratio,
        slack,
        window: Millis::from_secs(10),
    })
}

#[test]
fn age_of_a_proof_counts_from_its_request() {
    let mut freshness = PlanFreshness::new(REVOCATION, IN_FORCE);
    assert!(!freshness.is_fresh(Millis::from_secs(1)));
    freshness.confirm(PlanVersion(0), Millis::from_secs(10));
    // A proof is fresh for nine tenths of the revocation bound.
    assert!(freshness.is_fresh(Millis::new(14_400)));
    assert!(!freshness.is_fresh(Millis::new(14_500)));
}

#[test]
fn late_proof_of_an_older_request_does_not_reduce_freshness() {
    let mut freshness = PlanFreshness::new(REVOCATION, IN_FORCE);
    freshness.confirm(PlanVersion(0), Millis::from_secs(10));
    freshness.confirm(PlanVersion(0), Millis::from_secs(8));
    assert_eq!(
        freshness.age(Millis::from_secs(12)),
        Some(Millis::from_secs(2))
    );
}

#[test]
fn proof_is_stale_at_the_revocation_bound() {
    let mut freshness = PlanFreshness::new(REVOCATION, IN_FORCE);
    freshness.confirm(PlanVersion(0), Millis::from_secs(10));
    assert!(!freshness.is_fresh(Millis::from_secs(10) + REVOCATION));
}

#[test]
fn extra_arrivals_stay_within_ratio_and_slack() {
    let service = ServiceId::new("llm").unwrap();
    let mut budget = new_budget(0.9, 20.0);
    let mut requests = 0.0;
    let mut extras = 0.0;
    for step in 0..100_u64 {
        let now = Millis::from_secs(100) + Millis::new(step * 50);
        budget.record_request(&service, now);
        requests += 1.0;
        while budget.spend(&service, now) {
            extras += 1.0;
        }
    }
    assert!(extras <= requests * 0.9 + 20.0, "{extras} of {requests}");
    assert!(extras >= requests * 0.7, "the budget is used: {extras}");
}

#[test]
fn slack_is_shared_among_entries() {
    let service = ServiceId::new("llm").unwrap();
    let mut budget = new_budget(0.0, 20.0);
    budget.set_entries(10);
    let spent = (0..50).filter(|_| budget.spend(&service, Millis::from_secs(5)));
    assert!(spent.count() <= 2);
}

#[test]
fn budget_recovers_after_the_window() {
    let service = ServiceId::new("llm").unwrap();
    let mut budget = new_budget(0.0, 2.0);
    assert!(budget.spend(&service, Millis::from_secs(20)));
    assert!(!budget.spend(&service, Millis::from_secs(21)));
    assert!(budget.spend(&service, Millis::from_secs(32)));
}

#[test]
fn services_have_separate_budgets() {
    let (a, b) = (ServiceId::new("a").unwrap(), ServiceId::new("b").unwrap());
    let mut budget = new_budget(0.0, 2.0);
    assert!(budget.spend(&a, Millis::from_secs(20)));
    assert!(budget.spend(&b, Millis::from_secs(20)));
}

/// Guards against refusing requests during the election after a full restart.
///
/// Control VMs start up to 0.5 s after the entry, elect a leader within 0.7 s, and the entry learns
/// of it within 0.3 s.
#[test]
fn request_waits_for_the_election_after_a_restart() {
    let start = Millis::new(300);
    for delay in [0, 250, 500] {
        let leader_known_at = Millis::new(delay) + Millis::new(700) + Millis::new(300);
        let wait = startup_wait(start, Some(Millis::from_secs(12)));
        assert!(start + wait >= leader_known_at, "{delay} ms late");
    }
}

#[test]
fn startup_wait_is_bounded_by_deadline_and_process_age() {
    let process_age = Millis::new(10);
    assert_eq!(
        startup_wait(process_age, Some(Millis::new(900))),
        Millis::new(300)
    );
    assert_eq!(startup_wait(process_age, Some(Millis::ZERO)), Millis::ZERO);
    assert!(startup_wait(process_age, None) < Millis::from_secs(2));
    assert_eq!(startup_wait(Millis::from_secs(5), None), Millis::ZERO);
}

/// Guards against an entry that refuses its callers while versions follow each other faster than it
/// receives them.
#[test]
fn proof_counts_once_its_plan_arrives_whatever_was_published_since() {
    let mut freshness = PlanFreshness::new(REVOCATION, IN_FORCE);
    freshness.apply(PlanVersion(1));
    freshness.confirm(PlanVersion(2), Millis::new(10_000));
    freshness.confirm(PlanVersion(3), Millis::new(11_000));
    assert_eq!(freshness.age(Millis::new(12_000)), None);
    freshness.apply(PlanVersion(2));
    assert_eq!(freshness.age(Millis::new(12_000)), Some(Millis::new(2_000)));
    assert_eq!(freshness.lag(Millis::new(12_000)), Millis::new(1_000));
}

#[test]
fn plan_is_overdue_once_it_has_been_outdated_for_most_of_the_bound() {
    let mut freshness = PlanFreshness::new(REVOCATION, IN_FORCE);
    freshness.apply(PlanVersion(1));
    for time in [10_000, 10_200, 10_400] {
        freshness.confirm(PlanVersion(2), Millis::new(time));
    }
    assert!(!freshness.is_overdue(Millis::new(11_799)));
    assert!(freshness.is_overdue(Millis::new(11_800)));
    freshness.apply(PlanVersion(3));
    assert!(!freshness.is_overdue(Millis::new(11_800)));
}
