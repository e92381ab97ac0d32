//! Shared test fixtures: names, edits, a catalogue and endpoints.

use std::collections::BTreeSet;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Grant;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Load;
use papayatray_core::directory::Offer;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;

pub fn version(text: &str) -> VersionId {
    text.parse().unwrap()
}

pub fn organisation(text: &str) -> OrganisationId {
    text.parse().unwrap()
}

pub fn vm(number: usize) -> VmId {
    VmId::new(format!("vm-{number}")).unwrap()
}

pub fn data_centre(text: &str) -> DataCentre {
    text.parse().unwrap()
}

/// Returns the edit that declares a version.
///
/// `price` is that of 1,000 prompt or completion tokens, in millionths of the currency; `prior` is
/// the quality assumed without ratings, in thousandths.
pub fn declare_version(text: &str, price: u32, prior: u32) -> Edit {
    Edit::DeclareVersion {
        version: version(text),
        price_in: price,
        price_out: price,
        prior,
    }
}

/// Returns the edit that offers a version in full.
pub fn offer_version(text: &str) -> Edit {
    Edit::Offer {
        version: version(text),
    }
}

/// Returns the edit that creates an organisation.
pub fn create_organisation(text: &str, class: Class) -> Edit {
    Edit::CreateOrganisation {
        organisation: organisation(text),
        class,
    }
}

/// Returns the edit that sets the versions which an organisation may use.
pub fn set_grants(text: &str, versions: &[&str]) -> Edit {
    let grants: BTreeSet<Grant> = versions
        .iter()
        .map(|v| Grant::Version(version(v)))
        .collect();
    Edit::SetGrants {
        organisation: organisation(text),
        grants,
    }
}

/// Returns a catalogue with a cheap and a good version that the organisation `mill` may use.
pub fn catalogue() -> Catalogue {
    let edits = [
        declare_version("cheap@1", 10, 600),
        declare_version("good@1", 100, 950),
        offer_version("cheap@1"),
        offer_version("good@1"),
        create_organisation("mill", Class::Paying),
        set_grants("mill", &["cheap@1", "good@1"]),
    ];
    Catalogue::default().with_edits(&edits).unwrap()
}

/// Returns the announcement of an idle endpoint, in `aviles` if `number` is even, else in `gijon`.
pub fn endpoint(number: u64, versions: &[&str], slots: u32) -> Endpoint {
    Endpoint {
        id: EndpointId::new(format!("endpoint-{number}")).unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: format!("127.0.0.1:{}", 10_000 + number),
        data_centre: data_centre(if number.is_multiple_of(2) {
            "aviles"
        } else {
            "gijon"
        }),
        offer: Offer::Versions(versions.iter().map(|v| version(v)).collect()),
        slots,
        fences: true,
        leaving: false,
        load: Load::default(),
        release: String::new(),
        warm_up_left: papayatray_core::clock::Millis::ZERO,
    }
}
