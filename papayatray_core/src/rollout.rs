//! Sequential evidence that stops a version which has turned bad.

use serde::Deserialize;
use serde::Serialize;

/// Lowest share of failures that is taken as normal.
const NORMAL_FLOOR: f64 = 0.02;
/// Highest share of failures that is taken as normal.
const NORMAL_CEILING: f64 = 0.6;
/// Share of failures above normal that counts as bad.
const BAD_MARGIN: f64 = 0.2;
/// Evidence, in natural logarithms of odds, that stops a version.
const STOP_AT: f64 = 11.5;
/// Weight of one request in the moving share of failures of a reference.
const REFERENCE_WEIGHT: f64 = 0.01;

/// Successes and failures of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that went well.
    pub good: u64,
    /// Requests that failed or were rated low.
    pub bad: u64,
}

impl Tally {
    /// Returns what has come since `earlier`.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }

    /// Adds another tally to this one.
    pub const fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Recent share of failures of the versions that serve in full.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBaseline {
    share: f64,
}

impl FailureBaseline {
    /// Takes in what the reference versions did.
    pub fn add(&mut self, tally: &Tally) {
        let total = tally.good + tally.bad;
        if total == 0 {
            return;
        }
        let share = tally.bad as f64 / total as f64;
        let weight = 1.0 - (1.0 - REFERENCE_WEIGHT).powf(total as f64);
        self.share += (share - self.share) * weight;
    }

    fn normal(self) -> f64 {
        self.share.clamp(NORMAL_FLOOR, NORMAL_CEILING)
    }
}

/// Cumulative-sum test of one version against the reference.
///
/// The sum falls back to zero at most, so that a version which served well for long is caught as
/// soon as it turns bad.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    sum: f64,
}

impl Watch {
    /// Takes in what the version did; tells whether it must be stopped.
    pub fn add(&mut self, tally: &Tally, reference: &FailureBaseline) -> bool {
        let normal = reference.normal();
        let bad = normal + BAD_MARGIN;
        let per_bad = (bad / normal).ln();
        let per_good = ((1.0 - bad) / (1.0 - normal)).ln();
        let step = tally.bad as f64 * per_bad + tally.good as f64 * per_good;
        self.sum = (self.sum + step).max(0.0);
        self.sum >= STOP_AT
    }

    /// Starts anew, as after an operator's resume.
    pub const fn reset(&mut self) {
        self.sum = 0.0;
    }
}
