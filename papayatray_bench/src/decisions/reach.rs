//! Entries that are cut off from endpoints: time until an entry notices, false verdicts, and requests served,
//! compared with ejecting each endpoint that cannot be connected to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::reach::Reach;
use papayatray_core::gateway::reach::ReachChange;
use papayatray_core::health::Health;
use papayatray_core::health::HealthStatus;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;
use rand::Rng;
use rand::rngs::StdRng;

use super::SEEDS;
use super::seeded_rng;
use crate::report::Report;

/// Endpoints of the service.
const ENDPOINTS: usize = 18;
/// Mean time between two requests of one entry.
const REQUEST_INTERVAL_MS: u64 = 120;
/// Time until a connection that hangs is given up.
const CONNECT_MS: u64 = 400;
/// Time that a request through another entry takes.
const HOP_MS: u64 = 3;
/// Entries that are asked in turn to carry a try.
const MAX_ASKED: usize = 3;
/// Time for which an entry that declined is not asked again.
const AVOIDED_MS: u64 = 1_000;
/// Draws of an entry to ask.
const MAX_DRAWS: usize = 40;
/// Tries of one request.
const MAX_TRIES: u32 = 5;
/// Start and end of the cut or of the crash.
const FAULT_MS: (u64, u64) = (5_000, 15_000);
/// End of a simulation.
const END_MS: u64 = 20_000;
/// Time after the start of the cut from which requests are counted.
const COUNTED_AFTER_MS: u64 = 1_000;

/// What happens during the fault.
#[derive(Clone, Copy)]
struct Scenario {
    entries: usize,
    /// Entries that are cut off.
    cut: usize,
    /// Whether connections of cut entries hang; else they are refused.
    is_silent: bool,
    /// Endpoints that are down for all entries.
    crashed: usize,
    /// Whether entries use hops; else each ejects the endpoints that it cannot connect to.
    uses_hops: bool,
}

/// Result of a simulation.
#[derive(Default)]
struct Outcome {
    /// Time until each cut entry noticed.
    noticed_ms: Vec<u64>,
    /// Verdicts of entries that were not cut off.
    false_verdicts: u32,
    /// Requests served and sent at cut entries.
    at_cut: (u32, u32),
    /// Requests served and sent at the others.
    at_others: (u32, u32),
}

/// Request that makes its next try.
type Try = Reverse<(u64, usize, u32)>;

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    service: ServiceId,
    endpoints: Vec<EndpointId>,
    views: Vec<(Reach, Health)>,
    /// Time until which each entry does not ask each other one.
    avoided_until: Vec<Vec<u64>>,
    outcome: Outcome,
}

pub(super) fn run(report: &mut Report) {
    for (entries, name) in [(7, "7"), (91, "91"), (195, "195"), (860, "860")] {
        for (cut, label) in [
            (1, "one"),
            (entries / 3, "third"),
            (entries - 1, "all_but_one"),
        ] {
            let scenario = Scenario {
                entries,
                cut,
                is_silent: true,
                crashed: 0,
                uses_hops: true,
            };
            report_cut(report, scenario, &format!("{label}_at_{name}"));
        }
    }
    let crash = Scenario {
        entries: 7,
        cut: 0,
        is_silent: false,
        crashed: ENDPOINTS / 2,
        uses_hops: true,
    };
    let outcomes = simulate_seeds(crash);
    let verdicts: u32 = outcomes.iter().map(|outcome| outcome.false_verdicts).sum();
    let crashes = (SEEDS * 7) as f64;
    report.add(
        "reach",
        "false_verdicts_per_entry_and_crash_of_half",
        f64::from(verdicts) / crashes,
    );
    report.add(
        "reach",
        "served_while_half_crashed",
        share(&outcomes, |o| o.at_others),
    );
}

fn report_cut(report: &mut Report, scenario: Scenario, name: &str) {
    let outcomes = simulate_seeds(scenario);
    let baseline = simulate_seeds(Scenario {
        uses_hops: false,
        ..scenario
    });
    let mut noticed: Vec<u64> = outcomes.iter().flat_map(|o| o.noticed_ms.clone()).collect();
    noticed.sort_unstable();
    let median = noticed.get(noticed.len() / 2).copied().unwrap_or(0);
    let max = noticed.last().copied().unwrap_or(0);
    report.add("reach", &format!("noticed_p50_ms_{name}"), median as f64);
    report.add("reach", &format!("noticed_max_ms_{name}"), max as f64);
    let served = share(&outcomes, |o| o.at_cut);
    let others = share(&outcomes, |o| o.at_others);
    report.add(
        "reach",
        &format!("served_share_of_others_{name}"),
        served / others,
    );
    let served = share(&baseline, |o| o.at_cut);
    report.add("reach", &format!("ejecting_served_{name}"), served);
}

fn share<F>(outcomes: &[Outcome], counts: F) -> f64
where
    F: Fn(&Outcome) -> (u32, u32),
{
    let (served, sent) = outcomes
        .iter()
        .map(counts)
        .fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
    f64::from(served) / f64::from(sent.max(1))
}

fn simulate_seeds(scenario: Scenario) -> Vec<Outcome> {
    let outcomes = (0..SEEDS).map(|seed| Simulation::new(scenario, seed).run());
    outcomes.collect()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let ids = (0..ENDPOINTS).map(|number| EndpointId::new(format!("e-{number}")));
        Self {
            scenario,
            rng: seeded_rng(seed),
            service: ServiceId::new("app").expect("a name"),
            endpoints: ids.map(|id| id.expect("a name")).collect(),
            views: vec![(Reach::default(), Health::default()); scenario.entries],
            avoided_until: vec![vec![0; scenario.entries]; scenario.entries],
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut queue: BinaryHeap<Try> = BinaryHeap::new();
        for entry in 0..self.scenario.entries {
            let mut at = 0;
            while at < END_MS {
                at += self.rng.random_range(1..2 * REQUEST_INTERVAL_MS);
                queue.push(Reverse((at, entry, 0)));
            }
        }
        while let Some(Reverse((now, entry, tries))) = queue.pop() {
            let took = self.try_once(now, entry, tries);
            match took {
                Ok(()) => self.count(now, entry, true),
                Err(_) if tries + 1 >= MAX_TRIES => self.count(now, entry, false),
                Err(took) => queue.push(Reverse((now + took, entry, tries + 1))),
            }
        }
        self.outcome
    }

    const fn is_fault(now: u64) -> bool {
        now >= FAULT_MS.0 && now < FAULT_MS.1
    }

    const fn is_cut(&self, entry: usize, now: u64) -> bool {
        entry < self.scenario.cut && Self::is_fault(now)
    }

    const fn is_down(&self, endpoint: usize, now: u64) -> bool {
        endpoint < self.scenario.crashed && Self::is_fault(now)
    }

    fn draw(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// Tries one endpoint; fails with the time that it took.
    fn try_once(&mut self, now: u64, entry: usize, tries: u32) -> Result<(), u64> {
        let at = Millis::new(now);
        let health = &self.views[entry].1;
        let usable = self.endpoints.iter().enumerate();
        let usable = usable.filter(|(_, id)| health.status(id, at) != HealthStatus::Ejected);
        let usable: Vec<usize> = usable.map(|(number, _)| number).collect();
        let endpoint = if usable.is_empty() {
            self.draw(ENDPOINTS)
        } else {
            usable[self.draw(usable.len())]
        };
        let id = self.endpoints[endpoint].clone();
        let path = self.views[entry].0.path(&self.service, &id);
        let prefers_hop = tries > 0 && self.scenario.is_silent;
        if self.scenario.uses_hops && (path == Path::Indirect || prefers_hop) {
            return self.try_through_another(now, entry, endpoint);
        }
        if !self.is_cut(entry, now) && !self.is_down(endpoint, now) {
            let (reach, health) = &mut self.views[entry];
            reach.record_opened(&self.service, &id, ENDPOINTS, at);
            health.record_success(&id, Millis::new(1), at);
            return Ok(());
        }
        let took = if self.scenario.is_silent {
            CONNECT_MS
        } else {
            1
        };
        let end = Millis::new(now + took);
        let (reach, health) = &mut self.views[entry];
        let change = reach.record_failed(&self.service, &id, ENDPOINTS, at, end);
        let is_indirect = reach.path(&self.service, &id) == Path::Indirect;
        if !(is_indirect && self.scenario.uses_hops) {
            health.record_unreachable(&id, end);
        }
        if change == Some(ReachChange::CutOff) {
            self.record_verdict(entry, now + took);
        }
        Err(took)
    }

    fn try_through_another(&mut self, now: u64, entry: usize, endpoint: usize) -> Result<(), u64> {
        if !self.find_hop(now, entry) {
            return Err(HOP_MS);
        }
        let id = self.endpoints[endpoint].clone();
        let at = Millis::new(now);
        let (reach, health) = &mut self.views[entry];
        if endpoint < self.scenario.crashed && Self::is_fault(now) {
            health.record_unreachable(&id, at);
            reach.record_failed_elsewhere(&self.service, &id, ENDPOINTS, at);
            return Err(HOP_MS);
        }
        reach.record_answered_elsewhere(&self.service, &id);
        Ok(())
    }

    /// Asks other entries in turn; returns whether one of them is not cut off.
    fn find_hop(&mut self, now: u64, entry: usize) -> bool {
        let entries = self.scenario.entries;
        let mut asked = 0;
        // An entry that declined is not asked for some time, so some draws do not count.
        for _ in 0..MAX_DRAWS {
            let other = (entry + self.rng.random_range(1..entries)) % entries;
            if self.avoided_until[entry][other] > now {
                continue;
            }
            if !self.is_cut(other, now) {
                return true;
            }
            self.avoided_until[entry][other] = now + AVOIDED_MS;
            asked += 1;
            if asked == MAX_ASKED {
                return false;
            }
        }
        false
    }

    fn record_verdict(&mut self, entry: usize, now: u64) {
        if entry < self.scenario.cut && now >= FAULT_MS.0 {
            self.outcome.noticed_ms.push(now - FAULT_MS.0);
        } else {
            self.outcome.false_verdicts += 1;
        }
        let (reach, health) = &mut self.views[entry];
        for id in reach.unreachable(&self.service) {
            health.readmit(id);
        }
    }

    fn count(&mut self, now: u64, entry: usize, is_served: bool) {
        if !Self::is_fault(now) || now < FAULT_MS.0 + COUNTED_AFTER_MS {
            return;
        }
        let counts = if entry < self.scenario.cut {
            &mut self.outcome.at_cut
        } else {
            &mut self.outcome.at_others
        };
        counts.0 += u32::from(is_served);
        counts.1 += 1;
    }
}
