//! HTTP server that closes all connections at once when stopped or dropped, as in a crash.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_h1::server::accept;
use http_types::Request;
use http_types::Response;
use smol::Task;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Handler of HTTP requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to `request`.
    fn respond(
        self: Arc<Self>,
        request: Request,
    ) -> impl Future<Output = http_types::Result<Response>> + Send;
}

/// Server that runs until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    /// Tasks of the listener and of each connection; dropping one closes its socket.
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

impl Server {
    /// Starts a server on `address`; port 0 selects a free one.
    pub(crate) async fn start<H>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self>
    where
        H: Handler,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tasks: Arc<Mutex<Vec<Task<()>>>> = Arc::default();
        let listener_task = smol::spawn(serve(listener, handler, Arc::clone(&tasks)));
        lock(&tasks).push(listener_task);
        Ok(Self { address, tasks })
    }

    /// Closes the listener and all connections at once.
    pub(crate) fn stop(&self) {
        drop(std::mem::take(&mut *lock(&self.tasks)));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve<H>(listener: TcpListener, handler: Arc<H>, tasks: Arc<Mutex<Vec<Task<()>>>>)
where
    H: Handler,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let connection_task = smol::spawn(serve_one(stream, Arc::clone(&handler)));
        let mut tasks = lock(&tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(connection_task);
    }
}

async fn serve_one<H>(stream: TcpStream, handler: Arc<H>)
where
    H: Handler,
{
    let _ = accept(stream, |request| Arc::clone(&handler).respond(request)).await;
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
