//! Prometheus metrics of a gateway process, in the text exposition format.

use std::sync::Mutex;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::RouteKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::observe::unlogged_lines;

/// Upper ends of the histograms' buckets in seconds; objectives lie between 0.1 s and 4 s.
const BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Labels of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Label for the outcome of an attempt or decision.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Label for the kind of a route.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Values of the gauges, collected when the metrics are rendered.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// Requests in flight.
    pub in_flight: usize,
    /// Version of the plan in force, or 0 without one.
    pub plan: u64,
    /// Age of the evidence that the plan is the newest, in milliseconds; `u64::MAX` at an entry
    /// without evidence, and 0 at a control replica.
    pub evidence_age: u64,
    /// Endpoints that accept requests.
    pub endpoints: usize,
    /// Entries that are listed to callers.
    pub entries: usize,
    /// Requests and prompt parts with evidence that they crash endpoints.
    pub suspects: usize,
    /// Endpoints to which this entry's last connection failed.
    pub unreachable: usize,
    /// Endpoints that count as cold and whose requests are bounded.
    pub cold: usize,
    /// Whether this control replica holds the leader lease.
    pub is_leader: bool,
    /// Answers of other replicas that this control replica has ignored, as it has sent no message of its
    /// present leadership that they belong to.
    pub foreign_replies: u64,
    /// Format level in force; 0 at an entry.
    pub format_level: u16,
    /// Lowest format level that the processes read, as the leader knows; 0 at other processes.
    pub format_lowest: u16,
    /// Evacuated data centres.
    pub evacuated: usize,
    /// Bytes reserved for buffered bodies.
    pub buffered: usize,
}

/// Metrics of one gateway process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    response_times: Family<KindLabel, Histogram>,
    attempts: Family<OutcomeLabel, Counter>,
    events: Family<OutcomeLabel, Counter>,
    in_flight: Gauge,
    plan: Gauge,
    evidence_age: Gauge,
    endpoints: Gauge,
    entries: Gauge,
    suspects: Gauge,
    unreachable: Gauge,
    cold: Gauge,
    is_leader: Gauge,
    foreign_replies: Gauge,
    format_level: Gauge,
    format_lowest: Gauge,
    evacuated: Gauge,
    buffered: Gauge,
    dropped_lines: Gauge,
    suppressed_lines: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Mutex::new(Registry::with_prefix("papayatray")),
            requests: Family::default(),
            response_times: Family::new_with_constructor(|| Histogram::new(BUCKETS)),
            attempts: Family::default(),
            events: Family::default(),
            in_flight: Gauge::default(),
            plan: Gauge::default(),
            evidence_age: Gauge::default(),
            endpoints: Gauge::default(),
            entries: Gauge::default(),
            suspects: Gauge::default(),
            unreachable: Gauge::default(),
            cold: Gauge::default(),
            is_leader: Gauge::default(),
            foreign_replies: Gauge::default(),
            format_level: Gauge::default(),
            format_lowest: Gauge::default(),
            evacuated: Gauge::default(),
            buffered: Gauge::default(),
            dropped_lines: Gauge::default(),
            suppressed_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&mut self) {
        let registry = self
            .registry
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        let requests = self.requests.clone();
        registry.register(
            "requests",
            "Requests by kind of route and outcome",
            requests,
        );
        let response_times = self.response_times.clone();
        registry.register(
            "answer_seconds",
            "Time to the whole response, or to the first event of a stream",
            response_times,
        );
        let attempts = self.attempts.clone();
        registry.register("attempts", "Attempts at endpoints by outcome", attempts);
        let events = self.events.clone();
        registry.register("events", "Decisions on requests and orders", events);
        let gauges = [
            ("in_flight", "Requests in flight", &self.in_flight),
            ("plan_version", "Version of the plan in force", &self.plan),
            (
                "evidence_age_ms",
                "Age of the evidence that the plan is the newest",
                &self.evidence_age,
            ),
            (
                "endpoints",
                "Endpoints that accept requests",
                &self.endpoints,
            ),
            ("entries", "Entries listed to callers", &self.entries),
            (
                "suspects",
                "Requests and prompt parts with evidence that they crash endpoints",
                &self.suspects,
            ),
            (
                "endpoints_unreachable",
                "Endpoints to which this entry's last connection failed",
                &self.unreachable,
            ),
            (
                "endpoints_cold",
                "Endpoints that count as cold and whose requests are bounded",
                &self.cold,
            ),
            (
                "leads",
                "1 on the control replica that leads, else 0",
                &self.is_leader,
            ),
            (
                "foreign_replies",
                "Answers of other replicas that belong to no message of this one's leadership",
                &self.foreign_replies,
            ),
            (
                "format_level",
                "Format level in force, at a control replica",
                &self.format_level,
            ),
            (
                "format_lowest",
                "Lowest format level that the processes read, at the leader",
                &self.format_lowest,
            ),
            (
                "evacuated_data_centres",
                "Data centres whose endpoints get no new requests",
                &self.evacuated,
            ),
            (
                "buffered_bytes",
                "Memory reserved for buffered bodies",
                &self.buffered,
            ),
            (
                "log_lines_dropped",
                "Log lines dropped because the queue was full",
                &self.dropped_lines,
            ),
            (
                "log_lines_suppressed",
                "Log lines suppressed by the rate limit of their event",
                &self.suppressed_lines,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a finished request.
    pub(super) fn count_request(&self, kind: RouteKind, outcome: &'static str) {
        let labels = RequestLabels {
            kind: kind_name(kind),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to a whole response, or to a stream's first event.
    pub(super) fn observe_response(&self, kind: RouteKind, latency: Millis) {
        let label = KindLabel {
            kind: kind_name(kind),
        };
        let seconds = latency.as_u64() as f64 / 1_000.0;
        self.response_times.get_or_create(&label).observe(seconds);
    }

    /// Counts an attempt at an endpoint.
    pub(super) fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a heartbeat, or a decision on a request or on an operator's order.
    pub(super) fn count_event(&self, outcome: &'static str) {
        self.events.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Returns all metrics in the text exposition format, with the gauges set to `values`.
    pub fn render(&self, values: &GaugeValues) -> String {
        let (dropped, suppressed) = unlogged_lines();
        self.in_flight.set(to_gauge(values.in_flight as u64));
        self.plan.set(to_gauge(values.plan));
        self.evidence_age.set(to_gauge(values.evidence_age));
        self.endpoints.set(to_gauge(values.endpoints as u64));
        self.entries.set(to_gauge(values.entries as u64));
        self.suspects.set(to_gauge(values.suspects as u64));
        self.unreachable.set(to_gauge(values.unreachable as u64));
        self.cold.set(to_gauge(values.cold as u64));
        self.is_leader.set(i64::from(values.is_leader));
        self.foreign_replies.set(to_gauge(values.foreign_replies));
        self.format_level.set(i64::from(values.format_level));
        self.format_lowest.set(i64::from(values.format_lowest));
        self.evacuated.set(to_gauge(values.evacuated as u64));
        self.buffered.set(to_gauge(values.buffered as u64));
        self.dropped_lines.set(to_gauge(dropped));
        self.suppressed_lines.set(to_gauge(suppressed));
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        // Writing to a `String` cannot fail.
        let _written = text::encode(&mut page, &registry);
        page
    }
}

const fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { .. } => "stream",
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
