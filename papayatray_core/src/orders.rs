//! Orders to model engines: load what is to be served, unload what is withdrawn.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Catalogue;
use crate::catalogue::Stage;
use crate::clock::Millis;
use crate::directory::Endpoint;
use crate::directory::Offer;
use crate::id::EndpointId;
use crate::id::VersionId;

/// Time between two loads, which the weight store's rate allows.
pub const LOAD_EVERY: Millis = Millis::from_secs(2);
/// Time within which an endpoint must show that it has carried out an order.
const ORDER_LIMIT: Millis = Millis::from_secs(30);

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Loads a version.
    Load(VersionId),
    /// Unloads a version.
    Unload(VersionId),
}

/// Order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Who is to do it.
    pub endpoint: EndpointId,
    /// What is to be done.
    pub action: Action,
}

/// Orders given and not yet seen to be carried out.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    given: BTreeMap<Order, Millis>,
    loaded: Millis,
}

impl OrderTable {
    /// Returns the orders to give now.
    ///
    /// `is_heeded` tells which endpoints may be given orders at all. Loads keep the weight store's
    /// rate; a withdrawn version is unloaded once its endpoint is idle.
    pub fn plan<F>(
        &mut self,
        catalogue: &Catalogue,
        endpoints: &[Endpoint],
        now: Millis,
        is_heeded: F,
    ) -> Vec<Order>
    where
        F: Fn(&Endpoint) -> bool,
    {
        self.given.retain(|_, at| now.since(*at) < ORDER_LIMIT);
        let open: Vec<&Endpoint> = endpoints
            .iter()
            .filter(|e| !e.leaving && is_heeded(e))
            .collect();
        let mut orders = self.unloads(catalogue, &open);
        orders.extend(self.load(catalogue, &open, now));
        for order in &orders {
            self.given.insert(order.clone(), now);
        }
        orders
    }

    fn unloads(&self, catalogue: &Catalogue, open: &[&Endpoint]) -> Vec<Order> {
        let is_gone = |version: &VersionId| {
            let stage = catalogue.versions.get(version).map(|v| &v.stage);
            stage == Some(&Stage::Withdrawn)
        };
        let idle = open
            .iter()
            .filter(|e| e.load.running == 0 && e.load.waiting == 0);
        let orders = idle.flat_map(|endpoint| {
            let gone = versions(endpoint).filter(|version| is_gone(version));
            gone.map(|version| Order {
                endpoint: endpoint.id.clone(),
                action: Action::Unload(version.clone()),
            })
        });
        orders
            .filter(|order| !self.given.contains_key(order))
            .collect()
    }

    /// Returns the next load, if one is due: for the first version that nobody serves.
    fn load(&mut self, catalogue: &Catalogue, open: &[&Endpoint], now: Millis) -> Option<Order> {
        if now.since(self.loaded) < LOAD_EVERY {
            return None;
        }
        let served: BTreeSet<&VersionId> = open.iter().flat_map(|e| versions(e)).collect();
        let is_wanted =
            |stage: &Stage| matches!(stage, Stage::Offered | Stage::RollOut { paused: false, .. });
        let wanted = catalogue
            .versions
            .iter()
            .filter(|(_, v)| is_wanted(&v.stage));
        let mut missing = wanted.map(|(id, _)| id).filter(|id| !served.contains(id));
        let order = missing.find_map(|version| self.load_of(version, open))?;
        self.loaded = now;
        Some(order)
    }

    /// Returns the load of a version by the least busy engine of its model.
    fn load_of(&self, version: &VersionId, open: &[&Endpoint]) -> Option<Order> {
        let action = Action::Load(version.clone());
        let is_under_way = self.given.keys().any(|order| order.action == action);
        if is_under_way {
            return None;
        }
        let is_kin = |e: &&&Endpoint| versions(e).any(|own| own.model() == version.model());
        let busy = |e: &&&Endpoint| (e.load.running + e.load.waiting, e.id.clone());
        let chosen = open.iter().filter(is_kin).min_by_key(busy)?;
        Some(Order {
            endpoint: chosen.id.clone(),
            action,
        })
    }

    /// Notes that an order did not arrive, so that it is given again.
    pub fn mark_undelivered(&mut self, order: &Order) {
        self.given.remove(order);
    }
}

fn versions(endpoint: &Endpoint) -> impl Iterator<Item = &VersionId> {
    let versions = match &endpoint.offer {
        Offer::Versions(versions) => Some(versions),
        Offer::Service(_) => None,
    };
    versions.into_iter().flatten()
}
