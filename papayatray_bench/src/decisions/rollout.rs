//! Roll-out of a bad version: callers exposed until it is stopped, against a fixed canary.

use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::exposure::Exposures;
use papayatray_core::id::VersionId;
use papayatray_core::rollout::FailureBaseline;
use papayatray_core::rollout::Tally;
use papayatray_core::rollout::Watch;

use super::SEEDS;
use super::random;
use super::share;
use crate::report::Report;

/// Steps of a roll-out, in exposures.
const STEPS: [u32; 3] = [50, 500, 5_000];
/// Exposures that an entry asks for at once.
const PORTION: u32 = 8;
/// Share of failures of a sound version.
const SOUND: f64 = 0.02;
/// Share of traffic of the fixed canary.
const CANARY: f64 = 0.05;
/// Seconds between two looks at the fixed canary.
const LOOK: u64 = 60;
/// Share of failures at which the look stops the canary.
const ALARM: f64 = 0.10;
/// Seconds that a run lasts at most.
const SECONDS: u64 = 600;

pub(super) fn run(report: &mut Report) {
    for (entries, rate, name) in [(9, 40, "9"), (860, 84_000, "860")] {
        for (failing, fault) in [(1.0, "always"), (0.5, "half"), (0.3, "third")] {
            let own = mean(|seed| stepped(seed, entries, rate, failing));
            let canary = mean(|seed| fixed(seed, rate, failing));
            report.add("rollout", &format!("exposed_{fault}_at_{name}"), own);
            report.add(
                "rollout",
                &format!("canary_exposed_{fault}_at_{name}"),
                canary,
            );
            if entries == 9 && fault == "half" {
                report.add("rollout", "exposed_over_canary", own / canary);
            }
        }
    }
    let halts = (0..SEEDS * 5)
        .filter(|seed| stepped_is_halted(*seed))
        .count();
    report.add("rollout", "false_halts", halts as f64);
    let late = mean(|seed| turned_bad(seed, 0.5));
    report.add("rollout", "exposed_after_turning_bad_in_full", late);
}

fn mean<F>(run: F) -> f64
where
    F: Fn(u64) -> f64,
{
    (0..SEEDS).map(run).sum::<f64>() / SEEDS as f64
}

/// Plays a roll-out in leased portions; returns the callers exposed until it is halted.
fn stepped(seed: u64, entries: usize, rate: u64, failing: f64) -> f64 {
    let mut random = random(seed);
    let mut exposures = Exposures::default();
    let mut watch = Watch::default();
    let reference = FailureBaseline::default();
    let version: VersionId = "drafter@2".parse().expect("a name");
    let mut left = vec![0_u32; entries];
    let mut exposed = 0;
    for second in 1..=SECONDS {
        let now = Millis::from_secs(second);
        let stage = Stage::RollOut {
            steps: STEPS.to_vec(),
            step: 0,
            paused: false,
        };
        for own in left.iter_mut().filter(|own| **own == 0) {
            *own = exposures.grant(&version, &stage, PORTION, now);
        }
        // Reports come with the next renewal, a second late.
        let mut tally = Tally::default();
        let each = rate / entries as u64 + 1;
        for own in &mut left {
            let used = (*own).min(u32::try_from(each).unwrap_or(u32::MAX));
            *own -= used;
            for _ in 0..used {
                exposed += 1;
                let is_bad = share(&mut random) < failing;
                tally.add(&Tally {
                    good: u64::from(!is_bad),
                    bad: u64::from(is_bad),
                });
            }
        }
        if watch.add(&tally, &reference) {
            break;
        }
    }
    f64::from(exposed)
}

/// Plays a fixed share of traffic with a look each minute; returns the callers exposed.
fn fixed(seed: u64, rate: u64, failing: f64) -> f64 {
    let mut random = random(seed);
    let (mut exposed, mut bad) = (0.0, 0.0);
    for second in 1..=SECONDS {
        for _ in 0..rate {
            if share(&mut random) < CANARY {
                exposed += 1.0;
                bad += f64::from(u8::from(share(&mut random) < failing));
            }
        }
        if second % LOOK == 0 && bad / exposed > ALARM {
            break;
        }
    }
    exposed
}

/// Tells whether a sound version is halted in its roll-out.
fn stepped_is_halted(seed: u64) -> bool {
    let mut random = random(seed + 1_000);
    let mut watch = Watch::default();
    let reference = FailureBaseline::default();
    (0..5_000).any(|_| {
        let is_bad = share(&mut random) < SOUND;
        let tally = Tally {
            good: u64::from(!is_bad),
            bad: u64::from(is_bad),
        };
        watch.add(&tally, &reference)
    })
}

/// Plays a version that turns bad while it serves in full; returns the callers it fails.
fn turned_bad(seed: u64, failing: f64) -> f64 {
    let mut random = random(seed);
    let mut watch = Watch::default();
    let reference = FailureBaseline::default();
    let rate = 40;
    let mut failed = 0.0;
    for second in 0..SECONDS {
        let is_turned = second >= 300;
        let chance = if is_turned { failing } else { SOUND };
        let mut tally = Tally::default();
        for _ in 0..rate {
            let is_bad = share(&mut random) < chance;
            failed += f64::from(u8::from(is_bad && is_turned));
            tally.add(&Tally {
                good: u64::from(!is_bad),
                bad: u64::from(is_bad),
            });
        }
        if watch.add(&tally, &reference) && is_turned {
            break;
        }
    }
    failed
}
