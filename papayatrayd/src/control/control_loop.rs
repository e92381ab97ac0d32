//! Control loop: the control thread's state and its main loop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::id::VmId;
use papayatray_core::lease::LEADER_LEASE_DURATION;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::node::Node;
use papayatray_state::node::ProposalId;
use papayatray_state::node::ProposeError;
use papayatray_state::node::Turn;
use papayatray_state::replica::ReplicaId;
use papayatray_state::replica::Role;
use papayatray_state::storage::FolderDisk;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::RENEW_POLL_TIMEOUT;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::RenewRequest;
use smol::channel::Sender;

use super::handle::Input;
use super::handle::OrderAuthority;
use super::handle::TurnObserver;
use super::leader_state::LeaderState;
use super::levels::LevelState;
use super::opener::ReplicaOpener;
use crate::observe::Level;
use crate::observe::Metrics;
use crate::observe::event;
use crate::peer::Peers;

/// Interval between two turns of a replica without input, which drive its timers.
const TICK_INTERVAL: Millis = Millis::new(20);
/// Time between two turns from which on the later one counts as delayed: heartbeats of replicas are
/// sent and answered in turns.
const DELAYED_TURN: Millis = Millis::new(150);
/// Maximum number of inputs handled in one turn, which share one disk sync.
const MAX_TURN_INPUTS: usize = 512;
/// Back-off between two attempts to reopen the data folder.
const REOPEN_BACKOFF: Millis = Millis::new(500);
/// Interval at which a replica that waits to take part says so.
const BOOT_LOG_INTERVAL: Millis = Millis::from_secs(1);
/// Minimum interval of lines on ignored answers of other replicas.
const FOREIGN_LOG_INTERVAL: Millis = Millis::from_secs(1);

/// Lease renewal whose reply is delayed until there is something new, or until the poll times out.
#[derive(Debug)]
struct PendingRenewal {
    request: Box<RenewRequest>,
    reply_sender: Sender<LeaderReply<RenewReply>>,
    received_at: Millis,
}

/// State of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    pub(super) node: Node<FolderDisk>,
    pub(super) leader_state: Option<LeaderState>,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    pending_proposals: BTreeMap<ProposalId, Sender<Result<Reply, ProposeError>>>,
    pending_renewals: Vec<PendingRenewal>,
    last_proposal: ProposalId,
    /// Role when it was last logged.
    role: Role,
    /// Ignored answers of other replicas when they were last logged, and the time of that.
    foreign_replies: (u64, Millis),
    /// Boot stage when it was last logged; empty before the first time.
    boot_stage: &'static str,
    /// Time at which the boot stage was last logged.
    boot_logged_at: Millis,
    opener: ReplicaOpener,
    observer: Option<Box<dyn TurnObserver>>,
    last_reopened_at: Millis,
    pub(super) levels: LevelState,
}

impl ControlLoop {
    pub(super) fn new(
        node: Node<FolderDisk>,
        opener: ReplicaOpener,
        peers: Arc<Peers>,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        observer: Option<Box<dyn TurnObserver>>,
    ) -> Self {
        Self {
            boot_stage: "",
            boot_logged_at: Millis::ZERO,
            node,
            leader_state: None,
            peers,
            clock,
            metrics,
            pending_proposals: BTreeMap::new(),
            pending_renewals: Vec::new(),
            last_proposal: 0,
            role: Role::Follower,
            foreign_replies: (0, Millis::ZERO),
            opener,
            observer,
            last_reopened_at: Millis::ZERO,
            levels: LevelState::default(),
        }
    }

    /// Handles inputs in turns until the last [`Control`](super::Control) is dropped.
    pub(super) fn run(mut self, inputs: &Receiver<Input>) {
        let mut last_turn_at = self.clock.now();
        loop {
            match inputs.recv_timeout(TICK_INTERVAL.to_duration()) {
                Ok(first) => self.handle_input(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(MAX_TURN_INPUTS) {
                self.handle_input(input);
            }
            let now = self.clock.now();
            log_delay(now.since(last_turn_at));
            last_turn_at = now;
            let turn = self.node.turn(now);
            self.finish_turn(turn);
            self.reopen_if_needed();
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Receive(envelope) => self.node.receive(now, *envelope),
            Input::Propose(command, reply) => {
                self.last_proposal += 1;
                self.pending_proposals.insert(self.last_proposal, reply);
                self.node
                    .propose(self.last_proposal, command, self.clock.wall());
            }
            Input::Renew(request, reply) => self.handle_renew(request, reply, now),
            Input::Job(job) => job(self),
        }
    }

    fn handle_renew(
        &mut self,
        request: Box<RenewRequest>,
        reply_sender: Sender<LeaderReply<RenewReply>>,
        now: Millis,
    ) {
        if !self.node.replica().is_current(now) {
            let _ = reply_sender.try_send(LeaderReply::NotLeader(self.leader()));
            return;
        }
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.renew(&request, now);
        }
        self.pending_renewals.push(PendingRenewal {
            request,
            reply_sender,
            received_at: now,
        });
    }

    fn finish_turn(&mut self, turn: Turn) {
        let now = self.clock.now();
        if let Some(observer) = &mut self.observer {
            observer.on_turn(&self.node, &turn, now);
        }
        for envelope in turn.messages {
            if let Some(address) = self.address_of(&envelope.to) {
                self.peers.send(&address, envelope);
            }
        }
        for (proposal, result) in turn.replies {
            if let Some(reply) = self.pending_proposals.remove(&proposal) {
                let _ = reply.try_send(result);
            }
        }
        self.track_role(now);
        self.log_foreign_replies(now);
        self.log_halt();
        self.bound_admission();
        self.maintain_leader(now);
        self.reply_to_renewals(now);
    }

    fn address_of(&self, id: &ReplicaId) -> Option<String> {
        let address = self.node.replica().address_of(id);
        address.map(str::to_owned)
    }

    /// Logs changes of role and boot stage, and creates or drops the leader state accordingly.
    fn track_role(&mut self, now: Millis) {
        let replica = self.node.replica();
        let (role, boot_stage) = (replica.role(), replica.boot().as_str());
        let term = replica.term();
        if role != self.role {
            event(
                Level::Info,
                "role",
                &[("role", &format!("{role:?}")), ("term", &term)],
            );
            self.role = role;
        }
        let is_waiting = !replica.boot().is_open();
        if boot_stage != self.boot_stage
            || (is_waiting && now.since(self.boot_logged_at) >= BOOT_LOG_INTERVAL)
        {
            self.log_boot(boot_stage);
            self.boot_stage = boot_stage;
            self.boot_logged_at = now;
        }
        let is_new_term = self
            .leader_state
            .as_ref()
            .is_none_or(|leader_state| leader_state.term() != term);
        match (role == Role::Leader, is_new_term) {
            (true, true) => self.leader_state = Some(LeaderState::new(term, now)),
            (false, _) => self.leader_state = None,
            (true, false) => {}
        }
    }

    /// Logs how many answers of other replicas have been ignored, if there are new ones.
    fn log_foreign_replies(&mut self, now: Millis) {
        let replica = self.node.replica();
        let count = replica.foreign_replies();
        let (logged, logged_at) = self.foreign_replies;
        if count <= logged || now.since(logged_at) < FOREIGN_LOG_INTERVAL {
            return;
        }
        self.foreign_replies = (count, now);
        self.metrics.gauge("control.foreign_replies", count);
        event(
            Level::Warn,
            "foreign_replies_ignored",
            &[("new", &(count - logged)), ("term", &replica.term())],
        );
    }

    /// Logs the boot stage, with what decides whether the replica takes part.
    fn log_boot(&self, stage: &'static str) {
        let replica = self.node.replica();
        let boot = replica.boot();
        let members = replica.members().iter();
        let members: Vec<String> = members
            .map(|(id, member)| {
                let mark = if member.is_voter { "" } else { "?" };
                format!("{id}{mark}")
            })
            .collect();
        let confirmed: Vec<String> = boot.confirmed_by().map(ToString::to_string).collect();
        let blanks: Vec<String> = boot.blanks().map(ToString::to_string).collect();
        event(
            if boot.is_stale() {
                Level::Error
            } else {
                Level::Info
            },
            "boot",
            &[
                ("stage", &stage),
                ("replica", replica.id()),
                ("term", &replica.term()),
                ("last", &replica.log().last().index),
                ("members", &members.join(",")),
                ("confirmed_by", &confirmed.join(",")),
                ("blanks", &blanks.join(",")),
            ],
        );
    }

    /// Reopens the data folder after a disk failure, or as a new replica if this one is outdated.
    fn reopen_if_needed(&mut self) {
        let now = self.clock.now();
        let is_failed = self.node.store().is_failed();
        let is_stale = self.node.replica().boot().is_stale() && self.opener.replaces_itself();
        if (!is_failed && !is_stale) || now.since(self.last_reopened_at) < REOPEN_BACKOFF {
            return;
        }
        self.last_reopened_at = now;
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
            self.opener.reopen_as_new(&id, now)
        };
        match opened {
            Ok(node) => {
                self.node = node;
                // The new replica counts from zero.
                self.foreign_replies.0 = 0;
                self.leader_state = None;
                self.fail_proposals();
            }
            Err(error) => event(Level::Error, "reopen_failed", &[("error", &error)]),
        }
    }

    /// Fails the proposals of the abandoned replica; whether they were committed is unknown.
    fn fail_proposals(&mut self) {
        for (_, reply) in std::mem::take(&mut self.pending_proposals) {
            let _ = reply.try_send(Err(ProposeError::Unknown));
        }
    }

    /// Runs the leader's periodic work, and proposes the halt of a failing version.
    fn maintain_leader(&mut self, now: Millis) {
        if !self.node.replica().is_current(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let change = leader_state.maintain(self.node.machine(), now);
        self.metrics
            .gauge("control.commit", self.node.replica().commit());
        if let Some(change) = change {
            event(
                Level::Warn,
                "version_halted",
                &[("change", &change.id), ("why", &change.why)],
            );
            self.propose_internally(Command::Configure(change));
        }
    }

    /// Proposes a command for which no client waits.
    pub(super) fn propose_internally(&mut self, command: Command) {
        self.last_proposal += 1;
        self.node
            .propose(self.last_proposal, command, self.clock.wall());
    }

    /// Replies to renewals for which there is something new or whose poll has timed out.
    fn reply_to_renewals(&mut self, now: Millis) {
        if self.pending_renewals.is_empty() {
            return;
        }
        let is_current = self.node.replica().is_current(now);
        let members = self.node.replica().members();
        for pending in std::mem::take(&mut self.pending_renewals) {
            let Some(leader_state) = self.leader_state.as_ref().filter(|_| is_current) else {
                let _ = pending
                    .reply_sender
                    .try_send(LeaderReply::NotLeader(self.leader()));
                continue;
            };
            let reply =
                leader_state.renew_reply(&pending.request, self.node.machine(), members, now);
            let has_updates = reply.versions != pending.request.versions;
            if has_updates || now.since(pending.received_at) >= RENEW_POLL_TIMEOUT {
                let _ = pending.reply_sender.try_send(LeaderReply::Reply(reply));
            } else {
                self.pending_renewals.push(pending);
            }
        }
    }

    pub(super) fn leader(&self) -> Option<VmId> {
        self.node.replica().leader().map(|id| id.vm.clone())
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns permission to send orders if this replica leads and its leader lease is current.
    pub(super) fn order_authority(&self) -> Option<OrderAuthority> {
        let now = self.clock.now();
        let replica = self.node.replica();
        let is_exclusive = now >= replica.led_since() + LEADER_LEASE_DURATION;
        replica.is_current(now).then_some(OrderAuthority {
            term: replica.term(),
            is_exclusive,
        })
    }

    pub(super) fn transfer_leadership(&mut self) {
        let now = self.clock.now();
        self.node.replica_mut().transfer_leadership(now);
    }
}

/// Logs the time since the last turn if it is too long.
fn log_delay(since_last: Millis) {
    if since_last >= DELAYED_TURN {
        event(
            Level::Warn,
            "turn_delayed",
            &[("since_last_ms", &since_last.as_u64())],
        );
    }
}
