//! Connections to endpoints, kept for the next request.

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

/// Time within which a connection must stand.
const CONNECT_LIMIT: Millis = Millis::new(1_000);
/// Time after which an unused connection is not trusted any more.
const IDLE_LIMIT: Millis = Millis::from_secs(5);
/// Connections that are kept for one endpoint.
const KEPT: usize = 64;

/// Connection that waits for its next use.
#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// Connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<String, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Returns a kept connection that is still open, if there is one.
    pub fn kept(&self, address: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let own = idle.get_mut(address)?;
        while let Some(last) = own.pop() {
            if last.since.elapsed() < IDLE_LIMIT.to_duration() && is_quiet(&last.stream) {
                return Some(last.stream);
            }
        }
        None
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub async fn open(address: &str) -> io::Result<TcpStream> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let timeout = async {
            Timer::after(CONNECT_LIMIT.to_duration()).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(address).or(timeout).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps a connection whose last answer has been read to its end.
    pub fn keep(&self, address: &str, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let own = idle.entry(address.to_owned()).or_default();
        if own.len() < KEPT {
            own.push(Idle {
                stream,
                since: Instant::now(),
            });
        }
    }

    /// Drops the kept connections to an address.
    pub fn forget(&self, address: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(address);
    }
}

/// Tells whether nothing has come on an idle connection: neither bytes nor its end.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let mut peek = Box::pin(stream.peek(&mut byte));
    smol::block_on(smol::future::poll_once(&mut peek)).is_none()
}
