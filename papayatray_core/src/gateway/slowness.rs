//! Slowness: responses that take several times as long as usual for their kind.
//!
//! Load: a release that answers every request, but several times slower than the one in use. Times
//! vary with the load, so they are compared with what is usual at the moment, to which a release in
//! roll-out does not contribute. A canary's endpoints are nearly idle, so paces are compared at the
//! same load of the endpoint; where none is known, the increase by load is estimated and deducted.

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
/// Latest paces of one kind of stream and load of which the median is taken; a few seconds of one
/// entry's requests.
const MAX_PACES: usize = 15;
/// Paces from which the median of a kind of stream is used.
const MIN_PACES: usize = 5;
/// Paces added between two estimates of how the pace depends on the load; an estimate from 75 paces
/// compares 2,775 pairs.
const FIT_INTERVAL: u32 = 4;
/// Minimum usual pace at another load, as a part of a known one. Where the pace is flat up to five
/// requests and grows from there, the deduction is too large: with 0.125, 81 of 1,000 good releases were
/// rolled back, with 0.5 four. With 0.65, fewer releases twice as slow are rolled back.
const MIN_LOAD_PART: f64 = 0.5;
/// Standard normal deviate of the lower confidence bound (84%) of the increase by load. With 1.96, of
/// releases twice as slow at 195 entries, which have few paces each, none were rolled back.
const CONFIDENCE_DEVIATE: f64 = 1.0;
/// Multiple of the median pace above which a stream is slow.
const SLOW_PACE_FACTOR: f64 = 2.5;
/// Minimum excess over the median of a slow pace, in milliseconds for each event.
const MIN_PACE_EXCESS_MS: f64 = 20.0;
/// Intervals between events from which the pace of a stream is measured; enough to even out the
/// prefills of other requests.
const PACE_INTERVALS: u32 = 10;
/// Resolution of paces, in milliseconds for each event: one millisecond of the clock over ten events.
const MIN_INTERVAL_MS: f64 = 0.1;
/// Minimum excess over the usual pace, in milliseconds for each event, that counts in a ratio: 30 ms
/// over ten events, a wait of an entry with a tenth of a core for its next share of the processor.
const MIN_RATIO_EXCESS_MS: f64 = 3.0;

/// Kind of response: only latencies of the same route, model and work are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseKind {
    /// Name of the route.
    pub route: String,
    /// Index of the model in the route's sizes.
    pub size_index: usize,
    /// Binary logarithm of the prompt tokens to read, rounded down. The caches of a release in
    /// roll-out are cold, so its endpoints read several times as much as others.
    pub prefill_class: u32,
}

impl ResponseKind {
    /// Returns the kind of a response for which the endpoint had this many prompt tokens to read.
    #[must_use]
    pub fn with_prefill(self, prefill_tokens: u32) -> Self {
        Self {
            prefill_class: prefill_tokens.max(1).ilog2(),
            ..self
        }
    }
}

/// Usual times to a whole response, or to a stream's first event, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct UsualLatencies {
    averages: BTreeMap<ResponseKind, f64>,
}

impl UsualLatencies {
    /// Returns whether a latency is slow: several times the average, and more than it by
    /// `min_excess` milliseconds. The average is of responses with as much to read, or with the next
    /// larger amount that is known.
    pub fn is_slow(&self, kind: &ResponseKind, latency_ms: f64, min_excess: f64) -> bool {
        let most_read = ResponseKind {
            prefill_class: u32::MAX,
            ..kind.clone()
        };
        let mut known = self.averages.range(kind.clone()..=most_read);
        known.next().is_some_and(|(_, average)| {
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

/// Kind of stream: only paces of the same service and model are compared, and the load is allowed for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceKind {
    model: (ServiceId, usize),
    /// Requests at the endpoint.
    running: u32,
}

impl PaceKind {
    /// Creates the kind of a stream at an endpoint with `running` requests.
    pub fn new(service: ServiceId, size_index: usize, running: u32) -> Self {
        Self {
            model: (service, size_index),
            running: running.max(1),
        }
    }

    /// Returns the binary logarithm of the number of requests, rounded down.
    const fn load_class(&self) -> u32 {
        self.running.ilog2()
    }
}

/// Pace at an endpoint with a number of requests.
#[derive(Clone, Copy, Debug)]
struct LoadedPace {
    running: f64,
    interval_ms: f64,
}

/// Latest paces of one model of a service.
#[derive(Clone, Debug, Default)]
struct ModelPaces {
    /// Latest paces by load class, oldest first.
    latest: BTreeMap<u32, VecDeque<LoadedPace>>,
    /// Milliseconds for each event that each further request at the endpoint adds at least.
    increase_ms: f64,
    /// Paces added since the increase was estimated.
    unfitted: u32,
}

/// Usual paces of streams, in milliseconds for each event.
#[derive(Clone, Debug, Default)]
pub struct UsualPaces {
    models: BTreeMap<(ServiceId, usize), ModelPaces>,
}

impl UsualPaces {
    /// Adds a pace to the usual ones.
    pub fn add(&mut self, kind: PaceKind, interval_ms: f64) {
        let load_class = kind.load_class();
        let pace = LoadedPace {
            running: f64::from(kind.running),
            interval_ms,
        };
        let model = self.models.entry(kind.model).or_default();
        let paces = model.latest.entry(load_class).or_default();
        if paces.len() >= MAX_PACES {
            paces.pop_front();
        }
        paces.push_back(pace);
        model.unfitted += 1;
        if model.unfitted >= FIT_INTERVAL {
            model.unfitted = 0;
            model.increase_ms = model.fit_increase();
        }
    }

    /// Returns the usual pace at the load of `kind`, from paces at loads like it or at the next higher
    /// ones that are known.
    pub fn usual(&self, kind: &PaceKind) -> Option<f64> {
        let model = self.models.get(&kind.model)?;
        let mut known = model.latest.range(kind.load_class()..);
        let (_, paces) = known.find(|(_, paces)| paces.len() >= MIN_PACES)?;
        let running = f64::from(kind.running);
        let paces = paces.iter().map(|pace| {
            let expected = pace.interval_ms - model.increase_ms * (pace.running - running);
            expected.max(pace.interval_ms * MIN_LOAD_PART)
        });
        Some(quantile(paces.collect(), 0.5))
    }
}

impl ModelPaces {
    /// Estimates what each further request adds to the time for an event, as the lower confidence
    /// bound of the Theil-Sen slope; endpoints that are slow for other reasons are outliers to it.
    fn fit_increase(&self) -> f64 {
        let paces: Vec<LoadedPace> = self.latest.values().flatten().copied().collect();
        let mut slopes = Vec::new();
        for (index, one) in paces.iter().enumerate() {
            for other in &paces[index + 1..] {
                let difference = other.running - one.running;
                if difference != 0.0 {
                    slopes.push((other.interval_ms - one.interval_ms) / difference);
                }
            }
        }
        if slopes.is_empty() {
            return 0.0;
        }
        // Variance of Kendall's statistic without ties, from which the bound's rank follows.
        let count = paces.len() as f64;
        let deviation = (count * (count - 1.0) * (2.0 * count + 5.0) / 18.0).sqrt();
        let part = 0.5 - CONFIDENCE_DEVIATE * deviation / (2.0 * slopes.len() as f64);
        if part <= 0.0 {
            return 0.0;
        }
        quantile(slopes, part).max(0.0)
    }
}

/// Returns the quantile `part`, between 0 and 1, of at least one value.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of the number of values, rounded down"
)]
fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    let rank = (values.len() as f64 * part) as usize;
    let rank = rank.min(values.len() - 1);
    *values.select_nth_unstable_by(rank, f64::total_cmp).1
}

/// Returns the multiple of the usual pace, 1 at most while the excess is within what the entry may add.
fn ratio(interval_ms: f64, usual_ms: f64) -> f64 {
    let ratio = interval_ms.max(MIN_INTERVAL_MS) / usual_ms.max(MIN_INTERVAL_MS);
    if interval_ms <= usual_ms + MIN_RATIO_EXCESS_MS {
        ratio.min(1.0)
    } else {
        ratio
    }
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
    /// Multiple of the usual pace, or `None` if none is known.
    pub ratio: Option<f64>,
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
            ratio: usual.map(|usual| ratio(interval_ms, usual)),
        })
    }
}
