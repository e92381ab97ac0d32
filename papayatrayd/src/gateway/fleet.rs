//! Endpoints known to an entry, with their load, health and cached prefixes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Offer;
use papayatray_core::gateway::endpoint_key::EndpointKeys;
use papayatray_core::gateway::endpoint_speed::GapSum;
use papayatray_core::gateway::endpoint_speed::GapSums;
use papayatray_core::gateway::endpoint_speed::KnownSpeeds;
use papayatray_core::gateway::endpoint_speed::SpeedUpdates;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::homes::Regions;
use papayatray_core::gateway::load_table::EndpointWork;
use papayatray_core::gateway::load_table::WorkUpdates;
use papayatray_core::gateway::pauses::Pauses;
use papayatray_core::gateway::placement;
use papayatray_core::gateway::placement::Backlog;
use papayatray_core::gateway::placement::Candidate;
use papayatray_core::gateway::placement::Condition;
use papayatray_core::gateway::placement::Selection;
use papayatray_core::gateway::placement::SharedPrefix;
use papayatray_core::gateway::placement::Work;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::prefix_directory::PrefixDirectory;
use papayatray_core::gateway::rate_limits::RateLimits;
use papayatray_core::gateway::rate_limits::RateStatement;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::gateway::reach::Reach;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::slot_reservation;
use papayatray_core::gateway::slot_reservation::SlotReservation;
use papayatray_core::gateway::speed::PrefillSpeed;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::gateway::updates::UpdateLog;
use papayatray_core::gateway::warm_up::ColdBound;
use papayatray_core::gateway::warm_up::WarmUps;
use papayatray_core::health::Health;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::CompactHints;
use papayatray_wire::peer::Deregistration;
use papayatray_wire::peer::EndpointUpdates;
use papayatray_wire::peer::Hints;
use papayatray_wire::peer::HintsError;

mod evacuations;
mod reach;
mod statements;
mod warm_up;

/// Heartbeat intervals without a heartbeat after which an endpoint counts as silent.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// Cached-prefix updates retained until the control replicas have received them; covers some
/// seconds of an entry's requests.
const MAX_PREFIX_UPDATES: usize = 256;
/// Departures retained until the control replicas have received them; more than endpoints leave
/// within the time of a lost connection.
const MAX_DEPARTURES: usize = 256;
/// Changes of rate limits retained until the control replicas have received them; more than
/// endpoints state while no replica can be reached.
const MAX_RATE_STATEMENTS: usize = 256;

/// Endpoint selected for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Incarnation of the endpoint when it was selected.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Release that the endpoint runs.
    pub release: String,
    /// Expected milliseconds until the first event.
    pub expected_ms: u32,
    /// Tokens of the prompt that are not cached at the endpoint and need prefill.
    pub prefill_tokens: u32,
    /// Requests a second that the endpoint takes from all entries, if it stated a limit.
    pub rate_limit: Option<RequestRate>,
}

impl SelectedEndpoint {
    /// Returns an endpoint of a service, or `None` if its address cannot be parsed.
    fn new(endpoint: &Endpoint) -> Option<Self> {
        let Offer::Service(service) = &endpoint.offer else {
            return None;
        };
        Some(Self {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            address: endpoint.address.parse().ok()?,
            data_centre: endpoint.data_centre.clone(),
            service: service.clone(),
            release: endpoint.release.clone(),
            expected_ms: 0,
            prefill_tokens: 0,
            rate_limit: None,
        })
    }
}

/// Inputs of the selection of an endpoint for one attempt.
#[derive(Clone, Copy)]
pub(super) struct PlacementQuery<'a> {
    pub(super) service: &'a ServiceId,
    /// Endpoints that already had an attempt of the request.
    pub(super) excluded: &'a [EndpointId],
    /// Regions to which the request is confined.
    pub(super) homes: &'a Homes,
    /// Regions of the data centres.
    pub(super) regions: &'a Regions,
    /// The prompt; empty where the request has none.
    pub(super) prompt: Prompt,
    /// Random number that orders the endpoints of a request without a shared prefix.
    pub(super) draw: u64,
    pub(super) local_data_centre: &'a DataCentre,
    /// Returns whether endpoints of a release are preferred, used as a fallback, or refused.
    pub(super) eligibility: &'a dyn Fn(&str) -> ReleaseEligibility,
    /// Number of entries; the more there are, the fewer endpoints each request compares.
    pub(super) entry_count: usize,
    /// Requests that this entry may have in flight at one endpoint.
    pub(super) max_in_flight: u32,
}

/// Size and shared prefix of a prompt, as placement uses them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prompt {
    /// Digest of the prefix shared with other requests and of the model's index.
    pub(super) shared_digest: Option<u64>,
    /// Tokens of the shared prefix.
    pub(super) shared_tokens: u32,
    /// Tokens after the shared prefix.
    pub(super) unique_tokens: u32,
    /// Index of the model in the route's `sizes`.
    pub(super) size_index: usize,
}

/// Endpoints with the load, health and cached prefixes that this entry knows of.
#[derive(Debug)]
pub(super) struct Fleet {
    directory: Directory,
    /// Keys of the endpoints in compact hints.
    keys: EndpointKeys,
    /// Load that this entry's requests cause.
    local_load: BTreeMap<EndpointId, Backlog>,
    /// Load that all entries' requests cause, as the leader announced it.
    total_work: BTreeMap<EndpointId, EndpointWork>,
    /// Load that this entry's requests cause, as the leader was told last.
    reported_work: BTreeMap<EndpointId, EndpointWork>,
    /// Estimates of the prefill speed, by service and model.
    speed: PrefillSpeed,
    /// Speeds of endpoints, as the leader announced them.
    endpoint_speeds: KnownSpeeds,
    /// Gaps between events that were not reported yet.
    gap_sums: GapSums,
    cached_prefixes: PrefixDirectory,
    /// Additions to `cached_prefixes` by this entry, to be sent to the other entries.
    prefix_updates: UpdateLog<CachedPrefix>,
    health: BTreeMap<ServiceId, Health>,
    /// Endpoints to which this entry can open connections.
    reach: Reach,
    /// Whether other entries can carry requests to endpoints.
    has_hops: bool,
    /// Endpoints that want no requests from this entry for a time.
    pauses: Pauses,
    /// Requests a second that endpoints state they take from all entries together.
    rate_limits: RateLimits,
    /// Bounds on the requests to cold endpoints.
    warm_ups: WarmUps,
    /// Endpoints that became cold or warm, with the remaining warm-up, until they are logged.
    warm_up_changes: Vec<(EndpointId, Millis)>,
    /// Which requests may use the time slots of rate-limited endpoints.
    reservation: SlotReservation,
    /// Changes of rate limits that endpoints stated to this entry, for the other entries.
    rate_statements: UpdateLog<RateStatement>,
    /// Endpoints that stated to this entry that they are leaving, for the control replicas.
    departures: UpdateLog<Deregistration>,
    /// Data centres whose endpoints get no new requests.
    evacuations: EvacuationTable,
    /// Data centres of the endpoints heard of so far.
    data_centres: BTreeSet<DataCentre>,
    heartbeat_interval: Millis,
}

impl Fleet {
    pub(super) fn new(heartbeat_interval: Millis, cold: ColdBound) -> Self {
        Self {
            heartbeat_interval,
            directory: Directory::default(),
            keys: EndpointKeys::default(),
            local_load: BTreeMap::new(),
            total_work: BTreeMap::new(),
            reported_work: BTreeMap::new(),
            speed: PrefillSpeed::default(),
            endpoint_speeds: KnownSpeeds::default(),
            gap_sums: GapSums::default(),
            cached_prefixes: PrefixDirectory::default(),
            prefix_updates: UpdateLog::new(MAX_PREFIX_UPDATES),
            health: BTreeMap::new(),
            reach: Reach::default(),
            has_hops: false,
            pauses: Pauses::default(),
            rate_limits: RateLimits::default(),
            warm_ups: WarmUps::new(cold, heartbeat_interval),
            warm_up_changes: Vec::new(),
            reservation: SlotReservation::default(),
            rate_statements: UpdateLog::new(MAX_RATE_STATEMENTS),
            departures: UpdateLog::new(MAX_DEPARTURES),
            evacuations: EvacuationTable::default(),
            data_centres: BTreeSet::new(),
        }
    }

    /// Applies updates; returns the endpoints whose pooled connections must be closed, as they have
    /// restarted, were deregistered or lost their address to another endpoint.
    pub(super) fn apply_updates(
        &mut self,
        updates: &EndpointUpdates,
        now: Millis,
    ) -> Vec<EndpointId> {
        let mut ids_to_close = Vec::new();
        for endpoint in &updates.changed {
            self.name_data_centre(&endpoint.data_centre);
            let known = self.directory.get(&endpoint.id);
            let previous = known.map(|endpoint| endpoint.incarnation);
            let was_cold = known.is_some_and(|known| {
                known.incarnation == endpoint.incarnation && known.warm_up_left > Millis::ZERO
            });
            if !self.directory.merge(endpoint, now) {
                continue;
            }
            ids_to_close.extend(self.directory.evict_address(endpoint));
            if previous.is_some_and(|incarnation| incarnation != endpoint.incarnation) {
                self.forget_observations(&endpoint.id);
                ids_to_close.push(endpoint.id.clone());
            }
            self.track_warm_up(endpoint, was_cold, now);
        }
        for deregistration in &updates.deregistered {
            if self
                .directory
                .deregister_incarnation(&deregistration.id, deregistration.incarnation)
            {
                self.reach.forget(&deregistration.id);
                self.pauses.forget(&deregistration.id);
                self.rate_limits.forget(&deregistration.id);
                self.warm_ups.forget(&deregistration.id);
                ids_to_close.push(deregistration.id.clone());
            }
        }
        for id in &updates.renewed {
            self.directory.renew(id, now);
        }
        ids_to_close
    }

    /// Adds the keys of endpoints that registered or changed, which later hints may contain.
    pub(super) fn add_keys(&mut self, changed: &[Endpoint]) {
        for endpoint in changed {
            self.keys.insert(&endpoint.id);
        }
    }

    /// Decodes hints on endpoints whose keys are known.
    ///
    /// # Errors
    ///
    /// Returns the reason why the hints cannot be decoded.
    pub(super) fn decode_hints(&self, hints: &CompactHints) -> Result<Hints, HintsError> {
        hints.decode(&self.keys)
    }

    fn forget_observations(&mut self, id: &EndpointId) {
        for health in self.health.values_mut() {
            health.forget(id);
        }
        self.cached_prefixes.forget(id);
        self.endpoint_speeds.forget(id);
        self.reach.forget(id);
        self.pauses.forget(id);
        self.rate_limits.forget(id);
        self.warm_ups.forget(id);
    }

    /// Applies changes of the load that all entries' requests cause.
    pub(super) fn apply_loads(&mut self, updates: &WorkUpdates) {
        if updates.is_complete {
            self.total_work.clear();
        }
        self.total_work.extend(updates.changed.iter().cloned());
    }

    /// Applies changes of the endpoints' speeds.
    pub(super) fn apply_speeds(&mut self, updates: &SpeedUpdates, now: Millis) {
        self.endpoint_speeds.apply(updates, now);
    }

    /// Adds a usual gap between events of a stream from the model at `size_index` to the next report.
    pub(super) fn record_gap(
        &mut self,
        selected: &SelectedEndpoint,
        size_index: usize,
        gap_ms: f64,
    ) {
        let (id, incarnation) = (&selected.id, selected.incarnation);
        let running = self.running(id);
        self.gap_sums
            .add(id, incarnation, size_index, running, gap_ms);
    }

    /// Returns the gaps recorded since the last call.
    pub(super) fn take_gap_sums(&mut self) -> Vec<GapSum> {
        self.gap_sums.take()
    }

    /// Returns the load that other entries' requests cause at an endpoint: the sum over all entries
    /// without what this entry reported last.
    fn remote_load(&self, id: &EndpointId) -> Backlog {
        let total = self.total_work.get(id).copied().unwrap_or_default();
        let reported = self.reported_work.get(id).copied().unwrap_or_default();
        let work = total.minus(reported);
        Backlog {
            running: work.running,
            prefill_ms: f64::from(work.prefill_ms),
        }
    }

    /// Returns the number of requests at an endpoint, those of the other entries as last announced.
    pub(super) fn running(&self, id: &EndpointId) -> u32 {
        let own = self.local_load.get(id).map_or(0, |load| load.running);
        own + self.remote_load(id).running
    }

    /// Records the prefixes that other entries' requests cached at endpoints.
    pub(super) fn apply_cached_prefixes(&mut self, prefixes: &[CachedPrefix], now: Millis) {
        for prefix in prefixes {
            self.cached_prefixes.record(prefix, now);
        }
    }

    /// Returns the prefixes that this entry's requests cached after update number `number`.
    pub(super) fn cached_prefixes_since(&self, number: u64) -> UpdateBatch<CachedPrefix> {
        self.prefix_updates.batch_since(number, MAX_PREFIX_UPDATES)
    }

    /// Returns the load that this entry's requests cause, and records it as reported.
    pub(super) fn report_work(&mut self) -> Vec<(EndpointId, EndpointWork)> {
        let busy = self.local_load.iter().filter(|(_, load)| load.running > 0);
        let work = busy.map(|(id, load)| {
            let work = EndpointWork {
                running: load.running,
                prefill_ms: round_millis(load.prefill_ms),
            };
            (id.clone(), work)
        });
        self.reported_work = work.collect();
        self.reported_work
            .iter()
            .map(|(id, work)| (id.clone(), *work))
            .collect()
    }

    /// Selects an endpoint, of a preferred release if one has capacity, else of a fallback one.
    ///
    /// A request with little work leaves new time slots of rate-limited endpoints to others, unless there
    /// is no other endpoint.
    pub(super) fn pick(&self, query: &PlacementQuery<'_>, now: Millis) -> Option<SelectedEndpoint> {
        let is_light = self
            .reservation
            .is_light(query.service, self.work_ms(query));
        let is_unreserved = |e: &Endpoint| {
            let age = self.rate_limits.slot_age(&e.id, e.incarnation, now);
            !age.is_some_and(slot_reservation::is_reserved)
        };
        if is_light && let Some(selected) = self.pick_among(query, &is_unreserved, now) {
            return Some(selected);
        }
        self.pick_among(query, &|_| true, now)
    }

    /// Returns the prefill time of a request's whole prompt, in milliseconds.
    fn work_ms(&self, query: &PlacementQuery<'_>) -> f64 {
        let prompt = &query.prompt;
        let tokens = prompt.shared_tokens.saturating_add(prompt.unique_tokens);
        self.speed
            .prefill_ms(query.service, prompt.size_index, tokens)
    }

    /// Selects one of the endpoints for which `is_usable` is true.
    fn pick_among(
        &self,
        query: &PlacementQuery<'_>,
        is_usable: &dyn Fn(&Endpoint) -> bool,
        now: Millis,
    ) -> Option<SelectedEndpoint> {
        let mut primary = Vec::new();
        let mut fallback = Vec::new();
        let accepting = self.directory.accepting();
        let may_get_request = |e: &Endpoint| self.wait_for(e, now).is_none();
        let untried = accepting.filter(|e| {
            let is_untried = e.runs(query.service) && !query.excluded.contains(&e.id);
            let is_home = query.homes.contains(&e.data_centre, query.regions);
            let is_allowed = is_untried && is_home && !self.is_evacuated(e);
            is_allowed && may_get_request(e) && is_usable(e)
        });
        for endpoint in untried {
            match (query.eligibility)(&endpoint.release) {
                ReleaseEligibility::Preferred => primary.push(self.candidate(endpoint, query, now)),
                ReleaseEligibility::Fallback => fallback.push(self.candidate(endpoint, query, now)),
                ReleaseEligibility::Refused => {}
            }
        }
        let prompt = &query.prompt;
        let prefill_ms = |tokens| {
            self.speed
                .prefill_ms(query.service, prompt.size_index, tokens)
        };
        let prefix = prompt.shared_digest.map(|digest| SharedPrefix {
            digest,
            prefill_ms: prefill_ms(prompt.shared_tokens),
        });
        let work = Work {
            prefix,
            prefill_ms: prefill_ms(prompt.unique_tokens),
        };
        for candidates in [&mut primary, &mut fallback] {
            candidates.retain(|candidate| candidate.this_entry.running < query.max_in_flight);
            if self.warm_ups.has_rule(query.service) {
                placement::keep_warm_or_cold(candidates);
            }
            if let Some(selection) =
                placement::pick(candidates, &work, query.entry_count, query.draw)
            {
                return self.selected_endpoint(&selection, prompt);
            }
        }
        None
    }

    /// Selects an endpoint like [`Self::pick`] for a request that is sent at once, which counts
    /// towards the endpoint's rate limit.
    pub(super) fn reserve(
        &mut self,
        query: &PlacementQuery<'_>,
        now: Millis,
    ) -> Option<SelectedEndpoint> {
        let selected = self.pick(query, now)?;
        self.use_warm_up_slot(&selected, now);
        let work_ms = self.work_ms(query);
        self.reservation.record(query.service, work_ms);
        self.rate_limits
            .take(&selected.id, selected.incarnation, now);
        Some(selected)
    }

    fn candidate<'a>(
        &'a self,
        endpoint: &'a Endpoint,
        query: &PlacementQuery<'_>,
        now: Millis,
    ) -> Candidate<'a> {
        let id = &endpoint.id;
        let health = self.health.get(query.service);
        let last_heard = self.directory.last_heard(id).unwrap_or_default();
        let silence_limit = self.heartbeat_interval.as_u64() * MAX_MISSED_HEARTBEATS;
        Candidate {
            id,
            slots: endpoint.slots,
            this_entry: self.local_load.get(id).copied().unwrap_or_default(),
            other_entries: self.remote_load(id),
            is_near: endpoint.data_centre == *query.local_data_centre,
            condition: if now.since(last_heard).as_u64() > silence_limit {
                Condition::Silent
            } else if self.is_starting(endpoint, now) {
                Condition::Starting
            } else {
                Condition::Steady
            },
            status: health.map_or(papayatray_core::health::HealthStatus::Normal, |health| {
                health.status(id, now)
            }),
            speed: self.endpoint_speeds.speed(id, endpoint.incarnation, now),
            failure_rate: health.map_or(0.0, |health| health.failure_rate(id)),
            has_prefix: query
                .prompt
                .shared_digest
                .is_some_and(|digest| self.cached_prefixes.has_prefix(digest, id, now)),
        }
    }

    /// Returns the endpoint of a selection, or `None` if its address cannot be parsed.
    fn selected_endpoint(
        &self,
        selection: &Selection<'_>,
        prompt: &Prompt,
    ) -> Option<SelectedEndpoint> {
        let endpoint = self.directory.get(selection.id)?;
        let uncached_tokens = if selection.has_prefix {
            0
        } else {
            prompt.shared_tokens
        };
        Some(SelectedEndpoint {
            prefill_tokens: prompt.unique_tokens.saturating_add(uncached_tokens),
            expected_ms: round_millis(selection.expected_ms),
            rate_limit: self.rate_limits.rate(selection.id, endpoint.incarnation),
            ..SelectedEndpoint::new(endpoint)?
        })
    }

    /// Adds a request to the endpoint's load, and its shared prefix to those cached there.
    ///
    /// Returns the milliseconds of prefill that the request adds to the backlog.
    pub(super) fn start_request(
        &mut self,
        selected: &SelectedEndpoint,
        prompt: &Prompt,
        now: Millis,
    ) -> f64 {
        if let Some(digest) = prompt.shared_digest {
            let prefix = CachedPrefix {
                digest,
                endpoint: selected.id.clone(),
            };
            if self.cached_prefixes.record(&prefix, now) {
                self.prefix_updates.push(prefix);
            }
        }
        let prefill_ms = self.speed.prefill_ms(
            &selected.service,
            prompt.size_index,
            selected.prefill_tokens,
        );
        let load = self.local_load.entry(selected.id.clone()).or_default();
        load.running += 1;
        load.prefill_ms += prefill_ms;
        prefill_ms
    }

    /// Removes the prefill time of a request from the backlog, as the endpoint has read the prompt.
    pub(super) fn finish_prefill(&mut self, id: &EndpointId, prefill_ms: f64) {
        if let Some(load) = self.local_load.get_mut(id) {
            load.prefill_ms = (load.prefill_ms - prefill_ms).max(0.0);
        }
    }

    /// Updates the estimate of the prefill speed from the time to a stream's first event, or to a
    /// whole response.
    pub(super) fn record_latency(
        &mut self,
        selected: &SelectedEndpoint,
        prompt: &Prompt,
        latency: Millis,
        now: Millis,
    ) {
        let speed = self
            .endpoint_speeds
            .speed(&selected.id, selected.incarnation, now);
        // Estimates are times at speed 1.
        let latency = Millis::new(round_millis(latency.as_u64() as f64 * speed).into());
        self.speed.learn(
            &selected.service,
            prompt.size_index,
            selected.prefill_tokens,
            latency,
        );
    }

    /// Removes a request from the endpoint's load.
    pub(super) fn end_request(&mut self, id: &EndpointId) {
        if let Some(load) = self.local_load.get_mut(id) {
            load.running = load.running.saturating_sub(1);
            if load.running == 0 {
                self.local_load.remove(id);
            }
        }
    }

    /// Returns whether an endpoint of a service accepts requests.
    pub(super) fn has_accepting(&self, service: &ServiceId) -> bool {
        self.directory
            .accepting()
            .any(|endpoint| endpoint.runs(service))
    }

    /// Returns how many endpoints accept requests.
    pub(super) fn accepting_count(&self) -> usize {
        self.directory.accepting().count()
    }

    /// Returns the health records of a service's endpoints.
    pub(super) fn health(&mut self, service: &ServiceId) -> &mut Health {
        self.health.entry(service.clone()).or_default()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "rounded, and the cast saturates"
)]
#[expect(clippy::cast_sign_loss, reason = "times are not negative")]
fn round_millis(millis: f64) -> u32 {
    millis.round() as u32
}
