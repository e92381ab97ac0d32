//! Placement: picks the endpoint for a request by the expected time to its first event.
//!
//! Prompt lengths vary widely and many prompts share long prefixes. A long prompt delays all
//! requests behind it, and all entries place requests by the same stale load reports. A request
//! goes to an endpoint that has its prefix cached, unless waiting there takes longer than a prefill
//! elsewhere. If no endpoint has the prefix, rendezvous hashing makes all entries prefer the same
//! one, so that concurrent requests with that prefix share one prefill.
//!
//! Endpoints of a service may differ in speed. All times of work are those at speed 1 and are divided
//! by the endpoint's speed; endpoints are drawn for comparison in proportion to their speeds.

use std::cmp::Reverse;

use super::endpoint_speed::DEFAULT_SPEED;
use crate::digest;
use crate::health::HealthStatus;
use crate::id::EndpointId;

/// Expected delay that each request at the endpoint, running or waiting, causes to a new one.
const RUNNING_REQUEST_MS: f64 = 8.0;
/// Expected delay that each request beyond the endpoint's slots causes to a new one.
const QUEUED_REQUEST_MS: f64 = 100.0;
/// Penalty for an endpoint in another data centre.
const REMOTE_PENALTY_MS: f64 = 4.0;
/// Penalty for an endpoint in its warm-up; also the wait from which a warm endpoint counts as full
/// beside cold ones.
const STARTING_PENALTY_MS: f64 = 400.0;
/// Penalty for an endpoint at which every request fails; scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 2_500.0;
/// Penalty for an endpoint that has missed its heartbeats.
const SILENT_PENALTY_MS: f64 = 2_000.0;
/// Weight of the delay that a prefill causes to each request that runs at the endpoint.
///
/// It gathers long prompts at few endpoints, away from those that serve many streams.
const INTERFERENCE_WEIGHT: f64 = 0.3;
/// Part of a prefix's prefill time by which the preferred endpoint is favoured while none has the
/// prefix cached.
const AFFINITY_WEIGHT: f64 = 0.7;

/// Minimum number of endpoints compared: two to four random ones balance nearly as well as all.
const MIN_COMPARED: usize = 3;
/// Part of the endpoints, as a divisor, that must differ in speed for the endpoints to be drawn by it.
///
/// With a few slow ones of 140, comparing more endpoints for each request had prefixes read at more of
/// them: 30 M tokens on a quiet day instead of 24 M.
const MIN_UNEVEN_DIVISOR: usize = 5;
/// Minimum number of endpoints compared where speeds differ: with three of which a third are fast, a
/// request in four would find no fast one.
const MIN_COMPARED_UNEVEN: usize = 6;
/// Failure rate from which an endpoint is ranked behind healthy ones.
const UNHEALTHY_FAILURE_RATE: f64 = 0.2;

/// Work queued at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Number of requests at the endpoint, running or waiting there.
    pub running: u32,
    /// Outstanding prefill time of the requests without a first event, in milliseconds.
    pub prefill_ms: f64,
}

/// Condition of an endpoint, apart from its load and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Past its warm-up and sending heartbeats.
    Steady,
    /// In its warm-up after a start, during which it is slow.
    Starting,
    /// Heartbeats are overdue.
    Silent,
}

/// Endpoint to choose from, as one entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub id: &'a EndpointId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Backlog of this entry's own requests.
    pub this_entry: Backlog,
    /// Backlog of all other entries' requests, as of their last reports.
    pub other_entries: Backlog,
    /// Whether it is in the entry's data centre.
    pub is_near: bool,
    /// Condition apart from load and failures.
    pub condition: Condition,
    /// Status from outlier detection.
    pub status: HealthStatus,
    /// Speed relative to the service's median endpoint.
    pub speed: f64,
    /// Recent failure rate of its requests, from zero to one.
    pub failure_rate: f64,
    /// Whether it has the prefix of the request's prompt cached.
    pub has_prefix: bool,
}

impl Candidate<'_> {
    const fn running(&self) -> u32 {
        self.this_entry.running + self.other_entries.running
    }

    /// Returns the expected wait of a new request, including penalties.
    fn wait_ms(&self) -> f64 {
        let running = self.running();
        let queued = (running + 1).saturating_sub(self.slots.max(1));
        let mut wait_ms = self.this_entry.prefill_ms + self.other_entries.prefill_ms;
        wait_ms += f64::from(running) * RUNNING_REQUEST_MS + f64::from(queued) * QUEUED_REQUEST_MS;
        wait_ms /= self.speed;
        wait_ms += self.failure_rate * FAILURE_PENALTY_MS;
        if !self.is_near {
            wait_ms += REMOTE_PENALTY_MS;
        }
        wait_ms
            + match self.condition {
                Condition::Steady => 0.0,
                Condition::Starting => STARTING_PENALTY_MS,
                Condition::Silent => SILENT_PENALTY_MS,
            }
    }

    /// Returns the prefill time of a request at this endpoint.
    fn prefill_ms(&self, work: &Work) -> f64 {
        let uncached = work.prefix.filter(|_| !self.has_prefix);
        (work.prefill_ms + uncached.map_or(0.0, |prefix| prefix.prefill_ms)) / self.speed
    }

    /// Returns the expected time until the first event of a request.
    fn expected_ms(&self, work: &Work) -> f64 {
        self.wait_ms() + self.prefill_ms(work)
    }

    /// Returns the cost of a request: its own expected time and the delay it causes to others.
    fn cost_ms(&self, work: &Work) -> f64 {
        let interference_ms =
            self.prefill_ms(work) * f64::from(self.running()) * INTERFERENCE_WEIGHT;
        self.expected_ms(work) + interference_ms
    }

    fn is_healthy(&self) -> bool {
        self.condition == Condition::Steady && self.failure_rate < UNHEALTHY_FAILURE_RATE
    }

    /// Returns whether a request is better served here than at a cold endpoint.
    ///
    /// One that is full, or where the wait is longer than the penalty of a cold one, is not.
    fn has_room(&self) -> bool {
        self.condition == Condition::Steady
            && self.is_available()
            && self.running() < self.slots
            && self.wait_ms() < STARTING_PENALTY_MS
    }

    const fn is_available(&self) -> bool {
        match self.status {
            HealthStatus::Normal => true,
            HealthStatus::Probe => self.this_entry.running == 0,
            HealthStatus::Ejected => false,
        }
    }
}

/// Prefix of a prompt that other requests share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Digest of the prefix and the model, since caches are per model.
    pub digest: u64,
    /// Prefill time of the prefix where it is not cached, in milliseconds.
    pub prefill_ms: f64,
}

/// Prompt processing that a request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prefix that other requests share.
    pub prefix: Option<SharedPrefix>,
    /// Prefill time of the rest of the prompt, in milliseconds.
    pub prefill_ms: f64,
}

/// Endpoint chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection<'a> {
    /// Name.
    pub id: &'a EndpointId,
    /// Expected time until the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether the endpoint has the prompt's prefix cached.
    pub has_prefix: bool,
}

/// Keeps the warm endpoints if one of them has room, else the cold ones if there are any, else all.
///
/// Without it, an endpoint that came back cold and idle is compared only by chance beside full ones.
pub fn keep_warm_or_cold(candidates: &mut Vec<Candidate<'_>>) {
    let is_cold = |candidate: &Candidate<'_>| candidate.condition == Condition::Starting;
    let is_usable = |candidate: &Candidate<'_>| is_cold(candidate) && candidate.is_available();
    if candidates.iter().any(Candidate::has_room) {
        candidates.retain(|candidate| !is_cold(candidate));
    } else if candidates.iter().any(is_usable) {
        candidates.retain(is_usable);
    }
}

/// Picks the endpoint with the lowest cost for a request, or `None` if there are no candidates.
///
/// `draw` is a random number that selects the endpoints to compare for prompts without a shared
/// prefix; `entries` is the number of entries that place requests concurrently.
///
/// All entries see loads as of the last exchange. If each compared all endpoints, they would all
/// pick the one that was idlest then. Each request therefore compares only a fraction of the
/// endpoints, and those that have its prefix cached.
///
/// If all candidates are ejected, the best of them is picked nevertheless: a fault that all share
/// is unlikely to be caused by the endpoints.
pub fn pick<'a>(
    candidates: &[Candidate<'a>],
    work: &Work,
    entries: usize,
    draw: u64,
) -> Option<Selection<'a>> {
    let key = work.prefix.map_or(draw, |prefix| prefix.digest);
    let usable = in_preference_order(candidates, key);
    let min_compared = if have_equal_speeds(candidates) {
        MIN_COMPARED
    } else {
        MIN_COMPARED_UNEVEN
    };
    let compared = usable.len().div_ceil(entries.max(1)).max(min_compared);
    let affinity = if usable.iter().any(|candidate| candidate.has_prefix) {
        0.0
    } else {
        work.prefix.map_or(0.0, |prefix| prefix.prefill_ms) * AFFINITY_WEIGHT
    };
    let indexed = usable.iter().enumerate();
    let eligible = indexed.filter(|(index, candidate)| *index < compared || candidate.has_prefix);
    let costs = eligible.map(|(index, candidate)| {
        let affinity = if index == 0 { affinity } else { 0.0 };
        (candidate, candidate.cost_ms(work) - affinity)
    });
    let best = costs.min_by(|a, b| a.1.total_cmp(&b.1));
    best.map(|(candidate, _)| Selection {
        id: candidate.id,
        expected_ms: candidate.expected_ms(work),
        has_prefix: candidate.has_prefix,
    })
}

/// Returns the candidates that are not ejected, or all if each is, in order of preference.
///
/// Healthy ones come first; rendezvous hashing of `key` decides among equals. Where speeds differ, an
/// endpoint comes first in proportion to its speed.
fn in_preference_order<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    key: u64,
) -> Vec<&'c Candidate<'a>> {
    let available: Vec<_> = candidates.iter().filter(|c| c.is_available()).collect();
    let mut usable = if available.is_empty() {
        candidates.iter().collect()
    } else {
        available
    };
    if have_equal_speeds(candidates) {
        usable.sort_by_cached_key(|c| (!c.is_healthy(), Reverse(rendezvous_weight(key, c.id))));
    } else {
        usable.sort_by_cached_key(|c| (!c.is_healthy(), weighted_rank(key, c)));
    }
    usable
}

/// Returns whether so many endpoints are equally fast that they are drawn without regard to speed; the
/// costs of the others still take their speeds into account.
fn have_equal_speeds(candidates: &[Candidate<'_>]) -> bool {
    let differs = |c: &&Candidate<'_>| !c.speed.total_cmp(&DEFAULT_SPEED).is_eq();
    candidates.iter().filter(differs).count() * MIN_UNEVEN_DIVISOR < candidates.len().max(1)
}

/// Returns the rank of an endpoint in weighted rendezvous hashing, lowest first.
///
/// An exponential variate divided by the weight: the lowest of several is an endpoint's with a
/// probability in proportion to its weight. Bits of non-negative numbers are in the order of the
/// numbers.
fn weighted_rank(key: u64, candidate: &Candidate<'_>) -> u64 {
    let uniform = (rendezvous_weight(key, candidate.id) as f64 + 1.0) / 2.0_f64.powi(64);
    let variate = -uniform.min(1.0).ln();
    (variate.max(0.0) / candidate.speed).to_bits()
}

/// Returns the rendezvous-hashing weight of an endpoint for a key, which is equal at every entry.
fn rendezvous_weight(key: u64, id: &EndpointId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_str().as_bytes());
    digest::short(&hasher.finalize())
}
