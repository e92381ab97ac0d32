//! Census of the format levels, active on the leader: asks the control replicas what they read, and passes
//! that on to the control thread with what entries state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use jsonrpsee_types::error::METHOD_NOT_FOUND_CODE;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_state::replica::ReplicaId;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::FormatReply;
use papayatray_wire::peer::Method;
use smol::Timer;

use super::control_state::ControlState;
use crate::control::Control;
use crate::control::FormatPoll;
use crate::control::FormatStatements;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Interval at which the leader checks whether the level may rise and whom it has to ask.
const CHECK_INTERVAL: Millis = Millis::new(100);
/// Time-out of a question, and the time after which a replica that did not answer is asked again.
const ASK_TIMEOUT: Millis = Millis::new(400);
/// Time after which a replica that answered is asked again: its process may have been replaced.
const REFRESH_INTERVAL: Millis = Millis::from_secs(2);

/// Last statement of a replica.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Level that the replica reads; `None` until it has answered.
    reads: Option<FormatLevel>,
    asked_at: Millis,
}

/// Collects the format levels while its replica is the leader.
#[derive(Debug)]
pub(super) struct LevelController {
    state: Arc<ControlState>,
    control: Control,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
    statements: Mutex<BTreeMap<ReplicaId, Statement>>,
}

impl LevelController {
    pub(super) fn new(
        state: Arc<ControlState>,
        control: Control,
        peers: Arc<Peers>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            state,
            control,
            peers,
            clock,
            statements: Mutex::default(),
        }
    }

    /// Collects levels until the process ends.
    pub(super) async fn run(self: Arc<Self>) {
        let mut led_since = None;
        loop {
            Timer::after(CHECK_INTERVAL.to_duration()).await;
            let poll = match self.control.format_poll().await {
                Ok(poll) => poll,
                Err(error) => {
                    event(Level::Error, "level_check_failed", &[("error", &error)]);
                    return;
                }
            };
            let Some(poll) = poll else {
                led_since = None;
                self.statements().clear();
                self.state.set_replica_levels(BTreeMap::new());
                continue;
            };
            let now = self.clock.now();
            let led_since = *led_since.get_or_insert(now);
            self.ask_replicas(&poll, now);
            let stated: BTreeMap<ReplicaId, Option<FormatLevel>> = self
                .statements()
                .iter()
                .map(|(id, statement)| (id.clone(), statement.reads))
                .collect();
            let known = stated.iter();
            let statements = FormatStatements {
                replicas: known
                    .filter_map(|(id, reads)| Some((id.clone(), (*reads)?)))
                    .collect(),
                entries: self.state.entry_levels(),
                led_for: now.since(led_since),
            };
            let mut levels = stated;
            levels.insert(poll.leader, Some(FormatLevel::HIGHEST));
            self.state.set_replica_levels(levels);
            // An error means that the control thread has ended, which the next poll reports.
            let _ended = self.control.apply_statements(statements).await;
        }
    }

    /// Asks the replicas whose statements are missing or old, without waiting for the answers.
    fn ask_replicas(self: &Arc<Self>, poll: &FormatPoll, now: Millis) {
        let mut statements = self.statements();
        statements.retain(|id, _| poll.replicas.contains_key(id));
        for (id, address) in &poll.replicas {
            let previous = statements.get(id);
            let is_due = previous.is_none_or(|statement| {
                let is_good = statement.reads >= Some(FormatLevel::HIGHEST);
                let interval = if is_good {
                    REFRESH_INTERVAL
                } else {
                    ASK_TIMEOUT
                };
                now.since(statement.asked_at) >= interval
            });
            if !is_due {
                continue;
            }
            let reads = previous.and_then(|statement| statement.reads);
            let statement = Statement {
                reads,
                asked_at: now,
            };
            statements.insert(id.clone(), statement);
            let asking = Arc::clone(self).ask(id.clone(), address.clone(), poll.in_force);
            self.peers.spawn(asking);
        }
    }

    /// Asks a replica and records its answer.
    async fn ask(self: Arc<Self>, id: ReplicaId, address: String, in_force: FormatLevel) {
        let reply: Result<FormatReply, CallError> = self
            .peers
            .call(&address, Method::Format, &(), ASK_TIMEOUT)
            .await;
        let reads = match reply {
            // Another data folder of the VM is another replica.
            Ok(reply) if reply.replica == id => Some(reply.reads),
            Err(CallError::Refused { code, .. }) if code == METHOD_NOT_FOUND_CODE => {
                Some(FormatLevel::BASE)
            }
            _ => None,
        };
        let mut statements = self.statements();
        let Some(statement) = statements.get_mut(&id) else {
            return;
        };
        let lacks_level = reads.is_some_and(|reads| reads < in_force);
        if lacks_level && statement.reads != reads {
            event(
                Level::Error,
                "replica_lacks_level",
                &[("replica", &id), ("level", &in_force)],
            );
        }
        statement.reads = reads;
    }

    fn statements(&self) -> MutexGuard<'_, BTreeMap<ReplicaId, Statement>> {
        self.statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
