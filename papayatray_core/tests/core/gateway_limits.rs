//! Evidence for keyed requests, and the budget of arrivals beyond the first.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::access::RatingTable;
use papayatray_core::gateway::access::startup_wait;
use papayatray_core::gateway::arrivals::ArrivalBound;
use papayatray_core::gateway::arrivals::ArrivalBudget;
use papayatray_core::id::ServiceId;

const REVOCATION: Millis = Millis::new(5_000);

fn budget(ratio: f64, slack: f64) -> ArrivalBudget {
    ArrivalBudget::new(ArrivalBound {
        ratio,
        slack,
        window: Millis::from_secs(10),
    })
}

#[test]
fn evidence_counts_from_the_question_not_from_the_answer() {
    let mut evidence = RatingTable::new(REVOCATION);
    assert!(!evidence.is_fresh(Millis::from_secs(1)));
    evidence.renew(Millis::from_secs(10));
    assert!(evidence.is_fresh(Millis::new(14_400)));
    assert!(!evidence.is_fresh(Millis::new(14_500)));
}

#[test]
fn late_answer_to_an_older_question_takes_nothing_back() {
    let mut evidence = RatingTable::new(REVOCATION);
    evidence.renew(Millis::from_secs(10));
    evidence.renew(Millis::from_secs(8));
    assert_eq!(
        evidence.age(Millis::from_secs(12)),
        Some(Millis::from_secs(2))
    );
}

#[test]
fn evidence_never_outlives_the_bound_of_revocation() {
    let mut evidence = RatingTable::new(REVOCATION);
    evidence.renew(Millis::from_secs(10));
    assert!(!evidence.is_fresh(Millis::from_secs(10) + REVOCATION));
}

#[test]
fn arrivals_beyond_the_first_stay_within_ratio_and_slack() {
    let service = ServiceId::new("llm").unwrap();
    let mut own = budget(0.9, 20.0);
    let mut requests = 0.0;
    let mut extras = 0.0;
    for step in 0..100_u64 {
        let now = Millis::from_secs(100) + Millis::new(step * 50);
        own.request(&service, now);
        requests += 1.0;
        while own.spend(&service, now) {
            extras += 1.0;
        }
    }
    assert!(extras <= requests * 0.9 + 20.0, "{extras} of {requests}");
    assert!(
        extras >= requests * 0.7,
        "the budget is made use of: {extras}"
    );
}

#[test]
fn slack_is_shared_among_entries() {
    let service = ServiceId::new("llm").unwrap();
    let mut own = budget(0.0, 20.0);
    own.set_entries(10);
    let spent = (0..50).filter(|_| own.spend(&service, Millis::from_secs(5)));
    assert!(spent.count() <= 2);
}

#[test]
fn budget_comes_back_with_the_window() {
    let service = ServiceId::new("llm").unwrap();
    let mut own = budget(0.0, 2.0);
    assert!(own.spend(&service, Millis::from_secs(20)));
    assert!(!own.spend(&service, Millis::from_secs(21)));
    assert!(own.spend(&service, Millis::from_secs(32)));
}

#[test]
fn budgets_of_services_are_apart() {
    let (a, b) = (ServiceId::new("a").unwrap(), ServiceId::new("b").unwrap());
    let mut own = budget(0.0, 2.0);
    assert!(own.spend(&a, Millis::from_secs(20)));
    assert!(own.spend(&b, Millis::from_secs(20)));
}

/// Plays a restart of everything: control VMs start up to 0.5 s after the entry, elect a leader
/// within 0.7 s, and the entry hears of it within 0.3 s.
#[test]
fn request_waits_out_an_election_after_a_restart() {
    let start = Millis::new(300);
    for late in [0, 250, 500] {
        let leader = Millis::new(late) + Millis::new(700) + Millis::new(300);
        let wait = startup_wait(start, Some(Millis::from_secs(12)));
        assert!(start + wait >= leader, "{late} ms late");
    }
}

#[test]
fn wait_leaves_most_of_the_deadline_and_ends_with_the_start() {
    let young = Millis::new(10);
    assert_eq!(
        startup_wait(young, Some(Millis::new(900))),
        Millis::new(300)
    );
    assert_eq!(startup_wait(young, Some(Millis::ZERO)), Millis::ZERO);
    assert!(startup_wait(young, None) < Millis::from_secs(2));
    assert_eq!(startup_wait(Millis::from_secs(5), None), Millis::ZERO);
}
