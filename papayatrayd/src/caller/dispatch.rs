//! One request on its way to an endpoint: choice, trial, sending, and what to do when it fails.

use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::pool::EndpointCriteria;
use papayatray_core::pool::Member;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;
use smol::Timer;

use super::ask::Ask;
use super::claim::Claim;
use super::claim::unknown;
use super::trial::Leave;
use super::trial::Trial;
use super::trial::life;
use super::trial::report_crash;
use crate::engine::ConnectionPool;
use crate::engine::EndpointRequest;
use crate::engine::SendError;
use crate::engine::Sent;
use crate::engine::send;
use crate::entry::SharedPool;
use crate::http::Refused;
use crate::observe::Level;
use crate::observe::event;

/// Endpoints that are tried for one request.
const TRIES: usize = 4;
/// Time between two wishes to try a suspect.
const TRIAL_PAUSE: Millis = Millis::new(100);
/// Longest wait of a suspect for its trial.
const TRIAL_WAIT: Millis = Millis::from_secs(3);
/// Time after which a caller may come back where no endpoint is at hand.
const EMPTY_RETRY: Millis = Millis::new(1_000);
/// Statuses with which an endpoint says that it did not run a request.
const BUSY: [u16; 2] = [429, 503];
/// Lowest status with which an endpoint says that it failed.
const FAILED: u16 = 500;

/// Request that an endpoint has begun to answer.
#[derive(Debug)]
pub(super) struct Dispatched {
    pub(super) sent: Sent,
    pub(super) aboard: Aboard,
}

/// Count of a request on an endpoint, until dropped.
#[derive(Debug)]
pub(super) struct Aboard {
    slot: Arc<SharedPool>,
    pub(super) member: Member,
    pub(super) attempt: u64,
    pub(super) trial: Option<Box<Trial>>,
    pub(super) begun: Millis,
    entry: Arc<crate::entry::Entry>,
}

impl Aboard {
    fn new(ask: &Ask, slot: &Arc<SharedPool>, member: Member) -> Self {
        let attempt = ask.entry.next_id();
        ask.entry
            .in_flight
            .start_attempt(&life(&member), attempt, ask.fingerprint);
        Self {
            slot: Arc::clone(slot),
            member,
            attempt,
            trial: None,
            begun: ask.entry.clock.now(),
            entry: Arc::clone(&ask.entry),
        }
    }

    /// Notes that the endpoint began to answer.
    pub(super) fn answered(&self) {
        let now = self.entry.clock.now();
        let latency = now.since(self.begun);
        self.slot
            .with(|pool| pool.health.succeeded(&self.member.id, latency, now));
    }

    /// Notes that the endpoint failed.
    pub(super) fn failed(&self) {
        let now = self.entry.clock.now();
        self.slot
            .with(|pool| pool.health.failed(&self.member.id, now));
    }

    /// Notes that the endpoint cannot be reached.
    pub(super) fn lost(&self) {
        let now = self.entry.clock.now();
        self.entry.connections.forget(&self.member.address);
        self.slot
            .with(|pool| pool.health.lost(&self.member.id, now));
    }

    /// Notes that the request ran to its end.
    pub(super) fn clear_suspect(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.clear_suspect();
        }
    }
}

impl Drop for Aboard {
    fn drop(&mut self) {
        self.entry
            .in_flight
            .end_attempt(&life(&self.member), self.attempt);
        self.slot.with(|pool| pool.end(&self.member.id));
    }
}

/// What is sent, and where.
pub(super) struct Dispatch<'a> {
    pub(super) ask: &'a Ask,
    pub(super) slot: &'a Arc<SharedPool>,
    /// Request, without attempt and limit.
    pub(super) exchange: EndpointRequest,
    /// Digest of the prompt's beginning.
    pub(super) prefix: Option<u64>,
    /// Tells why the request may not be sent any more, if so.
    pub(super) may_send: &'a (dyn Fn() -> Result<(), Refused> + Send + Sync),
    /// Claim, where the request may run at most once.
    pub(super) claim: Option<&'a mut Claim>,
    /// Endpoints that were tried already.
    pub(super) avoid: Vec<EndpointId>,
    /// Whether any endpoint may have run the request.
    pub(super) perhaps_run: bool,
    /// Whether the version is in roll-out: it gets one try, and its failure is no retry's cost.
    pub(super) is_exposed: bool,
}

impl Dispatch<'_> {
    /// Sends the request until an endpoint begins to answer.
    pub(super) async fn run(&mut self) -> Result<Dispatched, Refused> {
        loop {
            if self.ask.left() == Millis::ZERO {
                return Err(self.refuse(ErrorCode::DeadlineExceeded, "the deadline has passed"));
            }
            let aboard = self.board().await?;
            if let Some(dispatched) = self.try_one(aboard).await? {
                return Ok(dispatched);
            }
            if self.avoid.len() >= TRIES {
                let message = "several endpoints could not answer";
                return Err(self
                    .refuse(ErrorCode::EndpointFailed, message)
                    .retry_after(EMPTY_RETRY));
            }
        }
    }

    fn refuse(&self, code: ErrorCode, message: &str) -> Refused {
        let refused = self.ask.refuse(code, message);
        if self.perhaps_run {
            refused.perhaps_run()
        } else {
            refused
        }
    }

    /// Picks an endpoint, on which a suspect waits for its trial.
    async fn board(&self) -> Result<Aboard, Refused> {
        let give_up = self.ask.entry.clock.now() + TRIAL_WAIT;
        let mut busy = Vec::new();
        loop {
            let avoid: Vec<EndpointId> = self.avoid.iter().chain(&busy).cloned().collect();
            let Some(mut aboard) = self.pick(&avoid) else {
                if busy.is_empty() {
                    let message = "no endpoint is at hand";
                    let refused = self.refuse(ErrorCode::NoCapacity, message);
                    return Err(refused.retry_after(EMPTY_RETRY));
                }
                busy.clear();
                Timer::after(TRIAL_PAUSE.to_duration()).await;
                continue;
            };
            match Trial::begin(self.ask, &aboard.member).await? {
                Leave::Clear => return Ok(aboard),
                Leave::OnTrial(trial) => {
                    aboard.trial = Some(trial);
                    return Ok(aboard);
                }
                Leave::Busy if self.ask.entry.clock.now() >= give_up => {
                    let message = "this request is being tried elsewhere";
                    let refused = self.refuse(ErrorCode::OnTrial, message);
                    return Err(refused.perhaps_run().retry_after(TRIAL_WAIT));
                }
                Leave::Busy => busy.push(aboard.member.id.clone()),
            }
        }
    }

    fn pick(&self, avoid: &[EndpointId]) -> Option<Aboard> {
        let entry = &self.ask.entry;
        let need = EndpointCriteria {
            near: &entry.data_centre,
            avoid,
            prefix: self.prefix,
            draw: rand::random(),
        };
        let member = self.slot.pick(&need)?;
        Some(Aboard::new(self.ask, self.slot, member))
    }

    /// Sends the request to one endpoint; nothing is returned where another may be tried.
    async fn try_one(&mut self, mut aboard: Aboard) -> Result<Option<Dispatched>, Refused> {
        let span = self.ask.span.child("endpoint.attempt");
        span.add("endpoint", || aboard.member.id.to_string());
        let mut exchange = self.exchange.clone();
        exchange.attempt = aboard.attempt;
        exchange.limit = exchange.limit.min(self.ask.left());
        exchange.fresh = self.claim.is_some();
        if let Some(parent) = span.traceparent() {
            exchange
                .headers
                .push((header::TRACEPARENT.to_owned(), parent));
        }
        if let Some(claim) = &mut self.claim {
            claim.sent();
        }
        let may_send = || (self.may_send)().is_ok();
        let entry = &self.ask.entry;
        let pass = entry.sends.enter(entry.view().seen.revision);
        let written = || pass.written(entry.clock.now());
        let connections = &entry.connections;
        let sent = send(connections, &aboard.member, &exchange, may_send, written).await;
        drop(pass);
        match sent {
            Ok(sent) => self.judge(aboard, sent),
            Err(SendError::Withdrawn) => {
                self.keep_claim_free();
                let why = (self.may_send)().err();
                let again =
                    || self.refuse(ErrorCode::NoLease, "the configuration changed just now");
                Err(why.unwrap_or_else(|| again().retry_after(Millis::ZERO)))
            }
            Err(SendError::NotSent(cause)) => {
                event(Level::Debug, "endpoint_not_reached", &[("error", &cause)]);
                self.keep_claim_free();
                aboard.lost();
                self.avoid.push(aboard.member.id.clone());
                Ok(None)
            }
            Err(SendError::Silent) => {
                aboard.failed();
                self.fail(&aboard)
            }
            Err(SendError::Lost(_)) => {
                self.look_for_crash(&mut aboard).await;
                self.fail(&aboard)
            }
        }
    }

    fn keep_claim_free(&mut self) {
        if let Some(claim) = &mut self.claim {
            claim.not_sent();
        }
    }

    fn judge(&mut self, aboard: Aboard, sent: Sent) -> Result<Option<Dispatched>, Refused> {
        let status = u16::from(sent.response.status());
        if BUSY.contains(&status) {
            // The endpoint says itself that it did not run the request.
            self.keep_claim_free();
            self.avoid.push(aboard.member.id.clone());
            return Ok(None);
        }
        if status >= FAILED && self.claim.is_none() {
            aboard.failed();
            return self.fail(&aboard);
        }
        Ok(Some(Dispatched { sent, aboard }))
    }

    /// Decides whether another endpoint may be tried after this one may have run the request.
    pub(super) fn fail<T>(&mut self, aboard: &Aboard) -> Result<Option<T>, Refused> {
        self.perhaps_run = true;
        self.avoid.push(aboard.member.id.clone());
        if self.claim.is_some() {
            return Err(unknown(self.ask));
        }
        if self.is_exposed || !self.ask.entry.budget().spend() {
            let message = "the endpoint failed, and retries are held back";
            let refused = self.refuse(ErrorCode::EndpointFailed, message);
            return Err(refused.retry_after(EMPTY_RETRY));
        }
        Ok(None)
    }

    /// Finds out whether a lost connection means that the endpoint crashed.
    pub(super) async fn look_for_crash(&self, aboard: &mut Aboard) {
        aboard.lost();
        if ConnectionPool::open(&aboard.member.address).await.is_ok() {
            return;
        }
        report_crash(self.ask, &aboard.member).await;
        if let Some(trial) = &mut aboard.trial {
            trial.reported();
        }
    }
}
