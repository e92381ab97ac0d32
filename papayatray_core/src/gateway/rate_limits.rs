//! Rate limits: endpoints that state in their responses how many requests a second they take from
//! all entries together.
//!
//! Load: an endpoint in need that hundreds of entries send to, each of which sees only its own
//! requests. Most have a share of far less than one request a second, so a budget for each entry
//! that allows one request at a time would let all of them send one together.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::decimal;
use super::entry_roster::EntryShare;
use crate::clock::Millis;
use crate::digest;
use crate::id::EndpointId;
use crate::id::Incarnation;

/// Lowest rate that is used: an endpoint that states less still gets requests now and then, so that
/// entries notice when its limit ends.
const MIN_RATE: RequestRate = RequestRate(100);
/// Time after which an unused slot of a stated limit lapses. Longer, entries with little traffic use more of their
/// slots; shorter, fewer requests come together.
const SLOT_LIFETIME: Millis = Millis::from_secs(1);
/// Change of the leader's clock beyond the delay of its messages, as after a change of leader.
const MAX_CLOCK_DRIFT: Millis = Millis::new(500);
/// Age from which the statement of another entry is ignored; most arrive within half a second.
const MAX_STATEMENT_AGE: Millis = Millis::from_secs(10);
/// Milliseconds in a second, times thousandths in one.
const THOUSANDTHS_PER_MILLI: u128 = 1_000_000;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate of `thousandths` of a request a second.
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Reads the rate that a header states: a number of requests a second, which may have a
    /// fraction.
    ///
    /// Any other text states none.
    pub fn parse(value: &str) -> Option<Self> {
        // Rounded down, so that the rate does not exceed the stated one.
        decimal::thousandths(value, f64::floor).map(Self)
    }

    /// Returns the thousandths of a request a second.
    pub const fn thousandths(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Time slots of one endpoint's limit; each belongs to one entry, which may send one request in it.
///
/// There are as many a second as the limit allows requests. They are numbered from the Unix epoch of
/// the leader's clock and go round the entries, so that no entry has to ask another. An unused one
/// lapses after `lifetime`. They have nothing to do with the slots of an endpoint, which are
/// the requests that it runs concurrently.
#[derive(Clone, Copy, Debug)]
struct TimeSlots {
    rate: RequestRate,
    /// Time after which an unused slot lapses.
    lifetime: Millis,
    share: EntryShare,
    /// Added to the number of a slot before it goes round the entries; spreads the slots of
    /// endpoints with equal limits over them.
    offset: u64,
}

impl TimeSlots {
    fn new(endpoint: &EndpointId, rate: RequestRate, lifetime: Millis, share: EntryShare) -> Self {
        let digest = digest::short(&blake3::hash(endpoint.as_str().as_bytes()));
        Self {
            rate: rate.max(MIN_RATE),
            lifetime,
            offset: digest % share.count,
            share,
        }
    }

    /// Returns the number of the slot at `wall`.
    fn at(&self, wall: Millis) -> u64 {
        let slot = u128::from(wall.as_u64()) * u128::from(self.rate.0) / THOUSANDTHS_PER_MILLI;
        u64::try_from(slot).unwrap_or(u64::MAX)
    }

    /// Returns the time at which a slot begins.
    fn start(&self, slot: u64) -> Millis {
        let start = (u128::from(slot) * THOUSANDTHS_PER_MILLI).div_ceil(u128::from(self.rate.0));
        Millis::new(u64::try_from(start).unwrap_or(u64::MAX))
    }

    /// Returns the first slot of this entry that is not before `slot`.
    fn next_own(&self, slot: u64) -> u64 {
        let EntryShare { index, count } = self.share;
        let owner = (slot % count + self.offset) % count;
        slot.saturating_add((index + count - owner) % count)
    }
}

/// Limit that an endpoint stated to one entry, as the others are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateStatement {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that stated it.
    pub incarnation: Incarnation,
    /// Limit, or `None` if the endpoint states it no longer.
    pub rate: Option<RequestRate>,
    /// Time of the response, by the leader's wall clock.
    pub stated_at: Millis,
}

/// What one endpoint last stated.
#[derive(Clone, Copy, Debug)]
struct Limit {
    incarnation: Incarnation,
    /// Limit, or `None` if the endpoint states it no longer.
    rate: Option<RequestRate>,
    /// Time of the last response that stated it.
    stated_at: Millis,
    slots: TimeSlots,
    /// Number of the first slot that this entry has not used.
    unused_slot: u64,
}

/// Rate limits by endpoint, as its responses state them, and this entry's share of each.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointId, Limit>,
    share: EntryShare,
    /// Difference between the leader's wall clock and this process's monotonic clock.
    wall_offset: Millis,
}

/// # Statements
impl RateLimits {
    /// Records that a response states a limit; returns the statement for the other entries if the
    /// limit is a new one.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        rate: RequestRate,
        now: Millis,
    ) -> Option<RateStatement> {
        self.store(endpoint, incarnation, Some(rate), now, now)
            .then(|| self.statement(endpoint, incarnation, Some(rate), now))
    }

    /// Records that a response to a request sent at `sent_at` states no limit; returns the statement
    /// for the other entries if a limit ends with it.
    ///
    /// A limit stated after the request was sent stays: responses may overtake each other.
    pub fn lift(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        sent_at: Millis,
        now: Millis,
    ) -> Option<RateStatement> {
        let limit = self.limit(endpoint, incarnation)?;
        let is_lifted = limit.rate.is_some() && limit.stated_at <= sent_at;
        (is_lifted && self.store(endpoint, incarnation, None, now, now))
            .then(|| self.statement(endpoint, incarnation, None, now))
    }

    /// Records what an endpoint stated to another entry; returns whether it changes the limit.
    ///
    /// A statement is ignored if a later one is known, or if it is so old that it may have been
    /// superseded by one that did not arrive.
    pub fn learn(&mut self, statement: &RateStatement, now: Millis) -> bool {
        let stated_at = statement.stated_at.since(self.wall_offset);
        let is_recent = now.since(stated_at) <= MAX_STATEMENT_AGE;
        is_recent
            && self.store(
                &statement.endpoint,
                statement.incarnation,
                statement.rate,
                // Ahead of this entry's own clock after a step of the leader's.
                stated_at.min(now),
                now,
            )
    }

    /// Stores a statement unless a later one is known; returns whether it changes the limit.
    fn store(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
        stated_at: Millis,
        now: Millis,
    ) -> bool {
        let previous = self.limits.get_mut(endpoint);
        if let Some(limit) = previous {
            if (limit.incarnation, limit.stated_at) > (incarnation, stated_at) {
                return false;
            }
            if (limit.incarnation, limit.rate) == (incarnation, rate) {
                limit.stated_at = stated_at;
                return false;
            }
        } else if rate.is_none() {
            return false;
        }
        let rate_or_least = rate.unwrap_or(MIN_RATE);
        let slots = TimeSlots::new(endpoint, rate_or_least, SLOT_LIFETIME, self.share);
        let limit = Limit {
            incarnation,
            rate,
            stated_at,
            slots,
            unused_slot: slots.at(now + self.wall_offset) + 1,
        };
        self.limits.insert(endpoint.clone(), limit);
        true
    }

    /// Sets a limit that all entries derive alike, whose unused slots lapse after `lifetime`.
    ///
    /// Unlike a stated limit, it replaces any other one of the endpoint. Setting the same limit
    /// again changes nothing.
    pub fn set(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        rate: RequestRate,
        lifetime: Millis,
        now: Millis,
    ) {
        let slots = TimeSlots::new(endpoint, rate, lifetime, self.share);
        let is_same = |limit: &Limit| {
            (limit.incarnation, limit.rate) == (incarnation, Some(rate))
                && limit.slots.lifetime == lifetime
        };
        if self.limits.get(endpoint).is_some_and(is_same) {
            return;
        }
        let limit = Limit {
            incarnation,
            rate: Some(rate),
            stated_at: now,
            slots,
            unused_slot: slots.at(now + self.wall_offset) + 1,
        };
        self.limits.insert(endpoint.clone(), limit);
    }

    fn statement(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
        now: Millis,
    ) -> RateStatement {
        RateStatement {
            endpoint: endpoint.clone(),
            incarnation,
            rate,
            stated_at: now + self.wall_offset,
        }
    }

    /// Returns the limit of an endpoint, which ends with the incarnation that stated it.
    pub fn rate(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<RequestRate> {
        self.limit(endpoint, incarnation)?.rate
    }

    /// Drops the limit of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.limits.remove(endpoint);
    }

    /// Drops the limits of all endpoints.
    pub fn clear(&mut self) {
        self.limits.clear();
    }

    fn limit(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<&Limit> {
        let limit = self.limits.get(endpoint)?;
        (limit.incarnation == incarnation).then_some(limit)
    }
}

/// # Permits
impl RateLimits {
    /// Returns the time until this entry may send an endpoint a request, or `None` if it may now.
    pub fn remaining(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<Millis> {
        let wall = now + self.wall_offset;
        let start = self.slot_start(endpoint, incarnation, wall)?;
        (start > wall).then(|| start.since(wall))
    }

    /// Returns how long ago the time slot began in which this entry may send an endpoint a request,
    /// or `None` without a limit or such a time slot.
    pub fn slot_age(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<Millis> {
        let wall = now + self.wall_offset;
        let start = self.slot_start(endpoint, incarnation, wall)?;
        (start <= wall).then(|| wall.since(start))
    }

    /// Returns the beginning of the next time slot that this entry may use, if the endpoint has a
    /// limit.
    fn slot_start(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        wall: Millis,
    ) -> Option<Millis> {
        let limit = self.limit(endpoint, incarnation)?;
        limit.rate?;
        Some(limit.slots.start(limit.next_slot(wall)))
    }

    /// Uses the slot that lets this entry send a request now, if the endpoint has a limit.
    pub fn take(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Millis) {
        let wall = now + self.wall_offset;
        let limit = self.limits.get_mut(endpoint);
        if let Some(limit) = limit.filter(|limit| limit.incarnation == incarnation) {
            limit.unused_slot = limit.next_slot(wall) + 1;
        }
    }

    /// Sets this entry's share of all limits.
    ///
    /// Slots that began before it changed are not used: another entry may have used them.
    pub fn set_share(&mut self, share: EntryShare, now: Millis) {
        if share != self.share {
            self.share = share;
            self.restart_slots(now);
        }
    }

    /// Sets the difference between the leader's wall clock and this process's monotonic clock.
    pub fn set_wall_offset(&mut self, offset: Millis, now: Millis) {
        let step = offset.as_u64().abs_diff(self.wall_offset.as_u64());
        if step > 0 {
            self.wall_offset = offset;
        }
        if Millis::new(step) > MAX_CLOCK_DRIFT {
            self.restart_slots(now);
        }
    }

    fn restart_slots(&mut self, now: Millis) {
        let wall = now + self.wall_offset;
        for (endpoint, limit) in &mut self.limits {
            let TimeSlots { rate, lifetime, .. } = limit.slots;
            limit.slots = TimeSlots::new(endpoint, rate, lifetime, self.share);
            limit.unused_slot = limit.slots.at(wall) + 1;
        }
    }
}

impl Limit {
    /// Returns the next slot that this entry may use, which may begin later than `wall`.
    fn next_slot(&self, wall: Millis) -> u64 {
        let oldest = self.slots.at(Millis::new(
            wall.as_u64().saturating_sub(self.slots.lifetime.as_u64()),
        ));
        self.slots.next_own(self.unused_slot.max(oldest + 1))
    }
}
