//! Health of endpoints by comparison with their peers.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::EndpointId;

/// Weight of the newest sample in the moving averages.
const WEIGHT: f64 = 0.2;
/// Samples before an endpoint can be judged.
const MIN_SAMPLES: u32 = 5;
/// Times slower than the median of its peers that sets an endpoint aside.
const SLOW_FACTOR: f64 = 3.0;
/// Slowness in milliseconds under which no endpoint is set aside.
const SLOW_FLOOR: f64 = 50.0;
/// Share of failures that sets an endpoint aside.
const FAILURE_SHARE: f64 = 0.5;
/// Share of peers set aside beyond which the fault is not theirs.
const ASIDE_SHARE: f64 = 0.4;
/// Time for which the peers' median is taken as known.
const MEDIAN_KEPT: Millis = Millis::new(500);
/// First time aside; doubles with each return to it.
const ASIDE_FIRST: Millis = Millis::from_secs(5);
/// Longest time aside.
const ASIDE_MOST: Millis = Millis::from_secs(60);

/// How an endpoint is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// As any other.
    Normal,
    /// One request at a time, to see whether it has recovered.
    Probe,
    /// Not at all.
    Ejected,
}

/// Record of one endpoint.
#[derive(Clone, Debug, Default)]
struct Record {
    samples: u32,
    latency: f64,
    failures: f64,
    aside_until: Option<Millis>,
    rounds: u32,
}

/// Records of the endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<EndpointId, Record>,
    median: Option<(f64, Millis)>,
}

impl Health {
    /// Records an answer that began after `latency`.
    pub fn succeeded(&mut self, id: &EndpointId, latency: Millis, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.sample(latency.as_u64() as f64, 0.0);
        let is_back = record.aside_until.is_some_and(|until| now >= until);
        if is_back {
            // The probe tells more than the history: judge anew from here.
            record.aside_until = None;
            record.samples = 1;
            record.latency = latency.as_u64() as f64;
            record.failures = 0.0;
        }
        self.judge(id, now);
    }

    /// Records a failure of the endpoint.
    pub fn failed(&mut self, id: &EndpointId, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        let latency = record.latency;
        record.sample(latency, 1.0);
        if record.aside_until.is_some_and(|until| now >= until) {
            record.set_aside(now);
        }
        self.judge(id, now);
    }

    /// Records that the endpoint cannot be reached at all.
    pub fn lost(&mut self, id: &EndpointId, now: Millis) {
        self.records.entry(id.clone()).or_default().set_aside(now);
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }

    /// Returns how to use the endpoint.
    pub fn standing(&self, id: &EndpointId, now: Millis) -> HealthStatus {
        match self.records.get(id).and_then(|record| record.aside_until) {
            None => HealthStatus::Normal,
            Some(until) if now >= until => HealthStatus::Probe,
            Some(_) => HealthStatus::Ejected,
        }
    }

    /// Returns the share of the endpoint's requests that failed lately.
    pub fn failures(&self, id: &EndpointId) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.failures)
    }

    fn judge(&mut self, id: &EndpointId, now: Millis) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        if record.samples < MIN_SAMPLES || record.aside_until.is_some() {
            return;
        }
        let (latency, failures) = (record.latency, record.failures);
        let limit = (self.median(now) * SLOW_FACTOR).max(SLOW_FLOOR);
        let is_bad = latency > limit || failures > FAILURE_SHARE;
        if is_bad && self.may_set_aside(id, limit) {
            self.records.entry(id.clone()).or_default().set_aside(now);
        }
    }

    /// Returns the median latency of all endpoints, worked out anew now and then.
    fn median(&mut self, now: Millis) -> f64 {
        if let Some((median, at)) = self.median
            && now.since(at) < MEDIAN_KEPT
        {
            return median;
        }
        let known = self.records.values().filter(|r| r.samples > 0);
        let mut latencies: Vec<f64> = known.map(|r| r.latency).collect();
        let middle = latencies.len() / 2;
        if middle == 0 {
            return f64::MAX;
        }
        let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.median = Some((median, now));
        median
    }

    /// Tells whether one more endpoint may go: where most look bad, the fault is not theirs.
    fn may_set_aside(&self, id: &EndpointId, limit: f64) -> bool {
        let is_bad =
            |r: &Record| r.aside_until.is_some() || r.failures > FAILURE_SHARE || r.latency > limit;
        let bad = self
            .records
            .iter()
            .filter(|(own, r)| *own != id && is_bad(r))
            .count();
        let share = (bad + 1) as f64 / self.records.len() as f64;
        share <= ASIDE_SHARE
    }
}

impl Record {
    fn sample(&mut self, latency: f64, failure: f64) {
        if self.samples == 0 {
            self.latency = latency;
            self.failures = failure * WEIGHT;
        } else {
            self.latency += (latency - self.latency) * WEIGHT;
            self.failures += (failure - self.failures) * WEIGHT;
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn set_aside(&mut self, now: Millis) {
        let span = ASIDE_FIRST.as_u64() << self.rounds.min(8);
        let span = Millis::new(span).min(ASIDE_MOST);
        self.rounds = self.rounds.saturating_add(1);
        self.aside_until = Some(now + span);
    }
}
