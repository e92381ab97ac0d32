//! Roll-out of a bad version: callers exposed until it is halted, compared with a fixed canary.

use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::exposure::Exposures;
use papayatray_core::id::VersionId;
use papayatray_core::regression::FailureBaseline;
use papayatray_core::regression::RegressionDetector;
use papayatray_core::regression::Tally;

use super::SEEDS;
use super::seeded_rng;
use super::uniform;
use crate::report::Report;

/// Steps of a roll-out, each the total number of exposures allowed up to it.
const STEPS: [u32; 3] = [50, 500, 5_000];
/// Exposures that an entry requests at once.
const QUOTA: u32 = 8;
/// Failures of a sound version, as a share of its requests.
const SOUND_FAILURE_SHARE: f64 = 0.02;
/// Share of all traffic that the fixed canary gets.
const CANARY_TRAFFIC_SHARE: f64 = 0.05;
/// Interval at which the failures of the fixed canary are checked.
const CANARY_CHECK_SECONDS: u64 = 60;
/// Share of failures above which a check stops the canary.
const MAX_CANARY_FAILURE_SHARE: f64 = 0.10;
/// Maximum duration of a simulation.
const MAX_SECONDS: u64 = 600;

pub(super) fn run(report: &mut Report) {
    // Number of entries, requests per second, and suffix of the measures.
    for (entries, rate, name) in [(9, 40, "9"), (860, 84_000, "860")] {
        // Share of the bad version's requests that fail, and part of the measures' names.
        for (failure_share, label) in [(1.0, "always"), (0.5, "half"), (0.3, "third")] {
            let exposed = mean(|seed| simulate_steps(seed, entries, rate, failure_share));
            let canary_exposed = mean(|seed| simulate_canary(seed, rate, failure_share));
            report.add("rollout", &format!("exposed_{label}_at_{name}"), exposed);
            report.add(
                "rollout",
                &format!("canary_exposed_{label}_at_{name}"),
                canary_exposed,
            );
            if entries == 9 && label == "half" {
                report.add("rollout", "exposed_over_canary", exposed / canary_exposed);
            }
        }
    }
    let halts = (0..SEEDS * 5)
        .filter(|seed| is_sound_version_halted(*seed))
        .count();
    report.add("rollout", "false_halts", halts as f64);
    let failed_after_roll_out = mean(|seed| simulate_late_failure(seed, 0.5));
    report.add(
        "rollout",
        "exposed_after_turning_bad_in_full",
        failed_after_roll_out,
    );
}

fn mean<F>(run: F) -> f64
where
    F: Fn(u64) -> f64,
{
    (0..SEEDS).map(run).sum::<f64>() / SEEDS as f64
}

/// Simulates a roll-out with exposure quotas; returns the callers exposed until it is halted.
fn simulate_steps(seed: u64, entries: usize, rate: u64, failure_share: f64) -> f64 {
    let mut rng = seeded_rng(seed);
    let mut exposures = Exposures::default();
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    let version: VersionId = "drafter@2".parse().expect("a name");
    let mut quotas = vec![0_u32; entries];
    let mut exposed = 0;
    for second in 1..=MAX_SECONDS {
        let now = Millis::from_secs(second);
        let stage = Stage::RollOut {
            steps: STEPS.to_vec(),
            // The roll-out stays at its first step.
            step: 0,
            paused: false,
        };
        for quota in quotas.iter_mut().filter(|quota| **quota == 0) {
            *quota = exposures.grant(&version, &stage, QUOTA, now);
        }
        // Tallies reach the leader with the next renewal, a second later.
        let mut tally = Tally::default();
        let requests_per_entry = rate / entries as u64 + 1;
        for quota in &mut quotas {
            let used = (*quota).min(u32::try_from(requests_per_entry).unwrap_or(u32::MAX));
            *quota -= used;
            for _ in 0..used {
                exposed += 1;
                let is_bad = uniform(&mut rng) < failure_share;
                tally.add(&Tally {
                    good: u64::from(!is_bad),
                    bad: u64::from(is_bad),
                });
            }
        }
        if detector.add(&tally, &baseline) {
            break;
        }
    }
    f64::from(exposed)
}

/// Simulates a fixed canary that is checked every minute; returns the callers exposed.
fn simulate_canary(seed: u64, rate: u64, failure_share: f64) -> f64 {
    let mut rng = seeded_rng(seed);
    let (mut exposed, mut bad) = (0.0, 0.0);
    for second in 1..=MAX_SECONDS {
        for _ in 0..rate {
            if uniform(&mut rng) < CANARY_TRAFFIC_SHARE {
                exposed += 1.0;
                bad += f64::from(u8::from(uniform(&mut rng) < failure_share));
            }
        }
        if second % CANARY_CHECK_SECONDS == 0 && bad / exposed > MAX_CANARY_FAILURE_SHARE {
            break;
        }
    }
    exposed
}

/// Returns whether a sound version is halted in its roll-out, which is a false alarm.
fn is_sound_version_halted(seed: u64) -> bool {
    let mut rng = seeded_rng(seed + 1_000);
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    (0..5_000).any(|_| {
        let is_bad = uniform(&mut rng) < SOUND_FAILURE_SHARE;
        let tally = Tally {
            good: u64::from(!is_bad),
            bad: u64::from(is_bad),
        };
        detector.add(&tally, &baseline)
    })
}

/// Simulates a version that starts to fail after its roll-out, in the middle of the simulation.
///
/// Returns the number of requests that fail from then on until the version is halted.
fn simulate_late_failure(seed: u64, failure_share: f64) -> f64 {
    let mut rng = seeded_rng(seed);
    let mut detector = RegressionDetector::default();
    let baseline = FailureBaseline::default();
    let rate = 40;
    let mut failed = 0.0;
    for second in 0..MAX_SECONDS {
        let has_turned_bad = second >= 300;
        let chance = if has_turned_bad {
            failure_share
        } else {
            SOUND_FAILURE_SHARE
        };
        let mut tally = Tally::default();
        for _ in 0..rate {
            let is_bad = uniform(&mut rng) < chance;
            failed += f64::from(u8::from(is_bad && has_turned_bad));
            tally.add(&Tally {
                good: u64::from(!is_bad),
                bad: u64::from(is_bad),
            });
        }
        if detector.add(&tally, &baseline) && has_turned_bad {
            break;
        }
    }
    failed
}
