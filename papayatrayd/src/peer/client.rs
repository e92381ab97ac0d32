//! Client side of the links: one connection to each address, with calls multiplexed on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Millis;
use papayatray_state::replica::Envelope;
use papayatray_wire::link;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::link::Frame;
use papayatray_wire::link::LinkError;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::decode_reply;
use papayatray_wire::peer::encode_call;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::dial::dial;
use crate::tasks::Tasks;

/// Time-out for connecting, without the handshake.
const CONNECT_TIMEOUT: Millis = Millis::new(1_000);
/// Time-out of the first handshake; it doubles with each one that fails in a row.
const MIN_HANDSHAKE_TIMEOUT: Millis = Millis::new(1_000);
/// Longest time-out of a handshake, as at the server.
const MAX_HANDSHAKE_TIMEOUT: Millis = Millis::new(3_000);
/// Time-out of one write.
const WRITE_TIMEOUT: Millis = Millis::new(2_000);
/// Back-off between two attempts to connect.
const RECONNECT_BACKOFF: Millis = Millis::new(100);
/// Interval between probes of a link that carries replica messages, which have no replies.
const PROBE_INTERVAL: Millis = Millis::new(500);
/// Time within which the reply to a probe must arrive; otherwise a new connection is made.
const PROBE_TIMEOUT: Millis = Millis::new(1_000);
/// Call id of probes; ids of other calls count up from 1 and never reach it.
const PROBE_CALL_ID: u64 = u64::MAX;
/// Maximum number of frames that wait for a link; further ones are refused.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of frames in one write.
const MAX_BATCH_FRAMES: usize = 256;

/// Channel to the task that waits for a reply.
type Waiter = Sender<Result<Box<RawValue>, CallError>>;

/// Connection of a link, with the tasks that wait for replies by call id.
#[derive(Debug, Default)]
struct Connection {
    waiters: Mutex<BTreeMap<u64, Waiter>>,
}

impl Connection {
    fn waiters(&self) -> MutexGuard<'_, BTreeMap<u64, Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fail_all(&self, error: &CallError) {
        for (_, waiter) in std::mem::take(&mut *self.waiters()) {
            let _ = waiter.try_send(Err(error.clone()));
        }
    }
}

/// Message queued for a link.
#[derive(Debug)]
enum OutgoingMessage {
    Call {
        id: u64,
        text: String,
        waiter: Waiter,
    },
    Replica(Box<Envelope>),
}

/// Link to one address; its task connects and reconnects as needed.
#[derive(Debug)]
struct Link {
    queue: Sender<OutgoingMessage>,
    /// Set when a call times out, so that the link's task replaces the connection.
    is_stalled: Arc<AtomicBool>,
}

/// Links to other processes of the deployment by address, created on first use.
#[derive(Debug)]
pub struct Peers {
    tasks: Tasks,
    key: ClusterKey,
    links: Mutex<BTreeMap<String, Arc<Link>>>,
    next_call: AtomicU64,
}

impl Peers {
    /// Creates a client without links; both sides of a connection prove that they hold `key`.
    pub fn new(tasks: Tasks, key: ClusterKey) -> Self {
        Self {
            tasks,
            key,
            links: Mutex::default(),
            next_call: AtomicU64::new(1),
        }
    }

    /// Calls `method` at `address` and waits at most `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply.
    pub async fn call<P, R>(
        &self,
        address: &str,
        method: Method,
        params: &P,
        timeout: Millis,
    ) -> Result<R, CallError>
    where
        P: Serialize,
        R: DeserializeOwned,
    {
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let text = encode_call(method, params, id)?;
        let link = self.link(address);
        let (waiter, reply) = channel::bounded(1);
        let outgoing = OutgoingMessage::Call { id, text, waiter };
        if link.queue.try_send(outgoing).is_err() {
            return Err(CallError::Unreachable(
                "the link's queue is full".to_owned(),
            ));
        }
        let received = async { reply.recv().await.unwrap_or(Err(CallError::Timeout)) };
        let expired = async {
            Timer::after(timeout.to_duration()).await;
            // The connection may have stalled without an error: the next call gets a new one.
            link.is_stalled.store(true, Ordering::Relaxed);
            Err(CallError::Timeout)
        };
        CallError::decode_result(&received.or(expired).await?)
    }

    /// Spawns a task on the executor that also runs the links.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(task);
    }

    /// Queues a message to a replica; the message is dropped if it cannot be sent.
    pub fn send(&self, address: &str, envelope: Envelope) {
        let link = self.link(address);
        let _ = link
            .queue
            .try_send(OutgoingMessage::Replica(Box::new(envelope)));
    }

    fn link(&self, address: &str) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(address) {
            return Arc::clone(link);
        }
        let (queue, outgoing) = channel::bounded(QUEUE_CAPACITY);
        let is_stalled = Arc::new(AtomicBool::new(false));
        let link = Arc::new(Link {
            queue,
            is_stalled: Arc::clone(&is_stalled),
        });
        links.insert(address.to_owned(), Arc::clone(&link));
        let worker = Worker {
            address: address.to_owned(),
            key: self.key.clone(),
            is_stalled,
            outgoing,
        };
        self.tasks.spawn(worker.run());
        link
    }
}

/// Task that maintains the connection of one link.
#[derive(Debug)]
struct Worker {
    address: String,
    key: ClusterKey,
    is_stalled: Arc<AtomicBool>,
    outgoing: Receiver<OutgoingMessage>,
}

impl Worker {
    async fn run(self) {
        let mut handshake_timeout = MIN_HANDSHAKE_TIMEOUT;
        while let Ok(first) = self.outgoing.recv().await {
            match self.connect(&mut handshake_timeout).await {
                Ok((sender, receiver)) => self.run_connection(first, sender, receiver).await,
                Err(error) => {
                    let error = CallError::Unreachable(error.to_string());
                    fail(first, &error);
                    while let Ok(next) = self.outgoing.try_recv() {
                        fail(next, &error);
                    }
                    Timer::after(RECONNECT_BACKOFF.to_duration()).await;
                }
            }
        }
    }

    /// Connects, and sets the time-out of the next handshake: a refusal to connect does not lengthen
    /// it, as the peer is then known to be down.
    async fn connect(
        &self,
        handshake_timeout: &mut Millis,
    ) -> Result<(link::Sender, link::Receiver), LinkError> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_bad| LinkError::Malformed(format!("address {}", self.address)))?;
        let dialing = async { Ok(dial(address).await?) };
        let stream = with_timeout(CONNECT_TIMEOUT, dialing).await?;
        let connected = with_timeout(*handshake_timeout, link::connect(stream, &self.key)).await;
        *handshake_timeout = if connected.is_ok() {
            MIN_HANDSHAKE_TIMEOUT
        } else {
            handshake_timeout.doubled(1, MAX_HANDSHAKE_TIMEOUT)
        };
        connected
    }

    /// Transfers frames until the connection fails or is found to be stalled.
    async fn run_connection(
        &self,
        first: OutgoingMessage,
        sender: link::Sender,
        receiver: link::Receiver,
    ) {
        self.is_stalled.store(false, Ordering::Relaxed);
        let connection = Arc::new(Connection::default());
        let reading = read_replies(receiver, Arc::clone(&connection));
        let writing = self.write_frames(first, sender, Arc::clone(&connection));
        reading.or(writing).await;
        connection.fail_all(&CallError::Timeout);
    }

    async fn write_frames(
        &self,
        first: OutgoingMessage,
        mut sender: link::Sender,
        connection: Arc<Connection>,
    ) {
        let mut next = Some(first);
        let mut probe = Probe::default();
        loop {
            let mut frames = Vec::new();
            while let Some(outgoing) = next.take().or_else(|| self.outgoing.try_recv().ok()) {
                if matches!(outgoing, OutgoingMessage::Replica(_)) {
                    frames.extend(probe.frame(&connection));
                }
                frames.push(into_frame(outgoing, &connection));
                if frames.len() >= MAX_BATCH_FRAMES {
                    break;
                }
            }
            let sent = with_timeout(WRITE_TIMEOUT, sender.send(&frames)).await;
            if sent.is_err() || probe.is_overdue() || self.is_stalled.load(Ordering::Relaxed) {
                return;
            }
            next = match self.outgoing.recv().await {
                Ok(outgoing) => Some(outgoing),
                Err(_closed) => return,
            };
            if self.is_stalled.load(Ordering::Relaxed) {
                let error = CallError::Unreachable("the connection is stalled".to_owned());
                if let Some(outgoing) = next {
                    fail(outgoing, &error);
                }
                return;
            }
        }
    }
}

/// Liveness probe of a link whose messages have no replies: an empty push, which changes nothing at
/// the peer and whose reply shows that the connection still works.
#[derive(Debug, Default)]
struct Probe {
    sent_at: Option<std::time::Instant>,
    reply: Option<Receiver<Result<Box<RawValue>, CallError>>>,
}

impl Probe {
    /// Returns a probe call to send with the next message, if one is due.
    fn frame(&mut self, connection: &Connection) -> Option<Frame> {
        if self
            .reply
            .as_ref()
            .is_some_and(|reply| reply.try_recv().is_ok())
        {
            self.reply = None;
        }
        let is_due = self
            .sent_at
            .is_none_or(|at| at.elapsed() >= PROBE_INTERVAL.to_duration());
        if self.reply.is_some() || !is_due {
            return None;
        }
        let id = PROBE_CALL_ID;
        let text = encode_call(
            Method::Push,
            &papayatray_wire::peer::PushRequest::default(),
            id,
        )
        .ok()?;
        let (waiter, reply) = channel::bounded(1);
        connection.waiters().insert(id, waiter);
        self.sent_at = Some(std::time::Instant::now());
        self.reply = Some(reply);
        Some(Frame::Rpc(text))
    }

    fn is_overdue(&self) -> bool {
        let is_old = self
            .sent_at
            .is_some_and(|at| at.elapsed() >= PROBE_TIMEOUT.to_duration());
        is_old && self.reply.as_ref().is_some_and(Receiver::is_empty)
    }
}

fn into_frame(outgoing: OutgoingMessage, connection: &Connection) -> Frame {
    match outgoing {
        OutgoingMessage::Replica(envelope) => Frame::Replica(envelope),
        OutgoingMessage::Call { id, text, waiter } => {
            connection.waiters().insert(id, waiter);
            Frame::Rpc(text)
        }
    }
}

/// Reports `error` to the task that waits for a call; a replica message is just dropped.
fn fail(outgoing: OutgoingMessage, error: &CallError) {
    if let OutgoingMessage::Call { waiter, .. } = outgoing {
        let _ = waiter.try_send(Err(error.clone()));
    }
}

async fn read_replies(mut receiver: link::Receiver, connection: Arc<Connection>) {
    while let Ok(frame) = receiver.receive().await {
        let Frame::Rpc(text) = frame else {
            return;
        };
        let Ok((id, result)) = decode_reply(&text) else {
            return;
        };
        let waiter = connection.waiters().remove(&id);
        if let Some(waiter) = waiter {
            let _ = waiter.try_send(result);
        }
    }
}

/// Runs `work` for at most `timeout`.
async fn with_timeout<F, T>(timeout: Millis, work: F) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, LinkError>>,
{
    let expired = async {
        Timer::after(timeout.to_duration()).await;
        Err(LinkError::Timeout)
    };
    work.or(expired).await
}
