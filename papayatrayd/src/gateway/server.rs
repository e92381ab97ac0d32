//! HTTP/1.1 server on `hyper`, with one task per connection and a [`Handler`] for the requests.

use std::convert::Infallible;
use std::error::Error;
use std::fmt::Debug;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use event_listener::Event;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use papayatray_core::clock::Millis;
use papayatray_wire::link;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::link::LinkError;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use super::body::SmallFrames;
use super::state::ConnectionGuard;
use crate::liveness::limit_silence;
use crate::observe::Level;
use crate::observe::event;
use crate::tasks::Tasks;

/// Back-off after a failed accept, as when file descriptors run out.
const ACCEPT_BACKOFF: Millis = Millis::new(50);
/// Time for the other end of a connection to prove that it has the deployment's key.
const HANDSHAKE_TIMEOUT: Millis = Millis::from_secs(3);
/// Smallest buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Body of a response.
pub type HandlerBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Future that resolves to a response.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<HandlerBody>> + Send + 'a>>;

/// Handler of the requests of one listener.
pub trait Handler: Send + Sync + Debug {
    /// Handles a request; the future is dropped when the client disconnects.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static>;

    /// Returns the limits that apply to a new connection.
    fn limits(&self) -> Limits;

    /// Returns whether connections are to be closed after their next response.
    fn is_closing(&self) -> bool {
        false
    }

    /// Returns a guard to hold until a connection has ended, if the process waits for connections before
    /// it ends.
    fn track_connection(&self) -> Option<ConnectionGuard> {
        None
    }

    /// Returns the event on which the listener closes and idle connections end, if there is one.
    fn close_event(&self) -> Option<Arc<Event>> {
        None
    }
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size limit of a request head, in bytes.
    pub head: usize,
    /// Time after which a connection without a complete request head is closed.
    pub idle: Millis,
}

/// Returns a response whose body is already complete.
pub fn full_response<B>(
    status: StatusCode,
    media_type: &'static str,
    body: B,
) -> Response<HandlerBody>
where
    B: Into<Bytes>,
{
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

/// Accepts connections on `listener` until the handler's close event, or until the process ends.
pub async fn serve_http(listener: TcpListener, handler: Arc<dyn Handler>, tasks: Tasks) {
    serve(listener, handler, None, tasks).await;
}

/// Accepts connections like [`serve_http`], from processes that prove that they have `key`.
pub async fn serve_peers(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    key: ClusterKey,
    tasks: Tasks,
) {
    serve(listener, handler, Some(key), tasks).await;
}

async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    key: Option<ClusterKey>,
    tasks: Tasks,
) {
    let close_event = handler.close_event();
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let handler = Arc::clone(&handler);
                    match key.clone() {
                        Some(key) => tasks.spawn(serve_peer(stream, handler, key)),
                        None => tasks.spawn(serve_connection(stream, handler)),
                    }
                }
                Err(error) => {
                    event(Level::Warn, "accept_failed", &[("error", &error)]);
                    Timer::after(ACCEPT_BACKOFF.to_duration()).await;
                }
            }
        }
    };
    match close_event {
        Some(close_event) => accepting.or(async { close_event.listen().await }).await,
        None => accepting.await,
    }
}

/// Serves a connection once its other end has proved that it has the key.
async fn serve_peer(mut stream: TcpStream, handler: Arc<dyn Handler>, key: ClusterKey) {
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT.to_duration()).await;
        Err(LinkError::Timeout)
    };
    let authenticating = async {
        limit_silence(&stream)?;
        link::authenticate_client(&mut stream, &key).await
    };
    match authenticating.or(timeout).await {
        Ok(()) => serve_connection(stream, handler).await,
        Err(error) => event(Level::Warn, "peer_refused", &[("error", &error)]),
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    if let Err(error) = stream.set_nodelay(true) {
        event(Level::Debug, "caller_lost", &[("error", &error)]);
        return;
    }
    let _guard = handler.track_connection();
    let limits = handler.limits();
    let close_event = handler.close_event();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let shared_handler = Arc::clone(&handler);
            let mut response = handler.handle(request).await;
            if shared_handler.is_closing() {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(SmallFrames::new))
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.idle.to_duration())
            .max_buf_size(limits.head.max(MIN_BUFFER_BYTES))
            .auto_date_header(false)
            .serve_connection(FuturesIo::new(stream), service)
    );
    let result = match close_event {
        None => connection.await,
        Some(close_event) => {
            let closed = async {
                close_event.listen().await;
                None
            };
            let ended = async { Some(connection.as_mut().await) }.or(closed).await;
            if let Some(result) = ended {
                result
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = result {
        event(
            Level::Debug,
            "caller_connection_ended",
            &[("error", &error)],
        );
    }
}
