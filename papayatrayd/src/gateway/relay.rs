//! Relay: a caller's request to an endpoint, and the endpoint's answer to the caller.

use std::sync::Arc;

use bytes::Bytes;
use event_listener::Event;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::CallerLimits;
use smol::Timer;
use smol::future::FutureExt;

use super::ask::Ask;
use super::ask::EMPTY_RETRY;
use super::ask::stale;
use super::attempts::Attempts;
use super::attempts::Begun;
use super::dialect::RequestMetadata;
use super::refusal::Refusal;
use super::server::Handler;
use super::server::HandlerBody;
use super::server::Limits;
use super::server::ResponseFuture;
use super::server::read_body;
use super::state::FlightGuard;
use super::state::Gateway;
use super::state::StopStage;
use super::stream;
use crate::observe::Level;
use crate::observe::event;
use crate::observe::request_event;

/// Most bytes of an answer that is held until it is whole, so that a cut one can be made good.
const WHOLE_BYTES: usize = 4 << 20;
/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Header that older servers use for the same purpose.
const KEEP_ALIVE: &str = "keep-alive";

/// Carries callers' requests to endpoints.
#[derive(Debug)]
pub struct Relay {
    gateway: Arc<Gateway>,
}

impl Relay {
    /// Creates a relay over what an entry knows.
    pub const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<HandlerBody> {
        let flight = self.gateway.fly();
        let begun = self.gateway.clock.now();
        let (head, body) = request.into_parts();
        let asked = match self.gateway.dialect.asked(&head) {
            Ok(asked) => asked,
            Err(reason) => {
                let refusal = Refusal::Bad(StatusCode::BAD_REQUEST, reason);
                return self.refuse("-", head.uri.path(), &refusal);
            }
        };
        let (id, path) = (asked.id.clone(), head.uri.path().to_owned());
        match self.admit(head, asked, body, begun, flight).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(&id, &path, &refusal),
        }
    }

    async fn admit(
        &self,
        head: request::Parts,
        asked: RequestMetadata,
        body: Incoming,
        begun: Millis,
        flight: FlightGuard,
    ) -> Result<Response<HandlerBody>, Refusal> {
        self.gateway.wait_for_plan(asked.deadline).await;
        let table = self.gateway.table().ok_or_else(stale)?;
        let ask = Ask::new(&self.gateway, &table, head, asked, begun)?;
        let kind = ask.route.kind;
        let answer = self.answer(ask, body, table.plan().limits, flight).await;
        if let Err(refusal) = &answer {
            self.gateway.meter.request(kind, refusal.outcome());
        }
        answer
    }

    /// Returns a refusal's answer, and logs what decided it.
    fn refuse(&self, id: &str, path: &str, refusal: &Refusal) -> Response<HandlerBody> {
        self.gateway.meter.event("request_refused");
        let plan = self.gateway.table().map(|table| table.version());
        let age = self.gateway.evidence_age();
        event(
            Level::Info,
            "request_refused",
            &[
                ("request", &id),
                ("path", &path),
                ("status", &refusal.status().as_u16()),
                ("reason", &refusal.reason()),
                ("plan", &plan.unwrap_or_default()),
                (
                    "evidence_age_ms",
                    &age.map_or(-1, |age| age.as_u64().cast_signed()),
                ),
            ],
        );
        refusal.response()
    }

    async fn answer(
        &self,
        mut ask: Ask,
        body: Incoming,
        limits: CallerLimits,
        flight: FlightGuard,
    ) -> Result<Response<HandlerBody>, Refusal> {
        let left = ask.left(self.gateway.clock.now());
        ask.set_body(read_request(body, limits.body, left).await?);
        let is_stream = ask.route.kind.is_stream();
        let attempts = Attempts::new(Arc::clone(&self.gateway), Arc::new(ask));
        if is_stream {
            stream::answer(attempts, flight).await
        } else {
            answer_whole(attempts).await
        }
    }
}

impl Handler for Relay {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.serve(request).await })
    }

    fn limits(&self) -> Limits {
        let table = self.gateway.table();
        let own = table.map_or_else(CallerLimits::default, |table| table.plan().limits);
        Limits {
            head: own.head,
            idle: own.idle_timeout,
        }
    }

    fn is_closing(&self) -> bool {
        self.gateway.stop() != StopStage::Serving
    }

    fn closing(&self) -> Option<Arc<Event>> {
        Some(Arc::clone(&self.gateway.closing))
    }
}

async fn read_request(body: Incoming, limit: usize, left: Millis) -> Result<Bytes, Refusal> {
    let reading = async {
        read_body(body, limit).await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                Refusal::Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            } else {
                Refusal::Bad(StatusCode::BAD_REQUEST, "the body broke off")
            }
        })
    };
    let timeout = async {
        Timer::after(left.to_duration()).await;
        Err(Refusal::NotRun(
            "the body did not come in time",
            EMPTY_RETRY,
        ))
    };
    reading.or(timeout).await
}

/// Gives an answer only once it has come whole.
async fn answer_whole(mut attempts: Attempts) -> Result<Response<HandlerBody>, Refusal> {
    let response = read_best(&mut attempts).await?;
    attempts.note_answered();
    let ask = &attempts.ask;
    let is_failure = response.status().is_server_error();
    let outcome = if is_failure {
        "endpoint_failed"
    } else {
        "whole"
    };
    attempts.gateway.meter.request(ask.route.kind, outcome);
    let took = attempts.gateway.clock.now().since(ask.begun);
    request_event(
        &ask.asked.id,
        is_failure || attempts.runs > 1 || took > ask.route.objective,
        "request_answered",
        &[
            ("route", &ask.route.prefix),
            ("status", &response.status().as_u16()),
            ("runs", &attempts.runs),
            ("took_ms", &took.as_u64()),
        ],
    );
    Ok(response)
}

/// Returns the first good answer, or the last failure where no further attempt may be made.
async fn read_best(attempts: &mut Attempts) -> Result<Response<HandlerBody>, Refusal> {
    let mut last = None;
    loop {
        let begun = match attempts.begin().await {
            Ok(begun) => begun,
            // An endpoint's own failure says more than that no further endpoint was tried.
            Err(refusal) => return last.ok_or(refusal),
        };
        let is_failure = begun.head.status.is_server_error();
        match read_whole(attempts, begun).await? {
            Some(response) if is_failure && attempts.may_repeat() => last = Some(response),
            Some(response) => return Ok(response),
            None => {}
        }
    }
}

/// Reads an answer to its end; nothing is returned where another endpoint is to be tried.
pub(super) async fn read_whole(
    attempts: &mut Attempts,
    mut begun: Begun,
) -> Result<Option<Response<HandlerBody>>, Refusal> {
    let left = attempts.ask.left(attempts.gateway.clock.now());
    let reading = async { Some(read_body(&mut begun.body, WHOLE_BYTES).await) };
    let timeout = async {
        Timer::after(left.to_duration()).await;
        None
    };
    match reading.or(timeout).await {
        None => {
            begun.in_flight.failed(attempts.place());
            Err(Refusal::TimedOut)
        }
        Some(Err(error)) => {
            event(
                Level::Debug,
                "answer_cut",
                &[("request", &attempts.ask.asked.id), ("error", &error)],
            );
            if attempts.broke_off(&begun.in_flight) {
                Ok(None)
            } else {
                Err(Refusal::Failed("the endpoint broke off its answer"))
            }
        }
        Some(Ok(body)) => {
            let is_failure = begun.head.status.is_server_error();
            if is_failure {
                begun.in_flight.failed(attempts.place());
                attempts.avoid.push(begun.in_flight.choice.id.clone());
            } else {
                begun.in_flight.succeeded(attempts.place());
            }
            let response = respond(&begun, body);
            begun.finish();
            response.map(Some)
        }
    }
}

fn respond(begun: &Begun, body: Bytes) -> Result<Response<HandlerBody>, Refusal> {
    if !begun.verdict.has_run && is_promise(begun.head.status) {
        // Without the endpoint's own word that it did not run, the status would promise too much.
        return Err(Refusal::Failed(
            "the endpoint did not say whether it ran the request",
        ));
    }
    if begun.head.status.is_success() && !begun.verdict.has_run {
        return Err(Refusal::Failed("the answer is not the endpoint's own"));
    }
    let body = Full::new(body).map_err(|never| match never {});
    Ok(passed_on(&begun.head, body.boxed_unsync()))
}

/// Tells whether a status promises callers that the request has not run.
const fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns an answer with the endpoint's status and headers.
pub(super) fn passed_on(head: &response::Parts, body: HandlerBody) -> Response<HandlerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Returns the headers without those that concern one connection only.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &HeaderName| {
        !HOP_HEADERS.contains(name)
            && name.as_str() != KEEP_ALIVE
            && !named.iter().any(|own| own == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_kept(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
