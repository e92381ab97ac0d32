//! Reservation of rate-limited endpoints for the requests that relieve the others most.
//!
//! Load: most endpoints of a model service state low limits, so the others carry the rest. A limit
//! counts requests, whatever their size; a long prompt for a large model takes as much of an
//! endpoint's time as dozens of short ones.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Time for which a new time slot is left to requests with more work than usual; the rest of its
/// lifetime is for any request.
const RESERVED_TIME: Millis = Millis::new(700);
/// Weight of the newest request in the average of the work.
const NEWEST_WEIGHT: f64 = 0.05;

/// Returns whether a time slot that began `age` ago is still left to requests with much work.
pub const fn is_reserved(age: Millis) -> bool {
    age.as_u64() < RESERVED_TIME.as_u64()
}

/// Usual work of a request, by service, in milliseconds of prefill.
#[derive(Clone, Debug, Default)]
pub struct SlotReservation {
    usual_ms: BTreeMap<ServiceId, f64>,
}

impl SlotReservation {
    /// Adds the work of a request that is sent.
    pub fn record(&mut self, service: &ServiceId, work_ms: f64) {
        match self.usual_ms.get_mut(service) {
            Some(usual) => *usual += (work_ms - *usual) * NEWEST_WEIGHT,
            None => {
                self.usual_ms.insert(service.clone(), work_ms);
            }
        }
    }

    /// Returns whether a request has less work than usual, and must leave new time slots to others.
    pub fn is_light(&self, service: &ServiceId, work_ms: f64) -> bool {
        let usual = self.usual_ms.get(service);
        usual.is_some_and(|usual| work_ms < *usual)
    }
}
