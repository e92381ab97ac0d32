//! Clocks whose time of day is set to another time.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::clock::SteadyClock;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::is_completion_due;

/// Clock with settable times.
#[derive(Debug, Default)]
struct SetClock {
    now: AtomicU64,
    wall: AtomicU64,
}

impl Clock for &SetClock {
    fn now(&self) -> Millis {
        Millis::new(self.now.load(Ordering::Relaxed))
    }

    fn wall(&self) -> Millis {
        Millis::new(self.wall.load(Ordering::Relaxed))
    }
}

#[test]
fn steady_wall_clock_ignores_jumps() {
    let source = SetClock::default();
    source.now.store(1_000, Ordering::Relaxed);
    source.wall.store(1_000_000, Ordering::Relaxed);
    let clock = SteadyClock::new(&source);
    for wall in [1_005_100, 995_100] {
        source.now.store(1_100, Ordering::Relaxed);
        source.wall.store(wall, Ordering::Relaxed);
        assert_eq!(clock.wall(), Millis::new(1_000_100));
        assert_eq!(clock.now(), Millis::new(1_100));
    }
}

/// A leader whose time of day jumps by 5 s must not complete a roll-out before the evidence is in.
#[test]
fn completion_of_a_rollout_does_not_jump_with_the_time_of_day() {
    let source = SetClock::default();
    source.wall.store(1_000_000, Ordering::Relaxed);
    let clock = SteadyClock::new(&source);
    let rollout = Rollout {
        target: "v2".to_owned(),
        started_at: clock.wall(),
        limit: Millis::from_secs(12),
        state: RolloutState::Running,
    };
    source.now.store(6_500, Ordering::Relaxed);
    source.wall.store(1_011_500, Ordering::Relaxed);
    assert!(is_completion_due(
        &rollout,
        0.15,
        100,
        true,
        Clock::wall(&&source)
    ));
    assert!(!is_completion_due(&rollout, 0.15, 100, true, clock.wall()));
}
