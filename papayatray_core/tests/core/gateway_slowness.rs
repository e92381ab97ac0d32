//! Slow responses and streams, and the evidence that they give on a release in roll-out.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::release_evidence::EntryResults;
use papayatray_core::gateway::release_evidence::Regression;
use papayatray_core::gateway::release_evidence::ReleaseEvidence;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::slowness::PaceKind;
use papayatray_core::gateway::slowness::PaceMeter;
use papayatray_core::gateway::slowness::ResponseKind;
use papayatray_core::gateway::slowness::UsualLatencies;
use papayatray_core::gateway::slowness::UsualPaces;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use papayatray_core::regression::Tally;

/// Time for each event of a stream as usual, in milliseconds.
const USUAL_MS: u64 = 16;

fn kind(running: u32) -> PaceKind {
    PaceKind::new(ServiceId::new("llm").unwrap(), 0, running)
}

/// Returns paces that are usual at endpoints with this many requests.
fn usual(running: u32) -> UsualPaces {
    let mut usual = UsualPaces::default();
    for _ in 0..100 {
        usual.add(kind(running), USUAL_MS as f64);
    }
    usual
}

/// Returns whether a stream with an event each `interval_ms` is slow, and after how many
/// milliseconds that is known.
fn measure(usual: &UsualPaces, interval_ms: u64) -> (Option<bool>, u64) {
    let mut meter = PaceMeter::default();
    for event in 0..20 {
        let now = Millis::new(event * interval_ms);
        if let Some(pace) = meter.record_event(usual.usual(&kind(1)), now) {
            return (pace.is_slow, now.as_u64());
        }
    }
    panic!("the pace is known after a few events");
}

/// Returns the counts of one entry after these good and bad paces.
fn paces(good: u64, bad: u64) -> EntryResults {
    let results = ReleaseResults {
        // Each response arrived in time.
        responses: Tally {
            good: good + bad,
            bad: 0,
        },
        paces: Tally { good, bad },
        ..ReleaseResults::default()
    };
    BTreeMap::from([((VmId::new("vm-1").unwrap(), Incarnation(1)), results)])
}

#[test]
fn stream_at_several_times_the_usual_pace_is_slow() {
    let usual = usual(1);
    for interval_ms in [1, USUAL_MS, 2 * USUAL_MS] {
        assert_eq!(measure(&usual, interval_ms).0, Some(false), "{interval_ms}");
    }
    for interval_ms in [3 * USUAL_MS, 8 * USUAL_MS, 100 * USUAL_MS] {
        assert_eq!(measure(&usual, interval_ms).0, Some(true), "{interval_ms}");
    }
}

#[test]
fn slow_stream_is_told_before_its_events_have_come() {
    let (is_slow, known_after) = measure(&usual(1), 8 * USUAL_MS);
    assert_eq!(is_slow, Some(true));
    // Ten events at two and a half usual paces, in steps of a slow event.
    assert!(known_after <= 33 * USUAL_MS, "{known_after}");
}

#[test]
fn stream_at_an_idle_endpoint_is_compared_with_the_least_load_known() {
    let mut usual = usual(9);
    assert_eq!(measure(&usual, 5 * USUAL_MS).0, Some(true));
    for _ in 0..100 {
        usual.add(kind(2), 1.0);
    }
    assert_eq!(measure(&usual, 2 * USUAL_MS).0, Some(true));
    // Paces at lower load say nothing about those at a higher one.
    assert_eq!(usual.usual(&kind(100)), None);
}

#[test]
fn pace_counts_neither_way_while_none_is_usual() {
    let mut usual = UsualPaces::default();
    assert_eq!(measure(&usual, 1_000).0, None);
    for _ in 0..4 {
        usual.add(kind(1), 10.0);
    }
    assert_eq!(measure(&usual, 1_000).0, None);
}

#[test]
fn pace_is_measured_once() {
    let usual = usual(1);
    let mut meter = PaceMeter::default();
    let measured = (0..100).filter_map(|event| {
        let now = Millis::new(event * USUAL_MS);
        meter.record_event(usual.usual(&kind(1)), now)
    });
    assert_eq!(measured.count(), 1);
}

#[test]
fn slow_times_do_not_become_the_usual_ones_at_once() {
    let mut usual = usual(1);
    for _ in 0..4 {
        usual.add(kind(1), 100.0 * USUAL_MS as f64);
    }
    assert_eq!(measure(&usual, 8 * USUAL_MS).0, Some(true));
    let mut latencies = UsualLatencies::default();
    let kind = ResponseKind {
        route: "draft".to_owned(),
        size_index: 0,
        prefill_class: 0,
    };
    for latency_ms in [100.0, 100.0, 900.0, 900.0, 900.0] {
        latencies.add(kind.clone(), latency_ms);
    }
    assert!(latencies.is_slow(&kind, 800.0, 250.0));
    assert!(!latencies.is_slow(&kind, 300.0, 250.0));
}

/// A canary of ten streams, all of them eight times slower, beside 200 streams as usual.
#[test]
fn release_that_answers_several_times_slower_is_not_completed() {
    let mut evidence = ReleaseEvidence::new("v2");
    let decisions: Vec<_> = (1..=10)
        .map(|streams| {
            evidence.record(BTreeMap::from([
                ("v1".to_owned(), paces(20 * streams, 0)),
                ("v2".to_owned(), paces(0, streams)),
            ]))
        })
        .collect();
    assert!(decisions.contains(&Some(Regression::Pace)), "{decisions:?}");
}

#[test]
fn release_that_is_as_slow_as_the_others_has_not_regressed() {
    // A burst slows both releases down; the target has every third stream slow as well.
    let mut evidence = ReleaseEvidence::new("v2");
    for step in 1..=100 {
        let decision = evidence.record(BTreeMap::from([
            ("v1".to_owned(), paces(14 * step, 7 * step)),
            ("v2".to_owned(), paces(2 * step, step)),
        ]));
        assert_eq!(decision, None, "{step}");
    }
}

/// Guards against a release whose streams are nearly all slow, beside one whose ratios to the usual pace
/// vary widely.
#[test]
fn release_with_nearly_all_streams_slow_is_suspicious_beside_widely_varying_paces() {
    let measured = |ratios: &[f64]| {
        let mut results = ReleaseResults::default();
        for ratio in ratios {
            results.paces.count(*ratio <= 2.5);
            results.ratios.count(*ratio);
        }
        entry_results(results)
    };
    let others: Vec<f64> = (0..200)
        .map(|number| {
            if number % 10 < 2 {
                3.2
            } else {
                0.4 + f64::from(number % 13) / 6.0
            }
        })
        .collect();
    let target: Vec<f64> = (0..14)
        .map(|number| if number % 7 == 0 { 1.0 } else { 2.6 })
        .collect();
    let mut evidence = ReleaseEvidence::new("v2");
    let regression = evidence.record(BTreeMap::from([
        ("v1".to_owned(), measured(&others)),
        ("v2".to_owned(), measured(&target)),
    ]));
    assert!(regression.is_some() || evidence.is_suspicious());
}

#[test]
fn roll_out_with_little_but_bad_evidence_is_suspicious() {
    let mut evidence = ReleaseEvidence::new("v2");
    assert!(!evidence.is_suspicious());
    let decision = evidence.record(BTreeMap::from([
        ("v1".to_owned(), paces(100, 5)),
        ("v2".to_owned(), paces(1, 3)),
    ]));
    assert_eq!(decision, None);
    assert!(evidence.is_suspicious());
}

#[test]
fn results_of_an_entry_that_returns_are_not_counted_twice() {
    let mut evidence = ReleaseEvidence::new("v2");
    let results = || BTreeMap::from([("v2".to_owned(), paces(0, 3))]);
    assert_eq!(evidence.record(results()), None);
    assert_eq!(evidence.record(BTreeMap::new()), None);
    for _ in 0..10 {
        assert_eq!(evidence.record(results()), None);
    }
    assert_eq!(evidence.total().paces, Tally { good: 0, bad: 3 });
}

/// Returns the time for ten events at an endpoint with this many requests, in milliseconds: 80 at an
/// idle one, and 15 more for each other request.
fn ten_events_ms(running: u32) -> u64 {
    80 + 15 * u64::from(running - 1)
}

/// Measures a stream; counts its pace for its release, and among the usual ones unless it is the target's.
fn count_stream(usual: &mut UsualPaces, results: &mut ReleaseResults, running: u32, slowdown: u64) {
    let ten_events = ten_events_ms(running) * slowdown;
    let mut meter = PaceMeter::default();
    let pace = (0..=10).find_map(|event| {
        let now = Millis::new(ten_events * event / 10);
        meter.record_event(usual.usual(&kind(running)), now)
    });
    let pace = pace.expect("the pace is known after ten intervals");
    if slowdown == 1 {
        usual.add(kind(running), pace.interval_ms);
    }
    if let Some(is_slow) = pace.is_slow {
        results.responses.count(true);
        results.paces.count(!is_slow);
        results
            .ratios
            .count(pace.ratio.expect("the usual pace is known"));
    }
}

/// Plays a canary of 45 streams on nearly idle endpoints, beside 450 on endpoints with 6 to 20
/// requests; returns whether the release is rolled back.
fn is_rolled_back(slowdown: u64) -> bool {
    let mut usual = UsualPaces::default();
    let mut results = [ReleaseResults::default(), ReleaseResults::default()];
    let mut evidence = ReleaseEvidence::new("v2");
    (0..45_u32).any(|step| {
        for stream in 0..10 {
            let running = 6 + (step * 10 + stream) * 7 % 15;
            count_stream(&mut usual, &mut results[0], running, 1);
        }
        count_stream(&mut usual, &mut results[1], 1 + step % 2, slowdown);
        let decision = evidence.record(BTreeMap::from([
            ("v1".to_owned(), entry_results(results[0].clone())),
            ("v2".to_owned(), entry_results(results[1].clone())),
        ]));
        decision == Some(Regression::Pace)
    })
}

fn entry_results(results: ReleaseResults) -> EntryResults {
    BTreeMap::from([((VmId::new("vm-1").unwrap(), Incarnation(1)), results)])
}

/// Guards against completing a release three times slower whose idle endpoints are about as fast as
/// the loaded ones of the release in use.
#[test]
fn release_three_times_slower_on_idle_endpoints_beside_loaded_ones_is_rolled_back() {
    assert!(is_rolled_back(3));
    assert!(!is_rolled_back(1));
}

/// Guards against rolling back a good release whose endpoints have nothing cached yet: with 17,020
/// prompt tokens to read in place of 3,720, its first events take several times as long.
#[test]
fn first_event_after_a_cold_prefill_is_not_slow() {
    let mut latencies = UsualLatencies::default();
    let kind = || ResponseKind {
        route: "draft".to_owned(),
        size_index: 0,
        prefill_class: 0,
    };
    let warm = || kind().with_prefill(3_720);
    let cold = || kind().with_prefill(17_020);
    for _ in 0..20 {
        latencies.add(warm(), 190.0);
    }
    assert!(!latencies.is_slow(&cold(), 860.0, 250.0));
    assert!(latencies.is_slow(&warm(), 860.0, 250.0));
    latencies.add(cold(), 860.0);
    assert!(latencies.is_slow(&cold(), 8.0 * 860.0, 250.0));
    // Less to read than anything known so far.
    assert!(latencies.is_slow(&kind(), 860.0, 250.0));
}
