//! Roll-outs of services' releases: exposure, sessions, and how orders meet.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::rollout::RolloutDecision;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::gateway::rollout::Schedule;
use papayatray_core::gateway::rollout::is_complete;
use papayatray_core::id::ServiceId;
use proptest::prop_assert;
use proptest::proptest;

const BEGUN: Millis = Millis::from_secs(1_000);
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

fn begun() -> RolloutTable {
    let mut book = RolloutTable::default();
    assert_eq!(book.begin(&order("v2"), BEGUN), RolloutDecision::Accepted);
    book
}

fn standing(book: &RolloutTable, release: &str, draw: f64, passed: Millis) -> ReleaseEligibility {
    book.standing(&llm(), release, draw, BEGUN + passed, EXPOSURE)
}

#[test]
fn repeated_order_is_the_same_rollout_and_another_one_is_refused() {
    let mut book = begun();
    assert_eq!(
        book.begin(&order("v2"), BEGUN + LIMIT),
        RolloutDecision::Accepted
    );
    assert_eq!(book.get(&llm()).unwrap().begun, BEGUN);
    assert_eq!(book.begin(&order("v3"), BEGUN), RolloutDecision::Busy);
}

#[test]
fn ended_rollout_stays_ended() {
    let mut book = begun();
    book.end(&llm(), "v2", RolloutState::RolledBack);
    book.end(&llm(), "v2", RolloutState::Completed);
    assert_eq!(book.get(&llm()).unwrap().state, RolloutState::RolledBack);
    assert_eq!(book.begin(&order("v2"), BEGUN), RolloutDecision::Accepted);
    assert_eq!(book.get(&llm()).unwrap().state, RolloutState::RolledBack);
}

#[test]
fn release_that_was_rolled_back_gets_nothing_during_the_next_rollout() {
    let mut book = begun();
    book.end(&llm(), "v2", RolloutState::RolledBack);
    book.begin(&order("v3"), BEGUN);
    let late = LIMIT;
    assert_eq!(
        standing(&book, "v2", 0.0, late),
        ReleaseEligibility::Refused
    );
    assert_eq!(
        standing(&book, "v1", 0.0, late),
        ReleaseEligibility::Fallback
    );
    assert_eq!(
        standing(&book, "v3", 0.0, late),
        ReleaseEligibility::Preferred
    );
}

#[test]
fn completed_release_is_preferred_and_the_old_one_only_spare() {
    let mut book = begun();
    book.end(&llm(), "v2", RolloutState::Completed);
    assert_eq!(
        standing(&book, "v2", 0.9, LIMIT),
        ReleaseEligibility::Preferred
    );
    assert_eq!(
        standing(&book, "v1", 0.9, LIMIT),
        ReleaseEligibility::Fallback
    );
}

#[test]
fn rollout_is_completed_before_its_limit_but_not_without_good_answers() {
    let book = begun();
    let rollout = book.get(&llm()).unwrap();
    let late = BEGUN + Millis::new(23_200);
    assert!(is_complete(rollout, EXPOSURE, 20, late));
    assert!(!is_complete(rollout, EXPOSURE, 0, late));
    assert!(!is_complete(
        rollout,
        EXPOSURE,
        20,
        BEGUN + Millis::from_secs(15)
    ));
}

proptest! {
    /// Whatever its length and bound, the target's share of all requests stays under the bound.
    #[test]
    fn exposure_stays_under_its_bound(limit in 4_000_u64..600_000, exposure in 0.05_f64..0.4) {
        let limit = Millis::new(limit);
        let schedule = Schedule::new(limit, exposure);
        let steps = 10_000_u64;
        let shares = (0..steps).map(|step| {
            schedule.share(Millis::new(limit.as_u64() * step / steps))
        });
        let mean = shares.sum::<f64>() / steps as f64;
        prop_assert!(mean <= exposure * 0.91, "{mean}");
    }

    /// A session moves from the old release to the new one at most once, and not in the first half.
    #[test]
    fn session_moves_once_and_not_early(draw in 0.0_f64..1.0) {
        let book = begun();
        let mut moved = false;
        for passed in (0..24_000).step_by(100) {
            let is_new =
                standing(&book, "v2", draw, Millis::new(passed)) == ReleaseEligibility::Preferred;
            prop_assert!(!is_new || passed >= 12_000);
            prop_assert!(is_new || !moved, "back to the old release at {passed}");
            moved = is_new;
        }
        prop_assert!(moved);
    }
}
