//! Request of a caller with its route, organisation, service and deadline.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::header;
use http::request;
use papayatray_core::clock::Millis;
use papayatray_core::digest;
use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::table::RouteTable;
use papayatray_core::gateway::table::pick_target;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::ServiceId;

use super::buffers::BufferSource;
use super::dialect::RequestMetadata;
use super::dialect::RequestedModel;
use super::refusal::Refusal;
use super::state::Gateway;
use crate::observe::Span;
use crate::observe::begin_trace;

/// `Retry-After` while this entry cannot prove that its plan is the newest; after a restart, the
/// control replicas elect a leader within this time.
const STALE_RETRY_AFTER: Millis = Millis::new(900);
/// `Retry-After` of a quarantined request.
pub(super) const POISON_RETRY_AFTER: Millis = Millis::from_secs(60);
/// `Retry-After` of a request that the endpoints rejected, that exhausted the retry budget or for
/// whose body there is no memory.
pub(super) const BUSY_RETRY_AFTER: Millis = Millis::new(250);
/// `Retry-After` while no endpoint can take a request.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Millis = Millis::new(600);

/// Prompt parts of a request that are examined for crashes of endpoints; prompts have a few.
const MAX_SHARED_PARTS: usize = 16;

/// Header that carries the trace context between hops (W3C Trace Context).
pub(super) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Request of a caller that the plan maps to a service.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) service: ServiceId,
    /// Regions to which the request is confined.
    pub(super) homes: Homes,
    pub(super) method: http::Method,
    pub(super) path: http::Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Time at which the request arrived.
    pub(super) received_at: Millis,
    /// Time by which the request must be answered.
    pub(super) deadline: Millis,
    /// Whether the request was authorised by an API key, which may be revoked meanwhile.
    pub(super) has_key: bool,
    /// Whether requests before or after this one share its prefix, so that they form a session.
    pub(super) has_session: bool,
    /// Number from 0 to 1 that decides whether the request uses a release in roll-out; the same for
    /// all requests of a session.
    pub(super) session_draw: f64,
    /// Digest of path, organisation and body, identical for repeated sends of the same request.
    ///
    /// It is 0 until the body is set.
    pub(super) fingerprint: Fingerprint,
    /// Digests of the prompt parts that other requests may share, in order; of many, the last ones.
    pub(super) shared_parts: Vec<u64>,
    /// Span of the whole request.
    pub(super) span: Span,
}

impl RoutedRequest {
    /// Routes a request by its head and the plan in force.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request names no host, no route matches, the key is unknown, the
    /// model is not allowed, the route has no service, or the plan may be outdated.
    pub(super) fn new(
        gateway: &Gateway,
        table: &RouteTable,
        head: request::Parts,
        metadata: RequestMetadata,
        received_at: Millis,
    ) -> Result<Self, Refusal> {
        let host = host_of(&head).ok_or(Refusal::ClientError(
            StatusCode::BAD_REQUEST,
            "the request names no host",
        ))?;
        let Some(route) = table.find(host, head.uri.path()) else {
            return Err(plan_refusal(
                gateway,
                StatusCode::NOT_FOUND,
                "no route matches the host and path",
            ));
        };
        let route = Arc::clone(route);
        let has_key = table.needs_key(&route);
        let organisation = if has_key {
            Some(find_key_holder(gateway, table, &metadata)?)
        } else {
            None
        };
        check_model(&metadata, &route)?;
        let holder = organisation
            .as_ref()
            .and_then(|id| table.organisations().get(id));
        let own_homes = holder.map(|holder| &holder.homes);
        let homes = Homes::common(&route.homes, own_homes.unwrap_or(&BTreeSet::new()));
        let shared_digest = metadata.shared_prefix_digest();
        let affinity =
            shared_digest.unwrap_or_else(|| digest::short(&blake3::hash(metadata.id.as_bytes())));
        let Some(service) = pick_target(&route, hash_for_purpose(affinity, 1)).cloned() else {
            return Err(Refusal::NotRun(
                "the route has no service",
                NO_ENDPOINT_RETRY_AFTER,
            ));
        };
        let time_limit = metadata.deadline.unwrap_or(Millis::MAX).min(route.timeout);
        let span = begin_span(gateway, &head.headers);
        span.add("request", || metadata.id.clone());
        span.add("route", || route.prefix.clone());
        Ok(Self {
            span,
            service,
            homes,
            organisation,
            has_key,
            has_session: shared_digest.is_some(),
            session_draw: hash_for_purpose(affinity, 2) as f64 / u64::MAX as f64,
            method: head.method,
            path: origin_form(&head.uri),
            headers: head.headers,
            body: Bytes::new(),
            fingerprint: Fingerprint(0),
            received_at,
            deadline: received_at + time_limit,
            shared_parts: metadata.shared_parts(MAX_SHARED_PARTS),
            metadata,
            route,
        })
    }

    /// Returns whose share of the buffers the body takes up.
    pub(super) fn buffer_source(&self) -> BufferSource {
        self.organisation.clone().map_or_else(
            || BufferSource::PublicRoute(self.route.name.clone()),
            BufferSource::Organisation,
        )
    }

    /// Sets the body, and the fingerprint that depends on it.
    pub(super) fn set_body(&mut self, body: Bytes) {
        let mut hasher = blake3::Hasher::new();
        let organisation = self
            .organisation
            .as_ref()
            .map_or("", OrganisationId::as_str);
        for part in [
            self.path.to_string().as_bytes(),
            organisation.as_bytes(),
            &body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        self.fingerprint = Fingerprint(digest::long(&hasher.finalize()));
        self.body = body;
    }

    /// Returns the time until the deadline, or zero once it has passed.
    pub(super) const fn remaining(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Returns whether the gateway chooses the model.
    pub(super) fn chooses_model(&self) -> bool {
        self.metadata.model == RequestedModel::Any && !self.route.sizes.is_empty()
    }
}

/// Starts the span of a request, in the caller's trace if its headers name one.
fn begin_span(gateway: &Gateway, headers: &HeaderMap) -> Span {
    let parent = headers.get(TRACEPARENT);
    let parent = parent.and_then(|value| value.to_str().ok());
    begin_trace(
        "gateway.request",
        parent,
        rand::random(),
        gateway.traced_permille,
    )
}

fn host_of(head: &request::Parts) -> Option<&str> {
    let host_header = head.headers.get(header::HOST);
    let host = host_header.and_then(|value| value.to_str().ok());
    host.or_else(|| head.uri.host())
}

/// Returns the URI reduced to path and query, the origin form that endpoints expect.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    path.and_then(|path| path.parse().ok())
        .unwrap_or_else(|| uri.clone())
}

/// Returns the organisation that holds the caller's API key.
fn find_key_holder(
    gateway: &Gateway,
    table: &RouteTable,
    metadata: &RequestMetadata,
) -> Result<OrganisationId, Refusal> {
    if !gateway.has_fresh_evidence() {
        return Err(stale_plan_refusal());
    }
    let key = metadata.key.as_deref().unwrap_or_default();
    let holder = table.holder(key).cloned();
    holder.ok_or(Refusal::ClientError(
        StatusCode::UNAUTHORIZED,
        "unknown key",
    ))
}

/// Returns the refusal that follows from the plan, or a retryable one if the plan may be outdated.
fn plan_refusal(gateway: &Gateway, status: StatusCode, reason: &'static str) -> Refusal {
    if gateway.has_fresh_evidence() {
        Refusal::ClientError(status, reason)
    } else {
        stale_plan_refusal()
    }
}

/// Returns the refusal for the time while this entry cannot prove that its plan is the newest.
pub(super) const fn stale_plan_refusal() -> Refusal {
    Refusal::NotRun(
        "no recent evidence that the plan of this entry is the newest",
        STALE_RETRY_AFTER,
    )
}

/// Returns the refusal for the time while this entry knows of a newer plan that it does not have.
pub(super) const fn outdated_plan_refusal() -> Refusal {
    Refusal::NotRun(
        "the plan of this entry is outdated, and the newer one has not arrived",
        STALE_RETRY_AFTER,
    )
}

/// Rejects a request that names a model on a route whose models the gateway chooses.
fn check_model(metadata: &RequestMetadata, route: &Route) -> Result<(), Refusal> {
    match &metadata.model {
        RequestedModel::Named(_) if !route.sizes.is_empty() => Err(Refusal::ClientError(
            StatusCode::MISDIRECTED_REQUEST,
            "the gateway chooses the model of this route; the request must not name one",
        )),
        _ => Ok(()),
    }
}

/// Hashes a number; different `purpose`s give independent results: 1 chooses the service, 2 gives
/// `session_draw`.
fn hash_for_purpose(number: u64, purpose: u8) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[purpose]);
    hasher.update(&number.to_le_bytes());
    digest::short(&hasher.finalize())
}
