//! One attempt in flight at an endpoint, and the response that it started.

use std::sync::Arc;

use http::response;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::slowness::ResponseKind;

use super::connection_pool::EndpointConnection;
use super::dialect::ResponseMetadata;
use super::fleet::Prompt;
use super::fleet::SelectedEndpoint;
use super::routed_request::RoutedRequest;
use super::state::ANSWER_START;
use super::state::Gateway;
use super::state::LostAttempt;
use crate::observe::Span;

/// Response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub(super) struct StartedResponse {
    pub(super) attempt: InFlightAttempt,
    pub(super) metadata: ResponseMetadata,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: EndpointConnection,
    /// Whether the connection may return to the pool once the body has been read.
    pub(super) is_reusable: bool,
}

impl StartedResponse {
    /// Returns the connection to the pool; the body must have been read to its end.
    pub(super) fn return_connection(self) {
        if self.is_reusable {
            let now = self.attempt.gateway.clock.now();
            let connections = &self.attempt.gateway.connections;
            connections.put(self.connection, &self.head.headers, now);
        }
    }
}

/// Attempt in flight at an endpoint; it counts towards the endpoint's load until dropped.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) gateway: Arc<Gateway>,
    pub(super) endpoint: SelectedEndpoint,
    pub(super) started_at: Millis,
    /// Time at which the response head arrived.
    pub(super) answered_at: Option<Millis>,
    /// Time at which the first event of a stream arrived.
    pub(super) first_event_at: Option<Millis>,
    /// Whether the answer has been recorded as one on which the endpoint did not crash.
    is_answered: bool,
    prompt: Prompt,
    /// Prefill time still counted in the endpoint's backlog.
    prefill_ms: f64,
    pub(super) span: Span,
}

impl InFlightAttempt {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        endpoint: SelectedEndpoint,
        prompt: Prompt,
        span: Span,
    ) -> Self {
        let started_at = gateway.clock.now();
        let prefill_ms = gateway
            .fleet()
            .start_request(&endpoint, &prompt, started_at);
        span.add("endpoint", || endpoint.id.to_string());
        span.add("release", || endpoint.release.clone());
        Self {
            span,
            prompt,
            prefill_ms,
            started_at,
            answered_at: None,
            first_event_at: None,
            is_answered: false,
            gateway: Arc::clone(gateway),
            endpoint,
        }
    }

    /// Returns this attempt of `request` as one whose connection was lost just now.
    pub(super) fn lost(&self, request: &RoutedRequest) -> LostAttempt {
        LostAttempt {
            request: request.metadata.id.clone(),
            fingerprint: request.fingerprint,
            parts: request.shared_parts.clone(),
            endpoint: self.endpoint.clone(),
            sent_at: self.started_at,
            answered_at: self.answered_at,
            first_event_at: self.first_event_at,
            lost_at: self.gateway.clock.now(),
        }
    }

    /// Records that an event arrived at the time `now`; some time after the first one, the answer
    /// counts as one on which the endpoint did not crash.
    pub(super) fn record_event(&mut self, request: &RoutedRequest, now: Millis) {
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now.since(first_event_at) >= ANSWER_START {
            self.record_answered(request);
        }
    }

    /// Records that the endpoint answered without crashing.
    pub(super) fn record_answered(&mut self, request: &RoutedRequest) {
        if !std::mem::replace(&mut self.is_answered, true) {
            let began_at = self.first_event_at.unwrap_or(self.started_at);
            self.gateway.record_answer(request, began_at);
        }
    }

    /// Removes this attempt's prefill from the endpoint's backlog.
    pub(super) fn record_prefill_done(&mut self) {
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        self.gateway
            .fleet()
            .finish_prefill(&self.endpoint.id, prefill_ms);
    }

    /// Records a successful response, or the first event of a stream: in the release tally, the
    /// latency estimates and the endpoint's health.
    ///
    /// `objective` is the latency objective of the route.
    pub(super) fn record_success(&mut self, kind: ResponseKind, objective: Millis) {
        self.record_prefill_done();
        let now = self.gateway.clock.now();
        let latency = now.since(self.started_at);
        self.gateway
            .record_response(&self.endpoint, latency, kind, objective);
        let mut fleet = self.gateway.fleet();
        fleet.record_latency(&self.endpoint, &self.prompt, latency, now);
        let health = fleet.health(&self.endpoint.service);
        health.record_success(&self.endpoint.id, latency, now);
    }

    /// Records a failed response in the endpoint's health.
    pub(super) fn record_failure(&self) {
        let now = self.gateway.clock.now();
        let mut fleet = self.gateway.fleet();
        let health = fleet.health(&self.endpoint.service);
        health.record_failure(&self.endpoint.id, now);
    }

    /// Records that a connection did not take the request, and closes the pooled ones.
    pub(super) fn record_not_sent(&self) {
        let now = self.gateway.clock.now();
        self.gateway.connections.close_idle(&self.endpoint.id);
        let mut fleet = self.gateway.fleet();
        let health = fleet.health(&self.endpoint.service);
        health.record_unreachable(&self.endpoint.id, now);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.record_prefill_done();
        self.gateway.fleet().end_request(&self.endpoint.id);
    }
}
