//! Handle on the control thread.

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
use papayatray_state::node::Refusal;
use papayatray_state::replica::Envelope;
use papayatray_state::storage::FolderDisk;
use papayatray_state::storage::StoreError;
use papayatray_wire::peer::Bills;
use papayatray_wire::peer::BillsRequest;
use papayatray_wire::peer::History;
use papayatray_wire::peer::HistoryRequest;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::ProposeReply;
use papayatray_wire::peer::ReadReply;
use papayatray_wire::peer::Renew;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::Replace;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::Status;
use smol::channel;

use super::keeper::ControlLoop;
use super::opener::Opener;
use crate::observe::Metrics;
use crate::peer::Peers;

/// Work that the control thread does with its state.
pub(super) type Job = Box<dyn FnOnce(&mut ControlLoop) + Send>;

/// What goes into the control thread.
pub(super) enum Input {
    Receive(Box<Envelope>),
    Propose(Command, channel::Sender<Result<Reply, Refusal>>),
    Renew(Box<Renew>, channel::Sender<LeaderReply<RenewReply>>),
    Job(Job),
}

/// Why the role control cannot start or answer.
#[derive(Debug, Display)]
pub enum ControlError {
    /// the data folder cannot be used: {0}
    Store(StoreError),
    /// the control thread cannot be started: {0}
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

/// Watches the control thread's state.
pub trait Watch: Send + std::fmt::Debug {
    /// Looks at the state after a turn, before anybody gets an answer of that turn.
    fn turned(&mut self, node: &Node<FolderDisk>, now: Millis);
}

/// What the role control starts from.
#[derive(Debug)]
pub struct Start<'a> {
    /// VM of the replica.
    pub vm: VmId,
    /// Address for the system's own processes.
    pub address: String,
    /// Folder that the replica's state lives under.
    pub folder: &'a std::path::Path,
    /// VMs that found the deployment, with their addresses.
    pub founders: BTreeMap<VmId, String>,
    /// Links to the other replicas.
    pub peers: Arc<Peers>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// How the replicas look after their own number.
    pub membership: MembershipPolicy,
    /// Watcher of the state, where there is one.
    pub watch: Option<Box<dyn Watch>>,
}

/// How replicas look after their own number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Voters that the leader keeps up without an operator; an operator's orders alone where absent.
    pub voters: Option<usize>,
    /// Whether the deployment stands already, so that an empty folder only joins.
    pub joins: bool,
}

/// Leave to give orders to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commander {
    /// Term that fences the orders.
    pub term: Term,
    /// Whether no order of an earlier leader can be on its way any more.
    pub alone: bool,
}

/// Handle on the control thread.
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
pub fn start(start: Start<'_>) -> Result<Control, ControlError> {
    let opener = Opener {
        vm: start.vm,
        address: start.address,
        folder: start.folder.to_owned(),
        founders: start.founders,
        membership: start.membership,
    };
    let node = opener.open(start.clock.now())?;
    let (inputs, received) = mpsc::channel();
    let keeper = ControlLoop::new(
        node,
        opener,
        start.peers,
        start.clock,
        start.metrics,
        start.watch,
    );
    let run = move || keeper.run(&received);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)?;
    Ok(Control { inputs })
}

impl Control {
    /// Hands a message to the replica.
    pub fn receive(&self, envelope: Envelope) {
        let _ = self.inputs.send(Input::Receive(Box::new(envelope)));
    }

    /// Commits a command.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn propose(
        &self,
        command: Command,
    ) -> Result<LeaderReply<ProposeReply>, ControlError> {
        let (reply, answer) = channel::bounded(1);
        self.put(Input::Propose(command, reply))?;
        let answer = answer.recv().await.map_err(|_closed| ControlError::Ended)?;
        match answer {
            Err(Refusal::NotLeader) => Ok(LeaderReply::NotLeader(self.leader().await?)),
            other => Ok(other.into()),
        }
    }

    /// Renews an entry's lease; the answer is held back for a while where nothing is new.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn renew(&self, renew: Renew) -> Result<LeaderReply<RenewReply>, ControlError> {
        let (reply, answer) = channel::bounded(1);
        self.put(Input::Renew(Box::new(renew), reply))?;
        answer.recv().await.map_err(|_closed| ControlError::Ended)
    }

    /// Returns the replica's state.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn status(&self) -> Result<Status, ControlError> {
        self.ask(|keeper| keeper.status()).await
    }

    /// Returns bills.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn bills(&self, request: BillsRequest) -> Result<LeaderReply<Bills>, ControlError> {
        self.ask(move |keeper| keeper.led(|keeper| keeper.bills(&request)))
            .await
    }

    /// Reads the gateway's newest publication and its roll-outs.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn read(&self, with_source: bool) -> Result<LeaderReply<ReadReply>, ControlError> {
        self.ask(move |keeper| keeper.led(|keeper| keeper.reading(with_source)))
            .await
    }

    /// Returns accepted changes.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn history(
        &self,
        request: HistoryRequest,
    ) -> Result<LeaderReply<History>, ControlError> {
        self.ask(move |keeper| keeper.led(|keeper| keeper.history(request)))
            .await
    }

    /// Begins to replace a lost replica.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn replace(
        &self,
        request: Replace,
    ) -> Result<LeaderReply<ReplaceReply>, ControlError> {
        self.ask(move |keeper| keeper.led(|keeper| keeper.replace(&request)))
            .await
    }

    /// Returns leave to give orders, if this replica leads beyond doubt.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn command(&self) -> Result<Option<Commander>, ControlError> {
        self.ask(|keeper| keeper.commander()).await
    }

    /// Hands leadership over, as part of a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub async fn transfer_leadership(&self) -> Result<(), ControlError> {
        self.ask(ControlLoop::transfer_leadership).await
    }

    async fn leader(&self) -> Result<Option<VmId>, ControlError> {
        self.ask(|keeper| keeper.leader()).await
    }

    async fn ask<F, T>(&self, question: F) -> Result<T, ControlError>
    where
        F: FnOnce(&mut ControlLoop) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (reply, answer) = channel::bounded(1);
        let job = move |keeper: &mut ControlLoop| {
            let _ = reply.try_send(question(keeper));
        };
        self.put(Input::Job(Box::new(job)))?;
        answer.recv().await.map_err(|_closed| ControlError::Ended)
    }

    fn put(&self, input: Input) -> Result<(), ControlError> {
        self.inputs
            .send(input)
            .map_err(|_closed| ControlError::Ended)
    }
}
