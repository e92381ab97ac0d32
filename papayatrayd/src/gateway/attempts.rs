//! Attempts to send one request to an endpoint, and the rules for retrying.

use std::sync::Arc;

use http::HeaderValue;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::order::Urgency;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::request_failures::RequestFailures;
use papayatray_core::gateway::sizing::ExpectedTimes;
use papayatray_core::gateway::slowness::ResponseKind;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ModelId;
use smol::Timer;
use smol::future::FutureExt;

pub(super) use self::break_cause::BreakCause;
use self::release::ReleaseChoice;
use super::attempt::InFlightAttempt;
use super::attempt::StartedResponse;
use super::connection_pool::EndpointResponse;
use super::connection_pool::ExchangeError;
use super::connection_pool::OutgoingRequest;
use super::dialect::AttemptContext;
use super::fleet::Prompt;
use super::fleet::SelectedEndpoint;
use super::refusal::Refusal;
use super::routed_request::BUSY_RETRY_AFTER;
use super::routed_request::NO_ENDPOINT_RETRY_AFTER;
use super::routed_request::POISON_RETRY_AFTER;
use super::routed_request::RoutedRequest;
use super::routed_request::TRACEPARENT;
use super::routed_request::stale_plan_refusal;
use super::state::Gateway;
use super::state::PlacementRequest;
use crate::observe::request_event;

mod break_cause;
mod release;

/// Minimum time left until the deadline for an attempt to be started.
const MIN_REMAINING: Millis = Millis::new(20);
/// Endpoints that may reject a request or be unreachable before the request is refused.
const MAX_REJECTIONS: u32 = 5;

/// Reason of the refusal of a request whose home regions have no endpoint for it.
const NO_HOME_REASON: &str = "no endpoint in the home regions of the request can take it";
/// Reason of the refusal of a quarantined request.
const QUARANTINE_REASON: &str =
    "the request or a part of its prompt is quarantined: endpoints crashed on it";

/// State of one request over all its attempts.
#[derive(Debug)]
pub(super) struct Attempts {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: Arc<RoutedRequest>,
    /// Endpoints that already had an attempt and get no further one.
    pub(super) excluded: Vec<EndpointId>,
    /// Endpoints of `excluded` to which this entry could not connect.
    unreachable: Vec<EndpointId>,
    /// Whether a connection was lost during an attempt; others in the pool may have been lost with it.
    has_lost_connection: bool,
    /// Whether a connection to an endpoint was not established in time, so that the next attempts are
    /// sent through other entries rather than waiting for another connection.
    prefers_hop: bool,
    /// Index of the model in the route's `sizes`.
    pub(super) size_index: usize,
    /// Id of the last event that the caller has received, in this request or in the one that it
    /// resumes.
    pub(super) last_event: Option<u64>,
    /// Attempts after which the endpoint may have run the request.
    pub(super) possible_runs: u32,
    /// Attempts after which the endpoint certainly has not run the request.
    rejections: u32,
    /// Attempts that may have reached an endpoint; the retry budget bounds all after the first.
    arrivals: u32,
    /// Whether the next attempt has been paid for from the retry budget.
    is_prepaid: bool,
    /// Failed responses, until they are counted for their releases.
    failures: RequestFailures<SelectedEndpoint>,
    release_choice: ReleaseChoice,
}

impl Attempts {
    pub(super) fn new(gateway: Arc<Gateway>, request: Arc<RoutedRequest>) -> Self {
        let now = gateway.clock.now();
        gateway.budget().record_request(&request.service, now);
        Self {
            last_event: request.metadata.last_event,
            gateway,
            request,
            excluded: Vec::new(),
            unreachable: Vec::new(),
            has_lost_connection: false,
            prefers_hop: false,
            size_index: papayatray_core::gateway::sizing::first_size(),
            possible_runs: 0,
            rejections: 0,
            arrivals: 0,
            is_prepaid: false,
            failures: RequestFailures::default(),
            release_choice: ReleaseChoice::Draw,
        }
    }

    /// Returns how many further attempts may run the request, by the route's limit.
    ///
    /// A limit of 0 counts as 1.
    pub(super) fn attempts_left(&self) -> u32 {
        self.request
            .route
            .attempts
            .max(1)
            .saturating_sub(self.possible_runs)
    }

    /// Returns whether the request may be sent again after an endpoint may have run it.
    pub(super) fn can_retry(&self) -> bool {
        self.request.route.kind.is_repeatable() && self.attempts_left() > 0
    }

    /// Switches to another model if the retry budget allows one more attempt for it.
    pub(super) fn switch_model(&mut self, size_index: usize) -> bool {
        let now = self.gateway.clock.now();
        let service = &self.request.service;
        let is_allowed = self.gateway.budget().spend(service, now);
        if is_allowed {
            self.size_index = size_index;
            self.is_prepaid = true;
        }
        is_allowed
    }

    /// Records the time to the whole response, or to a stream's first event.
    pub(super) fn record_response_time(&self) {
        let latency = self.gateway.clock.now().since(self.request.received_at);
        self.gateway
            .metrics
            .observe_response(self.request.route.kind, latency);
    }

    /// Returns the kind of response that the current model gives.
    pub(super) fn response_kind(&self) -> ResponseKind {
        ResponseKind {
            route: self.request.route.name.clone(),
            size_index: self.size_index,
            prefill_class: 0,
        }
    }

    /// Returns the model that the gateway chose, or `None` if it does not choose one.
    fn model(&self) -> Option<&ModelId> {
        let sizes = &self.request.route.sizes;
        sizes
            .get(self.size_index)
            .filter(|_| self.request.chooses_model())
    }

    /// Sends the request to one endpoint after another until a response starts.
    ///
    /// # Errors
    ///
    /// Returns a refusal once the time, the attempts or the retry budget is exhausted, or the
    /// request is quarantined.
    pub(super) async fn start_response(&mut self) -> Result<StartedResponse, Refusal> {
        loop {
            self.check_preconditions()?;
            if self.rejections >= MAX_REJECTIONS {
                return Err(self.final_refusal(
                    "all endpoints tried rejected the request or were unreachable",
                    BUSY_RETRY_AFTER,
                ));
            }
            self.readmit_unreachable();
            let prompt = self.prompt();
            let endpoint = self.pick_endpoint(prompt)?;
            let span = self.request.span.child("gateway.attempt");
            let attempt = InFlightAttempt::new(&self.gateway, endpoint, prompt, span);
            if let Some(started) = self.send_to_endpoint(attempt).await? {
                return Ok(started);
            }
        }
    }

    /// Checks that enough time is left, the request is not quarantined and its API key can still be
    /// trusted.
    fn check_preconditions(&self) -> Result<(), Refusal> {
        let now = self.gateway.clock.now();
        if self.request.remaining(now) < MIN_REMAINING {
            return Err(if self.possible_runs > 0 {
                Refusal::TimedOut
            } else {
                Refusal::NotRun(
                    "too little time is left before the deadline",
                    NO_ENDPOINT_RETRY_AFTER,
                )
            });
        }
        if let Some(cause) = self.gateway.find_quarantined(&self.request) {
            self.log_quarantine(cause);
            return Err(self.final_refusal(QUARANTINE_REASON, POISON_RETRY_AFTER));
        }
        if self.request.has_key && !self.gateway.has_fresh_evidence() {
            return Err(if self.possible_runs > 0 {
                Refusal::Failed("no recent evidence that the plan of this entry is the newest")
            } else {
                stale_plan_refusal()
            });
        }
        Ok(())
    }

    /// Returns the expected times of a response from the model at `size_index`.
    ///
    /// Returns `None` if no endpoint can take the request.
    pub(super) fn expected_times(&self, size_index: usize) -> Option<ExpectedTimes> {
        let request = self.placement_request(self.prompt_for(size_index));
        let endpoint = self.gateway.pick(&request)?;
        let first_event = Millis::new(u64::from(endpoint.expected_ms));
        let stream_times = self.gateway.stream_times();
        let stream_time = stream_times.usual(&self.request.route.name, size_index);
        Some(ExpectedTimes {
            first_event,
            end: first_event + stream_time.unwrap_or_default(),
        })
    }

    /// Returns the prompt as placement uses it, for the current model.
    fn prompt(&self) -> Prompt {
        self.prompt_for(self.size_index)
    }

    fn prompt_for(&self, size_index: usize) -> Prompt {
        let (shared_tokens, unique_tokens) = self.request.metadata.shared_and_unique_tokens();
        let shared_digest = self.request.metadata.shared_prefix_digest();
        Prompt {
            // Prefix caches are per model, so the digest includes the model's index.
            shared_digest: shared_digest.map(|digest| digest.wrapping_add(size_index as u64)),
            shared_tokens,
            unique_tokens,
            size_index,
        }
    }

    fn placement_request(&self, prompt: Prompt) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.request.service,
            excluded: &self.excluded,
            homes: &self.request.homes,
            prompt,
            session_draw: self.release_draw(),
        }
    }

    /// Selects an endpoint; every attempt after the first that may have reached one spends retry
    /// budget.
    fn pick_endpoint(&mut self, prompt: Prompt) -> Result<SelectedEndpoint, Refusal> {
        if self.arrivals == 0 {
            self.request_grant();
        }
        let endpoint = self.gateway.reserve(&self.placement_request(prompt));
        let is_target = |endpoint: &SelectedEndpoint| self.gateway.is_in_rollout(endpoint);
        if self.arrivals == 0 && !endpoint.as_ref().is_some_and(is_target) {
            self.take_back_grant();
        }
        let Some(endpoint) = endpoint else {
            return Err(self.no_endpoint_refusal());
        };
        let service = &self.request.service;
        let now = self.gateway.clock.now();
        let is_free = self.arrivals == 0 || std::mem::take(&mut self.is_prepaid);
        if !is_free && !self.gateway.budget().spend(service, now) {
            return Err(self.final_refusal(
                "the retry budget of the service is exhausted",
                BUSY_RETRY_AFTER,
            ));
        }
        Ok(endpoint)
    }

    /// Returns the refusal for a request that no endpoint may get.
    fn no_endpoint_refusal(&self) -> Refusal {
        let now = self.gateway.clock.now();
        let RoutedRequest { service, homes, .. } = &*self.request;
        let regions = &self.gateway.regions;
        let wait = self
            .gateway
            .fleet()
            .shortest_wait(service, homes, regions, now);
        if homes.is_bounded() {
            self.gateway.metrics.count_event("no_home_endpoint");
            let retry_after = wait.map_or(NO_ENDPOINT_RETRY_AFTER, |w| w.max(BUSY_RETRY_AFTER));
            return self.final_refusal(NO_HOME_REASON, retry_after);
        }
        match wait {
            Some(wait) => self.final_refusal(
                "every endpoint of the service asked for a pause or is at its rate limit",
                wait.max(BUSY_RETRY_AFTER),
            ),
            None => self.final_refusal(
                "no endpoint of the service is available",
                NO_ENDPOINT_RETRY_AFTER,
            ),
        }
    }

    /// Sends the request to one endpoint; returns `None` if another endpoint may be tried.
    async fn send_to_endpoint(
        &mut self,
        attempt: InFlightAttempt,
    ) -> Result<Option<StartedResponse>, Refusal> {
        let now = self.gateway.clock.now();
        let remaining = self.request.remaining(now);
        let outgoing = self.outgoing_request(&attempt, remaining);
        let path = self.path(&attempt.endpoint);
        let exchange = async {
            let homes = &self.request.homes;
            let exchange = self
                .gateway
                .exchange(&attempt.endpoint, &outgoing, homes, path);
            Some(exchange.await)
        };
        let timeout = async {
            Timer::after(remaining.to_duration()).await;
            None
        };
        let quarantine = async {
            let cause = self.gateway.wait_until_quarantined(&self.request).await;
            Some(Err(ExchangeError::Withdrawn(cause)))
        };
        self.arrivals += 1;
        let result = exchange.or(timeout).or(quarantine).await;
        self.log_attempt(&attempt, path, result.as_ref());
        match result {
            Some(Ok(received)) => self.check_response(attempt, received),
            Some(Err(ExchangeError::Unreachable(error))) => {
                self.arrivals -= 1;
                self.record_rejection(&attempt);
                self.unreachable.push(attempt.endpoint.id.clone());
                self.prefers_hop |= error.kind() == std::io::ErrorKind::TimedOut;
                Ok(None)
            }
            Some(Err(ExchangeError::UnreachableElsewhere | ExchangeError::Declined(_))) => {
                self.arrivals -= 1;
                self.record_rejection(&attempt);
                Ok(None)
            }
            // The other entry may be at fault, so the endpoint is not held responsible.
            Some(Err(ExchangeError::HopLost(_))) => self.record_failed_run(&attempt).map(|()| None),
            Some(Err(ExchangeError::NotSent(_))) => {
                attempt.record_not_sent();
                self.arrivals -= 1;
                self.record_rejection(&attempt);
                Ok(None)
            }
            Some(Err(ExchangeError::Lost(_))) => {
                self.record_failure(&attempt);
                self.gateway.detect_crash(attempt.lost(&self.request));
                self.record_failed_run(&attempt).map(|()| None)
            }
            Some(Err(ExchangeError::InvalidStatus(_))) => {
                self.record_failure(&attempt);
                self.record_failed_run(&attempt).map(|()| None)
            }
            Some(Err(ExchangeError::Withdrawn(cause))) => {
                self.possible_runs += 1;
                self.log_quarantine(cause);
                Err(Refusal::Failed(QUARANTINE_REASON))
            }
            None => {
                self.possible_runs += 1;
                self.record_failure(&attempt);
                Err(Refusal::TimedOut)
            }
        }
    }

    fn path(&self, endpoint: &SelectedEndpoint) -> Path {
        if self.prefers_hop {
            Path::Indirect
        } else {
            self.gateway.fleet().path(endpoint)
        }
    }

    /// Readmits endpoints to which this entry could not connect, once it takes itself for cut off from
    /// the service: they may answer through other entries.
    fn readmit_unreachable(&mut self) {
        let is_cut_off = || {
            let fleet = self.gateway.fleet();
            fleet.is_cut_off_from(&self.request.service)
        };
        if !self.unreachable.is_empty() && is_cut_off() {
            let unreachable = std::mem::take(&mut self.unreachable);
            self.excluded.retain(|id| !unreachable.contains(id));
        }
    }

    /// Returns the urgency of the request by the plan in force.
    fn urgency(&self) -> Option<Urgency> {
        let table = self.gateway.route_table()?;
        let request = &self.request;
        let elapsed = self.gateway.clock.now().since(request.received_at);
        table.urgency(&request.route, request.organisation.as_ref(), elapsed)
    }

    fn outgoing_request(&self, attempt: &InFlightAttempt, remaining: Millis) -> OutgoingRequest {
        let context = AttemptContext {
            remaining,
            endpoint: &attempt.endpoint.id,
            organisation: self.request.organisation.as_ref(),
            model: self.model(),
            last_event: self.last_event,
            urgency: self.urgency(),
        };
        let mut headers = self
            .gateway
            .dialect
            .endpoint_headers(&self.request.headers, &context);
        let traceparent = attempt.span.traceparent();
        if let Some(Ok(traceparent)) = traceparent.as_deref().map(HeaderValue::from_str) {
            headers.insert(TRACEPARENT, traceparent);
        }
        OutgoingRequest {
            id: self.request.metadata.id.clone(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers,
            body: self.request.body.clone(),
            remaining,
            needs_new_connection: !self.request.route.kind.is_repeatable()
                || self.has_lost_connection,
        }
    }

    fn check_response(
        &mut self,
        mut attempt: InFlightAttempt,
        received: EndpointResponse,
    ) -> Result<Option<StartedResponse>, Refusal> {
        let (head, body) = received.response.into_parts();
        let metadata = self.gateway.dialect.response_metadata(&head);
        self.gateway.record_statements(
            &attempt.endpoint,
            &metadata,
            &self.request.metadata.id,
            attempt.started_at,
        );
        // An endpoint that turns a request away may leave its id out, but names no other one.
        let own_id = self.request.metadata.id.as_str();
        let names_other = metadata
            .request_id
            .as_deref()
            .is_some_and(|id| id != own_id);
        if metadata.not_run && !names_other {
            self.record_rejection(&attempt);
            return Ok(None);
        }
        if metadata.request_id.as_deref() != Some(own_id) {
            // The response belongs to another request and must not reach this caller.
            self.record_failure(&attempt);
            self.record_failed_run(&attempt)?;
            return Ok(None);
        }
        self.possible_runs += 1;
        attempt.answered_at = Some(self.gateway.clock.now());
        Ok(Some(StartedResponse {
            attempt,
            head,
            body,
            connection: received.connection,
            is_reusable: received.is_reusable && !metadata.is_leaving,
            metadata,
        }))
    }

    /// Records that the endpoint certainly has not run the request.
    fn record_rejection(&mut self, attempt: &InFlightAttempt) {
        self.rejections += 1;
        self.excluded.push(attempt.endpoint.id.clone());
    }

    /// Records that the endpoint failed and may have run the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not be retried.
    fn record_failed_run(&mut self, attempt: &InFlightAttempt) -> Result<(), Refusal> {
        self.possible_runs += 1;
        self.has_lost_connection = true;
        self.excluded.push(attempt.endpoint.id.clone());
        if self.can_retry() {
            Ok(())
        } else {
            Err(Refusal::Failed(
                "the endpoint failed and may have run the request",
            ))
        }
    }

    /// Records that a started response is of no use; returns whether the request may be retried.
    pub(super) fn record_broken_response(
        &mut self,
        attempt: &InFlightAttempt,
        cause: BreakCause,
    ) -> bool {
        if cause == BreakCause::Lost {
            self.has_lost_connection = true;
            self.gateway.detect_crash(attempt.lost(&self.request));
        } else {
            self.gateway.metrics.count_event("response_refused");
        }
        if cause != BreakCause::NoMemory {
            self.record_failure(attempt);
        }
        self.excluded.push(attempt.endpoint.id.clone());
        self.can_retry()
    }

    /// Returns the refusal for a request that gets no further attempt.
    ///
    /// [`Refusal::NotRun`] is only used while no endpoint can have run the request.
    fn final_refusal(&self, reason: &'static str, retry_after: Millis) -> Refusal {
        if self.possible_runs > 0 {
            Refusal::Failed(reason)
        } else {
            Refusal::NotRun(reason, retry_after)
        }
    }

    fn log_quarantine(&self, cause: CrashCause) {
        self.gateway.metrics.count_event("quarantine_applied");
        request_event(
            &self.request.metadata.id,
            true,
            "quarantine_applied",
            &[("cause", &cause), ("runs", &self.possible_runs)],
        );
    }

    fn log_attempt(
        &self,
        attempt: &InFlightAttempt,
        path: Path,
        result: Option<&Result<EndpointResponse, ExchangeError>>,
    ) {
        self.gateway.metrics.count_attempt(match result {
            Some(Ok(_)) => "answered",
            Some(Err(ExchangeError::Unreachable(_))) => "unreachable",
            Some(Err(ExchangeError::UnreachableElsewhere)) => "unreachable_elsewhere",
            Some(Err(ExchangeError::NotSent(_) | ExchangeError::Declined(_))) => "not_sent",
            Some(Err(ExchangeError::Lost(_) | ExchangeError::HopLost(_))) => "lost",
            Some(Err(ExchangeError::InvalidStatus(_))) => "invalid_status",
            Some(Err(ExchangeError::Withdrawn(_))) => "withdrawn",
            None => "timed_out",
        });
        let outcome = match result {
            Some(Ok(received)) => received.response.status().as_str().to_owned(),
            Some(Err(error)) => error.to_string(),
            None => "timeout".to_owned(),
        };
        attempt.span.add("outcome", || outcome.clone());
        // After an escalation to a larger model, `possible_runs` is above 0 even without a failure.
        let is_first_success = outcome == "200" && self.possible_runs == 0 && self.rejections == 0;
        let now = self.gateway.clock.now();
        let rate_limit = attempt.endpoint.rate_limit;
        if rate_limit.is_some() {
            self.gateway
                .metrics
                .count_event(if self.arrivals > 1 || self.size_index > 0 {
                    "limited_endpoint_repeat"
                } else {
                    "limited_endpoint_first"
                });
        }
        let limit = rate_limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        request_event(
            &self.request.metadata.id,
            (!is_first_success && self.size_index == 0)
                || rate_limit.is_some()
                || path == Path::Indirect,
            "attempt",
            &[
                ("service", &self.request.service),
                ("endpoint", &attempt.endpoint.id),
                ("release", &attempt.endpoint.release),
                ("size", &self.size_index),
                ("expected_ms", &attempt.endpoint.expected_ms),
                ("limit", &limit),
                ("path", &path),
                ("runs", &self.possible_runs),
                ("rejected", &self.rejections),
                ("left_ms", &self.request.remaining(now).as_u64()),
                ("took_ms", &now.since(attempt.started_at).as_u64()),
                ("outcome", &outcome),
            ],
        );
    }
}
