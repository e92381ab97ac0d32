//! Exposure of callers to versions in roll-out: a fleet-wide budget in leased portions.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Stage;
use crate::clock::Millis;
use crate::id::VersionId;

/// Share of what is left that one portion takes, as a divisor.
const PORTION_DIVISOR: u32 = 8;

/// Shortest time over which the exposures of one step are handed out.
const STEP_SPAN: Millis = Millis::from_secs(60);

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
        let place = *step as usize;
        let allowed = steps.get(place).copied().unwrap_or(0);
        let before = place
            .checked_sub(1)
            .and_then(|at| steps.get(at))
            .copied()
            .unwrap_or(0);
        let own = self.granted.entry(version.clone()).or_default();
        if own.since == Millis::ZERO || own.step != *step {
            *own = Granted {
                all: own.all,
                step: *step,
                in_step: 0,
                since: now,
            };
        }
        let left = allowed.saturating_sub(own.all);
        let due = due(allowed - before, now.since(own.since)).saturating_sub(own.in_step);
        let portion = left.div_ceil(PORTION_DIVISOR).min(want).min(due).min(left);
        own.all += portion;
        own.in_step += portion;
        portion
    }

    /// Returns the exposures granted to `version` so far.
    pub fn granted(&self, version: &VersionId) -> u32 {
        self.granted.get(version).map_or(0, |own| own.all)
    }
}

/// Returns how many of a step's exposures may have been handed out after `passed`.
fn due(exposures: u32, passed: Millis) -> u32 {
    let passed = passed.min(STEP_SPAN).as_u64();
    let share = u64::from(exposures) * passed / STEP_SPAN.as_u64();
    // The first caller need not wait.
    u32::try_from(share).unwrap_or(u32::MAX).saturating_add(1)
}
