//! Roll-out of a release of a plain service with few requests a second, by the real decisions: share of
//! bad releases that is completed, and of good ones that is rolled back, compared with judging the sum
//! over all routes.
//!
//! Three routes: one whose requests may run once, and two of look-ups, of which some fail at every
//! endpoint. Seven entries report to the leader.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::canary::CanaryAllowance;
use papayatray_core::gateway::canary::ExposureBound;
use papayatray_core::gateway::release_evidence::EntryResults;
use papayatray_core::gateway::release_evidence::ReleaseEvidence;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::request_failures::RequestFailures;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::Schedule;
use papayatray_core::gateway::rollout::is_completion_due;
use papayatray_core::gateway::rollout::is_roll_back_due;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use rand::Rng;
use rand::rngs::StdRng;

use super::exponential;
use super::seeded_rng;
use super::uniform;
use crate::report::Report;

/// Entries.
const ENTRIES: usize = 7;
/// Exposure bound of the two small deployments.
const BOUND: ExposureBound = ExposureBound {
    share: 0.15,
    slack: 30.0,
};
/// Time before the order in which entries learn what is usual.
const LEAD: Millis = Millis::from_secs(10);
/// Time from a response to its evaluation on the leader.
const REPORT_DELAY: Millis = Millis::new(350);
/// Interval of evaluations on the leader.
const CHECK_INTERVAL: Millis = Millis::new(100);
/// Endpoints of each release.
const ENDPOINTS: usize = 4;
/// Share of the requests that a grey endpoint fails.
const GREY_FAILURES: f64 = 0.4;
/// Simulated time between two steps.
const STEP_MS: usize = 10;
/// Simulations of each case.
const RUNS: u64 = 1_000;

/// Route of the service.
#[derive(Clone, Copy, Debug)]
struct RouteLoad {
    name: &'static str,
    /// Share of the requests.
    share: f64,
    is_repeatable: bool,
    /// Share of the requests that fail now and then, at any endpoint.
    noise: f64,
    /// Share of the requests that fail at every endpoint.
    always_failing: f64,
}

const ROUTES: [RouteLoad; 3] = [
    RouteLoad {
        name: "order",
        share: 0.66,
        is_repeatable: false,
        noise: 0.004,
        always_failing: 0.0,
    },
    RouteLoad {
        name: "look-up",
        share: 0.24,
        is_repeatable: true,
        noise: 0.004,
        always_failing: 0.14,
    },
    RouteLoad {
        name: "history",
        share: 0.10,
        is_repeatable: true,
        noise: 0.004,
        always_failing: 0.14,
    },
];

/// How a release is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// Fails this share of all requests.
    Errors(f64),
    /// Fails this share of the requests on the route with this index.
    OneRoute(usize, f64),
    /// Fails this share of all requests from this part of the time limit on.
    Late(f64, f64),
}

impl Defect {
    /// Returns the share of requests that the release fails.
    fn failures(self, route: usize, part: f64) -> f64 {
        match self {
            Self::Errors(share) => share,
            Self::OneRoute(bad, share) if bad == route => share,
            Self::Late(share, from) if part >= from => share,
            _ => 0.0,
        }
    }
}

/// How releases are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Each route against itself, failures that other endpoints confirm left out, and a canary that
    /// uses the slack, as built.
    Routes,
    /// Failed attempts of all routes together, and a canary by share alone.
    Sum,
}

/// One roll-out to simulate.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    defect: Defect,
    limit: Millis,
    /// Requests a second.
    rate: f64,
    /// Whether one endpoint of each release is grey.
    has_grey: bool,
    rule: Rule,
}

/// Outcome of a simulated roll-out.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    is_completed: bool,
    /// Requests that the target got, as a part of those that the bound allows.
    exposure: f64,
}

pub(crate) fn run(report: &mut Report) {
    let bad = [
        ("errors_0.3", Defect::Errors(0.3)),
        ("errors_0.5", Defect::Errors(0.5)),
        ("order_0.3", Defect::OneRoute(0, 0.3)),
        ("order_0.5", Defect::OneRoute(0, 0.5)),
        ("look-up_0.5", Defect::OneRoute(1, 0.5)),
        ("history_0.5", Defect::OneRoute(2, 0.5)),
        ("late_0.5", Defect::Late(0.5, 0.7)),
    ];
    for (rule, prefix) in [(Rule::Routes, ""), (Rule::Sum, "sum_")] {
        for rate in [8.0, 16.0, 64.0] {
            for limit in [7, 12, 24] {
                let scenario = Scenario {
                    defect: Defect::None,
                    limit: Millis::from_secs(limit),
                    rate,
                    has_grey: false,
                    rule,
                };
                let label = format!("{limit}s_at_{rate}");
                let mut add = |name: &str, share: f64| {
                    report.add("plain", &format!("{prefix}{name}_{label}"), share);
                };
                add("rolled_back_good", 1.0 - scenario.repeat().0);
                let beside_grey = Scenario {
                    has_grey: true,
                    ..scenario
                };
                add("rolled_back_grey", 1.0 - beside_grey.repeat().0);
                for (name, defect) in bad {
                    let (completed, exceeded) = Scenario { defect, ..scenario }.repeat();
                    add(&format!("completed_{name}"), completed);
                    add(&format!("over_bound_{name}"), exceeded);
                }
            }
        }
    }
}

impl Scenario {
    /// Returns the share of releases that are completed, and of those rolled back after more requests
    /// than the bound allows.
    fn repeat(&self) -> (f64, f64) {
        let outcomes: Vec<Outcome> = (0..RUNS).map(|seed| self.simulate(seed)).collect();
        let share = |count: usize| count as f64 / RUNS as f64;
        let completed = outcomes.iter().filter(|outcome| outcome.is_completed);
        let exceeded = outcomes
            .iter()
            .filter(|outcome| !outcome.is_completed && outcome.exposure > 1.0);
        (share(completed.count()), share(exceeded.count()))
    }

    fn simulate(&self, seed: u64) -> Outcome {
        let mut rng = seeded_rng(seed);
        let service: ServiceId = "app".parse().expect("a name");
        let schedule = Schedule::new(self.limit, BOUND.share);
        let rollout = Rollout {
            target: "v2".to_owned(),
            started_at: LEAD,
            limit: self.limit,
            state: RolloutState::Running,
        };
        let mut allowances = vec![CanaryAllowance::default(); ENTRIES];
        let mut counted = vec![[ReleaseResults::default(), ReleaseResults::default()]; ENTRIES];
        let mut evidence = ReleaseEvidence::new(&rollout.target);
        // Results by the time at which the leader gets them.
        let mut reports: BTreeMap<Millis, BTreeMap<String, EntryResults>> = BTreeMap::new();
        let bound = match self.rule {
            Rule::Routes => BOUND,
            Rule::Sum => ExposureBound {
                slack: 0.0,
                ..BOUND
            },
        };
        let (mut target_count, mut request_count) = (0_u32, 0_u32);
        let mut is_completed = None;
        let mut next_request = exponential(&mut rng, 1_000.0 / self.rate);
        let end = (LEAD + self.limit).as_u64();
        for now in (0..end).step_by(STEP_MS).map(Millis::new) {
            let elapsed = now.since(LEAD);
            while next_request <= now.as_u64() as f64 {
                next_request += exponential(&mut rng, 1_000.0 / self.rate);
                let entry = rng.random_range(0..ENTRIES);
                let phase = uniform(&mut rng);
                let is_running = now >= LEAD && is_completed.is_none();
                let is_target = is_running
                    && (uniform(&mut rng) < schedule.share(elapsed)
                        || allowances[entry].grant(&service, &rollout, bound, ENTRIES, now, phase));
                request_count += u32::from(now >= LEAD);
                target_count += u32::from(is_target);
                let part = elapsed.as_u64() as f64 / self.limit.as_u64() as f64;
                self.answer(&mut rng, is_target, part, &mut counted[entry]);
            }
            if now < LEAD || now.as_u64() % CHECK_INTERVAL.as_u64() != 0 {
                continue;
            }
            reports.insert(now + REPORT_DELAY, collect(&counted));
            while let Some(first) = reports.first_entry().filter(|first| *first.key() <= now) {
                if evidence.record(first.remove()).is_some() {
                    is_completed = is_completed.or(Some(false));
                }
            }
            let good = evidence.total().responses.good;
            let is_ample = evidence.is_ample() || self.rule == Rule::Sum;
            let is_due = is_completion_due(&rollout, BOUND.share, good, is_ample, now);
            if is_due && evidence.covers_routes() && !evidence.is_suspicious() {
                is_completed = is_completed.or(Some(true));
            } else if is_roll_back_due(&rollout, evidence.is_suspicious(), now) {
                is_completed = is_completed.or(Some(false));
            }
        }
        let allowed = BOUND.share * f64::from(request_count) + BOUND.slack;
        Outcome {
            is_completed: is_completed.unwrap_or(false),
            exposure: f64::from(target_count) / allowed,
        }
    }

    /// Counts the results of one request for the releases that answered it.
    fn answer(
        &self,
        rng: &mut StdRng,
        is_target: bool,
        part: f64,
        counted: &mut [ReleaseResults; 2],
    ) {
        let mut draw = uniform(rng);
        let index = ROUTES.iter().position(|route| {
            draw -= route.share;
            draw < 0.0
        });
        let index = index.unwrap_or(0);
        let route = ROUTES[index];
        let fails_everywhere = uniform(rng) < route.always_failing;
        let mut failures = RequestFailures::default();
        let mut uses_target = is_target;
        for _ in 0..if route.is_repeatable { 3 } else { 1 } {
            let endpoint = rng.random_range(0..ENDPOINTS);
            let grey = if self.has_grey && endpoint == 0 {
                GREY_FAILURES
            } else {
                0.0
            };
            let defect = if uses_target {
                self.defect.failures(index, part)
            } else {
                0.0
            };
            let is_failure = fails_everywhere
                || uniform(rng) < route.noise
                || uniform(rng) < grey
                || uniform(rng) < defect;
            let results = &mut counted[usize::from(uses_target)];
            if !is_failure && self.rule == Rule::Sum {
                results.responses.count(true);
                break;
            }
            if !is_failure {
                results.count_response(route.name, true);
                break;
            }
            if self.rule == Rule::Sum {
                counted[usize::from(uses_target)].responses.count(false);
                continue;
            }
            failures.record(uses_target, uses_target);
            uses_target &= !failures.has_failed_at_target();
        }
        for was_target in failures.take_counted() {
            counted[usize::from(was_target)].count_response(route.name, false);
        }
    }
}

/// Returns what the leader receives of all entries, by release.
fn collect(counted: &[[ReleaseResults; 2]]) -> BTreeMap<String, EntryResults> {
    let mut all: BTreeMap<String, EntryResults> = BTreeMap::new();
    for (number, releases) in counted.iter().enumerate() {
        let vm: VmId = format!("entry-{number}").parse().expect("a name");
        for (release, results) in ["v1", "v2"].into_iter().zip(releases) {
            let entries = all.entry(release.to_owned()).or_default();
            entries.insert((vm.clone(), Incarnation(1)), results.clone());
        }
    }
    all
}
