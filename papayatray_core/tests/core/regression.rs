//! Regression detection stops a failing version quickly and does not stop a healthy one.

use papayatray_core::regression::FailureBaseline;
use papayatray_core::regression::RegressionDetector;
use papayatray_core::regression::Tally;
use proptest::proptest;

/// Returns the tally of one request, which failed if `is_bad`.
fn tally(is_bad: bool) -> Tally {
    Tally {
        good: u64::from(!is_bad),
        bad: u64::from(is_bad),
    }
}

#[test]
fn always_failing_version_is_stopped_after_a_few_requests() {
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    let requests = (1..100)
        .find(|_| detector.add(&tally(true), &baseline))
        .unwrap();
    assert!(requests <= 5, "{requests} requests");
}

#[test]
fn regression_after_long_good_service_is_detected_as_fast() {
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    for _ in 0..100_000 {
        assert!(!detector.add(&tally(false), &baseline));
    }
    let requests = (1..100)
        .find(|_| detector.add(&tally(true), &baseline))
        .unwrap();
    assert!(requests <= 5, "{requests} requests");
}

#[test]
fn failures_of_all_versions_stop_none() {
    let mut detector = RegressionDetector::default();
    let mut baseline = FailureBaseline::default();
    for _ in 0..2_000 {
        baseline.add(&Tally { good: 5, bad: 5 });
    }
    for number in 0..2_000 {
        assert!(
            !detector.add(&tally(number % 2 == 0), &baseline),
            "after {number}"
        );
    }
}

proptest! {
    #[test]
    fn healthy_version_is_not_stopped(start in 0..50_usize, period in 50..200_usize) {
        let mut detector = RegressionDetector::default();
        let baseline = FailureBaseline::default();
        for number in 0..5_000 {
            assert!(!detector.add(&tally((number + start) % period == 0), &baseline));
        }
    }
}
