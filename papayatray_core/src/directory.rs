//! Endpoints that have announced themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::DataCentre;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Time after which an endpoint that does not renew is forgotten.
pub const ENDPOINT_TTL: Millis = Millis::from_secs(6);
/// Time for which a departure is remembered, so that a late announcement does not undo it.
const DEPARTURE_KEPT: Millis = Millis::from_secs(60);

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Offer {
    /// Versions that a model engine has loaded.
    Versions(BTreeSet<VersionId>),
    /// A plain service.
    Service(ServiceId),
}

/// Load as the endpoint last reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Announcement of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Number of the endpoint's start.
    pub incarnation: Incarnation,
    /// Number of the announcement within this start.
    pub sequence: u64,
    /// Address for requests.
    pub address: String,
    /// Data centre that the endpoint stands in.
    pub data_centre: DataCentre,
    /// What the endpoint serves.
    pub offer: Offer,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fences: bool,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Load as last reported.
    pub load: Load,
    /// Release of the endpoint's software.
    #[serde(default)]
    pub release: String,
    /// Time for which the endpoint stays slow after its start.
    #[serde(default)]
    pub cold: Millis,
}

impl Endpoint {
    /// Tells whether the endpoint has `version` loaded.
    pub fn serves(&self, version: &VersionId) -> bool {
        matches!(&self.offer, Offer::Versions(versions) if versions.contains(version))
    }

    /// Tells whether the endpoint runs `service`.
    pub fn runs(&self, service: &ServiceId) -> bool {
        matches!(&self.offer, Offer::Service(own) if own == service)
    }

    const fn age(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Record of an endpoint with the moment it was last heard of.
#[derive(Clone, Debug)]
struct Record {
    endpoint: Endpoint,
    heard: Millis,
}

/// Endpoints by name, merged by the newest announcement.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: BTreeMap<EndpointId, Record>,
}

impl Directory {
    /// Takes in an announcement; tells whether it was news.
    pub fn merge(&mut self, endpoint: &Endpoint, now: Millis) -> bool {
        let known = self.records.get(&endpoint.id);
        if known.is_some_and(|record| record.endpoint.age() >= endpoint.age()) {
            return false;
        }
        // A good-bye holds for the whole start of the endpoint, whatever comes late.
        let is_same_start = |r: &&Record| r.endpoint.incarnation == endpoint.incarnation;
        let has_left = known
            .filter(is_same_start)
            .is_some_and(|r| r.endpoint.leaving);
        let mut endpoint = endpoint.clone();
        endpoint.leaving |= has_left;
        self.records.insert(
            endpoint.id.clone(),
            Record {
                endpoint,
                heard: now,
            },
        );
        true
    }

    /// Records that the endpoint said good-bye; returns what to pass on.
    pub fn leave(&mut self, id: &EndpointId, now: Millis) -> Option<Endpoint> {
        let record = self.records.get_mut(id)?;
        record.endpoint.leaving = true;
        record.endpoint.sequence += 1;
        record.heard = now;
        Some(record.endpoint.clone())
    }

    /// Drops endpoints that have not been heard of in time, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<Endpoint> {
        let is_gone = |record: &Record| {
            let kept = if record.endpoint.leaving {
                DEPARTURE_KEPT
            } else {
                ENDPOINT_TTL
            };
            now.since(record.heard) > kept
        };
        let gone = self.records.iter().filter(|(_, record)| is_gone(record));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        let removed = gone.iter().filter_map(|id| self.records.remove(id));
        removed.map(|record| record.endpoint).collect()
    }

    /// Records departure of a start of an endpoint, or of the start that is known.
    ///
    /// Tells whether it was news. A later start is not touched.
    pub fn depart(&mut self, id: &EndpointId, incarnation: Option<Incarnation>) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_later = incarnation.is_some_and(|own| record.endpoint.incarnation > own);
        if is_later || record.endpoint.leaving {
            return false;
        }
        record.endpoint.leaving = true;
        true
    }

    /// Records departure of all other endpoints at the address of `newest` that started earlier.
    pub fn evict_address(&mut self, newest: &Endpoint) -> Vec<EndpointId> {
        let is_former = |own: &Endpoint| {
            own.address == newest.address
                && own.id != newest.id
                && own.incarnation < newest.incarnation
                && !own.leaving
        };
        let records = self.records.values_mut();
        let predecessor = records.filter(|record| is_former(&record.endpoint));
        let evicted = predecessor.map(|record| {
            record.endpoint.leaving = true;
            record.endpoint.id.clone()
        });
        evicted.collect()
    }

    /// Returns the moment at which the endpoint was last heard of.
    pub fn heard(&self, id: &EndpointId) -> Option<Millis> {
        self.records.get(id).map(|record| record.heard)
    }

    /// Notes that the endpoint was heard of at `now`, without anything new.
    pub fn renew(&mut self, id: &EndpointId, now: Millis) {
        if let Some(record) = self.records.get_mut(id) {
            record.heard = record.heard.max(now);
        }
    }

    /// Returns the endpoint of this name.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.records.get(id).map(|record| &record.endpoint)
    }

    /// Returns all endpoints, leaving ones too.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.records.values().map(|record| &record.endpoint)
    }

    /// Returns the endpoints that take new work.
    pub fn open(&self) -> impl Iterator<Item = &Endpoint> {
        self.all().filter(|endpoint| !endpoint.leaving)
    }
}
