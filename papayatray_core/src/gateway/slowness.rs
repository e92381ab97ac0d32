//! Slowness: responses that take several times as long as usual for their kind.
//!
//! Load: a release that answers every request, but several times slower than the one in use. Times
//! vary with the load, so they are compared with what is usual at the moment, to which a release in
//! roll-out does not contribute. Paces are also compared at the same load of the endpoint, as a
//! canary's endpoints are nearly idle.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::id::ServiceId;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.05;
/// Multiple of the average latency above which a response is slow.
const SLOW_LATENCY_FACTOR: f64 = 4.0;
/// Multiple of the average to which a latency is reduced before it is averaged.
const MAX_AVERAGED_FACTOR: f64 = 2.0;
/// Latest paces of one kind of stream of which the median is taken; a few seconds of one entry's
/// requests.
const MAX_PACES: usize = 15;
/// Paces from which the median of a kind of stream is used.
const MIN_PACES: usize = 5;
/// Multiple of the median pace above which a stream is slow.
const SLOW_PACE_FACTOR: f64 = 2.5;
/// Minimum excess over the median of a slow pace, in milliseconds for each event.
const MIN_PACE_EXCESS_MS: f64 = 20.0;
/// Intervals between events from which the pace of a stream is measured; enough to even out the
/// prefills of other requests.
const PACE_INTERVALS: u32 = 10;

/// Kind of response: only latencies of the same route and model are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseKind {
    /// Name of the route.
    pub route: String,
    /// Index of the model in the route's sizes.
    pub size_index: usize,
}

/// Usual times to a whole response, or to a stream's first event, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct UsualLatencies {
    averages: BTreeMap<ResponseKind, f64>,
}

impl UsualLatencies {
    /// Returns whether a latency is slow: several times the average, and more than it by
    /// `min_excess` milliseconds.
    pub fn is_slow(&self, kind: &ResponseKind, latency_ms: f64, min_excess: f64) -> bool {
        self.averages.get(kind).is_some_and(|average| {
            latency_ms > average * SLOW_LATENCY_FACTOR && latency_ms > average + min_excess
        })
    }

    /// Adds a latency to the average.
    pub fn add(&mut self, kind: ResponseKind, latency_ms: f64) {
        let average = self.averages.entry(kind).or_insert(latency_ms);
        // Capped, so that a few slow responses do not raise the average to their own latency.
        let capped = latency_ms.min(*average * MAX_AVERAGED_FACTOR + 1.0);
        *average += (capped - *average) * LATENCY_WEIGHT;
    }
}

/// Kind of stream: only paces of the same service, model and load are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceKind {
    service: ServiceId,
    size_index: usize,
    /// Binary logarithm of the number of requests at the endpoint, rounded down.
    load_class: u32,
}

impl PaceKind {
    /// Creates the kind of a stream at an endpoint with `running` requests.
    pub fn new(service: ServiceId, size_index: usize, running: u32) -> Self {
        Self {
            load_class: running.max(1).ilog2(),
            service,
            size_index,
        }
    }
}

/// Usual paces of streams, in milliseconds for each event.
#[derive(Clone, Debug, Default)]
pub struct UsualPaces {
    /// Latest paces of each kind, oldest first.
    latest: BTreeMap<PaceKind, VecDeque<f64>>,
}

impl UsualPaces {
    /// Adds a pace to the usual ones.
    pub fn add(&mut self, kind: PaceKind, interval_ms: f64) {
        let paces = self.latest.entry(kind).or_default();
        if paces.len() >= MAX_PACES {
            paces.pop_front();
        }
        paces.push_back(interval_ms);
    }

    /// Returns the usual pace at the load of `kind`, or at the next higher load that is known.
    pub fn usual(&self, kind: &PaceKind) -> Option<f64> {
        let highest = PaceKind {
            load_class: u32::MAX,
            ..kind.clone()
        };
        let mut known = self.latest.range(kind.clone()..=highest);
        let (_, paces) = known.find(|(_, paces)| paces.len() >= MIN_PACES)?;
        Some(median(paces))
    }
}

/// Returns the median of at least one pace.
fn median(paces: &VecDeque<f64>) -> f64 {
    let mut sorted: Vec<f64> = paces.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Pace of one stream, measured once, after its first events.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceMeter {
    first_at: Option<Millis>,
    intervals: u32,
    is_measured: bool,
}

/// Measured pace of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Milliseconds for each event.
    pub interval_ms: f64,
    /// Whether it is slow, or `None` if no usual pace is known.
    pub is_slow: Option<bool>,
}

impl PaceMeter {
    /// Returns whether the pace of the stream has been measured.
    pub const fn is_measured(&self) -> bool {
        self.is_measured
    }

    /// Records an event; returns the pace of the stream once it is known.
    ///
    /// A slow stream is told from the time that has passed already, before its events are complete.
    /// `usual` is the usual pace of its kind, in milliseconds for each event.
    pub fn record_event(&mut self, usual: Option<f64>, now: Millis) -> Option<Pace> {
        if self.is_measured {
            return None;
        }
        let Some(first_at) = self.first_at else {
            self.first_at = Some(now);
            return None;
        };
        self.intervals += 1;
        // At least this long for each event, whenever the missing ones come.
        let interval_ms = now.since(first_at).as_u64() as f64 / f64::from(PACE_INTERVALS);
        let is_slow = usual.map(|usual| {
            interval_ms > usual * SLOW_PACE_FACTOR && interval_ms > usual + MIN_PACE_EXCESS_MS
        });
        self.is_measured = is_slow == Some(true) || self.intervals >= PACE_INTERVALS;
        self.is_measured.then_some(Pace {
            interval_ms,
            is_slow,
        })
    }
}
