//! Pool of HTTP/1.1 connections to endpoints; each carries one request at a time.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::id::EndpointId;
use papayatray_wire::link;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::link::LinkError;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::body::SmallFrames;
use super::fleet::SelectedEndpoint;
use super::hop::HopGuard;
use super::limited_stream::HeadLimit;
use super::limited_stream::LimitedStream;
use crate::liveness::limit_silence;
use crate::observe::Level;
use crate::observe::event;
use crate::tasks::Tasks;

/// Time to establish a connection; several round trips between data centres.
const CONNECT_TIMEOUT: Millis = Millis::new(400);
/// Maximum idle time of a connection that is reused.
const MAX_IDLE_TIME: Millis = Millis::new(2_500);
/// Divisor of the keep-alive time that an endpoint announces: a connection is reused only for that
/// part of it, so that the endpoint does not close it at the same moment.
const KEEP_ALIVE_DIVISOR: u64 = 2;
/// Maximum number of idle connections per endpoint; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time-out for a pooled connection to become ready for its next request.
const READY_TIMEOUT: Millis = Millis::new(5);
/// Size limit of the HTTP library's buffer for one connection.
const BUFFER_BYTES: usize = 16 << 10;
/// Minimum size of a long request body. Its connection is not reused, as the response may arrive
/// before the whole body has been sent.
const LONG_BODY_BYTES: usize = 64 << 10;
/// Statuses of a final response; the HTTP library also takes those from 600 to 999, and 101, for one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Reason why an exchange produced no response.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// no connection to the endpoint could be opened: {0}
    Unreachable(std::io::Error),
    /// the request was not sent to the endpoint: {0}
    NotSent(String),
    /// the connection was lost, and the endpoint may have run the request: {0}
    Lost(String),
    /// the endpoint may have run the request; its status {0} is not one of a final response
    InvalidStatus(u16),
    /// no entry carries the request to the endpoint for now: {0}
    Declined(String),
    /// another entry could not connect to the endpoint either
    UnreachableElsewhere,
    /// the connection to another entry was lost, and the endpoint may have run the request: {0}
    HopLost(String),
    /// the request was withdrawn from the endpoint, as this cause of crashes was quarantined: {0}
    Withdrawn(CrashCause),
}

impl std::error::Error for ExchangeError {}

/// Other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionKey {
    /// Endpoint with this id.
    Endpoint(EndpointId),
    /// Entry with this peer address, which carries attempts to endpoints.
    Entry(String),
}

/// Open connection to an endpoint, or to an entry that carries attempts to endpoints.
pub struct EndpointConnection {
    key: ConnectionKey,
    /// Counts the attempt that an entry carries, until its response has ended.
    pub(super) hop: Option<HopGuard>,
    sender: SendRequest<SmallFrames<Full<Bytes>>>,
    head_limit: HeadLimit,
    /// Ends the connection when dropped.
    _driver: smol::Task<()>,
}

impl fmt::Debug for EndpointConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointConnection").finish_non_exhaustive()
    }
}

/// Idle connection in the pool.
#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    expires_at: Millis,
}

/// HTTP request to an endpoint.
#[derive(Clone, Debug, Default)]
pub struct OutgoingRequest {
    /// Id of the request, for the log.
    pub id: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: http::Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time until the deadline of the request.
    pub remaining: Millis,
    /// Whether a pooled connection must not be used: the endpoint may close one while the request
    /// is being sent, which leaves open whether the request ran.
    pub needs_new_connection: bool,
}

impl OutgoingRequest {
    fn request(&self) -> Request<SmallFrames<Full<Bytes>>> {
        let mut request = Request::new(SmallFrames::new(Full::new(self.body.clone())));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// Response head, with the connection from which the body is still to be read.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Connection that carries the body.
    pub connection: EndpointConnection,
    /// Whether the connection may return to the pool once the body was read.
    pub is_reusable: bool,
}

/// Pool of the gateway's idle HTTP connections, by their other end.
///
/// The entries of `papayatrayd` use a pool of plain TCP streams instead,
/// [`crate::engine::ConnectionPool`].
#[derive(Debug)]
pub struct ConnectionPool {
    tasks: Tasks,
    idle: Mutex<BTreeMap<ConnectionKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(tasks: Tasks) -> Self {
        Self {
            tasks,
            idle: Mutex::default(),
        }
    }

    /// Sends a request over a pooled connection if it may use one, else over the one that `open` opens, and
    /// waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the error of `open` or [`ExchangeError::NotSent`] if the other end certainly received
    /// nothing, and [`ExchangeError::Lost`] or [`ExchangeError::InvalidStatus`] if the request may have
    /// been run.
    pub(super) async fn send<F>(
        &self,
        key: &ConnectionKey,
        outgoing: &OutgoingRequest,
        now: Millis,
        open: F,
    ) -> Result<EndpointResponse, ExchangeError>
    where
        F: Future<Output = Result<EndpointConnection, ExchangeError>>,
    {
        if !outgoing.needs_new_connection
            && let Some(connection) = self.take(key, now).await
        {
            match send_request(connection, outgoing).await {
                // The other end may have closed the pooled connection meanwhile, which is no
                // failure: retry on a new one.
                Err(ExchangeError::NotSent(_)) => {}
                other => return other,
            }
        }
        send_request(open.await?, outgoing).await
    }

    /// Adds a connection to the pool; the body of its last response must have been read to its end.
    ///
    /// `headers` are those of that response. If they announce a keep-alive time, the connection is
    /// reused only for a part of it. If the pool of the other end is full, the connection is closed.
    pub fn put(&self, mut connection: EndpointConnection, headers: &HeaderMap, now: Millis) {
        connection.hop = None;
        let keep_alive = keep_alive_timeout(headers);
        let max_idle = keep_alive.map_or(MAX_IDLE_TIME, |timeout| {
            Millis::new(timeout.as_u64() / KEEP_ALIVE_DIVISOR).min(MAX_IDLE_TIME)
        });
        let mut idle = self.idle();
        let connections = idle.entry(connection.key.clone()).or_default();
        connections.retain(|conn| conn.expires_at > now && !conn.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                expires_at: now + max_idle,
            });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, id: &EndpointId) {
        self.idle().remove(&ConnectionKey::Endpoint(id.clone()));
    }

    /// Closes the connections whose idle time has expired, or that the endpoints have closed.
    pub fn evict_expired(&self, now: Millis) {
        let mut idle = self.idle();
        for connections in idle.values_mut() {
            connections.retain(|conn| conn.expires_at > now && !conn.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Removes and returns an idle connection that is ready for a request, if there is one.
    async fn take(&self, key: &ConnectionKey, now: Millis) -> Option<EndpointConnection> {
        loop {
            let mut last = {
                let mut idle = self.idle();
                idle.get_mut(key)?.pop()?
            };
            if last.expires_at <= now || last.connection.sender.is_closed() {
                continue;
            }
            let sender = &mut last.connection.sender;
            let ready = async { sender.ready().await.is_ok() };
            let timeout = async {
                Timer::after(READY_TIMEOUT.to_duration()).await;
                false
            };
            if ready.or(timeout).await {
                return Some(last.connection);
            }
        }
    }

    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unreachable`] if the connection is refused or not established in time,
    /// and [`ExchangeError::NotSent`] if it cannot be used.
    pub(super) async fn open(
        &self,
        endpoint: &SelectedEndpoint,
    ) -> Result<EndpointConnection, ExchangeError> {
        let key = ConnectionKey::Endpoint(endpoint.id.clone());
        let stream = connect(endpoint.address).await;
        self.start(key, stream.map_err(ExchangeError::Unreachable)?)
            .await
    }

    /// Opens a connection to another entry, on which both prove that they have the deployment's key.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened in time or the key is not the same.
    pub(super) async fn open_authenticated(
        &self,
        key: ConnectionKey,
        address: SocketAddr,
        cluster_key: &ClusterKey,
    ) -> Result<EndpointConnection, ExchangeError> {
        let not_sent = |error: LinkError| ExchangeError::NotSent(error.to_string());
        let opening = async {
            let mut stream = connect(address).await?;
            link::authenticate(&mut stream, cluster_key).await?;
            Ok(stream)
        };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT.to_duration()).await;
            Err(LinkError::Timeout)
        };
        let stream = opening.or(timeout).await;
        self.start(key, stream.map_err(not_sent)?).await
    }

    /// Starts to speak HTTP over a connection.
    async fn start(
        &self,
        key: ConnectionKey,
        stream: TcpStream,
    ) -> Result<EndpointConnection, ExchangeError> {
        let not_sent = |error: std::io::Error| ExchangeError::NotSent(error.to_string());
        stream.set_nodelay(true).map_err(not_sent)?;
        limit_silence(&stream).map_err(not_sent)?;
        let head_limit = HeadLimit::default();
        let builder = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(FuturesIo::new(LimitedStream::new(
                stream,
                head_limit.clone(),
            )));
        let (sender, driver) = builder
            .await
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let driver_task = self.tasks.start(async move {
            if let Err(error) = driver.await {
                event(
                    Level::Debug,
                    "endpoint_connection_ended",
                    &[("error", &error)],
                );
            }
        });
        Ok(EndpointConnection {
            key,
            hop: None,
            sender,
            head_limit,
            _driver: driver_task,
        })
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<ConnectionKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT.to_duration()).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    TcpStream::connect(address).or(timeout).await
}

/// Returns whether an address refuses connections, as after a crash of the process.
pub(super) async fn is_connection_refused(address: SocketAddr) -> bool {
    let refused = connect(address).await.err();
    refused.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Sends a request over a connection and waits for the head of the response.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the endpoint certainly received nothing, and
/// [`ExchangeError::Lost`] or [`ExchangeError::InvalidStatus`] if it may have run the request.
async fn send_request(
    mut connection: EndpointConnection,
    outgoing: &OutgoingRequest,
) -> Result<EndpointResponse, ExchangeError> {
    connection.head_limit.start_head();
    let sent = connection.sender.try_send_request(outgoing.request()).await;
    connection.head_limit.end_head();
    match sent {
        // Requests ask for no upgrade, so that 101 is no answer to one either.
        Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
            Err(ExchangeError::InvalidStatus(response.status().as_u16()))
        }
        Ok(response) => {
            let is_closing = response
                .headers()
                .get(header::CONNECTION)
                .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
            Ok(EndpointResponse {
                response,
                is_reusable: !is_closing && outgoing.body.len() < LONG_BODY_BYTES,
                connection,
            })
        }
        Err(mut error) => {
            let is_not_sent = error.take_message().is_some();
            let text = error.into_error().to_string();
            Err(if is_not_sent {
                ExchangeError::NotSent(text)
            } else {
                ExchangeError::Lost(text)
            })
        }
    }
}

/// Returns the idle time that the `Keep-Alive` header announces, if it does.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Millis::from_secs)
}
