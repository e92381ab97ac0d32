//! Leader's watch over roll-outs: stops bad releases and completes good ones in time.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayatray_core::clock::Clock;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::is_complete;
use papayatray_core::id::ServiceId;
use papayatray_core::rollout::FailureBaseline;
use papayatray_core::rollout::Tally;
use papayatray_core::rollout::Watch;
use papayatray_state::machine::Command;
use papayatray_wire::peer::LeaderReply;
use smol::Timer;

use super::hub::EntryTallies;
use super::hub::Hub;
use crate::control::Control;
use crate::observe::Level;
use crate::observe::event;

/// Time between two looks at the evidence.
const LOOK: Millis = Millis::new(100);

/// Evidence about one roll-out.
#[derive(Debug, Default)]
struct Case {
    target: String,
    watch: Watch,
    reference: FailureBaseline,
    seen: BTreeMap<String, EntryTallies>,
    good: u64,
}

/// Watches roll-outs while its replica leads.
#[derive(Debug)]
pub(super) struct RolloutController {
    pub(super) hub: Arc<Hub>,
    pub(super) control: Control,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) exposure: f64,
}

impl RolloutController {
    /// Looks at the evidence until the process ends.
    pub(super) async fn run(self) {
        let mut cases: BTreeMap<ServiceId, Case> = BTreeMap::new();
        loop {
            Timer::after(LOOK.to_duration()).await;
            self.hub.expire_entries();
            if !self.hub.is_current() {
                cases.clear();
                continue;
            }
            let book = self.hub.rollouts();
            for (service, rollout) in book.iter() {
                if rollout.state != RolloutState::Running {
                    cases.remove(service);
                    continue;
                }
                let case = cases.entry(service.clone()).or_default();
                if let Some(state) = self.judge(service, rollout, case) {
                    self.end(service, rollout, state, case).await;
                }
            }
        }
    }

    fn judge(
        &self,
        service: &ServiceId,
        rollout: &Rollout,
        case: &mut Case,
    ) -> Option<RolloutState> {
        if case.target != rollout.target {
            *case = Case {
                target: rollout.target.clone(),
                ..Case::default()
            };
        }
        if case.take(self.hub.tallies(service)) {
            return Some(RolloutState::RolledBack);
        }
        let now = self.clock.wall();
        let (own, others) = self.hub.strength(service, &rollout.target);
        let is_strong = own > 0 && own * 2 >= others;
        let is_done = is_complete(rollout, self.exposure, case.good, now) && is_strong;
        if is_done {
            return Some(RolloutState::Completed);
        }
        // A release that never showed itself good in time gets no more traffic.
        (now.since(rollout.begun) >= rollout.limit).then_some(RolloutState::RolledBack)
    }

    async fn end(&self, service: &ServiceId, rollout: &Rollout, state: RolloutState, case: &Case) {
        event(
            Level::Info,
            "rollout_ended",
            &[
                ("service", service),
                ("target", &rollout.target),
                ("state", &state.as_str()),
                ("good", &case.good),
            ],
        );
        let command = Command::EndRollout {
            service: service.clone(),
            target: rollout.target.clone(),
            state,
        };
        match self.control.propose(command).await {
            Ok(LeaderReply::Answer(_)) => {}
            Ok(LeaderReply::NotLeader(_)) => {
                event(Level::Warn, "rollout_end_lost", &[("service", service)]);
            }
            Err(error) => event(Level::Error, "rollout_end_lost", &[("error", &error)]),
        }
    }
}

impl Case {
    /// Takes in all entries' counts; tells whether the target must be stopped.
    fn take(&mut self, tallies: BTreeMap<String, EntryTallies>) -> bool {
        let mut own = Tally::default();
        for (release, entries) in &tallies {
            let before = self.seen.get(release);
            for (entry, tally) in entries {
                let earlier = before.and_then(|seen| seen.get(entry)).copied();
                let step = tally.since(&earlier.unwrap_or_default());
                if *release == self.target {
                    own.add(&step);
                } else {
                    self.reference.add(&step);
                }
            }
        }
        // Entries that are silent for a moment come back with what they had counted before.
        for (release, entries) in tallies {
            self.seen.entry(release).or_default().extend(entries);
        }
        self.good += own.good;
        self.watch.add(&own, &self.reference)
    }
}
