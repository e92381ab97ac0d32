//! Plan: the gateway's routes, services and organisations, published and replaced as one unit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use super::warm_up::ColdRule;
use crate::clock::Millis;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::PlanVersion;
use crate::id::Region;
use crate::id::ServiceId;

/// API key of a caller; `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The response is a stream of server-sent events.
    Stream {
        /// Whether another endpoint can resume the stream after the last event received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again although an endpoint may already have run it.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Route from a host and path prefix to the services that handle its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and errors; uniqueness is not enforced.
    pub name: String,
    /// Host name to match against the request's `Host` header.
    pub host: String,
    /// Path prefix; the longest matching prefix of the host wins.
    pub prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Time-out for the whole response.
    pub timeout: Millis,
    /// Latency objective for the response or, on streams, its first event.
    pub objective: Millis,
    /// Objective for the longest gap between two events of a stream.
    pub pause: Option<Millis>,
    /// Priority of the requests; 0 is the highest.
    pub rank: u8,
    /// Models that may serve the request, smallest first; empty where callers name the model.
    pub sizes: Vec<ModelId>,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Home regions of the requests; none if they may go anywhere.
    #[serde(default)]
    pub homes: BTreeSet<Region>,
}

/// Service that receives a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Plain HTTP service that routes can name as a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Limit on the connections that each endpoint accepts from all callers together.
    pub connections: Option<u32>,
    /// Cost of 1,000 tokens by model, in millionths of the currency.
    pub costs: BTreeMap<ModelId, u64>,
    /// Bound on the requests to cold endpoints, if there is one.
    #[serde(default)]
    pub cold: Option<ColdRule>,
}

/// Organisation whose callers use the gateway's routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Keys of its callers.
    pub keys: BTreeSet<ApiKey>,
    /// Priority that overrides the route's rank.
    pub rank: Option<u8>,
    /// Home regions of the requests, in addition to those of the route; none if they may go anywhere.
    #[serde(default)]
    pub homes: BTreeSet<Region>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Time-out for receiving a whole request head.
    pub header_timeout: Millis,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 1 << 20,
            header_timeout: Millis::from_secs(5),
            idle_timeout: Millis::from_secs(30),
        }
    }
}

/// Routing configuration of the gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version; the published plan with the highest version is in force.
    pub version: PlanVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations by name; if there are none, no route needs a key.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// Reason why a plan cannot be published.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlanError {
    /// route {route} names the unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service.
        service: ServiceId,
    },
    /// two routes share host {host} and prefix {prefix}; each pair must be unique
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// the weights of route {0} add up to 0; at least one target needs a positive weight
    ZeroWeight(String),
    /// the timeout of route {0} is 0; it must be positive
    ZeroTimeout(String),
    /// organisations {0} and {1} share a key; each key must belong to one organisation
    SharedKey(OrganisationId, OrganisationId),
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Validates the plan before it is published.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), PlanError> {
        let mut host_prefixes = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            if !host_prefixes.insert((&route.host, &route.prefix)) {
                return Err(PlanError::DuplicateRoute {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        self.check_keys()
    }

    fn check_route(&self, route: &Route) -> Result<(), PlanError> {
        let is_unknown = |target: &&Target| !self.services.contains_key(&target.service);
        if let Some(target) = route.targets.iter().find(is_unknown) {
            return Err(PlanError::UnknownService {
                route: route.name.clone(),
                service: target.service.clone(),
            });
        }
        let weights = route.targets.iter().map(|target| u64::from(target.weight));
        if weights.sum::<u64>() == 0 {
            return Err(PlanError::ZeroWeight(route.name.clone()));
        }
        if route.timeout == Millis::ZERO {
            return Err(PlanError::ZeroTimeout(route.name.clone()));
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), PlanError> {
        let mut holders: BTreeMap<&ApiKey, &OrganisationId> = BTreeMap::new();
        for (id, organisation) in &self.organisations {
            for key in &organisation.keys {
                if let Some(other) = holders.insert(key, id) {
                    return Err(PlanError::SharedKey(other.clone(), id.clone()));
                }
            }
        }
        Ok(())
    }
}

/// Decoded plan together with its source text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedPlan {
    /// The plan.
    pub plan: Plan,
    /// Text that the publisher sent, returned verbatim to readers.
    pub source: String,
}
