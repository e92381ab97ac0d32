//! Streams: events passed on as they come, from one endpoint after another where one breaks off.

use std::error::Error;

use bytes::Bytes;
use displaydoc::Display;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::sizing;
use papayatray_core::gateway::sizing::Progress;
use smol::Timer;
use smol::future::FutureExt;
use smol::future::yield_now;
use smol::stream;

use super::attempts::Attempts;
use super::attempts::Begun;
use super::events::EventReader;
use super::events::StreamEvent;
use super::refusal::Refusal;
use super::relay::passed_on;
use super::relay::read_whole;
use super::server::HandlerBody;
use super::state::FlightGuard;
use crate::observe::request_event;

/// Least time without an event after which a stream counts as stuck.
const STALL_LEAST: Millis = Millis::new(2_500);
/// Times the longest pause that callers are owed after which a stream counts as stuck.
const STALL_PAUSES: u64 = 4;

/// Why a stream ended before its last event.
#[derive(Debug, Display)]
enum StreamError {
    /// the stream broke off, and no endpoint could go on with it
    Broken,
    /// the caller's time is up
    TimedOut,
}

impl Error for StreamError {}

/// What comes next in a stream.
enum Next {
    Event(StreamEvent),
    End,
    Broken(&'static str),
    TimedOut,
}

/// Stream of one endpoint.
#[derive(Debug)]
struct Source {
    begun: Begun,
    reader: EventReader,
    /// Moment of the last event, or of the head.
    progress: Millis,
}

/// Stream to a caller.
#[derive(Debug)]
struct Relayed {
    attempts: Attempts,
    source: Option<Source>,
    /// Event that was read before the answer began.
    first: Option<StreamEvent>,
    pace: Pace,
    outcome: &'static str,
    _flight: FlightGuard,
}

/// Times of a stream's events, for its last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Millis,
    last: Millis,
    events: u64,
    longest: Millis,
}

impl Pace {
    fn note(&mut self, now: Millis) {
        if self.events == 0 {
            self.first = now;
        } else {
            self.longest = self.longest.max(now.since(self.last));
        }
        self.last = now;
        self.events += 1;
    }
}

/// Answers a request with a stream, or with the whole answer of an endpoint that refused one.
pub(super) async fn answer(
    mut attempts: Attempts,
    flight: FlightGuard,
) -> Result<Response<HandlerBody>, Refusal> {
    let mut last = None;
    loop {
        let begun = match attempts.begin().await {
            Ok(begun) => begun,
            Err(refusal) => return last.ok_or(refusal),
        };
        if !begun.head.status.is_success() {
            let is_failure = begun.head.status.is_server_error();
            match read_whole(&mut attempts, begun).await? {
                Some(response) if is_failure && attempts.may_repeat() => last = Some(response),
                Some(response) => return Ok(response),
                None => {}
            }
            continue;
        }
        if !begun.verdict.has_run {
            if attempts.broke_off(&begun.in_flight) {
                continue;
            }
            return Err(Refusal::Failed("the answer is not the endpoint's own"));
        }
        if let Some(size) = larger_size(&attempts, &begun) {
            log_escalation(&attempts, &begun, size);
            attempts.size = size;
            continue;
        }
        let mut source = Source::new(begun);
        match source.next(&attempts).await {
            Next::Event(first) => {
                source.begun.in_flight.succeeded(attempts.place());
                attempts.note_answered();
                return Ok(respond(attempts, source, first, flight));
            }
            Next::TimedOut => return Err(Refusal::TimedOut),
            Next::End => return Err(Refusal::Failed("the stream is empty")),
            Next::Broken(reason) => {
                log_break(&attempts, &source, reason);
                if !attempts.broke_off(&source.begun.in_flight) {
                    return Err(Refusal::Failed("the endpoint broke off its stream"));
                }
            }
        }
    }
}

/// Returns the larger model to ask instead of the one that has begun to answer.
fn larger_size(attempts: &Attempts, begun: &Begun) -> Option<usize> {
    let ask = &attempts.ask;
    if !ask.chooses_model() || !ask.route.kind.is_repeatable() {
        return None;
    }
    let progress = Progress {
        size: attempts.size,
        sizes: ask.route.sizes.len(),
        confidence: begun.verdict.confidence,
        elapsed: attempts.gateway.clock.now().since(ask.begun),
        objective: ask.route.objective,
        attempts: attempts.attempts_left(),
    };
    sizing::next_size(&progress, |size| attempts.expected_first(size))
}

fn respond(
    attempts: Attempts,
    source: Source,
    first: StreamEvent,
    flight: FlightGuard,
) -> Response<HandlerBody> {
    let head = source.begun.head.clone();
    let relayed = Relayed {
        attempts,
        source: Some(source),
        first: Some(first),
        pace: Pace::default(),
        outcome: "caller_left",
        _flight: flight,
    };
    let frames = stream::unfold(Some(relayed), |relayed| async move {
        let mut relayed = relayed?;
        match relayed.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relayed))),
            Ok(None) => None,
            Err(error) => {
                // An error drops whatever the server has not written yet: let it write first.
                yield_now().await;
                Some((Err::<_, Box<dyn Error + Send + Sync>>(error.into()), None))
            }
        }
    });
    passed_on(&head, StreamBody::new(frames).boxed_unsync())
}

impl Relayed {
    /// Returns the next bytes for the caller, or nothing after the last.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(event) = self.first.take() {
                return Ok(Some(self.pass_on(event)));
            }
            let Some(mut source) = self.source.take() else {
                self.resume().await?;
                continue;
            };
            match source.next(&self.attempts).await {
                Next::Event(event) => {
                    self.source = Some(source);
                    return Ok(Some(self.pass_on(event)));
                }
                Next::End => {
                    self.outcome = "whole";
                    source.begun.finish();
                    return Ok(None);
                }
                Next::TimedOut => {
                    self.outcome = "timed_out";
                    return Err(StreamError::TimedOut);
                }
                Next::Broken(reason) => {
                    log_break(&self.attempts, &source, reason);
                    if !self.attempts.broke_off(&source.begun.in_flight) {
                        self.outcome = "broken";
                        return Err(StreamError::Broken);
                    }
                }
            }
        }
    }

    /// Returns an event's bytes, and notes that the caller has it.
    fn pass_on(&mut self, event: StreamEvent) -> Bytes {
        self.pace.note(self.attempts.gateway.clock.now());
        self.attempts.note_event(&event);
        event.bytes
    }

    /// Lets another endpoint go on after the last event; the one before is off the request.
    async fn resume(&mut self) -> Result<(), StreamError> {
        loop {
            let begun = self.attempts.begin().await.map_err(|refusal| {
                log_resume(&self.attempts, refusal.reason());
                StreamError::Broken
            })?;
            let is_stream = begun.head.status.is_success() && begun.verdict.has_run;
            if is_stream {
                log_resume(&self.attempts, "resumed");
                self.source = Some(Source::new(begun));
                return Ok(());
            }
            if !self.attempts.broke_off(&begun.in_flight) {
                return Err(StreamError::Broken);
            }
        }
    }
}

/// Logs how the stream ended, also where its caller left.
impl Drop for Relayed {
    fn drop(&mut self) {
        let ask = &self.attempts.ask;
        let meter = &self.attempts.gateway.meter;
        meter.request(ask.route.kind, self.outcome);
        request_event(
            &ask.asked.id,
            self.outcome != "whole",
            "stream_ended",
            &[
                ("outcome", &self.outcome),
                ("route", &ask.route.prefix),
                ("size", &self.attempts.size),
                ("runs", &self.attempts.runs),
                ("first_ms", &self.pace.first.since(ask.begun).as_u64()),
                ("pause_ms", &self.pace.longest.as_u64()),
                ("events", &self.pace.events),
                (
                    "age_ms",
                    &self
                        .attempts
                        .gateway
                        .clock
                        .now()
                        .since(self.pace.last)
                        .as_u64(),
                ),
                ("total_ms", &self.pace.last.since(ask.begun).as_u64()),
            ],
        );
    }
}

impl Attempts {
    fn note_event(&mut self, event: &StreamEvent) {
        self.last_event = event.id.or(self.last_event);
    }

    /// Returns the time without an event after which a stream counts as stuck.
    fn stall_limit(&self) -> Millis {
        let pause = self.ask.route.pause.unwrap_or_default();
        Millis::new(pause.as_u64() * STALL_PAUSES).max(STALL_LEAST)
    }
}

impl Source {
    fn new(begun: Begun) -> Self {
        Self {
            progress: begun.in_flight.gateway.clock.now(),
            begun,
            reader: EventReader::default(),
        }
    }

    /// Returns the next event that the caller does not have yet.
    async fn next(&mut self, attempts: &Attempts) -> Next {
        loop {
            if let Some(event) = self.reader.next_event() {
                let is_old = event.id.is_some() && event.id <= attempts.last_event;
                if is_old {
                    continue;
                }
                self.progress = attempts.gateway.clock.now();
                return Next::Event(event);
            }
            let now = attempts.gateway.clock.now();
            let left = attempts.ask.left(now);
            if left == Millis::ZERO {
                return Next::TimedOut;
            }
            // Bytes that make up no event are no progress.
            let patience = attempts.stall_limit().since(now.since(self.progress));
            if patience == Millis::ZERO {
                return Next::Broken("no event came for too long");
            }
            let limit = left.min(patience);
            let reading = async { Some(self.begun.body.frame().await) };
            let timeout = async {
                Timer::after(limit.to_duration()).await;
                None
            };
            match reading.or(timeout).await {
                Some(Some(Ok(frame))) => {
                    let is_sound = frame.data_ref().is_none_or(|bytes| self.reader.push(bytes));
                    if !is_sound {
                        return Next::Broken("an event is too large");
                    }
                }
                Some(Some(Err(_))) => return Next::Broken("the connection was lost"),
                Some(None) if self.reader.has_rest() => {
                    return Next::Broken("the last event is cut");
                }
                Some(None) => return Next::End,
                // The next round tells whether time or patience has run out.
                None => {}
            }
        }
    }
}

fn log_escalation(attempts: &Attempts, begun: &Begun, size: usize) {
    attempts.gateway.meter.event("model_escalated");
    request_event(
        &attempts.ask.asked.id,
        false,
        "model_escalated",
        &[
            ("endpoint", &begun.in_flight.choice.id),
            ("from", &attempts.size),
            ("to", &size),
            ("confidence", &begun.verdict.confidence.unwrap_or(0)),
        ],
    );
}

fn log_break(attempts: &Attempts, source: &Source, reason: &str) {
    attempts.gateway.meter.event("stream_broken");
    request_event(
        &attempts.ask.asked.id,
        true,
        "stream_broken",
        &[
            ("endpoint", &source.begun.in_flight.choice.id),
            ("last_event", &attempts.last_event.unwrap_or(0)),
            ("reason", &reason),
        ],
    );
}

fn log_resume(attempts: &Attempts, outcome: &str) {
    request_event(
        &attempts.ask.asked.id,
        true,
        "stream_resumed",
        &[
            ("last_event", &attempts.last_event.unwrap_or(0)),
            ("outcome", &outcome),
        ],
    );
}
