//! Endpoints as an entry of the gateway sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Directory;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::notes::UpdateBatch;
use papayatray_core::gateway::notes::UpdateLog;
use papayatray_core::gateway::placement;
use papayatray_core::gateway::placement::Backlog;
use papayatray_core::gateway::placement::Candidate;
use papayatray_core::gateway::placement::Condition;
use papayatray_core::gateway::placement::Selection;
use papayatray_core::gateway::placement::SharedPrefix;
use papayatray_core::gateway::placement::Work;
use papayatray_core::gateway::rollout::ReleaseEligibility;
use papayatray_core::gateway::speed::PrefillSpeed;
use papayatray_core::gateway::warmth::CachedPrefix;
use papayatray_core::gateway::warmth::PrefixDirectory;
use papayatray_core::health::Health;
use papayatray_core::id::DataCentre;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::EndpointLoad;
use papayatray_wire::peer::EndpointUpdates;

/// Missed heartbeats, in heartbeat times, after which an endpoint counts as silent.
const SILENT_BEATS: u64 = 4;
/// Notes on warm prefixes that are kept until the control replicas have taken them: some seconds'
/// worth of an entry's requests.
const WARM_NOTES: usize = 256;

/// Endpoint that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name.
    pub id: EndpointId,
    /// Number of the endpoint's start.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Service that it runs.
    pub service: ServiceId,
    /// Release that it runs.
    pub release: String,
    /// Milliseconds until the first event is expected.
    pub expected: u32,
    /// Tokens of the prompt that the endpoint has to read.
    pub unread: u32,
}

/// Wish for an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Wish<'a> {
    pub(super) service: &'a ServiceId,
    /// Endpoints that were tried already.
    pub(super) avoid: &'a [EndpointId],
    /// The prompt, where the request has one.
    pub(super) prompt: Prompt,
    pub(super) draw: u64,
    pub(super) near: &'a DataCentre,
    /// How far each release may be used.
    pub(super) standing: &'a dyn Fn(&str) -> ReleaseEligibility,
    /// Entries that place requests.
    pub(super) entries: usize,
    /// Requests that this entry may have at one endpoint.
    pub(super) most: u32,
}

/// Prompt of a request, as far as it concerns placement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prompt {
    /// Digest of the prefix that other requests share, together with the model's size.
    pub(super) shared: Option<u64>,
    /// Tokens of that prefix.
    pub(super) shared_tokens: u32,
    /// Tokens that are the request's own.
    pub(super) own_tokens: u32,
    /// Place of the model among the route's sizes.
    pub(super) size: usize,
}

/// Endpoints with this entry's own counts and experience.
#[derive(Debug)]
pub(super) struct Fleet {
    directory: Directory,
    own: BTreeMap<EndpointId, Backlog>,
    others: BTreeMap<EndpointId, Backlog>,
    speed: PrefillSpeed,
    warmth: PrefixDirectory,
    /// What other entries are to hear of `warmth`.
    warm_notes: UpdateLog<CachedPrefix>,
    health: BTreeMap<ServiceId, Health>,
    heartbeat: Millis,
}

impl Fleet {
    pub(super) fn new(heartbeat: Millis) -> Self {
        Self {
            heartbeat,
            directory: Directory::default(),
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            speed: PrefillSpeed::default(),
            warmth: PrefixDirectory::default(),
            warm_notes: UpdateLog::new(WARM_NOTES),
            health: BTreeMap::new(),
        }
    }

    /// Takes in news; returns the endpoints whose connections are of no more use.
    pub(super) fn take(&mut self, news: &EndpointUpdates, now: Millis) -> Vec<EndpointId> {
        let mut stale = Vec::new();
        for endpoint in &news.changed {
            let known = self.directory.get(&endpoint.id).map(|own| own.incarnation);
            if !self.directory.merge(endpoint, now) {
                continue;
            }
            stale.extend(self.directory.evict_address(endpoint));
            if known.is_some_and(|own| own != endpoint.incarnation) {
                self.forget_experience(&endpoint.id);
                stale.push(endpoint.id.clone());
            }
        }
        for departure in &news.departed {
            if self.directory.depart(&departure.id, departure.incarnation) {
                stale.push(departure.id.clone());
            }
        }
        for id in &news.renewed {
            self.directory.renew(id, now);
        }
        stale
    }

    fn forget_experience(&mut self, id: &EndpointId) {
        for health in self.health.values_mut() {
            health.forget(id);
        }
        self.warmth.forget(id);
    }

    /// Takes in the work of other entries' requests.
    pub(super) fn set_others(&mut self, loads: &[EndpointLoad]) {
        let backlogs = loads.iter().map(|load| {
            let backlog = Backlog {
                running: load.running,
                reading: f64::from(load.reading),
            };
            (load.id.clone(), backlog)
        });
        self.others = backlogs.collect();
    }

    /// Takes in which prefixes other entries' requests made endpoints read.
    pub(super) fn take_warm(&mut self, notes: &[CachedPrefix], now: Millis) {
        for read in notes {
            self.warmth.note(read, now);
        }
    }

    /// Returns which prefixes this entry's requests made endpoints read after note `told`.
    pub(super) fn warm_since(&self, told: u64) -> UpdateBatch<CachedPrefix> {
        UpdateBatch {
            upto: self.warm_notes.upto(),
            notes: self.warm_notes.since(told).cloned().collect(),
        }
    }

    /// Returns the work of this entry's requests.
    pub(super) fn loads(&self) -> Vec<EndpointLoad> {
        let busy = self.own.iter().filter(|(_, own)| own.running > 0);
        let loads = busy.map(|(id, own)| EndpointLoad {
            id: id.clone(),
            running: own.running,
            reading: whole(own.reading),
        });
        loads.collect()
    }

    /// Picks an endpoint, of a release of the first choice where one is at hand.
    pub(super) fn pick(&self, wish: &Wish<'_>, now: Millis) -> Option<Choice> {
        let mut preferred = Vec::new();
        let mut spare = Vec::new();
        let open = self.directory.open();
        let own = open.filter(|e| e.runs(wish.service) && !wish.avoid.contains(&e.id));
        for endpoint in own {
            match (wish.standing)(&endpoint.release) {
                ReleaseEligibility::Preferred => {
                    preferred.push(self.candidate(endpoint, wish, now))
                }
                ReleaseEligibility::Fallback => spare.push(self.candidate(endpoint, wish, now)),
                ReleaseEligibility::Refused => {}
            }
        }
        let prompt = &wish.prompt;
        let reading = |tokens| self.speed.reading(wish.service, prompt.size, tokens);
        let prefix = prompt.shared.map(|digest| SharedPrefix {
            digest,
            reading: reading(prompt.shared_tokens),
        });
        let work = Work {
            prefix,
            reading: reading(prompt.own_tokens),
        };
        for candidates in [&mut preferred, &mut spare] {
            candidates.retain(|candidate| candidate.own.running < wish.most);
            if let Some(pick) = placement::pick(candidates, &work, wish.entries, wish.draw) {
                return self.choice(&pick, prompt);
            }
        }
        None
    }

    fn candidate<'a>(
        &'a self,
        endpoint: &'a Endpoint,
        wish: &Wish<'_>,
        now: Millis,
    ) -> Candidate<'a> {
        let id = &endpoint.id;
        let health = self.health.get(wish.service);
        let heard = self.directory.heard(id).unwrap_or_default();
        let silent = self.heartbeat.as_u64() * SILENT_BEATS;
        Candidate {
            id,
            slots: endpoint.slots,
            own: self.own.get(id).copied().unwrap_or_default(),
            others: self.others.get(id).copied().unwrap_or_default(),
            is_near: endpoint.data_centre == *wish.near,
            condition: if now.since(heard).as_u64() > silent {
                Condition::Silent
            } else if endpoint.cold > now.since(heard) {
                Condition::Starting
            } else {
                Condition::Steady
            },
            standing: health.map_or(papayatray_core::health::HealthStatus::Normal, |own| {
                own.standing(id, now)
            }),
            failures: health.map_or(0.0, |own| own.failures(id)),
            has_prefix: wish
                .prompt
                .shared
                .is_some_and(|digest| self.warmth.has_prefix(digest, id, now)),
        }
    }

    fn choice(&self, pick: &Selection<'_>, prompt: &Prompt) -> Option<Choice> {
        let endpoint = self.directory.get(pick.id)?;
        let papayatray_core::directory::Offer::Service(service) = &endpoint.offer else {
            return None;
        };
        let anew = if pick.has_prefix {
            0
        } else {
            prompt.shared_tokens
        };
        Some(Choice {
            id: pick.id.clone(),
            unread: prompt.own_tokens.saturating_add(anew),
            expected: whole(pick.expected),
            incarnation: endpoint.incarnation,
            address: endpoint.address.parse().ok()?,
            service: service.clone(),
            release: endpoint.release.clone(),
        })
    }

    /// Counts a request that is sent to `id`; returns the milliseconds of reading it adds.
    pub(super) fn begin(&mut self, choice: &Choice, prompt: &Prompt, now: Millis) -> f64 {
        if let Some(digest) = prompt.shared {
            let read = CachedPrefix {
                digest,
                endpoint: choice.id.clone(),
            };
            if self.warmth.note(&read, now) {
                self.warm_notes.push(read);
            }
        }
        let reading = self
            .speed
            .reading(&choice.service, prompt.size, choice.unread);
        let own = self.own.entry(choice.id.clone()).or_default();
        own.running += 1;
        own.reading += reading;
        reading
    }

    /// Notes that a request's prompt has been read.
    pub(super) fn read(&mut self, id: &EndpointId, reading: f64) {
        if let Some(own) = self.own.get_mut(id) {
            own.reading = (own.reading - reading).max(0.0);
        }
    }

    /// Learns from the time to a first event.
    pub(super) fn learn(&mut self, choice: &Choice, prompt: &Prompt, latency: Millis) {
        self.speed
            .learn(&choice.service, prompt.size, choice.unread, latency);
    }

    /// Notes that a request has ended.
    pub(super) fn end(&mut self, id: &EndpointId) {
        if let Some(own) = self.own.get_mut(id) {
            own.running = own.running.saturating_sub(1);
            if own.running == 0 {
                own.reading = 0.0;
            }
        }
    }

    /// Returns how many endpoints take work.
    pub(super) fn count(&self) -> usize {
        self.directory.open().count()
    }

    /// Returns the experience with the endpoints of a service.
    pub(super) fn health(&mut self, service: &ServiceId) -> &mut Health {
        self.health.entry(service.clone()).or_default()
    }
}

#[expect(clippy::cast_possible_truncation, reason = "rounded, and saturating")]
#[expect(clippy::cast_sign_loss, reason = "work is not negative")]
fn whole(millis: f64) -> u32 {
    millis.round() as u32
}
