//! Node: a replica with its store and its machine, driven one turn at a time.

use std::collections::BTreeMap;

use displaydoc::Display;
use papayatray_core::clock::Millis;
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
use crate::storage::Loaded;
use crate::storage::Store;
use crate::storage::StoreError;

/// Bytes of commands applied after which a snapshot is taken.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// Entries applied after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 20_000;
/// Entries kept before a snapshot, for followers that are a little behind.
const KEPT_ENTRIES: u64 = 2_000;
/// Bytes of commands kept before a snapshot; a follower further behind gets the snapshot.
const KEPT_BYTES: usize = 1 << 20;

/// Name under which the owner waits for a reply.
pub type ProposalId = u64;

/// Why a command was not answered.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// this replica does not lead
    NotLeader,
    /// the leader changed before the command was committed; it may or may not have been accepted
    Unknown,
    /// the disk failed
    DiskFailed,
}

impl std::error::Error for Refusal {}

/// What a node did in a turn.
#[derive(Debug, Default)]
pub struct Turn {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Answers to commands.
    pub replies: Vec<(ProposalId, Result<Reply, Refusal>)>,
    /// Whether something was applied.
    pub applied: bool,
}

/// Replica with its store and machine.
#[derive(Debug)]
pub struct Node<D> {
    replica: Replica,
    store: Store<D>,
    machine: StateMachine,
    waiting: BTreeMap<Index, (Term, ProposalId)>,
    proposals: Vec<(ProposalId, Vec<u8>)>,
    refused: Vec<(ProposalId, Refusal)>,
    since_snapshot: (u64, u64),
}

impl<D> Node<D>
where
    D: Disk,
{
    /// Creates a node from what `store` has loaded.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the snapshot's state.
    pub fn new(
        id: ReplicaId,
        address: &str,
        store: Store<D>,
        loaded: Loaded,
        seed: u64,
        now: Millis,
    ) -> Result<Self, StoreError> {
        let machine = StateMachine::from_state(&loaded.restored.snapshot.state)?;
        Ok(Self {
            replica: Replica::new(id, address, loaded.restored, seed, now),
            store,
            machine,
            waiting: BTreeMap::new(),
            proposals: Vec::new(),
            refused: Vec::new(),
            since_snapshot: (0, 0),
        })
    }

    /// Names the VMs that found the deployment, with their addresses, and this one's former name.
    pub fn set_founders(&mut self, founders: BTreeMap<VmId, String>, was: Option<ReplicaId>) {
        self.replica.set_founders(founders);
        self.replica.set_predecessor(was);
    }

    /// Keeps the replica from founding a deployment.
    pub const fn disable_bootstrap(&mut self) {
        self.replica.disable_bootstrap();
    }

    /// Returns the address that a founding VM was named with.
    pub fn founder_address(&self, vm: &VmId) -> Option<&str> {
        self.replica.boot().founder_address(vm)
    }

    /// Returns the replica.
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replica, to change its members or to hand over.
    pub const fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Returns the machine.
    pub const fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Returns the store.
    pub const fn store(&self) -> &Store<D> {
        &self.store
    }

    /// Returns the disk and ends the node, as a crash would.
    pub fn into_disk(self) -> D {
        self.store.into_disk()
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        if !self.store.is_failed() {
            self.replica.receive(now, envelope);
        }
    }

    /// Takes in a command that came at the wall-clock moment `at`; the next turn proposes it.
    pub fn propose(&mut self, token: ProposalId, command: Command, at: Millis) {
        match postcard::to_stdvec(&TimestampedCommand { at, command }) {
            Ok(bytes) => self.proposals.push((token, bytes)),
            Err(_unencodable) => self.refused.push((token, Refusal::NotLeader)),
        }
    }

    /// Takes one turn: proposes, stores with one sync, and applies.
    pub fn turn(&mut self, now: Millis) -> Turn {
        let mut turn = Turn::default();
        if self.store.is_failed() {
            self.refuse_all(&mut turn);
            return turn;
        }
        self.replica.tick(now);
        self.propose_all(now);
        self.run(&mut turn);
        self.drop_overtaken();
        let refused = self.refused.drain(..);
        turn.replies
            .extend(refused.map(|(token, refusal)| (token, Err(refusal))));
        turn
    }

    fn propose_all(&mut self, now: Millis) {
        if self.proposals.is_empty() {
            return;
        }
        let (tokens, commands): (Vec<_>, Vec<_>) = self.proposals.drain(..).unzip();
        let Some(first) = self.replica.propose(now, commands) else {
            let refused = tokens.into_iter().map(|token| (token, Refusal::NotLeader));
            self.refused.extend(refused);
            return;
        };
        let term = self.replica.term();
        let waiting = tokens
            .into_iter()
            .zip(first..)
            .map(|(token, at)| (at, (term, token)));
        self.waiting.extend(waiting);
    }

    /// Stores, sends and applies until nothing is left to do.
    fn run(&mut self, turn: &mut Turn) {
        loop {
            let ready = self.replica.take_ready();
            let needs_sync = ready.needs_sync();
            if !needs_sync && ready.messages.is_empty() && ready.committed.is_empty() {
                return;
            }
            if needs_sync && self.store.save(&ready).is_err() {
                self.refuse_all(turn);
                return;
            }
            if let Some(snapshot) = &ready.install {
                self.load(snapshot);
                turn.applied = true;
            }
            turn.messages.extend(ready.messages);
            for entry in &ready.committed {
                self.apply(entry, turn);
            }
            self.replica.stored();
            self.take_snapshot();
        }
    }

    fn load(&mut self, snapshot: &Snapshot) {
        if let Ok(machine) = StateMachine::from_state(&snapshot.state) {
            self.machine = machine;
            self.since_snapshot = (0, 0);
        }
    }

    fn apply(&mut self, entry: &Entry, turn: &mut Turn) {
        turn.applied = true;
        let reply = match &entry.payload {
            Payload::Command(bytes) => {
                self.since_snapshot.0 += bytes.len() as u64;
                postcard::from_bytes(bytes)
                    .ok()
                    .map(|stamped| self.machine.apply(&stamped))
            }
            Payload::Blank | Payload::Members(_) => None,
        };
        self.since_snapshot.1 += 1;
        let Some((term, token)) = self.waiting.remove(&entry.position.index) else {
            return;
        };
        let is_own = term == entry.position.term;
        let answer = reply.filter(|_| is_own).ok_or(Refusal::Unknown);
        turn.replies.push((token, answer));
    }

    /// Answers commands that another leader's entries have taken the place of.
    fn drop_overtaken(&mut self) {
        if self.replica.role() == Role::Leader || self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let unknown = waiting
            .into_values()
            .map(|(_, token)| (token, Refusal::Unknown));
        self.refused.extend(unknown);
    }

    /// Answers everything that waits, since nothing can be stored any more.
    fn refuse_all(&mut self, turn: &mut Turn) {
        turn.messages.clear();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        turn.replies
            .extend(waiting.map(|(_, token)| (token, Err(Refusal::Unknown))));
        let proposed = self.proposals.drain(..).map(|(token, _)| token);
        let refused = self.refused.drain(..).map(|(token, _)| token);
        turn.replies.extend(
            proposed
                .chain(refused)
                .map(|token| (token, Err(Refusal::DiskFailed))),
        );
    }

    fn take_snapshot(&mut self) {
        let (bytes, entries) = self.since_snapshot;
        if bytes < SNAPSHOT_BYTES && entries < SNAPSHOT_ENTRIES {
            return;
        }
        let Ok(state) = self.machine.to_state() else {
            return;
        };
        self.since_snapshot = (0, 0);
        let snapshot = Snapshot {
            state,
            ..self.replica.snapshot_metadata()
        };
        let kept = self
            .replica
            .log()
            .tail(snapshot.position.index, KEPT_ENTRIES, KEPT_BYTES);
        let needless = snapshot.position.index.saturating_sub(kept);
        if self.store.save_snapshot(&snapshot, needless).is_ok() {
            self.replica.compacted(snapshot, kept);
        }
    }
}
