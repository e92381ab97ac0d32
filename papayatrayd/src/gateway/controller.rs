//! Roll-out controller, active on the leader: completes roll-outs of good releases and rolls back
//! the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::release_evidence::ReleaseEvidence;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::is_completion_due;
use papayatray_core::gateway::rollout::is_roll_back_due;
use papayatray_core::id::ServiceId;
use papayatray_core::regression::Tally;
use papayatray_state::machine::Command;
use papayatray_wire::peer::LeaderReply;
use smol::Timer;

use super::control_state::ControlState;
use crate::control::Control;
use crate::observe::Level;
use crate::observe::event;

/// Interval at which the evidence on the running roll-outs is evaluated.
const CHECK_INTERVAL: Millis = Millis::new(100);

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
        let mut evidence_by_service: BTreeMap<ServiceId, ReleaseEvidence> = BTreeMap::new();
        loop {
            Timer::after(CHECK_INTERVAL.to_duration()).await;
            self.state.expire_entries();
            self.state.evaluate_crashes();
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
                let evidence = evidence_by_service
                    .entry(service.clone())
                    .or_insert_with(|| ReleaseEvidence::new(&rollout.target));
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
        evidence: &mut ReleaseEvidence,
    ) -> Option<RolloutState> {
        if evidence.target() != rollout.target {
            *evidence = ReleaseEvidence::new(&rollout.target);
        }
        if let Some(regression) = evidence.record(self.state.results(service)) {
            event(
                Level::Warn,
                "release_regressed",
                &[
                    ("service", service),
                    ("target", &rollout.target),
                    ("by", &regression.as_str()),
                ],
            );
            return Some(RolloutState::RolledBack);
        }
        let now = self.clock.wall();
        let (target_count, other_count) = self.state.accepting_counts(service, &rollout.target);
        let has_capacity = target_count > 0 && target_count * 2 >= other_count;
        let good = evidence.total().responses.good;
        let can_complete =
            is_completion_due(rollout, self.max_exposure, good, evidence.is_ample(), now)
                && has_capacity
                && evidence.covers_routes()
                && !evidence.is_suspicious();
        if can_complete {
            return Some(RolloutState::Completed);
        }
        is_roll_back_due(rollout, evidence.is_suspicious(), now).then_some(RolloutState::RolledBack)
    }

    async fn end_rollout(
        &self,
        service: &ServiceId,
        rollout: &Rollout,
        state: RolloutState,
        evidence: &ReleaseEvidence,
    ) {
        let total = evidence.total();
        event(
            Level::Info,
            "rollout_ended",
            &[
                ("service", service),
                ("target", &rollout.target),
                ("state", &state.as_str()),
                ("good", &total.responses.good),
                ("bad", &total.responses.bad),
                ("paces_good", &total.paces.good),
                ("paces_bad", &total.paces.bad),
                ("routes", &by_route(evidence)),
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

/// Returns the good and bad responses of the target and of the other releases by route, as in
/// `orders:12+1/310+2`.
fn by_route(evidence: &ReleaseEvidence) -> String {
    let (target, others) = (&evidence.total().routes, &evidence.others().routes);
    let routes: BTreeSet<&String> = target.keys().chain(others.keys()).collect();
    let texts = routes.into_iter().map(|route| {
        let [target, others] = [target, others].map(|results| {
            let Tally { good, bad } = results.get(route).copied().unwrap_or_default();
            format!("{good}+{bad}")
        });
        format!("{route}:{target}/{others}")
    });
    texts.collect::<Vec<String>>().join(",")
}
