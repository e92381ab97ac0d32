//! Server side of the links.

use std::sync::Arc;

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

/// Time within which a newcomer must prove that it holds the key.
const HANDSHAKE_LIMIT: Millis = Millis::from_secs(3);
/// Time within which a reply must leave.
const WRITE_LIMIT: Millis = Millis::from_secs(5);
/// Replies that may wait for a connection.
const QUEUE: usize = 1_024;
/// Bytes that a subscription could hold; there are none.
const NO_SUBSCRIPTION: usize = 1;

/// What the server answers with.
#[derive(Debug)]
pub struct Serving<C> {
    /// Runner of tasks.
    pub tasks: Tasks,
    /// Key of the deployment.
    pub key: ClusterKey,
    /// Methods.
    pub module: RpcModule<C>,
    /// Replica that gets the messages between replicas, where there is one.
    pub control: Option<Control>,
}

/// Takes links on `listener` and answers their calls.
pub async fn serve<C>(listener: TcpListener, serving: Serving<C>)
where
    C: Send + Sync + 'static,
{
    let serving = Arc::new(serving);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                serving.tasks.spawn(serve_one(stream, Arc::clone(&serving)));
            }
            Err(error) => {
                event(Level::Warn, "peer_accept_failed", &[("error", &error)]);
                Timer::after(HANDSHAKE_LIMIT.to_duration() / 30).await;
            }
        }
    }
}

async fn serve_one<C>(stream: TcpStream, serving: Arc<Serving<C>>)
where
    C: Send + Sync + 'static,
{
    let timeout = async {
        Timer::after(HANDSHAKE_LIMIT.to_duration()).await;
        Err(LinkError::Silent)
    };
    let (sender, mut receiver) = match link::accept(stream, &serving.key).or(timeout).await {
        Ok(halves) => halves,
        Err(error) => {
            event(Level::Warn, "peer_refused", &[("error", &error)]);
            return;
        }
    };
    let (replies, outgoing) = channel::bounded::<String>(QUEUE);
    let writing = write_replies(sender, outgoing);
    let reading = async {
        while let Ok(frame) = receiver.receive().await {
            match (frame, &serving.control) {
                (Frame::Rpc(text), _) => {
                    serving
                        .tasks
                        .spawn(answer(text, Arc::clone(&serving), replies.clone()));
                }
                (Frame::Replica(envelope), Some(control)) => control.receive(*envelope),
                (Frame::Replica(_), None) => {}
            }
        }
    };
    reading.or(writing).await;
}

async fn answer<C>(text: String, serving: Arc<Serving<C>>, replies: channel::Sender<String>)
where
    C: Send + Sync + 'static,
{
    match serving
        .module
        .raw_json_request(&text, NO_SUBSCRIPTION)
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
            Timer::after(WRITE_LIMIT.to_duration()).await;
            Err(LinkError::Silent)
        };
        if sender.send(&frames).or(timeout).await.is_err() {
            return;
        }
    }
}
