//! Choice of a version: cost and quality compared with an oracle, the best version, and round
//! robin.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Grant;
use papayatray_core::catalogue::Rule;
use papayatray_core::choice::RatingGuard;
use papayatray_core::choice::RatingTable;
use papayatray_core::id::Kind;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::VersionId;
use papayatray_core::router::ExposureQuotas;
use papayatray_core::router::RequestedVersion;
use papayatray_core::router::RoutingInputs;
use papayatray_core::router::route;
use rand::Rng;
use rand::rngs::StdRng;

use super::SEEDS;
use super::seeded_rng;
use super::uniform;
use crate::report::Report;

/// Price of a request, prior quality in thousandths and true quality of each version, by ascending
/// price; some priors are wrong.
const VERSIONS: [(u32, u32, f64); 6] = [
    (10, 500, 0.55),
    (25, 600, 0.80),
    (40, 850, 0.66),
    (60, 800, 0.86),
    (120, 900, 0.91),
    (300, 950, 0.96),
];
/// Quality required by each organisation, in thousandths.
const REQUIRED_QUALITY: [u32; 10] = [500, 600, 650, 700, 750, 800, 820, 850, 880, 700];
/// Number of requests in a simulation.
const REQUESTS: usize = 60_000;
/// Share of responses that are rated.
const RATED_SHARE: f64 = 0.05;
/// Number of requests between a response and the arrival of its rating.
const RATING_DELAY: usize = 300;
/// Largest deviation of a rating from the true quality.
const RATING_SPREAD: f64 = 0.15;

/// Behaviour of the rating service; it may change in the middle of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RatingService {
    Working,
    DownFromMiddle,
    ConstantFromMiddle,
}

/// Measures of a simulation: mean price of a request, and quality below the requirement (0 to 1).
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    cost: f64,
    shortfall: f64,
}

pub(super) fn run(report: &mut Report) {
    let catalogue = catalogue();
    let oracle = mean(|seed| {
        simulate(
            &catalogue,
            seed,
            RatingService::Working,
            |_, organisation_index, _, _| oracle(organisation_index),
        )
    });
    let best = mean(|seed| {
        simulate(&catalogue, seed, RatingService::Working, |_, _, _, _| {
            VERSIONS.len() - 1
        })
    });
    let round_robin = mean(|seed| {
        simulate(
            &catalogue,
            seed,
            RatingService::Working,
            |number, _, _, _| number % VERSIONS.len(),
        )
    });
    let simulate_router = |service| {
        mean(|seed| {
            simulate(
                &catalogue,
                seed,
                service,
                |_, organisation_index, evidence, rng| {
                    decide(&catalogue, organisation_index, evidence, rng)
                },
            )
        })
    };
    let working = simulate_router(RatingService::Working);
    report.add("choice", "cost_over_oracle", working.cost / oracle.cost);
    report.add("choice", "cost_over_best", working.cost / best.cost);
    report.add("choice", "quality_shortfall", working.shortfall);
    report.add(
        "choice",
        "round_robin_cost_over_oracle",
        round_robin.cost / oracle.cost,
    );
    report.add(
        "choice",
        "round_robin_quality_shortfall",
        round_robin.shortfall,
    );
    for (service, name) in [
        (RatingService::DownFromMiddle, "down"),
        (RatingService::ConstantFromMiddle, "flat"),
    ] {
        let outcome = simulate_router(service);
        report.add(
            "choice",
            &format!("cost_over_oracle_ratings_{name}"),
            outcome.cost / oracle.cost,
        );
        report.add(
            "choice",
            &format!("quality_shortfall_ratings_{name}"),
            outcome.shortfall,
        );
    }
}

fn version(number: usize) -> VersionId {
    format!("model@{number}").parse().expect("a name")
}

fn organisation(number: usize) -> OrganisationId {
    format!("organisation-{number}").parse().expect("a name")
}

fn catalogue() -> Catalogue {
    let mut edits = Vec::new();
    for (number, (price, prior, _)) in VERSIONS.into_iter().enumerate() {
        let version = version(number);
        edits.push(Edit::DeclareVersion {
            version: version.clone(),
            price_in: price,
            price_out: price,
            prior,
        });
        edits.push(Edit::Offer { version });
    }
    for (number, required) in REQUIRED_QUALITY.into_iter().enumerate() {
        let organisation = organisation(number);
        edits.push(Edit::CreateOrganisation {
            organisation: organisation.clone(),
            class: Class::Paying,
        });
        let grants: BTreeSet<Grant> = [Grant::Model("model".parse().expect("a name"))].into();
        edits.push(Edit::SetGrants {
            organisation: organisation.clone(),
            grants,
        });
        let reason = "bench".to_owned();
        edits.push(Edit::AddException {
            organisation,
            rule: Rule::Quality(required),
            reason,
        });
    }
    Catalogue::default()
        .with_edits(&edits)
        .expect("a valid catalogue")
}

/// Returns the index of the cheapest version whose true quality meets an organisation's
/// requirement.
fn oracle(organisation_index: usize) -> usize {
    let required = f64::from(REQUIRED_QUALITY[organisation_index]) / 1_000.0;
    let index = VERSIONS
        .iter()
        .position(|(_, _, quality)| *quality >= required);
    index.unwrap_or(VERSIONS.len() - 1)
}

/// Returns the index of the version that the router chooses for an organisation.
fn decide(
    catalogue: &Catalogue,
    organisation_index: usize,
    evidence: &RatingTable,
    rng: &mut StdRng,
) -> usize {
    let quotas = ExposureQuotas::default();
    let draw = rng.random();
    let inputs = RoutingInputs {
        catalogue,
        evidence,
        quotas: &quotas,
        draw,
    };
    let kind = Kind::new("general").expect("a name");
    let route = route(
        &inputs,
        &organisation(organisation_index),
        &RequestedVersion::Any,
        &kind,
        |_| true,
    );
    let first = route.expect("a route").versions.remove(0);
    first.version().parse().expect("a number")
}

/// Returns the mean cost and the largest shortfall over all seeds.
fn mean<F>(run: F) -> Outcome
where
    F: Fn(u64) -> Outcome,
{
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = run(seed);
        sum.cost += outcome.cost / SEEDS as f64;
        sum.shortfall = sum.shortfall.max(outcome.shortfall);
    }
    sum
}

/// Simulates requests; the shortfall returned is that of the worst served organisation.
///
/// `choose` gets the number of a request, the index of its organisation, the ratings so far and a
/// random number generator; it returns the index of the version to use.
fn simulate<F>(catalogue: &Catalogue, seed: u64, service: RatingService, choose: F) -> Outcome
where
    F: Fn(usize, usize, &RatingTable, &mut StdRng) -> usize,
{
    let _ = catalogue;
    let mut rng = seeded_rng(seed);
    let mut evidence = RatingTable::default();
    let mut guard = RatingGuard::default();
    // Request number at which a rating arrives, index of the rated version, and rating.
    let mut pending: VecDeque<(usize, usize, f64)> = VecDeque::new();
    // Sum of the true quality and number of responses, by organisation.
    let mut quality = [(0.0, 0.0); REQUIRED_QUALITY.len()];
    let mut cost = 0.0;
    let kind = Kind::new("general").expect("a name");
    for number in 0..REQUESTS {
        while pending.front().is_some_and(|(due, _, _)| *due <= number) {
            let Some((_, chosen, rating)) = pending.pop_front() else {
                break;
            };
            // The guard holds each rating back until later ones have arrived.
            if let Some((version, kind, rating)) = guard.add(&version(chosen), &kind, rating) {
                evidence.add(&version, &kind, rating);
            }
        }
        let organisation_index = number % REQUIRED_QUALITY.len();
        let chosen = choose(number, organisation_index, &evidence, &mut rng);
        let (price, _, true_quality) = VERSIONS[chosen];
        cost += f64::from(price);
        quality[organisation_index].0 += true_quality;
        quality[organisation_index].1 += 1.0;
        let is_second_half = number > REQUESTS / 2;
        if uniform(&mut rng) < RATED_SHARE {
            let noise = (uniform(&mut rng) - 0.5) * 2.0 * RATING_SPREAD;
            let rating = match service {
                RatingService::ConstantFromMiddle if is_second_half => 1.0,
                RatingService::DownFromMiddle if is_second_half => continue,
                _ => (true_quality + noise).clamp(0.0, 1.0),
            };
            pending.push_back((number + RATING_DELAY, chosen, rating));
        }
    }
    let shortfall_of = |(organisation_index, (sum, count)): (usize, &(f64, f64))| {
        f64::from(REQUIRED_QUALITY[organisation_index]) / 1_000.0 - sum / count
    };
    let worst_shortfall = quality
        .iter()
        .enumerate()
        .map(shortfall_of)
        .fold(f64::MIN, f64::max);
    Outcome {
        cost: cost / REQUESTS as f64,
        shortfall: worst_shortfall.max(0.0),
    }
}
