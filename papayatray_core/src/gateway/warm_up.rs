//! Warm-up: endpoints that tolerate few requests for some time after their start.
//!
//! Load: a whole data centre of endpoints that comes back cold at once. Its endpoints look idle
//! beside full ones, and hundreds of entries that see the same loads would all send there together;
//! well above the rate that it tolerates, a cold endpoint crashes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::entry_roster::EntryShare;
use super::rate_limits::RateLimits;
use super::rate_limits::RequestRate;
use crate::clock::Millis;
use crate::directory::Endpoint;
use crate::directory::Offer;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::ServiceId;

/// Heartbeat intervals without a heartbeat after which an endpoint may have become cold unnoticed;
/// fewer would follow from a lost heartbeat or a change of leader.
const MAX_UNHEARD_HEARTBEATS: u64 = 4;
/// Heartbeat intervals for which an endpoint counts as cold after a lost connection; if it
/// restarted, its first heartbeat arrives within this time.
const SUSPECTED_HEARTBEATS: u64 = 2;
/// Part of the time that the bound leaves beyond the rate for which a slot may be used. The rest is
/// for differences between the entries' clocks and rosters, and for the way to the endpoint.
const LIFETIME_PART: f64 = 1.0 / 3.0;
/// Shortest and longest lifetime of a slot, in milliseconds: shorter, entries with little traffic
/// use hardly any; longer is not needed at any rate.
const LIFETIME_RANGE_MS: (f64, f64) = (50.0, 1_000.0);
/// Golden ratio, by which the places of entries are spread.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Requests that a cold endpoint may get in any second, as a bound of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that the endpoint tolerates.
    pub overshoot: f64,
    /// Requests beyond the multiple.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdBound {
    /// Returns the requests that an endpoint with a cold rate may get in any second.
    pub fn requests(&self, rate: RequestRate) -> f64 {
        per_second(rate) * self.overshoot + self.slack
    }

    /// Returns the time for which a slot may be used, so that the slots of a second and those still
    /// in use from before it stay within the bound.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to positive milliseconds"
    )]
    fn slot_lifetime(&self, rate: RequestRate) -> Millis {
        // One request less, as a span holds up to one slot more than the rate times its length.
        let seconds = (self.requests(rate) - 1.0) / per_second(rate) - 1.0;
        let (shortest, longest) = LIFETIME_RANGE_MS;
        let lifetime = (seconds * 1_000.0 * LIFETIME_PART).clamp(shortest, longest);
        Millis::new(lifetime as u64)
    }
}

fn per_second(rate: RequestRate) -> f64 {
    rate.thousandths() as f64 / 1_000.0
}

/// What the plan says about the cold endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRule {
    /// Requests a second that a cold endpoint takes from all entries together.
    pub rate: RequestRate,
    /// Time for which an endpoint is cold after its start.
    pub duration: Millis,
}

/// Cold endpoints of the services with a [`ColdRule`], and this entry's share of their rates.
#[derive(Clone, Debug)]
pub struct WarmUps {
    rules: BTreeMap<ServiceId, ColdRule>,
    /// Time slots of all endpoints with a rule; they bind while an endpoint is cold.
    limits: RateLimits,
    /// Incarnations that count as cold until a time although their heartbeats do not say so.
    presumed_cold: BTreeMap<EndpointId, (Incarnation, Millis)>,
    bound: ColdBound,
    heartbeat: Millis,
}

impl WarmUps {
    /// Creates the state of a deployment without rules, with this bound and heartbeat interval.
    pub fn new(bound: ColdBound, heartbeat: Millis) -> Self {
        Self {
            rules: BTreeMap::new(),
            limits: RateLimits::default(),
            presumed_cold: BTreeMap::new(),
            bound,
            heartbeat,
        }
    }

    /// Sets the rules of the plan in force; a rule with a rate of 0 sets no bound.
    ///
    /// Returns whether they changed; each endpoint must then be passed to [`Self::track`] again.
    pub fn set_rules(&mut self, mut rules: BTreeMap<ServiceId, ColdRule>) -> bool {
        rules.retain(|_, rule| rule.rate.thousandths() > 0);
        let has_changed = rules != self.rules;
        if has_changed {
            self.rules = rules;
            self.limits.clear();
        }
        has_changed
    }

    /// Prepares the time slots of an endpoint that was announced.
    pub fn track(&mut self, endpoint: &Endpoint, now: Millis) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        if let Some(rule) = self.rule(endpoint).copied() {
            let lifetime = self.bound.slot_lifetime(rule.rate);
            self.limits.set(id, incarnation, rule.rate, lifetime, now);
        }
        let presumed = self.presumed_cold.get(id);
        if presumed.is_some_and(|(presumed, until)| *presumed < incarnation || *until <= now) {
            self.presumed_cold.remove(id);
        }
    }

    /// Drops what is known of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.limits.forget(endpoint);
        self.presumed_cold.remove(endpoint);
    }

    /// Returns whether the plan bounds the requests to the cold endpoints of a service.
    pub fn has_rule(&self, service: &ServiceId) -> bool {
        self.rules.contains_key(service)
    }

    /// Returns whether the plan bounds the requests to the endpoint while it is cold.
    pub fn is_bounded(&self, endpoint: &Endpoint) -> bool {
        self.rule(endpoint).is_some()
    }

    fn rule(&self, endpoint: &Endpoint) -> Option<&ColdRule> {
        match &endpoint.offer {
            Offer::Service(service) => self.rules.get(service),
            Offer::Versions(_) => None,
        }
    }
}

/// # Statements
impl WarmUps {
    /// Records the remaining warm-up that an endpoint stated in a response.
    pub fn record_statement(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        left: Millis,
        now: Millis,
    ) {
        if left == Millis::ZERO {
            self.presumed_cold.remove(endpoint);
        } else {
            self.presume_cold(endpoint, incarnation, now + left);
        }
    }

    /// Records that a connection to an endpoint was lost during a request, so that it may have
    /// restarted.
    pub fn record_lost(
        &mut self,
        endpoint: &EndpointId,
        service: &ServiceId,
        incarnation: Incarnation,
        now: Millis,
    ) {
        let starts_cold = |rule: &ColdRule| rule.duration > Millis::ZERO;
        if self.rules.get(service).is_some_and(starts_cold) {
            let suspected = Millis::new(self.heartbeat.as_u64() * SUSPECTED_HEARTBEATS);
            self.presume_cold(endpoint, incarnation, now + suspected);
        }
    }

    fn presume_cold(&mut self, endpoint: &EndpointId, incarnation: Incarnation, until: Millis) {
        let presumed = self.presumed_cold.entry(endpoint.clone());
        let presumed = presumed.or_insert((incarnation, until));
        *presumed = (*presumed).max((incarnation, until));
    }
}

/// # Permits
impl WarmUps {
    /// Returns whether an endpoint counts as cold and its requests are bounded.
    ///
    /// `last_heard` is the time of its last heartbeat that this entry knows of.
    pub fn is_cold(&self, endpoint: &Endpoint, last_heard: Millis, now: Millis) -> bool {
        let unheard = Millis::new(self.heartbeat.as_u64() * MAX_UNHEARD_HEARTBEATS);
        let presumed = self.presumed_cold.get(&endpoint.id);
        let is_presumed = |(incarnation, until): &(Incarnation, Millis)| {
            *incarnation == endpoint.incarnation && now < *until
        };
        self.is_bounded(endpoint)
            && (endpoint.warm_up_left > Millis::ZERO
                || now.since(last_heard) > unheard
                || presumed.is_some_and(is_presumed))
    }

    /// Returns the time until this entry may send a cold endpoint a request, or `None` if it may
    /// now.
    pub fn remaining(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<Millis> {
        self.limits.remaining(endpoint, incarnation, now)
    }

    /// Uses the slot that lets this entry send a cold endpoint a request now.
    pub fn take(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Millis) {
        self.limits.take(endpoint, incarnation, now);
    }

    /// Sets this entry's share of all rates.
    pub fn set_share(&mut self, share: EntryShare, now: Millis) {
        self.limits.set_share(spread(share), now);
    }

    /// Sets the difference between the leader's wall clock and this process's monotonic clock.
    pub fn set_wall_offset(&mut self, offset: Millis, now: Millis) {
        self.limits.set_wall_offset(offset, now);
    }
}

/// Spreads the places of the entries, so that consecutive ones, as those of one data centre are, do
/// not own consecutive slots.
///
/// Entries out of touch keep the roster that they had. If theirs were consecutive slots, both groups
/// would use all slots of a second.
fn spread(share: EntryShare) -> EntryShare {
    let EntryShare { index, count } = share;
    let ideal = (count as f64 * GOLDEN_RATIO).round();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a count of entries"
    )]
    let first = (ideal as u64).max(1);
    let mut strides = (first..first + count).filter(|stride| are_coprime(*stride, count));
    let stride = strides.next().unwrap_or(1);
    EntryShare {
        index: index * stride % count,
        count,
    }
}

const fn are_coprime(mut a: u64, mut b: u64) -> bool {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a == 1
}
