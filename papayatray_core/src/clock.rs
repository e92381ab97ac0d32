//! Time in milliseconds, and the interface of the clocks that it is read from.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Point in time or duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);
    /// The largest value.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a value from a count of milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a value from a count of seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the count of milliseconds.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the value doubled `times` times, or `max` if that is less.
    #[must_use]
    pub fn doubled(self, times: u32, max: Self) -> Self {
        let factor = 1_u64.checked_shl(times).unwrap_or(u64::MAX);
        Self(self.0.saturating_mul(factor)).min(max)
    }

    /// Converts the value to a [`Duration`].
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Source of the current time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Returns the monotonic time, which is comparable within one process only.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time since the Unix epoch.
    fn wall(&self) -> Millis;
}

/// Clock whose wall-clock time follows its monotonic one, so that it never jumps.
///
/// The wall clock of `C` is read once; where it is set to another time later, this one goes on.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock<C> {
    source: C,
    /// Monotonic time at which the wall clock was read.
    read_at: Millis,
    /// Wall-clock time that was read.
    wall: Millis,
}

impl<C> SteadyClock<C>
where
    C: Clock,
{
    /// Creates a clock with the present wall-clock time of `source`.
    pub fn new(source: C) -> Self {
        Self {
            read_at: source.now(),
            wall: source.wall(),
            source,
        }
    }
}

impl<C> Clock for SteadyClock<C>
where
    C: Clock,
{
    fn now(&self) -> Millis {
        self.source.now()
    }

    fn wall(&self) -> Millis {
        self.wall + self.source.now().since(self.read_at)
    }
}
