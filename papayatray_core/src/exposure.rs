//! Exposure of callers to versions in roll-out: a fleet-wide budget, granted to entries in quotas.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Stage;
use crate::clock::Millis;
use crate::id::VersionId;

/// A quota is at most the remaining exposures of the step divided by this, rounded up.
const QUOTA_DIVISOR: u32 = 8;

/// Minimum time over which the exposures of one step are granted.
const MIN_STEP_DURATION: Millis = Millis::from_secs(60);

/// Numbers of exposures granted to one version, in total and in its latest step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct GrantCounts {
    #[serde(rename = "all")]
    total: u32,
    /// Index of the latest step for which a quota was requested.
    step: u32,
    /// Exposures granted in that step.
    in_step: u32,
    /// Time at which the first quota of the step was requested; zero before any request.
    #[serde(rename = "since")]
    step_started_at: Millis,
}

/// Exposures granted by version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposures {
    granted: BTreeMap<VersionId, GrantCounts>,
}

impl Exposures {
    /// Grants `version` a quota of at most `want` exposures, or zero outside an active roll-out.
    ///
    /// The sum of all quotas never exceeds the exposures that the step allows; a quota lost with
    /// its entry counts as used. A step's exposures are released evenly over at least a minute, so
    /// that failures of the first requests can halt the roll-out before all are exposed.
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
        let previous = index
            .checked_sub(1)
            .and_then(|index| steps.get(index))
            .copied()
            .unwrap_or(0);
        let counts = self.granted.entry(version.clone()).or_default();
        if counts.step_started_at == Millis::ZERO || counts.step != *step {
            *counts = GrantCounts {
                total: counts.total,
                step: *step,
                in_step: 0,
                step_started_at: now,
            };
        }
        let remaining = allowed.saturating_sub(counts.total);
        let released = released(allowed - previous, now.since(counts.step_started_at))
            .saturating_sub(counts.in_step);
        let quota = remaining
            .div_ceil(QUOTA_DIVISOR)
            .min(want)
            .min(released)
            .min(remaining);
        counts.total += quota;
        counts.in_step += quota;
        quota
    }

    /// Returns the number of exposures granted to `version` so far.
    pub fn granted(&self, version: &VersionId) -> u32 {
        self.granted.get(version).map_or(0, |counts| counts.total)
    }
}

/// Returns how many of a step's exposures may have been granted after `elapsed`.
fn released(exposures: u32, elapsed: Millis) -> u32 {
    let elapsed = elapsed.min(MIN_STEP_DURATION).as_u64();
    let share = u64::from(exposures) * elapsed / MIN_STEP_DURATION.as_u64();
    // One more, so that the first request need not wait.
    u32::try_from(share).unwrap_or(u32::MAX).saturating_add(1)
}
