//! Checks and data common to all requests of callers: authentication, limits, deadline, trace.

use std::collections::BTreeSet;
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

use super::alternative_addresses;
use crate::entry::Entry;
use crate::entry::InFlightError;
use crate::entry::InFlightGuard;
use crate::entry::LeaderError;
use crate::entry::PermitRequest;
use crate::entry::ShutdownStage;
use crate::http::Rejection;
use crate::http::bearer_key;
use crate::http::hash_key;
use crate::http::header_value;
use crate::observe::Span;
use crate::observe::begin_trace;

/// Longest deadline that a caller may set, counted from when the whole request has been read.
const MAX_DEADLINE: Millis = Millis::from_secs(3_600);
/// Value of `retry-after` while the entry has no lease.
const NO_LEASE_RETRY_AFTER: Millis = Millis::new(500);
/// Value of `retry-after` for conditions that soon pass, such as a request that is still running.
pub(super) const DEFAULT_RETRY_AFTER: Millis = Millis::new(1_000);
/// Value of `retry-after` for an organisation at its limit of in-flight requests.
const IN_FLIGHT_RETRY_AFTER: Millis = Millis::new(500);
/// Value of [`header::EFFECT`] that marks a request that may run at most once.
const EFFECT_ONCE: &str = "once";
/// Value of [`header::JOB`] that marks a long job, which may wait behind short ones.
const JOB_LONG: &str = "long";

/// Authenticated request, counted as in flight until dropped.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) entry: Arc<Entry>,
    pub(super) class: Class,
    pub(super) key: RequestKey,
    /// Digest of the request, equal for each resend of it.
    pub(super) fingerprint: Fingerprint,
    /// Digests of the parts of the prompt that other requests may share; none of a service call.
    pub(super) parts: BTreeSet<u64>,
    pub(super) at_most_once: bool,
    /// Whether the job is long, so that it may wait behind short ones.
    pub(super) is_long: bool,
    pub(super) started_at: Millis,
    pub(super) deadline: Millis,
    pub(super) span: Span,
    /// Counts the request against its organisation's limit; a resend is rejected meanwhile.
    _in_flight: InFlightGuard,
}

/// Returns the organisation that the bearer key of a request belongs to.
pub(super) fn authenticate(entry: &Entry, request: &Request) -> Result<OrganisationId, Rejection> {
    let key = bearer_key(request).map(hash_key);
    let view = entry.view();
    let found = key.and_then(|key| view.keys.get(&key).cloned());
    let message =
        "no valid key of an organisation found; send the header Authorization: Bearer KEY";
    found.ok_or_else(|| {
        if entry.has_lease() {
            Rejection::new(ErrorCode::Unauthorized, message)
        } else {
            // The key may belong to a newer configuration, so it cannot be called invalid.
            no_lease_rejection(entry)
        }
    })
}

impl RequestContext {
    /// Authenticates a request, checks the limits that apply to it and registers it as in flight.
    ///
    /// The request runs at most once if `at_most_once` is set or its header asks for that.
    pub(super) fn new(
        entry: &Arc<Entry>,
        request: &Request,
        body: &[u8],
        at_most_once: bool,
    ) -> Result<Self, Rejection> {
        let organisation = authenticate(entry, request)?;
        check_accepting(entry)?;
        let now = entry.clock.now();
        let unique_number = entry.next_id();
        let id = request_id(entry, request, unique_number)?;
        let digest = request_digest(&organisation, request, body);
        let key = RequestKey {
            organisation,
            request: id,
        };
        let view = entry.view();
        let limit = view.catalogue.in_flight_limit(&key.organisation);
        let in_flight = entry
            .in_flight
            .begin(&key, limit)
            .map_err(|error| in_flight_rejection(error, &key))?;
        let class = view
            .catalogue
            .organisations
            .get(&key.organisation)
            .map(|o| o.class);
        let parent = header_value(request, header::TRACEPARENT);
        let span = begin_trace(
            "caller.request",
            parent,
            unique_number,
            entry.settings.traced,
        );
        span.add("request", || key.request.to_string());
        Ok(Self {
            entry: Arc::clone(entry),
            class: class.unwrap_or(Class::Trial),
            fingerprint: Fingerprint(digest),
            parts: BTreeSet::new(),
            at_most_once: at_most_once
                || header_value(request, header::EFFECT) == Some(EFFECT_ONCE),
            is_long: header_value(request, header::JOB) == Some(JOB_LONG),
            started_at: now,
            deadline: now + requested_timeout(entry, request)?,
            span,
            key,
            _in_flight: in_flight,
        })
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Millis {
        self.deadline.since(self.entry.clock.now())
    }

    /// Returns the arguments with which the request acquires a permit from a pool.
    pub(super) const fn permit_request(&self) -> PermitRequest {
        PermitRequest {
            class: self.class,
            is_long: self.is_long,
            deadline: self.deadline,
        }
    }

    /// Returns a rejection that names the request.
    pub(super) fn reject<S>(&self, code: ErrorCode, message: S) -> Rejection
    where
        S: Into<String>,
    {
        Rejection::new(code, message).for_request(self.key.request.as_str())
    }

    /// Returns the rejection sent instead of a response whose bill is not durable yet.
    pub(super) fn bill_pending_rejection(&self, error: &LeaderError) -> Rejection {
        let message =
            format!("the bill of this request is not durable yet: {error}; send the request again");
        let rejection = self.reject(ErrorCode::BillPending, message);
        rejection.may_have_run().retry_after(DEFAULT_RETRY_AFTER)
    }

    /// Returns the value of [`header::PRIORITY`] for endpoints.
    pub(super) const fn priority(&self) -> &'static str {
        match self.class {
            Class::Paying => "high",
            Class::Trial => "low",
        }
    }
}

/// Rejects new requests while the entry shuts down or has no lease.
fn check_accepting(entry: &Entry) -> Result<(), Rejection> {
    if entry.shutdown_stage() == ShutdownStage::Closed {
        let rejection = Rejection::new(
            ErrorCode::Draining,
            "this VM is shutting down; use another address",
        );
        return Err(rejection
            .retry_after(Millis::ZERO)
            .with_alternatives(alternative_addresses(entry))
            .close_connection());
    }
    if !entry.has_lease() {
        return Err(no_lease_rejection(entry));
    }
    Ok(())
}

/// Returns the rejection of an entry without a lease, whose configuration may be stale.
pub(super) fn no_lease_rejection(entry: &Entry) -> Rejection {
    let message =
        "this VM has no lease, so its configuration may be stale; retry or use another address";
    let rejection = Rejection::new(ErrorCode::NoLease, message);
    rejection
        .retry_after(NO_LEASE_RETRY_AFTER)
        .with_alternatives(alternative_addresses(entry))
}

fn in_flight_rejection(error: InFlightError, key: &RequestKey) -> Rejection {
    let rejection = match error {
        InFlightError::DuplicateRequest => {
            let rejection = Rejection::new(ErrorCode::InProgress, error.to_string());
            rejection.may_have_run().retry_after(DEFAULT_RETRY_AFTER)
        }
        InFlightError::LimitReached => {
            let rejection = Rejection::new(ErrorCode::TooManyInFlight, error.to_string());
            rejection.retry_after(IN_FLIGHT_RETRY_AFTER)
        }
    };
    rejection.for_request(key.request.as_str())
}

fn request_id(
    entry: &Entry,
    request: &Request,
    unique_number: u64,
) -> Result<RequestId, Rejection> {
    let id = match header_value(request, header::REQUEST_ID) {
        Some(text) => RequestId::new(text),
        None => RequestId::new(format!(
            "{:x}-{unique_number:x}",
            entry.clock.wall().as_u64()
        )),
    };
    let message = |error| format!("header {}: {error}", header::REQUEST_ID);
    id.map_err(|error| Rejection::new(ErrorCode::BadRequest, message(error)))
}

/// Returns a digest of organisation, method, path, query and body, which a resend repeats.
fn request_digest(organisation: &OrganisationId, request: &Request, body: &[u8]) -> u128 {
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

/// Returns the time within which the caller wants a response, by default that of the settings.
fn requested_timeout(entry: &Entry, request: &Request) -> Result<Millis, Rejection> {
    let Some(text) = header_value(request, header::DEADLINE) else {
        return Ok(entry.settings.deadline.0);
    };
    let timeout = text
        .parse()
        .ok()
        .map(Millis::new)
        .filter(|timeout| (Millis::new(1)..=MAX_DEADLINE).contains(timeout));
    let message = || {
        format!(
            "header {}: expected milliseconds from 1 to {}",
            header::DEADLINE,
            MAX_DEADLINE.as_u64()
        )
    };
    timeout.ok_or_else(|| Rejection::new(ErrorCode::BadRequest, message()))
}
