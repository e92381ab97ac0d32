//! Ranking of model versions by rated quality and price.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Version;
use crate::id::Kind;
use crate::id::VersionId;

/// Number of ratings that the declared quality is worth in the estimate.
const PRIOR_WEIGHT: f64 = 8.0;
/// Number of standard errors by which an estimate must exceed the required quality to count as
/// sufficient.
const SUFFICIENT_STANDARD_ERRORS: f64 = 1.0;
/// Full quality in thousandths.
const FULL_QUALITY: f64 = 1_000.0;
/// Prompt and completion tokens of the request by which prices are compared.
const TYPICAL_TOKENS: u64 = 1_000;
/// One request in this many explores a cheaper version.
const EXPLORE_INTERVAL: u64 = 16;
/// Number of standard errors by which an estimate may fall short of the required quality for the
/// version still to be explored.
const PROMISING_STANDARD_ERRORS: f64 = 2.0;
/// Number of ratings for a kind of request at which a version is no longer explored for it.
const MAX_EXPLORED_RATINGS: f64 = 60.0;
/// Number of consecutive ratings of which some must differ for the oldest of them to be used.
const COMPARED_RATINGS: usize = 32;
/// Ratings that differ by less than this are taken to be constant.
const MIN_SPREAD: f64 = 0.000_1;
/// Bound on the number of ratings counted: beyond it, past ones are scaled down, so that new ones
/// keep an influence.
const MAX_RATINGS: f64 = 2_000.0;
/// Weight of the newest rating in the moving mean used for drift detection.
const RECENT_WEIGHT: f64 = 1.0 / 30.0;
/// Number of ratings that the moving mean covers.
const RECENT_WINDOW: f64 = 30.0;
/// Deviation of the moving mean, in standard deviations, that counts as drift.
const DRIFT_DEVIATIONS: f64 = 5.0;

/// Statistics of a version's ratings for one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingStats {
    /// Number of ratings, fractional once old ones have been scaled down.
    pub count: f64,
    /// Sum of ratings, each from zero to one.
    pub sum: f64,
    /// Sum of the squares of ratings.
    pub squares: f64,
    /// Moving mean of the newest ratings, for drift detection.
    pub recent: f64,
}

impl RatingStats {
    /// Adds a rating from zero to one.
    pub fn add(&mut self, rating: f64) {
        let rating = rating.clamp(0.0, 1.0);
        if self.count >= MAX_RATINGS {
            let scale = (MAX_RATINGS - 1.0) / self.count;
            self.count *= scale;
            self.sum *= scale;
            self.squares *= scale;
        }
        self.count += 1.0;
        self.sum += rating;
        self.squares += rating * rating;
        if self.count <= RECENT_WINDOW {
            self.recent = self.sum / self.count;
            return;
        }
        self.recent += (rating - self.recent) * RECENT_WEIGHT;
        self.forget_before_drift();
    }

    /// Replaces the history by the recent ratings if they have drifted away from its mean.
    fn forget_before_drift(&mut self) {
        let mean = self.sum / self.count;
        let variance = (self.squares / self.count - mean * mean).max(0.0);
        let deviation = (variance * RECENT_WEIGHT / (2.0 - RECENT_WEIGHT)).sqrt();
        let has_drifted =
            (self.recent - mean).abs() > DRIFT_DEVIATIONS * deviation.max(f64::EPSILON);
        if self.count > 2.0 * RECENT_WINDOW && has_drifted {
            self.count = RECENT_WINDOW;
            self.sum = self.recent * RECENT_WINDOW;
            self.squares = (variance + self.recent * self.recent) * RECENT_WINDOW;
        }
    }

    /// Adds the ratings collected by another process.
    pub fn merge(&mut self, other: &Self) {
        let count = self.count + other.count;
        if count > 0.0 {
            self.recent = (self.recent * self.count + other.recent * other.count) / count;
        }
        self.count = count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Returns the estimated quality; `prior` is the declared quality in thousandths.
    pub fn estimate(&self, prior: u32) -> Estimate {
        let prior = f64::from(prior) / FULL_QUALITY;
        let count = self.count + PRIOR_WEIGHT;
        let mean = (self.sum + prior * PRIOR_WEIGHT) / count;
        let squares = self.squares + prior * prior * PRIOR_WEIGHT;
        let variance = (squares / count - mean * mean).max(mean * (1.0 - mean) / count);
        Estimate {
            mean,
            error: (variance / count).sqrt(),
        }
    }
}

/// Estimate of a version's quality, from zero to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected quality.
    pub mean: f64,
    /// Standard error of the mean.
    pub error: f64,
}

/// Ratings by version and kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingTable {
    ratings: BTreeMap<VersionId, BTreeMap<Kind, RatingStats>>,
}

impl RatingTable {
    /// Adds a rating from zero to one.
    pub fn add(&mut self, version: &VersionId, kind: &Kind, rating: f64) {
        let kinds = self.ratings.entry(version.clone()).or_default();
        kinds.entry(kind.clone()).or_default().add(rating);
    }

    /// Returns the ratings of `version` for `kind`.
    pub fn ratings(&self, version: &VersionId, kind: &Kind) -> RatingStats {
        let kinds = self.ratings.get(version);
        kinds
            .and_then(|kinds| kinds.get(kind))
            .copied()
            .unwrap_or_default()
    }

    /// Adds the ratings collected by another process.
    pub fn merge(&mut self, other: &Self) {
        for (version, kinds) in &other.ratings {
            for (kind, ratings) in kinds {
                let merged = self.ratings.entry(version.clone()).or_default();
                merged.entry(kind.clone()).or_default().merge(ratings);
            }
        }
    }
}

/// Version that may serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the version.
    pub id: &'a VersionId,
    /// Properties of the version in the catalogue.
    pub version: &'a Version,
}

/// Filter that discards ratings while all of them are equal.
///
/// A rating service that rates every response the same is broken; its ratings must not override
/// the earlier ones. Each rating is therefore held back until enough later ones have arrived.
#[derive(Clone, Debug, Default)]
pub struct RatingGuard {
    /// Ratings that have not been used yet, oldest first.
    pending: VecDeque<(VersionId, Kind, f64)>,
    is_constant: bool,
}

impl RatingGuard {
    /// Adds a rating; returns the oldest one held back, if it may be used now.
    ///
    /// While all ratings held back are equal, the oldest is discarded instead.
    pub fn add(
        &mut self,
        version: &VersionId,
        kind: &Kind,
        rating: f64,
    ) -> Option<(VersionId, Kind, f64)> {
        self.pending
            .push_back((version.clone(), kind.clone(), rating));
        if self.pending.len() < COMPARED_RATINGS {
            return None;
        }
        let highest = self
            .pending
            .iter()
            .map(|pending| pending.2)
            .fold(f64::MIN, f64::max);
        let lowest = self
            .pending
            .iter()
            .map(|pending| pending.2)
            .fold(f64::MAX, f64::min);
        self.is_constant = highest - lowest < MIN_SPREAD;
        let oldest = self.pending.pop_front();
        oldest.filter(|_| !self.is_constant)
    }

    /// Returns whether the ratings last compared were all equal.
    pub const fn is_constant(&self) -> bool {
        self.is_constant
    }
}

/// Returns the names of `candidates` in the order in which to try them.
///
/// Versions whose estimated quality reaches `required_quality` thousandths with confidence come
/// first, in order of price. The others follow, the best quality first, since they serve the caller
/// better than no version at all. For one `draw` in `EXPLORE_INTERVAL`, a cheaper version with few
/// ratings goes first, to learn its quality.
pub fn rank<'a>(
    candidates: &[Candidate<'a>],
    ratings: &RatingTable,
    kind: &Kind,
    required_quality: u32,
    draw: u64,
) -> Vec<&'a VersionId> {
    let required_quality = f64::from(required_quality) / FULL_QUALITY;
    let mut scored: Vec<ScoredCandidate<'a>> = candidates
        .iter()
        .map(|candidate| ScoredCandidate::new(candidate, ratings, kind, required_quality))
        .collect();
    scored.sort_by(ScoredCandidate::compare);
    if draw.is_multiple_of(EXPLORE_INTERVAL) {
        explore(&mut scored);
    }
    scored.into_iter().map(|s| s.id).collect()
}

/// Moves the cheapest promising version to the front, if it is cheaper than the first.
fn explore(scored: &mut [ScoredCandidate<'_>]) {
    let Some(first) = scored.first().copied() else {
        return;
    };
    let is_worth_exploring = |s: &ScoredCandidate<'_>| s.is_promising && s.cost < first.cost;
    let indices = (1..scored.len()).filter(|index| is_worth_exploring(&scored[*index]));
    if let Some(index) = indices.min_by_key(|index| scored[*index].cost) {
        scored[..=index].rotate_right(1);
    }
}

/// Candidate with the properties by which it is ranked.
#[derive(Clone, Copy, Debug)]
struct ScoredCandidate<'a> {
    id: &'a VersionId,
    /// Price of a request with the typical number of tokens.
    cost: u64,
    /// Estimated quality.
    mean: f64,
    /// Whether the quality reaches the required one with confidence.
    is_sufficient: bool,
    /// Whether more ratings may show that the quality suffices.
    is_promising: bool,
}

impl<'a> ScoredCandidate<'a> {
    fn new(
        candidate: &Candidate<'a>,
        table: &RatingTable,
        kind: &Kind,
        required_quality: f64,
    ) -> Self {
        let ratings = table.ratings(candidate.id, kind);
        let estimate = ratings.estimate(candidate.version.prior);
        Self {
            id: candidate.id,
            cost: candidate.version.cost(TYPICAL_TOKENS, TYPICAL_TOKENS),
            mean: estimate.mean,
            is_sufficient: estimate.mean - SUFFICIENT_STANDARD_ERRORS * estimate.error
                >= required_quality,
            is_promising: ratings.count < MAX_EXPLORED_RATINGS
                && estimate.mean + PROMISING_STANDARD_ERRORS * estimate.error >= required_quality,
        }
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_sufficiency = other.is_sufficient.cmp(&self.is_sufficient);
        let by_cost = self.cost.cmp(&other.cost);
        let by_mean = other.mean.total_cmp(&self.mean);
        if self.is_sufficient && other.is_sufficient {
            return by_cost.then(by_mean);
        }
        by_sufficiency.then(by_mean).then(by_cost)
    }
}
