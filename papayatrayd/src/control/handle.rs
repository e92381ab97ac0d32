//! Handle by which tasks on other threads use the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

use displaydoc::Display;
use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_state::node::Node;
use papayatray_state::node::ProposeError;
use papayatray_state::node::Turn;
use papayatray_state::replica::Envelope;
use papayatray_state::storage::FolderDisk;
use papayatray_state::storage::StoreError;
use papayatray_wire::peer::BillsReply;
use papayatray_wire::peer::BillsRequest;
use papayatray_wire::peer::FormatReply;
use papayatray_wire::peer::HistoryReply;
use papayatray_wire::peer::HistoryRequest;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::ProposeReply;
use papayatray_wire::peer::ReadReply;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::RenewRequest;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::ReplaceRequest;
use papayatray_wire::peer::StatusReply;
use smol::channel;

use super::control_loop::ControlLoop;
use super::levels::FormatPoll;
use super::levels::FormatStatements;
use super::opener::ReplicaOpener;
use crate::observe::Metrics;
use crate::peer::Peers;

/// Closure that runs on the control thread with access to its state.
pub(super) type Job = Box<dyn FnOnce(&mut ControlLoop) + Send>;

/// Message to the control thread.
pub(super) enum Input {
    Receive(Box<Envelope>),
    Propose(Command, channel::Sender<Result<Reply, ProposeError>>),
    Renew(Box<RenewRequest>, channel::Sender<LeaderReply<RenewReply>>),
    Job(Job),
}

/// Reason why the control role cannot start or cannot handle a request.
#[derive(Debug, Display)]
pub enum ControlError {
    /// cannot use the data folder: {0}
    Store(StoreError),
    /// cannot start the control thread: {0}
    Thread(std::io::Error),
    /// the control thread has ended
    Ended,
}

impl std::error::Error for ControlError {}

impl From<StoreError> for ControlError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<std::io::Error> for ControlError {
    fn from(error: std::io::Error) -> Self {
        Self::Thread(error)
    }
}

/// Observer of the control thread's state, called on that thread.
pub trait TurnObserver: Send + std::fmt::Debug {
    /// Called after each turn, before the replies of that turn are sent.
    fn on_turn(&mut self, node: &Node<FolderDisk>, turn: &Turn, now: Millis);
}

/// Parameters of the control role.
#[derive(Debug)]
pub struct ControlParameters<'a> {
    /// VM of the replica.
    pub vm: VmId,
    /// Address at which other processes of the deployment reach this one.
    pub address: String,
    /// Data folder, which holds the replica's log and snapshots.
    pub folder: &'a std::path::Path,
    /// VMs of the initial replicas, with their peer addresses.
    pub founders: BTreeMap<VmId, String>,
    /// Connections to the other replicas.
    pub peers: Arc<Peers>,
    /// Clock, replaceable in tests.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Rules for replacing replicas without an operator.
    pub membership: MembershipPolicy,
    /// Observer of the state, if any; the gateway's control role publishes the state by it.
    pub observer: Option<Box<dyn TurnObserver>>,
}

/// Rules for changing the set of replicas without an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Number of voters that the leader restores after a loss; if absent, only operators replace
    /// replicas.
    pub voters: Option<usize>,
    /// Whether the deployment already exists, so that a blank replica joins and never bootstraps.
    pub joins_existing: bool,
}

/// Permission of the leader to send load and unload orders to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAuthority {
    /// Term, sent with each order as its fencing token.
    pub term: Term,
    /// Whether this leader has led long enough that no order of a previous leader can still arrive.
    pub is_exclusive: bool,
}

/// Handle of the control thread, which ends once all clones of its handle are dropped.
#[derive(Clone, Debug)]
pub struct Control {
    inputs: mpsc::Sender<Input>,
}

impl std::fmt::Debug for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Receive(_) => "Receive",
            Self::Propose(..) => "Propose",
            Self::Renew(..) => "Renew",
            Self::Job(_) => "Job",
        })
    }
}

/// Opens the data folder and starts the control thread.
///
/// # Errors
///
/// Returns why the folder cannot be used or the thread cannot be started.
pub fn start(parameters: ControlParameters<'_>) -> Result<Control, ControlError> {
    let opener = ReplicaOpener {
        vm: parameters.vm,
        address: parameters.address,
        folder_path: parameters.folder.to_owned(),
        founders: parameters.founders,
        membership: parameters.membership,
    };
    let node = opener.open(parameters.clock.now())?;
    let (inputs, input_receiver) = mpsc::channel();
    let control_loop = ControlLoop::new(
        node,
        opener,
        parameters.peers,
        parameters.clock,
        parameters.metrics,
        parameters.observer,
    );
    let run = move || control_loop.run(&input_receiver);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)?;
    Ok(Control { inputs })
}

impl Control {
    /// Passes a message from another replica to this one.
    pub fn receive(&self, envelope: Envelope) {
        let _ = self.inputs.send(Input::Receive(Box::new(envelope)));
    }

    /// Commits a command to the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn propose(
        &self,
        command: Command,
    ) -> Result<LeaderReply<ProposeReply>, ControlError> {
        let (reply_sender, reply) = channel::bounded(1);
        self.enqueue(Input::Propose(command, reply_sender))?;
        let reply = reply.recv().await.map_err(|_closed| ControlError::Ended)?;
        match reply {
            Err(ProposeError::NotLeader) => Ok(LeaderReply::NotLeader(self.leader().await?)),
            other => Ok(other.into()),
        }
    }

    /// Renews an entry's lease; if there is nothing new, the reply is delayed as in a long poll.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn renew(
        &self,
        request: RenewRequest,
    ) -> Result<LeaderReply<RenewReply>, ControlError> {
        let (reply_sender, reply) = channel::bounded(1);
        self.enqueue(Input::Renew(Box::new(request), reply_sender))?;
        reply.recv().await.map_err(|_closed| ControlError::Ended)
    }

    /// Returns the replica's status.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn status(&self) -> Result<StatusReply, ControlError> {
        self.run_job(|state| state.status()).await
    }

    /// Returns billing totals and, if requested, single bills.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn bills(
        &self,
        request: BillsRequest,
    ) -> Result<LeaderReply<BillsReply>, ControlError> {
        self.run_job(move |state| state.reply_if_leader(|state| state.bills(&request)))
            .await
    }

    /// Returns the gateway's roll-outs and, with `with_source`, the text of the published plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn read(&self, with_source: bool) -> Result<LeaderReply<ReadReply>, ControlError> {
        self.run_job(move |state| state.reply_if_leader(|state| state.read(with_source)))
            .await
    }

    /// Returns which format levels the replica reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn format(&self) -> Result<FormatReply, ControlError> {
        self.run_job(|state| state.format_reply()).await
    }

    /// Returns the replicas that the leader has to ask which format levels they read; `None` if this
    /// replica does not lead or its leader lease is not current.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn format_poll(&self) -> Result<Option<FormatPoll>, ControlError> {
        self.run_job(|state| state.format_poll()).await
    }

    /// Takes over what processes have stated, and raises the format level if all read the next one.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn apply_statements(&self, statements: FormatStatements) -> Result<(), ControlError> {
        self.run_job(move |state| state.apply_statements(statements))
            .await
    }

    /// Returns the accepted configuration changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn history(
        &self,
        request: HistoryRequest,
    ) -> Result<LeaderReply<HistoryReply>, ControlError> {
        self.run_job(move |state| state.reply_if_leader(|state| state.history(request)))
            .await
    }

    /// Starts the replacement of a lost replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn replace(
        &self,
        request: ReplaceRequest,
    ) -> Result<LeaderReply<ReplaceReply>, ControlError> {
        self.run_job(move |state| state.reply_if_leader(|state| state.replace(&request)))
            .await
    }

    /// Returns permission to send orders if this replica leads and its leader lease is current.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn order_authority(&self) -> Result<Option<OrderAuthority>, ControlError> {
        self.run_job(|state| state.order_authority()).await
    }

    /// Transfers leadership to another replica, as part of a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn transfer_leadership(&self) -> Result<(), ControlError> {
        self.run_job(ControlLoop::transfer_leadership).await
    }

    async fn leader(&self) -> Result<Option<VmId>, ControlError> {
        self.run_job(|state| state.leader()).await
    }

    async fn run_job<F, T>(&self, query: F) -> Result<T, ControlError>
    where
        F: FnOnce(&mut ControlLoop) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (reply_sender, reply) = channel::bounded(1);
        let job = move |state: &mut ControlLoop| {
            let _ = reply_sender.try_send(query(state));
        };
        self.enqueue(Input::Job(Box::new(job)))?;
        reply.recv().await.map_err(|_closed| ControlError::Ended)
    }

    fn enqueue(&self, input: Input) -> Result<(), ControlError> {
        self.inputs
            .send(input)
            .map_err(|_closed| ControlError::Ended)
    }
}
