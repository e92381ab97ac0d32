//! HTTP bodies for endpoints and the rating service.

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

/// Largest number of slots that an endpoint may announce.
const MAX_SLOTS: u32 = 100_000;

/// Announcement that an endpoint sends to register and to stay registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Id of the endpoint, the same in each of its incarnations.
    pub id: String,
    /// Number of this incarnation, higher than that of any earlier one.
    pub incarnation: u64,
    /// Number of this announcement within the incarnation, from 1.
    pub sequence: u64,
    /// IP address and port for requests.
    pub address: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Versions that the endpoint has loaded, if it is a model engine.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Service that the endpoint runs, if it is not a model engine.
    #[serde(default)]
    pub service: Option<String>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
    /// Number of requests that are running at the endpoint.
    #[serde(default)]
    pub running: u32,
    /// Number of requests that wait in the endpoint's queue.
    #[serde(default)]
    pub waiting: u32,
}

/// Reason why an [`Announcement`] is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AnnouncementError {
    /// field {0}: {1}
    Name(&'static str, NameError),
    /// field address: expected an IP address with a port, such as 10.0.0.7:8000
    Address,
    /// fields versions and service: expected only one of them, found both
    Offer,
    /// field slots: expected a number from 1 to 100000
    Slots,
}

impl std::error::Error for AnnouncementError {}

impl TryFrom<Announcement> for Endpoint {
    type Error = AnnouncementError;

    fn try_from(wire: Announcement) -> Result<Self, AnnouncementError> {
        let name_error = |field| move |error| AnnouncementError::Name(field, error);
        if wire.address.parse::<SocketAddr>().is_err() {
            return Err(AnnouncementError::Address);
        }
        if !(1..=MAX_SLOTS).contains(&wire.slots) {
            return Err(AnnouncementError::Slots);
        }
        let versions: Result<BTreeSet<VersionId>, NameError> =
            wire.versions.iter().map(|text| text.parse()).collect();
        let versions = versions.map_err(name_error("versions"))?;
        let offer = match (wire.service, versions.is_empty()) {
            (Some(service), true) => {
                Offer::Service(ServiceId::new(service).map_err(name_error("service"))?)
            }
            (None, _) => Offer::Versions(versions),
            (Some(_), false) => return Err(AnnouncementError::Offer),
        };
        Ok(Self {
            id: EndpointId::new(wire.id).map_err(name_error("id"))?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            address: wire.address,
            data_centre: DataCentre::new(wire.data_centre).map_err(name_error("data_centre"))?,
            offer,
            slots: wire.slots,
            fences: wire.fences,
            leaving: false,
            release: String::new(),
            warm_up_left: papayatray_core::clock::Millis::ZERO,
            load: Load {
                running: wire.running,
                waiting: wire.waiting,
            },
        })
    }
}

/// Response to an [`Announcement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementResponse {
    /// Time in milliseconds within which the endpoint must announce itself again to stay
    /// registered.
    pub renew_within_ms: u64,
}

/// Quality rating of a response, sent by the rating service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rating {
    /// Request whose response is rated.
    pub request: RequestId,
    /// Version that generated the response.
    pub version: VersionId,
    /// Kind of the request.
    pub kind: Kind,
    /// Rating from 0 (worst) to 1 (best).
    pub rating: f64,
}
