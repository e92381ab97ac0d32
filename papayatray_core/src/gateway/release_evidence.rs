//! Evidence on a release in roll-out: its responses and their pace, compared with those of the
//! other releases over the same time.
//!
//! Load: a canary that gets a few requests a second from hundreds of entries, of a release that
//! fails, or that answers everything several times slower.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::slowdown::RatioCounts;
use super::slowdown::SlowdownDetector;
use crate::id::Incarnation;
use crate::id::VmId;
use crate::regression::FailureBaseline;
use crate::regression::RegressionDetector;
use crate::regression::Tally;

/// Results of one release.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResults {
    /// Whole responses and first events of streams: those in time, and those that failed or were
    /// slow.
    pub responses: Tally,
    /// Paces of streams: those as usual, and slow ones.
    pub paces: Tally,
    /// The same paces by their ratio to the usual one; none from a build that does not count them.
    #[serde(default)]
    pub ratios: RatioCounts,
    /// The same responses by route, at most [`MAX_ROUTES`] of them; none from a build that does not
    /// count them, or while no roll-out of the service is running.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, Tally>,
}

/// Results of one release, by the entry that counted them and its incarnation.
pub type EntryResults = BTreeMap<(VmId, Incarnation), ReleaseResults>;

/// Routes whose responses are counted apart; those of any further ones are counted together.
const MAX_ROUTES: usize = 32;
/// Name under which the responses of further routes are counted.
const OTHER_ROUTES: &str = "";

/// What decided that a release has regressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regression {
    /// Responses failed, or arrived late.
    Responses,
    /// Responses on one route failed, or arrived late.
    Route,
    /// Events of streams came slowly.
    Pace,
}

impl Regression {
    /// Returns the name for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Responses => "responses",
            Self::Route => "route",
            Self::Pace => "pace",
        }
    }
}

/// Excess of the share of slow paces over that of the other releases that counts as a regression.
const PACE_MARGIN: f64 = 0.3;
/// Excess of the failure rate on a route over that of the other releases that counts as a regression.
const ROUTE_MARGIN: f64 = 0.3;
/// Number of responses to which the baseline of a route is scaled down, so that it follows the load.
const MAX_BASELINE_COUNT: f64 = 100.0;
/// Responses from which a regression of a service without streams is told with near certainty.
const AMPLE_RESPONSES: u64 = 60;
/// Share of the other releases' responses from which a route is a main one.
const MAIN_ROUTE_SHARE: f64 = 0.2;
/// Responses of the target on each main route without which the roll-out is not completed.
const MIN_ROUTE_RESPONSES: u64 = 3;
/// Share of slow paces of a release that is slower as a whole. One some of whose endpoints are slow for
/// reasons of their own has a smaller one.
const SLOW_RELEASE_SHARE: f64 = 0.95;
/// Log-likelihood ratio (natural logarithm) of this share against that of the other releases from which a
/// release is not completed.
const SLOW_RELEASE_THRESHOLD: f64 = 3.0;
/// Paces from which a regression to several times the usual pace is told with near certainty.
const AMPLE_PACES: u64 = 12;

/// Test of one kind of results against those of the other releases.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    detector: RegressionDetector,
    baseline: FailureBaseline,
}

/// Responses on one route: failure rate of the other releases, and the test of the target against it.
#[derive(Clone, Copy, Debug)]
struct RouteEvidence {
    detector: RegressionDetector,
    /// Latest good and bad responses of the other releases.
    baseline: [f64; 2],
}

impl Default for RouteEvidence {
    fn default() -> Self {
        Self {
            detector: RegressionDetector::new(ROUTE_MARGIN),
            baseline: [0.0; 2],
        }
    }
}

impl RouteEvidence {
    /// Adds responses of the other releases.
    fn add_others(&mut self, others: &Tally) {
        self.baseline[0] += others.good as f64;
        self.baseline[1] += others.bad as f64;
        let total: f64 = self.baseline.iter().sum();
        if total > MAX_BASELINE_COUNT {
            for count in &mut self.baseline {
                *count *= MAX_BASELINE_COUNT / total;
            }
        }
    }

    /// Adds responses of the target; returns whether it has regressed on this route.
    fn add_target(&mut self, target: &Tally) -> bool {
        let [good, bad] = self.baseline;
        self.detector.add_at_rate(target, bad_share(good, bad))
    }
}

/// Estimates the share of bad results by the rule of succession: without any result, one half.
fn bad_share(good: f64, bad: f64) -> f64 {
    (bad + 1.0) / (good + bad + 2.0)
}

/// Evidence on one roll-out.
#[derive(Clone, Debug)]
pub struct ReleaseEvidence {
    target: String,
    responses: Comparison,
    /// Responses by route, from entries that count them.
    routes: BTreeMap<String, RouteEvidence>,
    /// Paces from entries that do not count ratios.
    paces: Comparison,
    slowdown: SlowdownDetector,
    /// Last results from each entry, by release.
    last_results: BTreeMap<String, EntryResults>,
    /// Whether the pace of a stream of any release is known.
    has_streams: bool,
    /// Results of the target since the evidence began.
    total: ReleaseResults,
    /// Results of the other releases since the evidence began.
    others: ReleaseResults,
}

impl ReleaseEvidence {
    /// Starts without evidence on the release `target`.
    pub fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            responses: Comparison::default(),
            routes: BTreeMap::new(),
            paces: Comparison {
                detector: RegressionDetector::new(PACE_MARGIN),
                ..Comparison::default()
            },
            slowdown: SlowdownDetector::default(),
            last_results: BTreeMap::new(),
            has_streams: false,
            total: ReleaseResults::default(),
            others: ReleaseResults::default(),
        }
    }

    /// Returns the release that the evidence is on.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the results of the target.
    pub const fn total(&self) -> &ReleaseResults {
        &self.total
    }

    /// Returns the results of the other releases.
    pub const fn others(&self) -> &ReleaseResults {
        &self.others
    }

    /// Returns whether much is known of the target: paces, or responses of a service without streams.
    pub const fn is_ample(&self) -> bool {
        if self.has_streams {
            self.total.paces.total() >= AMPLE_PACES
        } else {
            self.total.responses.total() >= AMPLE_RESPONSES
        }
    }

    /// Returns whether the target has answered on each main route.
    ///
    /// Entries that count no routes are left out.
    pub fn covers_routes(&self) -> bool {
        let all: u64 = self.others.routes.values().map(Tally::total).sum();
        self.others.routes.iter().all(|(route, others)| {
            let is_main = others.total() as f64 >= all as f64 * MAIN_ROUTE_SHARE;
            let known = self.total.routes.get(route).map_or(0, Tally::total);
            !is_main || known >= MIN_ROUTE_RESPONSES
        })
    }

    /// Returns whether the evidence that the target has regressed is too strong to complete the
    /// roll-out, though not strong enough to end it.
    pub fn is_suspicious(&self) -> bool {
        let mut routes = self.routes.values();
        self.responses.detector.is_suspicious()
            || routes.any(|route| route.detector.is_suspicious())
            || self.paces.detector.is_suspicious()
            || self.slowdown.is_suspicious()
            || self.is_mostly_slow()
    }

    /// Returns whether nearly all streams of the target are slow, unlike those of the other releases.
    ///
    /// The ratios of the others may vary so much that [`SlowdownDetector`] needs more streams to tell.
    fn is_mostly_slow(&self) -> bool {
        let Tally { good, bad } = self.others.paces;
        let rate = bad_share(good as f64, bad as f64);
        rate < SLOW_RELEASE_SHARE
            && self
                .total
                .paces
                .log_likelihood_ratio(rate, SLOW_RELEASE_SHARE)
                >= SLOW_RELEASE_THRESHOLD
    }

    /// Adds the results counted since the last call; returns what shows that the target has
    /// regressed, if anything does.
    pub fn record(&mut self, results: BTreeMap<String, EntryResults>) -> Option<Regression> {
        let mut target = ReleaseResults::default();
        let mut others = ReleaseResults::default();
        // Paces of entries that do not count ratios, of the target and of the others.
        let mut without_ratios = [Tally::default(); 2];
        for (release, entries) in &results {
            let before = self.last_results.get(release);
            let (sum, paces) = if *release == self.target {
                (&mut target, &mut without_ratios[0])
            } else {
                (&mut others, &mut without_ratios[1])
            };
            for (entry, counted) in entries {
                let added = match before.and_then(|results| results.get(entry)) {
                    Some(earlier) => counted.since(earlier),
                    None => counted.clone(),
                };
                if counted.ratios.is_empty() {
                    paces.add(&added.paces);
                }
                sum.add(&added);
            }
        }
        // The results are cumulative. Those of an entry that stops syncing for a while are retained,
        // or its old responses would be added again when it returns.
        for (release, entries) in results {
            let last = self.last_results.entry(release).or_default();
            last.extend(entries);
        }
        self.total.add(&target);
        self.others.add(&others);
        self.has_streams |= others.paces != Tally::default();
        let has_failed = self.responses.add(&target.responses, &others.responses);
        let has_failed_on_route = self.add_routes(&target.routes, &others.routes);
        let [target_paces, other_paces] = without_ratios;
        let is_slow = self.paces.add(&target_paces, &other_paces)
            | self.slowdown.add(&target.ratios, &others.ratios);
        match (has_failed, has_failed_on_route, is_slow) {
            (true, _, _) => Some(Regression::Responses),
            (false, true, _) => Some(Regression::Route),
            (false, false, true) => Some(Regression::Pace),
            (false, false, false) => None,
        }
    }

    /// Adds responses by route; returns whether the target has regressed on one of them.
    fn add_routes(
        &mut self,
        target: &BTreeMap<String, Tally>,
        others: &BTreeMap<String, Tally>,
    ) -> bool {
        for (route, tally) in others {
            let evidence = self.routes.entry(route.clone()).or_default();
            evidence.add_others(tally);
        }
        let mut has_failed = false;
        for (route, tally) in target {
            let evidence = self.routes.entry(route.clone()).or_default();
            has_failed |= evidence.add_target(tally);
        }
        has_failed
    }
}

impl ReleaseResults {
    /// Returns the results without those by route.
    #[must_use]
    pub const fn without_routes(&self) -> Self {
        Self {
            responses: self.responses,
            paces: self.paces,
            ratios: self.ratios,
            routes: BTreeMap::new(),
        }
    }

    /// Counts a whole response, or the first event of a stream, on a route.
    pub fn count_response(&mut self, route: &str, is_good: bool) {
        self.responses.count(is_good);
        let is_known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let name = if is_known { route } else { OTHER_ROUTES };
        self.routes
            .entry(name.to_owned())
            .or_default()
            .count(is_good);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            responses: self.responses.since(&earlier.responses),
            paces: self.paces.since(&earlier.paces),
            ratios: self.ratios.since(&earlier.ratios),
            routes: self.routes_since(earlier),
        }
    }

    fn add(&mut self, other: &Self) {
        self.responses.add(&other.responses);
        self.paces.add(&other.paces);
        self.ratios.add(&other.ratios);
        for (route, tally) in &other.routes {
            self.routes.entry(route.clone()).or_default().add(tally);
        }
    }

    fn routes_since(&self, earlier: &Self) -> BTreeMap<String, Tally> {
        let mut routes = self.routes.clone();
        for (route, tally) in &mut routes {
            *tally = tally.since(&earlier.routes.get(route).copied().unwrap_or_default());
        }
        routes
    }
}

impl Comparison {
    fn add(&mut self, target: &Tally, others: &Tally) -> bool {
        self.baseline.add(others);
        self.detector.add(target, &self.baseline)
    }
}
