//! Exposure of callers to versions in roll-out: a fleet-wide budget in leased portions.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Stage;
use crate::clock::Millis;
use crate::id::VersionId;

/// Share of what is left that one portion takes, as a divisor.
const QUOTA_DIVISOR: u32 = 8;

/// Shortest time over which the exposures of one step are handed out.
const MIN_STEP_DURATION: Millis = Millis::from_secs(60);

/// Exposures of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Granted {
    all: u32,
    step: u32,
    in_step: u32,
    since: Millis,
}

/// Exposures granted by version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposures {
    granted: BTreeMap<VersionId, Granted>,
}

impl Exposures {
    /// Grants a portion of at most `want` exposures to `version` at `stage`.
    ///
    /// The sum of all portions never exceeds what the step allows; a portion that its holder
    /// loses counts as used. A step is handed out evenly over a minute at least, so that the
    /// evidence of the first callers can stop it before the last are exposed.
    pub fn grant(&mut self, version: &VersionId, stage: &Stage, want: u32, now: Millis) -> u32 {
        let Stage::RollOut {
            steps,
            step,
            paused: false,
        } = stage
        else {
            return 0;
        };
        let index = *step as usize;
        let allowed = steps.get(index).copied().unwrap_or(0);
        let before = index
            .checked_sub(1)
            .and_then(|at| steps.get(at))
            .copied()
            .unwrap_or(0);
        let granted = self.granted.entry(version.clone()).or_default();
        if granted.since == Millis::ZERO || granted.step != *step {
            *granted = Granted {
                all: granted.all,
                step: *step,
                in_step: 0,
                since: now,
            };
        }
        let left = allowed.saturating_sub(granted.all);
        let due = due(allowed - before, now.since(granted.since)).saturating_sub(granted.in_step);
        let quota = left.div_ceil(QUOTA_DIVISOR).min(want).min(due).min(left);
        granted.all += quota;
        granted.in_step += quota;
        quota
    }

    /// Returns the exposures granted to `version` so far.
    pub fn granted(&self, version: &VersionId) -> u32 {
        self.granted.get(version).map_or(0, |granted| granted.all)
    }
}

/// Returns how many of a step's exposures may have been handed out after `elapsed`.
fn due(exposures: u32, elapsed: Millis) -> u32 {
    let elapsed = elapsed.min(MIN_STEP_DURATION).as_u64();
    let share = u64::from(exposures) * elapsed / MIN_STEP_DURATION.as_u64();
    // The first caller need not wait.
    u32::try_from(share).unwrap_or(u32::MAX).saturating_add(1)
}
