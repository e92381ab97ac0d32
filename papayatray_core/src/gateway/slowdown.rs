//! Slowdown of one release against another, from the distributions of their streams' paces.
//!
//! Load: a release that is one and a half to many times slower, of which a canary measures a few tens
//! of streams, beside releases whose paces vary with endpoints that are slow for reasons of their own.

use serde::Deserialize;
use serde::Serialize;

/// Number of bins of [`RatioCounts`].
const BINS: usize = 20;
/// Bins for each doubling of the ratio.
const BINS_PER_OCTAVE: f64 = 4.0;
/// Bin of the ratio 1; the lowest bin holds ratios up to 0.27, the highest one those from 6.2.
const UNIT_BIN: f64 = 8.0;

/// Slowdowns that are tested for, in bins: factors of 1.7 and 2.4.
///
/// The sum of a test grows from about half of its slowdown in bins, a factor of 1.3 for the smaller.
const SHIFTS: [usize; 2] = [3, 5];
/// Part of the probability that is spread over all bins, so that no bin has none.
const SPREAD_PART: f64 = 0.1;
/// Maximum step of the sum for one stream, so that a few slow endpoints do not decide.
const MAX_STEP: f64 = 1.6;
/// Minimum step of the sum. Its magnitude is larger, as a release that is slower as a whole sends no
/// stream at the usual pace, while one with some slow endpoints does.
const MIN_STEP: f64 = -3.0;
/// Log-likelihood ratio (natural logarithm) at which a release is slower: by Wald's bound, one false
/// alarm in 100,000 for each restart of the sum.
const STOP_THRESHOLD: f64 = 11.5;
/// Log-likelihood ratio from which a slowdown is suspected: one in 400, since a suspicion at the time
/// limit rolls a release back.
const SUSPICION_THRESHOLD: f64 = 6.0;
/// Ratios of the other releases without which none of the target is judged.
const MIN_BASELINE_COUNT: f64 = 20.0;
/// Number of ratios to which the baseline is scaled down, so that it follows the load.
const MAX_BASELINE_COUNT: f64 = 300.0;

/// Numbers of paces by their ratio to the usual pace, in logarithmic bins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatioCounts([u32; BINS]);

impl RatioCounts {
    /// Counts one ratio.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of the bins"
    )]
    pub fn count(&mut self, ratio: f64) {
        let bin = (ratio.log2() * BINS_PER_OCTAVE + UNIT_BIN).round();
        self.0[bin.clamp(0.0, (BINS - 1) as f64) as usize] += 1;
    }

    /// Returns the increase since `earlier`, an older state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self(std::array::from_fn(|bin| {
            self.0[bin].saturating_sub(earlier.0[bin])
        }))
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(added);
        }
    }

    /// Returns whether nothing has been counted, as by a build that counts no ratios.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }
}

/// Cumulative-sum (CUSUM) tests of whether a release's ratios are those of the others, multiplied.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownDetector {
    /// Latest ratios of the other releases, by bin.
    baseline: [f64; BINS],
    /// Log-likelihood ratio of each of [`SHIFTS`] against no slowdown.
    sums: [f64; SHIFTS.len()],
}

impl SlowdownDetector {
    /// Adds ratios of the release and of the others over the same time; returns whether the release
    /// is slower.
    pub fn add(&mut self, target: &RatioCounts, others: &RatioCounts) -> bool {
        for (baseline, count) in self.baseline.iter_mut().zip(others.0) {
            *baseline += f64::from(count);
        }
        let total: f64 = self.baseline.iter().sum();
        if total > MAX_BASELINE_COUNT {
            for count in &mut self.baseline {
                *count *= MAX_BASELINE_COUNT / total;
            }
        }
        if total >= MIN_BASELINE_COUNT && !target.is_empty() {
            let usual = self.probabilities();
            for (sum, shift) in self.sums.iter_mut().zip(SHIFTS) {
                for (bin, count) in target.0.iter().enumerate() {
                    let step = (shifted(&usual, bin, shift) / usual[bin]).ln();
                    *sum += f64::from(*count) * step.clamp(MIN_STEP, MAX_STEP);
                }
                *sum = sum.max(0.0);
            }
        }
        self.sums.iter().any(|sum| *sum >= STOP_THRESHOLD)
    }

    /// Returns whether ratios like those added are unlikely without a slowdown.
    pub fn is_suspicious(&self) -> bool {
        self.sums.iter().any(|sum| *sum >= SUSPICION_THRESHOLD)
    }

    /// Returns the smoothed probability of each bin for the other releases.
    fn probabilities(&self) -> [f64; BINS] {
        let total: f64 = self.baseline.iter().sum();
        let at = |bin: Option<usize>| bin.and_then(|bin| self.baseline.get(bin)).copied();
        std::array::from_fn(|bin| {
            let below = at(bin.checked_sub(1)).unwrap_or_default();
            let above = at(Some(bin + 1)).unwrap_or_default();
            let smoothed = (below + 2.0 * self.baseline[bin] + above) / (4.0 * total);
            (1.0 - SPREAD_PART) * smoothed + SPREAD_PART / BINS as f64
        })
    }
}

/// Returns the probability of a bin if all ratios are higher by `shift` bins.
fn shifted(usual: &[f64; BINS], bin: usize, shift: usize) -> f64 {
    if bin == BINS - 1 {
        return usual[bin - shift..].iter().sum();
    }
    bin.checked_sub(shift)
        .map_or(SPREAD_PART / BINS as f64, |source| usual[source])
}
