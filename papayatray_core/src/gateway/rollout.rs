//! Roll-out of a service's release: schedule, state, and which sessions use which release.
//!
//! A release may fail at once, later or only under load. The schedule therefore starts with a small
//! canary, keeps the target's share of all requests under the exposure bound, and moves all traffic
//! over only in the last part of the roll-out's time limit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Part of the time limit before the canary starts; sessions keep their release until then.
const CANARY_START: f64 = 0.5;
/// The canary's share of requests, as a part of the exposure bound.
const CANARY_EXPOSURE_PART: f64 = 0.8;
/// Part of the canary's time in which its additional requests are granted.
const CANARY_GROWTH_PART: f64 = 0.8;
/// Part of the exposure bound that canary and full traffic together may use.
const MAX_EXPOSURE_PART: f64 = 0.9;
/// Time by which the completion precedes the time limit; covers the commit and a retry.
const COMPLETION_LEAD: Millis = Millis::new(900);
/// Time by which it does while there is little evidence on the target, which the full traffic
/// before the completion adds to; covers the commit.
const LATE_COMPLETION_LEAD: Millis = Millis::new(400);
/// Time by which the roll-back of a target that cannot be completed precedes the time limit.
const ROLL_BACK_LEAD: Millis = Millis::new(300);
/// Time for which all traffic goes to the target before the completion; most plain requests end
/// within it.
const SETTLING_TIME: Millis = Millis::new(250);
/// Minimum number of successful responses of the target before the roll-out completes.
const MIN_GOOD_RESPONSES: u64 = 5;

/// Name of a release of a service's software, as its endpoints announce it.
pub type Release = String;

/// Operator's order to move a service to another release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// Release to roll out.
    pub target: Release,
    /// Time limit for moving all traffic.
    pub limit: Millis,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// The target serves all traffic.
    Completed,
    /// The target failed and gets no traffic.
    RolledBack,
}

impl RolloutState {
    /// Returns the state's name in replies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Latest roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Release to roll out.
    pub target: Release,
    /// Wall-clock time at which the order was accepted.
    #[serde(rename = "begun")]
    pub started_at: Millis,
    /// Time limit for moving all traffic.
    pub limit: Millis,
    /// State.
    pub state: RolloutState,
}

/// Decision on a roll-out order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutDecision {
    /// The roll-out started, or the latest roll-out of the service has the same target.
    Accepted,
    /// Another roll-out of the service is running.
    Busy,
}

/// Latest roll-out of each service, and the releases that were rolled back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTable {
    rollouts: BTreeMap<ServiceId, Rollout>,
    /// Releases that were rolled back and not ordered again since.
    #[serde(rename = "refused")]
    rolled_back: BTreeSet<(ServiceId, Release)>,
    changes: u64,
}

impl RolloutTable {
    /// Starts a roll-out unless another one of the service is running.
    ///
    /// `now` is the wall-clock time.
    pub fn begin(&mut self, order: &RolloutOrder, now: Millis) -> RolloutDecision {
        if let Some(latest) = self.rollouts.get(&order.service) {
            if latest.target == order.target {
                return RolloutDecision::Accepted;
            }
            if latest.state == RolloutState::Running {
                return RolloutDecision::Busy;
            }
        }
        let rollout = Rollout {
            target: order.target.clone(),
            started_at: now,
            limit: order.limit,
            state: RolloutState::Running,
        };
        self.rolled_back
            .remove(&(order.service.clone(), order.target.clone()));
        self.rollouts.insert(order.service.clone(), rollout);
        self.changes += 1;
        RolloutDecision::Accepted
    }

    /// Ends the running roll-out of `service` to `target`; one that has ended keeps its state.
    pub fn end(&mut self, service: &ServiceId, target: &str, state: RolloutState) {
        let running = self
            .rollouts
            .get_mut(service)
            .filter(|rollout| rollout.target == target && rollout.state == RolloutState::Running);
        let Some(rollout) = running else {
            return;
        };
        rollout.state = state;
        if state == RolloutState::RolledBack {
            self.rolled_back
                .insert((service.clone(), target.to_owned()));
        }
        self.changes += 1;
    }

    /// Returns the latest roll-out of a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns the latest roll-out of every service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Rollout)> {
        self.rollouts.iter()
    }

    /// Returns the number of changes to the table, which serves as its version.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether a request may use the release `release` of `service`.
    ///
    /// `draw`, from zero to one, is the same for all requests of a session; `now` is the wall-clock
    /// time; `exposure` is the bound on the target's share of all requests.
    pub fn eligibility(
        &self,
        service: &ServiceId,
        release: &str,
        draw: f64,
        now: Millis,
        exposure: f64,
    ) -> ReleaseEligibility {
        if self
            .rolled_back
            .contains(&(service.clone(), release.to_owned()))
        {
            return ReleaseEligibility::Refused;
        }
        let Some(rollout) = self.rollouts.get(service) else {
            return ReleaseEligibility::Preferred;
        };
        let is_target = rollout.target == release;
        match rollout.state {
            RolloutState::Completed if is_target => ReleaseEligibility::Preferred,
            RolloutState::RolledBack if !is_target => ReleaseEligibility::Preferred,
            RolloutState::RolledBack => ReleaseEligibility::Refused,
            RolloutState::Completed => ReleaseEligibility::Fallback,
            RolloutState::Running => {
                let share =
                    Schedule::new(rollout.limit, exposure).share(now.since(rollout.started_at));
                match (is_target, draw < share) {
                    (true, true) | (false, false) => ReleaseEligibility::Preferred,
                    (false, true) => ReleaseEligibility::Fallback,
                    (true, false) => ReleaseEligibility::Refused,
                }
            }
        }
    }
}

/// Whether a request may use a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseEligibility {
    /// The release is used if it has an available endpoint.
    Preferred,
    /// The release is used only if the preferred one has no available endpoint.
    Fallback,
    /// The release must not be used.
    Refused,
}

/// The target's share of sessions over the course of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Time limit of the roll-out.
    limit_ms: f64,
    /// Share of sessions that use the target while it is a canary.
    canary: f64,
    /// Part of the time limit from which all traffic goes to the target.
    full_from: f64,
}

impl Schedule {
    /// Creates the schedule of a roll-out with the time limit `limit`.
    ///
    /// `exposure` bounds the target's share of all requests, averaged over the time limit.
    pub fn new(limit: Millis, exposure: f64) -> Self {
        let canary = exposure * CANARY_EXPOSURE_PART;
        // The target's mean share of sessions over the time limit, solved for `full_from`:
        // canary * (full_from - CANARY_START) + (1 - full_from) = exposure * MAX_EXPOSURE_PART
        let full_from =
            (1.0 - exposure * MAX_EXPOSURE_PART - canary * CANARY_START) / (1.0 - canary);
        Self {
            limit_ms: limit.as_u64() as f64,
            canary,
            full_from: full_from.clamp(CANARY_START, 1.0),
        }
    }

    /// Returns the share of sessions that use the target; it never decreases over time.
    pub fn share(&self, elapsed: Millis) -> f64 {
        let part = elapsed.as_u64() as f64 / self.limit_ms.max(1.0);
        if part < CANARY_START {
            0.0
        } else if part < self.full_from {
            self.canary
        } else {
            1.0
        }
    }

    /// Returns how much of the canary's time, from 0 to 1, has passed.
    ///
    /// It reaches 1 some time before all traffic goes to the target, so that the last responses are
    /// known by then.
    pub fn canary_progress(&self, elapsed: Millis) -> f64 {
        let part = elapsed.as_u64() as f64 / self.limit_ms.max(1.0);
        let length = (self.full_from - CANARY_START) * CANARY_GROWTH_PART;
        if length <= 0.0 {
            return 0.0;
        }
        ((part - CANARY_START) / length).clamp(0.0, 1.0)
    }

    /// Returns whether all traffic goes to the target.
    pub fn is_full(&self, elapsed: Millis) -> bool {
        self.share(elapsed) >= 1.0
    }

    /// Returns whether all traffic has gone to the target for long enough that plain requests to
    /// the other releases have ended: their endpoints stop at the completion.
    pub fn has_settled(&self, elapsed: Millis) -> bool {
        let full_time = self.limit_ms * (1.0 - self.full_from);
        let settling_ms = (SETTLING_TIME.as_u64() as f64).min(full_time / 2.0);
        elapsed.as_u64() as f64 >= self.limit_ms * self.full_from + settling_ms
    }
}

/// Returns whether a running roll-out without regression should be completed now.
///
/// `exposure` is the bound on the target's share of all requests; `good_responses` counts the
/// target's successful responses; `is_ample` tells whether there is much evidence on the target;
/// `now` is the wall-clock time.
pub fn is_completion_due(
    rollout: &Rollout,
    exposure: f64,
    good_responses: u64,
    is_ample: bool,
    now: Millis,
) -> bool {
    let elapsed = now.since(rollout.started_at);
    let lead = if is_ample {
        COMPLETION_LEAD
    } else {
        LATE_COMPLETION_LEAD
    };
    let is_due = elapsed + lead >= rollout.limit;
    is_due
        && good_responses >= MIN_GOOD_RESPONSES
        && Schedule::new(rollout.limit, exposure).has_settled(elapsed)
}

/// Returns whether a running roll-out that could not be completed should be rolled back now.
///
/// `is_suspicious` tells whether the evidence on the target kept it from completion.
pub fn is_roll_back_due(rollout: &Rollout, is_suspicious: bool, now: Millis) -> bool {
    let lead = if is_suspicious {
        ROLL_BACK_LEAD
    } else {
        Millis::ZERO
    };
    now.since(rollout.started_at) + lead >= rollout.limit
}
