//! Pauses: endpoints that turned a request away and stated for how long they want no further one.
//!
//! Load: an endpoint whose queue is full while every entry goes on sending to it. A pause is known
//! only to the entry that was turned away, as the endpoint addresses it alone.

use std::collections::BTreeMap;

use super::decimal;
use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::Incarnation;

/// Longest pause: an endpoint that states more, by mistake or not, is tried again after this time.
const MAX_PAUSE: Millis = Millis::from_secs(600);

/// Returns the pause that the value of a `Retry-After` header asks for.
///
/// The value is a number of seconds, which may have a fraction. Zero, a date and any other text ask
/// for none; a longer time than ten minutes counts as ten minutes.
pub fn requested_pause(value: &str) -> Option<Millis> {
    // Rounded up, so that the pause does not end before the stated time.
    let millis = decimal::thousandths(value, f64::ceil)?;
    (millis > 0).then(|| Millis::new(millis).min(MAX_PAUSE))
}

/// Pause of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Pause {
    incarnation: Incarnation,
    ends_at: Millis,
}

/// Pauses by endpoint; one that has ended is kept until the endpoint asks for another or leaves.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: BTreeMap<EndpointId, Pause>,
}

impl Pauses {
    /// Records a pause of `duration` from now on; of several, the one that ends last holds.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        duration: Millis,
        now: Millis,
    ) {
        let ends_at = now + duration.min(MAX_PAUSE);
        let previous = self.pauses.get(endpoint);
        let is_outlasted = previous.is_some_and(|pause| {
            pause.incarnation > incarnation
                || (pause.incarnation == incarnation && pause.ends_at >= ends_at)
        });
        if !is_outlasted {
            let pause = Pause {
                incarnation,
                ends_at,
            };
            self.pauses.insert(endpoint.clone(), pause);
        }
    }

    /// Returns the time until an endpoint may get requests again, or `None` if it may now.
    ///
    /// A pause ends with the incarnation that asked for it.
    pub fn remaining(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<Millis> {
        let pause = self.pauses.get(endpoint)?;
        let is_paused = pause.incarnation == incarnation && now < pause.ends_at;
        is_paused.then(|| pause.ends_at.since(now))
    }

    /// Drops the pause of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.pauses.remove(endpoint);
    }
}
