//! Stand-in for a model engine.
//!
//! It streams chat responses as events, and lets a client resume or cancel a stream under the id of
//! its attempt. It also accepts orders: requests in which the leader of the control replicas tells
//! an endpoint to load or unload a version. Orders are only recorded; the versions do not change.

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

use crate::chat::ScriptedResponse;
use crate::server::Handler;
use crate::server::Server;

/// Header with the id of an attempt, which the engine echoes.
const ATTEMPT_HEADER: &str = "papayatray-attempt";
/// Header with the id of the last event that the client received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Header with the fencing token of an order, which grows with each change of the leader.
const FENCE_HEADER: &str = "papayatray-fence";
/// Word in a message that crashes the engine.
pub const POISON_WORD: &str = "poison";

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 selects a free one.
    pub address: SocketAddr,
    /// Versions that the engine serves; chat requests for others get status 404.
    pub versions: BTreeSet<String>,
    /// Number of slots. The engine has no queue: while four streams per slot are running, chat
    /// requests get status 503.
    pub slots: u32,
    /// Delay before the first token.
    pub first_token_delay: Duration,
    /// Delay between tokens.
    pub token_interval: Duration,
    /// Whether orders with a lower fencing token than an accepted one get status 409.
    pub rejects_stale_orders: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            versions: BTreeSet::new(),
            slots: 8,
            first_token_delay: Duration::from_millis(5),
            token_interval: Duration::from_millis(1),
            rejects_stale_orders: true,
        }
    }
}

/// Bytes of a line without end that are sent at once.
const ENDLESS_BLOCK_BYTES: usize = 64 << 10;

/// Fault that an engine simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Each new stream stalls after this many events, with its connection left open; resumed
    /// streams do not stall.
    StallAfter(usize),
    /// Each chat request gets a response with status 500.
    Fail,
    /// Each response carries the id of another attempt.
    WrongAttempt,
    /// Each new stream is a line that never ends.
    EndlessLine,
}

/// Response that an engine streams and that can be resumed under its attempt id.
#[derive(Clone, Debug)]
struct Generation {
    script: Arc<ScriptedResponse>,
    version: String,
}

/// Mutable state of an engine.
#[derive(Debug, Default)]
struct EngineState {
    /// Unfinished generations, by attempt id.
    generations: BTreeMap<String, Generation>,
    /// Prompts of all chat requests received, in order.
    prompts: Vec<String>,
    /// Number of cancel requests received, also for unknown streams.
    cancel_requests: u64,
    /// Number of streams running now.
    running: u32,
    /// Highest number of streams that ever ran at once.
    max_running: u32,
    /// Bytes of lines without end that were sent.
    endless_bytes: usize,
    fault: Fault,
    /// Highest fencing token of the accepted orders.
    highest_fence: u64,
    /// Fencing token and body of each accepted order.
    orders: Vec<(u64, String)>,
}

/// Part of an engine that its connections share.
#[derive(Debug)]
struct Inner {
    options: EngineOptions,
    state: Mutex<EngineState>,
    /// Server; `None` after a crash.
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
    /// Fails if the address cannot be bound.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let address = options.address;
        let inner = Inner {
            options,
            state: Mutex::default(),
            server: Mutex::default(),
        };
        let inner = Arc::new(inner);
        let server = Server::start(address, Arc::clone(&inner)).await?;
        let address = server.address;
        *lock(&inner.server) = Some(server);
        Ok(Self { inner, address })
    }

    /// Returns the address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Simulates a crash: the listener and all connections are closed at once.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Tells whether the engine has crashed.
    pub fn is_crashed(&self) -> bool {
        lock(&self.inner.server).is_none()
    }

    /// Sets the fault that the engine simulates.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.state().fault = fault;
    }

    /// Returns the prompts of all chat requests received, in order.
    pub fn prompts(&self) -> Vec<String> {
        self.inner.state().prompts.clone()
    }

    /// Returns the number of bytes of lines without end that were sent.
    pub fn endless_bytes(&self) -> usize {
        self.inner.state().endless_bytes
    }

    /// Returns the number of cancel requests received, also for unknown streams.
    pub fn cancel_requests(&self) -> u64 {
        self.inner.state().cancel_requests
    }

    /// Returns the current and the highest number of concurrent streams, in this order.
    pub fn stream_counts(&self) -> (u32, u32) {
        let state = self.inner.state();
        (state.running, state.max_running)
    }

    /// Returns the fencing token and the body of each accepted order.
    pub fn orders(&self) -> Vec<(u64, String)> {
        self.inner.state().orders.clone()
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }

    fn crash(&self) {
        let server = lock(&self.server).take();
        drop(server);
    }

    async fn begin_stream(self: &Arc<Self>, mut request: Request, attempt: String) -> Response {
        let body: Value = request.body_json().await.unwrap_or_default();
        let script = Arc::new(ScriptedResponse::new(&body));
        let fault = {
            let mut state = self.state();
            state.prompts.push(script.prompt.clone());
            state.fault
        };
        if body.to_string().contains(POISON_WORD) {
            // The crash drops the task that runs this code, so another thread has to cause it.
            let inner = Arc::clone(self);
            std::thread::spawn(move || inner.crash());
            smol::future::pending::<()>().await;
        }
        if fault == Fault::Fail {
            return Response::new(StatusCode::InternalServerError);
        }
        let version = body
            .get("model")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        if !self.options.versions.contains(&version) {
            return Response::new(StatusCode::NotFound);
        }
        let generation = Generation { script, version };
        {
            let mut state = self.state();
            if state.running >= self.options.slots.saturating_mul(4) {
                return Response::new(StatusCode::ServiceUnavailable);
            }
            state
                .generations
                .insert(attempt.clone(), generation.clone());
        }
        Timer::after(self.options.first_token_delay).await;
        // Events are numbered from 1, so all of them come after number 0.
        self.stream(generation, attempt, 0, fault)
    }

    fn resume_stream(self: &Arc<Self>, request: &Request, attempt: String) -> Response {
        let last_event = request
            .header(LAST_EVENT_HEADER)
            .and_then(|v| v.as_str().parse().ok())
            .unwrap_or(0);
        let generation = self.state().generations.get(&attempt).cloned();
        match generation {
            Some(generation) => self.stream(generation, attempt, last_event, Fault::None),
            None => Response::new(StatusCode::NotFound),
        }
    }

    /// Returns a response that streams the events after number `last_event`, which is the last one
    /// that the client has received.
    fn stream(
        self: &Arc<Self>,
        generation: Generation,
        attempt: String,
        last_event: usize,
        fault: Fault,
    ) -> Response {
        let (chunks, receiver) = channel::bounded(8);
        let inner = Arc::clone(self);
        smol::spawn(inner.send_events(generation, attempt, last_event, fault, chunks)).detach();
        let mut response = Response::new(StatusCode::Ok);
        let body = StreamBody {
            queue: Box::pin(receiver),
            chunk: Vec::new(),
            offset: 0,
        };
        response.set_body(Body::from_reader(body, None));
        response.insert_header("content-type", "text/event-stream");
        response
    }

    async fn send_events(
        self: Arc<Self>,
        generation: Generation,
        attempt: String,
        last_event: usize,
        fault: Fault,
        chunks: channel::Sender<Vec<u8>>,
    ) {
        let _running = RunningGuard::new(&self);
        let mut number = last_event + 1;
        if fault == Fault::EndlessLine {
            while chunks.send(vec![b'x'; ENDLESS_BLOCK_BYTES]).await.is_ok() {
                self.state().endless_bytes += ENDLESS_BLOCK_BYTES;
            }
            return;
        }
        while let Some(event) = generation.script.event(number, &generation.version) {
            if fault == Fault::StallAfter(number - 1 - last_event) {
                // The stream stalls without an error after this many events.
                smol::future::pending::<()>().await;
            }
            if chunks.send(event.into_bytes()).await.is_err() {
                return;
            }
            number += 1;
            if number <= generation.script.tokens.len() && !self.options.token_interval.is_zero() {
                Timer::after(self.options.token_interval).await;
            }
        }
        self.state().generations.remove(&attempt);
    }

    async fn handle_order(&self, mut request: Request) -> Response {
        let fence = request
            .header(FENCE_HEADER)
            .and_then(|v| v.as_str().parse().ok())
            .unwrap_or(0);
        let text = request.body_string().await.unwrap_or_default();
        let mut state = self.state();
        if self.options.rejects_stale_orders && fence < state.highest_fence {
            return Response::new(StatusCode::Conflict);
        }
        state.highest_fence = state.highest_fence.max(fence);
        state.orders.push((fence, text));
        Response::new(StatusCode::Ok)
    }
}

impl Handler for Inner {
    async fn respond(self: Arc<Self>, request: Request) -> http_types::Result<Response> {
        let attempt_id = request
            .header(ATTEMPT_HEADER)
            .map(|values| values.as_str().to_owned());
        let path = request.url().path().to_owned();
        let mut response = match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.begin_stream(request, attempt_id.clone().unwrap_or_default())
                    .await
            }
            (Method::Post, "/v1/orders") => self.handle_order(request).await,
            // The attempt id follows the prefix, which has 12 bytes.
            (Method::Get, _) if path.starts_with("/v1/streams/") => {
                self.resume_stream(&request, path[12..].to_owned())
            }
            (Method::Delete, _) if path.starts_with("/v1/streams/") => {
                let mut state = self.state();
                state.generations.remove(&path[12..]);
                state.cancel_requests += 1;
                Response::new(StatusCode::NoContent)
            }
            _ => Response::new(StatusCode::NotFound),
        };
        let fault = self.state().fault;
        if let Some(attempt) = attempt_id {
            let echo = if fault == Fault::WrongAttempt {
                format!("{attempt}0")
            } else {
                attempt
            };
            response.insert_header(ATTEMPT_HEADER, echo);
        }
        Ok(response)
    }
}

/// Counts a stream as running until dropped.
struct RunningGuard {
    inner: Arc<Inner>,
}

impl RunningGuard {
    fn new(inner: &Arc<Inner>) -> Self {
        let mut state = inner.state();
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
        Self {
            inner: Arc::clone(inner),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.inner.state().running -= 1;
    }
}

/// Response body that reads its chunks from a channel.
struct StreamBody {
    /// Receives the chunks after the current one.
    queue: std::pin::Pin<Box<channel::Receiver<Vec<u8>>>>,
    /// Chunk that is being read.
    chunk: Vec<u8>,
    /// Number of bytes of `chunk` that were read.
    offset: usize,
}

impl AsyncRead for StreamBody {
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

impl AsyncBufRead for StreamBody {
    fn poll_fill_buf(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.offset >= this.chunk.len() {
            match this.queue.as_mut().poll_next(cx) {
                std::task::Poll::Ready(Some(chunk)) => {
                    this.chunk = chunk;
                    this.offset = 0;
                }
                std::task::Poll::Ready(None) => return std::task::Poll::Ready(Ok(&[])),
                std::task::Poll::Pending => return std::task::Poll::Pending,
            }
        }
        std::task::Poll::Ready(Ok(&this.chunk[this.offset..]))
    }

    fn consume(self: std::pin::Pin<&mut Self>, amount: usize) {
        self.get_mut().offset += amount;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
