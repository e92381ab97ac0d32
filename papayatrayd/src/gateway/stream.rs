//! Streamed responses: forwards events as they arrive, and resumes a broken stream at another
//! endpoint.

use std::error::Error;
use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::endpoint_speed::GapMeter;
use papayatray_core::gateway::sizing;
use papayatray_core::gateway::sizing::Progress;
use papayatray_core::gateway::slowness::PaceMeter;
use smol::Timer;
use smol::future::FutureExt;
use smol::future::yield_now;
use smol::stream;

use super::attempt::StartedResponse;
use super::attempts::Attempts;
use super::attempts::BreakCause;
use super::buffers::BufferSource;
use super::events::EventReader;
use super::events::StreamEvent;
use super::refusal::Refusal;
use super::relay::forwarded_response;
use super::relay::read_response;
use super::server::HandlerBody;
use super::state::InFlightGuard;
use crate::observe::request_event;

/// Shortest time without an event after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Millis = Millis::new(2_500);
/// Multiple of the route's objective for the pause between events, after which a stream counts as
/// stalled.
const STALL_PAUSE_FACTOR: u64 = 4;

/// Reason why a stream to a caller was cut off.
#[derive(Debug, Display)]
enum StreamError {
    /// the stream broke off, and no endpoint could resume it
    Broken,
    /// the request's deadline has passed
    TimedOut,
}

impl Error for StreamError {}

/// Outcome of waiting for the next event of an endpoint's stream.
enum StreamItem {
    Event(StreamEvent),
    End,
    /// The endpoint's stream broke off or stalled, for this reason.
    Broken(BreakCause, &'static str),
    TimedOut,
}

/// Stream from one endpoint.
#[derive(Debug)]
struct EndpointStream {
    started: StartedResponse,
    reader: EventReader,
    /// Time of the last event, or of the response head before the first one.
    last_progress: Millis,
    pace: PaceMeter,
    gaps: GapMeter,
}

/// Stream to a caller, fed by one endpoint after another.
#[derive(Debug)]
struct RelayedStream {
    attempts: Attempts,
    /// Stream from the current endpoint; `None` while another endpoint must resume it.
    stream: Option<EndpointStream>,
    /// First event, which was read before the response to the caller started.
    first_event: Option<StreamEvent>,
    timings: EventTimings,
    /// Outcome for the log and the metrics; until the stream ends, that of a caller's disconnect.
    outcome: &'static str,
    _in_flight: InFlightGuard,
}

/// Timings of a stream's events, for the log line at its end.
#[derive(Clone, Copy, Debug, Default)]
struct EventTimings {
    first_at: Millis,
    last_at: Millis,
    event_count: u64,
    longest_pause: Millis,
}

impl EventTimings {
    fn record(&mut self, now: Millis) {
        if self.event_count == 0 {
            self.first_at = now;
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        }
        self.last_at = now;
        self.event_count += 1;
    }
}

/// Responds with a stream, or with the whole response of an endpoint that did not start one.
///
/// The response to the caller starts only after the first event has arrived, so that a failure
/// before it can be retried or reported with a status.
///
/// # Errors
///
/// Returns the refusal to send if no endpoint delivered a first event.
pub(super) async fn respond(
    mut attempts: Attempts,
    in_flight: InFlightGuard,
) -> Result<Response<HandlerBody>, Refusal> {
    let mut failure = None;
    loop {
        let started = match attempts.start_response().await {
            Ok(started) => started,
            Err(refusal) => return failure.ok_or(refusal),
        };
        if !started.head.status.is_success() {
            let is_failure = started.head.status.is_server_error();
            match read_response(&mut attempts, started).await? {
                Some(response) if is_failure && attempts.can_retry() => failure = Some(response),
                Some(response) => return Ok(response),
                None => {}
            }
            continue;
        }
        if !started.metadata.has_run {
            if attempts.record_broken_response(&started.attempt, BreakCause::Invalid) {
                continue;
            }
            return Err(Refusal::Failed(
                "the response does not prove that the endpoint ran the request",
            ));
        }
        if let Some(size_index) = escalation_size(&attempts, &started)
            && attempts.switch_model(size_index)
        {
            log_escalation(&attempts, &started);
            continue;
        }
        let mut stream = EndpointStream::new(started);
        match stream.next(&attempts).await {
            StreamItem::Event(first_event) => {
                stream
                    .started
                    .attempt
                    .record_success(attempts.response_kind(), attempts.request.route.objective);
                attempts.count_failures();
                attempts.record_response_time();
                return Ok(start_relay(attempts, stream, first_event, in_flight));
            }
            StreamItem::TimedOut => return Err(Refusal::TimedOut),
            StreamItem::End => return Err(Refusal::Failed("the stream ended without an event")),
            StreamItem::Broken(cause, reason) => {
                log_break(&attempts, &stream, reason);
                if !attempts.record_broken_response(&stream.started.attempt, cause) {
                    return Err(Refusal::Failed(
                        "the endpoint cut off its stream before the first event",
                    ));
                }
            }
        }
    }
}

/// Returns the index of a larger model to use instead, if the confidence of this one is too low.
///
/// A request is escalated only if its route allows repetition.
fn escalation_size(attempts: &Attempts, started: &StartedResponse) -> Option<usize> {
    let request = &attempts.request;
    if !request.chooses_model() || !request.route.kind.is_repeatable() {
        return None;
    }
    let now = attempts.gateway.clock.now();
    let progress = Progress {
        size_index: attempts.size_index,
        size_count: request.route.sizes.len(),
        confidence: started.metadata.confidence,
        elapsed: now.since(request.received_at),
        objective: request.route.objective,
        time_left: request.remaining(now),
        attempts_left: attempts.attempts_left(),
    };
    sizing::next_size(&progress, |size_index| attempts.expected_times(size_index))
}

fn start_relay(
    attempts: Attempts,
    stream: EndpointStream,
    first_event: StreamEvent,
    in_flight: InFlightGuard,
) -> Response<HandlerBody> {
    let head = stream.started.head.clone();
    let gateway = Arc::clone(&attempts.gateway);
    let relayed = RelayedStream {
        attempts,
        stream: Some(stream),
        first_event: Some(first_event),
        timings: EventTimings::default(),
        outcome: "caller_left",
        _in_flight: in_flight,
    };
    let frames = stream::unfold(Some(relayed), |relayed| async move {
        let mut relayed = relayed?;
        match relayed.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relayed))),
            Ok(None) => None,
            Err(error) => {
                // An error makes the server drop unwritten frames, so let it write them first.
                yield_now().await;
                Some((Err::<_, Box<dyn Error + Send + Sync>>(error.into()), None))
            }
        }
    });
    let body = StreamBody::new(frames).boxed_unsync();
    forwarded_response(&*gateway.dialect, &head, body)
}

impl RelayedStream {
    /// Returns the next event's bytes, or `None` after the last event.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(event) = self.first_event.take() {
                return Ok(Some(self.forward(event)));
            }
            let Some(mut stream) = self.stream.take() else {
                if let Err(error) = self.resume().await {
                    self.outcome = "broken";
                    return Err(error);
                }
                continue;
            };
            match stream.next(&self.attempts).await {
                StreamItem::Event(event) => {
                    self.stream = Some(stream);
                    return Ok(Some(self.forward(event)));
                }
                StreamItem::End => {
                    let comments = stream.reader.take_comments();
                    if !comments.is_empty() {
                        self.stream = Some(stream);
                        return Ok(Some(comments));
                    }
                    self.outcome = "whole";
                    self.record_stream_time();
                    stream
                        .started
                        .attempt
                        .record_answered(&self.attempts.request);
                    stream.started.return_connection();
                    return Ok(None);
                }
                StreamItem::TimedOut => {
                    self.outcome = "timed_out";
                    self.record_stream_time();
                    return Err(StreamError::TimedOut);
                }
                StreamItem::Broken(cause, reason) => {
                    log_break(&self.attempts, &stream, reason);
                    if !self
                        .attempts
                        .record_broken_response(&stream.started.attempt, cause)
                    {
                        self.outcome = "broken";
                        return Err(StreamError::Broken);
                    }
                }
            }
        }
    }

    /// Records the time since the first event, unless the stream began in an earlier request.
    fn record_stream_time(&self) {
        let request = &self.attempts.request;
        if request.metadata.last_event.is_none() {
            let gateway = &self.attempts.gateway;
            let time = gateway.clock.now().since(self.timings.first_at);
            let mut stream_times = gateway.stream_times();
            stream_times.add(&request.route.name, self.attempts.size_index, time);
        }
    }

    /// Returns an event's bytes and records the event as forwarded.
    fn forward(&mut self, event: StreamEvent) -> Bytes {
        self.timings.record(self.attempts.gateway.clock.now());
        self.attempts.record_event(&event);
        event.bytes
    }

    /// Resumes the stream after the last forwarded event, at an endpoint not tried yet.
    ///
    /// The broken stream has been dropped before, so that it no longer counts towards the load of
    /// its endpoint.
    async fn resume(&mut self) -> Result<(), StreamError> {
        loop {
            let started = self.attempts.start_response().await.map_err(|refusal| {
                log_resume(&self.attempts, refusal.reason());
                StreamError::Broken
            })?;
            let is_stream = started.head.status.is_success() && started.metadata.has_run;
            if is_stream {
                log_resume(&self.attempts, "resumed");
                self.stream = Some(EndpointStream::new(started));
                return Ok(());
            }
            if !self
                .attempts
                .record_broken_response(&started.attempt, BreakCause::Invalid)
            {
                return Err(StreamError::Broken);
            }
        }
    }
}

/// Logs the end of the stream; a drop before its end means that the caller disconnected.
impl Drop for RelayedStream {
    fn drop(&mut self) {
        let request = &self.attempts.request;
        let metrics = &self.attempts.gateway.metrics;
        metrics.count_request(request.route.kind, self.outcome);
        request_event(
            &request.metadata.id,
            self.outcome != "whole",
            "stream_ended",
            &[
                ("outcome", &self.outcome),
                ("route", &request.route.prefix),
                ("size", &self.attempts.size_index),
                ("runs", &self.attempts.possible_runs),
                (
                    "first_ms",
                    &self.timings.first_at.since(request.received_at).as_u64(),
                ),
                ("pause_ms", &self.timings.longest_pause.as_u64()),
                ("events", &self.timings.event_count),
                (
                    "age_ms",
                    &self
                        .attempts
                        .gateway
                        .clock
                        .now()
                        .since(self.timings.last_at)
                        .as_u64(),
                ),
                (
                    "total_ms",
                    &self.timings.last_at.since(request.received_at).as_u64(),
                ),
            ],
        );
    }
}

impl Attempts {
    fn record_event(&mut self, event: &StreamEvent) {
        self.count_failures();
        self.last_event = event.id.or(self.last_event);
    }

    /// Returns the time without an event after which a stream counts as stalled, or `None` if no other
    /// endpoint may resume it: its endpoint may go on, as after a preemption.
    fn stall_timeout(&self) -> Option<Millis> {
        let pause = self.request.route.pause.unwrap_or_default();
        let timeout = Millis::new(pause.as_u64() * STALL_PAUSE_FACTOR).max(MIN_STALL_TIMEOUT);
        self.can_retry().then_some(timeout)
    }
}

impl EndpointStream {
    fn new(started: StartedResponse) -> Self {
        let gateway = &started.attempt.gateway;
        let source = BufferSource::Endpoint(started.attempt.endpoint.id.clone());
        Self {
            last_progress: gateway.clock.now(),
            reader: EventReader::new(gateway.buffers.reservation(source)),
            started,
            pace: PaceMeter::default(),
            gaps: GapMeter::default(),
        }
    }

    /// Waits for the next event that has not been forwarded yet.
    async fn next(&mut self, attempts: &Attempts) -> StreamItem {
        loop {
            if let Some(event) = self.reader.next_event() {
                let is_duplicate = event.id.is_some() && event.id <= attempts.last_event;
                if is_duplicate {
                    continue;
                }
                self.last_progress = attempts.gateway.clock.now();
                self.started
                    .attempt
                    .record_event(&attempts.request, self.last_progress);
                attempts.gateway.record_event(
                    &self.started.attempt.endpoint,
                    &mut self.pace,
                    attempts.size_index,
                );
                if let Some(gap_ms) = self.gaps.record_event(self.last_progress) {
                    attempts.gateway.fleet().record_gap(
                        &self.started.attempt.endpoint,
                        attempts.size_index,
                        gap_ms,
                    );
                }
                return StreamItem::Event(event);
            }
            let now = attempts.gateway.clock.now();
            let remaining = attempts.request.remaining(now);
            if remaining == Millis::ZERO {
                return StreamItem::TimedOut;
            }
            // Bytes that do not complete an event do not count as progress.
            let stall_remaining = attempts
                .stall_timeout()
                .map(|timeout| timeout.since(now.since(self.last_progress)));
            if stall_remaining == Some(Millis::ZERO) {
                return StreamItem::Broken(BreakCause::Lost, "no event came for too long");
            }
            let limit = remaining.min(stall_remaining.unwrap_or(remaining));
            let reading = async { Some(self.started.body.frame().await) };
            let timeout = async {
                Timer::after(limit.to_duration()).await;
                None
            };
            match reading.or(timeout).await {
                Some(Some(Ok(frame))) => {
                    let Some(bytes) = frame.data_ref() else {
                        continue;
                    };
                    if let Err(error) = self.reader.push(bytes) {
                        let cause = BreakCause::from(&error);
                        return StreamItem::Broken(cause, "an event exceeds a limit");
                    }
                }
                Some(Some(Err(_))) => {
                    return StreamItem::Broken(BreakCause::Lost, "the connection was lost");
                }
                Some(None) if self.reader.has_partial_event() => {
                    return StreamItem::Broken(
                        BreakCause::Lost,
                        "the stream ended within an event",
                    );
                }
                Some(None) => return StreamItem::End,
                // The next iteration finds out whether the deadline or the stall time-out expired.
                None => {}
            }
        }
    }
}

fn log_escalation(attempts: &Attempts, started: &StartedResponse) {
    attempts.gateway.metrics.count_event("model_escalated");
    request_event(
        &attempts.request.metadata.id,
        false,
        "model_escalated",
        &[
            ("endpoint", &started.attempt.endpoint.id),
            ("to", &attempts.size_index),
            ("confidence", &started.metadata.confidence.unwrap_or(0)),
        ],
    );
}

fn log_break(attempts: &Attempts, stream: &EndpointStream, reason: &str) {
    attempts.gateway.metrics.count_event("stream_broken");
    request_event(
        &attempts.request.metadata.id,
        true,
        "stream_broken",
        &[
            ("endpoint", &stream.started.attempt.endpoint.id),
            ("last_event", &attempts.last_event.unwrap_or(0)),
            ("reason", &reason),
        ],
    );
}

fn log_resume(attempts: &Attempts, outcome: &str) {
    request_event(
        &attempts.request.metadata.id,
        true,
        "stream_resumed",
        &[
            ("last_event", &attempts.last_event.unwrap_or(0)),
            ("outcome", &outcome),
        ],
    );
}
