//! Listener that serves callers, endpoints and operators.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_h1::server;
use http_types::Request;
use http_types::Response;
use papayatray_core::clock::Millis;
use papayatray_wire::http::ErrorCode;
use smol::Timer;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use super::Rejection;
use super::guard::GuardedStream;
use super::operator;
use super::platform;
use crate::caller;
use crate::entry::Entry;
use crate::entry::ShutdownStage;
use crate::observe::Level;
use crate::observe::event;

/// Back-off after a failure to accept a connection, such as too many open files; also the value of
/// `retry-after` for a connection beyond the limit.
const ACCEPT_BACKOFF: Millis = Millis::new(100);
/// Path prefix for components of the platform, such as endpoints.
const PLATFORM_PREFIX: &str = "/platform/v1/";
/// Path prefix for operators.
const OPERATOR_PREFIX: &str = "/operator/v1/";

/// Accepts and serves connections until the process ends.
pub async fn listen(entry: Arc<Entry>, listener: TcpListener) {
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = CountedConnection::new(&open_count);
                let is_over_limit = connection.number > entry.settings.connections;
                let serving = serve(Arc::clone(&entry), stream, connection, is_over_limit);
                entry.tasks.spawn(serving);
            }
            Err(error) => {
                event(Level::Warn, "accept_failed", &[("error", &error)]);
                Timer::after(ACCEPT_BACKOFF.to_duration()).await;
            }
        }
    }
}

/// Open connection, counted until dropped.
#[derive(Debug)]
struct CountedConnection {
    open_count: Arc<AtomicUsize>,
    /// Number of open connections when this one was accepted, itself included.
    number: usize,
}

impl CountedConnection {
    fn new(open_count: &Arc<AtomicUsize>) -> Self {
        let number = open_count.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            open_count: Arc::clone(open_count),
            number,
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    entry: Arc<Entry>,
    stream: TcpStream,
    connection: CountedConnection,
    is_over_limit: bool,
) {
    let _ = stream.set_nodelay(true);
    let guarded = GuardedStream::new(stream, entry.settings.idle.0);
    if is_over_limit {
        let rejection = Rejection::new(
            ErrorCode::Overloaded,
            "too many connections are open at this address; retry or use another address",
        );
        let rejection = rejection
            .retry_after(ACCEPT_BACKOFF)
            .with_alternatives(caller::alternative_addresses(&entry));
        write_rejection(guarded, rejection).await;
        return;
    }
    let response_stream = guarded.clone();
    let shared_entry = Arc::clone(&entry);
    let connection_task = server::accept(guarded, move |request| {
        Box::pin(handle(Arc::clone(&shared_entry), request))
    });
    let result = connection_task.await;
    drop(connection);
    if let Err(error) = result {
        entry.metrics.count("entry.bad_connection");
        event(Level::Debug, "connection_ended", &[("error", &error)]);
        let is_malformed = error.downcast_ref::<std::io::Error>().is_none();
        if is_malformed {
            let message = format!("this is not a valid HTTP/1.1 request: {error}");
            write_rejection(
                response_stream,
                Rejection::new(ErrorCode::BadRequest, message),
            )
            .await;
        }
    }
}

async fn write_rejection(mut stream: GuardedStream, rejection: Rejection) {
    let response = Response::from(rejection.close_connection());
    let mut encoder = server::Encoder::new(response, http_types::Method::Get);
    let _ = smol::io::copy(&mut encoder, &mut stream).await;
    let _ = stream.close().await;
}

async fn handle(entry: Arc<Entry>, request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let outcome = if let Some(rest) = path.strip_prefix(PLATFORM_PREFIX) {
        platform::handle(&entry, request, rest).await
    } else if let Some(rest) = path.strip_prefix(OPERATOR_PREFIX) {
        operator::handle(&entry, request, rest).await
    } else {
        caller::handle(&entry, request, &path).await
    };
    let mut response = outcome.unwrap_or_else(|rejection| {
        entry
            .metrics
            .count(&format!("entry.refused.{}", rejection.code()));
        Response::from(rejection)
    });
    if entry.shutdown_stage() != ShutdownStage::Serving {
        // Closing makes callers look up the entry addresses again before their next request.
        response.insert_header("connection", "close");
    }
    Ok(response)
}
