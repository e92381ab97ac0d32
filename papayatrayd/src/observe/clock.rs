//! System clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Value of the monotonic clock at the start of the process, so that no computed time is negative.
const INITIAL_TIME: Millis = Millis::from_secs(3_600);

/// Monotonic and wall clock of the machine.
///
/// The monotonic clock includes the time for which the machine was suspended, unlike that of the
/// standard library, because leases must also expire while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    /// Time from the boot of the machine to the start of the process.
    start: Millis,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        INITIAL_TIME + since_boot().since(self.start)
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis::new(seconds * 1_000 + nanos / 1_000_000)
}
