//! HTTP/1.1 server on `hyper`: one task a connection, handlers behind a trait.

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
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use papayatray_core::clock::Millis;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::observe::Level;
use crate::observe::event;
use crate::tasks::Tasks;

/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Millis = Millis::new(50);
/// Least buffer that the HTTP library allows.
const BUFFER_LEAST: usize = 8 << 10;

/// Body of an answer.
pub type HandlerBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Future of an answer.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<HandlerBody>> + Send + 'a>>;

/// Answers requests.
pub trait Handler: Send + Sync + Debug {
    /// Answers a request; the future is dropped when the caller goes away.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static>;

    /// Returns the limits for a new connection.
    fn limits(&self) -> Limits;

    /// Tells whether connections are to be closed after their next answer.
    fn is_closing(&self) -> bool {
        false
    }

    /// Returns what tells of the moment at which no connection is taken any more, and unused ones are
    /// to close.
    fn closing(&self) -> Option<Arc<Event>> {
        None
    }
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head: usize,
    /// Time for which a connection may stay without a whole head.
    pub idle: Millis,
}

/// Returns an answer with a whole body.
pub fn whole<B>(status: StatusCode, media: &'static str, body: B) -> Response<HandlerBody>
where
    B: Into<Bytes>,
{
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

/// Returns a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns that the body is longer, as a [`http_body_util::LengthLimitError`], or that it broke off.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Serves `listener` until the process ends, or until the handler says that connections are to close.
pub async fn serve_http(listener: TcpListener, handler: Arc<dyn Handler>, tasks: Tasks) {
    let closing = handler.closing();
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => tasks.spawn(serve_one(stream, Arc::clone(&handler))),
                Err(error) => {
                    event(Level::Warn, "accept_failed", &[("error", &error)]);
                    Timer::after(ACCEPT_PAUSE.to_duration()).await;
                }
            }
        }
    };
    match closing {
        Some(closing) => accepting.or(async { closing.listen().await }).await,
        None => accepting.await,
    }
}

async fn serve_one(stream: TcpStream, handler: Arc<dyn Handler>) {
    if let Err(error) = stream.set_nodelay(true) {
        event(Level::Debug, "caller_lost", &[("error", &error)]);
        return;
    }
    let limits = handler.limits();
    let closing = handler.closing();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let is_closing = Arc::clone(&handler);
            let mut response = handler.handle(request).await;
            if is_closing.is_closing() {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.idle.to_duration())
            .max_buf_size(limits.head.max(BUFFER_LEAST))
            .auto_date_header(false)
            .serve_connection(FuturesIo::new(stream), service)
    );
    let ended = match closing {
        None => connection.await,
        Some(closing) => {
            let told = async {
                closing.listen().await;
                None
            };
            let first = async { Some(connection.as_mut().await) }.or(told).await;
            if let Some(ended) = first {
                ended
            } else {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = ended {
        event(
            Level::Debug,
            "caller_connection_ended",
            &[("error", &error)],
        );
    }
}
