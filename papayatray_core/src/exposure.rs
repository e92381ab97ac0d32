//! Exposure of callers to versions in roll-out: a fleet-wide budget in leased portions.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Stage;
use crate::id::VersionId;

/// Share of what is left that one portion takes, as a divisor.
const PORTION_DIVISOR: u32 = 8;

/// Exposures granted by version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposures {
    granted: BTreeMap<VersionId, u32>,
}

impl Exposures {
    /// Grants a portion of at most `want` exposures to `version` at `stage`.
    ///
    /// The sum of all portions never exceeds what the step allows; a portion that its holder
    /// loses counts as used.
    pub fn grant(&mut self, version: &VersionId, stage: &Stage, want: u32) -> u32 {
        let Stage::RollOut {
            steps,
            step,
            paused: false,
        } = stage
        else {
            return 0;
        };
        let allowed = steps.get(*step as usize).copied().unwrap_or(0);
        let granted = self.granted.entry(version.clone()).or_default();
        let left = allowed.saturating_sub(*granted);
        let portion = left.div_ceil(PORTION_DIVISOR).min(want);
        *granted += portion;
        portion
    }

    /// Returns the exposures granted to `version` so far.
    pub fn granted(&self, version: &VersionId) -> u32 {
        self.granted.get(version).copied().unwrap_or(0)
    }
}
