//! Orders to model engines: load versions that should be served, unload withdrawn ones.

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

/// Minimum time between two loads, given by the bandwidth of the store of model weights.
pub const LOAD_INTERVAL: Millis = Millis::from_secs(2);
/// Time after which an order without visible effect is sent again.
const ORDER_TIMEOUT: Millis = Millis::from_secs(30);

/// Action that an engine is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a version.
    Load(VersionId),
    /// Unload a version.
    Unload(VersionId),
}

/// Order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Action to carry out.
    pub action: Action,
}

/// Orders that were sent and may not have taken effect yet.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    /// Time at which each order was sent.
    pending: BTreeMap<Order, Millis>,
    /// Time of the latest load order.
    last_load: Millis,
}

impl OrderTable {
    /// Returns the orders that are due, and records them as pending.
    ///
    /// Orders go only to endpoints for which `accepts_orders` is true. Loads are at least
    /// [`LOAD_INTERVAL`] apart; a withdrawn version is unloaded once its endpoint is idle.
    pub fn due_orders<F>(
        &mut self,
        catalogue: &Catalogue,
        endpoints: &[Endpoint],
        now: Millis,
        accepts_orders: F,
    ) -> Vec<Order>
    where
        F: Fn(&Endpoint) -> bool,
    {
        self.pending
            .retain(|_, sent_at| now.since(*sent_at) < ORDER_TIMEOUT);
        let recipients: Vec<&Endpoint> = endpoints
            .iter()
            .filter(|e| !e.leaving && accepts_orders(e))
            .collect();
        let mut orders = self.due_unloads(catalogue, &recipients);
        orders.extend(self.due_load(catalogue, &recipients, now));
        for order in &orders {
            self.pending.insert(order.clone(), now);
        }
        orders
    }

    /// Returns the orders, not pending yet, to unload withdrawn versions from idle endpoints.
    fn due_unloads(&self, catalogue: &Catalogue, recipients: &[&Endpoint]) -> Vec<Order> {
        let is_withdrawn = |version: &VersionId| {
            let stage = catalogue.versions.get(version).map(|v| &v.stage);
            stage == Some(&Stage::Withdrawn)
        };
        let idle = recipients
            .iter()
            .filter(|e| e.load.running == 0 && e.load.waiting == 0);
        let orders = idle.flat_map(|endpoint| {
            let withdrawn = versions(endpoint).filter(|version| is_withdrawn(version));
            withdrawn.map(|version| Order {
                endpoint: endpoint.id.clone(),
                action: Action::Unload(version.clone()),
            })
        });
        orders
            .filter(|order| !self.pending.contains_key(order))
            .collect()
    }

    /// Returns a load order for the first version that no endpoint serves, if a load is due.
    fn due_load(
        &mut self,
        catalogue: &Catalogue,
        recipients: &[&Endpoint],
        now: Millis,
    ) -> Option<Order> {
        if now.since(self.last_load) < LOAD_INTERVAL {
            return None;
        }
        let served: BTreeSet<&VersionId> = recipients.iter().flat_map(|e| versions(e)).collect();
        let is_wanted =
            |stage: &Stage| matches!(stage, Stage::Offered | Stage::RollOut { paused: false, .. });
        let wanted = catalogue
            .versions
            .iter()
            .filter(|(_, v)| is_wanted(&v.stage));
        let mut missing = wanted.map(|(id, _)| id).filter(|id| !served.contains(id));
        let order = missing.find_map(|version| self.load_order(version, recipients))?;
        self.last_load = now;
        Some(order)
    }

    /// Returns the order to load a version on the least loaded engine that serves its model.
    fn load_order(&self, version: &VersionId, recipients: &[&Endpoint]) -> Option<Order> {
        let action = Action::Load(version.clone());
        let is_pending = self.pending.keys().any(|order| order.action == action);
        if is_pending {
            return None;
        }
        let has_same_model =
            |e: &&&Endpoint| versions(e).any(|served| served.model() == version.model());
        let load_and_id = |e: &&&Endpoint| (e.load.running + e.load.waiting, e.id.clone());
        let chosen = recipients
            .iter()
            .filter(has_same_model)
            .min_by_key(load_and_id)?;
        Some(Order {
            endpoint: chosen.id.clone(),
            action,
        })
    }

    /// Records that an order was not delivered, so that it is sent again.
    pub fn mark_undelivered(&mut self, order: &Order) {
        self.pending.remove(order);
    }
}

fn versions(endpoint: &Endpoint) -> impl Iterator<Item = &VersionId> {
    let versions = match &endpoint.offer {
        Offer::Versions(versions) => Some(versions),
        Offer::Service(_) => None,
    };
    versions.into_iter().flatten()
}
