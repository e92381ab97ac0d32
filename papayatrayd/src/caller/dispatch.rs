//! Dispatch of a request: choice of an endpoint, isolation trial, sending, and retries.

use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::pool::EndpointCriteria;
use papayatray_core::pool::Member;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;
use smol::Timer;

use super::claim::Claim;
use super::claim::outcome_unknown_rejection;
use super::context::RequestContext;
use super::trial::IsolationTrial;
use super::trial::TrialOutcome;
use super::trial::incarnation_of;
use super::trial::report_crash;
use crate::engine::ConnectionPool;
use crate::engine::EndpointRequest;
use crate::engine::SendError;
use crate::engine::SentRequest;
use crate::engine::send;
use crate::entry::SharedPool;
use crate::http::Rejection;
use crate::observe::Level;
use crate::observe::event;

/// Maximum number of endpoints tried for one request.
const MAX_ENDPOINTS: usize = 4;
/// Interval at which a suspect (a request that may have crashed an endpoint) requests its isolation
/// trial again.
const TRIAL_RETRY_INTERVAL: Millis = Millis::new(100);
/// Longest time a suspect waits for its isolation trial.
const TRIAL_TIMEOUT: Millis = Millis::from_secs(3);
/// Value of `retry-after` where no endpoint is available or endpoints failed.
const NO_CAPACITY_RETRY_AFTER: Millis = Millis::new(1_000);
/// Value of `retry-after` where a part of the prompt is quarantined, as at the gateway.
const QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(60);
/// Statuses by which an endpoint states that it did not run the request.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];
/// Lowest status that counts as a failure of the endpoint.
const MIN_FAILURE_STATUS: u16 = 500;

/// Request whose response head has arrived, with the attempt that sent it.
#[derive(Debug)]
pub(super) struct DispatchedRequest {
    pub(super) sent: SentRequest,
    pub(super) attempt: Attempt,
}

/// Attempt of a request on one endpoint, counted there as in flight until dropped.
#[derive(Debug)]
pub(super) struct Attempt {
    pool: Arc<SharedPool>,
    pub(super) member: Member,
    pub(super) id: u64,
    pub(super) trial: Option<Box<IsolationTrial>>,
    pub(super) started_at: Millis,
    entry: Arc<crate::entry::Entry>,
}

impl Attempt {
    fn new(context: &RequestContext, pool: &Arc<SharedPool>, member: Member) -> Self {
        let id = context.entry.next_id();
        context
            .entry
            .in_flight
            .start_attempt(&incarnation_of(&member), id, context.fingerprint);
        Self {
            pool: Arc::clone(pool),
            member,
            id,
            trial: None,
            started_at: context.entry.clock.now(),
            entry: Arc::clone(&context.entry),
        }
    }

    /// Records in the endpoint's health that it responded, with the latency since the start.
    pub(super) fn record_success(&self) {
        let now = self.entry.clock.now();
        let latency = now.since(self.started_at);
        self.pool
            .with(|pool| pool.health.record_success(&self.member.id, latency, now));
    }

    /// Records in the endpoint's health that it failed.
    pub(super) fn record_failure(&self) {
        let now = self.entry.clock.now();
        self.pool
            .with(|pool| pool.health.record_failure(&self.member.id, now));
    }

    /// Records that the endpoint is unreachable and closes its idle connections.
    pub(super) fn record_unreachable(&self) {
        let now = self.entry.clock.now();
        self.entry.connections.discard(&self.member.address);
        self.pool
            .with(|pool| pool.health.record_unreachable(&self.member.id, now));
    }

    /// Clears the request of suspicion, as it completed without a crash.
    pub(super) fn clear_suspicion(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.clear();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.entry
            .in_flight
            .end_attempt(&incarnation_of(&self.member), self.id);
        self.pool.with(|pool| pool.end(&self.member.id));
    }
}

/// Request to send, with the pool of endpoints to choose from.
pub(super) struct Dispatch<'a> {
    pub(super) context: &'a RequestContext,
    pub(super) pool: &'a Arc<SharedPool>,
    /// Template of the request; each attempt sets its number, response time-out and trace header.
    pub(super) request: EndpointRequest,
    /// Digest of the prompt prefix; an endpoint that has it cached is preferred.
    pub(super) prefix: Option<u64>,
    /// Returns an error if the current configuration no longer allows sending the request.
    pub(super) may_send: &'a (dyn Fn() -> Result<(), Rejection> + Send + Sync),
    /// Claim of a request that may run at most once.
    pub(super) claim: Option<&'a mut Claim>,
    /// Endpoints to which the request is not sent again.
    pub(super) tried_endpoints: Vec<EndpointId>,
    /// Whether an endpoint may have run the request.
    pub(super) may_have_run: bool,
    /// Whether the version is in roll-out: then a failure is not retried on this version and does
    /// not draw on the retry budget.
    pub(super) is_exposed: bool,
}

impl Dispatch<'_> {
    /// Sends the request to one endpoint after another until a response head arrives.
    pub(super) async fn run(&mut self) -> Result<DispatchedRequest, Rejection> {
        loop {
            if self.context.time_left() == Millis::ZERO {
                return Err(self.reject(
                    ErrorCode::DeadlineExceeded,
                    "the deadline passed before an endpoint responded",
                ));
            }
            let attempt = self.choose_endpoint().await?;
            if let Some(dispatched) = self.try_endpoint(attempt).await? {
                return Ok(dispatched);
            }
            if self.tried_endpoints.len() >= MAX_ENDPOINTS {
                let message = "each endpoint tried for this request failed or refused it";
                return Err(self
                    .reject(ErrorCode::EndpointFailed, message)
                    .retry_after(NO_CAPACITY_RETRY_AFTER));
            }
        }
    }

    fn reject(&self, code: ErrorCode, message: &str) -> Rejection {
        let rejection = self.context.reject(code, message);
        if self.may_have_run {
            rejection.may_have_run()
        } else {
            rejection
        }
    }

    /// Chooses an endpoint; a suspect also waits here for its isolation trial.
    async fn choose_endpoint(&self) -> Result<Attempt, Rejection> {
        self.check_parts()?;
        let trial_deadline = self.context.entry.clock.now() + TRIAL_TIMEOUT;
        let mut busy_endpoints = Vec::new();
        loop {
            let avoid: Vec<EndpointId> = self
                .tried_endpoints
                .iter()
                .chain(&busy_endpoints)
                .cloned()
                .collect();
            let Some(mut attempt) = self.pick(&avoid) else {
                if busy_endpoints.is_empty() {
                    let message = "no further endpoint is available for this request";
                    let rejection = self.reject(ErrorCode::NoCapacity, message);
                    return Err(rejection.retry_after(NO_CAPACITY_RETRY_AFTER));
                }
                busy_endpoints.clear();
                Timer::after(TRIAL_RETRY_INTERVAL.to_duration()).await;
                continue;
            };
            match IsolationTrial::begin(self.context, &attempt.member).await? {
                TrialOutcome::NotSuspect => return Ok(attempt),
                TrialOutcome::Granted(trial) => {
                    attempt.trial = Some(trial);
                    return Ok(attempt);
                }
                TrialOutcome::Busy if self.context.entry.clock.now() >= trial_deadline => {
                    let message = "this request is a suspect and waits for its isolation trial";
                    let rejection = self.reject(ErrorCode::OnTrial, message);
                    return Err(rejection.may_have_run().retry_after(TRIAL_TIMEOUT));
                }
                TrialOutcome::Busy => busy_endpoints.push(attempt.member.id.clone()),
            }
        }
    }

    /// Returns a rejection if a part of the prompt crashes the endpoints that run it.
    fn check_parts(&self) -> Result<(), Rejection> {
        let entry = &self.context.entry;
        let now = entry.clock.now();
        let quarantined = entry.shared_parts().quarantined(&self.context.parts, now);
        let Some(part) = quarantined else {
            return Ok(());
        };
        entry.metrics.count("entry.part_refused");
        event(
            Level::Warn,
            "part_refused",
            &[("part", &format_args!("{part:x}"))],
        );
        let message = "a message of this request is quarantined because endpoints that ran other \
                       requests with it crashed";
        let rejection = self.reject(ErrorCode::PoisonRequest, message);
        Err(rejection.retry_after(QUARANTINE_RETRY_AFTER))
    }

    /// Picks an endpoint outside `avoid` and starts an attempt on it; `None` if there is no other.
    fn pick(&self, avoid: &[EndpointId]) -> Option<Attempt> {
        let entry = &self.context.entry;
        let criteria = EndpointCriteria {
            near: &entry.data_centre,
            avoid,
            prefix: self.prefix,
            draw: rand::random(),
        };
        let member = self.pool.pick(&criteria)?;
        Some(Attempt::new(self.context, self.pool, member))
    }

    /// Sends the request to one endpoint; returns `None` if another endpoint may be tried.
    async fn try_endpoint(
        &mut self,
        mut attempt: Attempt,
    ) -> Result<Option<DispatchedRequest>, Rejection> {
        let span = self.context.span.child("endpoint.attempt");
        span.add("endpoint", || attempt.member.id.to_string());
        let mut request = self.request.clone();
        request.attempt = attempt.id;
        request.response_timeout = request.response_timeout.min(self.context.time_left());
        request.needs_new_connection = self.claim.is_some();
        if let Some(parent) = span.traceparent() {
            request
                .headers
                .push((header::TRACEPARENT.to_owned(), parent));
        }
        if let Some(claim) = &mut self.claim {
            claim.mark_sent();
        }
        let may_send = || (self.may_send)().is_ok();
        let entry = &self.context.entry;
        let guard = entry.sends.begin(entry.view().part_versions.revision);
        let on_written = || guard.mark_written(entry.clock.now());
        let connections = &entry.connections;
        let sent = send(connections, &attempt.member, &request, may_send, on_written).await;
        drop(guard);
        match sent {
            Ok(sent) => self.classify(attempt, sent),
            Err(SendError::Cancelled) => {
                self.mark_claim_not_sent();
                let reason = (self.may_send)().err();
                let configuration_changed = || {
                    self.reject(
                        ErrorCode::NoLease,
                        "the configuration changed before the request was sent; send it again",
                    )
                };
                Err(reason.unwrap_or_else(|| configuration_changed().retry_after(Millis::ZERO)))
            }
            Err(SendError::NotSent(cause)) => {
                event(Level::Debug, "endpoint_not_reached", &[("error", &cause)]);
                self.mark_claim_not_sent();
                attempt.record_unreachable();
                self.tried_endpoints.push(attempt.member.id.clone());
                Ok(None)
            }
            Err(SendError::TimedOut) => {
                attempt.record_failure();
                self.check_retry(&attempt)
            }
            Err(SendError::ConnectionLost(_)) => {
                self.detect_crash(&mut attempt).await;
                self.check_retry(&attempt)
            }
        }
    }

    fn mark_claim_not_sent(&mut self) {
        if let Some(claim) = &mut self.claim {
            claim.mark_not_sent();
        }
    }

    /// Returns the response, `None` if another endpoint may be tried, or the rejection.
    fn classify(
        &mut self,
        attempt: Attempt,
        sent: SentRequest,
    ) -> Result<Option<DispatchedRequest>, Rejection> {
        let status = u16::from(sent.response.status());
        if NOT_RUN_STATUSES.contains(&status) {
            self.mark_claim_not_sent();
            self.tried_endpoints.push(attempt.member.id.clone());
            return Ok(None);
        }
        if status >= MIN_FAILURE_STATUS && self.claim.is_none() {
            attempt.record_failure();
            return self.check_retry(&attempt);
        }
        Ok(Some(DispatchedRequest { sent, attempt }))
    }

    /// Records a failed attempt that may have run; returns `Ok(None)` if a retry may follow.
    ///
    /// The result is never `Some`; `T` lets a caller return it as a result of its type.
    pub(super) fn check_retry<T>(&mut self, attempt: &Attempt) -> Result<Option<T>, Rejection> {
        self.may_have_run = true;
        self.tried_endpoints.push(attempt.member.id.clone());
        if self.claim.is_some() {
            return Err(outcome_unknown_rejection(self.context));
        }
        if self.is_exposed || !self.context.entry.budget().spend() {
            let message = "the endpoint failed; the retry budget or the roll-out forbids a retry";
            let rejection = self.reject(ErrorCode::EndpointFailed, message);
            return Err(rejection.retry_after(NO_CAPACITY_RETRY_AFTER));
        }
        Ok(None)
    }

    /// Reports a crash if the endpoint of an attempt accepts no new connection.
    ///
    /// Called after the attempt lost its connection.
    pub(super) async fn detect_crash(&self, attempt: &mut Attempt) {
        attempt.record_unreachable();
        if ConnectionPool::open(&attempt.member.address).await.is_ok() {
            return;
        }
        report_crash(self.context, &attempt.member, attempt.trial.as_mut()).await;
    }
}
