//! Plan: routes, services and organisations of the gateway, published as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::PlanVersion;
use crate::id::ServiceId;

/// Key that a caller shows; `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// What may be done with a request that did not get its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may be sent again though it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Route of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique only by habit.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; the longest match counts.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Millis,
    /// Time to the answer, or its first event, that callers are owed.
    pub objective: Millis,
    /// Longest pause between two events that callers are owed.
    pub pause: Option<Millis>,
    /// Rank among requests, 0 first.
    pub rank: u8,
    /// Models that may answer, smallest first; empty where callers name the model.
    pub sizes: Vec<ModelId>,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

/// Share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Service of the gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each endpoint accepts from all callers together.
    pub connections: Option<u32>,
    /// Models with their cost per thousand tokens, in millionths.
    pub costs: BTreeMap<ModelId, u64>,
}

/// Organisation of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Keys of its callers.
    pub keys: BTreeSet<ApiKey>,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head: usize,
    /// Most bytes of a body.
    pub body: usize,
    /// Time within which a head must have come.
    pub header_timeout: Millis,
    /// Time for which an unused connection stays open.
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

/// Plan of the gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version; the highest published one is in force.
    pub version: PlanVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations by name; where there are none, no key is needed.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Why a plan cannot be published.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlanError {
    /// route {route} names the unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service.
        service: ServiceId,
    },
    /// two routes share host {host} and prefix {prefix}
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// the weights of route {0} add up to 0
    ZeroWeight(String),
    /// the timeout of route {0} is 0
    ZeroTimeout(String),
    /// organisations {0} and {1} share a key
    SharedKey(OrganisationId, OrganisationId),
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Checks the plan as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), PlanError> {
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            if !places.insert((&route.host, &route.prefix)) {
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

/// Plan together with the text that it was published as.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedPlan {
    /// The plan.
    pub plan: Plan,
    /// Text that the publisher sent, given back to readers as it came.
    pub source: String,
}
