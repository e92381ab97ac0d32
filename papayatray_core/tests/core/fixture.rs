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

pub fn declare(text: &str, price: u32, prior: u32) -> Edit {
    Edit::DeclareVersion {
        version: version(text),
        price_in: price,
        price_out: price,
        prior,
    }
}

pub fn offer(text: &str) -> Edit {
    Edit::Offer {
        version: version(text),
    }
}

pub fn create(text: &str, class: Class) -> Edit {
    Edit::CreateOrganisation {
        organisation: organisation(text),
        class,
    }
}

pub fn allow(text: &str, versions: &[&str]) -> Edit {
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
        declare("cheap@1", 10, 600),
        declare("good@1", 100, 950),
        offer("cheap@1"),
        offer("good@1"),
        create("mill", Class::Paying),
        allow("mill", &["cheap@1", "good@1"]),
    ];
    Catalogue::default().with_edits(&edits).unwrap()
}

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
