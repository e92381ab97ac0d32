//! Server side of the links: handles calls, and passes replica messages to the local replica.

use std::sync::Arc;
use std::time::Instant;

use jsonrpsee_core::server::RpcModule;
use papayatray_core::clock::Millis;
use papayatray_wire::link;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::link::Frame;
use papayatray_wire::link::LinkError;
use smol::Timer;
use smol::channel;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::control::Control;
use crate::observe::Level;
use crate::observe::event;
use crate::tasks::Tasks;

/// Time-out of the handshake, in which the peer proves that it holds the cluster key.
const HANDSHAKE_TIMEOUT: Millis = Millis::from_secs(3);
/// Time-out of one write of replies.
const WRITE_TIMEOUT: Millis = Millis::from_secs(5);
/// Maximum number of replies that wait to be written to a connection.
const QUEUE_CAPACITY: usize = 1_024;
/// Size of a write from which on it is logged: other replies on the connection wait for its end.
const BULK_BYTES: usize = 64 << 10;
/// Buffer size of subscriptions, which the RPC library requires; no method has any.
const SUBSCRIPTION_BUFFER: usize = 1;

/// State that the server shares between its connections.
#[derive(Debug)]
pub struct ServerContext<C> {
    /// Executor of background tasks.
    pub tasks: Tasks,
    /// Key that all processes of the deployment share.
    pub key: ClusterKey,
    /// RPC methods.
    pub module: RpcModule<C>,
    /// Local replica, to which replica messages are passed; without one they are dropped.
    pub control: Option<Control>,
}

/// Accepts connections on `listener` and handles their calls, until the process ends.
pub async fn serve<C>(listener: TcpListener, context: ServerContext<C>)
where
    C: Send + Sync + 'static,
{
    let context = Arc::new(context);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                context
                    .tasks
                    .spawn(serve_connection(stream, Arc::clone(&context)));
            }
            Err(error) => {
                event(Level::Warn, "peer_accept_failed", &[("error", &error)]);
                // Back-off, as an accept fails at once again while file descriptors are exhausted.
                Timer::after(HANDSHAKE_TIMEOUT.to_duration() / 30).await;
            }
        }
    }
}

async fn serve_connection<C>(stream: TcpStream, context: Arc<ServerContext<C>>)
where
    C: Send + Sync + 'static,
{
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT.to_duration()).await;
        Err(LinkError::Timeout)
    };
    let (sender, mut receiver) = match link::accept(stream, &context.key).or(timeout).await {
        Ok(halves) => halves,
        Err(error) => {
            event(Level::Warn, "peer_refused", &[("error", &error)]);
            return;
        }
    };
    let (replies, outgoing) = channel::bounded::<String>(QUEUE_CAPACITY);
    let writing = write_replies(sender, outgoing);
    let reading = async {
        while let Ok(frame) = receiver.receive().await {
            match (frame, &context.control) {
                (Frame::Rpc(text), _) => {
                    context
                        .tasks
                        .spawn(handle_call(text, Arc::clone(&context), replies.clone()));
                }
                (Frame::Replica(envelope), Some(control)) => control.receive(*envelope),
                (Frame::Replica(_), None) => {}
            }
        }
    };
    reading.or(writing).await;
}

async fn handle_call<C>(
    text: String,
    context: Arc<ServerContext<C>>,
    replies: channel::Sender<String>,
) where
    C: Send + Sync + 'static,
{
    match context
        .module
        .raw_json_request(&text, SUBSCRIPTION_BUFFER)
        .await
    {
        Ok((reply, _)) => {
            let _ = replies.send(reply.get().to_owned()).await;
        }
        Err(error) => event(Level::Warn, "peer_call_garbled", &[("error", &error)]),
    }
}

async fn write_replies(mut sender: link::Sender, outgoing: channel::Receiver<String>) {
    while let Ok(first) = outgoing.recv().await {
        let mut frames = vec![Frame::Rpc(first)];
        while let Ok(next) = outgoing.try_recv() {
            frames.push(Frame::Rpc(next));
        }
        let timeout = async {
            Timer::after(WRITE_TIMEOUT.to_duration()).await;
            Err(LinkError::Timeout)
        };
        let started_at = Instant::now();
        let Ok(bytes) = sender.send(&frames).or(timeout).await else {
            return;
        };
        if bytes >= BULK_BYTES {
            event(
                Level::Info,
                "bulk_written",
                &[
                    ("bytes", &bytes),
                    ("replies", &frames.len()),
                    ("took_ms", &started_at.elapsed().as_millis()),
                ],
            );
        }
    }
}
