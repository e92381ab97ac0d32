//! Roll-out of a release that is slower, or as fast, by the real decisions: share that is rolled back,
//! and time until it is, compared with counting paces of more than 2.5 times the usual one.
//!
//! The canary's endpoints are nearly idle beside those of the release in use.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::release_evidence::EntryResults;
use papayatray_core::gateway::release_evidence::ReleaseEvidence;
use papayatray_core::gateway::release_evidence::ReleaseResults;
use papayatray_core::gateway::rollout::Rollout;
use papayatray_core::gateway::rollout::RolloutState;
use papayatray_core::gateway::rollout::Schedule;
use papayatray_core::gateway::rollout::is_completion_due;
use papayatray_core::gateway::rollout::is_roll_back_due;
use papayatray_core::gateway::slowness::PaceKind;
use papayatray_core::gateway::slowness::PaceMeter;
use papayatray_core::gateway::slowness::ResponseKind;
use papayatray_core::gateway::slowness::UsualLatencies;
use papayatray_core::gateway::slowness::UsualPaces;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use rand::Rng;
use rand::rngs::StdRng;

use super::seeded_rng;
use super::uniform;
use crate::report::Report;

/// Time limit of a roll-out; the canary starts at its half.
const LIMIT: Millis = Millis::from_secs(15);
/// Time before the order, in which entries learn what is usual.
const LEAD_MS: u64 = 10_000;
/// Exposure bound of nalon-pedidos-grown.
const EXPOSURE: f64 = 0.0975;
/// Streams in flight for each endpoint of the release in use.
const MEAN_LOAD: f64 = 11.0;
/// Time for each event at an idle endpoint, and what each other request adds: 8 ms and 14 to 37 ms by
/// load were measured on the day hasty.
const IDLE_MS: f64 = 7.7;
const LOAD_MS: f64 = 1.2;
/// Time from a result at an entry to its evaluation on the leader.
const SYNC_MS: u64 = 250;
/// Interval of evaluations on the leader.
const CHECK_MS: u64 = 100;
/// Multiple of the usual time of a grey endpoint.
const GREY_FACTOR: f64 = 4.0;
/// Part of the endpoints that are grey.
const GREY_PART: f64 = 0.3;
/// Multiple of the usual rate in a burst, and its start and end after the order.
const BURST_FACTOR: f64 = 2.5;
const BURST_MS: (u64, u64) = (9_000, 12_000);
/// Time after the order at which half of the endpoints crash, and time until they are back.
const CRASH_MS: (u64, u64) = (9_000, 12_000);
/// Milliseconds until a first event with the shared part of the prompt cached, and without.
const WARM_PREFILL_MS: f64 = 190.0;
const COLD_PREFILL_MS: f64 = 860.0;
const WARM_TOKENS: u32 = 3_720;
const COLD_TOKENS: u32 = 17_020;
/// Shared prompt parts in use.
const PREFIXES: u64 = 8;
/// Part of the streams at endpoints in use that find their part evicted.
const EVICTED_PART: f64 = 0.05;
/// Simulations of each bad release, and of each good one: 1,000 good ones in all.
const BAD_RUNS: u64 = 20;
const GOOD_RUNS: u64 = 100;

/// What happens beside the roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Quiet,
    Burst,
    Grey,
    Crash,
    Cold,
}

/// How paces are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Ratios to the usual pace, as built.
    Ratios,
    /// Counts of paces over 2.5 times the median of the same or the next higher load, and latencies
    /// over four times the average of the route.
    Multiples,
}

pub(crate) fn run(report: &mut Report) {
    let mut false_roll_backs = 0;
    let mut kept_at_three = 0;
    let mut latest_at_three = 0.0_f64;
    for (entries, rate) in [(7, 80.0), (195, 250.0)] {
        let conditions = [
            (Condition::Quiet, "quiet"),
            (Condition::Burst, "burst"),
            (Condition::Grey, "grey"),
        ];
        for slowdown in [1.0, 1.3, 1.5, 2.0, 3.0, 8.0] {
            let is_good = slowdown <= 1.0;
            let mut played = conditions.to_vec();
            if is_good {
                played.extend([(Condition::Crash, "crash"), (Condition::Cold, "cold")]);
            }
            let runs = if is_good { GOOD_RUNS } else { BAD_RUNS };
            for (condition, name) in played {
                for (rule, prefix) in [(Rule::Ratios, ""), (Rule::Multiples, "multiples_")] {
                    let scenario = Scenario {
                        entries,
                        rate,
                        condition,
                        slowdown,
                        rule,
                    };
                    let ended: Vec<f64> = (0..runs)
                        .filter_map(|seed| scenario.simulate(seed))
                        .collect();
                    let label = format!("{prefix}{name}_{slowdown}_at_{entries}");
                    let share = ended.len() as f64 / runs as f64;
                    report.add("releases", &format!("rolled_back_{label}"), share);
                    if !is_good && !ended.is_empty() {
                        let mean = ended.iter().sum::<f64>() / ended.len() as f64;
                        report.add("releases", &format!("seconds_{label}"), mean);
                    }
                    if rule == Rule::Ratios && is_good {
                        false_roll_backs += ended.len();
                    }
                    if rule == Rule::Ratios
                        && (2.5..4.0).contains(&slowdown)
                        && condition != Condition::Grey
                    {
                        kept_at_three += usize::try_from(runs).unwrap_or_default() - ended.len();
                        latest_at_three = ended.iter().copied().fold(latest_at_three, f64::max);
                    }
                }
            }
        }
    }
    // Beside grey endpoints the share is reported only: of two releases with eight endpoints each, one
    // may have most of the grey ones.
    report.add("releases", "false_roll_backs", false_roll_backs as f64);
    report.add("releases", "kept_at_3", kept_at_three as f64);
    report.add("releases", "max_seconds_at_3", latest_at_three);
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    /// Streams a second.
    rate: f64,
    condition: Condition,
    slowdown: f64,
    rule: Rule,
}

#[derive(Clone, Debug)]
struct SimulatedEndpoint {
    is_target: bool,
    is_grey: bool,
    running: u32,
    /// Shared prompt parts that are cached.
    cached: u64,
    is_crashing: bool,
}

/// What an entry knows, and the results that it has counted.
#[derive(Clone, Debug, Default)]
struct SimulatedEntry {
    usual: UsualPaces,
    latest: BTreeMap<u32, VecDeque<f64>>,
    latencies: UsualLatencies,
    results: [ReleaseResults; 2],
    has_changed: bool,
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug)]
enum Happening {
    FirstEvent { prefill_ms: f64, tokens: u32 },
    Pace { interval_ms: f64, running: u32 },
    End,
}

#[derive(Clone, Copy, Debug)]
struct Scheduled {
    entry: usize,
    endpoint: usize,
    happening: Happening,
}

impl Scenario {
    /// Simulates a roll-out; returns the seconds from the canary's start to the roll-back, or `None` if
    /// the release is completed.
    fn simulate(&self, seed: u64) -> Option<f64> {
        let mut rng = seeded_rng(seed);
        let mut endpoints = self.endpoints(&mut rng);
        let mut entries = vec![SimulatedEntry::default(); self.entries];
        let mut evidence = ReleaseEvidence::new("v2");
        let mut queue: BTreeMap<(u64, u64), Scheduled> = BTreeMap::new();
        let mut number = 0;
        // Results on their way to the leader.
        let mut in_sync: VecDeque<(u64, BTreeMap<String, EntryResults>)> = VecDeque::new();
        let schedule = Schedule::new(LIMIT, EXPOSURE);
        let rollout = Rollout {
            target: "v2".to_owned(),
            started_at: Millis::new(LEAD_MS),
            limit: LIMIT,
            state: RolloutState::Running,
        };
        for now in 0..LEAD_MS + LIMIT.as_u64() {
            let elapsed = now.saturating_sub(LEAD_MS);
            if self.condition == Condition::Crash && now == LEAD_MS + CRASH_MS.0 {
                crash_half(&mut rng, &mut endpoints, &mut queue, &mut entries);
            }
            while let Some(first) = queue.first_entry().filter(|first| first.key().0 <= now) {
                let scheduled = first.remove();
                let entry = &mut entries[scheduled.entry];
                self.happen(
                    entry,
                    &mut endpoints[scheduled.endpoint],
                    scheduled.happening,
                );
            }
            if uniform(&mut rng) < self.rate_at(elapsed, now) / 1_000.0 {
                let uses_target =
                    now >= LEAD_MS && uniform(&mut rng) < schedule.share(Millis::new(elapsed));
                let is_crashed = self.condition == Condition::Crash
                    && (CRASH_MS.0..CRASH_MS.1).contains(&elapsed);
                let started = self.start(&mut rng, &mut endpoints, uses_target, is_crashed);
                if let Some((endpoint, happenings)) = started {
                    let entry = rng.random_range(0..self.entries);
                    for (after_ms, happening) in happenings {
                        number += 1;
                        let scheduled = Scheduled {
                            entry,
                            endpoint,
                            happening,
                        };
                        queue.insert((now + after_ms, number), scheduled);
                    }
                }
            }
            if now < LEAD_MS || now % CHECK_MS != 0 {
                continue;
            }
            in_sync.push_back((now + SYNC_MS, collect(&mut entries)));
            while in_sync.front().is_some_and(|(at, _)| *at <= now) {
                let (_, results) = in_sync.pop_front()?;
                if evidence.record(results).is_some() {
                    return Some(seconds_of_canary(elapsed));
                }
            }
            let good = evidence.total().responses.good;
            let wall = Millis::new(now);
            let is_due = is_completion_due(&rollout, EXPOSURE, good, evidence.is_ample(), wall);
            if is_due && !evidence.is_suspicious() {
                return None;
            }
            if is_roll_back_due(&rollout, evidence.is_suspicious(), wall) {
                return Some(seconds_of_canary(elapsed));
            }
        }
        Some(seconds_of_canary(LIMIT.as_u64()))
    }

    fn endpoints(&self, rng: &mut StdRng) -> Vec<SimulatedEndpoint> {
        // A stream of 100 events at the mean load.
        let duration_s = 0.1 * (IDLE_MS + LOAD_MS * MEAN_LOAD);
        let count = (self.rate * duration_s / MEAN_LOAD).ceil();
        let mut endpoints = Vec::new();
        let mut left = count;
        while left > 0.0 {
            for is_target in [false, true] {
                let is_grey = self.condition == Condition::Grey && uniform(rng) < GREY_PART;
                let has_cached = !(self.condition == Condition::Cold && is_target);
                endpoints.push(SimulatedEndpoint {
                    is_target,
                    is_grey,
                    running: 0,
                    cached: if has_cached { u64::MAX } else { 0 },
                    is_crashing: false,
                });
            }
            left -= 1.0;
        }
        endpoints
    }

    fn rate_at(&self, elapsed: u64, now: u64) -> f64 {
        let is_burst = self.condition == Condition::Burst
            && now >= LEAD_MS
            && (BURST_MS.0..BURST_MS.1).contains(&elapsed);
        self.rate * if is_burst { BURST_FACTOR } else { 1.0 }
    }

    /// Places a stream at the less loaded of two endpoints; returns the endpoint, and what happens
    /// after how many milliseconds.
    fn start(
        &self,
        rng: &mut StdRng,
        endpoints: &mut [SimulatedEndpoint],
        uses_target: bool,
        is_crashed: bool,
    ) -> Option<(usize, [(u64, Happening); 3])> {
        let up: Vec<usize> = (0..endpoints.len())
            .filter(|index| {
                let endpoint = &endpoints[*index];
                endpoint.is_target == uses_target && !(is_crashed && endpoint.is_crashing)
            })
            .collect();
        if up.is_empty() {
            return None;
        }
        let [one, other] = [0, 1].map(|_| up[rng.random_range(0..up.len())]);
        let index = if endpoints[one].running <= endpoints[other].running {
            one
        } else {
            other
        };
        let endpoint = &mut endpoints[index];
        endpoint.running += 1;
        let slowdown = if uses_target { self.slowdown } else { 1.0 };
        let grey = if endpoint.is_grey { GREY_FACTOR } else { 1.0 };
        let noise = (0.3 * (uniform(rng) + uniform(rng) + uniform(rng) - 1.5)).exp();
        let loaded_ms = IDLE_MS + LOAD_MS * f64::from(endpoint.running - 1);
        let interval_ms = loaded_ms * slowdown * grey * noise;
        let prefix = 1 << rng.random_range(0..PREFIXES);
        let is_warm = endpoint.cached & prefix != 0 && uniform(rng) >= EVICTED_PART;
        endpoint.cached |= prefix;
        let (read_ms, tokens) = if is_warm {
            (WARM_PREFILL_MS, WARM_TOKENS)
        } else {
            (COLD_PREFILL_MS, COLD_TOKENS)
        };
        let prefill_ms = read_ms * slowdown * grey * (0.7 + 0.6 * uniform(rng))
            + 8.0 * f64::from(endpoint.running - 1);
        let events = 60.0 + 80.0 * uniform(rng);
        let running = endpoint.running;
        let after = |intervals: f64| round(prefill_ms + interval_ms * intervals);
        Some((
            index,
            [
                (after(0.0), Happening::FirstEvent { prefill_ms, tokens }),
                (
                    after(10.0),
                    Happening::Pace {
                        interval_ms,
                        running,
                    },
                ),
                (after(events), Happening::End),
            ],
        ))
    }

    fn happen(
        &self,
        entry: &mut SimulatedEntry,
        endpoint: &mut SimulatedEndpoint,
        happening: Happening,
    ) {
        let release = usize::from(endpoint.is_target);
        entry.has_changed = true;
        match happening {
            Happening::End => endpoint.running = endpoint.running.saturating_sub(1),
            Happening::FirstEvent { prefill_ms, tokens } => {
                let kind = ResponseKind {
                    route: "draft".to_owned(),
                    size_index: 0,
                    prefill_class: 0,
                };
                let kind = match self.rule {
                    Rule::Ratios => kind.with_prefill(tokens),
                    Rule::Multiples => kind,
                };
                let is_slow = entry.latencies.is_slow(&kind, prefill_ms, 250.0);
                if !endpoint.is_target {
                    entry.latencies.add(kind, prefill_ms);
                }
                entry.results[release].responses.count(!is_slow);
            }
            Happening::Pace {
                interval_ms,
                running,
            } => self.count_pace(entry, endpoint.is_target, interval_ms, running),
        }
    }

    fn count_pace(
        &self,
        entry: &mut SimulatedEntry,
        is_target: bool,
        interval_ms: f64,
        running: u32,
    ) {
        let service: ServiceId = "llm".parse().expect("a name");
        let kind = PaceKind::new(service, 0, running);
        let load_class = running.max(1).ilog2();
        let usual = match self.rule {
            Rule::Ratios => entry.usual.usual(&kind),
            Rule::Multiples => {
                let mut known = entry.latest.range(load_class..);
                known.find(|(_, paces)| paces.len() >= 5).map(|(_, paces)| {
                    let mut sorted: Vec<f64> = paces.iter().copied().collect();
                    sorted.sort_by(f64::total_cmp);
                    sorted[sorted.len() / 2]
                })
            }
        };
        let mut meter = PaceMeter::default();
        let pace = (0..=10).find_map(|event| {
            let now = Millis::new(round(interval_ms * f64::from(event)));
            meter.record_event(usual, now)
        });
        let Some(pace) = pace else { return };
        if !is_target {
            match self.rule {
                Rule::Ratios => entry.usual.add(kind, pace.interval_ms),
                Rule::Multiples => {
                    let paces = entry.latest.entry(load_class).or_default();
                    paces.push_back(pace.interval_ms);
                    if paces.len() > 15 {
                        paces.pop_front();
                    }
                }
            }
        }
        let results = &mut entry.results[usize::from(is_target)];
        if let Some(is_slow) = pace.is_slow {
            results.paces.count(!is_slow);
        }
        if let (Rule::Ratios, Some(ratio)) = (self.rule, pace.ratio) {
            results.ratios.count(ratio);
        }
    }
}

/// Crashes half of the endpoints: their streams fail.
fn crash_half(
    rng: &mut StdRng,
    endpoints: &mut [SimulatedEndpoint],
    queue: &mut BTreeMap<(u64, u64), Scheduled>,
    entries: &mut [SimulatedEntry],
) {
    for endpoint in endpoints.iter_mut() {
        endpoint.is_crashing = uniform(rng) < 0.5;
        if endpoint.is_crashing {
            endpoint.running = 0;
        }
    }
    queue.retain(|_, scheduled| {
        let endpoint = &endpoints[scheduled.endpoint];
        let entry = &mut entries[scheduled.entry];
        if endpoint.is_crashing && matches!(scheduled.happening, Happening::End) {
            entry.has_changed = true;
            let release = usize::from(endpoint.is_target);
            entry.results[release].responses.count(false);
        }
        !endpoint.is_crashing
    });
}

/// Returns the results of the entries that have counted any since the last call.
fn collect(entries: &mut [SimulatedEntry]) -> BTreeMap<String, EntryResults> {
    let mut all: BTreeMap<String, EntryResults> = BTreeMap::new();
    for (index, entry) in entries.iter_mut().enumerate() {
        if !std::mem::take(&mut entry.has_changed) {
            continue;
        }
        let vm: VmId = format!("vm-{index}").parse().expect("a name");
        for (release, results) in ["v1", "v2"].into_iter().zip(entry.results.clone()) {
            let entries = all.entry(release.to_owned()).or_default();
            entries.insert((vm.clone(), Incarnation(1)), results);
        }
    }
    all
}

fn seconds_of_canary(elapsed: u64) -> f64 {
    (elapsed as f64 - LIMIT.as_u64() as f64 / 2.0) / 1_000.0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and short"
)]
fn round(millis: f64) -> u64 {
    millis.round() as u64
}
