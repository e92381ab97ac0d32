//! Roll-out of a release of a service: its schedule, its state, and who gets which release.
//!
//! Load it answers: a release that is bad at once, late or only under load. The schedule keeps
//! the whole exposure under its bound by a small canary, and moves all traffic over only in the
//! last part of the time that the operator gave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Part of the time before which sessions stay on the release that they had.
const CANARY_FROM: f64 = 0.5;
/// Part of the exposure bound that the canary's share of requests is.
const CANARY_PART: f64 = 0.3;
/// Part of the exposure bound that canary and full traffic together may use.
const EXPOSED_PART: f64 = 0.9;
/// Time before the limit at which the roll-out is completed; covers the commit and a retry.
const COMPLETE_LEAD: Millis = Millis::new(900);
/// Requests that the target must have answered well before the roll-out completes.
const GOOD_LEAST: u64 = 5;

/// Release of a service's software, as its endpoints name it.
pub type Release = String;

/// Order to move a service to another release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// Release that is to serve.
    pub target: Release,
    /// Time within which all traffic is to be moved.
    pub limit: Millis,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// The target serves everything.
    Completed,
    /// The target was bad and gets nothing.
    RolledBack,
}

impl RolloutState {
    /// Returns the state's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Newest roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Release that is to serve.
    pub target: Release,
    /// Time of day at which the order was accepted.
    pub begun: Millis,
    /// Time within which all traffic is to be moved.
    pub limit: Millis,
    /// State.
    pub state: RolloutState,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutDecision {
    /// The roll-out began, or is this very one.
    Accepted,
    /// Another roll-out of the service is running.
    Busy,
}

/// Roll-outs of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTable {
    rollouts: BTreeMap<ServiceId, Rollout>,
    refused: BTreeSet<(ServiceId, Release)>,
    changes: u64,
}

impl RolloutTable {
    /// Takes in an order that came at `now`, the time of day.
    pub fn begin(&mut self, order: &RolloutOrder, now: Millis) -> RolloutDecision {
        if let Some(own) = self.rollouts.get(&order.service) {
            if own.target == order.target {
                return RolloutDecision::Accepted;
            }
            if own.state == RolloutState::Running {
                return RolloutDecision::Busy;
            }
        }
        let rollout = Rollout {
            target: order.target.clone(),
            begun: now,
            limit: order.limit,
            state: RolloutState::Running,
        };
        self.refused
            .remove(&(order.service.clone(), order.target.clone()));
        self.rollouts.insert(order.service.clone(), rollout);
        self.changes += 1;
        RolloutDecision::Accepted
    }

    /// Ends the running roll-out of `service` to `target`; a roll-out that has ended stays so.
    pub fn end(&mut self, service: &ServiceId, target: &str, state: RolloutState) {
        let running = self
            .rollouts
            .get_mut(service)
            .filter(|own| own.target == target && own.state == RolloutState::Running);
        let Some(rollout) = running else {
            return;
        };
        rollout.state = state;
        if state == RolloutState::RolledBack {
            self.refused.insert((service.clone(), target.to_owned()));
        }
        self.changes += 1;
    }

    /// Returns the newest roll-out of a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns all roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Rollout)> {
        self.rollouts.iter()
    }

    /// Returns how many changes the book has taken, as its version.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Tells how far a release of `service` may be used by the request of this draw.
    ///
    /// `draw` is the same for all requests of a session; `now` is the time of day.
    pub fn standing(
        &self,
        service: &ServiceId,
        release: &str,
        draw: f64,
        now: Millis,
        exposure: f64,
    ) -> ReleaseEligibility {
        if self
            .refused
            .contains(&(service.clone(), release.to_owned()))
        {
            return ReleaseEligibility::Refused;
        }
        let Some(own) = self.rollouts.get(service) else {
            return ReleaseEligibility::Preferred;
        };
        let is_target = own.target == release;
        match own.state {
            RolloutState::Completed if is_target => ReleaseEligibility::Preferred,
            RolloutState::RolledBack if !is_target => ReleaseEligibility::Preferred,
            RolloutState::RolledBack => ReleaseEligibility::Refused,
            RolloutState::Completed => ReleaseEligibility::Fallback,
            RolloutState::Running => {
                let share = Schedule::new(own.limit, exposure).share(now.since(own.begun));
                match (is_target, draw < share) {
                    (true, true) | (false, false) => ReleaseEligibility::Preferred,
                    (false, true) => ReleaseEligibility::Fallback,
                    (true, false) => ReleaseEligibility::Refused,
                }
            }
        }
    }
}

/// How far a release may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseEligibility {
    /// First choice.
    Preferred,
    /// Only where no endpoint of the first choice is at hand.
    Fallback,
    /// Not at all.
    Refused,
}

/// Shares of the target over the time of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    limit: f64,
    canary: f64,
    full_from: f64,
}

impl Schedule {
    /// Creates the schedule of a roll-out with `limit` as its time and `exposure` as the bound on
    /// the target's share of all requests.
    pub fn new(limit: Millis, exposure: f64) -> Self {
        let canary = exposure * CANARY_PART;
        // canary * (full_from - CANARY_FROM) + (1 - full_from) = exposure * EXPOSED_PART
        let full_from = (1.0 - exposure * EXPOSED_PART - canary * CANARY_FROM) / (1.0 - canary);
        Self {
            limit: limit.as_u64() as f64,
            canary,
            full_from: full_from.clamp(CANARY_FROM, 1.0),
        }
    }

    /// Returns the share of sessions that the target gets; it never falls.
    pub fn share(&self, elapsed: Millis) -> f64 {
        let part = elapsed.as_u64() as f64 / self.limit.max(1.0);
        if part < CANARY_FROM {
            0.0
        } else if part < self.full_from {
            self.canary
        } else {
            1.0
        }
    }

    /// Tells whether all traffic goes to the target.
    pub fn is_full(&self, elapsed: Millis) -> bool {
        self.share(elapsed) >= 1.0
    }
}

/// Tells whether a roll-out that looks good is to be completed now.
pub fn is_complete(rollout: &Rollout, exposure: f64, good: u64, now: Millis) -> bool {
    let elapsed = now.since(rollout.begun);
    let is_due = elapsed + COMPLETE_LEAD >= rollout.limit;
    is_due && good >= GOOD_LEAST && Schedule::new(rollout.limit, exposure).is_full(elapsed)
}
