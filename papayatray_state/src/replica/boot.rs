//! Start-up of a replica: founding a deployment, or checking that its data folder was not rolled
//! back to an older copy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;

use super::Index;
use super::Members;
use super::Message;
use super::Position;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::Snapshot;
use super::core::MIN_ELECTION_TIMEOUT;
use super::repair::LOST_TIMEOUT;

/// Interval at which a replica repeats its announcement as blank or its rollback checks.
const BOOT_MESSAGE_INTERVAL: Millis = Millis::new(200);
/// Log position of the founding member list.
const FOUNDING_POSITION: Position = Position {
    term: Term(0),
    index: 1,
};

/// Start-up stage of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The data folder is empty; the replica is not a member of any deployment.
    Blank,
    /// The replica is waiting for a quorum to confirm that its data folder was not rolled back.
    Confirming,
    /// The replica takes part in elections and replication.
    Open,
    /// The data folder was rolled back, or the replica was removed; it never takes part again.
    Stale,
}

/// Progress of a replica's start-up.
#[derive(Clone, Debug)]
pub struct Boot {
    stage: Stage,
    /// Replicas that have confirmed that this one's data folder was not rolled back.
    confirmed_by: BTreeSet<ReplicaId>,
    /// Blank replicas that have announced themselves to this one.
    blanks: BTreeMap<ReplicaId, BlankReplica>,
    /// Addresses of the founding VMs.
    founders: BTreeMap<VmId, String>,
    /// Whether this replica may found a new deployment.
    can_bootstrap: bool,
    /// Replica whose data folder this VM discarded as corrupt or outdated.
    predecessor: Option<ReplicaId>,
    /// Time of the last announcement or rollback checks that this replica sent.
    last_sent: Option<Millis>,
}

/// Announcement of a blank replica.
#[derive(Clone, Debug)]
struct BlankReplica {
    address: String,
    predecessor: Option<ReplicaId>,
    last_heard: Millis,
    /// Whether it has announced itself to the replica on this folder, so that it was blank after the
    /// folder was created.
    has_answered: bool,
}

impl Boot {
    pub(super) const fn new(is_blank: bool) -> Self {
        Self {
            stage: if is_blank {
                Stage::Blank
            } else {
                Stage::Confirming
            },
            confirmed_by: BTreeSet::new(),
            blanks: BTreeMap::new(),
            founders: BTreeMap::new(),
            can_bootstrap: true,
            predecessor: None,
            last_sent: None,
        }
    }

    /// Tells whether the replica takes part in elections and replication.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Tells whether the data folder is empty and the replica is not a member yet.
    pub fn is_blank(&self) -> bool {
        self.stage == Stage::Blank
    }

    /// Tells whether the data folder was rolled back or the replica was removed.
    pub fn is_stale(&self) -> bool {
        self.stage == Stage::Stale
    }

    /// Returns the name of the start-up stage, as shown in status reports and logs.
    pub const fn as_str(&self) -> &'static str {
        match self.stage {
            Stage::Blank => "blank",
            Stage::Confirming => "confirming",
            Stage::Open => "open",
            Stage::Stale => "stale",
        }
    }

    /// Returns the replicas that have confirmed that this one's data folder was not rolled back.
    pub fn confirmed_by(&self) -> impl Iterator<Item = &ReplicaId> {
        self.confirmed_by.iter()
    }

    /// Returns the blank replicas that have announced themselves, including those long silent.
    pub fn blanks(&self) -> impl Iterator<Item = &ReplicaId> {
        self.blanks.keys()
    }

    /// Returns the blank replicas like [`Self::blanks`], with their addresses.
    pub fn blank_addresses(&self) -> impl Iterator<Item = (&ReplicaId, &str)> {
        let blanks = self.blanks.iter();
        blanks.map(|(id, blank)| (id, blank.address.as_str()))
    }

    /// Returns the configured address of a founding VM.
    pub fn founder_address(&self, vm: &VmId) -> Option<&str> {
        self.founders.get(vm).map(String::as_str)
    }

    /// Returns the blank replicas whose last announcement is younger than `max_age`.
    pub(super) fn recent_blanks(
        &self,
        now: Millis,
        max_age: Millis,
    ) -> impl Iterator<Item = &ReplicaId> {
        let blanks = self.blanks.iter();
        let recent = blanks.filter(move |(_, blank)| now.since(blank.last_heard) < max_age);
        recent.map(|(id, _)| id)
    }

    pub(super) fn blank_address(&self, id: &ReplicaId) -> Option<&str> {
        self.blanks.get(id).map(|blank| blank.address.as_str())
    }
}

/// Returns the id that addresses a founder's replica while its folder number is not known.
fn placeholder_id(vm: &VmId) -> ReplicaId {
    ReplicaId {
        vm: vm.clone(),
        folder: Incarnation(0),
    }
}

impl Replica {
    /// Sets the founding VMs and their addresses, including this VM.
    pub fn set_founders(&mut self, founders: BTreeMap<VmId, String>) {
        self.boot.founders = founders;
    }

    /// Prevents this replica from founding a deployment; called if the founders already form one.
    pub const fn disable_bootstrap(&mut self) {
        self.boot.can_bootstrap = false;
    }

    /// Sets the replica whose data folder this VM discarded as corrupt or outdated.
    pub fn set_predecessor(&mut self, predecessor: Option<ReplicaId>) {
        self.boot.predecessor = predecessor;
    }

    pub(super) fn tick_boot(&mut self) {
        let is_due = self
            .boot
            .last_sent
            .is_none_or(|at| self.now.since(at) >= BOOT_MESSAGE_INTERVAL);
        if !is_due {
            return;
        }
        self.boot.last_sent = Some(self.now);
        match self.boot.stage {
            Stage::Blank => {
                self.announce_blank();
                self.try_bootstrap();
            }
            Stage::Confirming => {
                self.send_rollback_checks();
                self.open_if_confirmed();
            }
            Stage::Open if self.log.members().is_empty() => self.announce_blank(),
            Stage::Open => self.send_rollback_checks(),
            Stage::Stale => {}
        }
    }

    /// Announces this blank replica to the founders, whose folder numbers are not known yet.
    fn announce_blank(&mut self) {
        let founders = self.boot.founders.keys();
        let vms: Vec<VmId> = founders.filter(|vm| **vm != self.id.vm).cloned().collect();
        for vm in vms {
            self.announce_blank_to(&placeholder_id(&vm));
        }
    }

    fn announce_blank_to(&mut self, to: &ReplicaId) {
        let message = Message::AnnounceBlank {
            address: self.address.clone(),
            predecessor: self.boot.predecessor.clone(),
        };
        self.send(to, message);
    }

    /// Founds the deployment once every founder has announced itself as blank to this replica's folder.
    ///
    /// Only the founder whose VM name sorts first does so. A founder with a predecessor has been a
    /// member before, so a deployment exists already. An announcement to the VM alone may be older than
    /// the folder, and its sender may have become a member since.
    fn try_bootstrap(&mut self) {
        let first = self.boot.founders.keys().next();
        let is_first = first == Some(&self.id.vm) && self.boot.can_bootstrap;
        if !is_first || self.boot.predecessor.is_some() {
            return;
        }
        let mut replicas = BTreeMap::from([(self.id.clone(), self.address.clone())]);
        for (vm, address) in self
            .boot
            .founders
            .iter()
            .filter(|(vm, _)| **vm != self.id.vm)
        {
            let mut on_vm = self.boot.blanks.iter().filter(|(id, _)| id.vm == *vm);
            let Some((id, blank)) = on_vm.next_back() else {
                return;
            };
            if blank.predecessor.is_some() || !blank.has_answered {
                return;
            }
            replicas.insert(id.clone(), address.clone());
        }
        let members = Members::founding(replicas);
        self.bootstrap(members);
    }

    fn bootstrap(&mut self, members: Members) {
        let snapshot = Snapshot {
            position: FOUNDING_POSITION,
            members,
            state: Vec::new(),
        };
        self.load(snapshot);
        self.open();
    }

    /// Opens the replica.
    ///
    /// It has answered no leader since its process started, so the time of an earlier lease that may rely
    /// on it counts from that start, and not from now. The random part of the election timeout is waited
    /// for in any case, as replicas often open at the same moment and would split the vote.
    fn open(&mut self) {
        self.boot.stage = Stage::Open;
        let earliest = self.now.since(MIN_ELECTION_TIMEOUT);
        self.timer_start = self.timer_start.max(earliest);
        self.release_if_confirmed();
    }

    fn send_rollback_checks(&mut self) {
        for id in self.other_members() {
            self.send_rollback_check(&id);
        }
    }

    /// Tells whether this replica may be a learner that was removed before its promotion.
    ///
    /// True if its log is empty, or if it is not a voter and has not heard from a leader for
    /// [`LOST_TIMEOUT`].
    /// With an empty log it announces itself as blank again and may be admitted under the same id.
    /// Otherwise it sends rollback checks to the members, and the leader tells it if it was
    /// removed.
    pub(super) fn may_be_removed(&self) -> bool {
        let members = self.log.members();
        let is_leaderless = self.now.since(self.last_heard) >= LOST_TIMEOUT;
        members.is_empty() || (is_leaderless && !members.is_voter(&self.id))
    }

    fn open_if_confirmed(&mut self) {
        let members = self.log.members();
        // Learners count too: a voter that was promoted recently may still be a learner according
        // to this replica's log.
        let is_member = |id: &&ReplicaId| members.get(id).is_some();
        let confirmed = self.boot.confirmed_by.iter().filter(is_member).count();
        if confirmed + 1 >= members.quorum() {
            self.open();
        }
    }

    /// Handles a start-up message; returns false for any other message.
    pub(super) fn receive_boot(
        &mut self,
        from: &ReplicaId,
        to: &ReplicaId,
        message: &Message,
    ) -> bool {
        match message {
            Message::RollbackCheckRequest { term, last, start } => {
                self.on_rollback_check(from, (*term, *last), *start);
            }
            Message::RollbackCheckReply {
                acknowledged,
                confirmed_start,
            } => {
                self.on_rollback_check_reply(from, *acknowledged);
                self.record_release(from, *confirmed_start);
            }
            Message::AnnounceBlank {
                address,
                predecessor,
            } => {
                self.on_blank(from, to, address, predecessor.as_ref());
                self.forward_blank(from, address, to, message);
            }
            Message::Bootstrap { members } => self.on_bootstrap(members),
            Message::Removed { term } => self.on_removed(to, *term),
            _ => return false,
        }
        true
    }

    fn on_rollback_check(
        &mut self,
        from: &ReplicaId,
        (term, last): (Term, Index),
        start: Option<u64>,
    ) {
        if self.boot.stage == Stage::Blank || self.boot.stage == Stage::Stale {
            return;
        }
        let reply = Message::RollbackCheckReply {
            acknowledged: self.acknowledged_by.get(from).copied(),
            confirmed_start: self.confirm_start(start),
        };
        self.send(from, reply);
        if start.is_some() {
            self.record_starting_peer(from, term, last);
        }
        // The sender is up only now if it has not answered yet, and the next checks may be far off.
        let awaits_confirmation =
            self.boot.stage == Stage::Confirming && !self.boot.confirmed_by.contains(from);
        if awaits_confirmation || self.awaits_release_by(from) {
            self.send_rollback_check(from);
        }
    }

    fn on_rollback_check_reply(&mut self, from: &ReplicaId, acknowledged: Option<(Term, Index)>) {
        if self.boot.stage != Stage::Confirming {
            return;
        }
        let (term, index) = acknowledged.unwrap_or_default();
        let current_term = self.hard_state.term;
        let is_older =
            current_term < term || (current_term == term && self.log.last().index < index);
        if is_older {
            self.boot.stage = Stage::Stale;
            return;
        }
        self.boot.confirmed_by.insert(from.clone());
        self.open_if_confirmed();
    }

    fn on_blank(
        &mut self,
        from: &ReplicaId,
        to: &ReplicaId,
        address: &str,
        predecessor: Option<&ReplicaId>,
    ) {
        let known = self.boot.blanks.get(from);
        let blank = BlankReplica {
            address: address.to_owned(),
            predecessor: predecessor.cloned(),
            last_heard: self.now,
            has_answered: *to == self.id || known.is_some_and(|known| known.has_answered),
        };
        self.boot.blanks.retain(|id, _| id.vm != from.vm);
        self.boot.blanks.insert(from.clone(), blank);
        self.record_replaced(from);
        if self.log.members().is_empty() {
            if self.boot.stage == Stage::Blank && *to != self.id {
                self.announce_blank_to(from);
            }
            return;
        }
        let founding = self.log.members().clone();
        let is_founder = founding.get(from).is_some();
        if is_founder && self.log.last().index == FOUNDING_POSITION.index {
            self.send(from, Message::Bootstrap { members: founding });
        } else if let Some(predecessor) = predecessor {
            // The VM itself discarded the predecessor's data folder, so the predecessor is gone.
            let is_member = self.log.members().get(predecessor).is_some();
            self.admit(from, Some(predecessor).filter(|_| is_member));
        }
    }

    /// Forwards a blank replica's announcement to the leader, which the sender may not know.
    ///
    /// Only an announcement that came directly from its sender is forwarded.
    fn forward_blank(
        &mut self,
        from: &ReplicaId,
        address: &str,
        to: &ReplicaId,
        message: &Message,
    ) {
        let is_direct = *to == placeholder_id(&self.id.vm);
        let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) else {
            return;
        };
        if is_direct && self.boot.is_open() {
            self.forward(from, address, &leader, message.clone());
        }
    }

    /// Informs a replica that still sends as a member that it was removed.
    ///
    /// Does nothing unless this replica leads with automatic repair and the removal is committed.
    pub(super) fn notify_removed(&mut self, from: &ReplicaId) {
        let members = self.log.members();
        let is_committed = self.log.last_members_change() <= self.commit;
        if self.target_voters.is_some()
            && self.role == Role::Leader
            && members.get(from).is_none()
            && is_committed
        {
            let term = self.hard_state.term;
            self.send(from, Message::Removed { term });
        }
    }

    fn on_removed(&mut self, to: &ReplicaId, term: Term) {
        if *to == self.id && self.boot.stage != Stage::Blank && term >= self.hard_state.term {
            self.boot.stage = Stage::Stale;
        }
    }

    fn on_bootstrap(&mut self, members: &Members) {
        if self.boot.stage == Stage::Blank && members.get(&self.id).is_some() {
            self.bootstrap(members.clone());
        }
    }

    /// Opens a blank replica when the leader that admitted it sends entries or a snapshot.
    pub(super) fn open_if_admitted(&mut self, message: &Message) {
        let is_from_leader = matches!(
            message,
            Message::AppendRequest { .. } | Message::InstallSnapshot { .. }
        );
        if self.boot.stage == Stage::Blank && is_from_leader {
            self.open();
        }
    }
}
