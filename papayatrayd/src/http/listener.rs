//! Listener for callers, endpoints and operators.

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

use super::Refused;
use super::guard::GuardedStream;
use super::operator;
use super::platform;
use crate::caller;
use crate::entry::Entry;
use crate::entry::Stop;
use crate::observe::Level;
use crate::observe::event;

/// Pause after a failure to take a connection, such as too many open files.
const ACCEPT_PAUSE: Millis = Millis::new(100);
/// Path under which endpoints and the platform's services come.
const PLATFORM: &str = "/platform/v1/";
/// Path under which operators come.
const OPERATOR: &str = "/operator/v1/";

/// Takes connections until the process ends.
pub async fn listen(entry: Arc<Entry>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let slot = Slot::new(&open);
                let is_full = slot.number > entry.settings.connections;
                let serving = serve(Arc::clone(&entry), stream, slot, is_full);
                entry.tasks.spawn(serving);
            }
            Err(error) => {
                event(Level::Warn, "accept_failed", &[("error", &error)]);
                Timer::after(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

/// Count of an open connection, until dropped.
#[derive(Debug)]
struct Slot {
    open: Arc<AtomicUsize>,
    number: usize,
}

impl Slot {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        let number = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            open: Arc::clone(open),
            number,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(entry: Arc<Entry>, stream: TcpStream, slot: Slot, is_full: bool) {
    let _ = stream.set_nodelay(true);
    let guarded = GuardedStream::new(stream, entry.settings.idle.0);
    if is_full {
        let refused = Refused::new(
            ErrorCode::Overloaded,
            "too many connections at this address",
        );
        let refused = refused
            .retry_after(ACCEPT_PAUSE)
            .elsewhere(caller::addresses(&entry));
        write_refusal(guarded, refused).await;
        return;
    }
    let reply_to = guarded.clone();
    let taken = Arc::clone(&entry);
    let accepting = server::accept(guarded, move |request| {
        Box::pin(answer(Arc::clone(&taken), request))
    });
    let served = accepting.await;
    drop(slot);
    if let Err(error) = served {
        entry.metrics.count("entry.bad_connection");
        event(Level::Debug, "connection_ended", &[("error", &error)]);
        let is_garbage = error.downcast_ref::<std::io::Error>().is_none();
        if is_garbage {
            let message = format!("this is no HTTP/1.1 request: {error}");
            write_refusal(reply_to, Refused::new(ErrorCode::BadRequest, message)).await;
        }
    }
}

async fn write_refusal(mut stream: GuardedStream, refused: Refused) {
    let response = Response::from(refused.closing());
    let mut encoder = server::Encoder::new(response, http_types::Method::Get);
    let _ = smol::io::copy(&mut encoder, &mut stream).await;
    let _ = stream.close().await;
}

async fn answer(entry: Arc<Entry>, request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let answered = if let Some(rest) = path.strip_prefix(PLATFORM) {
        platform::answer(&entry, request, rest).await
    } else if let Some(rest) = path.strip_prefix(OPERATOR) {
        operator::answer(&entry, request, rest).await
    } else {
        caller::answer(&entry, request, &path).await
    };
    let mut response = answered.unwrap_or_else(|refused| {
        entry
            .metrics
            .count(&format!("entry.refused.{}", refused.code()));
        Response::from(refused)
    });
    if entry.stop() != Stop::None {
        // The caller asks anew which address to use.
        response.insert_header("connection", "close");
    }
    Ok(response)
}
