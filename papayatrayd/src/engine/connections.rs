//! Pool of idle connections to endpoints.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use papayatray_core::clock::Millis;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Millis = Millis::new(1_000);
/// Time after which an idle connection is not reused.
const IDLE_TIMEOUT: Millis = Millis::from_secs(5);
/// Maximum number of idle connections per endpoint; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Idle connection, and when it became idle.
#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// Idle connections by the address of their endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still open, the most recently used first.
    pub fn take_idle(&self, address: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(address)?;
        while let Some(last) = connections.pop() {
            if last.idle_since.elapsed() < IDLE_TIMEOUT.to_duration() && has_no_input(&last.stream)
            {
                return Some(last.stream);
            }
        }
        None
    }

    /// Opens a new connection to `address`, an IP address with a port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not valid, or if connecting fails or times out.
    pub async fn open(address: &str) -> io::Result<TcpStream> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT.to_duration()).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(address).or(timeout).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub fn put_idle(&self, address: &str, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                stream,
                idle_since: Instant::now(),
            });
        }
    }

    /// Closes all idle connections to an address, called when the endpoint is found unreachable.
    pub fn discard(&self, address: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(address);
    }
}

/// Returns whether an idle connection is still usable: it received neither bytes nor the end of the
/// stream.
fn has_no_input(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let mut peek = Box::pin(stream.peek(&mut byte));
    smol::block_on(smol::future::poll_once(&mut peek)).is_none()
}
