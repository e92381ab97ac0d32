//! The gateway's own interface for operators, endpoints, and callers who ask which entry to use.

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
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::Deregistration;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::operate::OperatorError;
use super::operate::OperatorService;
use super::server::Handler;
use super::server::HandlerBody;
use super::server::Limits;
use super::server::ResponseFuture;
use super::server::read_body;
use super::server::whole;
use super::state::Gateway;

/// Most bytes of a body; several times a plan of a thousand routes.
const BODY_BYTES: usize = 8 << 20;
/// Limits of a connection.
const LIMITS: Limits = Limits {
    head: 16 << 10,
    idle: Millis::from_secs(30),
};
/// Media type of all bodies.
const JSON: &str = "application/json";

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fault {
    status: StatusCode,
    message: String,
}

impl Fault {
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

impl From<OperatorError> for Fault {
    fn from(error: OperatorError) -> Self {
        Self::new(error.status(), error.to_string())
    }
}

/// Answer to a call.
type Answered = Result<Response<HandlerBody>, Fault>;

/// Interface of a control replica: plan, roll-outs, endpoints.
#[derive(Debug)]
pub struct OperatorApi {
    operator: Arc<OperatorService>,
}

impl OperatorApi {
    /// Creates the interface over what takes orders.
    pub const fn new(operator: Arc<OperatorService>) -> Self {
        Self { operator }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<HandlerBody> {
        let (head, body) = request.into_parts();
        let body = match read_body(body, BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return fail(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
        let answer = match (&head.method, path.as_slice()) {
            (&Method::PUT, ["v1", "plan"]) => self.publish(&body).await,
            (&Method::GET, ["v1", "plan"]) => self.read_plan().await,
            (&Method::PUT, ["v1", "rollouts"]) => self.begin(&body).await,
            (&Method::GET, ["v1", "rollouts", service]) => self.rollout(service).await,
            (&Method::PUT, ["v1", "endpoints"]) => self.announce(&body).await,
            (&Method::DELETE, ["v1", "endpoints", id]) => self.depart(id).await,
            _ => Err(Fault::new(StatusCode::NOT_FOUND, "no such address")),
        };
        answer.unwrap_or_else(|fault| fail(fault.status, &fault.message))
    }

    async fn publish(&self, body: &Bytes) -> Answered {
        let plan: Plan = parse(body)?;
        let source = String::from_utf8_lossy(body).into_owned();
        let version = self.operator.publish(PublishedPlan { plan, source }).await;
        Ok(done(&json!({ "version": version? })))
    }

    async fn read_plan(&self) -> Answered {
        let source = self.operator.read_plan().await?;
        let source = source.ok_or_else(|| Fault::new(StatusCode::NOT_FOUND, "no plan yet"))?;
        Ok(whole(StatusCode::OK, JSON, source))
    }

    async fn begin(&self, body: &Bytes) -> Answered {
        let order: RolloutOrder = parse(body)?;
        self.operator.begin_rollout(order).await?;
        Ok(done(&json!({})))
    }

    async fn rollout(&self, name: &str) -> Answered {
        let unknown = || Fault::new(StatusCode::NOT_FOUND, "no roll-out of this service");
        let service = ServiceId::new(name).map_err(|_no_name| unknown())?;
        let rollout = self.operator.read_rollout(&service).await?;
        Ok(done(&rollout.ok_or_else(unknown)?))
    }

    async fn announce(&self, body: &Bytes) -> Answered {
        let endpoint: Endpoint = parse(body)?;
        self.operator.announce(endpoint).await?;
        Ok(done(&json!({})))
    }

    async fn depart(&self, id: &str) -> Answered {
        let id = EndpointId::new(id);
        let id = id.map_err(|error| Fault::new(StatusCode::BAD_REQUEST, error.to_string()))?;
        let departure = Deregistration {
            id,
            incarnation: None,
        };
        self.operator.depart(departure).await?;
        Ok(done(&json!({})))
    }
}

impl Handler for OperatorApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.answer(request).await })
    }

    fn limits(&self) -> Limits {
        LIMITS
    }
}

/// Interface of an entry beside callers' requests: entries to use, and readiness.
#[derive(Debug)]
pub struct StatusApi {
    gateway: Arc<Gateway>,
}

impl StatusApi {
    /// Creates the interface over what an entry knows.
    pub const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    fn answer(&self, path: &str) -> Response<HandlerBody> {
        match path {
            "/v1/entries" => {
                let entries = self.gateway.entries();
                let addresses = entries.values().map(|info| &info.caller_address);
                let addresses: Vec<&String> = addresses.collect();
                let hold = self.gateway.bounds.hold.as_u64();
                done(&json!({ "addresses": addresses, "hold_ms": hold }))
            }
            "/v1/ready" if self.gateway.is_ready() => done(&json!({})),
            "/v1/ready" => fail(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            _ => fail(StatusCode::NOT_FOUND, "no such address"),
        }
    }
}

impl Handler for StatusApi {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.answer(request.uri().path()) })
    }

    fn limits(&self) -> Limits {
        LIMITS
    }
}

fn parse<T>(body: &[u8]) -> Result<T, Fault>
where
    T: DeserializeOwned,
{
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| Fault::new(StatusCode::BAD_REQUEST, error.to_string()))
}

fn done<T>(body: &T) -> Response<HandlerBody>
where
    T: Serialize,
{
    match serde_json::to_string(body) {
        Ok(text) => whole(StatusCode::OK, JSON, text),
        Err(error) => fail(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn fail(status: StatusCode, message: &str) -> Response<HandlerBody> {
    whole(status, JSON, json!({ "error": message }).to_string())
}
