//! Keeper: the control thread's state and its loop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::id::VmId;
use papayatray_core::lease::LEADER_LEASE_DURATION;
use papayatray_state::machine::Reply;
use papayatray_state::node::Node;
use papayatray_state::node::ProposalId;
use papayatray_state::node::Refusal;
use papayatray_state::node::Turn;
use papayatray_state::replica::ReplicaId;
use papayatray_state::replica::Role;
use papayatray_state::storage::FolderDisk;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::RENEW_POLL_TIMEOUT;
use papayatray_wire::peer::Renew;
use papayatray_wire::peer::RenewReply;
use smol::channel::Sender;

use super::handle::Commander;
use super::handle::Input;
use super::handle::Watch;
use super::lead::LeaderState;
use super::opener::Opener;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::event;
use crate::peer::Peers;

/// Time between two ticks of an idle replica.
const TICK: Millis = Millis::new(20);
/// Inputs taken into one turn, which share one sync.
const TURN_INPUTS: usize = 512;
/// Time between two tries to open a folder whose disk failed.
const REOPEN_PAUSE: Millis = Millis::new(500);

/// Renewal whose answer is held back.
#[derive(Debug)]
struct Held {
    renew: Box<Renew>,
    reply: Sender<LeaderReply<RenewReply>>,
    since: Millis,
}

/// State of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    pub(super) node: Node<FolderDisk>,
    pub(super) lead: Option<LeaderState>,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    waiting: BTreeMap<ProposalId, Sender<Result<Reply, Refusal>>>,
    held: Vec<Held>,
    next_token: ProposalId,
    role: Role,
    boot: &'static str,
    opener: Opener,
    watch: Option<Box<dyn Watch>>,
    reopened: Millis,
}

impl ControlLoop {
    pub(super) fn new(
        node: Node<FolderDisk>,
        opener: Opener,
        peers: Arc<Peers>,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        watch: Option<Box<dyn Watch>>,
    ) -> Self {
        Self {
            boot: node.replica().boot().as_str(),
            node,
            lead: None,
            peers,
            clock,
            metrics,
            waiting: BTreeMap::new(),
            held: Vec::new(),
            next_token: 0,
            role: Role::Follower,
            opener,
            watch,
            reopened: Millis::ZERO,
        }
    }

    /// Takes inputs and turns until the last handle is gone.
    pub(super) fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            match inputs.recv_timeout(TICK.to_duration()) {
                Ok(first) => self.take(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(TURN_INPUTS) {
                self.take(input);
            }
            let turn = self.node.turn(self.clock.now());
            self.finish(turn);
            self.reopen();
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Receive(envelope) => self.node.receive(now, *envelope),
            Input::Propose(command, reply) => {
                self.next_token += 1;
                self.waiting.insert(self.next_token, reply);
                self.node
                    .propose(self.next_token, command, self.clock.wall());
            }
            Input::Renew(renew, reply) => self.take_renew(renew, reply, now),
            Input::Job(job) => job(self),
        }
    }

    fn take_renew(
        &mut self,
        renew: Box<Renew>,
        reply: Sender<LeaderReply<RenewReply>>,
        now: Millis,
    ) {
        if !self.node.replica().is_current(now) {
            let _ = reply.try_send(LeaderReply::NotLeader(self.leader()));
            return;
        }
        if let Some(lead) = &mut self.lead {
            lead.renew(&renew, now);
        }
        self.held.push(Held {
            renew,
            reply,
            since: now,
        });
    }

    fn finish(&mut self, turn: Turn) {
        let now = self.clock.now();
        if let Some(watch) = &mut self.watch {
            watch.turned(&self.node, now);
        }
        for envelope in turn.messages {
            if let Some(address) = self.address_of(&envelope.to) {
                self.peers.send(&address, envelope);
            }
        }
        for (token, result) in turn.replies {
            if let Some(reply) = self.waiting.remove(&token) {
                let _ = reply.try_send(result);
            }
        }
        self.watch_role(now);
        self.tend_lead(now);
        self.answer_held(now);
    }

    fn address_of(&self, id: &ReplicaId) -> Option<String> {
        let member = self.node.replica().members().get(id);
        let own = member.map(|member| member.address.clone());
        own.or_else(|| self.node.founder_address(&id.vm).map(str::to_owned))
    }

    fn watch_role(&mut self, now: Millis) {
        let replica = self.node.replica();
        let (role, boot) = (replica.role(), replica.boot().as_str());
        let term = replica.term();
        if role != self.role {
            event(
                Level::Info,
                "role",
                &[("role", &format!("{role:?}")), ("term", &term)],
            );
            self.role = role;
        }
        if boot != self.boot {
            let level = if replica.boot().is_stale() {
                Level::Error
            } else {
                Level::Info
            };
            event(
                level,
                "boot",
                &[("stage", &boot), ("replica", replica.id())],
            );
            self.boot = boot;
        }
        let is_new = self.lead.as_ref().is_none_or(|lead| lead.term() != term);
        match (role == Role::Leader, is_new) {
            (true, true) => self.lead = Some(LeaderState::new(term, now)),
            (false, _) => self.lead = None,
            (true, false) => {}
        }
    }

    /// Opens the folder anew after the disk failed, or as a new replica's where it is outdated.
    fn reopen(&mut self) {
        let now = self.clock.now();
        let is_failed = self.node.store().is_failed();
        let is_stale = self.node.replica().boot().is_stale() && self.opener.renews();
        if (!is_failed && !is_stale) || now.since(self.reopened) < REOPEN_PAUSE {
            return;
        }
        self.reopened = now;
        let id = self.node.replica().id().clone();
        event(
            Level::Error,
            "replica_reopened",
            &[
                ("replica", &id),
                ("disk_failed", &is_failed),
                ("outdated", &is_stale),
            ],
        );
        let opened = if is_failed {
            self.opener.open(now)
        } else {
            self.opener.renew(&id, now)
        };
        match opened {
            Ok(node) => {
                self.node = node;
                self.lead = None;
                self.fail_waiting();
            }
            Err(error) => event(Level::Error, "reopen_failed", &[("error", &error)]),
        }
    }

    /// Answers those who wait for a command of the replica that was given up.
    fn fail_waiting(&mut self) {
        for (_, reply) in std::mem::take(&mut self.waiting) {
            let _ = reply.try_send(Err(Refusal::Unknown));
        }
    }

    /// Lets the leader look at its leases and its evidence.
    fn tend_lead(&mut self, now: Millis) {
        if !self.node.replica().is_current(now) {
            return;
        }
        let Some(lead) = &mut self.lead else {
            return;
        };
        let change = lead.maintain(self.node.machine(), now);
        self.metrics
            .gauge("control.commit", self.node.replica().commit());
        if let Some(change) = change {
            event(
                Level::Warn,
                "version_halted",
                &[("change", &change.id), ("why", &change.why)],
            );
            let command = papayatray_state::machine::Command::Configure(change);
            self.next_token += 1;
            self.node
                .propose(self.next_token, command, self.clock.wall());
        }
    }

    /// Answers renewals for which something is new, or which were held long enough.
    fn answer_held(&mut self, now: Millis) {
        if self.held.is_empty() {
            return;
        }
        let is_current = self.node.replica().is_current(now);
        let members = self.node.replica().members();
        for held in std::mem::take(&mut self.held) {
            let Some(lead) = self.lead.as_ref().filter(|_| is_current) else {
                let _ = held.reply.try_send(LeaderReply::NotLeader(self.leader()));
                continue;
            };
            let answer = lead.answer(&held.renew, self.node.machine(), members, now);
            let is_new = answer.seen != held.renew.seen;
            if is_new || now.since(held.since) >= RENEW_POLL_TIMEOUT {
                let _ = held.reply.try_send(LeaderReply::Answer(answer));
            } else {
                self.held.push(held);
            }
        }
    }

    pub(super) fn leader(&self) -> Option<VmId> {
        self.node.replica().leader().map(|id| id.vm.clone())
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(super) fn commander(&self) -> Option<Commander> {
        let now = self.clock.now();
        let replica = self.node.replica();
        let alone = now >= replica.led_since() + LEADER_LEASE_DURATION;
        replica.is_current(now).then_some(Commander {
            term: replica.term(),
            alone,
        })
    }

    pub(super) fn transfer_leadership(&mut self) {
        let now = self.clock.now();
        self.node.replica_mut().transfer_leadership(now);
    }
}
