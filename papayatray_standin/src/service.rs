//! Stand-in for a plain service: an endpoint that serves HTTP requests without a model.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use smol::Timer;

use crate::server::Handler;
use crate::server::Server;

/// Header with the id of an attempt, which the service echoes.
const ATTEMPT_HEADER: &str = "papayatray-attempt";
/// Header with the idempotency key of a request.
const REQUEST_ID_HEADER: &str = "idempotency-key";

/// Part of a service that its connections share.
#[derive(Debug, Default)]
struct Inner {
    /// Number of runs of each request, by idempotency key.
    runs: Mutex<BTreeMap<String, u64>>,
    /// Time that each run takes.
    delay: Duration,
}

/// Stand-in for a plain service that counts the runs of each request.
#[derive(Debug)]
pub struct PlainService {
    inner: Arc<Inner>,
    server: Server,
}

impl PlainService {
    /// Starts a service on `address` that takes `delay` for each request.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            runs: Mutex::default(),
            delay,
        });
        let server = Server::start(address, Arc::clone(&inner)).await?;
        Ok(Self { inner, server })
    }

    /// Returns the address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Simulates a crash: the listener and all connections are closed at once.
    pub fn crash(&self) {
        self.server.stop();
    }

    /// Returns the number of runs of each request, by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.inner
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Handler for Inner {
    async fn respond(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let id = request
            .header(REQUEST_ID_HEADER)
            .map(|v| v.as_str().to_owned())
            .unwrap_or_default();
        let body = request.body_string().await?;
        let run = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            let count = runs.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        Timer::after(self.delay).await;
        let content = json!({
            "method": request.method().to_string(),
            "path": request.url().path(),
            "request": id,
            "run": run,
            "body": body,
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(content.to_string());
        response.insert_header("content-type", "application/json");
        if let Some(attempt) = request.header(ATTEMPT_HEADER) {
            let attempt = attempt.as_str().to_owned();
            response.insert_header(ATTEMPT_HEADER, attempt);
        }
        Ok(response)
    }
}
