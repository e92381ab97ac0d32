//! Budget for extra arrivals: attempts beyond the first of each request that reach a service.
//!
//! When endpoints fail many requests and callers retry as well, unbounded retries would multiply
//! the load on the service.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Length of one bucket of the sliding window.
const BUCKET_LENGTH: Millis = Millis::new(500);
/// Part of the bound that an entry uses; the rest covers uneven load and clock differences among
/// entries.
const USED_BOUND_SHARE: f64 = 0.85;

/// Bound on extra arrivals at a service from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalBound {
    /// Extra arrivals allowed per request.
    pub ratio: f64,
    /// Extra arrivals allowed on top of the ratio within a window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

/// Requests and extra arrivals within [`BUCKET_LENGTH`].
#[derive(Clone, Copy, Debug)]
struct Bucket {
    opened_at: Millis,
    requests: u32,
    extras: u32,
}

/// One entry's part of the fleet-wide budget, by service.
#[derive(Clone, Debug)]
pub struct ArrivalBudget {
    bound: ArrivalBound,
    /// Number of entries that share the slack.
    entries: usize,
    /// Buckets of each service's window, oldest first.
    services: BTreeMap<ServiceId, VecDeque<Bucket>>,
}

impl ArrivalBudget {
    /// Creates the budget of an entry; until [`Self::set_entries`] it has the whole slack.
    pub const fn new(bound: ArrivalBound) -> Self {
        Self {
            bound,
            entries: 1,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that share the slack; zero counts as one.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &ServiceId, now: Millis) {
        self.bucket(service, now).requests += 1;
    }

    /// Spends one extra arrival; returns false if the budget is exhausted.
    pub fn spend(&mut self, service: &ServiceId, now: Millis) -> bool {
        if self.remaining(service, now) < 1.0 {
            return false;
        }
        self.bucket(service, now).extras += 1;
        true
    }

    /// Returns how many extra arrivals remain, possibly a fraction or a negative number.
    ///
    /// The number is negative if requests have left the window while the extra arrivals that they
    /// allowed are still within it.
    pub fn remaining(&mut self, service: &ServiceId, now: Millis) -> f64 {
        self.expire(service, now);
        let buckets = self.services.get(service);
        let sum = |count: fn(&Bucket) -> u32| {
            let all = buckets.into_iter().flatten();
            all.map(|bucket| f64::from(count(bucket))).sum::<f64>()
        };
        let slack = self.bound.slack / self.entries as f64;
        let allowed = (self.bound.ratio * sum(|b| b.requests) + slack) * USED_BOUND_SHARE;
        allowed - sum(|b| b.extras)
    }

    fn bucket(&mut self, service: &ServiceId, now: Millis) -> &mut Bucket {
        self.expire(service, now);
        let buckets = self.services.entry(service.clone()).or_default();
        let is_open = buckets
            .back()
            .is_some_and(|last| now.since(last.opened_at) < BUCKET_LENGTH);
        if !is_open {
            buckets.push_back(Bucket {
                opened_at: now,
                requests: 0,
                extras: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }

    fn expire(&mut self, service: &ServiceId, now: Millis) {
        let Some(buckets) = self.services.get_mut(service) else {
            return;
        };
        let retention = self.bound.window + BUCKET_LENGTH;
        while buckets
            .front()
            .is_some_and(|first| now.since(first.opened_at) >= retention)
        {
            buckets.pop_front();
        }
    }
}
