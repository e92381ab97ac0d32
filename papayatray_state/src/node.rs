//! Node: a replica with its store and its state machine, driven by an event loop.

use std::collections::BTreeMap;
use std::sync::Arc;

use displaydoc::Display;
use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;

use crate::machine::Command;
use crate::machine::Reply;
use crate::machine::StateMachine;
use crate::machine::TimestampedCommand;
use crate::replica::Entry;
use crate::replica::Envelope;
use crate::replica::Index;
use crate::replica::Payload;
use crate::replica::Replica;
use crate::replica::ReplicaId;
use crate::replica::Role;
use crate::replica::Snapshot;
use crate::storage::Disk;
use crate::storage::Store;
use crate::storage::StoreContent;
use crate::storage::StoreError;

/// Bytes of applied commands since the last snapshot that trigger a new one.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// Applied entries since the last snapshot that trigger a new one.
const SNAPSHOT_ENTRIES: u64 = 20_000;
/// Maximum number of log entries up to a snapshot's position that are retained in memory and on
/// disk, for followers that lag slightly.
const MAX_RETAINED_ENTRIES: u64 = 2_000;
/// Maximum bytes of commands in these entries; a follower that lags further gets a snapshot.
const MAX_RETAINED_BYTES: usize = 1 << 20;

/// Number that pairs a proposed command with its reply, chosen by the code that proposes it.
pub type ProposalId = u64;

/// Reason why a proposed command has no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ProposeError {
    /// this replica is not the leader
    NotLeader,
    /// leadership was lost or the disk failed before the commit; the command may still take effect
    Unknown,
    /// the disk of this replica failed before the command was proposed
    DiskFailed,
}

impl std::error::Error for ProposeError {}

/// Log entry or snapshot that this build cannot decode, at which the node has stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Halt {
    /// Index of the entry, or of the last entry in the snapshot.
    pub index: Index,
    /// Lowest format level that a build must read to go on.
    pub lacks: FormatLevel,
    /// What could not be decoded.
    pub cause: String,
}

/// Plan that has come into force.
#[derive(Clone, Debug)]
pub enum PlanUpdate {
    /// The plan of a restored state; the plans before it are not known.
    Restored(Arc<Plan>),
    /// The plan that follows the one in force before.
    Published(Arc<Plan>),
}

/// Output of a [`Node::turn`].
#[derive(Debug, Default)]
pub struct Turn {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Results of proposed commands.
    pub replies: Vec<(ProposalId, Result<Reply, ProposeError>)>,
    /// Whether an entry was applied or a snapshot loaded.
    pub applied: bool,
    /// Plans that have come into force since the last turn, in order.
    pub plans: Vec<PlanUpdate>,
}

/// Replica with its store and state machine.
#[derive(Debug)]
pub struct Node<D> {
    replica: Replica,
    store: Store<D>,
    machine: StateMachine,
    /// Proposed commands that are not applied yet, by log index.
    pending: BTreeMap<Index, (Term, ProposalId)>,
    /// Encoded commands that the next turn proposes.
    proposals: Vec<(ProposalId, Vec<u8>)>,
    /// Errors of proposals, which the current or next turn returns.
    rejected: Vec<(ProposalId, ProposeError)>,
    /// Bytes of commands and number of entries applied since the last snapshot.
    applied_since_snapshot: (u64, u64),
    /// Plans that the next turn returns.
    plans: Vec<PlanUpdate>,
    /// Set for good once an entry or a snapshot could not be decoded.
    halt: Option<Halt>,
}

impl<D> Node<D>
where
    D: Disk,
{
    /// Creates a node from a store and its loaded content.
    ///
    /// `seed` randomises the election timeouts.
    ///
    /// # Errors
    ///
    /// Fails if this build cannot decode the state of the snapshot.
    pub fn new(
        id: ReplicaId,
        address: &str,
        store: Store<D>,
        loaded: StoreContent,
        seed: u64,
        now: Millis,
    ) -> Result<Self, StoreError> {
        let machine = StateMachine::from_state(&loaded.restored.snapshot.state)?;
        Ok(Self {
            plans: restored_plan(&machine).into_iter().collect(),
            replica: Replica::new(id, address, loaded.restored, seed, now),
            store,
            machine,
            pending: BTreeMap::new(),
            proposals: Vec::new(),
            rejected: Vec::new(),
            applied_since_snapshot: (0, 0),
            halt: None,
        })
    }

    /// Sets the addresses of the founding VMs, and the replica whose data folder this VM discarded,
    /// if any.
    pub fn set_founders(
        &mut self,
        founders: BTreeMap<VmId, String>,
        predecessor: Option<ReplicaId>,
    ) {
        self.replica.set_founders(founders);
        self.replica.set_predecessor(predecessor);
    }

    /// Prevents the replica from founding a deployment; called if the founders already form one.
    pub const fn disable_bootstrap(&mut self) {
        self.replica.disable_bootstrap();
    }

    /// Returns the replica.
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replica, to change its members or to transfer its leadership.
    pub const fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Returns the state machine.
    pub const fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Returns the entry or snapshot that this build cannot decode, if there was one; the node then takes
    /// no part in the group any more.
    pub const fn halt(&self) -> Option<&Halt> {
        self.halt.as_ref()
    }

    /// Returns the store.
    pub const fn store(&self) -> &Store<D> {
        &self.store
    }

    /// Consumes the node and returns its disk, without any further write, as after a crash.
    pub fn into_disk(self) -> D {
        self.store.into_disk()
    }

    /// Handles a message from another replica; ignored once the store has failed or the node has halted.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        if !self.store.is_failed() && self.halt.is_none() {
            self.replica.receive(now, envelope);
        }
    }

    /// Queues a command received at the time `at` since the Unix epoch; the next turn proposes it.
    pub fn propose(&mut self, id: ProposalId, command: Command, at: Millis) {
        match postcard::to_stdvec(&TimestampedCommand { at, command }) {
            Ok(bytes) => self.proposals.push((id, bytes)),
            Err(_unencodable) => self.rejected.push((id, ProposeError::NotLeader)),
        }
    }

    /// Advances the node to `now`: proposes the queued commands, makes entries durable with one
    /// sync, and applies what is committed.
    pub fn turn(&mut self, now: Millis) -> Turn {
        let mut turn = Turn::default();
        if self.halt.is_some() {
            self.reject_all(&mut turn);
            return turn;
        }
        if self.store.is_failed() {
            self.fail_all(&mut turn);
            return turn;
        }
        self.replica.tick(now);
        self.propose_all(now);
        self.process_ready(&mut turn);
        turn.plans = std::mem::take(&mut self.plans);
        self.fail_superseded();
        let rejected = self.rejected.drain(..);
        turn.replies
            .extend(rejected.map(|(id, error)| (id, Err(error))));
        turn
    }

    fn propose_all(&mut self, now: Millis) {
        if self.proposals.is_empty() {
            return;
        }
        let (ids, commands): (Vec<_>, Vec<_>) = self.proposals.drain(..).unzip();
        let Some(first) = self.replica.propose(now, commands) else {
            let rejected = ids.into_iter().map(|id| (id, ProposeError::NotLeader));
            self.rejected.extend(rejected);
            return;
        };
        let term = self.replica.term();
        let pending = ids
            .into_iter()
            .zip(first..)
            .map(|(id, index)| (index, (term, id)));
        self.pending.extend(pending);
    }

    /// Stores, sends and applies what the replica has ready, until nothing is left to do.
    fn process_ready(&mut self, turn: &mut Turn) {
        while self.halt.is_none() {
            let ready = self.replica.take_ready();
            if let Some(snapshot) = &ready.snapshot
                && !self.load_snapshot(snapshot)
            {
                return;
            }
            let needs_sync = ready.needs_sync();
            if !needs_sync && ready.messages.is_empty() && ready.committed.is_empty() {
                return;
            }
            if needs_sync && self.store.save(&ready).is_err() {
                self.fail_all(turn);
                return;
            }
            turn.applied |= ready.snapshot.is_some();
            turn.messages.extend(ready.messages);
            for entry in &ready.committed {
                if !self.apply(entry, turn) {
                    return;
                }
            }
            self.replica.mark_persisted();
            self.take_snapshot();
        }
    }

    /// Loads a leader's snapshot; halts and returns false if this build cannot decode it.
    fn load_snapshot(&mut self, snapshot: &Snapshot) -> bool {
        match StateMachine::from_state(&snapshot.state) {
            Ok(machine) => {
                self.plans.extend(restored_plan(&machine));
                self.machine = machine;
                self.applied_since_snapshot = (0, 0);
                true
            }
            Err(error) => {
                self.halt_at(Halt {
                    index: snapshot.position.index,
                    lacks: error.lacks(),
                    cause: format!("the state of a snapshot: {error}"),
                });
                false
            }
        }
    }

    /// Stops taking part in the group. A skipped entry would make this replica's state differ from that
    /// of the others.
    fn halt_at(&mut self, halt: Halt) {
        self.halt = Some(halt);
        self.replica.step_down();
    }

    /// Applies an entry; halts and returns false if this build cannot decode it.
    fn apply(&mut self, entry: &Entry, turn: &mut Turn) -> bool {
        let reply = match &entry.payload {
            Payload::Command(bytes) => match decode_command(bytes) {
                Ok(timestamped) => {
                    self.applied_since_snapshot.0 += bytes.len() as u64;
                    Some(self.apply_command(&timestamped))
                }
                Err((lacks, cause)) => {
                    let index = entry.position.index;
                    self.halt_at(Halt {
                        index,
                        lacks,
                        cause,
                    });
                    return false;
                }
            },
            Payload::Noop | Payload::Members(_) => None,
        };
        turn.applied = true;
        self.applied_since_snapshot.1 += 1;
        let Some((term, id)) = self.pending.remove(&entry.position.index) else {
            return true;
        };
        let is_same_term = term == entry.position.term;
        let result = reply.filter(|_| is_same_term).ok_or(ProposeError::Unknown);
        turn.replies.push((id, result));
        true
    }

    /// Applies a command, and records the plan that it has put in force, if any.
    fn apply_command(&mut self, timestamped: &TimestampedCommand) -> Reply {
        let before = plan_version(&self.machine);
        let reply = self.machine.apply(timestamped);
        if plan_version(&self.machine) > before
            && let Some(publication) = self.machine.publication()
        {
            let plan = Arc::new(publication.plan.clone());
            self.plans.push(PlanUpdate::Published(plan));
        }
        reply
    }

    /// Fails all pending and queued commands, because the node has halted.
    fn reject_all(&mut self, turn: &mut Turn) {
        self.fail_superseded();
        let proposed = self.proposals.drain(..).map(|(id, _)| id);
        let rejected = proposed.map(|id| (id, Err(ProposeError::NotLeader)));
        turn.replies.extend(rejected);
        let failed = self.rejected.drain(..).map(|(id, error)| (id, Err(error)));
        turn.replies.extend(failed);
    }

    /// Fails the pending commands if this replica no longer leads, because the entries of another
    /// leader may replace them.
    fn fail_superseded(&mut self) {
        if self.replica.role() == Role::Leader || self.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        let unknown = pending
            .into_values()
            .map(|(_, id)| (id, ProposeError::Unknown));
        self.rejected.extend(unknown);
    }

    /// Fails all pending and queued commands, because the store has failed.
    fn fail_all(&mut self, turn: &mut Turn) {
        turn.messages.clear();
        let pending = std::mem::take(&mut self.pending).into_values();
        turn.replies
            .extend(pending.map(|(_, id)| (id, Err(ProposeError::Unknown))));
        let proposed = self.proposals.drain(..).map(|(id, _)| id);
        let rejected = self.rejected.drain(..).map(|(id, _)| id);
        turn.replies.extend(
            proposed
                .chain(rejected)
                .map(|id| (id, Err(ProposeError::DiskFailed))),
        );
    }

    fn take_snapshot(&mut self) {
        let (bytes, entries) = self.applied_since_snapshot;
        if bytes < SNAPSHOT_BYTES && entries < SNAPSHOT_ENTRIES {
            return;
        }
        let Ok(state) = self.machine.to_state() else {
            return;
        };
        self.applied_since_snapshot = (0, 0);
        let snapshot = Snapshot {
            state,
            ..self.replica.snapshot_metadata()
        };
        let retained = self.replica.log().count_tail(
            snapshot.position.index,
            MAX_RETAINED_ENTRIES,
            MAX_RETAINED_BYTES,
        );
        let last_obsolete = snapshot.position.index.saturating_sub(retained);
        if self.store.save_snapshot(&snapshot, last_obsolete).is_ok() {
            self.replica.compact(snapshot, retained);
        }
    }
}

fn plan_version(machine: &StateMachine) -> Option<PlanVersion> {
    let publication = machine.publication();
    publication.map(|publication| publication.plan.version)
}

/// Returns the plan of a state that has just been restored, if there is one.
fn restored_plan(machine: &StateMachine) -> Option<PlanUpdate> {
    let publication = machine.publication()?;
    let plan = Arc::new(publication.plan.clone());
    Some(PlanUpdate::Restored(plan))
}

/// Decodes the command of a log entry; if that fails, returns the level that is needed and the cause.
fn decode_command(bytes: &[u8]) -> Result<TimestampedCommand, (FormatLevel, String)> {
    let decoded: Result<TimestampedCommand, _> = postcard::from_bytes(bytes);
    match decoded {
        Ok(TimestampedCommand {
            command: Command::RaiseLevel(level),
            ..
        }) if !level.is_readable() => Err((level, format!("the format level {level}"))),
        Ok(timestamped) => Ok(timestamped),
        Err(error) => {
            let cause = format!("a command: {error}");
            Err((FormatLevel::HIGHEST.next(), cause))
        }
    }
}
