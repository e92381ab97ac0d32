//! Roll-out controller, active on the leader: completes roll-outs of good releases and rolls back
//! the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::is_completion_due;
use papayatray_core::id::ServiceId;
use papayatray_core::regression::FailureBaseline;
use papayatray_core::regression::RegressionDetector;
use papayatray_core::regression::Tally;
use papayatray_state::machine::Command;
use papayatray_wire::peer::LeaderReply;
use smol::Timer;

use super::control_state::ControlState;
use super::control_state::EntryTallies;
use crate::control::Control;
use crate::observe::Level;
use crate::observe::event;

/// Interval at which the evidence on the running roll-outs is evaluated.
const CHECK_INTERVAL: Millis = Millis::new(100);

/// Evidence on one roll-out, from the responses that the entries have counted.
#[derive(Debug, Default)]
struct RolloutEvidence {
    target: String,
    detector: RegressionDetector,
    /// Failure rate of the releases other than the target.
    baseline: FailureBaseline,
    /// Last tally from each entry, by release.
    last_tallies: BTreeMap<String, EntryTallies>,
    /// Good responses of the target.
    good: u64,
}

/// Ends roll-outs according to the responses of their releases, while its replica is the leader.
#[derive(Debug)]
pub(super) struct RolloutController {
    pub(super) state: Arc<ControlState>,
    pub(super) control: Control,
    pub(super) clock: Arc<dyn Clock>,
    /// Largest share of a service's requests, from 0 to 1, for a release in roll-out.
    pub(super) max_exposure: f64,
}

impl RolloutController {
    /// Evaluates the running roll-outs until the process ends.
    pub(super) async fn run(self) {
        let mut evidence_by_service: BTreeMap<ServiceId, RolloutEvidence> = BTreeMap::new();
        loop {
            Timer::after(CHECK_INTERVAL.to_duration()).await;
            self.state.expire_entries();
            if !self.state.has_leader_lease() {
                evidence_by_service.clear();
                continue;
            }
            let rollouts = self.state.rollouts();
            for (service, rollout) in rollouts.iter() {
                if rollout.state != RolloutState::Running {
                    evidence_by_service.remove(service);
                    continue;
                }
                let evidence = evidence_by_service.entry(service.clone()).or_default();
                if let Some(outcome) = self.decide(service, rollout, evidence) {
                    self.end_rollout(service, rollout, outcome, evidence).await;
                }
            }
        }
    }

    /// Returns the state in which to end a roll-out, or `None` if it must continue.
    fn decide(
        &self,
        service: &ServiceId,
        rollout: &Rollout,
        evidence: &mut RolloutEvidence,
    ) -> Option<RolloutState> {
        if evidence.target != rollout.target {
            *evidence = RolloutEvidence {
                target: rollout.target.clone(),
                ..RolloutEvidence::default()
            };
        }
        if evidence.record(self.state.tallies(service)) {
            return Some(RolloutState::RolledBack);
        }
        let now = self.clock.wall();
        let (target_count, other_count) = self.state.accepting_counts(service, &rollout.target);
        let has_capacity = target_count > 0 && target_count * 2 >= other_count;
        let can_complete =
            is_completion_due(rollout, self.max_exposure, evidence.good, now) && has_capacity;
        if can_complete {
            return Some(RolloutState::Completed);
        }
        // A roll-out that could not be completed within its time limit is rolled back.
        (now.since(rollout.started_at) >= rollout.limit).then_some(RolloutState::RolledBack)
    }

    async fn end_rollout(
        &self,
        service: &ServiceId,
        rollout: &Rollout,
        state: RolloutState,
        evidence: &RolloutEvidence,
    ) {
        event(
            Level::Info,
            "rollout_ended",
            &[
                ("service", service),
                ("target", &rollout.target),
                ("state", &state.as_str()),
                ("good", &evidence.good),
            ],
        );
        let command = Command::EndRollout {
            service: service.clone(),
            target: rollout.target.clone(),
            state,
        };
        match self.control.propose(command).await {
            Ok(LeaderReply::Reply(_)) => {}
            Ok(LeaderReply::NotLeader(_)) => {
                event(Level::Warn, "rollout_end_lost", &[("service", service)]);
            }
            Err(error) => event(Level::Error, "rollout_end_lost", &[("error", &error)]),
        }
    }
}

impl RolloutEvidence {
    /// Adds the responses counted since the last call; returns whether the target has failed.
    fn record(&mut self, tallies: BTreeMap<String, EntryTallies>) -> bool {
        let mut target_delta = Tally::default();
        for (release, entries) in &tallies {
            let before = self.last_tallies.get(release);
            for (entry, tally) in entries {
                let earlier = before.and_then(|tallies| tallies.get(entry)).copied();
                let delta = tally.since(&earlier.unwrap_or_default());
                if *release == self.target {
                    target_delta.add(&delta);
                } else {
                    self.baseline.add(&delta);
                }
            }
        }
        // The tallies are cumulative. That of an entry which stops syncing for a while is retained,
        // or its old responses would be added again when it returns.
        for (release, entries) in tallies {
            self.last_tallies
                .entry(release)
                .or_default()
                .extend(entries);
        }
        self.good += target_delta.good;
        self.detector.add(&target_delta, &self.baseline)
    }
}
