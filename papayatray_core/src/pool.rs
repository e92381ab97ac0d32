//! Pool of endpoints that serve one version or service, as one entry sees it.

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

/// Endpoints that are compared for one pick.
const SAMPLE: usize = 8;
/// Load, in shares of an endpoint's slots, that another data centre counts for.
const FAR: f64 = 0.25;
/// Load, in shares of an endpoint's slots, that a warm prefix is worth.
const WARM: f64 = 0.5;
/// Age at which a load report counts for nothing.
const REPORT_KEPT: Millis = Millis::from_secs(10);
/// Time for which a prefix is taken to stay warm.
const PREFIX_KEPT: Millis = Millis::from_secs(300);
/// Prefixes that are remembered.
const PREFIXES: usize = 4_096;
/// Time between two looks at the limit.
const ADAPT_EVERY: Millis = Millis::new(250);
/// Factor by which the limit falls while the endpoints' own queues grow.
const FALL: f64 = 0.85;
/// Part of all slots by which the limit rises otherwise.
const RISE: f64 = 0.05;
/// Share of all slots that one of several entries begins with, in portions of an even share.
const HEADROOM: f64 = 2.0;

/// Endpoint with this entry's own count of requests.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Number of the endpoint's start.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: String,
    /// Data centre that the endpoint stands in.
    pub data_centre: DataCentre,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Requests of this entry that the endpoint runs.
    pub in_flight: u32,
    load: Load,
    load_at: Millis,
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
            load_at: now,
        }
    }

    /// Returns the load in shares of the slots: own counts first, reports fading with age.
    fn share(&self, now: Millis) -> f64 {
        let own = f64::from(self.in_flight);
        let age = now.since(self.load_at).as_u64() as f64 / REPORT_KEPT.as_u64() as f64;
        let reported = f64::from(self.load.running + self.load.waiting) * (1.0 - age).max(0.0);
        own.max(reported) / f64::from(self.slots)
    }
}

/// Wish for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCriteria<'a> {
    /// Data centre of the entry.
    pub near: &'a DataCentre,
    /// Endpoints that were tried already.
    pub avoid: &'a [EndpointId],
    /// Digest of the prompt's beginning, where one is worth keeping warm.
    pub prefix: Option<u64>,
    /// Random number that decides which endpoints are compared.
    pub draw: u64,
}

/// Pool of endpoints.
#[derive(Clone, Debug)]
pub struct Pool {
    members: Vec<Member>,
    places: BTreeMap<EndpointId, usize>,
    /// Gate before the pool.
    pub gate: Gate,
    /// Health of the endpoints.
    pub health: Health,
    warm: BTreeMap<u64, (EndpointId, Millis)>,
    warm_order: VecDeque<u64>,
    entries: usize,
    limit: f64,
    slots: u32,
    adapted: Millis,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            places: BTreeMap::new(),
            gate: Gate::new(1),
            health: Health::default(),
            warm: BTreeMap::new(),
            warm_order: VecDeque::new(),
            entries: 1,
            limit: 0.0,
            slots: 0,
            adapted: Millis::ZERO,
        }
    }
}

impl Pool {
    /// Takes in an endpoint's announcement.
    pub fn put(&mut self, endpoint: &Endpoint, now: Millis) {
        let Some(place) = self.places.get(&endpoint.id) else {
            self.places.insert(endpoint.id.clone(), self.members.len());
            self.members.push(Member::new(endpoint, now));
            self.resize(self.slots + endpoint.slots.max(1));
            return;
        };
        let member = &mut self.members[*place];
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

    /// Takes out an endpoint that leaves or is gone.
    pub fn take(&mut self, id: &EndpointId) {
        let Some(place) = self.places.remove(id) else {
            return;
        };
        let member = self.members.swap_remove(place);
        self.resize(self.slots - member.slots);
        if let Some(moved) = self.members.get(place) {
            self.places.insert(moved.id.clone(), place);
        }
        self.health.forget(id);
    }

    /// Returns the endpoints.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Tells whether the pool has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the endpoint that suits `need` best.
    pub fn pick(&self, need: &EndpointCriteria<'_>, now: Millis) -> Option<&Member> {
        let best = self.pick_from(self.sample(need.draw), need, now);
        let best = best.or_else(|| self.pick_from(0..self.members.len(), need, now));
        let (member, score) = best?;
        let warm = need.prefix.and_then(|prefix| self.warm_member(prefix, now));
        match warm {
            Some(warm) if self.is_fit(warm, need, now) => {
                let is_worth = warm.share(now) - WARM <= score && warm.share(now) < 1.0;
                Some(if is_worth { warm } else { member })
            }
            _ => Some(member),
        }
    }

    /// Returns places spread over the pool, from a random start.
    fn sample(&self, draw: u64) -> impl Iterator<Item = usize> + use<> {
        let count = self.members.len();
        let length = count.max(1) as u64;
        let start = draw % length;
        // An odd step from another part of the number, so that the pairs differ too.
        let step = ((draw >> 32) % length) | 1;
        let places = (0..SAMPLE.min(count) as u64).map(move |n| (start + n * step) % length);
        places.map(|place| usize::try_from(place).unwrap_or(0))
    }

    fn pick_from<I>(
        &self,
        places: I,
        need: &EndpointCriteria<'_>,
        now: Millis,
    ) -> Option<(&Member, f64)>
    where
        I: Iterator<Item = usize>,
    {
        let members = places.filter_map(|place| self.members.get(place));
        let fit = members.filter(|member| self.is_fit(member, need, now));
        let scored = fit.map(|member| {
            let far = if member.data_centre == *need.near {
                0.0
            } else {
                FAR
            };
            (member, member.share(now) + far)
        });
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn is_fit(&self, member: &Member, need: &EndpointCriteria<'_>, now: Millis) -> bool {
        let is_open = match self.health.standing(&member.id, now) {
            HealthStatus::Normal => true,
            HealthStatus::Probe => member.in_flight == 0,
            HealthStatus::Ejected => false,
        };
        is_open && !need.avoid.contains(&member.id)
    }

    fn warm_member(&self, prefix: u64, now: Millis) -> Option<&Member> {
        let (id, at) = self.warm.get(&prefix)?;
        let place = self.places.get(id)?;
        let member = self.members.get(*place)?;
        (now.since(*at) < PREFIX_KEPT).then_some(member)
    }

    /// Remembers that `id` has a prefix warm; a hint only, which may be wrong or late.
    pub fn record_prefix(&mut self, prefix: u64, id: &EndpointId, now: Millis) {
        if self.warm.insert(prefix, (id.clone(), now)).is_none() {
            self.warm_order.push_back(prefix);
        }
        if self.warm_order.len() > PREFIXES
            && let Some(oldest) = self.warm_order.pop_front()
        {
            self.warm.remove(&oldest);
        }
    }

    /// Counts a request that is sent to `id`.
    pub fn begin(&mut self, id: &EndpointId) {
        if let Some(member) = self.member_mut(id) {
            member.in_flight += 1;
        }
    }

    /// Counts a request that `id` no longer runs.
    pub fn end(&mut self, id: &EndpointId) {
        if let Some(member) = self.member_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    fn member_mut(&mut self, id: &EndpointId) -> Option<&mut Member> {
        let place = self.places.get(id)?;
        self.members.get_mut(*place)
    }

    /// Tells among how many entries the endpoints are shared.
    pub const fn set_entries(&mut self, entries: usize) {
        self.entries = if entries == 0 { 1 } else { entries };
    }

    /// Lets the limit follow endpoints that come and go, at once.
    fn resize(&mut self, slots: u32) {
        let (before, after) = (f64::from(self.slots), f64::from(slots));
        self.limit = if before == 0.0 {
            (after / self.entries as f64 * HEADROOM).min(after)
        } else {
            self.limit * after / before
        };
        self.slots = slots;
        self.apply_limit();
    }

    /// Fits the gate's limit to what the endpoints report.
    pub fn adapt(&mut self, now: Millis) {
        if now.since(self.adapted) < ADAPT_EVERY {
            return;
        }
        self.adapted = now;
        let slots = f64::from(self.slots);
        let even = slots / self.entries as f64;
        let fresh = |m: &&Member| now.since(m.load_at) < REPORT_KEPT;
        let waiting: u32 = self
            .members
            .iter()
            .filter(fresh)
            .map(|m| m.load.waiting)
            .sum();
        let is_crowded = f64::from(waiting) > slots * RISE;
        self.limit = if is_crowded {
            (self.limit * FALL).max(even.min(self.limit))
        } else {
            (self.limit + slots * RISE).min(slots)
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
