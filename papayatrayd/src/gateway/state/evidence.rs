//! Plan in force at an entry, and the evidence that it is the newest.

use std::sync::Arc;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::table::RouteTable;

use super::Gateway;
use super::ShutdownStage;
use super::lock;
use crate::observe::Level;
use crate::observe::event;

/// # Plan and evidence
impl Gateway {
    /// Puts a plan, of which the last part was asked for at `requested_at`, in force if it is newer
    /// than the current one.
    pub(in crate::gateway) fn put_in_force(
        &self,
        table: RouteTable,
        control: &str,
        requested_at: Millis,
    ) {
        let version = table.version();
        let is_applied = self.set_route_table(table);
        let name = if is_applied {
            "plan_applied"
        } else {
            "plan_duplicate"
        };
        let now = self.clock.now();
        let lag = {
            let mut evidence = lock(&self.evidence);
            let lag = evidence.lag(now);
            evidence.apply(version);
            lag
        };
        self.metrics.count_event(name);
        event(
            Level::Info,
            name,
            &[
                ("version", &version),
                ("control", &control),
                ("took_ms", &now.since(requested_at).as_u64()),
                ("lag_ms", &lag.as_u64()),
            ],
        );
        self.apply_cold_rules(now);
        self.plan_confirmed.notify(usize::MAX);
    }

    /// Returns the plan in force at this entry, or `None` before one was received.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Puts a plan in force if it is newer than the current one; returns whether it was.
    fn set_route_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current
            .as_ref()
            .is_none_or(|old| table.version() > old.version());
        if is_newer {
            *current = Some(Arc::new(table));
        }
        is_newer
    }

    /// Returns the age of the evidence that the plan is the newest, if there is any.
    pub fn evidence_age(&self) -> Option<Millis> {
        lock(&self.evidence).age(self.clock.now())
    }

    /// Returns whether the evidence that the plan is the newest is recent enough to serve requests
    /// that need a key.
    pub fn has_fresh_evidence(&self) -> bool {
        lock(&self.evidence).is_fresh(self.clock.now())
    }

    /// Returns whether the entry has known for too long that a newer plan is in force to serve any
    /// request by its own.
    pub fn is_overdue(&self) -> bool {
        lock(&self.evidence).is_overdue(self.clock.now())
    }

    /// Returns whether the entry may be listed to callers.
    pub fn is_ready(&self) -> bool {
        self.shutdown_stage() == ShutdownStage::Serving
            && self.has_fresh_evidence()
            && !self.is_overdue()
            && self.route_table().is_some()
    }
}
