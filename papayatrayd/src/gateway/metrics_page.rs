//! HTTP pages for operators: metrics, and the recent spans of a trace.

use std::fmt;
use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use papayatray_core::clock::Millis;

use super::server::Handler;
use super::server::HandlerBody;
use super::server::Limits;
use super::server::ResponseFuture;
use super::server::full_response;
use crate::observe::Traces;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path prefix of the page with the spans of a trace; the trace id follows.
const TRACES_PREFIX: &str = "/traces/";
/// Size limit of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Time after which a connection without a complete request head is closed.
const IDLE_TIMEOUT: Millis = Millis::from_secs(30);

/// Serves metrics as text, and the spans of traces as JSON.
pub struct MetricsPage {
    render: Box<dyn Fn() -> String + Send + Sync>,
    traces: Option<Traces>,
}

impl MetricsPage {
    /// Creates a page without traces; `render` returns the metrics as text.
    pub fn new<F>(render: F) -> Self
    where
        F: Fn() -> String + Send + Sync + 'static,
    {
        Self {
            render: Box::new(render),
            traces: None,
        }
    }

    /// Adds the page with the spans of a trace.
    #[must_use]
    pub fn with_traces(self, traces: Traces) -> Self {
        Self {
            traces: Some(traces),
            ..self
        }
    }

    fn respond(&self, path: &str) -> Response<HandlerBody> {
        if path == METRICS_PATH {
            return full_response(StatusCode::OK, "text/plain; version=0.0.4", (self.render)());
        }
        let traces = self.traces.as_ref();
        let spans = traces.and_then(|traces| Some(traces.find(path.strip_prefix(TRACES_PREFIX)?)));
        match spans.map(|spans| serde_json::to_string(&spans)) {
            Some(Ok(spans)) => full_response(StatusCode::OK, "application/json", spans),
            Some(Err(error)) => full_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                error.to_string(),
            ),
            None => full_response(StatusCode::NOT_FOUND, "text/plain", "no such page"),
        }
    }
}

impl fmt::Debug for MetricsPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricsPage").finish_non_exhaustive()
    }
}

impl Handler for MetricsPage {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseFuture<'static> {
        Box::pin(async move { self.respond(request.uri().path()) })
    }

    fn limits(&self) -> Limits {
        Limits {
            head: MAX_HEAD_BYTES,
            idle: IDLE_TIMEOUT,
        }
    }
}
