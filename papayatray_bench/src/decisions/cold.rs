//! Data centre whose endpoints come back cold at once beside full ones: requests in the worst second
//! against the bound, and time until it carries its share, compared with a penalty in placement only.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Load;
use papayatray_core::directory::Offer;
use papayatray_core::gateway::entry_roster::EntryShare;
use papayatray_core::gateway::placement;
use papayatray_core::gateway::placement::Backlog;
use papayatray_core::gateway::placement::Candidate;
use papayatray_core::gateway::placement::Condition;
use papayatray_core::gateway::placement::SharedPrefix;
use papayatray_core::gateway::placement::Work;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::gateway::warm_up::ColdBound;
use papayatray_core::gateway::warm_up::ColdRule;
use papayatray_core::gateway::warm_up::WarmUps;
use papayatray_core::health::HealthStatus;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use rand::Rng;
use rand::rngs::StdRng;

use super::SEEDS;
use super::exponential;
use super::seeded_rng;
use super::uniform;
use crate::report::Report;

/// Endpoints of the service, of which the first ones come back.
const ENDPOINTS: usize = 140;
const RETURNED: usize = 35;
const SLOTS: u32 = 24;
/// Mean time between requests of all entries: more than the other endpoints run, less than all do.
const INTERVAL_MS: f64 = 1_000.0 / 380.0;
/// Time that a request runs.
const RUN_MS: u64 = 8_000;
/// Share of the requests on the most popular shared prefix, and the prefill time of that prefix.
const HOT_SHARE: f64 = 0.33;
const HOT_PREFILL_MS: f64 = 700.0;
/// Age of the loads that entries see.
const LOAD_AGE_MS: u64 = 200;
/// Start and end of the warm-up of the returned endpoints, and end of the simulation.
const COLD_MS: (u64, u64) = (2_000, 12_000);
const END_MS: u64 = 30_000;
/// Interval over which the share of the returned endpoints is measured.
const SHARE_INTERVAL_MS: usize = 500;
/// Part of its share from which the data centre counts as carrying it.
const CARRIED: f64 = 0.9;
/// Requests a second that a cold endpoint tolerates, in thousandths.
const RATE: RequestRate = RequestRate::from_thousandths(5_600);
/// Wall-clock time of the start.
const EPOCH: Millis = Millis::from_secs(1_700_000_000);

/// Result of one simulation.
struct Outcome {
    /// Requests of a cold endpoint in its worst second.
    worst_second: usize,
    /// Time from the end of the warm-up until the returned endpoints carried their share.
    carried_ms: f64,
    /// Share of the requests that the returned endpoints got while cold.
    cold_share: f64,
}

struct Simulation {
    rng: StdRng,
    uses_slots: bool,
    entries: Vec<WarmUps>,
    endpoints: Vec<Endpoint>,
    /// Ends of the requests at each endpoint.
    running: Vec<Vec<u64>>,
    seen: Vec<u32>,
    /// Endpoints that have the popular prefix cached.
    cached: BTreeSet<usize>,
    /// Times and endpoints of all requests.
    sent: Vec<(u64, usize)>,
}

pub(super) fn run(report: &mut Report) {
    for entries in [7, 65, 91, 195, 860] {
        for (uses_slots, prefix) in [(true, ""), (false, "penalty_")] {
            let outcomes: Vec<Outcome> = (0..SEEDS)
                .map(|seed| Simulation::new(entries, uses_slots, seed).run())
                .collect();
            let worst = outcomes.iter().map(|o| o.worst_second).max();
            let bound = ColdBound::default().requests(RATE);
            let mean = |value: &dyn Fn(&Outcome) -> f64| {
                outcomes.iter().map(value).sum::<f64>() / SEEDS as f64
            };
            let measures = [
                ("worst_second_of_bound", worst.unwrap_or(0) as f64 / bound),
                ("share_carried_after_ms", mean(&|o| o.carried_ms)),
                ("share_while_cold", mean(&|o| o.cold_share)),
            ];
            for (name, value) in measures {
                report.add("cold", &format!("{prefix}{name}_at_{entries}"), value);
            }
        }
    }
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: EndpointId::new(format!("e-{index}")).expect("a name"),
        incarnation: Incarnation(1),
        sequence: 1,
        address: String::new(),
        data_centre: DataCentre::new("here").expect("a name"),
        offer: Offer::Service(ServiceId::new("llm").expect("a name")),
        slots: SLOTS,
        fences: false,
        leaving: false,
        load: Load::default(),
        release: String::new(),
        warm_up_left: Millis::new(COLD_MS.1 - COLD_MS.0),
    }
}

impl Simulation {
    fn new(count: usize, uses_slots: bool, seed: u64) -> Self {
        let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(endpoint).collect();
        let mut rng = seeded_rng(seed);
        let entries = (0..count).map(|index| {
            let mut entry = WarmUps::new(ColdBound::default(), Millis::new(1_200));
            let rule = ColdRule {
                rate: RATE,
                duration: Millis::new(COLD_MS.1 - COLD_MS.0),
            };
            let service = ServiceId::new("llm").expect("a name");
            entry.set_rules(BTreeMap::from([(service, rule)]));
            let share = EntryShare {
                index: index as u64,
                count: count as u64,
            };
            entry.set_share(share, Millis::ZERO);
            // Replies of the leader take different times to arrive.
            let delay = Millis::new(rng.random_range(0..100));
            entry.set_wall_offset(EPOCH.since(delay), Millis::ZERO);
            for endpoint in &endpoints[..RETURNED] {
                entry.track(endpoint, Millis::ZERO);
            }
            entry
        });
        let entries: Vec<WarmUps> = entries.collect();
        let running = (0..ENDPOINTS).map(|index| {
            let slots = if index < RETURNED { 0 } else { SLOTS };
            let ends = (0..slots).map(|_| rng.random_range(0..RUN_MS));
            ends.collect()
        });
        Self {
            running: running.collect(),
            rng,
            uses_slots,
            entries,
            endpoints,
            seen: vec![0; ENDPOINTS],
            // Endpoints that became cold without a restart had cached it before.
            cached: (0..ENDPOINTS).step_by(35).collect(),
            sent: Vec::new(),
        }
    }

    const fn is_cold(index: usize, now: u64) -> bool {
        index < RETURNED && now < COLD_MS.1
    }

    fn run(mut self) -> Outcome {
        if self.uses_slots {
            self.cached.retain(|index| *index >= RETURNED);
        }
        let mut at = 0.0;
        let mut next_view = 0;
        loop {
            at += exponential(&mut self.rng, INTERVAL_MS);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a time within the simulation"
            )]
            let now = at as u64;
            if now >= END_MS {
                return self.outcome();
            }
            if now >= next_view {
                next_view = now + LOAD_AGE_MS;
                for (seen, running) in self.seen.iter_mut().zip(&mut self.running) {
                    running.retain(|end| *end > now);
                    *seen = u32::try_from(running.len()).unwrap_or(u32::MAX);
                }
            }
            self.send(now);
        }
    }

    fn send(&mut self, now: u64) {
        let entry = self.rng.random_range(0..self.entries.len());
        let draw = self.rng.random();
        let is_hot = uniform(&mut self.rng) < HOT_SHARE;
        let time = Millis::new(now);
        let skipped = if now < COLD_MS.0 { RETURNED } else { 0 };
        let all = self.endpoints.iter().enumerate().skip(skipped);
        let candidates = all.filter_map(|(index, endpoint)| {
            let is_cold = Self::is_cold(index, now);
            let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
            let wait = || self.entries[entry].remaining(id, incarnation, time);
            if self.uses_slots && is_cold && wait().is_some() {
                return None;
            }
            Some(Candidate {
                id,
                slots: SLOTS,
                this_entry: Backlog::default(),
                other_entries: Backlog {
                    running: self.seen[index],
                    prefill_ms: 0.0,
                },
                is_near: true,
                condition: if is_cold {
                    Condition::Starting
                } else {
                    Condition::Steady
                },
                status: HealthStatus::Normal,
                failure_rate: 0.0,
                speed: 1.0,
                has_prefix: is_hot && self.cached.contains(&index),
            })
        });
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        if self.uses_slots {
            placement::keep_warm_or_cold(&mut candidates);
        }
        let prefix = is_hot.then_some(SharedPrefix {
            digest: 7,
            prefill_ms: HOT_PREFILL_MS,
        });
        let work = Work {
            prefix,
            prefill_ms: 20.0,
        };
        let picked = placement::pick(&candidates, &work, self.entries.len(), draw);
        let picked = picked.map(|selection| selection.id);
        let Some(index) = self
            .endpoints
            .iter()
            .position(|endpoint| Some(&endpoint.id) == picked)
        else {
            return;
        };
        if self.uses_slots && Self::is_cold(index, now) {
            let Endpoint {
                id, incarnation, ..
            } = &self.endpoints[index];
            self.entries[entry].take(id, *incarnation, time);
        }
        if is_hot {
            self.cached.insert(index);
        }
        self.running[index].push(now + RUN_MS);
        self.sent.push((now, index));
    }

    fn outcome(&self) -> Outcome {
        let mut worst_second = 0;
        for endpoint in 0..RETURNED {
            let sent = self.sent.iter();
            let cold = sent.filter(|(now, index)| *index == endpoint && *now < COLD_MS.1);
            let times: Vec<u64> = cold.map(|(now, _)| *now).collect();
            for (position, start) in times.iter().enumerate() {
                let rest = times[position..].iter();
                let within = rest.take_while(|time| **time < start + 1_000).count();
                worst_second = worst_second.max(within);
            }
        }
        let share = |from: u64, to: u64| {
            let within = self.sent.iter().filter(|(now, _)| (from..to).contains(now));
            let within: Vec<usize> = within.map(|(_, index)| *index).collect();
            let returned = within.iter().filter(|index| **index < RETURNED).count();
            returned as f64 / within.len().max(1) as f64
        };
        let due = CARRIED * RETURNED as f64 / ENDPOINTS as f64;
        let interval = SHARE_INTERVAL_MS as u64;
        let mut starts = (COLD_MS.1..END_MS).step_by(SHARE_INTERVAL_MS);
        let carried = starts.find(|start| share(*start, start + interval) >= due);
        Outcome {
            worst_second,
            carried_ms: carried.map_or(END_MS, |start| start + interval - COLD_MS.1) as f64,
            cold_share: share(COLD_MS.0, COLD_MS.1),
        }
    }
}
