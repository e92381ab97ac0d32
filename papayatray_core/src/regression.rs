//! Regression detection: stops a version whose failure rate exceeds that of the other versions.

use serde::Deserialize;
use serde::Serialize;

/// Lower bound on the baseline failure rate.
const MIN_BASELINE: f64 = 0.02;
/// Upper bound on the baseline failure rate.
const MAX_BASELINE: f64 = 0.6;
/// Excess of the failure rate over the baseline that counts as a regression.
const REGRESSION_MARGIN: f64 = 0.2;
/// Upper bound on the failure rate that counts as a regression.
const MAX_REGRESSED: f64 = 0.95;
/// Log-likelihood ratio (natural logarithm) at which a version is stopped.
const STOP_THRESHOLD: f64 = 11.5;
/// Log-likelihood ratio from which a regression is suspected; without one, fewer than one test in
/// twenty is there at a given moment.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Weight of one request in the moving average of the baseline.
const BASELINE_WEIGHT: f64 = 0.01;

/// Counts of a version's successful and failed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of successful requests.
    pub good: u64,
    /// Number of requests that failed or were rated low.
    pub bad: u64,
}

impl Tally {
    /// Returns the increase since `earlier`, an older state of the same tally.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }

    /// Returns the number of requests.
    pub const fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Returns the logarithm of how much likelier these results are at the failure rate `regressed` than
    /// at `rate`; both lie between 0 and 1.
    pub fn log_likelihood_ratio(&self, rate: f64, regressed: f64) -> f64 {
        let per_bad = (regressed / rate).ln();
        let per_good = ((1.0 - regressed) / (1.0 - rate)).ln();
        self.bad as f64 * per_bad + self.good as f64 * per_good
    }

    /// Counts one request.
    pub const fn count(&mut self, is_good: bool) {
        if is_good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
    }

    /// Adds another tally to this one.
    pub const fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Recent failure rate of the versions that are offered in full.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBaseline {
    average: f64,
}

impl FailureBaseline {
    /// Adds results of the versions that are offered in full.
    pub fn add(&mut self, tally: &Tally) {
        let total = tally.good + tally.bad;
        if total == 0 {
            return;
        }
        let rate = tally.bad as f64 / total as f64;
        let weight = 1.0 - (1.0 - BASELINE_WEIGHT).powf(total as f64);
        self.average += (rate - self.average) * weight;
    }

    fn rate(self) -> f64 {
        self.average.clamp(MIN_BASELINE, MAX_BASELINE)
    }
}

/// Cumulative-sum (CUSUM) test of one version's failure rate against the baseline.
///
/// The sum never falls below zero, so that a long period of good results does not delay the
/// detection of a later regression.
#[derive(Clone, Copy, Debug)]
pub struct RegressionDetector {
    /// Excess of the failure rate over the baseline that counts as a regression.
    margin: f64,
    /// Log-likelihood ratio of a regression against the baseline rate.
    sum: f64,
}

impl Default for RegressionDetector {
    fn default() -> Self {
        Self::new(REGRESSION_MARGIN)
    }
}

impl RegressionDetector {
    /// Creates a test for failure rates that exceed the baseline by `margin`, between 0 and 1.
    pub const fn new(margin: f64) -> Self {
        Self { margin, sum: 0.0 }
    }

    /// Adds results of the version; returns whether it must be stopped.
    pub fn add(&mut self, tally: &Tally, baseline: &FailureBaseline) -> bool {
        self.add_at_rate(tally, baseline.rate())
    }

    /// Adds results of the version, compared with a failure rate from 0 to 1; returns whether the
    /// version must be stopped.
    pub fn add_at_rate(&mut self, tally: &Tally, rate: f64) -> bool {
        let rate = rate.clamp(MIN_BASELINE, MAX_BASELINE);
        let regressed_rate = (rate + self.margin).min(MAX_REGRESSED);
        let step = tally.log_likelihood_ratio(rate, regressed_rate);
        self.sum = (self.sum + step).max(0.0);
        self.sum >= STOP_THRESHOLD
    }

    /// Returns whether results like those added are unlikely without a regression.
    pub const fn is_suspicious(&self) -> bool {
        self.sum >= SUSPICION_THRESHOLD
    }

    /// Restarts the test, as after an operator has resumed the version.
    pub const fn reset(&mut self) {
        self.sum = 0.0;
    }
}
