//! What each release of a service did at this entry, as evidence for roll-outs.

use papayatray_core::clock::Millis;
use papayatray_wire::peer::ReleaseTally;

use super::Gateway;
use super::lock;
use crate::gateway::fleet::SelectedEndpoint;

/// Weight of the newest answer in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.05;
/// Times slower than usual that counts as a bad answer of a release.
const SLOW_FACTOR: f64 = 4.0;
/// Slowness in milliseconds beyond the usual under which no answer is bad.
const SLOW_FLOOR: f64 = 250.0;

/// What an endpoint did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Outcome {
    /// It began to answer after this time.
    Answered(Millis),
    /// It failed.
    Failed,
}

impl Gateway {
    /// Counts what a release did with a request; `place` is the request's route and model size.
    pub(in crate::gateway) fn tally(
        &self,
        choice: &SelectedEndpoint,
        outcome: Outcome,
        place: (&str, usize),
    ) {
        let is_good = match outcome {
            Outcome::Failed => false,
            Outcome::Answered(latency) => !self.is_slow(latency, place),
        };
        let mut tallies = lock(&self.tallies);
        let key = (choice.service.clone(), choice.release.clone());
        let tally = tallies.entry(key).or_default();
        if is_good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    fn is_slow(&self, latency: Millis, (route, size): (&str, usize)) -> bool {
        let mut latencies = lock(&self.latencies);
        let latency = latency.as_u64() as f64;
        let usual = latencies.entry((route.to_owned(), size)).or_insert(latency);
        let is_slow = latency > *usual * SLOW_FACTOR && latency > *usual + SLOW_FLOOR;
        // A slow release must not become the measure of itself.
        let counted = latency.min(*usual * 2.0 + 1.0);
        *usual += (counted - *usual) * LATENCY_WEIGHT;
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
