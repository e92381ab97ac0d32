//! Indexes of a plan's routes and keys for the lookups of each request.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::order;
use crate::gateway::order::Urgency;
use crate::gateway::plan::CallerLimits;
use crate::gateway::plan::Organisation;
use crate::gateway::plan::Plan;
use crate::gateway::plan::Route;
use crate::gateway::plan::Service;
use crate::gateway::plan_items;
use crate::gateway::plan_items::ItemKey;
use crate::gateway::plan_items::PlanItem;
use crate::id::OrganisationId;
use crate::id::PlanVersion;
use crate::id::ServiceId;

/// Routes of one host by path prefix.
type HostRoutes = BTreeMap<Arc<str>, Arc<Route>>;

/// Plan with indexes of its routes and keys.
///
/// A copy shares all that does not change, so that a version costs an entry what it changes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: PlanVersion,
    limits: CallerLimits,
    services: Arc<BTreeMap<ServiceId, Service>>,
    organisations: Arc<BTreeMap<OrganisationId, Organisation>>,
    /// By host in lower case.
    routes: BTreeMap<Arc<str>, Arc<HostRoutes>>,
    /// Keyed by digest, so that the timing of a lookup leaks nothing about the bytes of a key.
    organisations_by_key: Arc<BTreeMap<[u8; blake3::OUT_LEN], OrganisationId>>,
    has_different_ranks: bool,
}

impl RouteTable {
    /// Builds the indexes of a plan.
    pub fn new(plan: Plan) -> Self {
        let version = plan.version;
        let mut table = Self::default();
        for item in plan_items::items(plan) {
            table.set(item);
        }
        table.at_version(version)
    }

    /// Adds an item, or replaces that of the same key; [`Self::at_version`] completes the change.
    pub fn set(&mut self, item: PlanItem) {
        match item {
            PlanItem::Limits(limits) => self.limits = limits,
            PlanItem::Service(id, service) => {
                Arc::make_mut(&mut self.services).insert(id, service);
            }
            PlanItem::Organisation(id, organisation) => {
                Arc::make_mut(&mut self.organisations).insert(id, organisation);
            }
            PlanItem::Route(route) => {
                let (host, prefix) = plan_items::route_key(&route);
                let routes = self.routes.entry(host).or_default();
                Arc::make_mut(routes).insert(prefix, Arc::new(route));
            }
        }
    }

    /// Removes the item of a key, if there is one; [`Self::at_version`] completes the change.
    pub fn remove(&mut self, key: &ItemKey) {
        match key {
            ItemKey::Limits => self.limits = CallerLimits::default(),
            ItemKey::Service(id) => {
                Arc::make_mut(&mut self.services).remove(id);
            }
            ItemKey::Organisation(id) => {
                Arc::make_mut(&mut self.organisations).remove(id);
            }
            ItemKey::Route(host, prefix) => {
                let Some(routes) = self.routes.get_mut(host) else {
                    return;
                };
                Arc::make_mut(routes).remove(prefix);
                if routes.is_empty() {
                    self.routes.remove(host);
                }
            }
        }
    }

    /// Returns the table as the plan of `version`, with what is derived from all items.
    #[must_use]
    pub fn at_version(&self, version: PlanVersion) -> Self {
        let organisations = self.organisations.iter();
        let keys = organisations
            .flat_map(|(id, organisation)| organisation.keys.iter().map(move |key| (key, id)));
        let organisations_by_key = keys.map(|(key, id)| (digest(&key.0), id.clone())).collect();
        let routes = self.routes.values().flat_map(|routes| routes.values());
        let has_different_ranks = order::has_different_ranks(
            routes.map(|route| &**route),
            &self.services,
            &self.organisations,
        );
        Self {
            version,
            organisations_by_key: Arc::new(organisations_by_key),
            has_different_ranks,
            ..self.clone()
        }
    }

    /// Returns the limits on callers' requests and connections.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the services by name.
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        &self.services
    }

    /// Returns the organisations by name.
    pub fn organisations(&self) -> &BTreeMap<OrganisationId, Organisation> {
        &self.organisations
    }

    /// Returns the plan's version.
    pub const fn version(&self) -> PlanVersion {
        self.version
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let prefixes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        let mut end = path.len();
        loop {
            if let Some(route) = prefixes.get(path.get(..end)?) {
                return Some(route);
            }
            // Prefixes are expected to end with a slash, so a match can only end at a slash of the
            // path.
            end = path.get(..end.checked_sub(1)?)?.rfind('/')? + 1;
        }
    }

    /// Returns whether callers of `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.organisations.is_empty()
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &str) -> Option<&OrganisationId> {
        self.organisations_by_key.get(&digest(key))
    }

    /// Returns the priority of a request: the organisation's rank if it has one, else the route's.
    pub fn rank(&self, route: &Route, organisation: Option<&OrganisationId>) -> u8 {
        let organisation = organisation.and_then(|id| self.organisations.get(id));
        organisation
            .and_then(|organisation| organisation.rank)
            .unwrap_or(route.rank)
    }

    /// Returns the urgency to state to an endpoint for a request that arrived `elapsed` ago, or
    /// `None` if the plan does not call for an order.
    pub fn urgency(
        &self,
        route: &Route,
        organisation: Option<&OrganisationId>,
        elapsed: Millis,
    ) -> Option<Urgency> {
        let is_ordered = self.has_different_ranks && order::is_ordered(&self.services, route);
        let rank = self.rank(route, organisation);
        is_ordered.then(|| Urgency::new(rank, elapsed, route.objective))
    }
}

/// Returns the service for the random number `draw`, by the weights of the route's targets.
pub fn pick_target(route: &Route, draw: u64) -> Option<&ServiceId> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut remainder = draw.checked_rem(total)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if remainder < weight {
            return Some(&target.service);
        }
        remainder -= weight;
    }
    None
}

fn digest(key: &str) -> [u8; blake3::OUT_LEN] {
    *blake3::hash(key.as_bytes()).as_bytes()
}
