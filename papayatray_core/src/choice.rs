//! Choice of the version that answers a request.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Version;
use crate::id::Kind;
use crate::id::VersionId;

/// Ratings that the declared quality counts for.
const PRIOR_WEIGHT: f64 = 8.0;
/// Standard deviations that an estimate must lie above what is owed.
const CAUTION: f64 = 1.0;
/// Full quality in thousandths.
const FULL: f64 = 1_000.0;
/// Tokens of a prompt and of an answer that prices are compared by.
const USUAL_TOKENS: u64 = 1_000;
/// One request in so many tries a cheaper version that may be good enough.
const EXPLORE_ONE_IN: u64 = 16;
/// Standard errors by which an estimate may be too low for a version still to be tried.
const HOPE: f64 = 2.0;
/// Ratings of a version and kind beyond which it is not tried any more to learn of it.
const EXPLORED: f64 = 60.0;
/// Ratings that are held back until they are seen to differ.
const HELD_BACK: usize = 32;
/// Spread under which ratings tell nothing.
const FLAT: f64 = 0.000_1;
/// Most ratings that count, so that the newest keep their weight.
const RATINGS_KEPT: f64 = 2_000.0;
/// Weight of the newest rating in the moving mean that shows a drift.
const RECENT_WEIGHT: f64 = 1.0 / 30.0;
/// Ratings that the moving mean stands for.
const RECENT_COUNT: f64 = 30.0;
/// Standard deviations of the moving mean that make a drift.
const DRIFT: f64 = 5.0;

/// Ratings of a version for one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingStats {
    /// Count of ratings.
    pub count: f64,
    /// Sum of ratings, each from zero to one.
    pub sum: f64,
    /// Sum of the squares of ratings.
    pub squares: f64,
    /// Moving mean of the newest ratings.
    pub recent: f64,
}

impl RatingStats {
    /// Takes in one rating from zero to one.
    pub fn add(&mut self, rating: f64) {
        let rating = rating.clamp(0.0, 1.0);
        if self.count >= RATINGS_KEPT {
            let keep = (RATINGS_KEPT - 1.0) / self.count;
            self.count *= keep;
            self.sum *= keep;
            self.squares *= keep;
        }
        self.count += 1.0;
        self.sum += rating;
        self.squares += rating * rating;
        if self.count <= RECENT_COUNT {
            self.recent = self.sum / self.count;
            return;
        }
        self.recent += (rating - self.recent) * RECENT_WEIGHT;
        self.forget_before_drift();
    }

    /// Drops the history where the newest ratings show that it holds no more.
    fn forget_before_drift(&mut self) {
        let mean = self.sum / self.count;
        let variance = (self.squares / self.count - mean * mean).max(0.0);
        let spread = (variance * RECENT_WEIGHT / (2.0 - RECENT_WEIGHT)).sqrt();
        let has_drifted = (self.recent - mean).abs() > DRIFT * spread.max(f64::EPSILON);
        if self.count > 2.0 * RECENT_COUNT && has_drifted {
            self.count = RECENT_COUNT;
            self.sum = self.recent * RECENT_COUNT;
            self.squares = (variance + self.recent * self.recent) * RECENT_COUNT;
        }
    }

    /// Takes in the ratings of another holder.
    pub fn merge(&mut self, other: &Self) {
        let count = self.count + other.count;
        if count > 0.0 {
            self.recent = (self.recent * self.count + other.recent * other.count) / count;
        }
        self.count = count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Returns mean and standard error with a prior of `prior` thousandths.
    pub fn estimate(&self, prior: u32) -> Estimate {
        let prior = f64::from(prior) / FULL;
        let count = self.count + PRIOR_WEIGHT;
        let mean = (self.sum + prior * PRIOR_WEIGHT) / count;
        let spread = self.squares + prior * prior * PRIOR_WEIGHT;
        let variance = (spread / count - mean * mean).max(mean * (1.0 - mean) / count);
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
    /// Standard error of the expectation.
    pub error: f64,
}

/// Ratings by version and kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingTable {
    ratings: BTreeMap<VersionId, BTreeMap<Kind, RatingStats>>,
}

impl RatingTable {
    /// Takes in one rating from zero to one.
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

    /// Takes in the evidence of another holder.
    pub fn merge(&mut self, other: &Self) {
        for (version, kinds) in &other.ratings {
            for (kind, ratings) in kinds {
                let own = self.ratings.entry(version.clone()).or_default();
                own.entry(kind.clone()).or_default().merge(ratings);
            }
        }
    }
}

/// Version that may answer a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the version.
    pub id: &'a VersionId,
    /// What is known of the version.
    pub version: &'a Version,
}

/// Holds ratings back until they are seen to differ.
///
/// A rating service that gives every answer the same rating has broken, and must not wipe out what
/// was learnt before.
#[derive(Clone, Debug, Default)]
pub struct RatingGuard {
    held: VecDeque<(VersionId, Kind, f64)>,
    is_constant: bool,
}

impl RatingGuard {
    /// Takes in a rating; returns the one that may count now.
    pub fn add(
        &mut self,
        version: &VersionId,
        kind: &Kind,
        rating: f64,
    ) -> Option<(VersionId, Kind, f64)> {
        self.held.push_back((version.clone(), kind.clone(), rating));
        if self.held.len() < HELD_BACK {
            return None;
        }
        let most = self.held.iter().map(|held| held.2).fold(f64::MIN, f64::max);
        let least = self.held.iter().map(|held| held.2).fold(f64::MAX, f64::min);
        self.is_constant = most - least < FLAT;
        let oldest = self.held.pop_front();
        oldest.filter(|_| !self.is_constant)
    }

    /// Tells whether the rating service gives everything the same rating.
    pub const fn is_constant(&self) -> bool {
        self.is_constant
    }
}

/// Orders `candidates` from the one to try first.
///
/// First come those whose quality is surely enough for `owed` thousandths, the cheapest in front;
/// then the rest, the best in front, since a caller is better off with them than with none. Now
/// and then, as `draw` decides, a cheaper version of which little is known goes first instead.
pub fn rank<'a>(
    candidates: &[Candidate<'a>],
    evidence: &RatingTable,
    kind: &Kind,
    owed: u32,
    draw: u64,
) -> Vec<&'a VersionId> {
    let owed = f64::from(owed) / FULL;
    let mut scored: Vec<Scored<'a>> = candidates
        .iter()
        .map(|candidate| Scored::new(candidate, evidence, kind, owed))
        .collect();
    scored.sort_by(Scored::compare);
    if draw.is_multiple_of(EXPLORE_ONE_IN) {
        explore(&mut scored);
    }
    scored.into_iter().map(|s| s.id).collect()
}

/// Puts the cheapest promising version in front, where one is cheaper than the first.
fn explore(scored: &mut [Scored<'_>]) {
    let Some(first) = scored.first().copied() else {
        return;
    };
    let is_worth = |s: &Scored<'_>| s.promising && s.cost < first.cost;
    let places = (1..scored.len()).filter(|place| is_worth(&scored[*place]));
    if let Some(place) = places.min_by_key(|place| scored[*place].cost) {
        scored[..=place].rotate_right(1);
    }
}

/// Candidate with its scores.
#[derive(Clone, Copy, Debug)]
struct Scored<'a> {
    id: &'a VersionId,
    cost: u64,
    mean: f64,
    enough: bool,
    promising: bool,
}

impl<'a> Scored<'a> {
    fn new(candidate: &Candidate<'a>, evidence: &RatingTable, kind: &Kind, owed: f64) -> Self {
        let ratings = evidence.ratings(candidate.id, kind);
        let estimate = ratings.estimate(candidate.version.prior);
        Self {
            id: candidate.id,
            cost: candidate.version.cost(USUAL_TOKENS, USUAL_TOKENS),
            mean: estimate.mean,
            enough: estimate.mean - CAUTION * estimate.error >= owed,
            promising: ratings.count < EXPLORED && estimate.mean + HOPE * estimate.error >= owed,
        }
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_need = other.enough.cmp(&self.enough);
        let by_cost = self.cost.cmp(&other.cost);
        let by_mean = other.mean.total_cmp(&self.mean);
        if self.enough && other.enough {
            return by_cost.then(by_mean);
        }
        by_need.then(by_mean).then(by_cost)
    }
}
