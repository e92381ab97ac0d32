//! State of a replica, its queries, inputs and outputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;

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
use super::earlier_promise::EarlierPromise;
use super::message::SendMarks;

/// Shortest time without a leader after which a replica starts an election.
pub const MIN_ELECTION_TIMEOUT: Millis = Millis::new(400);
/// Width of the random range added to [`MIN_ELECTION_TIMEOUT`], in milliseconds.
pub const ELECTION_TIMEOUT_SPREAD_MS: u64 = 300;
/// Interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis::new(80);
/// Duration of the leader lease, counted from the sending of a heartbeat that a quorum answered.
///
/// Until it expires no other replica can lead. It is shorter than [`MIN_ELECTION_TIMEOUT`], so
/// that the rates of the replicas' clocks may differ by a quarter.
pub const LEADER_LEASE: Millis = Millis::new(300);

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Collects pre-votes, to find out whether it could win an election.
    PreCandidate,
    /// Collects votes in an election.
    Candidate,
    /// Leads its term.
    Leader,
}

/// Persisted state that a replica starts from.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Work that the replica's driver must do, in this order: store, send, apply.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Hard state to store, if it changed.
    pub hard_state: Option<HardState>,
    /// Snapshot to store and to load in place of the log and the state, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries to store; each replaces a stored entry of the same index and all later ones.
    pub entries: Vec<Entry>,
    /// Messages to send once all of the above is durable.
    pub messages: Vec<Envelope>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Tells whether anything must be made durable before the messages are sent.
    pub const fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}

/// Replication progress of another replica, as tracked by the leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Highest index that the replica is known to have stored.
    pub(super) matched: Index,
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// Sending time of the latest message that the replica has answered.
    pub(super) last_acked_sent: Option<Millis>,
    /// Sending time of the message with entries or a snapshot that the replica has not answered.
    pub(super) unanswered_sent: Option<Millis>,
    /// Time at which the leader started to send to the replica.
    pub(super) started_at: Millis,
}

/// Raft replica.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) address: String,
    pub(super) boot: Boot,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) role: Role,
    /// Leader of the current term, if known.
    pub(super) leader: Option<ReplicaId>,
    /// Index of the last entry known to be committed.
    pub(super) commit: Index,
    /// Index of the last entry that was returned to be applied.
    pub(super) applied: Index,
    /// Last index that is durable on this replica's own disk.
    pub(super) persisted: Index,
    /// Latest time passed to a method of the replica.
    pub(super) now: Millis,
    /// Time at which the last message from a leader arrived, or at which the replica opened.
    pub(super) last_heard: Millis,
    /// Time from which a leader's lease may rely on an answer of this replica, if one may.
    ///
    /// At first it is the start of this replica, as it may have answered a leader just before.
    pub(super) bound_since: Option<Millis>,
    /// Promise from before the start, until it is released or has ended.
    pub(super) earlier_promise: Option<EarlierPromise>,
    /// Time from which the election timeout is counted.
    pub(super) timer_start: Millis,
    pub(super) election_timeout: Millis,
    /// Time at which this replica last sent heartbeats as leader.
    pub(super) last_heartbeat: Millis,
    /// Time at which this replica last became leader.
    pub(super) led_since: Millis,
    /// Marks of the messages that this replica has sent since then.
    pub(super) send_marks: SendMarks,
    /// Answers that were ignored, as they belong to no message of the leadership that received them.
    pub(super) foreign_replies: u64,
    /// Replicas that granted their pre-vote or vote in the current round.
    pub(super) votes: BTreeSet<ReplicaId>,
    /// Replication progress of each other member, while this replica leads.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Highest term and index that each replica has acknowledged, for rollback checks.
    pub(super) acknowledged_by: BTreeMap<ReplicaId, (Term, Index)>,
    /// Address of each VM whose replica has sent a message without being a known member.
    heard_addresses: BTreeMap<VmId, String>,
    /// Latest snapshot, for followers that lag behind the log.
    pub(super) snapshot: Snapshot,
    /// Time at which the leader began to transfer its leadership.
    pub(super) transfer_start: Option<Millis>,
    /// Number of voters that the leader maintains automatically; `None` disables self-repair.
    pub(super) target_voters: Option<usize>,
    /// State of the random numbers for election timeouts; never 0.
    random: u64,
    /// Blank replicas that may join; `None` for any.
    pub(super) admissible: Option<BTreeSet<ReplicaId>>,
    /// Work that the next [`Replica::take_ready`] returns.
    ready: Ready,
}

impl Replica {
    /// Creates a replica from its persisted state.
    ///
    /// `seed` randomises its election timeouts. While the replica is blank, it announces `address`
    /// to the founders.
    pub fn new(
        id: ReplicaId,
        address: &str,
        restored: PersistedState,
        seed: u64,
        now: Millis,
    ) -> Self {
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
            persisted: last,
            now,
            last_heard: now,
            bound_since: Some(now),
            earlier_promise: (!is_blank).then(|| EarlierPromise::new(seed)),
            timer_start: now,
            election_timeout: MIN_ELECTION_TIMEOUT,
            last_heartbeat: now,
            led_since: now,
            send_marks: SendMarks::new(seed, now),
            foreign_replies: 0,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            acknowledged_by: BTreeMap::new(),
            heard_addresses: BTreeMap::new(),
            snapshot: restored.snapshot,
            transfer_start: None,
            target_voters: None,
            admissible: None,
            random: seed | 1,
            ready: Ready::default(),
        };
        replica.draw_election_timeout();
        replica
    }
}

/// # Queries
impl Replica {
    /// Returns the address to which messages for a replica are sent: that in the member list, else the
    /// one that the replica's VM has sent from, else the configured one of a founder.
    pub fn address_of(&self, id: &ReplicaId) -> Option<&str> {
        let member = self.log.members().get(id);
        let address = member.map(|member| member.address.as_str());
        let heard = || self.heard_addresses.get(&id.vm).map(String::as_str);
        address
            .or_else(heard)
            .or_else(|| self.boot.founder_address(&id.vm))
    }

    /// Returns the replica's id.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the replica's role.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the highest term that the replica has seen.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the term, if the replica knows it.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the members as of the last log entry, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the index of the last entry known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the progress of the replica's start-up.
    pub const fn boot(&self) -> &Boot {
        &self.boot
    }

    /// Returns the time at which the replica last became leader.
    pub const fn led_since(&self) -> Millis {
        self.led_since
    }

    /// Returns how many answers this replica has ignored since its start, because no message of the
    /// leadership that received them is what they answer.
    pub const fn foreign_replies(&self) -> u64 {
        self.foreign_replies
    }

    /// Tells whether the replica is proven to know every committed command.
    ///
    /// It must lead, not be transferring its leadership, hold a valid leader lease, and have
    /// applied an entry of its own term: a query may come between the commit of that entry and the turn
    /// that applies it with all before it. What is committed later is acknowledged only once applied.
    pub fn is_current(&self, now: Millis) -> bool {
        let has_applied_in_term = self.log.term(self.applied) == Some(self.hard_state.term);
        self.role == Role::Leader
            && self.transfer_start.is_none()
            && has_applied_in_term
            && now < self.lease_end()
    }

    /// Returns the end of the leader lease, if the replica [is current](Self::is_current).
    pub fn current_until(&self, now: Millis) -> Option<Millis> {
        self.is_current(now).then(|| self.lease_end())
    }

    /// Returns the end of the lease.
    ///
    /// Only replicas that have stored the member list count: one that restarts is released from its
    /// promise once all members that it knows of have answered, which must include this leader.
    fn lease_end(&self) -> Millis {
        let list_index = self.log.last_members_change().max(self.log.base().index);
        match self.quorum_ack(list_index) {
            Some(acked) => acked + LEADER_LEASE,
            None => Millis::ZERO,
        }
    }

    /// Returns the latest time such that a quorum has answered a message sent then or later, of
    /// replicas whose logs are known to agree up to the index `min_matched`.
    pub(super) fn quorum_ack(&self, min_matched: Index) -> Option<Millis> {
        let members = self.log.members();
        let mut acks: Vec<Millis> = members
            .voters()
            .filter_map(|id| {
                if *id == self.id {
                    return Some(self.now);
                }
                let progress = self.progress.get(id)?;
                let is_known_to_agree = progress.matched >= min_matched;
                progress.last_acked_sent.filter(|_| is_known_to_agree)
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(members.quorum() - 1).copied()
    }
}

/// # Inputs and outputs
impl Replica {
    /// Advances the replica's clock to `now`, which may start elections, heartbeats and repairs.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.expire_earlier_promise();
        if !self.boot.is_open() || self.may_be_removed() {
            self.tick_boot();
            return;
        }
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_follower(),
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        self.now = self.now.max(now);
        let Envelope {
            from,
            address,
            to,
            message,
        } = envelope;
        self.record_address(&from, address);
        if matches!(
            message,
            Message::RollbackCheckRequest { .. } | Message::PreVoteRequest { .. }
        ) {
            self.notify_removed(&from);
        }
        if self.receive_boot(&from, &to, &message) || to != self.id {
            // The message belongs to start-up, or is for a replica of an earlier data folder.
            return;
        }
        self.open_if_admitted(&message);
        if self.boot.is_open() {
            self.receive_open(&from, message);
        }
    }

    /// Records the address of a sender that the member list does not name.
    ///
    /// A blank replica that is admitted has to answer the leader before it has any member list, and the
    /// leader need not be a founder.
    fn record_address(&mut self, from: &ReplicaId, address: String) {
        if self.log.members().get(from).is_none() {
            self.heard_addresses.insert(from.vm.clone(), address);
        }
    }

    fn receive_open(&mut self, from: &ReplicaId, message: Message) {
        match message {
            Message::PreVoteRequest { term, last } => self.on_pre_vote(from, term, last),
            Message::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            Message::VoteRequest {
                term,
                last,
                is_transfer,
            } => self.on_vote(from, term, last, is_transfer),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            Message::AppendRequest { .. } => self.on_append(from, message),
            Message::AppendReply {
                term,
                matched,
                last,
                mark,
            } => {
                self.on_append_reply(from, term, matched, last, mark);
            }
            Message::InstallSnapshot {
                term,
                snapshot,
                mark,
            } => {
                self.on_install_snapshot(from, term, snapshot, mark);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(from, term),
            Message::RollbackCheckRequest { .. }
            | Message::RollbackCheckReply { .. }
            | Message::AnnounceBlank { .. }
            | Message::Bootstrap { .. }
            | Message::Removed { .. } => {}
        }
    }

    /// Appends commands to the leader's log and returns the index of the first.
    ///
    /// Returns `None` if the replica does not lead or is transferring its leadership.
    pub fn propose(&mut self, now: Millis, commands: Vec<Vec<u8>>) -> Option<Index> {
        self.now = self.now.max(now);
        if self.role != Role::Leader || self.transfer_start.is_some() {
            return None;
        }
        let first = self.log.last().index + 1;
        for command in commands {
            self.append(Payload::Command(command));
        }
        self.broadcast();
        Some(first)
    }

    /// Records that everything in the last [`Ready`] is durable.
    pub fn mark_persisted(&mut self) {
        self.persisted = self.log.last().index;
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Stops leading, for a node that takes no part any more.
    pub const fn step_down(&mut self) {
        self.role = Role::Follower;
    }

    /// Returns and clears the work that has accumulated since the last call.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        let upto = self.commit.min(self.persisted);
        if upto > self.applied && ready.snapshot.is_none() {
            ready.committed = self.log.range(self.applied + 1, upto).to_vec();
            self.applied = upto;
        }
        ready
    }

    /// Compacts the log to the last `retained` entries before `snapshot`, which must be durable.
    pub fn compact(&mut self, snapshot: Snapshot, retained: u64) {
        let upto = snapshot.position.index.saturating_sub(retained);
        self.snapshot = snapshot;
        self.log.compact(upto);
    }

    /// Returns a snapshot of the applied entries with position and members, but without state.
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

/// # Helpers of the replica's modules
impl Replica {
    pub(super) fn send(&mut self, to: &ReplicaId, message: Message) {
        let envelope = Envelope {
            from: self.id.clone(),
            address: self.address.clone(),
            to: to.clone(),
            message,
        };
        self.ready.messages.push(envelope);
    }

    /// Forwards a message to `to`, with its original sender `from` and the sender's address.
    pub(super) fn forward(
        &mut self,
        from: &ReplicaId,
        address: &str,
        to: &ReplicaId,
        message: Message,
    ) {
        let envelope = Envelope {
            from: from.clone(),
            address: address.to_owned(),
            to: to.clone(),
            message,
        };
        self.ready.messages.push(envelope);
    }

    pub(super) fn other_members(&self) -> Vec<ReplicaId> {
        let members = self.log.members().iter();
        members
            .map(|(id, _)| id)
            .filter(|id| **id != self.id)
            .cloned()
            .collect()
    }

    pub(super) fn set_hard_state(&mut self, term: Term, vote: Option<ReplicaId>) {
        self.hard_state = HardState { term, vote };
        self.ready.hard_state = Some(self.hard_state.clone());
    }

    /// Puts an entry into the log in place of an entry of the same index and all later ones.
    pub(super) fn put(&mut self, entry: Entry) {
        self.persisted = self.persisted.min(entry.position.index - 1);
        self.log.put(entry.clone());
        self.ready.entries.push(entry);
    }

    /// Appends a new entry of the current term to the log.
    pub(super) fn append(&mut self, payload: Payload) {
        let index = self.log.last().index + 1;
        let position = Position {
            term: self.hard_state.term,
            index,
        };
        self.put(Entry { position, payload });
    }

    /// Replaces the log and the state by a snapshot.
    pub(super) fn load(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        self.log = Log::new(position, snapshot.members.clone(), Vec::new());
        self.commit = position.index;
        self.applied = position.index;
        self.persisted = position.index;
        self.ready.entries.clear();
        self.ready.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot;
    }

    pub(super) fn draw_election_timeout(&mut self) {
        self.election_timeout =
            MIN_ELECTION_TIMEOUT + Millis::new(self.draw() % ELECTION_TIMEOUT_SPREAD_MS);
    }

    /// Draws a number.
    ///
    /// Xorshift is good enough: elections only need to start at different times, and numbers to differ
    /// between leaderships.
    pub(super) const fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}
