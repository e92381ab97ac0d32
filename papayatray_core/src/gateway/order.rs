//! Order of service: the urgency with which endpoints admit the requests of one service.
//!
//! Load: more streams than the engines can start at once. Engines start the most urgent of the
//! waiting requests first, and those of equal urgency in the order of their arrival.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::gateway::plan::Organisation;
use crate::gateway::plan::Route;
use crate::gateway::plan::Service;
use crate::id::OrganisationId;
use crate::id::ServiceId;

/// Least urgent value; endpoints accept 0 to 9.
const LEAST: u8 = 9;
/// Steps between two ranks. With two, a request that ages stays behind all fresh requests of the
/// next higher rank.
const STEPS_PER_RANK: u8 = 2;
/// Divisor of the latency objective: a request older than this part of it is one step more urgent.
const AGING_DIVISOR: u64 = 2;

/// Urgency of a request at an endpoint, from 0, which is served first, to 9.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u8);

impl Urgency {
    /// Returns the urgency of a request by its rank, the time since its arrival and its objective.
    ///
    /// All ranks from 4 on are equally urgent while they are fresh.
    pub fn new(rank: u8, elapsed: Millis, objective: Millis) -> Self {
        let has_aged = elapsed.as_u64() > objective.as_u64() / AGING_DIVISOR;
        let base = rank.saturating_mul(STEPS_PER_RANK).saturating_add(1);
        Self(base.min(LEAST) - u8::from(has_aged))
    }

    /// Returns the number, from 0 to 9.
    pub const fn as_u8(self) -> u8 {
        self.0
    }
}

/// Returns whether the urgency of a route's requests may be stated: they are streams that a model
/// produces.
pub fn is_ordered(services: &BTreeMap<ServiceId, Service>, route: &Route) -> bool {
    let has_models = |service| {
        let service = services.get(service);
        service.is_some_and(|service| !service.costs.is_empty())
    };
    let mut targets = route.targets.iter().map(|target| &target.service);
    route.kind.is_stream() && (!route.sizes.is_empty() || targets.any(has_models))
}

/// Returns whether the requests of a plan that may be ordered differ in rank.
///
/// Organisations with a rank of their own take part on all routes that need a key.
pub fn has_different_ranks<'a, R>(
    routes: R,
    services: &BTreeMap<ServiceId, Service>,
    organisations: &BTreeMap<OrganisationId, Organisation>,
) -> bool
where
    R: Iterator<Item = &'a Route>,
{
    let own_ranks: BTreeSet<u8> = organisations.values().filter_map(|one| one.rank).collect();
    let takes_route_rank =
        organisations.is_empty() || organisations.values().any(|one| one.rank.is_none());
    let mut ranks = BTreeSet::new();
    for route in routes.filter(|route| is_ordered(services, route)) {
        if route.public || takes_route_rank {
            ranks.insert(route.rank);
        }
        if !route.public {
            ranks.extend(&own_ranks);
        }
        if ranks.len() > 1 {
            return true;
        }
    }
    false
}
