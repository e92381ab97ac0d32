//! Placement: which endpoint gets a request, by the expected time to its first event.
//!
//! Load it answers: prompts of very unlike length that share long prefixes, so that one long
//! prompt holds up all behind it, while many entries see the same lagging counts. Requests with a
//! common prefix go where it is known to be kept, as long as the wait there is not longer than
//! reading it anew elsewhere. Where it is kept nowhere, all entries lean to the same endpoint, so
//! that those who ask at the same moment meet there.

use std::cmp::Reverse;

use crate::digest;
use crate::health::HealthStatus;
use crate::id::EndpointId;

/// Milliseconds that a request which runs beside costs a new one.
const BESIDE: f64 = 8.0;
/// Milliseconds that each request beyond the slots costs a new one.
const BEYOND_SLOTS: f64 = 100.0;
/// Milliseconds that another data centre counts for.
const FAR: f64 = 4.0;
/// Milliseconds that an endpoint still warming up counts for.
const COLD: f64 = 400.0;
/// Milliseconds that an endpoint whose every request fails counts for.
const FAILING: f64 = 2_500.0;
/// Milliseconds that an endpoint which has not been heard of lately counts for.
const SILENT: f64 = 2_000.0;
/// Weight of the time by which reading a prompt delays each request that runs beside it.
///
/// It keeps long prompts together, away from endpoints where many streams are on their way.
const HARM: f64 = 0.3;
/// Part of reading a prefix by which entries lean to the same endpoint while none keeps it.
const LEAN: f64 = 0.7;

/// Fewest endpoints among which waits are compared: two to four random ones balance nearly as well
/// as all.
const COMPARED_LEAST: usize = 3;
/// Share of failures from which an endpoint is compared only after sound ones.
const FAILING_SHARE: f64 = 0.2;

/// Work that requests still have to do at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Requests that run or wait.
    pub running: u32,
    /// Milliseconds of reading prompts that are still ahead of the first events.
    pub reading: f64,
}

/// What is known of an endpoint beside its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing that speaks against it.
    Steady,
    /// It is still slow after its start.
    Starting,
    /// It has missed its heartbeats.
    Silent,
}

/// Endpoint that may be picked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub id: &'a EndpointId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Work of this entry's own requests.
    pub own: Backlog,
    /// Work of other entries' requests when they last told.
    pub others: Backlog,
    /// Whether it stands in the entry's data centre.
    pub is_near: bool,
    /// What is known of it beside its work.
    pub condition: Condition,
    /// Standing by its health.
    pub standing: HealthStatus,
    /// Share of its requests that failed lately.
    pub failures: f64,
    /// Whether it keeps the prefix of the request's prompt.
    pub has_prefix: bool,
}

impl Candidate<'_> {
    const fn running(&self) -> u32 {
        self.own.running + self.others.running
    }

    /// Returns the milliseconds that a new request is likely to wait.
    fn wait(&self) -> f64 {
        let running = self.running();
        let beyond = (running + 1).saturating_sub(self.slots.max(1));
        let mut wait = self.own.reading + self.others.reading;
        wait += f64::from(running) * BESIDE + f64::from(beyond) * BEYOND_SLOTS;
        wait += self.failures * FAILING;
        if !self.is_near {
            wait += FAR;
        }
        wait + match self.condition {
            Condition::Steady => 0.0,
            Condition::Starting => COLD,
            Condition::Silent => SILENT,
        }
    }

    /// Returns the milliseconds of reading that a request brings.
    fn reading(&self, work: &Work) -> f64 {
        let anew = work.prefix.filter(|_| !self.has_prefix);
        work.reading + anew.map_or(0.0, |prefix| prefix.reading)
    }

    /// Returns the milliseconds until the first event of a request is expected.
    fn expected(&self, work: &Work) -> f64 {
        self.wait() + self.reading(work)
    }

    /// Returns what a request costs here: its own time, and that of the requests beside it.
    fn cost(&self, work: &Work) -> f64 {
        let harm = self.reading(work) * f64::from(self.running()) * HARM;
        self.expected(work) + harm
    }

    /// Tells whether nothing speaks against the endpoint but its work.
    fn is_sound(&self) -> bool {
        self.condition == Condition::Steady && self.failures < FAILING_SHARE
    }

    const fn is_open(&self) -> bool {
        match self.standing {
            HealthStatus::Normal => true,
            HealthStatus::Probe => self.own.running == 0,
            HealthStatus::Ejected => false,
        }
    }
}

/// Prefix of a prompt that other requests share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Digest of the prefix, together with the model that reads it.
    pub digest: u64,
    /// Milliseconds of reading it anew.
    pub reading: f64,
}

/// Work that a request brings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prefix that other requests share.
    pub prefix: Option<SharedPrefix>,
    /// Milliseconds of reading the request's own part.
    pub reading: f64,
}

/// Endpoint that was picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection<'a> {
    /// Name.
    pub id: &'a EndpointId,
    /// Milliseconds until the first event is expected.
    pub expected: f64,
    /// Whether the endpoint keeps the prefix of the prompt.
    pub has_prefix: bool,
}

/// Picks an endpoint; `draw` breaks ties, `entries` tells how many place requests at once.
///
/// All entries work by counts that are as old as the last exchange. Were each to compare all
/// endpoints, they would all send to the one that looked idlest then; so each request compares its
/// share of them only, and those that keep its prefix.
///
/// Where all candidates are set aside, the best of them is picked: a fault that all share is not
/// theirs.
pub fn pick<'a>(
    candidates: &[Candidate<'a>],
    work: &Work,
    entries: usize,
    draw: u64,
) -> Option<Selection<'a>> {
    let key = work.prefix.map_or(draw, |prefix| prefix.digest);
    let usable = in_order(candidates, key);
    let compared = usable.len().div_ceil(entries.max(1)).max(COMPARED_LEAST);
    let lean = if usable.iter().any(|candidate| candidate.has_prefix) {
        0.0
    } else {
        work.prefix.map_or(0.0, |prefix| prefix.reading) * LEAN
    };
    let places = usable.iter().enumerate();
    let near = places.filter(|(place, candidate)| *place < compared || candidate.has_prefix);
    let costs = near.map(|(place, candidate)| {
        let lean = if place == 0 { lean } else { 0.0 };
        (candidate, candidate.cost(work) - lean)
    });
    let best = costs.min_by(|a, b| a.1.total_cmp(&b.1));
    best.map(|(candidate, _)| Selection {
        id: candidate.id,
        expected: candidate.expected(work),
        has_prefix: candidate.has_prefix,
    })
}

/// Returns the candidates that may be used in the order of `key`, sound ones first.
fn in_order<'c, 'a>(candidates: &'c [Candidate<'a>], key: u64) -> Vec<&'c Candidate<'a>> {
    let open: Vec<_> = candidates.iter().filter(|c| c.is_open()).collect();
    let mut usable = if open.is_empty() {
        candidates.iter().collect()
    } else {
        open
    };
    usable.sort_by_cached_key(|c| (!c.is_sound(), Reverse(weight(key, c.id))));
    usable
}

/// Returns the weight of an endpoint for a key, alike at every entry (rendezvous hashing).
fn weight(key: u64, id: &EndpointId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_str().as_bytes());
    digest::short(&hasher.finalize())
}
