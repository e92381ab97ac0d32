//! Plans of a control replica, as entries receive them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan_log::PlanCursor;
use papayatray_core::gateway::plan_log::PlanLog;
use papayatray_core::id::PlanVersion;
use papayatray_state::node::PlanUpdate;
use papayatray_wire::peer::PIECE_BYTES;
use papayatray_wire::peer::PieceReply;
use papayatray_wire::peer::PieceRequest;

use super::ControlState;
use crate::observe::Level;
use crate::observe::event;

/// Replies that are kept for the entries that ask for the same piece; a plan of 10,000 routes has
/// about 60.
const MAX_REPLIES: usize = 128;

/// Plans of a control replica.
#[derive(Debug, Default)]
pub(super) struct PlanStore {
    inner: Mutex<StoredPlans>,
}

#[derive(Debug, Default)]
struct StoredPlans {
    log: PlanLog,
    /// Replies of the newest version by the position that they follow: hundreds of entries ask for
    /// the same ones.
    replies: BTreeMap<PlanCursor, Arc<PieceReply>>,
}

impl PlanStore {
    /// Stores plans that have come into force; returns the version of the newest one.
    pub(super) fn record(&self, updates: &[PlanUpdate]) -> PlanVersion {
        let mut inner = self.inner();
        for update in updates {
            let (plan, recorded) = match update {
                PlanUpdate::Published(plan) => (plan, inner.log.record(plan)),
                PlanUpdate::Restored(plan) => (plan, inner.log.restart(plan)),
            };
            if let Err(error) = recorded {
                event(
                    Level::Error,
                    "plan_not_logged",
                    &[("version", &plan.version), ("error", &error)],
                );
            }
        }
        inner.replies.clear();
        inner.log.version()
    }

    /// Returns the newest plan.
    pub(super) fn plan(&self) -> Option<Arc<Plan>> {
        self.inner().log.plan().cloned()
    }

    /// Returns the reply with the changes that follow `cursor`.
    fn reply(&self, cursor: &PlanCursor) -> Arc<PieceReply> {
        let (piece, version) = {
            let inner = self.inner();
            if let Some(reply) = inner.replies.get(cursor) {
                return Arc::clone(reply);
            }
            (inner.log.piece(cursor, PIECE_BYTES), inner.log.version())
        };
        // Compressed without the lock, for which the control thread waits with each new plan.
        let reply = Arc::new(PieceReply::from(piece));
        let mut inner = self.inner();
        if inner.log.version() == version {
            if inner.replies.len() >= MAX_REPLIES {
                inner.replies.pop_first();
            }
            inner.replies.insert(cursor.clone(), Arc::clone(&reply));
        }
        reply
    }

    fn inner(&self) -> MutexGuard<'_, StoredPlans> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// # Plans
impl ControlState {
    /// Returns the changes of the plan that follow what an entry has received.
    pub(in crate::gateway) fn plan_piece(&self, request: &PieceRequest) -> Arc<PieceReply> {
        self.plans.reply(&request.cursor)
    }
}
