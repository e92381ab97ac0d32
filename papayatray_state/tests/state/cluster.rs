//! Nodes whose messages, clocks and crashes a test turns, and what must hold at every step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Outcome;
use papayatray_core::claim::ClaimDecision;
use papayatray_core::claim::ClaimRequest;
use papayatray_core::clock::Millis;
use papayatray_core::id::ChangeId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::OperatorId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::RequestId;
use papayatray_core::id::RequestKey;
use papayatray_core::id::Revision;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_core::ledger::Bill;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::node::Node;
use papayatray_state::node::ProposalId;
use papayatray_state::replica::Envelope;
use papayatray_state::replica::Index;
use papayatray_state::replica::Position;
use papayatray_state::replica::ReplicaId;
use papayatray_state::replica::Role;
use papayatray_state::storage::Store;

use crate::disk::FakeDisk;

/// Most messages on their way.
const WIRE: usize = 2_000;

/// VM with its node, running or not.
#[derive(Debug)]
pub struct Vm {
    /// Name.
    pub name: VmId,
    /// Name of the replica in the present folder.
    pub id: ReplicaId,
    /// The node, while it runs.
    pub node: Option<Node<FakeDisk>>,
    /// The disk, while the node does not run.
    pub disk: FakeDisk,
    /// Rate of the clock, in thousandths.
    pub rate: u64,
    offset: i64,
}

/// What was answered to whoever sent a command.
#[derive(Debug, Default)]
pub struct Answers {
    /// Outcome of each change.
    pub changes: BTreeMap<ChangeId, Outcome>,
    /// Requests that may run, by the wish that was granted.
    pub granted: BTreeMap<RequestKey, (VmId, u64)>,
    /// Requests whose bill is durable.
    pub billed: BTreeSet<RequestKey>,
}

/// Nodes with everything between them.
#[derive(Debug)]
pub struct Cluster {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Messages on their way.
    pub wire: Vec<Envelope>,
    /// Pairs of VMs of which the first no longer reaches the second.
    pub cuts: BTreeSet<(usize, usize)>,
    /// What was answered.
    pub answers: Answers,
    now: u64,
    sent: BTreeMap<ProposalId, Command>,
    next: ProposalId,
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<Index, Position>,
    folders: u64,
    /// Voters that leaders keep up without an operator, where they do.
    repair: Option<usize>,
}

impl Cluster {
    /// Starts `count` blank nodes that look after their own number.
    pub fn self_repairing(count: usize) -> Self {
        Self::with_repair(count, Some(count))
    }

    /// Starts `count` blank nodes.
    pub fn new(count: usize) -> Self {
        Self::with_repair(count, None)
    }

    fn with_repair(count: usize, repair: Option<usize>) -> Self {
        let mut cluster = Self {
            vms: Vec::new(),
            wire: Vec::new(),
            cuts: BTreeSet::new(),
            answers: Answers::default(),
            now: 1_000_000,
            sent: BTreeMap::new(),
            next: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            folders: 0,
            repair,
        };
        for number in 0..count {
            cluster.add(&format!("vm-{number}"));
        }
        for number in 0..count {
            cluster.start(number);
        }
        cluster
    }

    /// Adds a VM with an empty disk, not started yet.
    pub fn add(&mut self, name: &str) -> usize {
        let vm = VmId::new(name).unwrap();
        let id = ReplicaId {
            vm: vm.clone(),
            folder: Incarnation(0),
        };
        let (disk, rate, offset) = (FakeDisk::default(), 1_000, 0);
        self.vms.push(Vm {
            name: vm,
            id,
            node: None,
            disk,
            rate,
            offset,
        });
        let number = self.vms.len() - 1;
        self.wipe(number);
        number
    }

    /// Gives a stopped VM an empty disk.
    pub fn wipe(&mut self, number: usize) {
        self.folders += 1;
        self.vms[number].disk = FakeDisk::default();
        self.vms[number].id.folder = Incarnation(self.folders);
    }

    fn clock(&self, number: usize) -> Millis {
        let vm = &self.vms[number];
        let run = i64::try_from(self.now * vm.rate / 1_000).unwrap();
        Millis::new(u64::try_from(run + vm.offset).unwrap())
    }

    /// Sets how fast a VM's clock runs, in thousandths; it neither goes back nor jumps.
    pub fn set_rate(&mut self, number: usize, rate: u64) {
        let before = i64::try_from(self.clock(number).as_u64()).unwrap();
        let vm = &mut self.vms[number];
        vm.rate = rate;
        vm.offset = before - i64::try_from(self.now * rate / 1_000).unwrap();
    }

    /// Does what the daemon does with a folder that may not take part any more: empties it.
    pub fn renew_outdated(&mut self, number: usize) {
        let node = self.vms[number].node.as_ref();
        if node.is_some_and(|node| node.replica().boot().is_stale()) {
            self.crash(number, 0);
            self.wipe(number);
            self.start(number);
        }
    }

    /// Starts the node of a VM with what its disk holds.
    pub fn start(&mut self, number: usize) {
        if self.vms[number].node.is_some() {
            return;
        }
        let now = self.clock(number);
        let founders = self.vms[..3.min(self.vms.len())].iter();
        let founders = founders
            .map(|vm| (vm.name.clone(), vm.name.to_string()))
            .collect();
        let vm = &mut self.vms[number];
        let disk = std::mem::take(&mut vm.disk);
        let (store, loaded) = Store::open(disk).expect("what was synced can be read");
        let seed = 7_919 * (number as u64 + 1) + now.as_u64();
        let address = vm.name.to_string();
        let node = Node::new(vm.id.clone(), &address, store, loaded, seed, now);
        let mut node = node.expect("a snapshot that was synced can be read");
        node.set_founders(founders, None);
        if let Some(voters) = self.repair {
            node.replica_mut().set_self_repair(voters);
        }
        vm.node = Some(node);
    }

    /// Crashes the node of a VM; up to `torn` unsynced bytes of each file stay.
    pub fn crash(&mut self, number: usize, torn: usize) {
        if let Some(node) = self.vms[number].node.take() {
            self.vms[number].disk = node.into_disk().crash(torn);
        }
    }

    /// Lets time pass, and each node take a turn.
    pub fn pass(&mut self, millis: u64) {
        self.now += millis;
        for number in 0..self.vms.len() {
            self.turn(number);
        }
    }

    fn turn(&mut self, number: usize) {
        let now = self.clock(number);
        let Some(node) = &mut self.vms[number].node else {
            return;
        };
        let turn = node.turn(now);
        self.wire.extend(turn.messages);
        let excess = self.wire.len().saturating_sub(WIRE);
        self.wire.drain(..excess);
        for (token, result) in turn.replies {
            if let (Some(command), Ok(reply)) = (self.sent.remove(&token), result) {
                self.note(&command, &reply);
            }
        }
        self.check();
    }

    /// Delivers the message at `place`, unless it is cut off.
    pub fn deliver(&mut self, place: usize) {
        if self.wire.is_empty() {
            return;
        }
        let envelope = self.wire.remove(place % self.wire.len());
        self.transfer_leadership(envelope);
    }

    fn transfer_leadership(&mut self, envelope: Envelope) {
        let from = self.vms.iter().position(|vm| vm.name == envelope.from.vm);
        let to = self.vms.iter().position(|vm| vm.name == envelope.to.vm);
        let (Some(from), Some(to)) = (from, to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let now = self.clock(to);
        if let Some(node) = &mut self.vms[to].node {
            node.receive(now, envelope);
            self.turn(to);
        }
    }

    /// Delivers everything, in order, for some rounds of time.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.pass(40);
            for envelope in std::mem::take(&mut self.wire) {
                self.transfer_leadership(envelope);
            }
        }
    }

    /// Sends a command to the node of a VM.
    pub fn propose(&mut self, number: usize, command: Command) {
        let at = self.clock(number);
        self.next += 1;
        let token = self.next;
        if let Some(node) = &mut self.vms[number].node {
            node.propose(token, command.clone(), at);
            self.sent.insert(token, command);
            self.turn(number);
        }
    }

    /// Returns the VM whose node leads beyond doubt.
    pub fn leader(&self) -> Option<usize> {
        let is_current = |number: &usize| {
            let node = self.vms[*number].node.as_ref();
            node.is_some_and(|node| node.replica().is_current(self.clock(*number)))
        };
        (0..self.vms.len()).find(is_current)
    }

    /// Returns the node of a VM, which must run.
    pub fn node(&self, number: usize) -> &Node<FakeDisk> {
        self.vms[number].node.as_ref().expect("the node runs")
    }

    /// Returns the node of a VM, which must run.
    pub fn node_mut(&mut self, number: usize) -> &mut Node<FakeDisk> {
        self.vms[number].node.as_mut().expect("the node runs")
    }

    /// Holds an answer against all that was answered before.
    fn note(&mut self, command: &Command, reply: &Reply) {
        match (command, reply) {
            (Command::Configure(change), Reply::Configured(outcome)) => {
                let first = self.answers.changes.entry(change.id.clone());
                let first = first.or_insert_with(|| outcome.clone());
                assert_eq!(
                    first, outcome,
                    "a resend of {} gets the first outcome",
                    change.id
                );
                self.check_one_winner();
            }
            (Command::Claim(wish), Reply::Claim(ClaimDecision::Granted)) => {
                let own = (wish.entry.clone(), wish.nonce);
                let first = self
                    .answers
                    .granted
                    .entry(wish.key.clone())
                    .or_insert(own.clone());
                assert_eq!(*first, own, "no second run under request id {:?}", wish.key);
            }
            (Command::Bill(bills), Reply::Billed(_)) => {
                self.answers
                    .billed
                    .extend(bills.iter().map(|bill| bill.key.clone()));
            }
            _ => {}
        }
    }

    /// Returns what each node is at, a line each, for the message of a failure.
    pub fn describe(&self) -> String {
        let lines = self
            .vms
            .iter()
            .filter_map(|vm| vm.node.as_ref())
            .map(|node| {
                let replica = node.replica();
                let members: Vec<String> = replica
                    .members()
                    .iter()
                    .map(|(id, m)| format!("{id} voter {} replaces {:?}", m.voter, m.replaces))
                    .collect();
                format!(
                    "{} {:?} {} term {} last {:?} commit {} members {members:?}\n",
                    replica.id(),
                    replica.role(),
                    replica.boot().as_str(),
                    replica.term(),
                    replica.log().last(),
                    replica.commit(),
                )
            });
        lines.collect()
    }

    fn check_one_winner(&self) {
        let mut winners = BTreeMap::new();
        for (id, outcome) in &self.answers.changes {
            if let Outcome::Accepted(revision) = outcome
                && let Some(other) = winners.insert(*revision, id)
            {
                panic!("revision {revision} has two winners: {id} and {other}");
            }
        }
    }

    /// Checks what must hold at every step.
    fn check(&mut self) {
        let mut current = 0;
        for number in 0..self.vms.len() {
            let now = self.clock(number);
            let Some(node) = &self.vms[number].node else {
                continue;
            };
            let replica = node.replica();
            current += usize::from(replica.is_current(now));
            if replica.role() == Role::Leader {
                let first = self
                    .leaders
                    .entry(replica.term())
                    .or_insert(replica.id().clone());
                assert_eq!(first, replica.id(), "one leader in term {}", replica.term());
            }
            let log = replica.log();
            let first = log.base().index.max(replica.commit().saturating_sub(4)) + 1;
            for entry in log.range(first, replica.commit()) {
                let known = self
                    .committed
                    .entry(entry.position.index)
                    .or_insert(entry.position);
                assert_eq!(
                    *known,
                    entry.position,
                    "committed logs agree at {}",
                    replica.id()
                );
            }
        }
        assert!(current <= 1, "at most one leader is beyond doubt");
    }

    /// Checks that what was answered stands, in the state of the leader.
    pub fn check_kept(&self) {
        let leader = self.leader().expect("a leader once everything is healed");
        let machine = self.node(leader).machine();
        let history = machine.book().history();
        for (id, outcome) in &self.answers.changes {
            if let Outcome::Accepted(revision) = outcome {
                let kept = history
                    .iter()
                    .any(|a| a.id == *id && a.revision == *revision);
                assert!(kept, "accepted change {id} stands as revision {revision}");
            }
        }
        let billed: Vec<_> = machine.ledger().lines().map(|bill| &bill.key).collect();
        for key in &self.answers.billed {
            let count = billed.iter().filter(|own| **own == key).count();
            assert_eq!(count, 1, "one bill for {key:?}");
        }
        let sum: u64 = machine
            .ledger()
            .totals()
            .values()
            .map(|total| total.requests)
            .sum();
        assert_eq!(sum, billed.len() as u64, "sums count each request once");
    }
}

/// Returns the change `number` on top of `base`.
pub fn change(number: u64, base: u64) -> Command {
    Command::Configure(Change {
        id: ChangeId::new(format!("change-{number}")).unwrap(),
        base: Revision(base),
        author: OperatorId::new("operator").unwrap(),
        why: String::new(),
        edits: vec![Edit::CreateOrganisation {
            organisation: OrganisationId::new(format!("organisation-{number}")).unwrap(),
            class: Class::Paying,
        }],
    })
}

/// Returns the key of request `number`.
pub fn key(number: u64) -> RequestKey {
    RequestKey {
        organisation: OrganisationId::new("mill").unwrap(),
        request: RequestId::new(format!("request-{number}")).unwrap(),
    }
}

/// Returns the wish of entry `entry` to run request `number`.
pub fn claim(number: u64, entry: u64, nonce: u64) -> Command {
    Command::Claim(ClaimRequest {
        key: key(number),
        entry: VmId::new(format!("entry-{entry}")).unwrap(),
        nonce,
        body: 7,
        span: Millis::new(50),
    })
}

/// Returns the bill of request `number` from entry `entry`.
pub fn bill(number: u64, entry: u64) -> Command {
    Command::Bill(vec![Bill {
        key: key(number),
        subject: "drafter@1".to_owned(),
        tokens_in: 1,
        tokens_out: 2,
        cost: 3,
        entry: VmId::new(format!("entry-{entry}")).unwrap(),
    }])
}
