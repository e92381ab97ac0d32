//! The replica's state, what goes in and what comes out.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;

use super::Entry;
use super::Envelope;
use super::HardState;
use super::Index;
use super::Log;
use super::Members;
use super::Message;
use super::Payload;
use super::Position;
use super::ReplicaId;
use super::Snapshot;
use super::boot::Boot;

/// Shortest time without a leader after which a replica stands for election.
pub const ELECTION_LEAST: Millis = Millis::new(400);
/// Span over which elections are spread beyond the shortest time, in milliseconds.
pub const ELECTION_SPREAD: u64 = 300;
/// Time between heartbeats.
pub const HEARTBEAT: Millis = Millis::new(80);
/// Time for which a quorum's answer proves that nobody else leads, counted from its question.
///
/// It is shorter than [`ELECTION_LEAST`], so that clocks may run a quarter apart in rate.
pub const LEADER_LEASE: Millis = Millis::new(300);

/// Part that a replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads its term.
    Leader,
}

/// State that a replica starts from.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// What was remembered beside the log.
    pub hard_state: HardState,
    /// Place and members of the snapshot; its state is left empty.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What the owner must do, in this order: store, send, apply.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Hard state to store, if it changed.
    pub hard_state: Option<HardState>,
    /// Snapshot to store and load in place of everything, if one came.
    pub install: Option<Snapshot>,
    /// Entries to store; one whose number is taken replaces that entry and all later ones.
    pub entries: Vec<Entry>,
    /// Messages to send once all of the above is stored.
    pub messages: Vec<Envelope>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Tells whether something must be stored.
    pub const fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || self.install.is_some() || !self.entries.is_empty()
    }
}

/// Progress of another replica, as its leader sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub(super) matched: Index,
    pub(super) next: Index,
    pub(super) acked: Option<Millis>,
    pub(super) awaiting: Option<Millis>,
    /// Moment at which the leader began to send to the replica.
    pub(super) since: Millis,
}

/// Replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) address: String,
    pub(super) boot: Boot,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) stored: Index,
    pub(super) now: Millis,
    pub(super) heard: Millis,
    pub(super) timer: Millis,
    pub(super) wait: Millis,
    pub(super) beat: Millis,
    pub(super) led_since: Millis,
    pub(super) votes: BTreeSet<ReplicaId>,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) marks: BTreeMap<ReplicaId, (Term, Index)>,
    pub(super) snapshot: Snapshot,
    pub(super) yielding: Option<Millis>,
    /// Voters that the leader keeps up by itself, where it may.
    pub(super) target: Option<usize>,
    random: u64,
    ready: Ready,
}

impl Replica {
    /// Creates a replica from what it has stored.
    ///
    /// `seed` spreads its elections; `address` is told to others while the replica is blank.
    pub fn new(id: ReplicaId, address: &str, restored: Restored, seed: u64, now: Millis) -> Self {
        let is_blank = restored.snapshot.members.is_empty() && restored.entries.is_empty();
        let base = restored.snapshot.position;
        let log = Log::new(base, restored.snapshot.members.clone(), restored.entries);
        let last = log.last().index;
        let mut replica = Self {
            boot: Boot::new(is_blank),
            id,
            address: address.to_owned(),
            hard_state: restored.hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit: base.index,
            applied: base.index,
            stored: last,
            now,
            heard: now,
            timer: now,
            wait: ELECTION_LEAST,
            beat: now,
            led_since: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            marks: BTreeMap::new(),
            snapshot: restored.snapshot,
            yielding: None,
            target: None,
            random: seed | 1,
            ready: Ready::default(),
        };
        replica.draw_wait();
        replica
    }
}

/// # Looking at the replica
impl Replica {
    /// Returns the replica's name.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the part that the replica plays.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the replica's term.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader that the replica knows of.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the members that the replica works by.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the number of the last committed entry.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns how far the replica has come with starting.
    pub const fn boot(&self) -> &Boot {
        &self.boot
    }

    /// Returns the moment at which the replica began to lead.
    pub const fn led_since(&self) -> Millis {
        self.led_since
    }

    /// Tells whether the replica leads, beyond doubt, and has all that was ever accepted.
    pub fn is_current(&self, now: Millis) -> bool {
        let has_own = self.log.term(self.commit) == Some(self.hard_state.term);
        self.role == Role::Leader && self.yielding.is_none() && has_own && now < self.lease_end()
    }

    /// Returns until when the replica leads beyond doubt, where it does now.
    pub fn current_until(&self, now: Millis) -> Option<Millis> {
        self.is_current(now).then(|| self.lease_end())
    }

    fn lease_end(&self) -> Millis {
        match self.quorum_ack() {
            Some(acked) => acked + LEADER_LEASE,
            None => Millis::ZERO,
        }
    }

    /// Returns the latest moment for which a quorum has answered what was sent then.
    pub(super) fn quorum_ack(&self) -> Option<Millis> {
        let members = self.log.members();
        let mut acks: Vec<Millis> = members
            .voters()
            .filter_map(|id| {
                if *id == self.id {
                    return Some(self.now);
                }
                self.progress.get(id).and_then(|progress| progress.acked)
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(members.quorum() - 1).copied()
    }
}

/// # Driving the replica
impl Replica {
    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if !self.boot.is_open() || self.is_left_out() {
            self.tick_boot();
            return;
        }
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_follower(),
        }
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        self.now = self.now.max(now);
        let Envelope { from, to, message } = envelope;
        if matches!(message, Message::Hello { .. } | Message::PreVote { .. }) {
            self.tell_removed(&from);
        }
        if self.receive_boot(&from, &to, &message) || to != self.id {
            // What was meant for an earlier folder of this VM is not for this replica.
            return;
        }
        self.open_as_newcomer(&message);
        if self.boot.is_open() {
            self.receive_open(&from, message);
        }
    }

    fn receive_open(&mut self, from: &ReplicaId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(from, term, last),
            Message::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote {
                term,
                last,
                transfer,
            } => self.on_vote(from, term, last, transfer),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            Message::Append { .. } => self.on_append(from, message),
            Message::AppendReply {
                term,
                matched,
                last,
                sent,
            } => {
                self.on_append_reply(from, term, matched, last, sent);
            }
            Message::Install {
                term,
                snapshot,
                sent,
            } => {
                self.on_install(from, term, snapshot, sent);
            }
            Message::Stand { term } => self.on_stand(from, term),
            Message::Hello { .. }
            | Message::HelloReply { .. }
            | Message::Blank { .. }
            | Message::Found { .. }
            | Message::Removed { .. } => {}
        }
    }

    /// Adds commands to the log of a leader; returns the number of the first.
    ///
    /// Nothing is returned by a replica that does not lead.
    pub fn propose(&mut self, now: Millis, commands: Vec<Vec<u8>>) -> Option<Index> {
        self.now = self.now.max(now);
        if self.role != Role::Leader || self.yielding.is_some() {
            return None;
        }
        let first = self.log.last().index + 1;
        for command in commands {
            self.append_own(Payload::Command(command));
        }
        self.broadcast();
        Some(first)
    }

    /// Tells that everything of the last [`Ready`] is stored.
    pub fn stored(&mut self) {
        self.stored = self.log.last().index;
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Returns what is to be done since the last call.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        let upto = self.commit.min(self.stored);
        if upto > self.applied && ready.install.is_none() {
            ready.committed = self.log.range(self.applied + 1, upto).to_vec();
            self.applied = upto;
        }
        ready
    }

    /// Tells that the machine's state up to `snapshot` is stored; keeps `kept` entries before it.
    pub fn compacted(&mut self, snapshot: Snapshot, kept: u64) {
        let upto = snapshot.position.index.saturating_sub(kept);
        self.snapshot = snapshot;
        self.log.compact(upto);
    }

    /// Returns place and members to go with a snapshot of what was applied.
    pub fn snapshot_metadata(&self) -> Snapshot {
        let index = self.applied;
        let term = self.log.term(index).unwrap_or_default();
        Snapshot {
            position: Position { term, index },
            members: self.log.members_at(index).clone(),
            state: Vec::new(),
        }
    }
}

/// # Shared by the replica's parts
impl Replica {
    pub(super) fn send(&mut self, to: &ReplicaId, message: Message) {
        let envelope = Envelope {
            from: self.id.clone(),
            to: to.clone(),
            message,
        };
        self.ready.messages.push(envelope);
    }

    /// Sends on what `from` told.
    pub(super) fn pass_on(&mut self, from: &ReplicaId, to: &ReplicaId, message: Message) {
        let envelope = Envelope {
            from: from.clone(),
            to: to.clone(),
            message,
        };
        self.ready.messages.push(envelope);
    }

    pub(super) fn others(&self) -> Vec<ReplicaId> {
        let members = self.log.members().iter();
        members
            .map(|(id, _)| id)
            .filter(|id| **id != self.id)
            .cloned()
            .collect()
    }

    pub(super) fn set_hard(&mut self, term: Term, vote: Option<ReplicaId>) {
        self.hard_state = HardState { term, vote };
        self.ready.hard_state = Some(self.hard_state.clone());
    }

    pub(super) fn put(&mut self, entry: Entry) {
        self.stored = self.stored.min(entry.position.index - 1);
        self.log.put(entry.clone());
        self.ready.entries.push(entry);
    }

    pub(super) fn append_own(&mut self, payload: Payload) {
        let index = self.log.last().index + 1;
        let position = Position {
            term: self.hard_state.term,
            index,
        };
        self.put(Entry { position, payload });
    }

    pub(super) fn load(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        self.log = Log::new(position, snapshot.members.clone(), Vec::new());
        self.commit = position.index;
        self.applied = position.index;
        self.stored = position.index;
        self.ready.entries.clear();
        self.ready.install = Some(snapshot.clone());
        self.snapshot = snapshot;
    }

    pub(super) fn draw_wait(&mut self) {
        // Xorshift: all that is needed is that replicas do not stand at the same moment.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.wait = ELECTION_LEAST + Millis::new(self.random % ELECTION_SPREAD);
    }
}
