//! Relay: HTTP handler that forwards callers' requests to endpoints and their responses back.

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

use super::attempt::StartedResponse;
use super::attempts::Attempts;
use super::attempts::BreakCause;
use super::body::BodyError;
use super::body::read_body_within;
use super::buffers::BufferSource;
use super::buffers::Reservation;
use super::dialect::Dialect;
use super::dialect::RequestMetadata;
use super::refusal::Refusal;
use super::routed_request::BUSY_RETRY_AFTER;
use super::routed_request::NO_ENDPOINT_RETRY_AFTER;
use super::routed_request::RoutedRequest;
use super::routed_request::outdated_plan_refusal;
use super::routed_request::stale_plan_refusal;
use super::server::Handler;
use super::server::HandlerBody;
use super::server::Limits;
use super::server::ResponseFuture;
use super::state::ConnectionGuard;
use super::state::Gateway;
use super::state::InFlightGuard;
use super::state::ShutdownStage;
use super::stream;
use crate::observe::Level;
use crate::observe::event;
use crate::observe::request_event;

/// Size limit of a response that is buffered whole, so that a truncated one can be retried.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop header of HTTP/1.0 servers, for which `http` defines no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Handler that forwards callers' requests to endpoints.
#[derive(Debug)]
pub struct Relay {
    gateway: Arc<Gateway>,
}

impl Relay {
    /// Creates a relay that routes by the state of `gateway`.
    pub const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<HandlerBody> {
        let in_flight = self.gateway.track_request();
        let received_at = self.gateway.clock.now();
        let (head, body) = request.into_parts();
        let metadata = match self.gateway.dialect.request_metadata(&head) {
            Ok(metadata) => metadata,
            Err(reason) => {
                let refusal = Refusal::ClientError(StatusCode::BAD_REQUEST, reason);
                return self.refuse("-", head.uri.path(), &refusal);
            }
        };
        let (id, path) = (metadata.id.clone(), head.uri.path().to_owned());
        match self
            .route_request(head, metadata, body, received_at, in_flight)
            .await
        {
            Ok(response) => response,
            Err(refusal) => self.refuse(&id, &path, &refusal),
        }
    }

    async fn route_request(
        &self,
        head: request::Parts,
        metadata: RequestMetadata,
        body: Incoming,
        received_at: Millis,
        in_flight: InFlightGuard,
    ) -> Result<Response<HandlerBody>, Refusal> {
        self.gateway.wait_for_plan(metadata.deadline).await;
        let table = self.gateway.route_table().ok_or_else(stale_plan_refusal)?;
        if self.gateway.is_overdue() {
            return Err(outdated_plan_refusal());
        }
        let request = RoutedRequest::new(&self.gateway, &table, head, metadata, received_at)?;
        let time_left = request.remaining(self.gateway.clock.now());
        self.gateway
            .wait_for_endpoint(&request.service, time_left)
            .await;
        let kind = request.route.kind;
        let result = self
            .forward_request(request, body, table.limits(), in_flight)
            .await;
        if let Err(refusal) = &result {
            self.gateway.metrics.count_request(kind, refusal.outcome());
        }
        result
    }

    /// Returns the response to a refused request, and logs the reason, the plan and its evidence.
    ///
    /// `id` is `-` if the request id could not be read; an `evidence_age_ms` of -1 means that there
    /// is no evidence.
    fn refuse(&self, id: &str, path: &str, refusal: &Refusal) -> Response<HandlerBody> {
        self.gateway.metrics.count_event("request_refused");
        let plan = self.gateway.route_table().map(|table| table.version());
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

    async fn forward_request(
        &self,
        mut request: RoutedRequest,
        body: Incoming,
        limits: CallerLimits,
        in_flight: InFlightGuard,
    ) -> Result<Response<HandlerBody>, Refusal> {
        let remaining = request.remaining(self.gateway.clock.now());
        let reservation = self.gateway.buffers.reservation(request.buffer_source());
        let body = read_request_body(body, limits.body, reservation, remaining).await;
        request.set_body(body.inspect_err(|_| self.gateway.metrics.count_event("body_refused"))?);
        let is_stream = request.route.kind.is_stream();
        let attempts = Attempts::new(Arc::clone(&self.gateway), Arc::new(request));
        if is_stream {
            stream::respond(attempts, in_flight).await
        } else {
            respond_buffered(attempts).await
        }
    }
}

impl Handler for Relay {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.handle_request(request).await })
    }

    fn limits(&self) -> Limits {
        let table = self.gateway.route_table();
        let limits = table.map_or_else(CallerLimits::default, |table| table.limits());
        Limits {
            head: limits.head,
            idle: limits.idle_timeout,
        }
    }

    fn is_closing(&self) -> bool {
        self.gateway.shutdown_stage() != ShutdownStage::Serving
    }

    fn track_connection(&self) -> Option<ConnectionGuard> {
        Some(self.gateway.track_connection())
    }

    fn close_event(&self) -> Option<Arc<Event>> {
        Some(Arc::clone(&self.gateway.close_event))
    }
}

async fn read_request_body(
    body: Incoming,
    limit: usize,
    reservation: Reservation,
    remaining: Millis,
) -> Result<Bytes, Refusal> {
    let body = read_body_within(body, limit, reservation, remaining).await;
    body.map_err(|error| match error {
        BodyError::TooLarge(_) => Refusal::ClientError(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body exceeds the size limit of the plan",
        ),
        BodyError::Fragmented => Refusal::ClientError(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body consists of too many pieces of a few bytes",
        ),
        BodyError::Exhausted(_) => Refusal::NotRun(
            "other request bodies take up the memory for buffers",
            BUSY_RETRY_AFTER,
        ),
        BodyError::CutOff(_) => {
            Refusal::ClientError(StatusCode::BAD_REQUEST, "the request body was cut off")
        }
        BodyError::TimedOut(_) => Refusal::NotRun(
            "the request body did not arrive before the deadline",
            NO_ENDPOINT_RETRY_AFTER,
        ),
    })
}

/// Responds once the whole response of an endpoint has been read.
async fn respond_buffered(mut attempts: Attempts) -> Result<Response<HandlerBody>, Refusal> {
    let response = read_first_success(&mut attempts).await?;
    attempts.record_response_time();
    let request = &attempts.request;
    let is_failure = response.status().is_server_error();
    let outcome = if is_failure {
        "endpoint_failed"
    } else {
        "whole"
    };
    attempts
        .gateway
        .metrics
        .count_request(request.route.kind, outcome);
    let elapsed = attempts.gateway.clock.now().since(request.received_at);
    request_event(
        &request.metadata.id,
        is_failure || attempts.possible_runs > 1 || elapsed > request.route.objective,
        "request_answered",
        &[
            ("route", &request.route.prefix),
            ("status", &response.status().as_u16()),
            ("runs", &attempts.possible_runs),
            ("took_ms", &elapsed.as_u64()),
        ],
    );
    Ok(response)
}

/// Returns the first successful response, or the last failed one once no retry is allowed.
async fn read_first_success(attempts: &mut Attempts) -> Result<Response<HandlerBody>, Refusal> {
    let mut failure = None;
    loop {
        let started = match attempts.start_response().await {
            Ok(started) => started,
            // An endpoint's error response tells the caller more than the refusal to retry.
            Err(refusal) => return failure.ok_or(refusal),
        };
        let is_failure = started.head.status.is_server_error();
        match read_response(attempts, started).await? {
            Some(response) if is_failure && attempts.can_retry() => failure = Some(response),
            Some(response) => return Ok(response),
            None => {}
        }
    }
}

/// Reads a response to its end; returns `None` if it was cut off and a retry is allowed.
pub(super) async fn read_response(
    attempts: &mut Attempts,
    mut started: StartedResponse,
) -> Result<Option<Response<HandlerBody>>, Refusal> {
    let remaining = attempts.request.remaining(attempts.gateway.clock.now());
    let source = BufferSource::Endpoint(started.attempt.endpoint.id.clone());
    let reservation = attempts.gateway.buffers.reservation(source);
    let body = &mut started.body;
    match read_body_within(body, MAX_BUFFERED_BYTES, reservation, remaining).await {
        Err(BodyError::TimedOut(_)) => {
            attempts.record_failure(&started.attempt);
            Err(Refusal::TimedOut)
        }
        Err(error) => {
            event(
                Level::Info,
                "answer_broken",
                &[
                    ("request", &attempts.request.metadata.id),
                    ("endpoint", &started.attempt.endpoint.id),
                    ("error", &error),
                ],
            );
            let cause = BreakCause::from(&error);
            if attempts.record_broken_response(&started.attempt, cause) {
                Ok(None)
            } else {
                Err(Refusal::Failed(cause.reason()))
            }
        }
        Ok(body) => {
            if started.head.status.is_success() && started.metadata.has_run {
                started.attempt.record_answered(&attempts.request);
            }
            let is_failure = started.head.status.is_server_error();
            if is_failure {
                attempts.record_failure(&started.attempt);
                attempts.excluded.push(started.attempt.endpoint.id.clone());
            } else {
                started
                    .attempt
                    .record_success(attempts.response_kind(), attempts.request.route.objective);
                attempts.count_failures();
            }
            let response = checked_response(&started, body);
            started.return_connection();
            response.map(Some)
        }
    }
}

/// Returns the response to forward, or a refusal if its status implies that the request ran or did
/// not run, and the endpoint has not confirmed it by its headers.
fn checked_response(
    started: &StartedResponse,
    body: Bytes,
) -> Result<Response<HandlerBody>, Refusal> {
    if !started.metadata.has_run && implies_not_run(started.head.status) {
        // These statuses promise that the request did not run, which the endpoint has not
        // confirmed.
        return Err(Refusal::Failed(
            "the endpoint did not say whether it ran the request",
        ));
    }
    if started.head.status.is_success() && !started.metadata.has_run {
        return Err(Refusal::Failed(
            "the response does not prove that the endpoint ran the request",
        ));
    }
    let body = Full::new(body).map_err(|never| match never {});
    let dialect = &*started.attempt.gateway.dialect;
    Ok(forwarded_response(
        dialect,
        &started.head,
        body.boxed_unsync(),
    ))
}

/// Returns whether a status tells callers that the request has not run.
const fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns a response with the endpoint's status and those of its headers that callers get.
pub(super) fn forwarded_response(
    dialect: &dyn Dialect,
    head: &response::Parts,
    body: HandlerBody,
) -> Response<HandlerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = dialect.caller_headers(&head.headers);
    response
}

/// Returns the headers without the hop-by-hop ones, including those that `Connection` lists.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = headers.get_all(header::CONNECTION).iter();
    let connection_headers = connection_headers.filter_map(|value| value.to_str().ok());
    let connection_headers: Vec<String> = connection_headers
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_end_to_end = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && name.as_str() != KEEP_ALIVE
            && !connection_headers
                .iter()
                .any(|listed| listed == name.as_str())
    };
    let forwarded = headers.iter().filter(|(name, _)| is_end_to_end(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
