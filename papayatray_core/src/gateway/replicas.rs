//! Control replicas as one entry sees them: which leads, and from which the entry takes the plan.
//!
//! Load: a plan of more than a thousand routes that reaches hundreds of entries over narrow links.
//! Each entry takes it from one replica, in its own data centre if one is there.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::PlanVersion;

/// Time for which an entry waits for a plan from its preferred replica, once another has named a
/// newer one, before it takes the plan from any.
const PLAN_SOURCE_PATIENCE: Millis = Millis::new(300);

/// Role of a replica, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// It leads.
    Leader,
    /// Another one leads.
    Standby,
    /// No leader is known.
    Unknown,
}

/// What a reply of a replica says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Whether it leads.
    pub is_leader: bool,
    /// Whether it is in the data centre of the entry.
    pub is_near: bool,
    /// Newest plan that it has applied.
    pub plan: PlanVersion,
}

/// Control replicas by address.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    /// Last reply of each replica; `None` if its last call failed or none was made.
    replicas: BTreeMap<String, Option<ReplicaView>>,
    /// Newest plan that a replica has named, and when it was named first.
    newest_plan: (PlanVersion, Millis),
}

impl ReplicaTable {
    /// Adds a replica; returns false if it is known already.
    pub fn add(&mut self, address: &str) -> bool {
        let is_new = !self.replicas.contains_key(address);
        if is_new {
            self.replicas.insert(address.to_owned(), None);
        }
        is_new
    }

    /// Records a reply.
    pub fn record_reply(&mut self, address: &str, view: &ReplicaView, now: Millis) {
        if view.is_leader {
            // At most one replica leads, so one that led before has been replaced.
            for other in self.replicas.values_mut().flatten() {
                other.is_leader = false;
            }
        }
        self.replicas.insert(address.to_owned(), Some(*view));
        if view.plan > self.newest_plan.0 {
            self.newest_plan = (view.plan, now);
        }
    }

    /// Records that a replica did not reply.
    pub fn record_failure(&mut self, address: &str) {
        self.replicas.insert(address.to_owned(), None);
    }

    /// Returns the role of a replica.
    pub fn role(&self, address: &str) -> ReplicaRole {
        let is_leading = |view: &Option<ReplicaView>| view.is_some_and(|view| view.is_leader);
        if self.replicas.get(address).is_some_and(is_leading) {
            ReplicaRole::Leader
        } else if self.replicas.values().any(is_leading) {
            ReplicaRole::Standby
        } else {
            ReplicaRole::Unknown
        }
    }

    /// Returns whether the entry, which has the plan `applied`, takes a newer one from a replica.
    ///
    /// That is one in the same data centre if one with a plan replied last, else the leader; or any, if
    /// that one is late with a plan that another has named. Before the first reply it is none, as a starting
    /// entry would get a plan from each.
    pub fn is_plan_source(&self, address: &str, applied: PlanVersion, now: Millis) -> bool {
        let (newest, named_at) = self.newest_plan;
        let is_late = newest > applied && now.since(named_at) >= PLAN_SOURCE_PATIENCE;
        let preferred = self.preferred_source();
        is_late || preferred == Some(address)
    }

    /// Returns a replica in the same data centre if one with a plan replied last, else the leader.
    ///
    /// One without a plan has lost its disk, or has just restarted together with the entry.
    fn preferred_source(&self) -> Option<&str> {
        let reachable = self
            .replicas
            .iter()
            .filter_map(|(address, view)| view.as_ref().map(|view| (address.as_str(), view)));
        let has_plan = |view: &ReplicaView| view.plan > PlanVersion::default();
        let near = reachable
            .clone()
            .find(|(_, view)| view.is_near && has_plan(view));
        let leader = reachable.clone().find(|(_, view)| view.is_leader);
        near.or(leader).map(|(address, _)| address)
    }
}
