//! Pool of the endpoints that serve one version or service, as one entry sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::admission::Gate;
use crate::clock::Millis;
use crate::directory::Endpoint;
use crate::directory::Load;
use crate::health::Health;
use crate::health::HealthStatus;
use crate::id::DataCentre;
use crate::id::EndpointId;
use crate::id::Incarnation;

/// Number of endpoints compared for one pick.
const SAMPLE_SIZE: usize = 8;
/// Penalty for an endpoint in another data centre, as a share of its slots.
const REMOTE_PENALTY: f64 = 0.25;
/// Extra load accepted at an endpoint that has the prefix cached, as a share of its slots.
const PREFIX_BONUS: f64 = 0.5;
/// Age at which a load report has lost all its weight.
const MAX_REPORT_AGE: Millis = Millis::from_secs(10);
/// Time for which a prefix is assumed to stay cached.
const PREFIX_HINT_RETENTION: Millis = Millis::from_secs(300);
const MAX_PREFIX_HINTS: usize = 4_096;
/// Minimum time between two adjustments of the concurrency limit.
const ADAPT_INTERVAL: Millis = Millis::new(250);
/// Factor by which the limit is reduced while requests queue at the endpoints.
const LIMIT_DECREASE: f64 = 0.85;
/// Share of all slots by which the limit is raised otherwise; also the queue length, as a share of
/// all slots, that is still tolerated.
const LIMIT_INCREASE: f64 = 0.05;
/// Initial limit of one entry, as a multiple of its even share of all slots.
const INITIAL_SHARE_FACTOR: f64 = 2.0;

/// Endpoint of a pool, with this entry's own count of requests.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: String,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Number of this entry's requests in flight at the endpoint.
    pub in_flight: u32,
    /// Load that the endpoint last reported.
    load: Load,
    reported_at: Millis,
}

impl Member {
    fn new(endpoint: &Endpoint, now: Millis) -> Self {
        Self {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            address: endpoint.address.clone(),
            data_centre: endpoint.data_centre.clone(),
            slots: endpoint.slots.max(1),
            in_flight: 0,
            load: endpoint.load,
            reported_at: now,
        }
    }

    /// Returns the load relative to the slots: the entry's own count or, if higher, the reported
    /// load, weighted by the age of the report.
    fn relative_load(&self, now: Millis) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let age = now.since(self.reported_at).as_u64() as f64 / MAX_REPORT_AGE.as_u64() as f64;
        let reported = f64::from(self.load.running + self.load.waiting) * (1.0 - age).max(0.0);
        in_flight.max(reported) / f64::from(self.slots)
    }
}

/// Criteria for picking an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCriteria<'a> {
    /// Data centre of the entry, which is preferred.
    pub near: &'a DataCentre,
    /// Endpoints to exclude, as they were tried already.
    pub avoid: &'a [EndpointId],
    /// Digest of the prompt's prefix, to prefer the endpoint that has it cached.
    pub prefix: Option<u64>,
    /// Random number that selects the endpoints to compare.
    pub draw: u64,
}

/// Pool of endpoints with its admission gate.
#[derive(Clone, Debug)]
pub struct Pool {
    members: Vec<Member>,
    /// Index of each endpoint in `members`.
    indices: BTreeMap<EndpointId, usize>,
    /// Admission gate of the pool.
    pub gate: Gate,
    /// Outlier detection among the endpoints.
    pub health: Health,
    /// Endpoint last recorded for each prefix, and when.
    prefix_hints: BTreeMap<u64, (EndpointId, Millis)>,
    /// Prefixes of `prefix_hints`, those first recorded in front.
    prefix_order: VecDeque<u64>,
    /// Number of entries that share the endpoints.
    entries: usize,
    /// Concurrency limit of the gate before it is rounded up.
    limit: f64,
    /// Sum of the members' slots.
    slots: u32,
    /// Time of the latest adjustment of the limit to queue lengths.
    adapted_at: Millis,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            indices: BTreeMap::new(),
            gate: Gate::new(1),
            health: Health::default(),
            prefix_hints: BTreeMap::new(),
            prefix_order: VecDeque::new(),
            entries: 1,
            limit: 0.0,
            slots: 0,
            adapted_at: Millis::ZERO,
        }
    }
}

impl Pool {
    /// Adds an endpoint, or updates it by its latest announcement.
    pub fn put(&mut self, endpoint: &Endpoint, now: Millis) {
        let Some(index) = self.indices.get(&endpoint.id) else {
            self.indices.insert(endpoint.id.clone(), self.members.len());
            self.members.push(Member::new(endpoint, now));
            self.resize(self.slots + endpoint.slots.max(1));
            return;
        };
        let member = &mut self.members[*index];
        let in_flight = if member.incarnation == endpoint.incarnation {
            member.in_flight
        } else {
            0
        };
        if member.incarnation != endpoint.incarnation {
            self.health.forget(&endpoint.id);
        }
        let slots = self.slots - member.slots + endpoint.slots.max(1);
        *member = Member {
            in_flight,
            ..Member::new(endpoint, now)
        };
        self.resize(slots);
    }

    /// Removes an endpoint, as when it drains, is deregistered or expires.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(index) = self.indices.remove(id) else {
            return;
        };
        let member = self.members.swap_remove(index);
        self.resize(self.slots - member.slots);
        if let Some(moved) = self.members.get(index) {
            self.indices.insert(moved.id.clone(), index);
        }
        self.health.forget(id);
    }

    /// Returns all endpoints of the pool.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns whether the pool has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the least loaded endpoint that meets `criteria`, or the one that has the prefix
    /// cached unless that is much busier or has no free slot.
    pub fn pick(&self, criteria: &EndpointCriteria<'_>, now: Millis) -> Option<&Member> {
        let best = self.pick_from(self.sample(criteria.draw), criteria, now);
        let best = best.or_else(|| self.pick_from(0..self.members.len(), criteria, now));
        let (member, score) = best?;
        let holder = criteria
            .prefix
            .and_then(|prefix| self.prefix_holder(prefix, now));
        match holder {
            Some(holder) if self.is_eligible(holder, criteria, now) => {
                let is_preferable = holder.relative_load(now) - PREFIX_BONUS <= score
                    && holder.relative_load(now) < 1.0;
                Some(if is_preferable { holder } else { member })
            }
            _ => Some(member),
        }
    }

    /// Returns a pseudo-random sample of member indices, some of which may repeat.
    fn sample(&self, draw: u64) -> impl Iterator<Item = usize> + use<> {
        let count = self.members.len();
        let length = count.max(1) as u64;
        let start = draw % length;
        // The step is odd and comes from other bits than the start, so that samples with the same
        // start differ too.
        let step = ((draw >> 32) % length) | 1;
        let indices = (0..SAMPLE_SIZE.min(count) as u64).map(move |n| (start + n * step) % length);
        indices.map(|index| usize::try_from(index).unwrap_or(0))
    }

    /// Returns the eligible member with the lowest score among `indices`, and the score.
    ///
    /// The score is the relative load plus, for a member in another data centre, a penalty.
    fn pick_from<I>(
        &self,
        indices: I,
        criteria: &EndpointCriteria<'_>,
        now: Millis,
    ) -> Option<(&Member, f64)>
    where
        I: Iterator<Item = usize>,
    {
        let members = indices.filter_map(|index| self.members.get(index));
        let eligible = members.filter(|member| self.is_eligible(member, criteria, now));
        let scored = eligible.map(|member| {
            let penalty = if member.data_centre == *criteria.near {
                0.0
            } else {
                REMOTE_PENALTY
            };
            (member, member.relative_load(now) + penalty)
        });
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn is_eligible(&self, member: &Member, criteria: &EndpointCriteria<'_>, now: Millis) -> bool {
        let is_available = match self.health.status(&member.id, now) {
            HealthStatus::Normal => true,
            HealthStatus::Probe => member.in_flight == 0,
            HealthStatus::Ejected => false,
        };
        is_available && !criteria.avoid.contains(&member.id)
    }

    fn prefix_holder(&self, prefix: u64, now: Millis) -> Option<&Member> {
        let (id, recorded_at) = self.prefix_hints.get(&prefix)?;
        let index = self.indices.get(id)?;
        let member = self.members.get(*index)?;
        (now.since(*recorded_at) < PREFIX_HINT_RETENTION).then_some(member)
    }

    /// Records that `id` probably has a prefix cached; the hint may be wrong or outdated.
    pub fn record_prefix(&mut self, prefix: u64, id: &EndpointId, now: Millis) {
        if self
            .prefix_hints
            .insert(prefix, (id.clone(), now))
            .is_none()
        {
            self.prefix_order.push_back(prefix);
        }
        if self.prefix_order.len() > MAX_PREFIX_HINTS
            && let Some(oldest) = self.prefix_order.pop_front()
        {
            self.prefix_hints.remove(&oldest);
        }
    }

    /// Counts a request sent to `id`.
    pub fn begin(&mut self, id: &EndpointId) {
        if let Some(member) = self.member_mut(id) {
            member.in_flight += 1;
        }
    }

    /// Counts a request that has ended at `id`.
    pub fn end(&mut self, id: &EndpointId) {
        if let Some(member) = self.member_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    fn member_mut(&mut self, id: &EndpointId) -> Option<&mut Member> {
        let index = self.indices.get(id)?;
        self.members.get_mut(*index)
    }

    /// Sets the number of entries that share the endpoints.
    pub const fn set_entries(&mut self, entries: usize) {
        self.entries = if entries == 0 { 1 } else { entries };
    }

    /// Scales the limit to a changed number of slots, as endpoints are added or removed.
    fn resize(&mut self, slots: u32) {
        let (before, after) = (f64::from(self.slots), f64::from(slots));
        self.limit = if before == 0.0 {
            (after / self.entries as f64 * INITIAL_SHARE_FACTOR).min(after)
        } else {
            self.limit * after / before
        };
        self.slots = slots;
        self.apply_limit();
    }

    /// Adapts the gate's limit to the queue lengths that the endpoints report.
    pub fn adapt(&mut self, now: Millis) {
        if now.since(self.adapted_at) < ADAPT_INTERVAL {
            return;
        }
        self.adapted_at = now;
        let slots = f64::from(self.slots);
        let even_share = slots / self.entries as f64;
        let is_fresh = |m: &&Member| now.since(m.reported_at) < MAX_REPORT_AGE;
        let waiting: u32 = self
            .members
            .iter()
            .filter(is_fresh)
            .map(|m| m.load.waiting)
            .sum();
        let is_queueing = f64::from(waiting) > slots * LIMIT_INCREASE;
        self.limit = if is_queueing {
            (self.limit * LIMIT_DECREASE).max(even_share.min(self.limit))
        } else {
            (self.limit + slots * LIMIT_INCREASE).min(slots)
        };
        self.apply_limit();
    }

    fn apply_limit(&mut self) {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "at most the sum of all slots"
        )]
        #[expect(clippy::cast_sign_loss, reason = "limits are not negative")]
        self.gate.set_limit(self.limit.ceil() as u32);
    }
}
