//! Outlier detection: ejects endpoints that are slower or fail more often than their peers.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::EndpointId;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum number of samples before an endpoint may be ejected.
const MIN_SAMPLES: u32 = 5;
/// Multiple of the median latency above which an endpoint is ejected.
const SLOW_FACTOR: f64 = 3.0;
/// Latency below which no endpoint is ejected as slow.
const SLOW_FLOOR_MS: f64 = 50.0;
/// Failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Maximum share of a pool that may be ejected; if more endpoints look bad, they likely have a
/// common cause.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// Time for which the median latency is cached.
const MEDIAN_TTL: Millis = Millis::new(500);
/// Duration of the first ejection; doubles with each further one.
const MIN_EJECTION: Millis = Millis::from_secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION: Millis = Millis::from_secs(60);

/// How an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// It may be used without restriction.
    Normal,
    /// It may run one request at a time, to probe whether it has recovered.
    Probe,
    /// It may not be used.
    Ejected,
}

/// Statistics of one endpoint.
#[derive(Clone, Debug, Default)]
struct Record {
    samples: u32,
    /// Moving average of the latency.
    latency_ms: f64,
    /// Moving average of failures, from zero to one.
    failure_rate: f64,
    /// End of the latest ejection; absent once a probe has succeeded.
    ejected_until: Option<Millis>,
    /// Number of ejections so far, which determines the duration of the next one.
    ejections: u32,
}

/// Latency and failure statistics of one pool's endpoints.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<EndpointId, Record>,
    /// Median latency in milliseconds, and when it was determined.
    median: Option<(f64, Millis)>,
}

impl Health {
    /// Records a response that began `latency` after its request.
    ///
    /// A successful probe ends an ejection.
    pub fn record_success(&mut self, id: &EndpointId, latency: Millis, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.sample(latency.as_u64() as f64, 0.0);
        let is_probe = record.ejected_until.is_some_and(|until| now >= until);
        if is_probe {
            // A successful probe outweighs the history, so the statistics restart with it.
            record.ejected_until = None;
            record.samples = 1;
            record.latency_ms = latency.as_u64() as f64;
            record.failure_rate = 0.0;
        }
        self.evaluate(id, now);
    }

    /// Records a failed request; a failed probe ejects the endpoint again.
    pub fn record_failure(&mut self, id: &EndpointId, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        let latency_ms = record.latency_ms;
        record.sample(latency_ms, 1.0);
        if record.ejected_until.is_some_and(|until| now >= until) {
            record.eject(now);
        }
        self.evaluate(id, now);
    }

    /// Ejects an endpoint that cannot be reached.
    pub fn record_unreachable(&mut self, id: &EndpointId, now: Millis) {
        self.records.entry(id.clone()).or_default().eject(now);
    }

    /// Ends the ejection of an endpoint that was not at fault.
    pub fn readmit(&mut self, id: &EndpointId) {
        if let Some(record) = self.records.get_mut(id) {
            record.ejected_until = None;
            record.ejections = record.ejections.saturating_sub(1);
        }
    }

    /// Drops the statistics of an endpoint that is gone or was restarted.
    pub fn forget(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }

    /// Returns how the endpoint may be used.
    pub fn status(&self, id: &EndpointId, now: Millis) -> HealthStatus {
        match self.records.get(id).and_then(|record| record.ejected_until) {
            None => HealthStatus::Normal,
            Some(until) if now >= until => HealthStatus::Probe,
            Some(_) => HealthStatus::Ejected,
        }
    }

    /// Returns the endpoint's recent failure rate, from zero to one.
    pub fn failure_rate(&self, id: &EndpointId) -> f64 {
        self.records
            .get(id)
            .map_or(0.0, |record| record.failure_rate)
    }

    /// Ejects the endpoint if it is slow or fails too often, unless too many are ejected already.
    fn evaluate(&mut self, id: &EndpointId, now: Millis) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        if record.samples < MIN_SAMPLES || record.ejected_until.is_some() {
            return;
        }
        let (latency_ms, failure_rate) = (record.latency_ms, record.failure_rate);
        let limit_ms = (self.median_ms(now) * SLOW_FACTOR).max(SLOW_FLOOR_MS);
        let is_bad = latency_ms > limit_ms || failure_rate > MAX_FAILURE_RATE;
        if is_bad && self.may_eject(id, limit_ms) {
            self.records.entry(id.clone()).or_default().eject(now);
        }
    }

    /// Returns the median latency of all endpoints in milliseconds, cached for [`MEDIAN_TTL`].
    fn median_ms(&mut self, now: Millis) -> f64 {
        if let Some((median, determined_at)) = self.median
            && now.since(determined_at) < MEDIAN_TTL
        {
            return median;
        }
        let sampled = self.records.values().filter(|r| r.samples > 0);
        let mut latencies_ms: Vec<f64> = sampled.map(|r| r.latency_ms).collect();
        let middle = latencies_ms.len() / 2;
        // With fewer than two endpoints there is no peer to compare with.
        if middle == 0 {
            return f64::MAX;
        }
        let (_, median, _) = latencies_ms.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.median = Some((median, now));
        median
    }

    /// Returns whether `id` may be ejected as well, given the other endpoints that are ejected,
    /// fail too often, or are slower than `limit_ms`.
    fn may_eject(&self, id: &EndpointId, limit_ms: f64) -> bool {
        let is_bad = |r: &Record| {
            r.ejected_until.is_some()
                || r.failure_rate > MAX_FAILURE_RATE
                || r.latency_ms > limit_ms
        };
        let bad = self
            .records
            .iter()
            .filter(|(other, r)| *other != id && is_bad(r))
            .count();
        let share = (bad + 1) as f64 / self.records.len() as f64;
        share <= MAX_EJECTED_SHARE
    }
}

impl Record {
    /// Adds a sample; `failure` is 1 for a failed request and 0 otherwise.
    fn sample(&mut self, latency_ms: f64, failure: f64) {
        if self.samples == 0 {
            self.latency_ms = latency_ms;
            self.failure_rate = failure * SAMPLE_WEIGHT;
        } else {
            self.latency_ms += (latency_ms - self.latency_ms) * SAMPLE_WEIGHT;
            self.failure_rate += (failure - self.failure_rate) * SAMPLE_WEIGHT;
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn eject(&mut self, now: Millis) {
        let duration = MIN_EJECTION.as_u64() << self.ejections.min(8);
        let duration = Millis::new(duration).min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + duration);
    }
}
