//! Endpoint speed: how fast each endpoint of a service is, relative to the median endpoint.
//!
//! Load: endpoints of one service that differ in speed by a factor of up to 2.5, that pause for half
//! a second now and then, and of which one entry of many sees a stream only every minute. Entries
//! measure the gaps between events, and the leader pools the samples.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::ServiceId;

/// Speed of an endpoint about which nothing is known.
pub const DEFAULT_SPEED: f64 = 1.0;
/// Range of speeds that count as [`DEFAULT_SPEED`].
///
/// The load of an endpoint, of which the estimate corrects a part, changes its pace by up to a third; and
/// where speeds differ less, comparing more endpoints costs more prefill than it saves in waiting.
const EQUAL_SPEEDS: RangeInclusive<f64> = 0.75..=1.35;
/// Part of the announced speed by which a speed must differ from it to be announced.
const MIN_CHANGE: f64 = 0.1;
/// Bounds on a speed, so that a measuring error cannot exclude or overload an endpoint.
const SPEED_BOUNDS: (f64, f64) = (1.0 / 3.0, 3.0);
/// Time after which speeds without confirmation by a leader count as [`DEFAULT_SPEED`].
const RETENTION: Millis = Millis::from_secs(10);

/// Gaps between events that make one sample; at 3 to 5 tokens each, about 30 tokens.
const GAPS_PER_SAMPLE: usize = 8;
/// Gaps that are added up before they are compared, since events have 3 to 5 tokens each.
const GAPS_PER_BLOCK: usize = 2;
/// Part of the step of an idle endpoint by which each running request lengthens it, assumed.
///
/// Fast endpoints run more requests than slow ones, so their gaps cannot be compared at equal load. If
/// the part is too small, fast endpoints are taken for less fast than they are.
const STEP_PART_PER_REQUEST: f64 = 0.01;
/// Shortest mean gap in milliseconds; events that arrive together have gaps of zero.
const MIN_GAP_MS: f64 = 0.25;

/// Time of which samples are averaged; shorter than a usual pause of an endpoint, half a second.
const BUCKET_TIME: Millis = Millis::new(200);
/// Latest buckets of which a low quantile is used.
const MAX_BUCKETS: usize = 13;
/// Quantile of the buckets' gaps, from 0 to 1. With 13 buckets it is the fourth shortest gap, so an
/// endpoint counts as slower once ten buckets are slow, that is after 2 s. Pauses that take 15% of the
/// time rarely cover ten of 13.
const BUCKET_QUANTILE: f64 = 0.3;
/// Buckets from which a speed is estimated.
const MIN_BUCKETS: usize = 6;
/// Samples from which a speed is estimated.
const MIN_SAMPLES: u32 = 8;
/// Age from which a bucket is ignored. An overloaded endpoint has few events, so old samples would hide
/// for long that it is slower than they say.
const MAX_BUCKET_AGE: Millis = Millis::from_secs(6);
/// Samples of a kind from which its usual gap is used.
const MIN_USUAL_SAMPLES: f64 = 50.0;
/// Endpoints with an estimate from which the estimates of a service are used.
const MIN_ENDPOINTS: usize = 2;
/// Time between two evaluations; shorter than the long poll by which entries receive the results.
const EVALUATION_INTERVAL: Millis = Millis::new(200);
/// Lowest weight of a sample in the usual gap of its kind.
const MIN_USUAL_WEIGHT: f64 = 1.0 / 200.0;
/// Thousandths of a unit, in which logarithms and speeds are sent.
const THOUSANDTHS: f64 = 1_000.0;

/// Collects the gaps between the events of one stream.
#[derive(Clone, Debug, Default)]
pub struct GapMeter {
    last_at: Option<Millis>,
    /// Gaps of the next sample, in milliseconds.
    gaps: Vec<u64>,
}

impl GapMeter {
    /// Records an event; returns a usual gap in milliseconds after every [`GAPS_PER_SAMPLE`] gaps.
    ///
    /// The longer half of the gaps is left out, as the endpoint may have read other prompts in them.
    pub fn record_event(&mut self, now: Millis) -> Option<f64> {
        let last_at = self.last_at.replace(now)?;
        self.gaps.push(now.since(last_at).as_u64());
        if self.gaps.len() < GAPS_PER_SAMPLE {
            return None;
        }
        let blocks = self.gaps.chunks(GAPS_PER_BLOCK);
        let mut blocks: Vec<u64> = blocks.map(|gaps| gaps.iter().sum()).collect();
        blocks.sort_unstable();
        blocks.truncate(blocks.len() / 2);
        let gaps = blocks.len() * GAPS_PER_BLOCK;
        let total: u64 = blocks.iter().sum();
        self.gaps.clear();
        Some((total as f64 / gaps as f64).max(MIN_GAP_MS))
    }
}

/// Samples of one endpoint and model, as an entry reports them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapSum {
    /// Endpoint.
    #[serde(rename = "id")]
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// Index of the model.
    #[serde(rename = "size")]
    pub size_index: usize,
    /// Number of samples.
    #[serde(rename = "n")]
    pub count: u32,
    /// Sum of the natural logarithms of gaps in milliseconds, without the part that other requests
    /// cause, in thousandths.
    #[serde(rename = "sum")]
    pub log_sum: i64,
}

/// Samples that an entry has not reported yet.
#[derive(Clone, Debug, Default)]
pub struct GapSums {
    sums: BTreeMap<(EndpointId, usize), GapSum>,
}

impl GapSums {
    /// Adds a sample of a stream from the model at `size_index`, at an endpoint with `running`
    /// requests.
    pub fn add(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        size_index: usize,
        running: u32,
        gap_ms: f64,
    ) {
        let key = (endpoint.clone(), size_index);
        let sum = self.sums.entry(key).or_insert_with(|| GapSum {
            endpoint: endpoint.clone(),
            incarnation,
            size_index,
            count: 0,
            log_sum: 0,
        });
        if sum.incarnation != incarnation {
            sum.incarnation = incarnation;
            sum.count = 0;
            sum.log_sum = 0;
        }
        sum.count += 1;
        let load_factor = 1.0 + f64::from(running) * STEP_PART_PER_REQUEST;
        sum.log_sum += to_thousandths((gap_ms.max(MIN_GAP_MS) / load_factor).ln());
    }

    /// Removes and returns all sums.
    pub fn take(&mut self) -> Vec<GapSum> {
        std::mem::take(&mut self.sums).into_values().collect()
    }
}

/// Speed of an endpoint, as the leader announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSpeed {
    /// Endpoint.
    #[serde(rename = "id")]
    pub endpoint: EndpointId,
    /// Incarnation to which the speed applies.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// Speed in thousandths of the median endpoint's.
    #[serde(rename = "speed")]
    pub thousandths: u32,
}

/// Changes of speeds since a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedUpdates {
    /// Number of the last change included.
    #[serde(rename = "upto")]
    pub number: u64,
    /// Whether the reader has received none of this leader's speeds before.
    #[serde(default, rename = "all", skip_serializing_if = "std::ops::Not::not")]
    pub is_complete: bool,
    /// Speeds that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<AnnouncedSpeed>,
}

/// Kind of gap: only gaps of the same service and model are compared.
type GapKind = (ServiceId, usize);

/// Usual gap of a kind, as it is at the median endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct UsualGap {
    log_gap: f64,
    count: f64,
    last_at: Millis,
}

/// Samples of one [`BUCKET_TIME`]: sum of the logarithms of gaps relative to the usual ones.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    log_sum: f64,
    count: u32,
}

#[derive(Clone, Debug)]
struct EndpointRecord {
    service: ServiceId,
    incarnation: Incarnation,
    buckets: VecDeque<Bucket>,
    /// Logarithm of the speed, relative to the median endpoint.
    log_speed: f64,
    /// Speed that was announced, before it was set to 1 as nearly equal.
    announced: f64,
    /// Number of the change that set `announced`, or 0.
    number: u64,
}

impl EndpointRecord {
    const fn new(service: ServiceId, incarnation: Incarnation) -> Self {
        Self {
            service,
            incarnation,
            buckets: VecDeque::new(),
            log_speed: 0.0,
            announced: DEFAULT_SPEED,
            number: 0,
        }
    }

    fn add(&mut self, log_sum: f64, count: u32, now: Millis) {
        let start = Millis::new(now.as_u64() - now.as_u64() % BUCKET_TIME.as_u64());
        match self.buckets.back_mut() {
            Some(bucket) if bucket.start == start => {
                bucket.log_sum += log_sum;
                bucket.count += count;
            }
            _ => self.buckets.push_back(Bucket {
                start,
                log_sum,
                count,
            }),
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
    }

    /// Returns the logarithm of the endpoint's gaps relative to the usual ones, or `None` if there
    /// is too little evidence.
    fn log_gap(&mut self, now: Millis) -> Option<f64> {
        while let Some(bucket) = self.buckets.front()
            && now.since(bucket.start) > MAX_BUCKET_AGE
        {
            self.buckets.pop_front();
        }
        let samples: u32 = self.buckets.iter().map(|bucket| bucket.count).sum();
        if self.buckets.len() < MIN_BUCKETS || samples < MIN_SAMPLES {
            return None;
        }
        let means = self.buckets.iter();
        let means = means.map(|bucket| bucket.log_sum / f64::from(bucket.count));
        quantile(means.collect(), BUCKET_QUANTILE)
    }
}

/// Speeds of all endpoints, at the leader.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    usual: BTreeMap<GapKind, UsualGap>,
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    last_number: u64,
    evaluated_at: Millis,
}

impl SpeedTable {
    /// Adds samples of an endpoint of `service` that an entry reported.
    pub fn record(&mut self, service: &ServiceId, sum: &GapSum, now: Millis) {
        if sum.count == 0 {
            return;
        }
        let record = self
            .endpoints
            .entry(sum.endpoint.clone())
            .or_insert_with(|| EndpointRecord::new(service.clone(), sum.incarnation));
        if record.incarnation != sum.incarnation {
            *record = EndpointRecord::new(service.clone(), sum.incarnation);
        }
        let count = f64::from(sum.count);
        let log_sum = sum.log_sum as f64 / THOUSANDTHS;
        let kind = (service.clone(), sum.size_index);
        let usual = self.usual.entry(kind.clone()).or_default();
        usual.count += count;
        usual.last_at = now;
        // The gap that the median endpoint would have had; the estimate of the speed is that of the
        // last evaluation, so usual gaps and speeds converge together.
        let expected = log_sum / count + record.log_speed;
        let weight = (count / usual.count).max((count * MIN_USUAL_WEIGHT).min(1.0));
        usual.log_gap += (expected - usual.log_gap) * weight;
        let relative = log_sum - count * usual.log_gap;
        if !self.is_largest(&kind, now) {
            return;
        }
        if let Some(record) = self.endpoints.get_mut(&sum.endpoint) {
            record.add(relative, sum.count, now);
        }
    }

    /// Returns whether a kind is that of the largest model of its service with enough recent samples.
    ///
    /// A step takes as long as all models that run at the endpoint need. Gaps of a small model are ten
    /// times as long while a large one runs beside it, so they say little about the endpoint.
    fn is_largest(&self, kind: &GapKind, now: Millis) -> bool {
        let highest = (kind.0.clone(), usize::MAX);
        let kinds = self.usual.range(kind.clone()..=highest);
        let mut usable = kinds.filter(|(_, usual)| {
            usual.count >= MIN_USUAL_SAMPLES && now.since(usual.last_at) < MAX_BUCKET_AGE
        });
        usable
            .next_back()
            .is_some_and(|(largest, _)| largest == kind)
    }

    /// Estimates the speeds anew, if the last time is long enough ago; returns those that must be
    /// announced.
    pub fn evaluate(&mut self, now: Millis) -> Vec<AnnouncedSpeed> {
        if now.since(self.evaluated_at) < EVALUATION_INTERVAL {
            return Vec::new();
        }
        self.evaluated_at = now;
        let mut by_service: BTreeMap<ServiceId, Vec<(EndpointId, f64)>> = BTreeMap::new();
        let mut without_evidence = Vec::new();
        for (id, record) in &mut self.endpoints {
            if let Some(log_gap) = record.log_gap(now) {
                let estimates = by_service.entry(record.service.clone()).or_default();
                estimates.push((id.clone(), log_gap));
            } else {
                without_evidence.push(id.clone());
            }
        }
        let mut announced = Vec::new();
        for id in without_evidence {
            announced.extend(self.set_speed(&id, 0.0));
        }
        for estimates in by_service.into_values() {
            if estimates.len() < MIN_ENDPOINTS {
                continue;
            }
            let gaps = estimates.iter().map(|(_, log_gap)| *log_gap);
            let Some(centre) = quantile(gaps.collect(), 0.5) else {
                continue;
            };
            for (id, log_gap) in estimates {
                announced.extend(self.set_speed(&id, centre - log_gap));
            }
        }
        announced
    }

    fn set_speed(&mut self, id: &EndpointId, log_speed: f64) -> Option<AnnouncedSpeed> {
        let record = self.endpoints.get_mut(id)?;
        let (min, max) = SPEED_BOUNDS;
        let speed = log_speed.exp().clamp(min, max);
        record.log_speed = speed.ln();
        if (speed / record.announced - 1.0).abs() <= MIN_CHANGE {
            return None;
        }
        self.last_number += 1;
        record.announced = speed;
        record.number = self.last_number;
        Some(record.announcement(id))
    }

    /// Returns the changes after number `seen`, or all for a `seen` of 0.
    pub fn updates_after(&self, seen: u64) -> SpeedUpdates {
        let changed = self.endpoints.iter().filter(|(_, r)| r.number > seen);
        SpeedUpdates {
            number: self.last_number,
            is_complete: seen == 0,
            changed: changed.map(|(id, r)| r.announcement(id)).collect(),
        }
    }

    /// Forgets the endpoints for which `is_known` is false.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&EndpointId) -> bool,
    {
        self.endpoints.retain(|id, _| is_known(id));
    }
}

impl EndpointRecord {
    fn announcement(&self, id: &EndpointId) -> AnnouncedSpeed {
        let speed = if EQUAL_SPEEDS.contains(&self.announced) {
            DEFAULT_SPEED
        } else {
            self.announced
        };
        AnnouncedSpeed {
            endpoint: id.clone(),
            incarnation: self.incarnation,
            thousandths: u32::try_from(to_thousandths(speed)).unwrap_or(u32::MAX),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownSpeed {
    incarnation: Incarnation,
    speed: f64,
    /// Whether the present leader has announced it.
    is_confirmed: bool,
}

/// Speeds that an entry received from the leader.
#[derive(Clone, Debug, Default)]
pub struct KnownSpeeds {
    speeds: BTreeMap<EndpointId, KnownSpeed>,
    /// Time of the last message from a leader.
    heard_at: Millis,
    /// Time of the first message from the present leader.
    leader_since: Millis,
}

impl KnownSpeeds {
    /// Applies a message of the leader.
    pub fn apply(&mut self, updates: &SpeedUpdates, now: Millis) {
        // A leader without any change yet answers every request as if it was the first one.
        let is_expired = now.since(self.heard_at) > RETENTION;
        if updates.is_complete && (is_expired || self.speeds.values().any(|s| s.is_confirmed)) {
            self.leader_since = now;
            for speed in self.speeds.values_mut() {
                speed.is_confirmed = false;
            }
        }
        if is_expired {
            self.speeds.clear();
        }
        self.heard_at = now;
        for announced in &updates.changed {
            let speed = KnownSpeed {
                incarnation: announced.incarnation,
                speed: f64::from(announced.thousandths) / THOUSANDTHS,
                is_confirmed: true,
            };
            self.speeds.insert(announced.endpoint.clone(), speed);
        }
    }

    /// Returns the speed of an endpoint relative to the median endpoint of its service.
    pub fn speed(&self, id: &EndpointId, incarnation: Incarnation, now: Millis) -> f64 {
        let known = self.speeds.get(id).filter(|known| {
            let confirmed_at = if known.is_confirmed {
                self.heard_at
            } else {
                self.leader_since
            };
            known.incarnation == incarnation && now.since(confirmed_at) <= RETENTION
        });
        known.map_or(DEFAULT_SPEED, |known| known.speed)
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &EndpointId) {
        self.speeds.remove(id);
    }
}

/// Returns a quantile, rounded to the next lower value, or `None` without values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index below the number of values"
)]
fn quantile(mut values: Vec<f64>, part: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    values.get((last as f64 * part) as usize).copied()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "rounded, and the cast saturates"
)]
fn to_thousandths(value: f64) -> i64 {
    (value * THOUSANDTHS).round() as i64
}
