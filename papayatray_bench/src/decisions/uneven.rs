//! Uneven endpoints: placement by learned speeds, compared with placement that takes all endpoints as
//! equally fast, with perfect knowledge and with random placement.
//!
//! Each endpoint alternates between a chunk of the first prompt in its queue and a token for each
//! running request. Demand comes in waves in three data centres, and a third of the requests of one kind
//! share a key. Entries see loads and cached prefixes as of the last exchange; estimates of the prefill
//! speed are shared by all entries, which is simpler than in a deployment.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::endpoint_speed::DEFAULT_SPEED;
use papayatray_core::gateway::endpoint_speed::GapMeter;
use papayatray_core::gateway::endpoint_speed::GapSums;
use papayatray_core::gateway::endpoint_speed::KnownSpeeds;
use papayatray_core::gateway::endpoint_speed::SpeedTable;
use papayatray_core::gateway::placement;
use papayatray_core::gateway::placement::Backlog;
use papayatray_core::gateway::placement::Candidate;
use papayatray_core::gateway::placement::Condition;
use papayatray_core::gateway::placement::SharedPrefix;
use papayatray_core::gateway::placement::Work;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::prefix_directory::PrefixDirectory;
use papayatray_core::gateway::speed::PrefillSpeed;
use papayatray_core::health::HealthStatus;
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
use crate::report::percentile;

const ENDPOINTS: usize = 90;
const DATA_CENTRES: usize = 3;
const SLOTS: u32 = 64;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// An endpoint is slower by this factor for half a second, 15% of the time.
const PAUSE_FACTOR: f64 = 2.5;
const PAUSE_MS: f64 = 500.0;
const PAUSE_INTERVAL_MS: f64 = 2_833.0;
/// Time for a token by model, smallest first, at speed 1.
const STEP_MS: [f64; 3] = [1.5, 5.0, 15.0];
/// Time that each running request adds to a token.
const STEP_REQUEST_MS: f64 = 0.05;
/// Tokens of a prompt that the models read in a millisecond.
const TOKENS_PER_MS: [f64; 3] = [200.0, 60.0, 20.0];
const CHUNK_TOKENS: f64 = 2_048.0;
const EVENT_TOKENS: u32 = 4;
const MEAN_RESPONSE_TOKENS: f64 = 120.0;
/// Prefixes of prompts that an endpoint keeps.
const CACHED_PREFIXES: usize = 24;
/// Shared prefixes of each kind of request.
const KEYS: u32 = 60;
/// Amplitude of the waves of demand in a data centre, and their period.
const WAVE: f64 = 0.55;
const WAVE_MS: f64 = 8_000.0;
/// Time between two exchanges of loads.
const EXCHANGE_MS: u64 = 200;
const WARM_UP_MS: f64 = 6_000.0;
/// Requests that arrive later are not counted; most of the others end before the simulation does.
const COUNTED_UNTIL_MS: f64 = 14_000.0;
const END_MS: f64 = 20_000.0;
const BYTES_PER_TOKEN: f64 = 4.0;
const PAUSE_OBJECTIVE_MS: f64 = 1_000.0;

/// Kind of request: tokens of the shared and of the other part, requests a second, objective.
const KINDS: [(u32, u32, f64, f64); 3] = [
    (13_300, 3_720, 79.0, 3_000.0),
    (6_300, 2_890, 67.0, 2_000.0),
    (350, 1_110, 173.0, 1_500.0),
];
/// Kind of which a third of the requests have the same key.
const HOT_KIND: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Learned,
    EqualSpeeds,
    Perfect,
    Random,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    kind: usize,
    size: usize,
    arrived_at: f64,
    /// Tokens of the prompt that are to be read.
    prefill_left: f64,
    /// Prefill that its entry counts as outstanding.
    counted_ms: f64,
    prefill_tokens: u32,
    response_left: u32,
    event_tokens: u32,
    last_event: f64,
    first_ms: Option<f64>,
    longest_pause: f64,
    gaps: GapMeter,
}

struct Endpoint {
    id: EndpointId,
    speed: f64,
    paused_until: f64,
    next_pause: f64,
    reading: VecDeque<Request>,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    cache: VecDeque<u64>,
    is_busy: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    running: u32,
    prefill_ms: f64,
}

#[derive(Default)]
struct Outcome {
    on_time: f64,
    count: f64,
    firsts: Vec<f64>,
    pauses: Vec<f64>,
    reread_tokens: f64,
    shared_tokens: f64,
    remote_bytes: f64,
}

struct Simulation {
    policy: Policy,
    entries: usize,
    rng: StdRng,
    service: ServiceId,
    endpoints: Vec<Endpoint>,
    /// Load of each entry's requests, now and as of the last exchange.
    own: Vec<BTreeMap<usize, Counted>>,
    own_reported: Vec<BTreeMap<usize, Counted>>,
    total: Vec<Counted>,
    directory: PrefixDirectory,
    new_prefixes: Vec<(usize, CachedPrefix)>,
    prefill: PrefillSpeed,
    gaps: GapSums,
    table: SpeedTable,
    known: KnownSpeeds,
    outcome: Outcome,
}

pub(super) fn run(report: &mut Report) {
    for (load, label) in [(0.5, "50"), (0.8, "80"), (0.95, "95")] {
        let perfect = simulate_seeds(Policy::Perfect, 84, load);
        let best = perfect.on_time_share();
        add_outcome(report, &format!("perfect_{label}"), perfect);
        let random = simulate_seeds(Policy::Random, 84, load);
        add_outcome(report, &format!("random_{label}"), random);
        for entries in [7, 65, 84, 195, 860] {
            let equal = simulate_seeds(Policy::EqualSpeeds, entries, load);
            add_outcome(report, &format!("equal_{label}_at_{entries}"), equal);
            let learned = simulate_seeds(Policy::Learned, entries, load);
            let difference = best - learned.on_time_share();
            add_outcome(report, &format!("learned_{label}_at_{entries}"), learned);
            report.add(
                "uneven",
                &format!("on_time_below_perfect_{label}_at_{entries}"),
                difference,
            );
        }
    }
}

fn add_outcome(report: &mut Report, name: &str, mut outcome: Outcome) {
    let mut add = |measure: &str, value| report.add("uneven", &format!("{measure}_{name}"), value);
    add("on_time", outcome.on_time_share());
    add("first_p50_ms", percentile(&mut outcome.firsts, 0.5));
    add("first_p99_ms", percentile(&mut outcome.firsts, 0.99));
    add("pause_p50_ms", percentile(&mut outcome.pauses, 0.5));
    add("pause_p99_ms", percentile(&mut outcome.pauses, 0.99));
    add("reread", outcome.reread_tokens / outcome.shared_tokens);
    add("remote_bytes", outcome.remote_bytes / outcome.count);
}

impl Outcome {
    fn on_time_share(&self) -> f64 {
        self.on_time / self.count
    }
}

fn simulate_seeds(policy: Policy, entries: usize, load: f64) -> Outcome {
    let mut sum = Outcome::default();
    std::thread::scope(|scope| {
        // Two at a time, as other work runs beside a benchmark.
        for seeds in (0..SEEDS).collect::<Vec<_>>().chunks(2) {
            let running = seeds.iter().map(|seed| {
                let seed = *seed;
                scope.spawn(move || Simulation::new(policy, entries, seed).run(load))
            });
            for handle in running.collect::<Vec<_>>() {
                let outcome = handle.join().expect("a simulation does not panic");
                sum.on_time += outcome.on_time;
                sum.count += outcome.count;
                sum.firsts.extend(outcome.firsts);
                sum.pauses.extend(outcome.pauses);
                sum.reread_tokens += outcome.reread_tokens;
                sum.shared_tokens += outcome.shared_tokens;
                sum.remote_bytes += outcome.remote_bytes;
            }
        }
    });
    sum
}

/// Returns the multiple of the demand of the repair desk that is a load of 1: prompts of which a tenth of
/// the shared part is read again, and tokens in groups of eight.
fn demand_scale() -> f64 {
    let work = KINDS.iter().map(|(shared, own, per_second, _)| {
        let read = f64::from(*own) + f64::from(*shared) / 10.0;
        let of_model =
            |size: usize| read / TOKENS_PER_MS[size] + MEAN_RESPONSE_TOKENS * STEP_MS[size] / 8.0;
        f64::midpoint(of_model(0), of_model(2)) * per_second / 1_000.0
    });
    let slowed = 1.0 / (0.85 + 0.15 / PAUSE_FACTOR);
    let capacity: f64 = (0..ENDPOINTS).map(|n| SPEEDS[n % 3]).sum();
    capacity / (work.sum::<f64>() * slowed)
}

impl Simulation {
    fn new(policy: Policy, entries: usize, seed: u64) -> Self {
        let mut rng = seeded_rng(seed);
        let endpoints = (0..ENDPOINTS).map(|number| Endpoint {
            id: EndpointId::new(format!("e-{number}")).expect("a name"),
            speed: SPEEDS[number % 3],
            paused_until: 0.0,
            next_pause: exponential(&mut rng, PAUSE_INTERVAL_MS),
            reading: VecDeque::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            is_busy: false,
        });
        Self {
            endpoints: endpoints.collect(),
            rng,
            policy,
            entries,
            service: ServiceId::new("llm").expect("a name"),
            own: vec![BTreeMap::new(); entries],
            own_reported: vec![BTreeMap::new(); entries],
            total: vec![Counted::default(); ENDPOINTS],
            directory: PrefixDirectory::default(),
            new_prefixes: Vec::new(),
            prefill: PrefillSpeed::default(),
            gaps: GapSums::default(),
            table: SpeedTable::default(),
            known: KnownSpeeds::default(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, load: f64) -> Outcome {
        let scale = load * demand_scale();
        let rate: f64 = KINDS.iter().map(|kind| kind.2).sum::<f64>() * scale / 1_000.0;
        let mut next_arrival = exponential(&mut self.rng, 1.0 / rate);
        let mut next_exchange = EXCHANGE_MS as f64;
        // Ends of the endpoints' cycles, in microseconds.
        let mut cycles: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        loop {
            let cycle_end = cycles
                .peek()
                .map_or(f64::MAX, |Reverse((at, _))| *at as f64 / 1e3);
            let now = next_arrival.min(next_exchange).min(cycle_end);
            if now > END_MS {
                self.record_unfinished();
                return self.outcome;
            }
            if now >= next_exchange {
                self.exchange(millis(now));
                next_exchange += EXCHANGE_MS as f64;
            } else if now >= next_arrival {
                let index = self.arrive(now);
                if !self.endpoints[index].is_busy {
                    self.start_cycle(index, now, &mut cycles);
                }
                next_arrival = now + exponential(&mut self.rng, 1.0 / rate);
            } else {
                let Some(Reverse((_, index))) = cycles.pop() else {
                    return self.outcome;
                };
                self.end_cycle(index, now);
                self.start_cycle(index, now, &mut cycles);
            }
        }
    }

    fn exchange(&mut self, now: Millis) {
        self.total = vec![Counted::default(); ENDPOINTS];
        for own in &self.own {
            for (index, counted) in own {
                self.total[*index].running += counted.running;
                self.total[*index].prefill_ms += counted.prefill_ms;
            }
        }
        self.own_reported.clone_from(&self.own);
        for (_, prefix) in self.new_prefixes.drain(..) {
            self.directory.record(&prefix, now);
        }
        for sum in self.gaps.take() {
            self.table.record(&self.service, &sum, now);
        }
        self.table.evaluate(now);
        self.known.apply(&self.table.updates_after(0), now);
    }

    /// Places a new request; returns the index of the endpoint.
    fn arrive(&mut self, now: f64) -> usize {
        let total: f64 = KINDS.iter().map(|kind| kind.2).sum();
        let mut draw = uniform(&mut self.rng) * total;
        let mut kind = 0;
        while kind + 1 < KINDS.len() && draw >= KINDS[kind].2 {
            draw -= KINDS[kind].2;
            kind += 1;
        }
        let size = if self.rng.random::<bool>() { 2 } else { 0 };
        let is_hot = kind == HOT_KIND && self.rng.random_range(0..3) == 0;
        let key = if is_hot {
            0
        } else {
            self.rng.random_range(1..KEYS)
        };
        let data_centre = self.data_centre(now);
        let per_centre = self.entries.div_ceil(DATA_CENTRES);
        let entry = data_centre + DATA_CENTRES * self.rng.random_range(0..per_centre);
        let entry = entry.min(self.entries - 1);
        let (shared, own, _, _) = KINDS[kind];
        let digest = (kind as u64) << 40 | u64::from(key) << 8 | size as u64;
        let index = self.choose(entry, kind, size, digest, now);
        let endpoint = &mut self.endpoints[index];
        let is_cached = endpoint.cache.contains(&digest);
        endpoint.cache.retain(|cached| *cached != digest);
        endpoint.cache.push_back(digest);
        if endpoint.cache.len() > CACHED_PREFIXES {
            endpoint.cache.pop_front();
        }
        let tokens = own + if is_cached { 0 } else { shared };
        if (WARM_UP_MS..=COUNTED_UNTIL_MS).contains(&now) {
            self.outcome.shared_tokens += f64::from(shared);
            self.outcome.reread_tokens += if is_cached { 0.0 } else { f64::from(shared) };
            if index % DATA_CENTRES != entry % DATA_CENTRES {
                self.outcome.remote_bytes += f64::from(own + shared) * BYTES_PER_TOKEN;
            }
        }
        let counted_ms = self.prefill.prefill_ms(&self.service, size, tokens);
        let counted = self.own[entry].entry(index).or_default();
        counted.running += 1;
        counted.prefill_ms += counted_ms;
        let prefix = CachedPrefix {
            digest,
            endpoint: endpoint.id.clone(),
        };
        self.new_prefixes.push((entry, prefix));
        let response = exponential(&mut self.rng, MEAN_RESPONSE_TOKENS).clamp(8.0, 1_000.0);
        let request = Request {
            entry,
            kind,
            size,
            arrived_at: now,
            prefill_left: f64::from(tokens),
            counted_ms,
            prefill_tokens: tokens,
            response_left: u32::try_from(millis(response).as_u64()).unwrap_or(1),
            event_tokens: 0,
            last_event: now,
            first_ms: None,
            longest_pause: 0.0,
            gaps: GapMeter::default(),
        };
        self.endpoints[index].waiting.push_back(request);
        index
    }

    /// Draws the data centre of a caller; demand comes in waves, out of phase.
    fn data_centre(&mut self, now: f64) -> usize {
        let wave = |n: usize| {
            let phase = now / WAVE_MS + n as f64 / DATA_CENTRES as f64;
            1.0 + WAVE * (phase * std::f64::consts::TAU).sin()
        };
        let mut draw = uniform(&mut self.rng) * (0..DATA_CENTRES).map(wave).sum::<f64>();
        for n in 0..DATA_CENTRES - 1 {
            if draw < wave(n) {
                return n;
            }
            draw -= wave(n);
        }
        DATA_CENTRES - 1
    }

    fn choose(&mut self, entry: usize, kind: usize, size: usize, digest: u64, now: f64) -> usize {
        let draw: u64 = self.rng.random();
        let (shared, own, _, _) = KINDS[kind];
        match self.policy {
            Policy::Random => self.rng.random_range(0..ENDPOINTS),
            Policy::Perfect => {
                let costs = self.endpoints.iter().map(|endpoint| {
                    let is_cached = endpoint.cache.contains(&digest);
                    let tokens = own + if is_cached { 0 } else { shared };
                    endpoint.first_event_ms(f64::from(tokens) / TOKENS_PER_MS[size])
                });
                let best = costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
                best.map_or(0, |(index, _)| index)
            }
            Policy::Learned | Policy::EqualSpeeds => {
                self.pick(entry, (size, shared, own), digest, draw, millis(now))
            }
        }
    }

    fn pick(
        &self,
        entry: usize,
        (size, shared, own): (usize, u32, u32),
        digest: u64,
        draw: u64,
        now: Millis,
    ) -> usize {
        let candidates = self.endpoints.iter().enumerate().map(|(index, endpoint)| {
            let this_entry = self.own[entry].get(&index).copied().unwrap_or_default();
            let reported = self.own_reported[entry].get(&index).copied();
            let reported = reported.unwrap_or_default();
            let others = self.total[index];
            Candidate {
                id: &endpoint.id,
                slots: SLOTS,
                this_entry: Backlog {
                    running: this_entry.running,
                    prefill_ms: this_entry.prefill_ms,
                },
                other_entries: Backlog {
                    running: others.running.saturating_sub(reported.running),
                    prefill_ms: (others.prefill_ms - reported.prefill_ms).max(0.0),
                },
                is_near: index % DATA_CENTRES == entry % DATA_CENTRES,
                condition: Condition::Steady,
                status: HealthStatus::Normal,
                speed: self.speed(index, now),
                failure_rate: 0.0,
                has_prefix: self.directory.has_prefix(digest, &endpoint.id, now)
                    || self.new_prefixes.iter().any(|(by, prefix)| {
                        *by == entry && prefix.digest == digest && prefix.endpoint == endpoint.id
                    }),
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let prefill_ms = |tokens| self.prefill.prefill_ms(&self.service, size, tokens);
        let work = Work {
            prefix: Some(SharedPrefix {
                digest,
                prefill_ms: prefill_ms(shared),
            }),
            prefill_ms: prefill_ms(own),
        };
        let selection = placement::pick(&candidates, &work, self.entries, draw);
        let id = selection.map(|selection| selection.id);
        let index = self.endpoints.iter().position(|e| Some(&e.id) == id);
        index.expect("there are endpoints")
    }

    fn speed(&self, index: usize, now: Millis) -> f64 {
        if self.policy == Policy::Learned {
            let id = &self.endpoints[index].id;
            self.known.speed(id, Incarnation(1), now)
        } else {
            DEFAULT_SPEED
        }
    }

    fn start_cycle(
        &mut self,
        index: usize,
        now: f64,
        cycles: &mut BinaryHeap<Reverse<(u64, usize)>>,
    ) {
        let endpoint = &mut self.endpoints[index];
        while endpoint.reading.len() + endpoint.running.len() < SLOTS as usize
            && let Some(request) = endpoint.waiting.pop_front()
        {
            endpoint.reading.push_back(request);
        }
        while now >= endpoint.next_pause {
            endpoint.paused_until = endpoint.next_pause + PAUSE_MS;
            endpoint.next_pause =
                endpoint.paused_until + exponential(&mut self.rng, PAUSE_INTERVAL_MS);
        }
        endpoint.is_busy = !(endpoint.reading.is_empty() && endpoint.running.is_empty());
        if !endpoint.is_busy {
            return;
        }
        let pause = if now < endpoint.paused_until {
            PAUSE_FACTOR
        } else {
            1.0
        };
        let took = endpoint.cycle_ms() * pause / endpoint.speed;
        let end = millis((now + took) * 1e3).as_u64() + 1;
        cycles.push(Reverse((end, index)));
    }

    fn end_cycle(&mut self, index: usize, now: f64) {
        let endpoint = &mut self.endpoints[index];
        let tokens = endpoint.cycle_tokens();
        let running_count = endpoint.running.len() + endpoint.reading.len();
        let mut ended = Vec::new();
        let mut events = Vec::new();
        for request in &mut endpoint.running {
            let made = tokens.min(request.response_left);
            request.response_left -= made;
            request.event_tokens += made;
            if request.event_tokens >= EVENT_TOKENS || request.response_left == 0 {
                request.event_tokens = 0;
                request.longest_pause = request.longest_pause.max(now - request.last_event);
                request.last_event = now;
                if let Some(gap_ms) = request.gaps.record_event(millis(now)) {
                    events.push((request.size, gap_ms));
                }
            }
        }
        let mut index_in_running = 0;
        while index_in_running < endpoint.running.len() {
            if endpoint.running[index_in_running].response_left == 0 {
                ended.push(endpoint.running.swap_remove(index_in_running));
            } else {
                index_in_running += 1;
            }
        }
        let id = endpoint.id.clone();
        if let Some(request) = endpoint.reading.front_mut() {
            request.prefill_left -= CHUNK_TOKENS;
            if request.prefill_left <= 0.0
                && let Some(mut request) = endpoint.reading.pop_front()
            {
                request.first_ms = Some(now - request.arrived_at);
                request.last_event = now;
                request.gaps.record_event(millis(now));
                let counted = self.own[request.entry].entry(index).or_default();
                counted.prefill_ms = (counted.prefill_ms - request.counted_ms).max(0.0);
                let latency = now - request.arrived_at;
                endpoint.running.push(request.clone());
                let speed = self.speed(index, millis(now));
                self.prefill.learn(
                    &self.service,
                    request.size,
                    request.prefill_tokens,
                    millis(latency * speed),
                );
            }
        }
        let running = u32::try_from(running_count).unwrap_or(u32::MAX);
        for (size, gap_ms) in events {
            self.gaps.add(&id, Incarnation(1), size, running, gap_ms);
        }
        for request in ended {
            let counted = self.own[request.entry].entry(index).or_default();
            counted.running = counted.running.saturating_sub(1);
            self.record(&request);
        }
    }

    fn record_unfinished(&mut self) {
        for index in 0..ENDPOINTS {
            let endpoint = &mut self.endpoints[index];
            let queued = endpoint.reading.drain(..).chain(endpoint.waiting.drain(..));
            let unfinished: Vec<_> = queued.chain(endpoint.running.drain(..)).collect();
            for request in unfinished {
                self.record(&request);
            }
        }
    }

    fn record(&mut self, request: &Request) {
        if request.arrived_at < WARM_UP_MS || request.arrived_at > COUNTED_UNTIL_MS {
            return;
        }
        let first_ms = request.first_ms.unwrap_or(END_MS - request.arrived_at);
        let objective = KINDS[request.kind].3;
        let is_on_time = first_ms <= objective && request.longest_pause <= PAUSE_OBJECTIVE_MS;
        self.outcome.on_time += f64::from(u8::from(is_on_time));
        self.outcome.count += 1.0;
        self.outcome.firsts.push(first_ms);
        self.outcome.pauses.push(request.longest_pause);
    }
}

impl Endpoint {
    /// Returns the time of a token for each running request, at speed 1.
    fn step_ms(&self) -> f64 {
        let models = (0..STEP_MS.len()).filter(|size| self.running.iter().any(|r| r.size == *size));
        let base: f64 = models.map(|size| STEP_MS[size]).sum();
        base + self.running.len() as f64 * STEP_REQUEST_MS
    }

    /// Returns the number of tokens that each running request gets in a cycle.
    fn cycle_tokens(&self) -> u32 {
        if self.reading.is_empty() {
            EVENT_TOKENS
        } else {
            1
        }
    }

    fn cycle_ms(&self) -> f64 {
        let chunk = self.reading.front().map_or(0.0, |request| {
            request.prefill_left.min(CHUNK_TOKENS) / TOKENS_PER_MS[request.size]
        });
        chunk + self.step_ms() * f64::from(self.cycle_tokens())
    }

    /// Returns the time to the first event of a request with `prefill_ms`, at the endpoint's speed.
    fn first_event_ms(&self, prefill_ms: f64) -> f64 {
        let queued = self.reading.iter().chain(&self.waiting);
        let step_ms = self.step_ms();
        let work = |ms: f64, tokens: f64| ms + (tokens / CHUNK_TOKENS).ceil() * step_ms;
        let ahead: f64 = queued
            .map(|r| work(r.prefill_left / TOKENS_PER_MS[r.size], r.prefill_left))
            .sum();
        (ahead + prefill_ms + step_ms) / self.speed
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a simulation are small and not negative"
)]
fn millis(time: f64) -> Millis {
    Millis::new(time.round() as u64)
}
