//! Roll-outs of service releases: orders, eligibility, exposure and sessions.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::rollout::Schedule;
use papayatray_core::gateway::rollout::is_completion_due;
use papayatray_core::gateway::rollout::is_roll_back_due;
use papayatray_core::id::ServiceId;
use proptest::prop_assert;
use proptest::proptest;

const STARTED_AT: Millis = Millis::from_secs(1_000);
const LIMIT: Millis = Millis::from_secs(24);
const EXPOSURE: f64 = 0.15;

fn llm() -> ServiceId {
    ServiceId::new("llm").unwrap()
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: llm(),
        target: target.to_owned(),
        limit: LIMIT,
    }
}

fn running_rollout() -> RolloutTable {
    let mut table = RolloutTable::default();
    assert_eq!(
        table.begin(&order("v2"), STARTED_AT),
        RolloutDecision::Accepted
    );
    table
}

fn eligibility(
    table: &RolloutTable,
    release: &str,
    draw: f64,
    elapsed: Millis,
) -> ReleaseEligibility {
    table.eligibility(&llm(), release, draw, STARTED_AT + elapsed, EXPOSURE)
}

#[test]
fn repeated_order_is_the_same_rollout_and_another_one_is_refused() {
    let mut table = running_rollout();
    assert_eq!(
        table.begin(&order("v2"), STARTED_AT + LIMIT),
        RolloutDecision::Accepted
    );
    assert_eq!(table.get(&llm()).unwrap().started_at, STARTED_AT);
    assert_eq!(table.begin(&order("v3"), STARTED_AT), RolloutDecision::Busy);
}

#[test]
fn ended_rollout_keeps_its_state() {
    let mut table = running_rollout();
    table.end(&llm(), "v2", RolloutState::RolledBack);
    table.end(&llm(), "v2", RolloutState::Completed);
    assert_eq!(table.get(&llm()).unwrap().state, RolloutState::RolledBack);
    assert_eq!(
        table.begin(&order("v2"), STARTED_AT),
        RolloutDecision::Accepted
    );
    assert_eq!(table.get(&llm()).unwrap().state, RolloutState::RolledBack);
}

#[test]
fn rolled_back_release_gets_no_traffic_during_the_next_rollout() {
    let mut table = running_rollout();
    table.end(&llm(), "v2", RolloutState::RolledBack);
    table.begin(&order("v3"), STARTED_AT);
    let late = LIMIT;
    assert_eq!(
        eligibility(&table, "v2", 0.0, late),
        ReleaseEligibility::Refused
    );
    assert_eq!(
        eligibility(&table, "v1", 0.0, late),
        ReleaseEligibility::Fallback
    );
    assert_eq!(
        eligibility(&table, "v3", 0.0, late),
        ReleaseEligibility::Preferred
    );
}

#[test]
fn completed_release_is_preferred_with_the_old_one_as_fallback() {
    let mut table = running_rollout();
    table.end(&llm(), "v2", RolloutState::Completed);
    assert_eq!(
        eligibility(&table, "v2", 0.9, LIMIT),
        ReleaseEligibility::Preferred
    );
    assert_eq!(
        eligibility(&table, "v1", 0.9, LIMIT),
        ReleaseEligibility::Fallback
    );
}

#[test]
fn rollout_completes_before_its_limit_given_good_responses() {
    let table = running_rollout();
    let rollout = table.get(&llm()).unwrap();
    // Less than 0.9 s before the time limit of 24 s, completion is due.
    let late = STARTED_AT + Millis::new(23_200);
    assert!(is_completion_due(rollout, EXPOSURE, 20, true, late));
    assert!(!is_completion_due(rollout, EXPOSURE, 0, true, late));
    assert!(!is_completion_due(
        rollout,
        EXPOSURE,
        20,
        true,
        STARTED_AT + Millis::from_secs(15)
    ));
}

#[test]
fn rollout_with_little_evidence_completes_later() {
    let table = running_rollout();
    let rollout = table.get(&llm()).unwrap();
    let due = |millis| {
        is_completion_due(
            rollout,
            EXPOSURE,
            20,
            false,
            STARTED_AT + Millis::new(millis),
        )
    };
    assert!(!due(23_200));
    assert!(due(23_700));
}

#[test]
fn suspicious_rollout_is_rolled_back_before_its_limit() {
    let table = running_rollout();
    let rollout = table.get(&llm()).unwrap();
    let at = |millis| STARTED_AT + Millis::new(millis);
    assert!(!is_roll_back_due(rollout, true, at(23_500)));
    assert!(is_roll_back_due(rollout, true, at(23_700)));
    assert!(!is_roll_back_due(rollout, false, at(23_900)));
    assert!(is_roll_back_due(rollout, false, at(24_000)));
}

proptest! {
    /// A completion leaves time for plain requests to the other releases, and before the limit.
    #[test]
    fn completion_comes_due_within_the_limit(limit in 4_000_u64..600_000, exposure in 0.05_f64..0.4) {
        let schedule = Schedule::new(Millis::new(limit), exposure);
        prop_assert!(schedule.has_settled(Millis::new(limit - 1)));
        prop_assert!(!schedule.has_settled(Millis::new(limit / 2)));
    }

    /// The target's share of all requests stays under any bound, for any time limit.
    #[test]
    fn exposure_stays_under_its_bound(limit in 4_000_u64..600_000, exposure in 0.05_f64..0.4) {
        let limit = Millis::new(limit);
        let schedule = Schedule::new(limit, exposure);
        let steps = 10_000_u64;
        let shares = (0..steps).map(|step| {
            schedule.share(Millis::new(limit.as_u64() * step / steps))
        });
        let mean = shares.sum::<f64>() / steps as f64;
        // The schedule aims at 0.9 of the bound; the mean over steps may differ slightly.
        prop_assert!(mean <= exposure * 0.91, "{mean}");
    }

    /// A session moves to the new release exactly once, and not in the first half of the time.
    #[test]
    fn session_moves_once_and_not_early(draw in 0.0_f64..1.0) {
        let table = running_rollout();
        let mut moved = false;
        for elapsed in (0..24_000).step_by(100) {
            let is_new =
                eligibility(&table, "v2", draw, Millis::new(elapsed)) == ReleaseEligibility::Preferred;
            prop_assert!(!is_new || elapsed >= 12_000);
            prop_assert!(is_new || !moved, "back to the old release at {elapsed}");
            moved = is_new;
        }
        prop_assert!(moved);
    }
}
