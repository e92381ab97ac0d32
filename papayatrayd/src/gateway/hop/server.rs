//! The side of the entry that carries attempts of other entries to endpoints.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use event_listener::Event;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::CallerLimits;
use smol::Timer;
use smol::future::FutureExt;
use smol::future::yield_now;
use smol::stream;

use super::header;
use super::header::HopFailure;
use super::header::HopTarget;
use crate::gateway::body::read_body;
use crate::gateway::buffers::BufferSource;
use crate::gateway::connection_pool::EndpointResponse;
use crate::gateway::connection_pool::ExchangeError;
use crate::gateway::connection_pool::OutgoingRequest;
use crate::gateway::fleet::SelectedEndpoint;
use crate::gateway::relay::end_to_end;
use crate::gateway::server::Handler;
use crate::gateway::server::HandlerBody;
use crate::gateway::server::Limits;
use crate::gateway::server::ResponseFuture;
use crate::gateway::server::full_response;
use crate::gateway::state::Gateway;
use crate::gateway::state::InFlightGuard;
use crate::gateway::state::ShutdownStage;
use crate::observe::request_event;

/// Attempts of other entries that an entry carries at once; each takes some tens of kilobytes.
const MAX_CARRIED: usize = 256;
/// Bytes by which the head of an attempt may exceed that of the caller's request.
const ADDED_HEAD_BYTES: usize = 4 << 10;
/// Time after which a connection without a complete request head is closed; longer than other entries
/// keep it in their pools.
const IDLE_TIME: Millis = Millis::from_secs(10);

/// Handler that carries attempts of other entries to endpoints.
#[derive(Debug)]
pub struct HopServer {
    gateway: Arc<Gateway>,
    /// Attempts that are being carried.
    carried: Arc<AtomicUsize>,
}

/// Guard that counts one attempt as being carried.
#[derive(Debug)]
struct CarriedGuard {
    carried: Arc<AtomicUsize>,
    _in_flight: InFlightGuard,
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Response of an endpoint that is being passed on.
struct CarriedResponse {
    gateway: Arc<Gateway>,
    received: EndpointResponse,
    _guard: CarriedGuard,
}

impl HopServer {
    /// Creates a handler that knows the endpoints and connections of `gateway`.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            carried: Arc::default(),
        }
    }

    async fn carry(&self, request: Request<Incoming>) -> Result<Response<HandlerBody>, HopFailure> {
        let guard = self.start()?;
        let (mut head, body) = request.into_parts();
        let target = HopTarget::try_from(&head.headers);
        let target = target.map_err(|_invalid| HopFailure::Declined)?;
        if target.is_probe {
            return self.probe(&target).await;
        }
        header::remove_all(&mut head.headers);
        let metadata = self.gateway.dialect.request_metadata(&head);
        let id = metadata.map_err(|_invalid| HopFailure::Declined)?.id;
        let reservation = self.gateway.buffers.reservation(BufferSource::Entries);
        let body = read_body(body, self.plan_limits().body, reservation).await;
        let body = body.map_err(|_cut_off| HopFailure::Declined)?;
        let endpoint = self.find_endpoint(&target)?;
        let outgoing = OutgoingRequest {
            id,
            method: head.method,
            path: head.uri,
            headers: end_to_end(&head.headers),
            body,
            needs_new_connection: target.needs_new_connection,
            remaining: target.remaining,
        };
        let result = self.exchange(&endpoint, &outgoing).await;
        log_carried(&outgoing.id, &endpoint, &result);
        result.map(|received| {
            pass_on(CarriedResponse {
                gateway: Arc::clone(&self.gateway),
                received,
                _guard: guard,
            })
        })
    }

    fn start(&self) -> Result<CarriedGuard, HopFailure> {
        let before = self.carried.fetch_add(1, Ordering::Relaxed);
        let guard = CarriedGuard {
            carried: Arc::clone(&self.carried),
            _in_flight: self.gateway.track_request(),
        };
        let is_serving = self.gateway.shutdown_stage() != ShutdownStage::Closed;
        if is_serving && before < MAX_CARRIED {
            Ok(guard)
        } else {
            Err(HopFailure::Declined)
        }
    }

    /// Returns the endpoint, if this entry may send requests to it and is not cut off from it itself.
    fn find_endpoint(&self, target: &HopTarget) -> Result<SelectedEndpoint, HopFailure> {
        let now = self.gateway.clock.now();
        let endpoint = self
            .gateway
            .fleet()
            .find_direct(&target.endpoint, target.incarnation, now);
        endpoint.ok_or(HopFailure::Declined)
    }

    /// Returns an empty response if this entry can connect to the endpoint.
    async fn probe(&self, target: &HopTarget) -> Result<Response<HandlerBody>, HopFailure> {
        let endpoint = self.find_endpoint(target)?;
        match self.gateway.connect(&endpoint).await {
            Ok(_closed_again) => Ok(full_response(StatusCode::OK, "text/plain", "")),
            Err(ExchangeError::Unreachable(_)) => Err(HopFailure::Unreachable),
            Err(_) => Err(HopFailure::Declined),
        }
    }

    async fn exchange(
        &self,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
    ) -> Result<EndpointResponse, HopFailure> {
        let sent_at = self.gateway.clock.now();
        let exchange = async { Some(self.gateway.exchange_directly(endpoint, outgoing).await) };
        let timeout = async {
            Timer::after(outgoing.remaining.to_duration()).await;
            None
        };
        let EndpointResponse {
            response,
            connection,
            is_reusable,
        } = match exchange.or(timeout).await {
            Some(Ok(received)) => received,
            Some(Err(ExchangeError::Unreachable(_))) => return Err(HopFailure::Unreachable),
            Some(Err(ExchangeError::NotSent(_))) => return Err(HopFailure::NotSent),
            _ => return Err(HopFailure::Lost),
        };
        let (head, body) = response.into_parts();
        let metadata = self.gateway.dialect.response_metadata(&head);
        self.gateway
            .record_statements(endpoint, &metadata, &outgoing.id, sent_at);
        Ok(EndpointResponse {
            response: Response::from_parts(head, body),
            connection,
            is_reusable: is_reusable && !metadata.is_leaving,
        })
    }

    fn plan_limits(&self) -> CallerLimits {
        let table = self.gateway.route_table();
        table.map_or_else(CallerLimits::default, |table| table.limits())
    }
}

impl Handler for HopServer {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move {
            self.carry(request).await.unwrap_or_else(|failure| {
                let text = failure.to_string();
                let mut response = full_response(StatusCode::BAD_GATEWAY, "text/plain", text);
                failure.add_to(response.headers_mut());
                response
            })
        })
    }

    fn limits(&self) -> Limits {
        Limits {
            head: self.plan_limits().head + ADDED_HEAD_BYTES,
            idle: IDLE_TIME,
        }
    }

    fn is_closing(&self) -> bool {
        self.gateway.shutdown_stage() != ShutdownStage::Serving
    }

    fn close_event(&self) -> Option<Arc<Event>> {
        Some(Arc::clone(&self.gateway.close_event))
    }
}

/// Returns the response to pass on, whose body is read from the endpoint as the other entry takes it.
fn pass_on(carried: CarriedResponse) -> Response<HandlerBody> {
    let head = &carried.received.response;
    let (status, headers) = (head.status(), passed_headers(head.headers()));
    let frames = stream::unfold(Some(carried), |carried| async move {
        let mut carried = carried?;
        loop {
            match carried.received.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some((Ok(Frame::data(bytes)), Some(carried)));
                    }
                }
                Some(Err(error)) => {
                    // An error makes the server drop unwritten frames, so let it write them first.
                    yield_now().await;
                    let error: Box<dyn Error + Send + Sync> = error.into();
                    return Some((Err(error), None));
                }
                None => {
                    carried.finish();
                    return None;
                }
            }
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl CarriedResponse {
    /// Returns the connection to the pool; the body must have been read to its end.
    fn finish(self) {
        let EndpointResponse {
            response,
            connection,
            is_reusable,
        } = self.received;
        if is_reusable {
            let now = self.gateway.clock.now();
            self.gateway
                .connections
                .put(connection, response.headers(), now);
        }
    }
}

/// Returns the headers of an endpoint's response without those of one connection and those that only
/// entries may set.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end(headers);
    header::remove_all(&mut passed);
    passed
}

fn log_carried(
    id: &str,
    endpoint: &SelectedEndpoint,
    result: &Result<EndpointResponse, HopFailure>,
) {
    let outcome = match result {
        Ok(received) => received.response.status().as_str().to_owned(),
        Err(failure) => failure.to_string(),
    };
    request_event(
        id,
        result.is_err(),
        "attempt_carried",
        &[("endpoint", &endpoint.id), ("outcome", &outcome)],
    );
}
