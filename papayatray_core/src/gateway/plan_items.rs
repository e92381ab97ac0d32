//! Items of a plan: the parts that change, and are sent to entries, one by one.
//!
//! Load: plans of thousands of routes of which a change concerns a few.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::plan::CallerLimits;
use super::plan::Organisation;
use super::plan::Plan;
use super::plan::Route;
use super::plan::Service;
use crate::id::OrganisationId;
use crate::id::ServiceId;

/// Identity of an item; each plan has at most one item with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// Limits on callers' requests; the first key in the order.
    Limits,
    /// Service of this name.
    Service(ServiceId),
    /// Organisation of this name.
    Organisation(OrganisationId),
    /// Route of this host, in lower case, and path prefix.
    Route(Arc<str>, Arc<str>),
}

impl ItemKey {
    /// Returns the key of a route.
    pub fn of_route(route: &Route) -> Self {
        let (host, prefix) = route_key(route);
        Self::Route(host, prefix)
    }
}

/// Item of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanItem {
    /// Limits on callers' requests.
    Limits(CallerLimits),
    /// Service with its name.
    Service(ServiceId, Service),
    /// Organisation with its name.
    Organisation(OrganisationId, Organisation),
    /// Route.
    Route(Route),
}

impl PlanItem {
    /// Returns the item's identity.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Limits(_) => ItemKey::Limits,
            Self::Service(id, _) => ItemKey::Service(id.clone()),
            Self::Organisation(id, _) => ItemKey::Organisation(id.clone()),
            Self::Route(route) => ItemKey::of_route(route),
        }
    }
}

/// Change of a plan by one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanChange {
    /// The item is added, or replaces that of the same key.
    Set(PlanItem),
    /// The item of this key is removed.
    Remove(ItemKey),
}

impl PlanChange {
    /// Returns the identity of the item that changes.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Set(item) => item.key(),
            Self::Remove(key) => key.clone(),
        }
    }
}

/// Digest of a set of items, which does not depend on their order: the sum of the digests of their
/// texts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemDigest([u64; 2]);

impl ItemDigest {
    /// Returns the digest of one item by the text of the change that sets it.
    pub fn of_text(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes());
        let (low, rest) = hash.as_bytes().split_at(8);
        let word = |bytes: &[u8]| {
            bytes
                .iter()
                .fold(0, |word, byte| word << 8 | u64::from(*byte))
        };
        Self([word(low), word(&rest[..8])])
    }

    /// Adds the digest of an item to that of a set.
    pub const fn add(&mut self, item: Self) {
        self.0[0] = self.0[0].wrapping_add(item.0[0]);
        self.0[1] = self.0[1].wrapping_add(item.0[1]);
    }

    /// Removes the digest of an item from that of a set.
    pub const fn remove(&mut self, item: Self) {
        self.0[0] = self.0[0].wrapping_sub(item.0[0]);
        self.0[1] = self.0[1].wrapping_sub(item.0[1]);
    }
}

/// Returns the changes that make `new` of `old`.
pub fn changes_between(old: &Plan, new: &Plan) -> Vec<PlanChange> {
    let mut changes = Vec::new();
    if old.limits != new.limits {
        changes.push(PlanChange::Set(PlanItem::Limits(new.limits)));
    }
    changes.extend(map_changes(
        &old.services,
        &new.services,
        PlanItem::Service,
        ItemKey::Service,
    ));
    changes.extend(map_changes(
        &old.organisations,
        &new.organisations,
        PlanItem::Organisation,
        ItemKey::Organisation,
    ));
    changes.extend(route_changes(old, new));
    changes
}

/// Returns the host of a route, in lower case, and its path prefix.
pub(super) fn route_key(route: &Route) -> (Arc<str>, Arc<str>) {
    (lower_case(&route.host).into(), route.prefix.as_str().into())
}

/// Returns the items of a plan.
pub fn items(plan: Plan) -> impl Iterator<Item = PlanItem> {
    let services = plan.services.into_iter();
    let organisations = plan.organisations.into_iter();
    std::iter::once(PlanItem::Limits(plan.limits))
        .chain(services.map(|(id, service)| PlanItem::Service(id, service)))
        .chain(organisations.map(|(id, organisation)| PlanItem::Organisation(id, organisation)))
        .chain(plan.routes.into_iter().map(PlanItem::Route))
}

fn map_changes<K, V, S, R>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    to_item: S,
    to_key: R,
) -> Vec<PlanChange>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
    S: Fn(K, V) -> PlanItem,
    R: Fn(K) -> ItemKey,
{
    let changed = new
        .iter()
        .filter(|(id, value)| old.get(*id) != Some(*value));
    let set = changed.map(|(id, value)| PlanChange::Set(to_item(id.clone(), value.clone())));
    let gone = old.keys().filter(|id| !new.contains_key(*id));
    let removed = gone.map(|id| PlanChange::Remove(to_key(id.clone())));
    set.chain(removed).collect()
}

fn route_changes(old: &Plan, new: &Plan) -> Vec<PlanChange> {
    let (before, after) = (routes_by_key(old), routes_by_key(new));
    let changed = after
        .iter()
        .filter(|(key, route)| before.get(*key) != Some(*route));
    let set = changed.map(|(_, route)| PlanChange::Set(PlanItem::Route((*route).clone())));
    let gone = before.iter().filter(|(key, _)| !after.contains_key(*key));
    let removed = gone.map(|(_, route)| PlanChange::Remove(ItemKey::of_route(route)));
    set.chain(removed).collect()
}

/// Returns the routes by host, in lower case, and prefix; of routes that differ only in the case of
/// their host, the last one counts.
fn routes_by_key(plan: &Plan) -> BTreeMap<(Cow<'_, str>, &str), &Route> {
    let routes = plan.routes.iter();
    let keyed = routes.map(|route| {
        let host = lower_case(&route.host);
        ((host, route.prefix.as_str()), route)
    });
    keyed.collect()
}

/// Returns the text in lower case, without a copy if it is already.
fn lower_case(text: &str) -> Cow<'_, str> {
    if text.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(text.to_ascii_lowercase())
    } else {
        Cow::Borrowed(text)
    }
}
