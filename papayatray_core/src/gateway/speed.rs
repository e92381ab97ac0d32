//! Prefill speed of a service's models, estimated from the latency of first events.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Estimate before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.02;
/// Shorter prompts give no sample, since other delays dominate their first events.
const MIN_SAMPLE_TOKENS: f64 = 2_000.0;
/// Weight of a sample that is lower than the estimate.
const DECREASE_WEIGHT: f64 = 0.5;
/// Maximum factor by which one sample raises the estimate: samples far above it mostly contain
/// time spent waiting behind other requests.
const MAX_INCREASE_FACTOR: f64 = 1.01;

/// Estimated prefill time per token in milliseconds, by service and model size.
#[derive(Clone, Debug, Default)]
pub struct PrefillSpeed {
    estimates: BTreeMap<(ServiceId, usize), f64>,
}

impl PrefillSpeed {
    /// Returns the estimated prefill time of `tokens` in milliseconds.
    pub fn prefill_ms(&self, service: &ServiceId, size_index: usize, tokens: u32) -> f64 {
        let estimate = self.estimates.get(&(service.clone(), size_index));
        f64::from(tokens) * estimate.copied().unwrap_or(INITIAL_MS_PER_TOKEN)
    }

    /// Updates the estimate with a first event that came `latency` after `tokens` were sent.
    pub fn learn(&mut self, service: &ServiceId, size_index: usize, tokens: u32, latency: Millis) {
        let tokens = f64::from(tokens);
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = latency.as_u64() as f64 / tokens;
        let estimate = self
            .estimates
            .entry((service.clone(), size_index))
            .or_insert(sample);
        *estimate = if sample < *estimate {
            *estimate + (sample - *estimate) * DECREASE_WEIGHT
        } else {
            sample.min(*estimate * MAX_INCREASE_FACTOR)
        };
    }
}
