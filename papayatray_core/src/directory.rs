//! Directory of the endpoints that have announced themselves.

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

/// Time after which an endpoint without a heartbeat is dropped.
pub const ENDPOINT_TTL: Millis = Millis::from_secs(6);
/// Time for which a deregistration is kept, so that a delayed announcement does not undo it.
const DEREGISTRATION_RETENTION: Millis = Millis::from_secs(60);

/// Model versions or plain HTTP service that an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Offer {
    /// Model versions that a model engine has loaded.
    Versions(BTreeSet<VersionId>),
    /// A plain HTTP service.
    Service(ServiceId),
}

/// Load of an endpoint, as last reported by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the endpoint's own queue.
    pub waiting: u32,
}

/// Announcement of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Address for requests.
    pub address: String,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Model versions or plain HTTP service that the endpoint serves.
    pub offer: Offer,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint rejects orders with an outdated fencing token.
    pub fences: bool,
    /// Whether the endpoint is draining or deregistered, and accepts no new requests.
    pub leaving: bool,
    /// Load as last reported.
    pub load: Load,
    /// Release of the endpoint's software.
    #[serde(default)]
    pub release: String,
    /// Remaining time of the endpoint's warm-up, during which it is slow, as of the announcement.
    #[serde(default, rename = "cold")]
    pub warm_up_left: Millis,
}

impl Endpoint {
    /// Returns whether the endpoint has `version` loaded.
    pub fn serves(&self, version: &VersionId) -> bool {
        matches!(&self.offer, Offer::Versions(versions) if versions.contains(version))
    }

    /// Returns whether the endpoint runs `service`.
    pub fn runs(&self, service: &ServiceId) -> bool {
        matches!(&self.offer, Offer::Service(offered) if offered == service)
    }

    const fn recency(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

#[derive(Clone, Debug)]
struct Record {
    endpoint: Endpoint,
    /// Time of the last announcement, heartbeat or deregistration.
    last_heard: Millis,
}

/// Latest announcement of each endpoint, by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: BTreeMap<EndpointId, Record>,
}

impl Directory {
    /// Stores an announcement; returns false if it is not newer than the stored one.
    pub fn merge(&mut self, endpoint: &Endpoint, now: Millis) -> bool {
        let stored = self.records.get(&endpoint.id);
        if stored.is_some_and(|record| record.endpoint.recency() >= endpoint.recency()) {
            return false;
        }
        // A deregistration holds for the rest of the incarnation, so delayed announcements do not
        // undo it.
        let is_same_incarnation = |r: &&Record| r.endpoint.incarnation == endpoint.incarnation;
        let is_deregistered = stored
            .filter(is_same_incarnation)
            .is_some_and(|r| r.endpoint.leaving);
        let mut endpoint = endpoint.clone();
        endpoint.leaving |= is_deregistered;
        self.records.insert(
            endpoint.id.clone(),
            Record {
                endpoint,
                last_heard: now,
            },
        );
        true
    }

    /// Deregisters an endpoint; returns the announcement to forward to other processes.
    pub fn deregister(&mut self, id: &EndpointId, now: Millis) -> Option<Endpoint> {
        let record = self.records.get_mut(id)?;
        record.endpoint.leaving = true;
        record.endpoint.sequence += 1;
        record.last_heard = now;
        Some(record.endpoint.clone())
    }

    /// Drops the endpoints whose last heartbeat or deregistration is too old, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<Endpoint> {
        let is_expired = |record: &Record| {
            let ttl = if record.endpoint.leaving {
                DEREGISTRATION_RETENTION
            } else {
                ENDPOINT_TTL
            };
            now.since(record.last_heard) > ttl
        };
        let expired = self.records.iter().filter(|(_, record)| is_expired(record));
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        let removed = expired.iter().filter_map(|id| self.records.remove(id));
        removed.map(|record| record.endpoint).collect()
    }

    /// Deregisters an endpoint unless its latest incarnation is later than `incarnation`.
    ///
    /// Without `incarnation`, any incarnation is deregistered. Returns false if nothing changed.
    pub fn deregister_incarnation(
        &mut self,
        id: &EndpointId,
        incarnation: Option<Incarnation>,
    ) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_later = incarnation.is_some_and(|limit| record.endpoint.incarnation > limit);
        if is_later || record.endpoint.leaving {
            return false;
        }
        record.endpoint.leaving = true;
        true
    }

    /// Deregisters all other endpoints at the address of `newest` that started earlier.
    ///
    /// Returns their names.
    pub fn evict_address(&mut self, newest: &Endpoint) -> Vec<EndpointId> {
        let is_replaced = |other: &Endpoint| {
            other.address == newest.address
                && other.id != newest.id
                && other.incarnation < newest.incarnation
                && !other.leaving
        };
        let records = self.records.values_mut();
        let replaced = records.filter(|record| is_replaced(&record.endpoint));
        let evicted = replaced.map(|record| {
            record.endpoint.leaving = true;
            record.endpoint.id.clone()
        });
        evicted.collect()
    }

    /// Returns the time of the endpoint's last announcement, heartbeat or deregistration.
    pub fn last_heard(&self, id: &EndpointId) -> Option<Millis> {
        self.records.get(id).map(|record| record.last_heard)
    }

    /// Records a heartbeat without a new announcement.
    pub fn renew(&mut self, id: &EndpointId, now: Millis) {
        if let Some(record) = self.records.get_mut(id) {
            record.last_heard = record.last_heard.max(now);
        }
    }

    /// Returns the endpoint with this name.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.records.get(id).map(|record| &record.endpoint)
    }

    /// Returns all endpoints, including those that accept no new requests.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.records.values().map(|record| &record.endpoint)
    }

    /// Returns the endpoints that accept new requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Endpoint> {
        self.all().filter(|endpoint| !endpoint.leaving)
    }
}
