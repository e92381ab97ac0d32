//! Counters and latency histograms of the gateway, served as text.

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

use crate::observe::lines_left_out;

/// Upper ends of the histograms' buckets in seconds; objectives lie between 0.1 s and 4 s.
const BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Labels of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Label of what happened.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Label of a kind of route.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Values that are read off only when the metrics are asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Requests in flight.
    pub in_flight: usize,
    /// Version of the plan.
    pub plan: u64,
    /// Age of the evidence that the plan is the newest, in milliseconds.
    pub evidence_age: u64,
    /// Endpoints that take work.
    pub endpoints: usize,
    /// Entries that callers may be sent to.
    pub entries: usize,
    /// Whether this replica leads beyond doubt.
    pub leads: bool,
}

/// Metrics of one process.
#[derive(Debug)]
pub struct Meter {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    answers: Family<KindLabel, Histogram>,
    attempts: Family<OutcomeLabel, Counter>,
    events: Family<OutcomeLabel, Counter>,
    in_flight: Gauge,
    plan: Gauge,
    evidence: Gauge,
    endpoints: Gauge,
    entries: Gauge,
    leads: Gauge,
    dropped: Gauge,
    suppressed: Gauge,
}

impl Default for Meter {
    fn default() -> Self {
        let mut meter = Self {
            registry: Mutex::new(Registry::with_prefix("papayatray")),
            requests: Family::default(),
            answers: Family::new_with_constructor(|| Histogram::new(BUCKETS)),
            attempts: Family::default(),
            events: Family::default(),
            in_flight: Gauge::default(),
            plan: Gauge::default(),
            evidence: Gauge::default(),
            endpoints: Gauge::default(),
            entries: Gauge::default(),
            leads: Gauge::default(),
            dropped: Gauge::default(),
            suppressed: Gauge::default(),
        };
        meter.register();
        meter
    }
}

impl Meter {
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
        let answers = self.answers.clone();
        registry.register(
            "answer_seconds",
            "Time to the answer, or to a stream's first event",
            answers,
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
                "Age of the evidence for the plan",
                &self.evidence,
            ),
            ("endpoints", "Endpoints that take work", &self.endpoints),
            ("entries", "Entries that callers are sent to", &self.entries),
            ("leads", "1 on the replica that leads", &self.leads),
            (
                "log_lines_dropped",
                "Log lines that found the queue full",
                &self.dropped,
            ),
            (
                "log_lines_suppressed",
                "Log lines beyond the rate of their event",
                &self.suppressed,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a request that has ended.
    pub(super) fn request(&self, kind: RouteKind, outcome: &'static str) {
        let labels = RequestLabels {
            kind: kind_name(kind),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the time to an answer, or to a stream's first event.
    pub(super) fn answered(&self, kind: RouteKind, latency: Millis) {
        let label = KindLabel {
            kind: kind_name(kind),
        };
        let seconds = latency.as_u64() as f64 / 1_000.0;
        self.answers.get_or_create(&label).observe(seconds);
    }

    /// Counts an attempt at an endpoint.
    pub(super) fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a decision.
    pub(super) fn event(&self, outcome: &'static str) {
        self.events.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Returns all metrics as text.
    pub fn render(&self, snapshot: &Snapshot) -> String {
        let (dropped, suppressed) = lines_left_out();
        self.in_flight.set(whole(snapshot.in_flight as u64));
        self.plan.set(whole(snapshot.plan));
        self.evidence.set(whole(snapshot.evidence_age));
        self.endpoints.set(whole(snapshot.endpoints as u64));
        self.entries.set(whole(snapshot.entries as u64));
        self.leads.set(i64::from(snapshot.leads));
        self.dropped.set(whole(dropped));
        self.suppressed.set(whole(suppressed));
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        // Writing into a text cannot fail.
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

fn whole(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
