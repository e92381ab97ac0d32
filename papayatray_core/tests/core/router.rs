//! Routing: a request uses the cheapest allowed version that meets the required quality.

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Rule;
use papayatray_core::choice::RatingTable;
use papayatray_core::id::Kind;
use papayatray_core::id::VersionId;
use papayatray_core::router::ExposureQuotas;
use papayatray_core::router::RequestedVersion;
use papayatray_core::router::Route;
use papayatray_core::router::RouteError;
use papayatray_core::router::RoutingInputs;
use papayatray_core::router::route;
use proptest::proptest;

use crate::fixture::catalogue;
use crate::fixture::create_organisation;
use crate::fixture::declare_version;
use crate::fixture::offer_version;
use crate::fixture::organisation;
use crate::fixture::set_grants;
use crate::fixture::version;

/// Routes a request of `mill` at an entry without exposure quotas, while all versions are served.
///
/// The draw of 1 does not explore cheaper versions.
fn decide(
    catalogue: &Catalogue,
    evidence: &RatingTable,
    requested: &RequestedVersion,
) -> Result<Route, RouteError> {
    let quotas = ExposureQuotas::default();
    let inputs = RoutingInputs {
        catalogue,
        evidence,
        quotas: &quotas,
        draw: 1,
    };
    let kind = Kind::new("general").unwrap();
    route(&inputs, &organisation("mill"), requested, &kind, |_| true)
}

fn catalogue_requiring(quality: u32) -> Catalogue {
    let rule = Rule::Quality(quality);
    let reason = "contract".to_owned();
    let edit = Edit::AddException {
        organisation: organisation("mill"),
        rule,
        reason,
    };
    catalogue().with_edits(&[edit]).unwrap()
}

#[test]
fn cheapest_version_that_meets_the_quality_goes_first() {
    let route = decide(
        &catalogue_requiring(400),
        &RatingTable::default(),
        &RequestedVersion::Any,
    )
    .unwrap();
    assert_eq!(route.versions[0], version("cheap@1"));
    let route = decide(
        &catalogue_requiring(800),
        &RatingTable::default(),
        &RequestedVersion::Any,
    )
    .unwrap();
    assert_eq!(route.versions[0], version("good@1"));
}

#[test]
fn ratings_override_the_declared_quality_in_both_directions() {
    let kind = Kind::new("general").unwrap();
    let mut evidence = RatingTable::default();
    for _ in 0..200 {
        evidence.add(&version("cheap@1"), &kind, 0.97);
    }
    let route = decide(&catalogue_requiring(800), &evidence, &RequestedVersion::Any).unwrap();
    assert_eq!(
        route.versions[0],
        version("cheap@1"),
        "better than declared"
    );
    for _ in 0..400 {
        evidence.add(&version("cheap@1"), &kind, 0.2);
    }
    let route = decide(&catalogue_requiring(400), &evidence, &RequestedVersion::Any).unwrap();
    assert_eq!(route.versions[0], version("good@1"), "worse than declared");
}

#[test]
fn few_ratings_do_not_suffice_for_a_cheap_version() {
    let kind = Kind::new("general").unwrap();
    let mut evidence = RatingTable::default();
    evidence.add(&version("cheap@1"), &kind, 1.0);
    let route = decide(&catalogue_requiring(800), &evidence, &RequestedVersion::Any).unwrap();
    assert_eq!(route.versions[0], version("good@1"));
}

#[test]
fn withdrawn_version_gets_neither_new_requests_nor_sessions() {
    let catalogue = catalogue()
        .with_edits(&[Edit::Withdraw {
            version: version("cheap@1"),
        }])
        .unwrap();
    let no_ratings = RatingTable::default();
    let route = decide(&catalogue, &no_ratings, &RequestedVersion::Any).unwrap();
    assert_eq!(route.versions, [version("good@1")]);
    for requested in [
        RequestedVersion::Version(version("cheap@1")),
        RequestedVersion::Session(version("cheap@1")),
    ] {
        let error = decide(&catalogue, &no_ratings, &requested).unwrap_err();
        assert_eq!(error, RouteError::Withdrawn(version("cheap@1")));
    }
}

#[test]
fn session_stays_on_its_version_although_another_is_cheaper() {
    let requested = RequestedVersion::Session(version("good@1"));
    let route = decide(
        &catalogue_requiring(100),
        &RatingTable::default(),
        &requested,
    )
    .unwrap();
    assert_eq!(route.versions, [version("good@1")]);
}

#[test]
fn halted_version_keeps_its_sessions_and_gets_no_new_ones() {
    let edit = Edit::Halt {
        version: version("cheap@1"),
        reason: "errors".to_owned(),
    };
    let halted = catalogue().with_edits(&[edit]).unwrap();
    let no_ratings = RatingTable::default();
    assert!(
        decide(
            &halted,
            &no_ratings,
            &RequestedVersion::Session(version("cheap@1"))
        )
        .is_ok()
    );
    assert!(
        decide(
            &halted,
            &no_ratings,
            &RequestedVersion::Version(version("cheap@1"))
        )
        .is_err()
    );
}

#[test]
fn version_in_roll_out_needs_an_exposure_quota() {
    let edits = [
        declare_version("next@1", 1, 990),
        Edit::StartRollOut {
            version: version("next@1"),
            steps: vec![5],
        },
        set_grants("mill", &["cheap@1", "good@1", "next@1"]),
    ];
    let catalogue = catalogue().with_edits(&edits).unwrap();
    let evidence = RatingTable::default();
    let route_without = decide(&catalogue, &evidence, &RequestedVersion::Any).unwrap();
    assert!(!route_without.versions.contains(&version("next@1")));
    let mut quotas = ExposureQuotas::default();
    quotas.add(&version("next@1"), 1);
    let inputs = RoutingInputs {
        catalogue: &catalogue,
        evidence: &evidence,
        quotas: &quotas,
        draw: 1,
    };
    let kind = Kind::new("general").unwrap();
    let route_with = route(
        &inputs,
        &organisation("mill"),
        &RequestedVersion::Any,
        &kind,
        |_| true,
    )
    .unwrap();
    assert!(route_with.uses_exposure);
    assert_eq!(route_with.versions[0], version("next@1"));
}

proptest! {
    #[test]
    fn route_contains_exactly_the_usable_versions(
        allowed in proptest::collection::btree_set(0..8_usize, 1..8),
        withdrawn in proptest::collection::btree_set(0..8_usize, 0..8),
        denied in proptest::option::of(0..8_usize),
        required_quality in 0..1_000_u32,
    ) {
        let names: Vec<String> = (0..8).map(|n| format!("model@{n}")).collect();
        let mut edits = vec![create_organisation("mill", Class::Paying)];
        for (number, name) in (0_u32..).zip(&names) {
            edits.push(declare_version(name, 10 * number + 1, 100 * number + 50));
            edits.push(offer_version(name));
        }
        let granted: Vec<&str> = allowed.iter().map(|n| names[*n].as_str()).collect();
        edits.push(set_grants("mill", &granted));
        for index in &withdrawn {
            edits.push(Edit::Withdraw { version: version(&names[*index]) });
        }
        let reason = "contract".to_owned();
        let rule = Rule::Quality(required_quality);
        edits.push(Edit::AddException { organisation: organisation("mill"), rule, reason: reason.clone() });
        if let Some(denied) = denied {
            let rule = Rule::Deny(version(&names[denied]));
            edits.push(Edit::AddException { organisation: organisation("mill"), rule, reason });
        }
        // The edits are refused if all granted versions are withdrawn.
        let Ok(catalogue) = Catalogue::default().with_edits(&edits) else {
            assert!(allowed.is_subset(&withdrawn));
            return Ok(());
        };
        let usable: std::collections::BTreeSet<VersionId> = allowed
            .iter()
            .filter(|n| !withdrawn.contains(n) && denied != Some(**n))
            .map(|n| version(&names[*n]))
            .collect();
        match decide(&catalogue, &RatingTable::default(), &RequestedVersion::Any) {
            Ok(route) => {
                let found: std::collections::BTreeSet<VersionId> = route.versions.into_iter().collect();
                assert_eq!(found, usable);
            }
            Err(_none) => assert!(usable.is_empty()),
        }
    }
}
