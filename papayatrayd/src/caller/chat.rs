//! Chats: plain, or streamed as they come.

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

use super::ask::Ask;
use super::begin::Begun;
use super::begin::Tried;
use super::claim::Claim;
use super::claim::Claimed;
use super::claim::kept;
use super::claim::replay;
use super::collect::Collected;
use super::session;
use super::stream::body;
use crate::engine::Event;
use crate::engine::SourceError;
use crate::entry::Entry;
use crate::http::Refused;
use crate::http::header_of;
use crate::http::read_body;

/// Kind of a request that names none.
const GENERAL: &str = "general";
/// Names of a model that leave the choice to the system.
const ANY: [&str; 2] = ["auto", "any"];
/// Bytes of a prompt's beginning that are worth keeping warm.
const PREFIX_BYTES: usize = 1_024;
/// Last piece of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Chat that a caller asks for.
#[derive(Debug)]
pub(super) struct Chat {
    pub(super) ask: Ask,
    pub(super) body: Map<String, Value>,
    pub(super) wanted: RequestedVersion,
    pub(super) kind: Kind,
    pub(super) in_session: bool,
    pub(super) prefix: Option<u64>,
    handle: Option<String>,
    prompt_bytes: usize,
}

/// Answers a chat.
pub(super) async fn answer(entry: &Arc<Entry>, mut request: Request) -> Result<Response, Refused> {
    let bytes = read_body(&mut request, entry.settings.body.0).await?;
    let chat = Chat::read(entry, &request, &bytes)?;
    let is_stream = chat
        .body
        .get("stream")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    entry.budget().earn();
    entry.metrics.count("entry.chats");
    let mut claim = None;
    if chat.ask.once {
        match Claim::take(&chat.ask).await? {
            Claimed::Held(held) => claim = Some(held),
            Claimed::Answered(answer) => return replay(&chat.ask, answer),
        }
    }
    if is_stream {
        chat.stream(claim).await
    } else {
        chat.whole(claim).await
    }
}

impl Chat {
    fn read(entry: &Arc<Entry>, request: &Request, bytes: &[u8]) -> Result<Self, Refused> {
        let ask = Ask::new(entry, request, bytes, false)?;
        let body = match serde_json::from_slice(bytes) {
            Ok(Value::Object(body)) => body,
            Ok(_) => return Err(ask.refuse(ErrorCode::BadRequest, "the body is no JSON object")),
            Err(error) => {
                return Err(ask.refuse(ErrorCode::BadRequest, format!("the body: {error}")));
            }
        };
        let messages = body.get("messages").and_then(Value::as_array);
        if messages.is_none_or(Vec::is_empty) {
            return Err(ask.refuse(ErrorCode::BadRequest, "field messages: wanted is a list"));
        }
        let prefix = messages.and_then(|messages| digest(&messages[0]));
        let mut wanted = wanted(&ask, &body)?;
        let handle = header_of(request, header::SESSION).map(str::to_owned);
        if let Some(handle) = &handle {
            wanted = RequestedVersion::Session(resume(&ask, &wanted, handle)?);
        }
        let kind = Kind::new(header_of(request, header::KIND).unwrap_or(GENERAL));
        let kind = kind.map_err(|error| {
            ask.refuse(
                ErrorCode::BadRequest,
                format!("header {}: {error}", header::KIND),
            )
        })?;
        Ok(Self {
            ask,
            body,
            wanted,
            kind,
            in_session: handle.is_some(),
            prefix,
            handle,
            prompt_bytes: bytes.len(),
        })
    }

    /// Answers with the whole answer at once.
    async fn whole(self, mut claim: Option<Claim>) -> Result<Response, Refused> {
        let mut tried = Tried::default();
        loop {
            let mut begun = self.begin(&mut claim, &mut tried).await?;
            let mut collected = Collected::new(true);
            match collect(&mut begun, &mut collected).await {
                Ok(()) => {
                    let completion =
                        collected.to_completion(&self.ask, &begun.version, self.prompt_bytes);
                    self.settle(&begun, &collected, claim.as_mut()).await?;
                    let mut response = self.head(&begun.version);
                    response.set_body(completion);
                    response.insert_header("content-type", "application/json");
                    self.end(begun).await;
                    return Ok(response);
                }
                Err(error) => {
                    let has_claim = claim.is_some();
                    self.break_off(&mut begun, &error, &mut tried, has_claim)
                        .await?;
                }
            }
        }
    }

    /// Answers with a stream; what comes after the head is relayed by a task of its own.
    async fn stream(self, mut claim: Option<Claim>) -> Result<Response, Refused> {
        let chat = Arc::new(self);
        let (pieces, reader) = body();
        let (head_to, head) = smol::channel::bounded(1);
        let tasks = chat.ask.entry.tasks.clone();
        let relayed = Arc::clone(&chat);
        tasks.spawn(async move {
            let mut tried = Tried::default();
            match relayed.begin(&mut claim, &mut tried).await {
                Ok(begun) => {
                    let _ = head_to.send(Ok(begun.version.clone())).await;
                    relayed.relay(begun, &pieces, claim).await;
                }
                Err(refused) => {
                    let _ = head_to.send(Err(refused)).await;
                }
            }
        });
        let lost = || {
            chat.ask
                .refuse(ErrorCode::EndpointFailed, "the relay ended")
                .perhaps_run()
        };
        let version = head.recv().await.map_err(|_closed| lost())??;
        let mut response = chat.head(&version);
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        Ok(response)
    }

    /// Relays events as they come; the last one leaves once the bill is durable.
    async fn relay(
        &self,
        mut begun: Begun<'_>,
        pieces: &Sender<Vec<u8>>,
        mut claim: Option<Claim>,
    ) {
        let mut collected = Collected::new(claim.is_some());
        let mut event = std::mem::take(&mut begun.first);
        while !event.is_done() {
            collected.add(&event);
            if pieces.send(to_piece(&event)).await.is_err() {
                self.caller_left(begun).await;
                return;
            }
            event = match begun.source.next().await {
                Ok(event) => event,
                Err(error) => {
                    let mut tried = Tried::default();
                    let has_claim = claim.is_some();
                    let outcome = self
                        .break_off(&mut begun, &error, &mut tried, has_claim)
                        .await;
                    let message = format!("the answer broke off: {error}");
                    let refused = self
                        .ask
                        .refuse(ErrorCode::EndpointFailed, message)
                        .perhaps_run();
                    send_refusal(pieces, &outcome.err().unwrap_or(refused)).await;
                    return;
                }
            };
        }
        match self.settle(&begun, &collected, claim.as_mut()).await {
            Ok(()) => {
                let _ = pieces.send(DONE.to_vec()).await;
                self.end(begun).await;
            }
            Err(refused) => send_refusal(pieces, &refused).await,
        }
    }

    async fn caller_left(&self, begun: Begun<'_>) {
        self.ask.entry.metrics.count("entry.caller_left");
        begun.source.cancel().await;
    }

    /// Makes the bill durable, and the answer of a claimed request with it.
    async fn settle(
        &self,
        begun: &Begun<'_>,
        collected: &Collected,
        claim: Option<&mut Claim>,
    ) -> Result<(), Refused> {
        let _span = self.ask.span.child("bill");
        let bill: Bill =
            collected.to_bill(&self.ask, &begun.version, &begun.about, self.prompt_bytes);
        let settled = match claim {
            Some(claim) => {
                let answer = collected.to_completion(&self.ask, &begun.version, self.prompt_bytes);
                claim
                    .finish(kept(200, "application/json", &answer), bill)
                    .await
            }
            None => self.ask.entry.billing.bill(bill).await,
        };
        settled.map_err(|error| self.ask.bill_pending(&error))
    }

    /// Ends a chat that went well.
    async fn end(&self, mut begun: Begun<'_>) {
        let entry = &self.ask.entry;
        entry.tally(&begun.version, true);
        entry
            .metrics
            .time("entry.chat", entry.clock.now().since(self.ask.begun));
        begun.aboard.clear_suspect();
        drop(begun.permit);
        begun.source.finish().await;
    }

    /// Returns the head of an answer by `version`.
    fn head(&self, version: &VersionId) -> Response {
        let ask = &self.ask;
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(header::REQUEST_ID, ask.key.request.as_str());
        response.insert_header(header::VERSION, version.to_string());
        let handle = self.handle.clone();
        let handle =
            handle.unwrap_or_else(|| session::sign(&ask.entry.key, &ask.key.organisation, version));
        response.insert_header(header::SESSION, handle);
        response
    }
}

/// Reads the events of a chat up to its end.
async fn collect(begun: &mut Begun<'_>, collected: &mut Collected) -> Result<(), SourceError> {
    let mut event = std::mem::take(&mut begun.first);
    while !event.is_done() {
        collected.add(&event);
        event = begun.source.next().await?;
    }
    Ok(())
}

fn to_piece(event: &Event) -> Vec<u8> {
    let mut piece = Vec::with_capacity(event.data.len() + 8);
    for line in event.data.split(|byte| *byte == b'\n') {
        piece.extend_from_slice(b"data: ");
        piece.extend_from_slice(line);
        piece.push(b'\n');
    }
    piece.push(b'\n');
    piece
}

/// Ends a stream with a refusal, and without its last piece.
async fn send_refusal(pieces: &Sender<Vec<u8>>, refused: &Refused) {
    // The project's own types always have a JSON form.
    let data = serde_json::to_vec(&refused.to_reply()).unwrap_or_default();
    let event = Event { number: 0, data };
    let _ = pieces.send(to_piece(&event)).await;
}

fn wanted(ask: &Ask, body: &Map<String, Value>) -> Result<RequestedVersion, Refused> {
    let Some(model) = body.get("model").and_then(Value::as_str) else {
        let message = "field model: wanted is auto, a model or model@version";
        return Err(ask.refuse(ErrorCode::BadRequest, message));
    };
    if ANY.contains(&model) {
        return Ok(RequestedVersion::Any);
    }
    let wanted = if model.contains('@') {
        model.parse().map(RequestedVersion::Version)
    } else {
        ModelId::new(model).map(RequestedVersion::Model)
    };
    wanted.map_err(|error| ask.refuse(ErrorCode::BadRequest, format!("field model: {error}")))
}

/// Returns the version that a session runs on.
fn resume(ask: &Ask, wanted: &RequestedVersion, handle: &str) -> Result<VersionId, Refused> {
    let version = session::verify(&ask.entry.key, &ask.key.organisation, handle);
    let version = version.map_err(|error| {
        ask.refuse(
            ErrorCode::BadSession,
            format!("header {}: {error}", header::SESSION),
        )
    })?;
    let fits = match wanted {
        RequestedVersion::Any | RequestedVersion::Session(_) => true,
        RequestedVersion::Model(model) => model == version.model(),
        RequestedVersion::Version(own) => *own == version,
    };
    if fits {
        return Ok(version);
    }
    let message = format!("the session runs on {version}; leave the handle out to begin a new one");
    Err(ask.refuse(ErrorCode::BadSession, message))
}

/// Returns the digest of a prompt's beginning.
fn digest(message: &Value) -> Option<u64> {
    let content = message.get("content")?.as_str()?;
    let end = content.len().min(PREFIX_BYTES);
    let hash = blake3::hash(&content.as_bytes()[..end]);
    Some(digest::short(&hash))
}
