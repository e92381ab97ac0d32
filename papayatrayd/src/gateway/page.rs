//! Pages for those who look after the system: metrics, and the last spans of a trace.

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
use super::server::whole;
use crate::observe::Traces;

/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Path under which the spans of a trace are.
const TRACES: &str = "/traces/";
/// Most bytes of a head.
const HEAD_BYTES: usize = 8 << 10;
/// Time for which a connection may stay without a whole head.
const IDLE: Millis = Millis::from_secs(30);

/// Serves metrics as text, and the spans of traces as JSON.
pub struct MetricsPage {
    render: Box<dyn Fn() -> String + Send + Sync>,
    traces: Option<Traces>,
}

impl MetricsPage {
    /// Creates the page over what renders it.
    pub fn new<F>(render: F) -> Self
    where
        F: Fn() -> String + Send + Sync + 'static,
    {
        Self {
            render: Box::new(render),
            traces: None,
        }
    }

    /// Adds the spans that the process remembers.
    #[must_use]
    pub fn with_traces(self, traces: Traces) -> Self {
        Self {
            traces: Some(traces),
            ..self
        }
    }

    fn answer(&self, path: &str) -> Response<HandlerBody> {
        if path == METRICS {
            return whole(StatusCode::OK, "text/plain; version=0.0.4", (self.render)());
        }
        let traces = self.traces.as_ref();
        let spans = traces.and_then(|traces| Some(traces.find(path.strip_prefix(TRACES)?)));
        match spans.map(|spans| serde_json::to_string(&spans)) {
            Some(Ok(spans)) => whole(StatusCode::OK, "application/json", spans),
            Some(Err(error)) => whole(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                error.to_string(),
            ),
            None => whole(StatusCode::NOT_FOUND, "text/plain", "no such page"),
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
        Box::pin(async move { self.answer(request.uri().path()) })
    }

    fn limits(&self) -> Limits {
        Limits {
            head: HEAD_BYTES,
            idle: IDLE,
        }
    }
}
