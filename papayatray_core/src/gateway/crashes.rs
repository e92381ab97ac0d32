//! Evidence on what makes endpoints crash, collected over the whole fleet.
//!
//! All requests that an endpoint was about to answer when it crashed are reported, and each crash
//! counts against each possible cause in such a request: the request itself, and each part of its
//! prompt that other requests may share. A later answer to a request clears the possible causes in
//! it. [`attribution`](super::attribution) decides from the rest what is quarantined.
//!
//! The chat interface runs suspects in isolation trials instead, which are coordinated through the
//! replicated log. Here trials would delay the many sound requests in flight at every crash, so the
//! evidence is soft state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::answers::AnswerReport;
use super::attribution;
use super::attribution::Attribution;
use super::attribution::Candidate;
use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::id::ServiceId;
use crate::suspicion::EndpointIncarnation;

/// Time for which a crash counts; callers stop retrying a request long before.
const EVIDENCE_TTL: Millis = Millis::from_secs(120);
/// Duration of the first quarantine of a cause; doubles with each further one.
const MIN_QUARANTINE: Millis = Millis::from_secs(300);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Millis = Millis::from_secs(3_600);
/// Time from the publication of a suspect after which it is quarantined although not all entries have
/// answered; several rounds of syncs.
const ANSWER_TIMEOUT: Millis = Millis::new(1_000);
/// Maximum number of suspects of an entry; of more, those with the fewest crashes are evicted, and
/// among these the ones with the oldest crashes.
const MAX_SUSPECTS: usize = 512;
/// Crashes of one service that are kept; of more, the oldest are dropped. Covers all endpoints of a large
/// deployment, several times over.
const MAX_SERVICE_CRASHES: usize = 1_024;
/// Suspects that are published at once, those with the most crashes first.
const MAX_PUBLISHED: usize = 32;

/// Interval of evaluations without new evidence, in which quarantines end and evidence expires.
const MAX_EVALUATION_AGE: Millis = Millis::from_secs(1);

/// What may make endpoints crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashCause {
    /// Request, by its digest.
    #[serde(rename = "request")]
    Request(Fingerprint),
    /// Part of a prompt, by its digest, whatever else a request holds.
    #[serde(rename = "part")]
    PromptPart(u64),
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request:{:032x}", fingerprint.0),
            Self::PromptPart(digest) => write!(f, "part:{digest:x}"),
        }
    }
}

/// Returns the possible causes of crashes in a request.
///
/// `parts` are the digests of the prompt parts that other requests may share.
pub fn causes(request: Fingerprint, parts: &[u64]) -> impl Iterator<Item = CrashCause> {
    let parts = parts.iter().copied().map(CrashCause::PromptPart);
    std::iter::once(CrashCause::Request(request)).chain(parts)
}

/// Request that an endpoint was about to answer when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Endpoint that crashed.
    pub endpoint: EndpointIncarnation,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Digest of the request.
    pub request: Fingerprint,
    /// Digests of the prompt parts that other requests may share, in the order of the prompt.
    pub parts: Vec<u64>,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: Millis,
    /// Time at which the connection was lost.
    pub crashed_at: Millis,
    /// Whether the endpoint had started the answer.
    pub has_started: bool,
}

/// [`LostRequest`] as one process reports it to another, whose clock differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Endpoint that crashed.
    pub endpoint: EndpointIncarnation,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Digest of the request.
    pub request: Fingerprint,
    /// Digests of the prompt parts that other requests may share, in the order of the prompt.
    pub parts: Vec<u64>,
    /// Time since the crash.
    pub age: Millis,
    /// Time from sending the request to the crash.
    pub ran_for: Millis,
    /// Whether the endpoint had started the answer.
    pub has_started: bool,
}

impl LostRequest {
    /// Returns the report at the time `now`.
    pub fn report(&self, now: Millis) -> CrashReport {
        CrashReport {
            endpoint: self.endpoint.clone(),
            service: self.service.clone(),
            request: self.request,
            parts: self.parts.clone(),
            age: now.since(self.crashed_at),
            ran_for: self.crashed_at.since(self.sent_at),
            has_started: self.has_started,
        }
    }

    /// Converts a report that is received at the time `now`.
    pub fn from_report(report: &CrashReport, now: Millis) -> Self {
        let crashed_at = now.since(report.age);
        Self {
            endpoint: report.endpoint.clone(),
            service: report.service.clone(),
            request: report.request,
            parts: report.parts.clone(),
            sent_at: crashed_at.since(report.ran_for),
            crashed_at,
            has_started: report.has_started,
        }
    }
}

/// Suspects and quarantined causes, as published to entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Number of the last change.
    pub number: u64,
    /// Number of the last change of what is quarantined.
    pub quarantine_number: u64,
    /// Causes of crashes: no entry may send a request with one.
    pub quarantined: BTreeSet<CrashCause>,
    /// Causes that may be quarantined soon, and the time of the first crash of each that counts. An
    /// entry at which a request with one began to be answered after that crash has to say so.
    pub suspected: Vec<(CrashCause, Millis)>,
}

impl Findings {
    /// Returns what changes if `quarantined` is; `count` returns the crashes of a cause.
    fn changes_to<F>(&self, quarantined: &BTreeSet<CrashCause>, count: F) -> FindingChanges
    where
        F: Fn(&CrashCause) -> usize,
    {
        let added = quarantined.difference(&self.quarantined);
        let released = self.quarantined.difference(quarantined);
        FindingChanges {
            quarantined: added.map(|cause| (*cause, count(cause))).collect(),
            released: released.copied().collect(),
            weighed: Vec::new(),
        }
    }
}

/// What changed when the evidence was evaluated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingChanges {
    /// Causes quarantined from now on, and the number of their crashes.
    pub quarantined: Vec<(CrashCause, usize)>,
    /// Causes no longer quarantined.
    pub released: Vec<CrashCause>,
    /// Requests with new crashes that are not quarantined.
    pub weighed: Vec<WeighedRequest>,
}

/// Evidence against a request that crashed several endpoints and is not quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeighedRequest {
    /// Digest of the request.
    pub request: Fingerprint,
    /// Endpoints that crashed with the request in flight.
    pub crashes: usize,
    /// Those among them that no quarantined cause explains.
    pub unexplained: usize,
    /// What these count: crashes that may have a common cause count once.
    pub counted: usize,
    /// Whether the request was ever answered, as far as entries have said.
    pub was_answered: bool,
}

impl FindingChanges {
    /// Returns whether nothing changed of what is quarantined.
    pub const fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.released.is_empty()
    }
}

/// Crash that counts against a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) request: Fingerprint,
    pub(super) sent_at: Millis,
    pub(super) crashed_at: Millis,
    pub(super) has_started: bool,
}

/// Number that stands for an endpoint incarnation in a [`CrashTable`].
pub(super) type CrashId = u64;

/// Publication of a suspect.
#[derive(Clone, Copy, Debug)]
struct Publication {
    /// Number of the findings.
    number: u64,
    published_at: Millis,
}

impl Publication {
    /// Returns whether entries had time to answer, if all of them have findings `received`.
    fn is_answered(&self, received: u64, now: Millis) -> bool {
        received >= self.number || now.since(self.published_at) >= ANSWER_TIMEOUT
    }
}

/// Evidence against one cause.
#[derive(Clone, Debug)]
struct Record {
    service: ServiceId,
    /// Crashes since a request with the cause was answered.
    crashes: BTreeMap<CrashId, Crash>,
    /// Largest position of the part in a prompt; 0 for a request.
    depth: usize,
    /// Whether a request with the cause was ever answered, as far as entries remember.
    was_answered: bool,
    /// First publication as a suspect.
    publication: Option<Publication>,
    /// End of the quarantine that is in force.
    held_until: Option<Millis>,
    /// Number of quarantines so far that were not found to be wrong.
    quarantines: u32,
    /// End of the last quarantine.
    released_at: Option<Millis>,
    /// Crashes when the cause was last reported as weighed.
    weighed_crashes: usize,
}

impl Record {
    /// Returns whether the cause was quarantined and released before, and never found harmless.
    const fn is_relapse(&self) -> bool {
        self.released_at.is_some()
    }

    fn quarantine(&mut self, now: Millis) {
        let factor = 1_u64.checked_shl(self.quarantines).unwrap_or(u64::MAX);
        let length = MIN_QUARANTINE.as_u64().saturating_mul(factor);
        self.held_until = Some(now + Millis::new(length).min(MAX_QUARANTINE));
        self.quarantines += 1;
    }

    /// Ends a quarantine that was wrong.
    const fn reset_quarantines(&mut self) {
        self.held_until = None;
        self.released_at = None;
        self.quarantines = 0;
    }

    /// Ends a quarantine that has run out; the cause may be tried again.
    fn end_quarantine(&mut self, now: Millis) {
        if self.held_until.is_some_and(|end| end <= now) {
            self.held_until = None;
            self.released_at = Some(now);
            self.crashes.clear();
        }
    }

    fn expire(&mut self, now: Millis) {
        if self.held_until.is_none() {
            self.crashes
                .retain(|_, crash| now.since(crash.crashed_at) < EVIDENCE_TTL);
        }
        let is_long_ago = |at| now.since(at) >= MAX_QUARANTINE;
        if self.held_until.is_none() && self.released_at.is_some_and(is_long_ago) {
            self.reset_quarantines();
        }
    }

    fn is_needed(&self) -> bool {
        !self.crashes.is_empty() || self.quarantines > 0
    }

    /// Sort key by which records are evicted, the smallest first.
    fn eviction_rank(&self) -> (bool, usize, Millis) {
        let last = self.crashes.values().map(|crash| crash.crashed_at).max();
        let is_kept = self.quarantines > 0;
        (is_kept, self.crashes.len(), last.unwrap_or_default())
    }
}

/// Evidence by cause.
#[derive(Clone, Debug)]
pub struct CrashTable {
    records: BTreeMap<CrashCause, Record>,
    capacity: usize,
    crash_ids: BTreeMap<EndpointIncarnation, CrashId>,
    last_crash_id: CrashId,
    /// Times of the crashes, by service, whether they count against a cause or not.
    service_crashes: BTreeMap<ServiceId, BTreeMap<CrashId, Millis>>,
    /// Time at which the last request of each service that was answered began to be.
    answered_at: BTreeMap<ServiceId, Millis>,
    findings: Findings,
    has_new_evidence: bool,
    evaluated_at: Millis,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::with_capacity(MAX_SUSPECTS)
    }
}

impl CrashTable {
    /// Creates a table that keeps the evidence on at most `capacity` causes.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            crash_ids: BTreeMap::new(),
            last_crash_id: 0,
            service_crashes: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            findings: Findings::default(),
            has_new_evidence: false,
            evaluated_at: Millis::ZERO,
            capacity,
        }
    }

    /// Records requests that were lost in crashes; one that is reported repeatedly counts once.
    pub fn record<'a, I>(&mut self, lost_requests: I)
    where
        I: IntoIterator<Item = &'a LostRequest>,
    {
        for lost in lost_requests {
            self.has_new_evidence = true;
            let id = self.crash_id(&lost.endpoint);
            self.record_service_crash(&lost.service, id, lost.crashed_at);
            let crash = Crash {
                request: lost.request,
                sent_at: lost.sent_at,
                crashed_at: lost.crashed_at,
                has_started: lost.has_started,
            };
            for (depth, cause) in causes(lost.request, &lost.parts).enumerate() {
                let record = self.records.entry(cause).or_insert_with(|| Record {
                    service: lost.service.clone(),
                    crashes: BTreeMap::new(),
                    depth: 0,
                    was_answered: false,
                    publication: None,
                    held_until: None,
                    quarantines: 0,
                    released_at: None,
                    weighed_crashes: 0,
                });
                record.depth = record.depth.max(depth);
                let known = record.crashes.entry(id).or_insert(crash);
                // Of several requests at the endpoint, one whose answer had started is the likeliest
                // cause, and the one sent last says most about the order of crashes.
                if (crash.has_started, crash.sent_at) > (known.has_started, known.sent_at) {
                    *known = crash;
                }
            }
        }
        self.evict_beyond_capacity();
    }

    fn crash_id(&mut self, endpoint: &EndpointIncarnation) -> CrashId {
        if let Some(id) = self.crash_ids.get(endpoint) {
            return *id;
        }
        self.last_crash_id += 1;
        self.crash_ids.insert(endpoint.clone(), self.last_crash_id);
        self.last_crash_id
    }

    fn record_service_crash(&mut self, service: &ServiceId, id: CrashId, crashed_at: Millis) {
        let crashes = self.service_crashes.entry(service.clone()).or_default();
        crashes.entry(id).or_insert(crashed_at);
        if crashes.len() > MAX_SERVICE_CRASHES {
            crashes.pop_first();
        }
    }

    /// Records the answers that an entry reports at the time `now`.
    pub fn record_report(&mut self, report: &AnswerReport, now: Millis) {
        for (service, age) in &report.services {
            self.record_service_answer(service, now.since(*age));
        }
        for (cause, age) in &report.causes {
            self.record_answer(*cause, now.since(*age));
        }
        for cause in &report.earlier {
            if let Some(record) = self.records.get_mut(cause) {
                self.has_new_evidence |= !record.was_answered;
                record.was_answered = true;
            }
        }
    }

    /// Records that an endpoint began at `began_at` to answer a request with the cause, and went on.
    ///
    /// Crashes before that were not due to the cause.
    pub fn record_answer(&mut self, cause: CrashCause, began_at: Millis) {
        if let Some(record) = self.records.get_mut(&cause) {
            record.was_answered = true;
            let before = record.crashes.len();
            record
                .crashes
                .retain(|_, crash| crash.crashed_at > began_at);
            if record.crashes.len() < before {
                self.has_new_evidence = true;
                record.reset_quarantines();
            }
        }
    }

    /// Records that an endpoint of the service began at `began_at` to answer some request.
    pub fn record_service_answer(&mut self, service: &ServiceId, began_at: Millis) {
        let last = self.answered_at.entry(service.clone()).or_default();
        *last = began_at.max(*last);
    }

    /// A crash of one endpoint makes suspects of all requests that it was about to answer; few crash a
    /// second one.
    fn evict_beyond_capacity(&mut self) {
        let excess = self.records.len().saturating_sub(self.capacity);
        if excess == 0 {
            return;
        }
        let ranks = self.records.iter();
        let mut ranked: Vec<_> = ranks
            .map(|(cause, record)| (record.eviction_rank(), *cause))
            .collect();
        ranked.sort_unstable();
        for (_, cause) in ranked.into_iter().take(excess) {
            self.records.remove(&cause);
        }
    }

    /// Returns whether an evaluation may find something else than the last one.
    pub fn needs_evaluation(&self, now: Millis) -> bool {
        let is_waiting = !self.findings.suspected.is_empty();
        let is_old = now.since(self.evaluated_at) >= MAX_EVALUATION_AGE;
        self.has_new_evidence || (!self.is_empty() && (is_waiting || is_old))
    }

    /// Decides anew what is quarantined and suspected; returns the changes of the quarantine.
    ///
    /// `received` is the number of the last findings that all entries have received and answered.
    pub fn evaluate(&mut self, received: u64, now: Millis) -> FindingChanges {
        self.has_new_evidence = false;
        self.evaluated_at = now;
        self.expire(now);
        let no_crashes = BTreeMap::new();
        let attributed = attribution::attribute(self.records.iter().map(|(cause, record)| {
            let is_answered = record
                .publication
                .is_some_and(|publication| publication.is_answered(received, now));
            Candidate {
                cause: *cause,
                depth: record.depth,
                was_answered: record.was_answered,
                crashes: &record.crashes,
                is_relapse: record.is_relapse(),
                may_be_chosen: record.held_until.is_some() || record.is_relapse() || is_answered,
                answered_at: self.answered_at.get(&record.service).copied(),
                service_crashes: self
                    .service_crashes
                    .get(&record.service)
                    .unwrap_or(&no_crashes),
            }
        }));
        self.apply(attributed, now)
    }

    fn apply(&mut self, attributed: Attribution, now: Millis) -> FindingChanges {
        let Attribution {
            chosen,
            mut suspected,
            weighed,
        } = attributed;
        suspected.truncate(MAX_PUBLISHED);
        let mut changes = self.findings.changes_to(&chosen, |cause| {
            self.records.get(cause).map_or(0, |r| r.crashes.len())
        });
        if !changes.is_empty() || suspected != self.findings.suspected {
            self.findings.number += 1;
        }
        if !changes.is_empty() {
            self.findings.quarantine_number = self.findings.number;
        }
        let published = Publication {
            number: self.findings.number,
            published_at: now,
        };
        let suspects: BTreeSet<CrashCause> = suspected.iter().map(|(cause, _)| *cause).collect();
        for (cause, record) in &mut self.records {
            let is_chosen = chosen.contains(cause);
            if is_chosen && record.held_until.is_none() {
                record.quarantine(now);
            } else if !is_chosen && record.held_until.is_some() {
                record.reset_quarantines();
            }
            let is_suspect = suspects.contains(cause);
            record.publication = record
                .publication
                .or(Some(published))
                .filter(|_| is_suspect);
        }
        changes.weighed = weighed;
        changes.weighed.retain(|weighed| self.mark_weighed(weighed));
        self.findings.quarantined = chosen;
        self.findings.suspected = suspected;
        changes
    }

    /// Records the crashes with which a request was weighed; returns whether there are new ones.
    fn mark_weighed(&mut self, weighed: &WeighedRequest) -> bool {
        let record = self.records.get_mut(&CrashCause::Request(weighed.request));
        record.is_some_and(|record| {
            std::mem::replace(&mut record.weighed_crashes, weighed.crashes) < weighed.crashes
        })
    }

    fn expire(&mut self, now: Millis) {
        for record in self.records.values_mut() {
            record.end_quarantine(now);
            record.expire(now);
        }
        self.records.retain(|_, record| record.is_needed());
        for crashes in self.service_crashes.values_mut() {
            crashes.retain(|_, crashed_at| now.since(*crashed_at) < EVIDENCE_TTL);
        }
        self.service_crashes
            .retain(|_, crashes| !crashes.is_empty());
        let counted = self.records.values().flat_map(|r| r.crashes.keys());
        let recent = self.service_crashes.values().flat_map(BTreeMap::keys);
        let used: BTreeSet<CrashId> = counted.chain(recent).copied().collect();
        self.crash_ids.retain(|_, id| used.contains(id));
    }

    /// Returns what the last evaluation found.
    pub const fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns the number of causes with evidence against them.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
