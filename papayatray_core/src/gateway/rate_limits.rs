//! Rate limits: endpoints that state in their responses how many requests a second they take from
//! all entries together.
//!
//! Load: an endpoint in need that hundreds of entries send to, each of which sees only its own
//! requests.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::decimal;
use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::Incarnation;

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
        let thousandths = decimal::thousandths(value)?;
        // Rounded down, so that the rate does not exceed the stated one.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and the cast saturates"
        )]
        let thousandths = thousandths as u64;
        Some(Self(thousandths))
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

/// What one endpoint last stated.
#[derive(Clone, Copy, Debug)]
struct Limit {
    incarnation: Incarnation,
    rate: RequestRate,
    /// Time of the last response that stated it.
    stated_at: Millis,
}

/// Rate limits by endpoint, as its responses state them.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointId, Limit>,
}

impl RateLimits {
    /// Records that a response states a limit; returns whether it is a new one.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        rate: RequestRate,
        now: Millis,
    ) -> bool {
        let previous = self.limits.get(endpoint);
        if previous.is_some_and(|limit| limit.incarnation > incarnation) {
            return false;
        }
        let is_new =
            previous.is_none_or(|limit| (limit.incarnation, limit.rate) != (incarnation, rate));
        let limit = Limit {
            incarnation,
            rate,
            stated_at: now,
        };
        self.limits.insert(endpoint.clone(), limit);
        is_new
    }

    /// Records that a response to a request sent at `sent_at` states no limit; returns whether a
    /// limit ends with it.
    ///
    /// A limit stated after the request was sent stays: responses may overtake each other.
    pub fn lift(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        sent_at: Millis,
    ) -> bool {
        let previous = self.limits.get(endpoint);
        let is_lifted = previous.is_some_and(|limit| {
            limit.incarnation < incarnation
                || (limit.incarnation == incarnation && limit.stated_at <= sent_at)
        });
        if is_lifted {
            self.limits.remove(endpoint);
        }
        is_lifted
    }

    /// Returns the limit of an endpoint, which ends with the incarnation that stated it.
    pub fn rate(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<RequestRate> {
        let limit = self.limits.get(endpoint)?;
        (limit.incarnation == incarnation).then_some(limit.rate)
    }

    /// Drops the limit of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.limits.remove(endpoint);
    }
}
