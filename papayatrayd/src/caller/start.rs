//! Start of a chat: chooses a version, waits for admission, sends the request to an endpoint and
//! reads the first event.

use std::sync::Arc;

use http_types::Method;
use papayatray_core::catalogue::Version;
use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::id::VersionId;
use papayatray_core::router::Route;
use papayatray_core::router::RouteError;
use papayatray_core::router::RoutingInputs;
use papayatray_core::router::route;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;

use super::chat::Chat;
use super::claim::Claim;
use super::context::RequestContext;
use super::context::no_lease_rejection;
use super::dispatch::Attempt;
use super::dispatch::Dispatch;
use crate::engine::EndpointRequest;
use crate::engine::Event;
use crate::engine::EventSource;
use crate::engine::EventSourceError;
use crate::entry::Permit;
use crate::entry::PoolTarget;
use crate::entry::SharedPool;
use crate::http::Rejection;

/// Time within which an endpoint must send the head of its response to a chat.
const RESPONSE_TIMEOUT: Millis = Millis::from_secs(10);
/// Value of `retry-after` where no endpoint serves a suitable version.
const NO_CAPACITY_RETRY_AFTER: Millis = Millis::new(1_000);

/// Version whose pool admitted the request.
#[derive(Debug)]
struct AdmittedVersion {
    version: VersionId,
    pool: Arc<SharedPool>,
    permit: Permit,
}

/// Chat whose first event has arrived.
#[derive(Debug)]
pub(super) struct StartedChat<'a> {
    pub(super) version: VersionId,
    pub(super) spec: Version,
    pub(super) first_event: Event,
    pub(super) source: EventSource<'a>,
    pub(super) attempt: Attempt,
    pub(super) permit: Permit,
}

/// Earlier attempts of a request, all of which failed.
#[derive(Debug, Default)]
pub(super) struct FailedAttempts {
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) may_have_run: bool,
}

impl Chat {
    /// Returns the versions that may serve the chat, in the order to try them.
    fn route(&self) -> Result<Route, Rejection> {
        let entry = &self.context.entry;
        let view = entry.view();
        let quotas = entry.quotas();
        let inputs = RoutingInputs {
            catalogue: &view.catalogue,
            evidence: &view.evidence,
            quotas: &quotas,
            draw: rand::random(),
        };
        let is_served = |version: &VersionId| {
            entry
                .registry
                .is_served(&PoolTarget::Version(version.clone()))
        };
        let organisation = &self.context.key.organisation;
        let route_result = route(
            &inputs,
            organisation,
            &self.requested_version,
            &self.kind,
            is_served,
        );
        route_result.map_err(|error| route_rejection(&self.context, &error))
    }

    /// Returns the first version whose pool has a free slot.
    ///
    /// Where no pool has one, waits in the queue of the most preferred version.
    async fn admit(&self, route: &Route) -> Result<AdmittedVersion, Rejection> {
        let entry = &self.context.entry;
        let pools: Vec<(VersionId, Arc<SharedPool>)> = route
            .versions
            .iter()
            .filter_map(|version| {
                let pool = entry.registry.pool(&PoolTarget::Version(version.clone()))?;
                Some((version.clone(), pool))
            })
            .collect();
        for (version, pool) in &pools {
            if let Some(permit) = pool.try_acquire(self.context.permit_request()) {
                let pool = Arc::clone(pool);
                return Ok(AdmittedVersion {
                    version: version.clone(),
                    pool,
                    permit,
                });
            }
        }
        let Some((version, pool)) = pools.into_iter().next() else {
            return Err(route_rejection(&self.context, &RouteError::NoEndpoint));
        };
        let _span = self.context.span.child("admission");
        let acquired = pool.acquire(self.context.permit_request()).await;
        let permit = acquired.map_err(|delay| overload_rejection(&self.context, delay))?;
        Ok(AdmittedVersion {
            version,
            pool,
            permit,
        })
    }

    /// Checks that the current configuration still allows the version.
    ///
    /// Called right before the request is sent, as the configuration may have changed while the
    /// request waited for admission.
    fn check_may_send(&self, version: &VersionId) -> Result<(), Rejection> {
        let entry = &self.context.entry;
        if !entry.has_lease() {
            return Err(no_lease_rejection(entry).for_request(self.context.key.request.as_str()));
        }
        let view = entry.view();
        let organisation = &self.context.key.organisation;
        let is_allowed = if self.is_in_session {
            view.catalogue.may_continue(organisation, version)
        } else {
            view.catalogue.may_start(organisation, version)
        };
        if is_allowed {
            return Ok(());
        }
        if self.is_in_session {
            return Err(route_rejection(
                &self.context,
                &RouteError::Withdrawn(version.clone()),
            ));
        }
        let message = format!(
            "version {version} became unavailable before the request was sent; send it again"
        );
        Err(self
            .context
            .reject(ErrorCode::NoCapacity, message)
            .retry_after(Millis::ZERO))
    }

    /// Starts the chat and waits for its first event.
    ///
    /// Tries the route's next version if one has no capacity, or if one in roll-out fails.
    pub(super) async fn start(
        &self,
        claim: &mut Option<Claim>,
        failed: &mut FailedAttempts,
    ) -> Result<StartedChat<'_>, Rejection> {
        let mut route = self.route()?;
        loop {
            let Some(preferred) = route.versions.first().cloned() else {
                return Err(route_rejection(&self.context, &RouteError::NoEndpoint));
            };
            if route.uses_exposure && !self.context.entry.quotas().spend(&preferred) {
                route.remove(&preferred);
                continue;
            }
            let admitted = self.admit(&route).await?;
            let version = admitted.version.clone();
            let is_exposed = route.uses_exposure && version == preferred;
            let rejection = match self.start_on(admitted, is_exposed, claim, failed).await {
                Ok(started) => return Ok(started),
                Err(rejection) => rejection,
            };
            let lacks_capacity = rejection.code() == ErrorCode::NoCapacity;
            let failed_in_roll_out = rejection.code() == ErrorCode::EndpointFailed && is_exposed;
            route.remove(&version);
            if route.versions.is_empty() || !(lacks_capacity || failed_in_roll_out) {
                return Err(rejection);
            }
        }
    }

    /// Starts the chat on one version, with retries on its endpoints.
    ///
    /// `is_exposed` states that the version is in roll-out and the chat uses its exposure quota.
    async fn start_on(
        &self,
        admitted: AdmittedVersion,
        is_exposed: bool,
        claim: &mut Option<Claim>,
        failed: &mut FailedAttempts,
    ) -> Result<StartedChat<'_>, Rejection> {
        let AdmittedVersion {
            version,
            pool,
            permit,
        } = admitted;
        let entry = &self.context.entry;
        let view = entry.view();
        let Some(spec) = view.catalogue.versions.get(&version).cloned() else {
            return Err(route_rejection(
                &self.context,
                &RouteError::Withdrawn(version),
            ));
        };
        let may_send = || self.check_may_send(&version);
        let mut dispatch = Dispatch {
            context: &self.context,
            pool: &pool,
            request: self.endpoint_request(&version),
            prefix: self.prefix,
            may_send: &may_send,
            claim: claim.as_mut(),
            tried_endpoints: std::mem::take(&mut failed.endpoints),
            may_have_run: failed.may_have_run,
            is_exposed,
        };
        let started = loop {
            let mut dispatched = match dispatch.run().await {
                Ok(dispatched) => dispatched,
                Err(rejection) => {
                    if rejection.code() == ErrorCode::EndpointFailed {
                        entry.count_response(&version, false);
                    }
                    break Err(rejection);
                }
            };
            let status = u16::from(dispatched.sent.response.status());
            if status != 200 {
                entry.count_response(&version, status < 500);
                break Err(self.endpoint_rejection(status, &mut dispatched.sent).await);
            }
            let member = dispatched.attempt.member.clone();
            let progress_timeout = entry.settings.progress.0;
            let id = dispatched.attempt.id;
            let sent = dispatched.sent;
            let mut source =
                EventSource::new(&entry.connections, &member, id, progress_timeout, sent);
            let mut attempt = dispatched.attempt;
            match source.next().await {
                Ok(first_event) => {
                    attempt.record_success();
                    break Ok((first_event, source, attempt));
                }
                Err(error) => {
                    entry.count_response(&version, false);
                    if let Err(rejection) =
                        handle_stream_error(&mut dispatch, &mut attempt, &error).await
                    {
                        break Err(rejection);
                    }
                }
            }
        };
        failed.endpoints = std::mem::take(&mut dispatch.tried_endpoints);
        failed.may_have_run = dispatch.may_have_run;
        let (first_event, source, attempt) = started?;
        Ok(StartedChat {
            version,
            spec,
            first_event,
            source,
            attempt,
            permit,
        })
    }

    /// Records that the stream of a started chat broke; returns `Ok` if the chat may be restarted.
    ///
    /// A chat with a claim may run at most once, so it is never restarted.
    pub(super) async fn check_restart(
        &self,
        started: &mut StartedChat<'_>,
        error: &EventSourceError,
        failed: &mut FailedAttempts,
        has_claim: bool,
    ) -> Result<(), Rejection> {
        self.context.entry.count_response(&started.version, false);
        let target = PoolTarget::Version(started.version.clone());
        let Some(pool) = self.context.entry.registry.pool(&target) else {
            return Err(route_rejection(&self.context, &RouteError::NoEndpoint).may_have_run());
        };
        let mut dispatch = Dispatch {
            context: &self.context,
            pool: &pool,
            request: self.endpoint_request(&started.version),
            prefix: None,
            may_send: &|| Ok(()),
            claim: None,
            tried_endpoints: std::mem::take(&mut failed.endpoints),
            may_have_run: true,
            is_exposed: false,
        };
        let outcome = handle_stream_error(&mut dispatch, &mut started.attempt, error).await;
        failed.endpoints = std::mem::take(&mut dispatch.tried_endpoints);
        failed.may_have_run = true;
        if has_claim {
            return Err(super::claim::outcome_unknown_rejection(&self.context));
        }
        outcome
    }

    fn endpoint_request(&self, version: &VersionId) -> EndpointRequest {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), version.to_string().into());
        body.insert("stream".to_owned(), true.into());
        EndpointRequest {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                (
                    header::PRIORITY.to_owned(),
                    self.context.priority().to_owned(),
                ),
                (
                    header::DEADLINE.to_owned(),
                    self.context.time_left().as_u64().to_string(),
                ),
            ],
            // Cannot fail: the map was parsed from JSON.
            body: serde_json::to_vec(&body).unwrap_or_default(),
            attempt: 0,
            response_timeout: RESPONSE_TIMEOUT,
            needs_new_connection: false,
        }
    }

    /// Returns the rejection for an endpoint's response with an error status.
    async fn endpoint_rejection(
        &self,
        status: u16,
        sent: &mut crate::engine::SentRequest,
    ) -> Rejection {
        let text = sent.response.body_string().await.unwrap_or_default();
        let text: String = text.chars().take(500).collect();
        let message = format!("the endpoint responded with status {status}: {text}");
        if status < 500 {
            return self.context.reject(ErrorCode::BadRequest, message);
        }
        self.context
            .reject(ErrorCode::EndpointFailed, message)
            .may_have_run()
    }
}

/// Records in the endpoint's health why a stream broke; returns `Ok` if another endpoint may be
/// tried.
async fn handle_stream_error(
    dispatch: &mut Dispatch<'_>,
    attempt: &mut Attempt,
    error: &EventSourceError,
) -> Result<(), Rejection> {
    match error {
        EventSourceError::Unreachable(_) => dispatch.detect_crash(attempt).await,
        EventSourceError::UnknownStream => {
            // The endpoint is reachable but does not know the stream, so it crashed and restarted.
            attempt.record_unreachable();
            let trial = attempt.trial.as_mut();
            super::trial::report_crash(dispatch.context, &attempt.member, trial).await;
        }
        EventSourceError::Stalled | EventSourceError::Malformed => attempt.record_failure(),
    }
    dispatch.check_retry::<()>(attempt).map(drop)
}

fn route_rejection(context: &RequestContext, error: &RouteError) -> Rejection {
    let code = match error {
        RouteError::NotAllowed(_) => ErrorCode::NotAllowed,
        RouteError::Withdrawn(_) => ErrorCode::VersionWithdrawn,
        RouteError::NothingOffered | RouteError::NoEndpoint => ErrorCode::NoCapacity,
    };
    let rejection = context.reject(code, error.to_string());
    if code == ErrorCode::NoCapacity {
        return rejection.retry_after(NO_CAPACITY_RETRY_AFTER);
    }
    rejection
}

/// Returns the rejection of a request shed by admission control, to be retried after `delay`.
pub(super) fn overload_rejection(context: &RequestContext, delay: Millis) -> Rejection {
    let message = "the pool is overloaded and the request was shed; send it again later";
    context
        .reject(ErrorCode::Overloaded, message)
        .retry_after(delay)
}
