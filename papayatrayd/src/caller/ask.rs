//! What every request brings along, whatever it asks for.

use std::sync::Arc;

use http_types::Request;
use papayatray_core::catalogue::Class;
use papayatray_core::clock::Millis;
use papayatray_core::digest;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::RequestId;
use papayatray_core::id::RequestKey;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;

use super::addresses;
use crate::entry::Entry;
use crate::entry::InFlightError;
use crate::entry::InFlightGuard;
use crate::entry::LeaderError;
use crate::entry::PermitRequest;
use crate::entry::Stop;
use crate::http::Refused;
use crate::http::bearer;
use crate::http::hash_key;
use crate::http::header_of;
use crate::observe::Span;
use crate::observe::begin_trace;

/// Longest deadline that a caller may name.
const LONGEST: Millis = Millis::from_secs(3_600);
/// Time after which a caller whose entry has no lease may try it again.
const LEASE_RETRY: Millis = Millis::new(500);
/// Time after which a resend of a running request may be tried.
pub(super) const RUNNING_RETRY: Millis = Millis::new(1_000);
/// Time after which an organisation with too many requests may try again.
const CROWDED_RETRY: Millis = Millis::new(500);
/// Value of the header that marks a request that may run at most once.
const ONCE: &str = "once";
/// Value of the header that marks a job that may wait.
const LONG: &str = "long";

/// Request of a known organisation, free to fly.
#[derive(Debug)]
pub(super) struct Ask {
    pub(super) entry: Arc<Entry>,
    pub(super) class: Class,
    pub(super) key: RequestKey,
    pub(super) fingerprint: Fingerprint,
    pub(super) once: bool,
    pub(super) long: bool,
    pub(super) begun: Millis,
    pub(super) deadline: Millis,
    pub(super) span: Span,
    /// Keeps the same request from flying twice, and counts it.
    _flight: InFlightGuard,
}

/// Returns the organisation that sends a request.
pub(super) fn organisation(entry: &Entry, request: &Request) -> Result<OrganisationId, Refused> {
    let key = bearer(request).map(hash_key);
    let view = entry.view();
    let found = key.and_then(|key| view.keys.get(&key).cloned());
    let message = "a key of an organisation is needed: Authorization: Bearer KEY";
    found.ok_or_else(|| {
        if entry.has_lease() {
            Refused::new(ErrorCode::Unauthorized, message)
        } else {
            // Without a current configuration nobody can be told that a key is wrong.
            no_lease(entry)
        }
    })
}

impl Ask {
    /// Takes in a request with its body.
    pub(super) fn new(
        entry: &Arc<Entry>,
        request: &Request,
        body: &[u8],
        once: bool,
    ) -> Result<Self, Refused> {
        let organisation = organisation(entry, request)?;
        check_open(entry)?;
        let now = entry.clock.now();
        let draw = entry.next_id();
        let id = request_id(entry, request, draw)?;
        let digest = digest(&organisation, request, body);
        let key = RequestKey {
            organisation,
            request: id,
        };
        let view = entry.view();
        let limit = view.catalogue.in_flight_limit(&key.organisation);
        let flight = entry
            .in_flight
            .begin(&key, limit)
            .map_err(|error| crowded(error, &key))?;
        let class = view
            .catalogue
            .organisations
            .get(&key.organisation)
            .map(|o| o.class);
        let parent = header_of(request, header::TRACEPARENT);
        let span = begin_trace("caller.request", parent, draw, entry.settings.traced);
        span.add("request", || key.request.to_string());
        Ok(Self {
            entry: Arc::clone(entry),
            class: class.unwrap_or(Class::Trial),
            fingerprint: Fingerprint(digest),
            once: once || header_of(request, header::EFFECT) == Some(ONCE),
            long: header_of(request, header::JOB) == Some(LONG),
            begun: now,
            deadline: now + span_of(entry, request)?,
            span,
            key,
            _flight: flight,
        })
    }

    /// Returns the time that is left.
    pub(super) fn left(&self) -> Millis {
        self.deadline.since(self.entry.clock.now())
    }

    /// Returns the wish to run on a pool.
    pub(super) const fn wish(&self) -> PermitRequest {
        PermitRequest {
            class: self.class,
            long: self.long,
            deadline: self.deadline,
        }
    }

    /// Returns a refusal that names the request.
    pub(super) fn refuse<S>(&self, code: ErrorCode, message: S) -> Refused
    where
        S: Into<String>,
    {
        Refused::new(code, message).about(self.key.request.as_str())
    }

    /// Returns the refusal of an answer whose bill is not durable yet.
    pub(super) fn bill_pending(&self, error: &LeaderError) -> Refused {
        let message = format!("the bill is not durable yet: {error}; send the request again");
        let refused = self.refuse(ErrorCode::BillPending, message);
        refused.perhaps_run().retry_after(RUNNING_RETRY)
    }

    /// Returns the priority that endpoints are told.
    pub(super) const fn priority(&self) -> &'static str {
        match self.class {
            Class::Paying => "high",
            Class::Trial => "low",
        }
    }
}

/// Refuses a request that this entry may not take.
fn check_open(entry: &Entry) -> Result<(), Refused> {
    if entry.stop() == Stop::Closed {
        let refused = Refused::new(ErrorCode::Draining, "this VM is being stopped");
        return Err(refused
            .retry_after(Millis::ZERO)
            .elsewhere(addresses(entry))
            .closing());
    }
    if !entry.has_lease() {
        return Err(no_lease(entry));
    }
    Ok(())
}

/// Returns the refusal of an entry whose configuration may be out of date.
pub(super) fn no_lease(entry: &Entry) -> Refused {
    let message = "this VM cannot prove that its configuration is current";
    let refused = Refused::new(ErrorCode::NoLease, message);
    refused.retry_after(LEASE_RETRY).elsewhere(addresses(entry))
}

fn crowded(error: InFlightError, key: &RequestKey) -> Refused {
    let refused = match error {
        InFlightError::DuplicateRequest => {
            let refused = Refused::new(ErrorCode::InProgress, error.to_string());
            refused.perhaps_run().retry_after(RUNNING_RETRY)
        }
        InFlightError::LimitReached => {
            let refused = Refused::new(ErrorCode::TooManyInFlight, error.to_string());
            refused.retry_after(CROWDED_RETRY)
        }
    };
    refused.about(key.request.as_str())
}

fn request_id(entry: &Entry, request: &Request, draw: u64) -> Result<RequestId, Refused> {
    let id = match header_of(request, header::REQUEST_ID) {
        Some(text) => RequestId::new(text),
        None => RequestId::new(format!("{:x}-{draw:x}", entry.clock.wall().as_u64())),
    };
    let message = |error| format!("header {}: {error}", header::REQUEST_ID);
    id.map_err(|error| Refused::new(ErrorCode::BadRequest, message(error)))
}

/// Returns the digest that a resend of the same request has too.
fn digest(organisation: &OrganisationId, request: &Request, body: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(organisation.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(request.method().as_ref().as_bytes());
    hasher.update(b"\0");
    hasher.update(request.url().path().as_bytes());
    hasher.update(b"\0");
    hasher.update(request.url().query().unwrap_or_default().as_bytes());
    hasher.update(b"\0");
    hasher.update(body);
    digest::long(&hasher.finalize())
}

fn span_of(entry: &Entry, request: &Request) -> Result<Millis, Refused> {
    let Some(text) = header_of(request, header::DEADLINE) else {
        return Ok(entry.settings.deadline.0);
    };
    let span = text
        .parse()
        .ok()
        .map(Millis::new)
        .filter(|s| (Millis::new(1)..=LONGEST).contains(s));
    let message = || {
        format!(
            "header {}: wanted is 1 to {}",
            header::DEADLINE,
            LONGEST.as_u64()
        )
    };
    span.ok_or_else(|| Refused::new(ErrorCode::BadRequest, message()))
}
