//! HTTP interfaces for operators and endpoints, and for callers that look for an entry.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::rollout::RolloutOrder;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;
use papayatray_wire::http::EvacuationsResponse;
use papayatray_wire::peer::Deregistration;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::body::read_body_within;
use super::buffers::BufferSource;
use super::operator::OperatorError;
use super::operator::OperatorService;
use super::server::Handler;
use super::server::HandlerBody;
use super::server::Limits;
use super::server::ResponseFuture;
use super::server::full_response;
use super::state::Gateway;

/// Size limit of a request body; several times the size of a plan with a thousand routes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Size limit of an endpoint's announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 << 10;
/// Time within which a request body must arrive.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);
/// Limits of each connection.
const LIMITS: Limits = Limits {
    head: 16 << 10,
    idle: Millis::from_secs(30),
};
/// Media type of all bodies.
const JSON: &str = "application/json";

/// Status and message of an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ApiError {
    status: StatusCode,
    message: String,
}

impl ApiError {
    fn new<M>(status: StatusCode, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl From<OperatorError> for ApiError {
    fn from(error: OperatorError) -> Self {
        Self::new(error.status(), error.to_string())
    }
}

/// Response to a request, or the error response to send in its place.
type ApiResult = Result<Response<HandlerBody>, ApiError>;

/// HTTP interface of a control replica: plan, roll-outs, evacuations, format levels, endpoints.
#[derive(Debug)]
pub struct OperatorApi {
    operator: Arc<OperatorService>,
}

impl OperatorApi {
    /// Creates the interface to an operator service.
    pub const fn new(operator: Arc<OperatorService>) -> Self {
        Self { operator }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<HandlerBody> {
        let (head, body) = request.into_parts();
        let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
        let (source, limit) = if path.get(1) == Some(&"endpoints") {
            (BufferSource::Announcements, MAX_ANNOUNCEMENT_BYTES)
        } else {
            (BufferSource::Operators, MAX_BODY_BYTES)
        };
        let reservation = self.operator.buffers.reservation(source);
        let body = match read_body_within(body, limit, reservation, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => return error_response(error.status(), &error.to_string()),
        };
        let result = match (&head.method, path.as_slice()) {
            (&Method::PUT, ["v1", "plan"]) => self.publish_plan(&body).await,
            (&Method::GET, ["v1", "plan"]) => self.read_plan().await,
            (&Method::PUT, ["v1", "rollouts"]) => self.begin_rollout(&body).await,
            (&Method::GET, ["v1", "rollouts", service]) => self.read_rollout(service).await,
            (&Method::GET, ["v1", "evacuations"]) => self.read_evacuations().await,
            (&Method::PUT, ["v1", "evacuations", name]) => self.begin_evacuation(name).await,
            (&Method::DELETE, ["v1", "evacuations", name]) => self.finish_evacuation(name).await,
            (&Method::GET, ["v1", "levels"]) => self.read_levels().await,
            (&Method::PUT, ["v1", "endpoints"]) => self.announce_endpoint(&body).await,
            (&Method::DELETE, ["v1", "endpoints", id]) => self.deregister_endpoint(id).await,
            _ => Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "no such method and path",
            )),
        };
        result.unwrap_or_else(|error| error_response(error.status, &error.message))
    }

    async fn publish_plan(&self, body: &Bytes) -> ApiResult {
        let plan: Plan = parse(body)?;
        let source = String::from_utf8_lossy(body).into_owned();
        let version = self.operator.publish(PublishedPlan { plan, source }).await;
        Ok(json_response(&json!({ "version": version? })))
    }

    async fn read_plan(&self) -> ApiResult {
        let source = self.operator.read_plan().await?;
        let source = source.ok_or_else(|| {
            ApiError::new(StatusCode::NOT_FOUND, "no plan has been published yet")
        })?;
        Ok(full_response(StatusCode::OK, JSON, source))
    }

    async fn begin_rollout(&self, body: &Bytes) -> ApiResult {
        let order: RolloutOrder = parse(body)?;
        self.operator.begin_rollout(order).await?;
        Ok(json_response(&json!({})))
    }

    async fn read_rollout(&self, name: &str) -> ApiResult {
        let not_found = || ApiError::new(StatusCode::NOT_FOUND, "no roll-out of this service");
        let service = ServiceId::new(name).map_err(|_invalid| not_found())?;
        let rollout = self.operator.read_rollout(&service).await?;
        Ok(json_response(&rollout.ok_or_else(not_found)?))
    }

    async fn begin_evacuation(&self, name: &str) -> ApiResult {
        self.operator.begin_evacuation(data_centre(name)?).await?;
        Ok(json_response(&json!({})))
    }

    async fn finish_evacuation(&self, name: &str) -> ApiResult {
        self.operator.finish_evacuation(data_centre(name)?).await?;
        Ok(json_response(&json!({})))
    }

    async fn read_evacuations(&self) -> ApiResult {
        let table = self.operator.read_evacuations().await?;
        Ok(json_response(&EvacuationsResponse::from(&table)))
    }

    async fn read_levels(&self) -> ApiResult {
        Ok(json_response(&self.operator.read_levels().await?))
    }

    async fn announce_endpoint(&self, body: &Bytes) -> ApiResult {
        let endpoint: Endpoint = parse(body)?;
        self.operator.announce(endpoint).await?;
        Ok(json_response(&json!({})))
    }

    async fn deregister_endpoint(&self, id: &str) -> ApiResult {
        let id = EndpointId::new(id);
        let id = id.map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error.to_string()))?;
        let deregistration = Deregistration {
            id,
            // Deregisters whichever incarnation the replicas know.
            incarnation: None,
        };
        self.operator.deregister(deregistration).await?;
        Ok(json_response(&json!({})))
    }
}

impl Handler for OperatorApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.respond(request).await })
    }

    fn limits(&self) -> Limits {
        LIMITS
    }
}

/// Status interface of an entry: list of entries, and readiness.
#[derive(Debug)]
pub struct StatusApi {
    gateway: Arc<Gateway>,
}

impl StatusApi {
    /// Creates the status interface of an entry.
    pub const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    /// Returns the response for a path; `hold_ms` tells callers how long they may cache the list of
    /// entries.
    fn respond(&self, path: &str) -> Response<HandlerBody> {
        match path {
            "/v1/entries" => {
                let entries = self.gateway.caller_entries();
                let addresses = entries.values().map(|info| &info.caller_address);
                let addresses: Vec<&String> = addresses.collect();
                let hold = self.gateway.bounds.hold.as_u64();
                json_response(&json!({ "addresses": addresses, "hold_ms": hold }))
            }
            "/v1/ready" if self.gateway.is_ready() => json_response(&json!({})),
            "/v1/ready" => error_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Handler for StatusApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.respond(request.uri().path()) })
    }

    fn limits(&self) -> Limits {
        LIMITS
    }
}

fn data_centre(name: &str) -> Result<DataCentre, ApiError> {
    let name = DataCentre::new(name);
    name.map_err(|error| ApiError::new(StatusCode::NOT_FOUND, error.to_string()))
}

fn parse<T>(body: &[u8]) -> Result<T, ApiError>
where
    T: DeserializeOwned,
{
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error.to_string()))
}

fn json_response<T>(body: &T) -> Response<HandlerBody>
where
    T: Serialize,
{
    match serde_json::to_string(body) {
        Ok(text) => full_response(StatusCode::OK, JSON, text),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<HandlerBody> {
    full_response(status, JSON, json!({ "error": message }).to_string())
}
