//! Evidence stops a version that has turned bad, and leaves a sound one alone.

use papayatray_core::rollout::FailureBaseline;
use papayatray_core::rollout::Tally;
use papayatray_core::rollout::Watch;
use proptest::proptest;

fn one(is_bad: bool) -> Tally {
    Tally {
        good: u64::from(!is_bad),
        bad: u64::from(is_bad),
    }
}

#[test]
fn version_that_fails_always_is_stopped_within_a_few_callers() {
    let mut watch = Watch::default();
    let reference = FailureBaseline::default();
    let callers = (1..100)
        .find(|_| watch.add(&one(true), &reference))
        .unwrap();
    assert!(callers <= 5, "{callers} callers");
}

#[test]
fn version_that_turns_bad_after_long_service_is_stopped_as_fast() {
    let mut watch = Watch::default();
    let reference = FailureBaseline::default();
    for _ in 0..100_000 {
        assert!(!watch.add(&one(false), &reference));
    }
    let callers = (1..100)
        .find(|_| watch.add(&one(true), &reference))
        .unwrap();
    assert!(callers <= 5, "{callers} callers");
}

#[test]
fn failure_that_all_versions_share_stops_none() {
    let mut watch = Watch::default();
    let mut reference = FailureBaseline::default();
    for _ in 0..2_000 {
        reference.add(&Tally { good: 5, bad: 5 });
    }
    for number in 0..2_000 {
        assert!(
            !watch.add(&one(number % 2 == 0), &reference),
            "after {number}"
        );
    }
}

proptest! {
    #[test]
    fn sound_version_is_left_alone(start in 0..50_usize, every in 50..200_usize) {
        let mut watch = Watch::default();
        let reference = FailureBaseline::default();
        for number in 0..5_000 {
            assert!(!watch.add(&one((number + start) % every == 0), &reference));
        }
    }
}
