//! Evidence stops a version that has turned bad, and leaves a sound one alone.

use papayatray_core::rollout::FailureBaseline;
use papayatray_core::rollout::RegressionDetector;
use papayatray_core::rollout::Tally;
use proptest::proptest;

fn one(is_bad: bool) -> Tally {
    Tally {
        good: u64::from(!is_bad),
        bad: u64::from(is_bad),
    }
}

#[test]
fn version_that_fails_always_is_stopped_within_a_few_callers() {
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    let callers = (1..100)
        .find(|_| detector.add(&one(true), &baseline))
        .unwrap();
    assert!(callers <= 5, "{callers} callers");
}

#[test]
fn version_that_turns_bad_after_long_service_is_stopped_as_fast() {
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    for _ in 0..100_000 {
        assert!(!detector.add(&one(false), &baseline));
    }
    let callers = (1..100)
        .find(|_| detector.add(&one(true), &baseline))
        .unwrap();
    assert!(callers <= 5, "{callers} callers");
}

#[test]
fn failure_that_all_versions_share_stops_none() {
    let mut detector = RegressionDetector::default();
    let mut baseline = FailureBaseline::default();
    for _ in 0..2_000 {
        baseline.add(&Tally { good: 5, bad: 5 });
    }
    for number in 0..2_000 {
        assert!(
            !detector.add(&one(number % 2 == 0), &baseline),
            "after {number}"
        );
    }
}

proptest! {
    #[test]
    fn sound_version_is_left_alone(start in 0..50_usize, every in 50..200_usize) {
        let mut detector = RegressionDetector::default();
        let baseline = FailureBaseline::default();
        for number in 0..5_000 {
            assert!(!detector.add(&one((number + start) % every == 0), &baseline));
        }
    }
}
