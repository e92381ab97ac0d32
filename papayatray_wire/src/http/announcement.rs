//! What endpoints and the rating service tell.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use displaydoc::Display;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Load;
use papayatray_core::directory::Offer;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Kind;
use papayatray_core::id::NameError;
use papayatray_core::id::RequestId;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VersionId;
use serde::Deserialize;
use serde::Serialize;

/// Most slots that an endpoint may claim.
const MOST_SLOTS: u32 = 100_000;

/// Announcement of an endpoint, as it sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the endpoint, the same across its starts.
    pub id: String,
    /// Number of this start, higher than that of any earlier one.
    pub incarnation: u64,
    /// Number of this announcement within the start, from 1.
    pub sequence: u64,
    /// Address for requests, an IP number with a port.
    pub address: String,
    /// Data centre that the endpoint stands in.
    pub data_centre: String,
    /// Versions that are loaded; for model engines.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Service; for plain services.
    #[serde(default)]
    pub service: Option<String>,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
}

/// What is wrong with an announcement.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AnnouncementError {
    /// field {0}: {1}
    Name(&'static str, NameError),
    /// field address: wanted is an IP number with a port, such as 10.0.0.7:8000
    Address,
    /// fields versions and service: wanted is exactly one of them
    Offer,
    /// field slots: wanted is a number from 1 to 100000
    Slots,
}

impl std::error::Error for AnnouncementError {}

impl TryFrom<Announcement> for Endpoint {
    type Error = AnnouncementError;

    fn try_from(wire: Announcement) -> Result<Self, AnnouncementError> {
        let name = |field| move |error| AnnouncementError::Name(field, error);
        if wire.address.parse::<SocketAddr>().is_err() {
            return Err(AnnouncementError::Address);
        }
        if !(1..=MOST_SLOTS).contains(&wire.slots) {
            return Err(AnnouncementError::Slots);
        }
        let versions: Result<BTreeSet<VersionId>, NameError> =
            wire.versions.iter().map(|text| text.parse()).collect();
        let versions = versions.map_err(name("versions"))?;
        let offer = match (wire.service, versions.is_empty()) {
            (Some(service), true) => {
                Offer::Service(ServiceId::new(service).map_err(name("service"))?)
            }
            (None, _) => Offer::Versions(versions),
            (Some(_), false) => return Err(AnnouncementError::Offer),
        };
        Ok(Self {
            id: EndpointId::new(wire.id).map_err(name("id"))?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            address: wire.address,
            data_centre: DataCentre::new(wire.data_centre).map_err(name("data_centre"))?,
            offer,
            slots: wire.slots,
            fences: wire.fences,
            leaving: false,
            release: String::new(),
            cold: papayatray_core::clock::Millis::ZERO,
            load: Load {
                running: wire.running,
                waiting: wire.waiting,
            },
        })
    }
}

/// Answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Time in milliseconds within which the endpoint must announce itself again.
    pub renew_within_ms: u64,
}

/// Rating of an answer, from the rating service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rating {
    /// Request whose answer is rated.
    pub request: RequestId,
    /// Version that answered.
    pub version: VersionId,
    /// Kind of the request.
    pub kind: Kind,
    /// Rating from 0 to 1.
    pub rating: f64,
}
