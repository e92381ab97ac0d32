//! Requests that a canary gets beyond its share.
//!
//! Load: a service with a few requests a second, of which a share gives the canary too few to judge. The
//! part of the exposure bound that does not depend on the traffic is divided among the entries.

use std::collections::BTreeMap;

use super::rollout::Release;
use super::rollout::Rollout;
use super::rollout::RolloutState;
use super::rollout::Schedule;
use crate::clock::Millis;
use crate::id::ServiceId;

/// Part of the slack that is used; the rest covers entries that joined or left meanwhile.
const USED_SLACK_PART: f64 = 0.8;

/// Bound on the requests that a release in roll-out may get from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExposureBound {
    /// Largest share, from 0 to 1, of a service's requests within the time limit of the roll-out.
    pub share: f64,
    /// Requests that it may get beyond the share.
    pub slack: f64,
}

/// Requests granted in one roll-out.
#[derive(Clone, Debug)]
struct Grants {
    target: Release,
    started_at: Millis,
    /// Fraction of a request, from 0 to 1, that differs among entries: of many entries that may each
    /// grant part of a request, some grant one.
    phase: f64,
    count: u32,
}

/// One entry's part of the additional requests, by service.
#[derive(Clone, Debug, Default)]
pub struct CanaryAllowance {
    services: BTreeMap<ServiceId, Grants>,
}

impl CanaryAllowance {
    /// Grants a request to the target of a roll-out, if some of this entry's part is left.
    ///
    /// `entries` is the number of entries that share the slack, `now` the wall-clock time, and `phase` a
    /// random number from 0 to 1 that is used for the first request of a roll-out.
    pub fn grant(
        &mut self,
        service: &ServiceId,
        rollout: &Rollout,
        bound: ExposureBound,
        entries: usize,
        now: Millis,
        phase: f64,
    ) -> bool {
        if rollout.state != RolloutState::Running {
            return false;
        }
        let elapsed = now.since(rollout.started_at);
        let progress = Schedule::new(rollout.limit, bound.share).canary_progress(elapsed);
        let allowed = bound.slack * USED_SLACK_PART * progress / entries.max(1) as f64;
        let grants = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Grants::new(rollout, phase));
        if grants.target != rollout.target || grants.started_at != rollout.started_at {
            *grants = Grants::new(rollout, phase);
        }
        let is_granted = f64::from(grants.count) + grants.phase < allowed;
        grants.count += u32::from(is_granted);
        is_granted
    }

    /// Takes back a request that was granted but sent to another release.
    pub fn take_back(&mut self, service: &ServiceId) {
        if let Some(grants) = self.services.get_mut(service) {
            grants.count = grants.count.saturating_sub(1);
        }
    }
}

impl Grants {
    fn new(rollout: &Rollout, phase: f64) -> Self {
        Self {
            target: rollout.target.clone(),
            started_at: rollout.started_at,
            phase,
            count: 0,
        }
    }
}
