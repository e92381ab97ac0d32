//! Format level: which forms of log entries and snapshots the control replicas may write.
//!
//! The level is raised once every control replica and every entry in touch reads the next one, so that
//! the processes of a deployment, from 7 to some hundred, can be replaced one by one while it serves.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Time for which a leader must have led before it raises the level: every entry in touch has synced
/// with it by then, as entries poll replicas that do not lead once a second.
const MIN_LED_TIME: Millis = Millis::new(1_200);

/// Set of forms that log entries and snapshots may have; each level includes the lower ones.
///
/// Level 0 is what commit fbb4f3c reads and writes. Level 1 adds evacuations, plans as JSON text, and the
/// extension of snapshots. Level 2 adds compressed plans.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FormatLevel(pub u16);

impl FormatLevel {
    /// Level of processes that state none.
    pub const BASE: Self = Self(0);
    /// Highest level that this build reads and writes.
    pub const HIGHEST: Self = Self(2);
    /// Level from which on plans are logged as JSON text.
    pub const PLAN_DOCUMENTS: Self = Self(1);
    /// Level from which on plans are logged in compressed form.
    pub const PACKED_PLANS: Self = Self(2);
    /// Level from which on evacuations are logged.
    pub const EVACUATIONS: Self = Self(1);

    /// Returns the next level.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns whether this build reads the level.
    pub fn is_readable(self) -> bool {
        self <= Self::HIGHEST
    }
}

impl fmt::Display for FormatLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Levels that the processes of a deployment have stated that they read, as its leader knows them.
#[derive(Clone, Copy, Debug)]
pub struct Census<'a> {
    /// Level in force.
    pub in_force: FormatLevel,
    /// Level of each member of the control group; `None` for one that has not answered.
    pub replicas: &'a [Option<FormatLevel>],
    /// Level of each entry that syncs with the leader.
    pub entries: &'a [FormatLevel],
    /// Time for which the leader has led.
    pub led_for: Millis,
}

impl Census<'_> {
    /// Returns the level to raise the deployment to, or `None` if it must stay.
    pub fn next_level(&self) -> Option<FormatLevel> {
        let next = self.in_force.next();
        let can_read = |level: &FormatLevel| *level >= next;
        let is_agreed = next.is_readable()
            && self.led_for >= MIN_LED_TIME
            && self
                .replicas
                .iter()
                .all(|level| level.as_ref().is_some_and(can_read))
            && self.entries.iter().all(can_read);
        is_agreed.then_some(next)
    }
}
