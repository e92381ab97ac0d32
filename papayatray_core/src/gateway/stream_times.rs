//! Usual times of streams from their first event to their end, by route and model.
//!
//! Load: callers that return with little of their time left, as their connections were lost with an
//! entry. A larger model takes longer for the whole stream, which then ends after the deadline although
//! its first event was in time.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Weight of the newest time in the moving average; follows a burst within some tens of streams.
const WEIGHT: f64 = 0.1;

/// Usual times of streams, in milliseconds, by route name and index of the model in the route's sizes.
#[derive(Clone, Debug, Default)]
pub struct UsualStreamTimes {
    averages: BTreeMap<String, BTreeMap<usize, f64>>,
}

impl UsualStreamTimes {
    /// Adds the time from the first event of a stream to its end, or to the deadline that cut it off.
    pub fn add(&mut self, route: &str, size_index: usize, time: Millis) {
        let time_ms = time.as_u64() as f64;
        let of_route = self.averages.entry(route.to_owned()).or_default();
        let average = of_route.entry(size_index).or_insert(time_ms);
        *average += (time_ms - *average) * WEIGHT;
    }

    /// Returns the usual time from the first event of a stream to its end, or `None` if none is known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an average of times, rounded down"
    )]
    pub fn usual(&self, route: &str, size_index: usize) -> Option<Millis> {
        let average = self.averages.get(route)?.get(&size_index)?;
        Some(Millis::new(*average as u64))
    }
}
