//! Cost of a decision: version and endpoint, as the fleet grows.

use std::collections::BTreeSet;
use std::time::Instant;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Grant;
use papayatray_core::choice::RatingTable;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Load;
use papayatray_core::directory::Offer;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Kind;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::VersionId;
use papayatray_core::pool::EndpointCriteria;
use papayatray_core::pool::Pool;
use papayatray_core::router::ExposureQuotas;
use papayatray_core::router::Facts;
use papayatray_core::router::RequestedVersion;
use papayatray_core::router::route;
use rand::Rng;
use rand::rngs::StdRng;

use super::random;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Versions on offer.
const VERSIONS: usize = 22;
/// Numbers of endpoints.
const SIZES: [usize; 4] = [20, 200, 2_000, 10_000];
/// Decisions that are timed.
const DECISIONS: usize = 20_000;

pub(super) fn run(report: &mut Report) {
    for organisations in [10, 10_000] {
        let catalogue = catalogue(organisations);
        let mut points = Vec::new();
        for size in SIZES {
            let (p50, p99) = time(&catalogue, organisations, size);
            let suffix = if organisations == 10 {
                ""
            } else {
                "_10000_organisations"
            };
            report.add("decision", &format!("p50_us_at_{size}{suffix}"), p50);
            report.add("decision", &format!("p99_us_at_{size}{suffix}"), p99);
            points.push((size as f64, p50));
        }
        if organisations == 10 {
            report.add("decision", "growth", points[3].1 / points[0].1);
            let curve = Curve {
                name: "median".to_owned(),
                points,
            };
            report.plot(
                "decision",
                "Cost of a decision",
                ("endpoints", "us"),
                &[curve],
            );
        }
    }
}

fn version(number: usize) -> VersionId {
    format!("model@{number}").parse().expect("a name")
}

fn organisation(number: usize) -> OrganisationId {
    format!("organisation-{number}").parse().expect("a name")
}

fn catalogue(organisations: usize) -> Catalogue {
    let mut edits = Vec::new();
    for number in 0..VERSIONS {
        let price = 10 + u32::try_from(number).unwrap_or(0) * 10;
        edits.push(Edit::DeclareVersion {
            version: version(number),
            price_in: price,
            price_out: price,
            prior: 500 + price,
        });
        edits.push(Edit::Offer {
            version: version(number),
        });
    }
    let grants: BTreeSet<Grant> = [Grant::Model("model".parse().expect("a name"))].into();
    for number in 0..organisations {
        let organisation = organisation(number);
        edits.push(Edit::CreateOrganisation {
            organisation: organisation.clone(),
            class: Class::Paying,
        });
        edits.push(Edit::SetGrants {
            organisation,
            grants: grants.clone(),
        });
    }
    Catalogue::default()
        .with_edits(&edits)
        .expect("a sound catalogue")
}

fn pools(size: usize) -> Vec<Pool> {
    let mut pools = vec![Pool::default(); VERSIONS];
    for number in 0..size {
        let endpoint = Endpoint {
            id: EndpointId::new(format!("endpoint-{number}")).expect("a name"),
            incarnation: Incarnation(1),
            sequence: 1,
            address: "127.0.0.1:1".to_owned(),
            data_centre: DataCentre::new(format!("centre-{}", number % 11)).expect("a name"),
            offer: Offer::Versions(BTreeSet::new()),
            slots: 8,
            fences: true,
            leaving: false,
            load: Load::default(),
            release: String::new(),
            cold: Millis::ZERO,
        };
        // Each endpoint serves two versions, as engines with room for two do.
        pools[number % VERSIONS].put(&endpoint, Millis::new(1_000));
        pools[(number + 7) % VERSIONS].put(&endpoint, Millis::new(1_000));
    }
    pools
}

/// Times decisions; returns their median and 99th percentile in microseconds.
fn time(catalogue: &Catalogue, organisations: usize, size: usize) -> (f64, f64) {
    let mut random = random(7);
    let mut pools = pools(size);
    let mut evidence = RatingTable::default();
    let kind = Kind::new("general").expect("a name");
    for number in 0..2_000 {
        evidence.add(&version(number % VERSIONS), &kind, random.random());
    }
    let mut times = Vec::with_capacity(DECISIONS);
    for _ in 0..DECISIONS {
        let owner = organisation(random.random_range(0..organisations));
        let begin = Instant::now();
        decide(catalogue, &evidence, &owner, &kind, &mut pools, &mut random);
        times.push(begin.elapsed().as_secs_f64() * 1_000_000.0);
    }
    (percentile(&mut times, 0.5), percentile(&mut times, 0.99))
}

fn decide(
    catalogue: &Catalogue,
    evidence: &RatingTable,
    owner: &OrganisationId,
    kind: &Kind,
    pools: &mut [Pool],
    random: &mut StdRng,
) {
    let quotas = ExposureQuotas::default();
    let facts = Facts {
        catalogue,
        evidence,
        quotas: &quotas,
        draw: random.random(),
    };
    let served = |version: &VersionId| place(version).is_some_and(|at| !pools[at].is_empty());
    let route = route(&facts, owner, &RequestedVersion::Any, kind, served).expect("a route");
    let near = DataCentre::new("centre-3").expect("a name");
    let need = EndpointCriteria {
        near: &near,
        avoid: &[],
        prefix: Some(random.random()),
        draw: random.random(),
    };
    let now = Millis::new(2_000);
    let at = place(&route.versions[0]).expect("a pool");
    let picked = pools[at].pick(&need, now).map(|member| member.id.clone());
    if let Some(id) = picked {
        pools[at].begin(&id);
        pools[at].health.succeeded(&id, Millis::new(100), now);
        pools[at].end(&id);
    }
}

fn place(version: &VersionId) -> Option<usize> {
    version.version().parse().ok()
}
