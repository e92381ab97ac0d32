//! Exposure quotas: all entries together never use more exposures than a roll-out step allows.

use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::exposure::Exposures;
use proptest::proptest;

use crate::fixture::version;

proptest! {
    #[test]
    fn quotas_never_exceed_the_exposures_of_a_step(
        steps in proptest::collection::vec(1..500_u32, 1..4),
        // Of each pair, only the second number is used: the exposures that a request asks for.
        requests in proptest::collection::vec((0..860_usize, 1..40_u32), 1..400),
    ) {
        let mut cumulative_steps: Vec<u32> = steps;
        cumulative_steps.sort_unstable();
        cumulative_steps.dedup();
        let mut exposures = Exposures::default();
        let mut now = Millis::new(1_000);
        let id = version("next@1");
        for step in 0..cumulative_steps.len() {
            let stage = Stage::RollOut {
                steps: cumulative_steps.clone(),
                step: u32::try_from(step).unwrap(),
                paused: false,
            };
            for (_, want) in &requests {
                now = now + Millis::new(u64::from(*want) * 40);
                exposures.grant(&id, &stage, *want, now);
                assert!(exposures.granted(&id) <= cumulative_steps[step]);
            }
        }
    }

    #[test]
    fn all_exposures_of_a_step_are_granted_eventually(budget in 1..300_u32, want in 1..20_u32) {
        let mut exposures = Exposures::default();
        let stage = Stage::RollOut { steps: vec![budget], step: 0, paused: false };
        for second in 1..2_000 {
            exposures.grant(&version("next@1"), &stage, want, Millis::from_secs(second));
        }
        assert_eq!(exposures.granted(&version("next@1")), budget);
    }
}

#[test]
fn no_exposure_is_granted_outside_an_active_roll_out() {
    let paused = Stage::RollOut {
        steps: vec![10],
        step: 0,
        paused: true,
    };
    let halted = Stage::Halted {
        steps: vec![10],
        step: 0,
        reason: String::new(),
    };
    for stage in [
        paused,
        halted,
        Stage::Withdrawn,
        Stage::Declared,
        Stage::Offered,
    ] {
        assert_eq!(
            Exposures::default().grant(&version("next@1"), &stage, 5, Millis::new(1)),
            0,
            "{stage:?}"
        );
    }
}

#[test]
fn exposures_of_a_step_are_granted_over_at_least_a_minute() {
    let mut exposures = Exposures::default();
    let stage = Stage::RollOut {
        steps: vec![60, 600],
        step: 0,
        paused: false,
    };
    for second in 1..=10 {
        for _ in 0..50 {
            exposures.grant(&version("next@1"), &stage, 8, Millis::from_secs(second));
        }
        let granted = exposures.granted(&version("next@1"));
        assert!(u64::from(granted) <= second, "{granted} after {second} s");
    }
}
