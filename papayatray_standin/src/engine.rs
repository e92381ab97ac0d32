//! Stand-in for a model engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::Value;
use smol::Timer;
use smol::channel;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;
use smol::stream::Stream;

use crate::chat::Script;
use crate::server::Handler;
use crate::server::Server;

/// Header in which an attempt's number is sent back.
const ATTEMPT: &str = "papayatray-attempt";
/// Header with the number of the last event received.
const LAST_EVENT: &str = "last-event-id";
/// Header with the number that fences orders.
const FENCE: &str = "papayatray-fence";
/// Word in a prompt that crashes the engine.
pub const POISON: &str = "poison";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen at; port 0 takes a free one.
    pub address: SocketAddr,
    /// Versions that are loaded.
    pub versions: BTreeSet<String>,
    /// Requests that run at once.
    pub slots: u32,
    /// Time before the first token.
    pub first: Duration,
    /// Time between tokens.
    pub between: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            versions: BTreeSet::new(),
            slots: 8,
            first: Duration::from_millis(5),
            between: Duration::from_millis(1),
            fences: true,
        }
    }
}

/// Fault that an engine is told to show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Each connection stops after so many events, without being closed.
    StallAfter(usize),
    /// Each request is answered with status 500.
    Fail,
    /// Each request is answered with another attempt's number.
    WrongAttempt,
}

/// Work that an engine knows of.
#[derive(Clone, Debug)]
struct Work {
    script: Arc<Script>,
    model: String,
}

/// What an engine has seen.
#[derive(Debug, Default)]
struct EntryVersions {
    works: BTreeMap<String, Work>,
    prompts: Vec<String>,
    cancelled: u64,
    running: u32,
    most_running: u32,
    fault: Fault,
    fence: u64,
    orders: Vec<(u64, String)>,
}

/// Engine's state, shared with its connections.
#[derive(Debug)]
struct Inner {
    options: EngineOptions,
    seen: Mutex<EntryVersions>,
    server: Mutex<Option<Server>>,
}

/// Stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns why the address cannot be used.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let address = options.address;
        let inner = Inner {
            options,
            seen: Mutex::default(),
            server: Mutex::default(),
        };
        let inner = Arc::new(inner);
        let server = Server::start(address, Arc::clone(&inner)).await?;
        let address = server.address;
        *lock(&inner.server) = Some(server);
        Ok(Self { inner, address })
    }

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Crashes the engine: its listener and all its connections end at once.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Tells whether the engine has crashed.
    pub fn is_crashed(&self) -> bool {
        lock(&self.inner.server).is_none()
    }

    /// Tells the engine to show a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.seen().fault = fault;
    }

    /// Returns the prompts that were run, in order.
    pub fn prompts(&self) -> Vec<String> {
        self.inner.seen().prompts.clone()
    }

    /// Returns how many streams were cancelled.
    pub fn cancelled(&self) -> u64 {
        self.inner.seen().cancelled
    }

    /// Returns how many requests run, and the most that ever ran at once.
    pub fn running(&self) -> (u32, u32) {
        let seen = self.inner.seen();
        (seen.running, seen.most_running)
    }

    /// Returns the orders carried out, with their fencing numbers.
    pub fn orders(&self) -> Vec<(u64, String)> {
        self.inner.seen().orders.clone()
    }
}

impl Inner {
    fn seen(&self) -> MutexGuard<'_, EntryVersions> {
        lock(&self.seen)
    }

    fn crash(&self) {
        let server = lock(&self.server).take();
        drop(server);
    }

    async fn begin(self: &Arc<Self>, mut request: Request, attempt: String) -> Response {
        let body: Value = request.body_json().await.unwrap_or_default();
        let script = Arc::new(Script::new(&body));
        let fault = {
            let mut seen = self.seen();
            seen.prompts.push(script.prompt.clone());
            seen.fault
        };
        if script.prompt.contains(POISON) {
            // The crash ends this very connection: it must be done from outside of it.
            let inner = Arc::clone(self);
            std::thread::spawn(move || inner.crash());
            smol::future::pending::<()>().await;
        }
        if fault == Fault::Fail {
            return Response::new(StatusCode::InternalServerError);
        }
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        if !self.options.versions.contains(&model) {
            return Response::new(StatusCode::NotFound);
        }
        let work = Work { script, model };
        {
            let mut seen = self.seen();
            if seen.running >= self.options.slots.saturating_mul(4) {
                return Response::new(StatusCode::ServiceUnavailable);
            }
            seen.works.insert(attempt.clone(), work.clone());
        }
        Timer::after(self.options.first).await;
        self.stream(work, attempt, 0, fault)
    }

    fn resume(self: &Arc<Self>, request: &Request, attempt: String) -> Response {
        let last = request
            .header(LAST_EVENT)
            .and_then(|v| v.as_str().parse().ok())
            .unwrap_or(0);
        let work = self.seen().works.get(&attempt).cloned();
        match work {
            Some(work) => self.stream(work, attempt, last, Fault::None),
            None => Response::new(StatusCode::NotFound),
        }
    }

    /// Returns the answer whose body is the events after `last`.
    fn stream(
        self: &Arc<Self>,
        work: Work,
        attempt: String,
        last: usize,
        fault: Fault,
    ) -> Response {
        let (pieces, reader) = channel::bounded(8);
        let inner = Arc::clone(self);
        smol::spawn(inner.generate(work, attempt, last, fault, pieces)).detach();
        let mut response = Response::new(StatusCode::Ok);
        let reader = Pieces {
            queue: Box::pin(reader),
            piece: Vec::new(),
            at: 0,
        };
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response
    }

    async fn generate(
        self: Arc<Self>,
        work: Work,
        attempt: String,
        last: usize,
        fault: Fault,
        pieces: channel::Sender<Vec<u8>>,
    ) {
        let _running = Running::new(&self);
        let mut number = last + 1;
        while let Some(event) = work.script.event(number, &work.model) {
            if fault == Fault::StallAfter(number - 1 - last) {
                // Nothing more comes on this connection, and nobody says so.
                smol::future::pending::<()>().await;
            }
            if pieces.send(event.into_bytes()).await.is_err() {
                return;
            }
            number += 1;
            if number <= work.script.tokens.len() && !self.options.between.is_zero() {
                Timer::after(self.options.between).await;
            }
        }
        self.seen().works.remove(&attempt);
    }

    async fn order(&self, mut request: Request) -> Response {
        let fence = request
            .header(FENCE)
            .and_then(|v| v.as_str().parse().ok())
            .unwrap_or(0);
        let text = request.body_string().await.unwrap_or_default();
        let mut seen = self.seen();
        if self.options.fences && fence < seen.fence {
            return Response::new(StatusCode::Conflict);
        }
        seen.fence = seen.fence.max(fence);
        seen.orders.push((fence, text));
        Response::new(StatusCode::Ok)
    }
}

impl Handler for Inner {
    async fn answer(self: Arc<Self>, request: Request) -> http_types::Result<Response> {
        let given = request
            .header(ATTEMPT)
            .map(|values| values.as_str().to_owned());
        let path = request.url().path().to_owned();
        let mut response = match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.begin(request, given.clone().unwrap_or_default()).await
            }
            (Method::Post, "/v1/orders") => self.order(request).await,
            (Method::Get, _) if path.starts_with("/v1/streams/") => {
                self.resume(&request, path[12..].to_owned())
            }
            (Method::Delete, _) if path.starts_with("/v1/streams/") => {
                let mut seen = self.seen();
                seen.works.remove(&path[12..]);
                seen.cancelled += 1;
                Response::new(StatusCode::NoContent)
            }
            _ => Response::new(StatusCode::NotFound),
        };
        let fault = self.seen().fault;
        if let Some(attempt) = given {
            let echo = if fault == Fault::WrongAttempt {
                format!("{attempt}0")
            } else {
                attempt
            };
            response.insert_header(ATTEMPT, echo);
        }
        Ok(response)
    }
}

/// Count of a running request, until dropped.
struct Running {
    inner: Arc<Inner>,
}

impl Running {
    fn new(inner: &Arc<Inner>) -> Self {
        let mut seen = inner.seen();
        seen.running += 1;
        seen.most_running = seen.most_running.max(seen.running);
        Self {
            inner: Arc::clone(inner),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.inner.seen().running -= 1;
    }
}

/// Body that is read as it comes.
struct Pieces {
    queue: std::pin::Pin<Box<channel::Receiver<Vec<u8>>>>,
    piece: Vec<u8>,
    at: usize,
}

impl AsyncRead for Pieces {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        let filled = match self.as_mut().poll_fill_buf(cx) {
            std::task::Poll::Ready(filled) => filled?,
            std::task::Poll::Pending => return std::task::Poll::Pending,
        };
        let amount = filled.len().min(buffer.len());
        buffer[..amount].copy_from_slice(&filled[..amount]);
        self.consume(amount);
        std::task::Poll::Ready(Ok(amount))
    }
}

impl AsyncBufRead for Pieces {
    fn poll_fill_buf(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.at >= this.piece.len() {
            match this.queue.as_mut().poll_next(cx) {
                std::task::Poll::Ready(Some(piece)) => {
                    this.piece = piece;
                    this.at = 0;
                }
                std::task::Poll::Ready(None) => return std::task::Poll::Ready(Ok(&[])),
                std::task::Poll::Pending => return std::task::Poll::Pending,
            }
        }
        std::task::Poll::Ready(Ok(&this.piece[this.at..]))
    }

    fn consume(self: std::pin::Pin<&mut Self>, amount: usize) {
        self.get_mut().at += amount;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
