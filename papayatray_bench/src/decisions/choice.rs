//! Choice of a version: cost and quality against an oracle, the best always, and round robin.

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
use papayatray_core::router::Facts;
use papayatray_core::router::RequestedVersion;
use papayatray_core::router::route;
use rand::Rng;
use rand::rngs::StdRng;

use super::SEEDS;
use super::random;
use super::share;
use crate::report::Report;

/// Price, declared quality and true quality of each version; some are declared wrongly.
const VERSIONS: [(u32, u32, f64); 6] = [
    (10, 500, 0.55),
    (25, 600, 0.80),
    (40, 850, 0.66),
    (60, 800, 0.86),
    (120, 900, 0.91),
    (300, 950, 0.96),
];
/// Quality owed to each organisation, in thousandths.
const OWED: [u32; 10] = [500, 600, 650, 700, 750, 800, 820, 850, 880, 700];
/// Requests of a run.
const REQUESTS: usize = 60_000;
/// Share of answers that are rated.
const RATED: f64 = 0.05;
/// Requests after which a rating arrives.
const LATE: usize = 300;
/// Spread of a rating around the true quality.
const SPREAD: f64 = 0.15;

/// What the rating service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Sound,
    DownFromHalf,
    FlatFromHalf,
}

/// Measures of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    cost: f64,
    shortfall: f64,
}

pub(super) fn run(report: &mut Report) {
    let catalogue = catalogue();
    let oracle = mean(|seed| {
        play(&catalogue, seed, Service::Sound, |_, owed, _, _| {
            oracle(owed)
        })
    });
    let best = mean(|seed| {
        play(&catalogue, seed, Service::Sound, |_, _, _, _| {
            VERSIONS.len() - 1
        })
    });
    let robin = mean(|seed| {
        play(&catalogue, seed, Service::Sound, |number, _, _, _| {
            number % VERSIONS.len()
        })
    });
    let own = |service| {
        mean(|seed| {
            play(&catalogue, seed, service, |_, owed, e, r| {
                decide(&catalogue, owed, e, r)
            })
        })
    };
    let sound = own(Service::Sound);
    report.add("choice", "cost_over_oracle", sound.cost / oracle.cost);
    report.add("choice", "cost_over_best", sound.cost / best.cost);
    report.add("choice", "quality_shortfall", sound.shortfall);
    report.add(
        "choice",
        "round_robin_cost_over_oracle",
        robin.cost / oracle.cost,
    );
    report.add("choice", "round_robin_quality_shortfall", robin.shortfall);
    for (service, name) in [
        (Service::DownFromHalf, "down"),
        (Service::FlatFromHalf, "flat"),
    ] {
        let outcome = own(service);
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
    for (number, owed) in OWED.into_iter().enumerate() {
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
            rule: Rule::Quality(owed),
            reason,
        });
    }
    Catalogue::default()
        .with_edits(&edits)
        .expect("a sound catalogue")
}

/// Returns the cheapest version whose true quality is enough.
fn oracle(organisation: usize) -> usize {
    let owed = f64::from(OWED[organisation]) / 1_000.0;
    let fit = VERSIONS.iter().position(|(_, _, quality)| *quality >= owed);
    fit.unwrap_or(VERSIONS.len() - 1)
}

/// Returns the version that the system itself chooses.
fn decide(
    catalogue: &Catalogue,
    owed: usize,
    evidence: &RatingTable,
    random: &mut StdRng,
) -> usize {
    let quotas = ExposureQuotas::default();
    let draw = random.random();
    let facts = Facts {
        catalogue,
        evidence,
        quotas: &quotas,
        draw,
    };
    let kind = Kind::new("general").expect("a name");
    let route = route(
        &facts,
        &organisation(owed),
        &RequestedVersion::Any,
        &kind,
        |_| true,
    );
    let first = route.expect("a route").versions.remove(0);
    first.version().parse().expect("a number")
}

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

/// Plays a run; the worst organisation's shortfall from what it is owed is kept.
fn play<F>(catalogue: &Catalogue, seed: u64, service: Service, choose: F) -> Outcome
where
    F: Fn(usize, usize, &RatingTable, &mut StdRng) -> usize,
{
    let _ = catalogue;
    let mut random = random(seed);
    let mut evidence = RatingTable::default();
    let mut guard = RatingGuard::default();
    let mut late: VecDeque<(usize, usize, f64)> = VecDeque::new();
    let mut quality = [(0.0, 0.0); OWED.len()];
    let mut cost = 0.0;
    let kind = Kind::new("general").expect("a name");
    for number in 0..REQUESTS {
        while late.front().is_some_and(|(due, _, _)| *due <= number) {
            let Some((_, chosen, rating)) = late.pop_front() else {
                break;
            };
            if let Some((version, kind, rating)) = guard.add(&version(chosen), &kind, rating) {
                evidence.add(&version, &kind, rating);
            }
        }
        let owner = number % OWED.len();
        let chosen = choose(number, owner, &evidence, &mut random);
        let (price, _, truth) = VERSIONS[chosen];
        cost += f64::from(price);
        quality[owner].0 += truth;
        quality[owner].1 += 1.0;
        let is_second_half = number > REQUESTS / 2;
        if share(&mut random) < RATED {
            let noise = (share(&mut random) - 0.5) * 2.0 * SPREAD;
            let rating = match service {
                Service::FlatFromHalf if is_second_half => 1.0,
                Service::DownFromHalf if is_second_half => continue,
                _ => (truth + noise).clamp(0.0, 1.0),
            };
            late.push_back((number + LATE, chosen, rating));
        }
    }
    let short = |(owner, (sum, count)): (usize, &(f64, f64))| {
        f64::from(OWED[owner]) / 1_000.0 - sum / count
    };
    let worst = quality
        .iter()
        .enumerate()
        .map(short)
        .fold(f64::MIN, f64::max);
    Outcome {
        cost: cost / REQUESTS as f64,
        shortfall: worst.max(0.0),
    }
}
