//! Chat completions, sent as one response or as a stream of events.

use std::collections::BTreeSet;
use std::sync::Arc;

use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::digest;
use papayatray_core::id::Kind;
use papayatray_core::id::ModelId;
use papayatray_core::id::VersionId;
use papayatray_core::ledger::Bill;
use papayatray_core::router::RequestedVersion;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;
use serde_json::Map;
use serde_json::Value;
use smol::channel::Sender;

use super::claim::Claim;
use super::claim::ClaimOutcome;
use super::claim::replay;
use super::claim::stored_response;
use super::collect::CollectedChat;
use super::context::RequestContext;
use super::session;
use super::start::FailedAttempts;
use super::start::StartedChat;
use super::stream::streaming_body;
use super::trial::clear_parts;
use crate::engine::Event;
use crate::engine::EventSourceError;
use crate::entry::Entry;
use crate::http::Rejection;
use crate::http::header_value;
use crate::http::read_body;

/// Kind of a request without the header [`header::KIND`].
const DEFAULT_KIND: &str = "general";
/// Values of the field `model` that leave the choice of the version to the router.
const ANY_MODEL: [&str; 2] = ["auto", "any"];
/// Maximum number of bytes, from the start of the first message, that the prefix digest covers.
const MAX_PREFIX_BYTES: usize = 1_024;
/// Chunk that ends a complete stream.
const DONE_CHUNK: &[u8] = b"data: [DONE]\n\n";

/// Parsed chat request of a caller.
#[derive(Debug)]
pub(super) struct Chat {
    pub(super) context: RequestContext,
    pub(super) body: Map<String, Value>,
    pub(super) requested_version: RequestedVersion,
    pub(super) kind: Kind,
    pub(super) is_in_session: bool,
    /// Digest of the prompt prefix, if the first message is plain text.
    pub(super) prefix: Option<u64>,
    session_token: Option<String>,
    /// Size of the request body.
    request_bytes: usize,
}

/// Handles a chat request.
pub(super) async fn handle(
    entry: &Arc<Entry>,
    mut request: Request,
) -> Result<Response, Rejection> {
    let bytes = read_body(&mut request, entry.settings.body.0).await?;
    let chat = Chat::parse(entry, &request, &bytes)?;
    let is_stream = chat
        .body
        .get("stream")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    entry.budget().earn();
    entry.metrics.count("entry.chats");
    let mut claim = None;
    if chat.context.at_most_once {
        match Claim::acquire(&chat.context).await? {
            ClaimOutcome::Acquired(acquired) => claim = Some(acquired),
            ClaimOutcome::Replayed(stored) => return replay(&chat.context, stored),
        }
    }
    if is_stream {
        chat.respond_stream(claim).await
    } else {
        chat.respond_whole(claim).await
    }
}

impl Chat {
    fn parse(entry: &Arc<Entry>, request: &Request, bytes: &[u8]) -> Result<Self, Rejection> {
        // A chat runs at most once only if its header asks for that.
        let mut context = RequestContext::new(entry, request, bytes, false)?;
        let body = match serde_json::from_slice(bytes) {
            Ok(Value::Object(body)) => body,
            Ok(_) => {
                return Err(context.reject(ErrorCode::BadRequest, "the body is not a JSON object"));
            }
            Err(error) => {
                return Err(context.reject(
                    ErrorCode::BadRequest,
                    format!("the body is not valid JSON: {error}"),
                ));
            }
        };
        let messages = body.get("messages").and_then(Value::as_array);
        if messages.is_none_or(Vec::is_empty) {
            return Err(context.reject(
                ErrorCode::BadRequest,
                "field messages: expected a list of at least one message",
            ));
        }
        let prefix = messages.and_then(|messages| prefix_digest(&messages[0]));
        context.parts = messages
            .map(|messages| shared_parts(messages))
            .unwrap_or_default();
        let mut requested_version = requested_version(&context, &body)?;
        let session_token = header_value(request, header::SESSION).map(str::to_owned);
        if let Some(session_token) = &session_token {
            requested_version = RequestedVersion::Session(session_version(
                &context,
                &requested_version,
                session_token,
            )?);
        }
        let kind = Kind::new(header_value(request, header::KIND).unwrap_or(DEFAULT_KIND));
        let kind = kind.map_err(|error| {
            context.reject(
                ErrorCode::BadRequest,
                format!("header {}: {error}", header::KIND),
            )
        })?;
        Ok(Self {
            context,
            body,
            requested_version,
            kind,
            is_in_session: session_token.is_some(),
            prefix,
            session_token,
            request_bytes: bytes.len(),
        })
    }

    /// Responds once the chat is complete; restarts it on another endpoint if the stream breaks.
    async fn respond_whole(self, mut claim: Option<Claim>) -> Result<Response, Rejection> {
        let mut failed = FailedAttempts::default();
        loop {
            let mut started = self.start(&mut claim, &mut failed).await?;
            // `true`: the response contains the text.
            let mut collected = CollectedChat::new(true);
            match collect(&mut started, &mut collected).await {
                Ok(()) => {
                    let completion = collected.to_completion(
                        &self.context,
                        &started.version,
                        self.request_bytes,
                    );
                    self.record_bill(&started, &collected, claim.as_mut())
                        .await?;
                    let mut response = self.response_head(&started.version);
                    response.set_body(completion);
                    response.insert_header("content-type", "application/json");
                    self.complete(started).await;
                    return Ok(response);
                }
                Err(error) => {
                    let has_claim = claim.is_some();
                    self.check_restart(&mut started, &error, &mut failed, has_claim)
                        .await?;
                }
            }
        }
    }

    /// Responds with the head of a stream whose events a separate task relays.
    ///
    /// A stream that breaks after the head is not restarted: the caller has received part of it.
    async fn respond_stream(self, mut claim: Option<Claim>) -> Result<Response, Rejection> {
        let chat = Arc::new(self);
        let (chunks, reader) = streaming_body();
        let (head_sender, head) = smol::channel::bounded(1);
        let tasks = chat.context.entry.tasks.clone();
        let relay_chat = Arc::clone(&chat);
        tasks.spawn(async move {
            let mut failed = FailedAttempts::default();
            match relay_chat.start(&mut claim, &mut failed).await {
                Ok(started) => {
                    let _ = head_sender.send(Ok(started.version.clone())).await;
                    relay_chat.relay(started, &chunks, claim).await;
                }
                Err(rejection) => {
                    let _ = head_sender.send(Err(rejection)).await;
                }
            }
        });
        let relay_lost = || {
            chat.context
                .reject(
                    ErrorCode::EndpointFailed,
                    "the task that relays the chat ended without a response",
                )
                .may_have_run()
        };
        let version = head.recv().await.map_err(|_closed| relay_lost())??;
        let mut response = chat.response_head(&version);
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        Ok(response)
    }

    /// Relays events as they arrive; the final event is sent once the bill is durable.
    async fn relay(
        &self,
        mut started: StartedChat<'_>,
        chunks: &Sender<Vec<u8>>,
        mut claim: Option<Claim>,
    ) {
        // Only a request with a claim needs the text, for the response to store.
        let mut collected = CollectedChat::new(claim.is_some());
        let mut event = std::mem::take(&mut started.first_event);
        while !event.is_done() {
            collected.add(&event);
            if chunks.send(to_chunk(&event)).await.is_err() {
                self.cancel(started).await;
                return;
            }
            event = match started.source.next().await {
                Ok(event) => event,
                Err(error) => {
                    let mut failed = FailedAttempts::default();
                    let has_claim = claim.is_some();
                    let outcome = self
                        .check_restart(&mut started, &error, &mut failed, has_claim)
                        .await;
                    let message = format!("the stream broke before its end: {error}");
                    let rejection = self
                        .context
                        .reject(ErrorCode::EndpointFailed, message)
                        .may_have_run();
                    send_rejection(chunks, &outcome.err().unwrap_or(rejection)).await;
                    return;
                }
            };
        }
        match self.record_bill(&started, &collected, claim.as_mut()).await {
            Ok(()) => {
                let _ = chunks.send(DONE_CHUNK.to_vec()).await;
                self.complete(started).await;
            }
            Err(rejection) => send_rejection(chunks, &rejection).await,
        }
    }

    /// Cancels the work at the endpoint after the caller disconnected.
    async fn cancel(&self, started: StartedChat<'_>) {
        self.context.entry.metrics.count("entry.caller_left");
        started.source.cancel().await;
    }

    /// Makes the bill durable, together with the response if the request holds a claim.
    async fn record_bill(
        &self,
        started: &StartedChat<'_>,
        collected: &CollectedChat,
        claim: Option<&mut Claim>,
    ) -> Result<(), Rejection> {
        let _span = self.context.span.child("bill");
        let bill: Bill = collected.to_bill(
            &self.context,
            &started.version,
            &started.spec,
            self.request_bytes,
        );
        let recorded = match claim {
            Some(claim) => {
                let completion =
                    collected.to_completion(&self.context, &started.version, self.request_bytes);
                claim
                    .finish(stored_response(200, "application/json", &completion), bill)
                    .await
            }
            None => self.context.entry.billing.commit_bill(bill).await,
        };
        recorded.map_err(|error| self.context.bill_pending_rejection(&error))
    }

    /// Records the success of a chat and returns its connection to the pool.
    async fn complete(&self, mut started: StartedChat<'_>) {
        let entry = &self.context.entry;
        entry.count_response(&started.version, true);
        entry.metrics.time(
            "entry.chat",
            entry.clock.now().since(self.context.started_at),
        );
        started.attempt.clear_suspicion();
        clear_parts(&self.context);
        drop(started.permit);
        started.source.finish().await;
    }

    /// Returns a response of `version` without a body.
    fn response_head(&self, version: &VersionId) -> Response {
        let context = &self.context;
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(header::REQUEST_ID, context.key.request.as_str());
        response.insert_header(header::VERSION, version.to_string());
        let session_token = self.session_token.clone();
        let session_token = session_token.unwrap_or_else(|| {
            session::sign(&context.entry.key, &context.key.organisation, version)
        });
        response.insert_header(header::SESSION, session_token);
        response
    }
}

/// Reads the events of a chat until it ends.
async fn collect(
    started: &mut StartedChat<'_>,
    collected: &mut CollectedChat,
) -> Result<(), EventSourceError> {
    let mut event = std::mem::take(&mut started.first_event);
    while !event.is_done() {
        collected.add(&event);
        event = started.source.next().await?;
    }
    Ok(())
}

fn to_chunk(event: &Event) -> Vec<u8> {
    let mut chunk = Vec::with_capacity(event.data.len() + 8);
    for line in event.data.split(|byte| *byte == b'\n') {
        chunk.extend_from_slice(b"data: ");
        chunk.extend_from_slice(line);
        chunk.push(b'\n');
    }
    chunk.push(b'\n');
    chunk
}

/// Sends a rejection as the last event of a stream, in place of [`DONE_CHUNK`].
async fn send_rejection(chunks: &Sender<Vec<u8>>, rejection: &Rejection) {
    // Cannot fail: the body holds only strings, numbers and lists.
    let data = serde_json::to_vec(&rejection.to_body()).unwrap_or_default();
    // The number is not sent: chunks have no event ids.
    let event = Event { number: 0, data };
    let _ = chunks.send(to_chunk(&event)).await;
}

/// Returns the version that the field `model` of a chat requests.
fn requested_version(
    context: &RequestContext,
    body: &Map<String, Value>,
) -> Result<RequestedVersion, Rejection> {
    let Some(model) = body.get("model").and_then(Value::as_str) else {
        let message = "field model: expected auto, a model or model@version";
        return Err(context.reject(ErrorCode::BadRequest, message));
    };
    if ANY_MODEL.contains(&model) {
        return Ok(RequestedVersion::Any);
    }
    let requested_version = if model.contains('@') {
        model.parse().map(RequestedVersion::Version)
    } else {
        ModelId::new(model).map(RequestedVersion::Model)
    };
    requested_version
        .map_err(|error| context.reject(ErrorCode::BadRequest, format!("field model: {error}")))
}

/// Returns the version of a session; it must match the version that the request names, if any.
fn session_version(
    context: &RequestContext,
    requested_version: &RequestedVersion,
    session_token: &str,
) -> Result<VersionId, Rejection> {
    let version = session::verify(&context.entry.key, &context.key.organisation, session_token);
    let version = version.map_err(|error| {
        context.reject(
            ErrorCode::BadSession,
            format!("header {}: {error}", header::SESSION),
        )
    })?;
    let is_match = match requested_version {
        RequestedVersion::Any | RequestedVersion::Session(_) => true,
        RequestedVersion::Model(model) => model == version.model(),
        RequestedVersion::Version(other) => *other == version,
    };
    if is_match {
        return Ok(version);
    }
    let message =
        format!("the session runs on {version}; omit the session header to start a new session");
    Err(context.reject(ErrorCode::BadSession, message))
}

/// Returns the digest of the beginning of a message, by which a cached prefix is found.
fn prefix_digest(message: &Value) -> Option<u64> {
    let content = message.get("content")?.as_str()?;
    let end = content.len().min(MAX_PREFIX_BYTES);
    let hash = blake3::hash(&content.as_bytes()[..end]);
    Some(digest::short(&hash))
}

/// Returns the digests of all messages but the last, which other requests may share.
fn shared_parts(messages: &[Value]) -> BTreeSet<u64> {
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let digests = shared.iter().map(|message| {
        let text = message.to_string();
        digest::short(&blake3::hash(text.as_bytes()))
    });
    digests.collect()
}
