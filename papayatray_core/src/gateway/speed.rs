//! Speed at which the models of a service read prompts, learned from first events.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Milliseconds for a token before anything is known.
const FIRST: f64 = 0.02;
/// Tokens under which a first event tells more of other delays than of reading.
const TOKENS_LEAST: f64 = 2_000.0;
/// Weight of a sample below the estimate.
const FALL: f64 = 0.5;
/// Factor by which a sample above the estimate raises it, however far above: such samples mostly
/// tell of waiting behind others.
const RISE: f64 = 1.01;

/// Milliseconds for each token read, by service and model size.
#[derive(Clone, Debug, Default)]
pub struct PrefillSpeed {
    estimates: BTreeMap<(ServiceId, usize), f64>,
}

impl PrefillSpeed {
    /// Returns the milliseconds that reading `tokens` takes.
    pub fn reading(&self, service: &ServiceId, size: usize, tokens: u32) -> f64 {
        let known = self.estimates.get(&(service.clone(), size));
        f64::from(tokens) * known.copied().unwrap_or(FIRST)
    }

    /// Takes in that the first event came `latency` after `tokens` were sent.
    pub fn learn(&mut self, service: &ServiceId, size: usize, tokens: u32, latency: Millis) {
        let tokens = f64::from(tokens);
        if tokens < TOKENS_LEAST {
            return;
        }
        let sample = latency.as_u64() as f64 / tokens;
        let own = self
            .estimates
            .entry((service.clone(), size))
            .or_insert(sample);
        *own = if sample < *own {
            *own + (sample - *own) * FALL
        } else {
            sample.min(*own * RISE)
        };
    }
}
