//! Cost of the choice of a version and an endpoint, by the size of the fleet.

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
use papayatray_core::router::RequestedVersion;
use papayatray_core::router::RoutingInputs;
use papayatray_core::router::route;
use rand::Rng;
use rand::rngs::StdRng;

use super::seeded_rng;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;

/// Number of versions offered.
const VERSIONS: usize = 22;
/// Numbers of endpoints for which decisions are timed.
const ENDPOINT_COUNTS: [usize; 4] = [20, 200, 2_000, 10_000];
/// Number of decisions timed.
const DECISION_COUNT: usize = 20_000;

pub(super) fn run(report: &mut Report) {
    for organisation_count in [10, 10_000] {
        let catalogue = catalogue(organisation_count);
        let mut points = Vec::new();
        for endpoint_count in ENDPOINT_COUNTS {
            let (p50, p99) = time_decisions(&catalogue, organisation_count, endpoint_count);
            let suffix = if organisation_count == 10 {
                ""
            } else {
                "_10000_organisations"
            };
            report.add(
                "decision",
                &format!("p50_us_at_{endpoint_count}{suffix}"),
                p50,
            );
            report.add(
                "decision",
                &format!("p99_us_at_{endpoint_count}{suffix}"),
                p99,
            );
            points.push((endpoint_count as f64, p50));
        }
        if organisation_count == 10 {
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

fn catalogue(organisation_count: usize) -> Catalogue {
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
    for number in 0..organisation_count {
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
        .expect("a valid catalogue")
}

fn pools(endpoint_count: usize) -> Vec<Pool> {
    let mut pools = vec![Pool::default(); VERSIONS];
    for number in 0..endpoint_count {
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
            warm_up_left: Millis::ZERO,
        };
        // Each endpoint serves two versions, as an engine with memory for two models does.
        pools[number % VERSIONS].put(&endpoint, Millis::new(1_000));
        pools[(number + 7) % VERSIONS].put(&endpoint, Millis::new(1_000));
    }
    pools
}

/// Times decisions; returns their median and 99th percentile in microseconds.
fn time_decisions(
    catalogue: &Catalogue,
    organisation_count: usize,
    endpoint_count: usize,
) -> (f64, f64) {
    let mut rng = seeded_rng(7);
    let mut pools = pools(endpoint_count);
    let mut evidence = RatingTable::default();
    let kind = Kind::new("general").expect("a name");
    for number in 0..2_000 {
        evidence.add(&version(number % VERSIONS), &kind, rng.random());
    }
    let mut times = Vec::with_capacity(DECISION_COUNT);
    for _ in 0..DECISION_COUNT {
        let organisation_id = organisation(rng.random_range(0..organisation_count));
        let begin = Instant::now();
        decide(
            catalogue,
            &evidence,
            &organisation_id,
            &kind,
            &mut pools,
            &mut rng,
        );
        times.push(begin.elapsed().as_secs_f64() * 1_000_000.0);
    }
    (percentile(&mut times, 0.5), percentile(&mut times, 0.99))
}

/// Makes one decision: chooses a version, picks an endpoint and records a successful attempt.
fn decide(
    catalogue: &Catalogue,
    evidence: &RatingTable,
    organisation_id: &OrganisationId,
    kind: &Kind,
    pools: &mut [Pool],
    rng: &mut StdRng,
) {
    let quotas = ExposureQuotas::default();
    let inputs = RoutingInputs {
        catalogue,
        evidence,
        quotas: &quotas,
        draw: rng.random(),
    };
    let is_served =
        |version: &VersionId| version_index(version).is_some_and(|index| !pools[index].is_empty());
    let route = route(
        &inputs,
        organisation_id,
        &RequestedVersion::Any,
        kind,
        is_served,
    )
    .expect("a route");
    let near = DataCentre::new("centre-3").expect("a name");
    let criteria = EndpointCriteria {
        near: &near,
        avoid: &[],
        prefix: Some(rng.random()),
        draw: rng.random(),
    };
    let now = Millis::new(2_000);
    let index = version_index(&route.versions[0]).expect("a pool");
    let picked = pools[index]
        .pick(&criteria, now)
        .map(|member| member.id.clone());
    if let Some(id) = picked {
        pools[index].begin(&id);
        pools[index]
            .health
            .record_success(&id, Millis::new(100), now);
        pools[index].end(&id);
    }
}

fn version_index(version: &VersionId) -> Option<usize> {
    version.version().parse().ok()
}
