//! Counts of good and bad responses by release, the evidence for roll-outs.

use papayatray_core::clock::Millis;
use papayatray_wire::peer::ReleaseTally;

use super::Gateway;
use super::lock;
use crate::gateway::fleet::SelectedEndpoint;

/// Weight of the newest response in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.05;
/// Multiple of the average latency above which a response counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Minimum excess over the average latency, in milliseconds, of a slow response.
const MIN_SLOW_EXCESS_MS: f64 = 250.0;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum AttemptOutcome {
    /// The whole response, or the first event of a stream, arrived after this time.
    Responded(Millis),
    /// The endpoint failed.
    Failed,
}

impl Gateway {
    /// Counts the outcome of an attempt for its release.
    ///
    /// A slow response counts as bad. It is compared with the average latency of its `latency_key`,
    /// the route and the index of the model.
    pub(in crate::gateway) fn record_outcome(
        &self,
        endpoint: &SelectedEndpoint,
        outcome: AttemptOutcome,
        latency_key: (&str, usize),
    ) {
        let is_good = match outcome {
            AttemptOutcome::Failed => false,
            AttemptOutcome::Responded(latency) => !self.is_slow(latency, latency_key),
        };
        let mut tallies = lock(&self.tallies);
        let key = (endpoint.service.clone(), endpoint.release.clone());
        let tally = tallies.entry(key).or_default();
        if is_good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    fn is_slow(&self, latency: Millis, (route, size_index): (&str, usize)) -> bool {
        let mut latencies = lock(&self.latencies);
        let latency = latency.as_u64() as f64;
        let average = latencies
            .entry((route.to_owned(), size_index))
            .or_insert(latency);
        let is_slow = latency > *average * SLOW_FACTOR && latency > *average + MIN_SLOW_EXCESS_MS;
        // Capped, so that a slow release does not raise the average latency to its own.
        let capped = latency.min(*average * 2.0 + 1.0);
        *average += (capped - *average) * LATENCY_WEIGHT;
        is_slow
    }

    pub(in crate::gateway) fn tallies(&self) -> Vec<ReleaseTally> {
        let tallies = lock(&self.tallies);
        let all = tallies
            .iter()
            .map(|((service, release), tally)| ReleaseTally {
                service: service.clone(),
                release: release.clone(),
                tally: *tally,
            });
        all.collect()
    }
}
