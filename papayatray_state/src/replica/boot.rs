//! Start of a replica: founding a deployment, or proving that its folder is not an older one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;

use super::Index;
use super::Members;
use super::Message;
use super::Position;
use super::Replica;
use super::ReplicaId;
use super::Snapshot;

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
    was: Option<ReplicaId>,
    sent: Option<Millis>,
}

/// Blank replica that has told of itself.
#[derive(Clone, Debug)]
struct Newcomer {
    address: String,
    was: Option<ReplicaId>,
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

    pub(super) fn blank_address(&self, id: &ReplicaId) -> Option<&str> {
        self.blanks
            .get(id)
            .map(|newcomer| newcomer.address.as_str())
    }
}

impl Replica {
    /// Names the VMs that found the deployment, with their addresses, this one's included.
    pub fn set_founders(&mut self, founders: BTreeMap<VmId, String>) {
        self.boot.founders = founders;
    }

    /// Names the replica that this one was before its folder was found corrupt.
    pub fn set_former(&mut self, was: Option<ReplicaId>) {
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
            Stage::Blank => self.tell_blank(),
            Stage::Confirming => self.ask_known(),
            Stage::Open | Stage::Stale => {}
        }
    }

    /// Tells the founders of this replica; their folders' numbers are not known yet.
    fn tell_blank(&mut self) {
        let founders = self.boot.founders.keys();
        let vms: Vec<VmId> = founders.filter(|vm| **vm != self.id.vm).cloned().collect();
        for vm in vms {
            let to = ReplicaId {
                vm,
                folder: papayatray_core::id::Incarnation(0),
            };
            let message = Message::Blank {
                address: self.address.clone(),
                was: self.boot.was.clone(),
            };
            self.send(&to, message);
        }
        self.found();
    }

    /// Founds the deployment once every founder is known to be blank; the first by name does it.
    fn found(&mut self) {
        let first = self.boot.founders.keys().next();
        if first != Some(&self.id.vm) || self.boot.was.is_some() {
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
        let term = self.hard.term;
        let last = self.log.last().index;
        for id in self.others() {
            self.send(&id, Message::Hello { term, last });
        }
        self.count_confirmed();
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
    pub(super) fn receive_boot(&mut self, from: &ReplicaId, message: &Message) -> bool {
        match message {
            Message::Hello { .. } => self.answer_hello(from),
            Message::HelloReply { known } => self.on_known(from, *known),
            Message::Blank { address, was } => self.on_blank(from, address, was.as_ref()),
            Message::Found { members } => self.on_found(members),
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
        let own = self.hard.term;
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
