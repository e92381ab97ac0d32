//! Attempts of one request at endpoints, and when another one may be made.

use std::sync::Arc;

use http::HeaderValue;
use http::response;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ModelId;
use smol::Timer;
use smol::future::FutureExt;

use super::ask::Ask;
use super::ask::EMPTY_RETRY;
use super::ask::POISON_RETRY;
use super::ask::TRACEPARENT;
use super::ask::stale;
use super::channel::Answer;
use super::channel::Channel;
use super::channel::ExchangeError;
use super::channel::Outgoing;
use super::dialect::AttemptContext;
use super::dialect::Verdict;
use super::fleet::Choice;
use super::fleet::Prompt;
use super::refusal::Refusal;
use super::state::Gateway;
use super::state::Outcome;
use crate::observe::Span;
use crate::observe::request_event;

/// Time under which an attempt is not worth beginning.
const LEFT_LEAST: Millis = Millis::new(20);
/// Endpoints that may turn a request down, or not be reached, before it is given up.
const REJECTIONS_MOST: u32 = 5;
/// Time after which a caller may come back where endpoints turned the request down.
const BUSY_RETRY: Millis = Millis::new(250);

/// Answer that an endpoint has begun.
#[derive(Debug)]
pub(super) struct Begun {
    pub(super) in_flight: InFlight,
    pub(super) verdict: Verdict,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) channel: Channel,
    pub(super) reusable: bool,
}

impl Begun {
    /// Gives the connection back after the body was read to its end.
    pub(super) fn finish(self) {
        if self.reusable {
            let now = self.in_flight.gateway.clock.now();
            let channels = &self.in_flight.gateway.channels;
            channels.keep(
                &self.in_flight.choice.id,
                self.channel,
                &self.head.headers,
                now,
            );
        }
    }
}

/// Request in flight at an endpoint; counted there until dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) gateway: Arc<Gateway>,
    pub(super) choice: Choice,
    pub(super) begun: Millis,
    prompt: Prompt,
    reading: f64,
    span: Span,
}

impl InFlight {
    fn new(gateway: &Arc<Gateway>, choice: Choice, prompt: Prompt, span: Span) -> Self {
        let begun = gateway.clock.now();
        let reading = gateway.fleet().begin(&choice, &prompt, begun);
        span.add("endpoint", || choice.id.to_string());
        span.add("release", || choice.release.clone());
        Self {
            span,
            prompt,
            reading,
            begun,
            gateway: Arc::clone(gateway),
            choice,
        }
    }

    /// Notes that the endpoint has read the prompt.
    pub(super) fn read(&mut self) {
        let reading = std::mem::take(&mut self.reading);
        self.gateway.fleet().read(&self.choice.id, reading);
    }

    /// Notes that the endpoint answered well.
    pub(super) fn succeeded(&mut self, place: (&str, usize)) {
        self.read();
        let now = self.gateway.clock.now();
        let latency = now.since(self.begun);
        self.gateway
            .tally(&self.choice, Outcome::Answered(latency), place);
        let mut fleet = self.gateway.fleet();
        fleet.learn(&self.choice, &self.prompt, latency);
        let health = fleet.health(&self.choice.service);
        health.succeeded(&self.choice.id, latency, now);
    }

    /// Notes that the endpoint failed.
    pub(super) fn failed(&self, place: (&str, usize)) {
        let now = self.gateway.clock.now();
        self.gateway.tally(&self.choice, Outcome::Failed, place);
        let mut fleet = self.gateway.fleet();
        let health = fleet.health(&self.choice.service);
        health.failed(&self.choice.id, now);
    }

    /// Notes that the endpoint cannot be reached.
    fn lost(&self) {
        let now = self.gateway.clock.now();
        self.gateway.channels.forget(&self.choice.id);
        let mut fleet = self.gateway.fleet();
        let health = fleet.health(&self.choice.service);
        health.lost(&self.choice.id, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.read();
        self.gateway.fleet().end(&self.choice.id);
    }
}

/// Attempts of one request.
#[derive(Debug)]
pub(super) struct Attempts {
    pub(super) gateway: Arc<Gateway>,
    pub(super) ask: Arc<Ask>,
    /// Endpoints that were tried already.
    pub(super) avoid: Vec<EndpointId>,
    /// Place of the model among the route's sizes.
    pub(super) size: usize,
    /// Last event that was passed on.
    pub(super) last_event: Option<u64>,
    /// Endpoints that may have run the request.
    pub(super) runs: u32,
    rejections: u32,
    arrivals: u32,
}

impl Attempts {
    pub(super) fn new(gateway: Arc<Gateway>, ask: Arc<Ask>) -> Self {
        let now = gateway.clock.now();
        gateway.budget().request(&ask.service, now);
        Self {
            last_event: ask.asked.last_event,
            gateway,
            ask,
            avoid: Vec::new(),
            size: papayatray_core::gateway::sizing::first_size(),
            runs: 0,
            rejections: 0,
            arrivals: 0,
        }
    }

    /// Returns how many more endpoints may run the request.
    pub(super) fn attempts_left(&self) -> u32 {
        self.ask.route.attempts.max(1).saturating_sub(self.runs)
    }

    /// Tells whether another endpoint may run the request after one that may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        self.ask.route.kind.is_repeatable() && self.attempts_left() > 0
    }

    /// Counts the time to the answer, or to the first event.
    pub(super) fn note_answered(&self) {
        let latency = self.gateway.clock.now().since(self.ask.begun);
        self.gateway.meter.answered(self.ask.route.kind, latency);
    }

    /// Returns the names under which answers of this request are compared.
    pub(super) fn place(&self) -> (&str, usize) {
        (&self.ask.route.name, self.size)
    }

    /// Returns the model that the gateway chose.
    fn model(&self) -> Option<&ModelId> {
        let sizes = &self.ask.route.sizes;
        sizes.get(self.size).filter(|_| self.ask.chooses_model())
    }

    /// Sends the request until an endpoint begins to answer it.
    pub(super) async fn begin(&mut self) -> Result<Begun, Refusal> {
        loop {
            self.check_time()?;
            if self.rejections >= REJECTIONS_MOST {
                return Err(self.give_up("no endpoint took the request", BUSY_RETRY));
            }
            let prompt = self.prompt();
            let choice = self.pick(prompt)?;
            let span = self.ask.span.child("gateway.attempt");
            let in_flight = InFlight::new(&self.gateway, choice, prompt, span);
            if let Some(begun) = self.try_one(in_flight).await? {
                return Ok(begun);
            }
        }
    }

    fn check_time(&self) -> Result<(), Refusal> {
        let now = self.gateway.clock.now();
        if self.ask.left(now) < LEFT_LEAST {
            return Err(if self.runs > 0 {
                Refusal::TimedOut
            } else {
                Refusal::NotRun("the time is up", EMPTY_RETRY)
            });
        }
        if self.gateway.crashes().is_quarantined(self.ask.fingerprint) {
            return Err(self.give_up(
                "the request crashes the endpoints that run it",
                POISON_RETRY,
            ));
        }
        if self.ask.is_keyed && !self.gateway.is_current() {
            return Err(if self.runs > 0 {
                Refusal::Failed("this entry cannot reach the control replicas")
            } else {
                stale()
            });
        }
        Ok(())
    }

    /// Returns the time until the first event of another model is expected, where one can run.
    pub(super) fn expected_first(&self, size: usize) -> Option<Millis> {
        let prompt = self.prompt_for(size);
        let (service, session) = (&self.ask.service, self.ask.session);
        let choice = self.gateway.pick(service, &self.avoid, prompt, session)?;
        Some(Millis::new(u64::from(choice.expected)))
    }

    /// Returns what placement is to know of the prompt.
    fn prompt(&self) -> Prompt {
        self.prompt_for(self.size)
    }

    fn prompt_for(&self, size: usize) -> Prompt {
        let (shared_tokens, own_tokens) = self.ask.asked.tokens();
        let shared = self.ask.asked.shared_prefix();
        Prompt {
            // Each model keeps prefixes of its own.
            shared: shared.map(|digest| digest.wrapping_add(size as u64)),
            shared_tokens,
            own_tokens,
            size,
        }
    }

    fn pick(&mut self, prompt: Prompt) -> Result<Choice, Refusal> {
        let session = self.ask.session;
        let service = &self.ask.service;
        let picked = self.gateway.pick(service, &self.avoid, prompt, session);
        let Some(choice) = picked else {
            return Err(self.give_up("no endpoint is at hand", EMPTY_RETRY));
        };
        let now = self.gateway.clock.now();
        if self.arrivals > 0 && !self.gateway.budget().spend(service, now) {
            return Err(self.give_up("the budget of attempts is used up", BUSY_RETRY));
        }
        Ok(choice)
    }

    /// Sends the request to one endpoint; nothing is returned where another may be tried.
    async fn try_one(&mut self, in_flight: InFlight) -> Result<Option<Begun>, Refusal> {
        let now = self.gateway.clock.now();
        let left = self.ask.left(now);
        let outgoing = self.outgoing(&in_flight, left);
        let exchange = async {
            let exchange = self
                .gateway
                .channels
                .exchange(&in_flight.choice, &outgoing, now);
            Some(exchange.await)
        };
        let timeout = async {
            Timer::after(left.to_duration()).await;
            None
        };
        self.arrivals += 1;
        let answered = exchange.or(timeout).await;
        self.log_attempt(&in_flight, answered.as_ref());
        match answered {
            Some(Ok(answer)) => self.judge(in_flight, answer),
            Some(Err(ExchangeError::NotSent(_))) => {
                in_flight.lost();
                self.arrivals -= 1;
                self.note_rejected(&in_flight);
                Ok(None)
            }
            Some(Err(ExchangeError::Lost(_))) => {
                in_flight.failed(self.place());
                let fingerprint = self.ask.fingerprint;
                self.gateway.look_for_crash(fingerprint, &in_flight.choice);
                self.fail(&in_flight).map(|()| None)
            }
            None => {
                self.runs += 1;
                in_flight.failed(self.place());
                Err(Refusal::TimedOut)
            }
        }
    }

    fn outgoing(&self, in_flight: &InFlight, left: Millis) -> Outgoing {
        let attempt = AttemptContext {
            left,
            endpoint: &in_flight.choice.id,
            organisation: self.ask.organisation.as_ref(),
            model: self.model(),
            last_event: self.last_event,
        };
        let mut headers = self.gateway.dialect.forwarded(&self.ask.headers, &attempt);
        let parent = in_flight.span.traceparent();
        if let Some(Ok(parent)) = parent.as_deref().map(HeaderValue::from_str) {
            headers.insert(TRACEPARENT, parent);
        }
        Outgoing {
            method: self.ask.method.clone(),
            path: self.ask.path.clone(),
            headers,
            body: self.ask.body.clone(),
            fresh: !self.ask.route.kind.is_repeatable(),
        }
    }

    fn judge(&mut self, in_flight: InFlight, answer: Answer) -> Result<Option<Begun>, Refusal> {
        let (head, body) = answer.response.into_parts();
        let verdict = self.gateway.dialect.verdict(&head);
        if verdict.not_run {
            self.note_rejected(&in_flight);
            return Ok(None);
        }
        if verdict.echo.as_deref() != Some(&self.ask.asked.id) {
            // An answer to another request must never reach this caller.
            in_flight.failed(self.place());
            self.fail(&in_flight)?;
            return Ok(None);
        }
        self.runs += 1;
        Ok(Some(Begun {
            in_flight,
            verdict,
            head,
            body,
            channel: answer.channel,
            reusable: answer.reusable,
        }))
    }

    /// Notes that an endpoint has certainly not run the request.
    fn note_rejected(&mut self, in_flight: &InFlight) {
        self.rejections += 1;
        self.avoid.push(in_flight.choice.id.clone());
    }

    /// Notes that an endpoint failed and may have run the request.
    fn fail(&mut self, in_flight: &InFlight) -> Result<(), Refusal> {
        self.runs += 1;
        self.avoid.push(in_flight.choice.id.clone());
        if self.may_repeat() {
            Ok(())
        } else {
            Err(Refusal::Failed("the endpoint failed"))
        }
    }

    /// Notes that an endpoint broke off an answer it had begun; tells whether to go on elsewhere.
    pub(super) fn broke_off(&mut self, in_flight: &InFlight) -> bool {
        in_flight.failed(self.place());
        let fingerprint = self.ask.fingerprint;
        self.gateway.look_for_crash(fingerprint, &in_flight.choice);
        self.avoid.push(in_flight.choice.id.clone());
        self.may_repeat()
    }

    /// Returns what to say once no further endpoint is tried.
    fn give_up(&self, reason: &'static str, retry: Millis) -> Refusal {
        if self.runs > 0 {
            Refusal::Failed(reason)
        } else {
            Refusal::NotRun(reason, retry)
        }
    }

    fn log_attempt(&self, in_flight: &InFlight, answered: Option<&Result<Answer, ExchangeError>>) {
        self.gateway.meter.attempt(match answered {
            Some(Ok(_)) => "answered",
            Some(Err(ExchangeError::NotSent(_))) => "not_sent",
            Some(Err(ExchangeError::Lost(_))) => "lost",
            None => "timed_out",
        });
        let outcome = match answered {
            Some(Ok(answer)) => answer.response.status().as_str().to_owned(),
            Some(Err(error)) => error.to_string(),
            None => "timeout".to_owned(),
        };
        in_flight.span.add("outcome", || outcome.clone());
        let is_plain = outcome == "200" && self.runs == 0 && self.rejections == 0;
        let now = self.gateway.clock.now();
        request_event(
            &self.ask.asked.id,
            !is_plain && self.size == 0,
            "attempt",
            &[
                ("service", &self.ask.service),
                ("endpoint", &in_flight.choice.id),
                ("release", &in_flight.choice.release),
                ("size", &self.size),
                ("expected_ms", &in_flight.choice.expected),
                ("runs", &self.runs),
                ("rejected", &self.rejections),
                ("left_ms", &self.ask.left(now).as_u64()),
                ("took_ms", &now.since(in_flight.begun).as_u64()),
                ("outcome", &outcome),
            ],
        );
    }
}
