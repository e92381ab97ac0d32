//! Clock of the system.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;

/// Moment at which the process's own time begins, so that no moment lies before it.
const START: Millis = Millis::from_secs(3_600);

/// Clock of the machine.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let passed = self.start.elapsed().as_millis();
        START + Millis::new(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    fn wall(&self) -> Millis {
        let passed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis::new(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }
}
