//! Start of a replica: founding a deployment, or proving that its folder is not an older one.

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
use super::repair::LOST_AFTER;

/// Time between the messages of a replica that is starting.
const BOOT_BEAT: Millis = Millis::new(200);
/// Place of the founding members in the log.
const FOUNDING: Position = Position {
    term: Term(0),
    index: 1,
};

/// Stage of a replica's start.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The folder is empty; the replica belongs to nothing.
    Blank,
    /// Others are asked whether the folder is an older one.
    Confirming,
    /// The replica takes part.
    Open,
    /// The folder is an older one; the replica never takes part again.
    Stale,
}

/// How far a replica has come with starting.
#[derive(Clone, Debug)]
pub struct Boot {
    stage: Stage,
    confirmed: BTreeSet<ReplicaId>,
    blanks: BTreeMap<ReplicaId, Newcomer>,
    founders: BTreeMap<VmId, String>,
    /// Whether this replica may found a deployment with the others.
    founds: bool,
    was: Option<ReplicaId>,
    sent: Option<Millis>,
}

/// Blank replica that has told of itself.
#[derive(Clone, Debug)]
struct Newcomer {
    address: String,
    was: Option<ReplicaId>,
    heard: Millis,
}

impl Boot {
    pub(super) const fn new(is_blank: bool) -> Self {
        Self {
            stage: if is_blank {
                Stage::Blank
            } else {
                Stage::Confirming
            },
            confirmed: BTreeSet::new(),
            blanks: BTreeMap::new(),
            founders: BTreeMap::new(),
            founds: true,
            was: None,
            sent: None,
        }
    }

    /// Tells whether the replica takes part.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Tells whether the replica has an empty folder and belongs to nothing yet.
    pub fn is_blank(&self) -> bool {
        self.stage == Stage::Blank
    }

    /// Tells whether the folder was found to be an older one.
    pub fn is_stale(&self) -> bool {
        self.stage == Stage::Stale
    }

    /// Returns the stage's name.
    pub const fn as_str(&self) -> &'static str {
        match self.stage {
            Stage::Blank => "blank",
            Stage::Confirming => "confirming",
            Stage::Open => "open",
            Stage::Stale => "stale",
        }
    }

    /// Returns the blank replicas that have told of themselves.
    pub fn blanks(&self) -> impl Iterator<Item = &ReplicaId> {
        self.blanks.keys()
    }

    /// Returns the address that a founding VM was named with.
    pub fn founder_address(&self, vm: &VmId) -> Option<&str> {
        self.founders.get(vm).map(String::as_str)
    }

    /// Returns the blank replicas that were heard of within `kept`.
    pub(super) fn fresh_blanks(
        &self,
        now: Millis,
        kept: Millis,
    ) -> impl Iterator<Item = &ReplicaId> {
        let blanks = self.blanks.iter();
        let fresh = blanks.filter(move |(_, newcomer)| now.since(newcomer.heard) < kept);
        fresh.map(|(id, _)| id)
    }

    pub(super) fn blank_address(&self, id: &ReplicaId) -> Option<&str> {
        self.blanks
            .get(id)
            .map(|newcomer| newcomer.address.as_str())
    }
}

/// Returns the name under which a founder is told something while its folder is not known.
fn founder(vm: &VmId) -> ReplicaId {
    ReplicaId {
        vm: vm.clone(),
        folder: Incarnation(0),
    }
}

impl Replica {
    /// Names the VMs that found the deployment, with their addresses, this one's included.
    pub fn set_founders(&mut self, founders: BTreeMap<VmId, String>) {
        self.boot.founders = founders;
    }

    /// Keeps this replica from founding a deployment; its VMs are those of one that stands.
    pub const fn disable_bootstrap(&mut self) {
        self.boot.founds = false;
    }

    /// Names the replica that this one was before its folder was found corrupt.
    pub fn set_predecessor(&mut self, was: Option<ReplicaId>) {
        self.boot.was = was;
    }

    pub(super) fn tick_boot(&mut self) {
        let is_due = self
            .boot
            .sent
            .is_none_or(|at| self.now.since(at) >= BOOT_BEAT);
        if !is_due {
            return;
        }
        self.boot.sent = Some(self.now);
        match self.boot.stage {
            Stage::Blank => {
                self.tell_blank();
                self.found();
            }
            Stage::Confirming => {
                self.ask_known();
                self.count_confirmed();
            }
            Stage::Open if self.log.members().is_empty() => self.tell_blank(),
            Stage::Open => self.ask_known(),
            Stage::Stale => {}
        }
    }

    /// Tells the founders of this replica; their folders' numbers are not known yet.
    fn tell_blank(&mut self) {
        let founders = self.boot.founders.keys();
        let vms: Vec<VmId> = founders.filter(|vm| **vm != self.id.vm).cloned().collect();
        for vm in vms {
            let to = founder(&vm);
            let message = Message::Blank {
                address: self.address.clone(),
                was: self.boot.was.clone(),
            };
            self.send(&to, message);
        }
    }

    /// Founds the deployment once every founder is known to be blank; the first by name does it.
    fn found(&mut self) {
        let first = self.boot.founders.keys().next();
        let is_first = first == Some(&self.id.vm) && self.boot.founds;
        if !is_first || self.boot.was.is_some() {
            return;
        }
        let mut replicas = BTreeMap::from([(self.id.clone(), self.address.clone())]);
        for (vm, address) in self
            .boot
            .founders
            .iter()
            .filter(|(vm, _)| **vm != self.id.vm)
        {
            let mut own = self.boot.blanks.iter().filter(|(id, _)| id.vm == *vm);
            let Some((id, newcomer)) = own.next_back() else {
                return;
            };
            if newcomer.was.is_some() {
                return;
            }
            replicas.insert(id.clone(), address.clone());
        }
        let members = Members::founding(replicas);
        self.join(members);
    }

    fn join(&mut self, members: Members) {
        let snapshot = Snapshot {
            position: FOUNDING,
            members,
            state: Vec::new(),
        };
        self.load(snapshot);
        self.open();
    }

    fn open(&mut self) {
        self.boot.stage = Stage::Open;
        self.heard = self.now;
        self.timer = self.now;
    }

    fn ask_known(&mut self) {
        let term = self.hard_state.term;
        let last = self.log.last().index;
        for id in self.others() {
            self.send(&id, Message::Hello { term, last });
        }
    }

    /// Tells whether this replica was taken in and seems to have been let go before it counted, so
    /// that nobody sends to it any more.
    ///
    /// Without a log it may be taken in as it is; otherwise the leader tells it that it was removed.
    pub(super) fn is_left_out(&self) -> bool {
        let members = self.log.members();
        let is_forgotten = self.now.since(self.heard) >= LOST_AFTER;
        members.is_empty() || (is_forgotten && !members.is_voter(&self.id))
    }

    fn count_confirmed(&mut self) {
        let members = self.log.members();
        // A replica that was taken in lately may be a learner still by this replica's own log.
        let is_known = |id: &&ReplicaId| members.get(id).is_some();
        let confirmed = self.boot.confirmed.iter().filter(is_known).count();
        if confirmed + 1 >= members.quorum() {
            self.open();
        }
    }

    /// Takes in a message that concerns starting; tells whether it was one.
    pub(super) fn receive_boot(
        &mut self,
        from: &ReplicaId,
        to: &ReplicaId,
        message: &Message,
    ) -> bool {
        match message {
            Message::Hello { .. } => self.answer_hello(from),
            Message::HelloReply { known } => self.on_known(from, *known),
            Message::Blank { address, was } => {
                self.on_blank(from, address, was.as_ref());
                self.forward_blank(from, to, message);
            }
            Message::Found { members } => self.on_found(members),
            Message::Removed { term } => self.on_removed(to, *term),
            _ => return false,
        }
        true
    }

    fn answer_hello(&mut self, from: &ReplicaId) {
        if self.boot.stage == Stage::Blank || self.boot.stage == Stage::Stale {
            return;
        }
        let known = self.marks.get(from).copied();
        self.send(from, Message::HelloReply { known });
    }

    fn on_known(&mut self, from: &ReplicaId, known: Option<(Term, Index)>) {
        if self.boot.stage != Stage::Confirming {
            return;
        }
        let (term, index) = known.unwrap_or_default();
        let own = self.hard_state.term;
        let is_older = own < term || (own == term && self.log.last().index < index);
        if is_older {
            self.boot.stage = Stage::Stale;
            return;
        }
        self.boot.confirmed.insert(from.clone());
        self.count_confirmed();
    }

    fn on_blank(&mut self, from: &ReplicaId, address: &str, was: Option<&ReplicaId>) {
        let newcomer = Newcomer {
            address: address.to_owned(),
            was: was.cloned(),
            heard: self.now,
        };
        self.boot.blanks.retain(|id, _| id.vm != from.vm);
        self.boot.blanks.insert(from.clone(), newcomer);
        if self.log.members().is_empty() {
            return;
        }
        let founding = self.log.members().clone();
        let is_founder = founding.get(from).is_some();
        if is_founder && self.log.last().index == FOUNDING.index {
            self.send(from, Message::Found { members: founding });
        } else if let Some(lost) = was {
            // The folder was put aside on that very VM, so the former replica is surely gone.
            let stands = self.log.members().get(lost).is_some();
            self.admit(from, Some(lost).filter(|_| stands));
        }
    }

    /// Passes what a blank replica tells on to the leader, who may not be among those it knows.
    fn forward_blank(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) {
        let is_direct = *to == founder(&self.id.vm);
        let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) else {
            return;
        };
        if is_direct && self.boot.is_open() {
            self.pass_on(from, &leader, message.clone());
        }
    }

    /// Tells a replica that sends as a member, but is none, that it was removed.
    pub(super) fn tell_removed(&mut self, from: &ReplicaId) {
        let members = self.log.members();
        let is_settled = self.log.last_change() <= self.commit;
        if self.target.is_some()
            && self.role == Role::Leader
            && members.get(from).is_none()
            && is_settled
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

    fn on_found(&mut self, members: &Members) {
        if self.boot.stage == Stage::Blank && members.get(&self.id).is_some() {
            self.join(members.clone());
        }
    }

    /// Lets a blank replica follow the leader that has taken it in.
    pub(super) fn open_as_newcomer(&mut self, message: &Message) {
        let is_taken_in = matches!(message, Message::Append { .. } | Message::Install { .. });
        if self.boot.stage == Stage::Blank && is_taken_in {
            self.open();
        }
    }
}
