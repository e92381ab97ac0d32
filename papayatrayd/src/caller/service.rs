//! Calls of plain services, which serve no model; path, query and body are forwarded unchanged.

use std::sync::Arc;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::catalogue::Service;
use papayatray_core::clock::Millis;
use papayatray_core::id::ServiceId;
use papayatray_core::ledger::Bill;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use super::claim::Claim;
use super::claim::ClaimOutcome;
use super::claim::outcome_unknown_rejection;
use super::claim::replay;
use super::claim::stored_response;
use super::context::DEFAULT_RETRY_AFTER;
use super::context::RequestContext;
use super::context::authenticate;
use super::context::no_lease_rejection;
use super::dispatch::Dispatch;
use super::dispatch::DispatchedRequest;
use super::start::overload_rejection;
use crate::engine::EndpointRequest;
use crate::entry::Entry;
use crate::entry::PoolTarget;
use crate::http::Rejection;
use crate::http::header_value;
use crate::http::read_body;

/// Largest accepted response body of a service.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Headers of a call that are forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", "if-match"];
/// Media type of a response without a `content-type`.
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

/// Call of a plain service.
#[derive(Debug)]
struct ServiceCall {
    context: RequestContext,
    id: ServiceId,
    spec: Service,
    endpoint_request: EndpointRequest,
}

/// Complete response of a plain service.
#[derive(Debug)]
struct ServiceResponse {
    status: u16,
    media_type: String,
    body: Vec<u8>,
}

/// Handles a call of a plain service; `rest` is the service's name and the path below it.
pub(super) async fn handle(
    entry: &Arc<Entry>,
    mut request: Request,
    rest: &str,
) -> Result<Response, Rejection> {
    // Checked first, so that an unauthenticated caller cannot find out which services exist.
    authenticate(entry, &request)?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let id = ServiceId::new(name);
    let id = id.map_err(|error| Rejection::new(ErrorCode::BadRequest, error.to_string()))?;
    let Some(spec) = entry.view().catalogue.services.get(&id).cloned() else {
        return Err(Rejection::new(
            ErrorCode::NotFound,
            format!("no service {id} is declared in the catalogue"),
        ));
    };
    let body = read_body(&mut request, entry.settings.body.0).await?;
    let at_most_once = !spec.is_repeatable(request.method().as_ref());
    let context = RequestContext::new(entry, &request, &body, at_most_once)?;
    entry.budget().earn();
    let endpoint_request = endpoint_request(&context, &request, path, body);
    ServiceCall {
        context,
        id,
        spec,
        endpoint_request,
    }
    .run()
    .await
}

fn endpoint_request(
    context: &RequestContext,
    request: &Request,
    path: &str,
    body: Vec<u8>,
) -> EndpointRequest {
    let forwarded = FORWARDED_HEADERS.iter().filter_map(|name| {
        let value = header_value(request, name)?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    let mut headers: Vec<(String, String)> = forwarded.collect();
    headers.push((
        header::REQUEST_ID.to_owned(),
        context.key.request.to_string(),
    ));
    let query = request
        .url()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    EndpointRequest {
        method: request.method(),
        path: format!("/{path}{query}"),
        headers,
        body,
        attempt: 0,
        response_timeout: context.time_left(),
        needs_new_connection: false,
    }
}

impl ServiceCall {
    async fn run(self) -> Result<Response, Rejection> {
        let mut claim = None;
        if self.context.at_most_once {
            match Claim::acquire(&self.context).await? {
                ClaimOutcome::Acquired(acquired) => claim = Some(acquired),
                ClaimOutcome::Replayed(stored) => {
                    return replay(&self.context, stored);
                }
            }
        }
        let entry = &self.context.entry;
        let Some(pool) = entry.registry.pool(&PoolTarget::Service(self.id.clone())) else {
            let message = format!(
                "no endpoint of service {} is registered at this entry",
                self.id
            );
            return Err(self
                .context
                .reject(ErrorCode::NoCapacity, message)
                .retry_after(DEFAULT_RETRY_AFTER));
        };
        let acquired = pool.acquire(self.context.permit_request()).await;
        let _permit = acquired.map_err(|delay| overload_rejection(&self.context, delay))?;
        let may_send = || self.check_may_send();
        let mut dispatch = Dispatch {
            context: &self.context,
            pool: &pool,
            request: self.endpoint_request.clone(),
            prefix: None,
            may_send: &may_send,
            claim: claim.as_mut(),
            tried_endpoints: Vec::new(),
            may_have_run: false,
            is_exposed: false,
        };
        let service_response = loop {
            let mut dispatched = dispatch.run().await?;
            match self.read_response(&mut dispatched).await {
                Ok(service_response) => {
                    dispatched.attempt.record_success();
                    dispatched.attempt.clear_suspicion();
                    break service_response;
                }
                Err(rejection) if rejection.code() == ErrorCode::TooLarge => return Err(rejection),
                Err(_incomplete) => {
                    dispatch.detect_crash(&mut dispatched.attempt).await;
                    dispatch.check_retry::<()>(&dispatched.attempt)?;
                }
            }
        };
        self.record_bill(&service_response, claim.as_mut()).await?;
        Ok(self.respond(service_response))
    }

    fn check_may_send(&self) -> Result<(), Rejection> {
        if self.context.entry.has_lease() {
            return Ok(());
        }
        Err(no_lease_rejection(&self.context.entry).for_request(self.context.key.request.as_str()))
    }

    /// Reads the whole response; if it is cut short or late, the outcome of the call is unknown.
    async fn read_response(
        &self,
        dispatched: &mut DispatchedRequest,
    ) -> Result<ServiceResponse, Rejection> {
        let response = &mut dispatched.sent.response;
        let declared_length = response.len();
        let media_type = response
            .header("content-type")
            .map(|v| v.as_str().to_owned());
        let status = u16::from(response.status());
        let mut body = Vec::new();
        let limit = MAX_RESPONSE_BYTES as u64 + 1;
        let reading = async {
            let read = response
                .take_body()
                .take(limit)
                .read_to_end(&mut body)
                .await;
            read.is_ok()
        };
        let time_left = self.context.time_left().max(Millis::new(1)).to_duration();
        let timeout = async {
            Timer::after(time_left).await;
            false
        };
        let is_at_end = reading.or(timeout).await;
        if body.len() > MAX_RESPONSE_BYTES {
            let message = format!("the response of the service exceeds {MAX_RESPONSE_BYTES} bytes");
            return Err(self
                .context
                .reject(ErrorCode::TooLarge, message)
                .may_have_run());
        }
        if !is_at_end || declared_length.is_some_and(|length| length != body.len()) {
            return Err(outcome_unknown_rejection(&self.context));
        }
        Ok(ServiceResponse {
            status,
            media_type: media_type.unwrap_or_else(|| DEFAULT_MEDIA_TYPE.to_owned()),
            body,
        })
    }

    async fn record_bill(
        &self,
        service_response: &ServiceResponse,
        claim: Option<&mut Claim>,
    ) -> Result<(), Rejection> {
        let _span = self.context.span.child("bill");
        let bill = Bill {
            key: self.context.key.clone(),
            subject: self.id.to_string(),
            tokens_in: 0,
            tokens_out: 0,
            cost: u64::from(self.spec.price),
            entry: self.context.entry.vm.clone(),
        };
        let recorded = match claim {
            Some(claim) => {
                let stored = stored_response(
                    service_response.status,
                    &service_response.media_type,
                    &service_response.body,
                );
                claim.finish(stored, bill).await
            }
            None => self.context.entry.billing.commit_bill(bill).await,
        };
        recorded.map_err(|error| self.context.bill_pending_rejection(&error))
    }

    fn respond(&self, service_response: ServiceResponse) -> Response {
        let status =
            StatusCode::try_from(service_response.status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(service_response.body);
        response.insert_header("content-type", service_response.media_type.as_str());
        response.insert_header(header::REQUEST_ID, self.context.key.request.as_str());
        response
    }
}
