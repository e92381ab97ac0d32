//! Simulated cluster: the test controls messages, clocks and crashes of its nodes, and the
//! invariants of the state are checked at every step.

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

/// Maximum number of messages in transit; beyond it the oldest are lost.
const MAX_IN_TRANSIT: usize = 2_000;
/// Time of a process's clock at its start, as in the daemon.
const PROCESS_START: Millis = Millis::from_secs(3_600);

/// VM with its node, which may be stopped.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmId,
    /// Id of the replica with the current data folder.
    pub id: ReplicaId,
    /// Node; `None` while it is stopped.
    pub node: Option<Node<FakeDisk>>,
    /// Disk, while the node is stopped.
    pub disk: FakeDisk,
    /// Time of the VM's clock at which the node started.
    started_at: Millis,
    /// Rate of the VM's clock, in thousandths of the rate of real time.
    pub rate: u64,
    /// Offset of the VM's clock in milliseconds, so that it stays continuous when `rate` changes.
    offset: i64,
}

/// Results that were returned to clients.
#[derive(Debug, Default)]
pub struct Replies {
    /// Outcome of each change.
    pub changes: BTreeMap<ChangeId, Outcome>,
    /// Requests whose claim was granted, with the entry and nonce of the claim.
    pub granted: BTreeMap<RequestKey, (VmId, u64)>,
    /// Requests whose bill was acknowledged.
    pub billed: BTreeSet<RequestKey>,
}

/// Simulated VMs, the network between them, and the replies returned so far.
#[derive(Debug)]
pub struct Cluster {
    /// Simulated VMs; the first three found the deployment.
    pub vms: Vec<Vm>,
    /// Messages in transit.
    pub network: Vec<Envelope>,
    /// Messages that arrive only after [`Cluster::release_delayed`].
    delayed: Vec<Envelope>,
    /// Pairs of VMs where messages from the first to the second are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Results that were returned to clients.
    pub replies: Replies,
    /// Real time in milliseconds.
    now: u64,
    /// Proposed commands without a reply, by proposal id.
    proposed: BTreeMap<ProposalId, Command>,
    /// Id of the last proposal.
    last_id: ProposalId,
    /// Leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// Position of each committed entry.
    committed: BTreeMap<Index, Position>,
    /// Number of data folders created so far, which is the number of the last folder.
    folders: u64,
    /// Number of processes started so far.
    starts: u64,
    /// Number of voters that leaders maintain automatically; `None` disables self-repair.
    target_voters: Option<usize>,
}

impl Cluster {
    /// Starts `count` blank nodes that repair their member list automatically.
    pub fn self_repairing(count: usize) -> Self {
        Self::with_repair(count, Some(count))
    }

    /// Starts `count` blank nodes without automatic repair.
    pub fn new(count: usize) -> Self {
        Self::with_repair(count, None)
    }

    fn with_repair(count: usize, target_voters: Option<usize>) -> Self {
        let mut cluster = Self {
            vms: Vec::new(),
            network: Vec::new(),
            delayed: Vec::new(),
            blocked_links: BTreeSet::new(),
            replies: Replies::default(),
            now: 1_000_000,
            proposed: BTreeMap::new(),
            last_id: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            folders: 0,
            starts: 0,
            target_voters,
        };
        for number in 0..count {
            cluster.add_vm(&format!("vm-{number}"));
        }
        for number in 0..count {
            cluster.start(number);
        }
        cluster
    }

    /// Adds a VM with an empty disk, without starting it; returns its number.
    pub fn add_vm(&mut self, name: &str) -> usize {
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
            started_at: Millis::ZERO,
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

    /// Returns the time of the clock of a VM's process, which begins anew with each process.
    pub fn clock(&self, number: usize) -> Millis {
        PROCESS_START + self.vm_clock(number).since(self.vms[number].started_at)
    }

    /// Returns the time of a VM's clock.
    fn vm_clock(&self, number: usize) -> Millis {
        let vm = &self.vms[number];
        let elapsed = i64::try_from(self.now * vm.rate / 1_000).unwrap();
        Millis::new(u64::try_from(elapsed + vm.offset).unwrap())
    }

    /// Sets the rate of a VM's clock, in thousandths of real time; the clock does not jump.
    pub fn set_rate(&mut self, number: usize, rate: u64) {
        let before = i64::try_from(self.vm_clock(number).as_u64()).unwrap();
        let vm = &mut self.vms[number];
        vm.rate = rate;
        vm.offset = before - i64::try_from(self.now * rate / 1_000).unwrap();
    }

    /// Restarts the VM of a stale replica with an empty disk, as the daemon does.
    pub fn reset_if_stale(&mut self, number: usize) {
        let node = self.vms[number].node.as_ref();
        if node.is_some_and(|node| node.replica().boot().is_stale()) {
            self.crash(number, 0);
            self.wipe(number);
            self.start(number);
        }
    }

    /// Starts the node of a VM from its disk, if it is stopped.
    pub fn start(&mut self, number: usize) {
        if self.vms[number].node.is_some() {
            return;
        }
        self.starts += 1;
        self.vms[number].started_at = self.vm_clock(number);
        let now = self.clock(number);
        let founders = self.vms[..3.min(self.vms.len())].iter();
        let founders = founders
            .map(|vm| (vm.name.clone(), vm.name.to_string()))
            .collect();
        let vm = &mut self.vms[number];
        let disk = std::mem::take(&mut vm.disk);
        let (store, loaded) = Store::open(disk).expect("what was synced can be read");
        let seed = 7_919 * self.starts;
        let address = vm.name.to_string();
        let node = Node::new(vm.id.clone(), &address, store, loaded, seed, now);
        let mut node = node.expect("a snapshot that was synced can be read");
        node.set_founders(founders, None);
        if let Some(voters) = self.target_voters {
            node.replica_mut().set_self_repair(voters);
        }
        vm.node = Some(node);
    }

    /// Crashes the node of a VM; up to `torn` unsynced bytes of each file survive.
    pub fn crash(&mut self, number: usize, torn: usize) {
        if let Some(node) = self.vms[number].node.take() {
            self.vms[number].disk = node.into_disk().crash(torn);
        }
    }

    /// Advances real time, and gives each node a turn.
    pub fn advance(&mut self, millis: u64) {
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
        // As in a daemon, a message to a replica whose address is not known is lost.
        let replica = node.replica();
        let sent = turn.messages.into_iter();
        let sent = sent.filter(|envelope| replica.address_of(&envelope.to).is_some());
        self.network.extend(sent);
        let excess = self.network.len().saturating_sub(MAX_IN_TRANSIT);
        self.network.drain(..excess);
        for (id, result) in turn.replies {
            if let (Some(command), Ok(reply)) = (self.proposed.remove(&id), result) {
                self.check_reply(&command, &reply);
            }
        }
        self.check_invariants();
    }

    /// Delivers the message at `place`, modulo the number of messages, unless its link is blocked.
    pub fn deliver(&mut self, place: usize) {
        if self.network.is_empty() {
            return;
        }
        let envelope = self.network.remove(place % self.network.len());
        self.deliver_envelope(envelope);
    }

    /// Blocks all links of a VM.
    pub fn isolate(&mut self, vm: usize) {
        for other in 0..self.vms.len() {
            self.blocked_links.extend([(vm, other), (other, vm)]);
        }
    }

    /// Delays all messages in transit until [`Self::release_delayed`].
    pub fn delay_messages(&mut self) {
        self.delayed.append(&mut self.network);
        let excess = self.delayed.len().saturating_sub(MAX_IN_TRANSIT);
        self.delayed.drain(..excess);
    }

    /// Puts the delayed messages before the others in transit.
    pub fn release_delayed(&mut self) {
        let later = std::mem::take(&mut self.network);
        self.network = std::mem::take(&mut self.delayed);
        self.network.extend(later);
    }

    fn deliver_envelope(&mut self, envelope: Envelope) {
        let from = self.vms.iter().position(|vm| vm.name == envelope.from.vm);
        let to = self.vms.iter().position(|vm| vm.name == envelope.to.vm);
        let (Some(from), Some(to)) = (from, to) else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let now = self.clock(to);
        if let Some(node) = &mut self.vms[to].node {
            node.receive(now, envelope);
            self.turn(to);
        }
    }

    /// Runs `rounds` rounds of 40 ms, in each of which all messages are delivered in order.
    pub fn settle(&mut self, rounds: usize) {
        self.settle_with_delay(rounds, 40);
    }

    /// Runs rounds like [`Self::settle`], of `millis` each: every message takes that long.
    pub fn settle_with_delay(&mut self, rounds: usize, millis: u64) {
        for _ in 0..rounds {
            self.advance(millis);
            for envelope in std::mem::take(&mut self.network) {
                self.deliver_envelope(envelope);
            }
        }
    }

    /// Proposes a command on the node of a VM, if it runs.
    pub fn propose(&mut self, number: usize, command: Command) {
        let at = self.vm_clock(number);
        self.last_id += 1;
        let id = self.last_id;
        if let Some(node) = &mut self.vms[number].node {
            node.propose(id, command.clone(), at);
            self.proposed.insert(id, command);
            self.turn(number);
        }
    }

    /// Returns the VM whose node is a leader with a valid lease.
    pub fn leader(&self) -> Option<usize> {
        let is_current = |number: &usize| {
            let node = self.vms[*number].node.as_ref();
            node.is_some_and(|node| node.replica().is_current(self.clock(*number)))
        };
        (0..self.vms.len()).find(is_current)
    }

    /// Returns the node of a VM, which must be running.
    pub fn node(&self, number: usize) -> &Node<FakeDisk> {
        self.vms[number].node.as_ref().expect("the node runs")
    }

    /// Returns the node of a VM, which must be running.
    pub fn node_mut(&mut self, number: usize) -> &mut Node<FakeDisk> {
        self.vms[number].node.as_mut().expect("the node runs")
    }

    /// Checks that a reply is consistent with all earlier replies.
    fn check_reply(&mut self, command: &Command, reply: &Reply) {
        match (command, reply) {
            (Command::Configure(change), Reply::Configured(outcome)) => {
                let first = self.replies.changes.entry(change.id.clone());
                let first = first.or_insert_with(|| outcome.clone());
                assert_eq!(
                    first, outcome,
                    "a resend of {} gets the first outcome",
                    change.id
                );
                self.check_unique_revisions();
            }
            (Command::Claim(request), Reply::Claim(ClaimDecision::Granted)) => {
                let claim = (request.entry.clone(), request.nonce);
                let first = self
                    .replies
                    .granted
                    .entry(request.key.clone())
                    .or_insert(claim.clone());
                assert_eq!(
                    *first, claim,
                    "no second run under request id {:?}",
                    request.key
                );
            }
            (Command::Bill(bills), Reply::Billed(_)) => {
                self.replies
                    .billed
                    .extend(bills.iter().map(|bill| bill.key.clone()));
            }
            _ => {}
        }
    }

    /// Returns the state of each running node, one per line, for assertion messages.
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
                    .map(|(id, m)| format!("{id} voter {} replaces {:?}", m.is_voter, m.replaces))
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

    /// Checks that no two changes were accepted as the same revision.
    fn check_unique_revisions(&self) {
        let mut accepted = BTreeMap::new();
        for (id, outcome) in &self.replies.changes {
            if let Outcome::Accepted(revision) = outcome
                && let Some(other) = accepted.insert(*revision, id)
            {
                panic!("changes {id} and {other} were both accepted as revision {revision}");
            }
        }
    }

    /// Returns the last revision that was acknowledged to a client.
    fn acknowledged_revision(&self) -> Revision {
        let outcomes = self.replies.changes.values();
        let accepted = outcomes.filter_map(|outcome| match outcome {
            Outcome::Accepted(revision) => Some(*revision),
            _ => None,
        });
        accepted.max().unwrap_or(Revision(0))
    }

    /// Checks the invariants: one leader per term, one valid leader lease at a time, no acknowledged
    /// change that a current leader lacks, and equal committed entries on all nodes.
    fn check_invariants(&mut self) {
        let acknowledged = self.acknowledged_revision();
        let mut current_leaders = 0;
        for number in 0..self.vms.len() {
            let now = self.clock(number);
            let Some(node) = &self.vms[number].node else {
                continue;
            };
            let replica = node.replica();
            if replica.is_current(now) {
                current_leaders += 1;
                let served = node.machine().catalogue().revision;
                assert!(
                    served >= acknowledged,
                    "{} serves revision {served} although {acknowledged} is acknowledged",
                    replica.id()
                );
            }
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
                let expected = self
                    .committed
                    .entry(entry.position.index)
                    .or_insert(entry.position);
                assert_eq!(
                    *expected,
                    entry.position,
                    "committed logs agree at {}",
                    replica.id()
                );
            }
        }
        assert!(current_leaders <= 1, "at most one leader has a valid lease");
    }

    /// Checks that the leader's state contains everything that was acknowledged to clients.
    pub fn check_durability(&self) {
        let leader = self.leader().expect("a leader after all faults have ended");
        let machine = self.node(leader).machine();
        let history = machine.changes().history();
        for (id, outcome) in &self.replies.changes {
            if let Outcome::Accepted(revision) = outcome {
                let is_recorded = history
                    .iter()
                    .any(|a| a.id == *id && a.revision == *revision);
                assert!(
                    is_recorded,
                    "accepted change {id} is in the history as revision {revision}"
                );
            }
        }
        let billed: Vec<_> = machine.ledger().lines().map(|bill| &bill.key).collect();
        for key in &self.replies.billed {
            let count = billed.iter().filter(|billed| **billed == key).count();
            assert_eq!(count, 1, "one bill for {key:?}");
        }
        let sum: u64 = machine
            .ledger()
            .totals()
            .values()
            .map(|total| total.requests)
            .sum();
        assert_eq!(sum, billed.len() as u64, "totals count each request once");
    }
}

/// Returns a command with configuration change `number`, based on revision `base`.
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

/// Returns a command by which entry `entry` claims request `number`; `nonce` identifies the claim.
pub fn claim(number: u64, entry: u64, nonce: u64) -> Command {
    Command::Claim(ClaimRequest {
        key: key(number),
        entry: VmId::new(format!("entry-{entry}")).unwrap(),
        nonce,
        body: 7,
        span: Millis::new(50),
    })
}

/// Returns a command that records the bill of request `number` from entry `entry`.
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
