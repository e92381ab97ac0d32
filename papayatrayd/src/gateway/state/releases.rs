//! Counts of good and bad responses by release, the evidence for roll-outs.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::slowness::PaceKind;
use papayatray_core::gateway::slowness::PaceMeter;
use papayatray_core::gateway::slowness::ResponseKind;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::ReleaseTally;

use super::Gateway;
use super::lock;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// Largest minimum excess over the average latency, in milliseconds, of a slow response.
const MAX_SLOW_EXCESS_MS: f64 = 250.0;
/// Part of the route's latency objective that is the minimum excess of a slow response.
const SLOW_EXCESS_PART: f64 = 0.5;

impl Gateway {
    /// Counts a whole response, or the first event of a stream, for its release; a slow one counts
    /// as bad.
    ///
    /// `objective` is the latency objective of the route.
    pub(in crate::gateway) fn record_response(
        &self,
        endpoint: &SelectedEndpoint,
        latency: Millis,
        kind: ResponseKind,
        objective: Millis,
    ) {
        let latency = latency.as_u64() as f64;
        let kind = kind.with_prefill(endpoint.prefill_tokens);
        let excess = objective.as_u64() as f64 * SLOW_EXCESS_PART;
        let route = kind.route.clone();
        let mut latencies = lock(&self.latencies);
        let is_slow = latencies.is_slow(&kind, latency, excess.min(MAX_SLOW_EXCESS_MS));
        if !self.is_in_rollout(endpoint) {
            latencies.add(kind, latency);
        }
        drop(latencies);
        self.count_result(endpoint, |results| results.count_response(&route, !is_slow));
    }

    /// Counts a failed response on a route for its release.
    pub(in crate::gateway) fn record_failed_response(
        &self,
        endpoint: &SelectedEndpoint,
        route: &str,
    ) {
        self.count_result(endpoint, |results| results.count_response(route, false));
    }

    /// Counts the pace of a stream from the model at `size_index` for its release, once it is known.
    pub(in crate::gateway) fn record_event(
        &self,
        endpoint: &SelectedEndpoint,
        meter: &mut PaceMeter,
        size_index: usize,
    ) {
        if meter.is_measured() {
            return;
        }
        let running = self.fleet().running(&endpoint.id);
        let kind = PaceKind::new(endpoint.service.clone(), size_index, running);
        let mut paces = lock(&self.paces);
        let usual = paces.usual(&kind);
        let Some(pace) = meter.record_event(usual, self.clock.now()) else {
            return;
        };
        let is_in_rollout = self.is_in_rollout(endpoint);
        if !is_in_rollout {
            paces.add(kind, pace.interval_ms);
        }
        drop(paces);
        let Some(is_slow) = pace.is_slow else {
            return;
        };
        self.count_result(endpoint, |results| {
            results.paces.count(!is_slow);
            results.ratios.count(pace.ratio.unwrap_or(1.0));
        });
        if is_in_rollout {
            event(
                Level::Info,
                "canary_pace",
                &[
                    ("endpoint", &endpoint.id),
                    ("release", &endpoint.release),
                    ("size", &size_index),
                    ("running", &running),
                    ("interval_ms", &pace.interval_ms.round()),
                    ("usual_ms", &usual.unwrap_or_default().round()),
                    ("slow", &is_slow),
                ],
            );
        }
    }

    fn count_result<F>(&self, endpoint: &SelectedEndpoint, count: F)
    where
        F: FnOnce(&mut ReleaseResults),
    {
        let mut tallies = lock(&self.tallies);
        let key = (endpoint.service.clone(), endpoint.release.clone());
        count(tallies.entry(key).or_default());
    }

    /// Returns whether the canary of a service gets one more request without a session beyond its share.
    ///
    /// An entry that has started during the roll-out does not know how many it granted before.
    pub(in crate::gateway) fn grant_canary(&self, service: &ServiceId) -> bool {
        let rollouts = self.rollouts();
        let Some(rollout) = rollouts.get(service) else {
            return false;
        };
        if self.leader_wall(self.started_at) >= rollout.started_at {
            return false;
        }
        let now = self.leader_wall(self.clock.now());
        let (bound, entries) = (self.bounds.exposure, self.entry_count());
        lock(&self.canary).grant(service, rollout, bound, entries, now, rand::random())
    }

    /// Takes back a grant for a request that was not sent to the release in roll-out.
    pub(in crate::gateway) fn take_back_canary(&self, service: &ServiceId) {
        lock(&self.canary).take_back(service);
    }

    /// Returns whether an endpoint runs the target of a running roll-out.
    pub(in crate::gateway) fn is_in_rollout(&self, endpoint: &SelectedEndpoint) -> bool {
        let rollouts = self.rollouts();
        let rollout = rollouts.get(&endpoint.service);
        rollout.is_some_and(|rollout| {
            rollout.state == RolloutState::Running && rollout.target == endpoint.release
        })
    }

    /// Returns the results of each release since the process started; those by route only for services
    /// with a running roll-out, as nobody else evaluates them.
    pub fn tallies(&self) -> Vec<ReleaseTally> {
        let rollouts = self.rollouts();
        let is_running = |service: &ServiceId| {
            let rollout = rollouts.get(service);
            rollout.is_some_and(|rollout| rollout.state == RolloutState::Running)
        };
        let tallies = lock(&self.tallies);
        let all = tallies
            .iter()
            .map(|((service, release), results)| ReleaseTally {
                service: service.clone(),
                release: release.clone(),
                results: if is_running(service) {
                    results.clone()
                } else {
                    results.without_routes()
                },
            });
        all.collect()
    }
}
