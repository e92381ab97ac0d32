//! Sync of the entries with a control replica.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Offer;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::crashes::LostRequest;
use papayatray_core::gateway::endpoint_speed::GapSum;
use papayatray_core::gateway::evacuation::EvacuationTable;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::release_evidence::EntryResults;
use papayatray_core::gateway::rollout::RolloutTable;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::CompactHints;
use papayatray_wire::peer::CrashFindings;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::Hints;
use papayatray_wire::peer::STANDBY_POLL_TIMEOUT;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future::FutureExt;

use super::ControlState;
use super::Inner;
use crate::gateway::state::log_changes;
use crate::observe::Level;
use crate::observe::event;

/// Shortest time between two replies to one entry: changes that come together, as when many
/// endpoints or entries start, are sent together.
const MIN_POLL_TIME: Millis = Millis::new(50);
/// Time without a sync after which the leader removes an entry from its list.
const ENTRY_TTL: Millis = Millis::new(1_500);
/// Time without a sync after which another replica does, with which entries sync less often.
const STANDBY_ENTRY_TTL: Millis = Millis::new(3_500);
/// Cached-prefix updates in one reply, so that a starting entry does not get all at once.
const MAX_PREFIXES_PER_REPLY: usize = 256;
/// Changes of rate limits in one reply.
const MAX_RATE_STATEMENTS_PER_REPLY: usize = 128;

/// # Entries
impl ControlState {
    /// Returns what changed since the entry's last sync.
    ///
    /// This is a long poll: while nothing changes, the reply is delayed by the time-out that the
    /// entry asks for.
    pub async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.record_entry(&request);
        let started_at = self.clock.now();
        let poll_end = started_at + request.poll_timeout.min(STANDBY_POLL_TIMEOUT);
        let is_first_contact = request.versions.endpoints.incarnation != self.incarnation;
        let min_end = if is_first_contact {
            started_at
        } else {
            started_at + MIN_POLL_TIME
        };
        loop {
            let listener = self.updated.listen();
            let now = self.clock.now();
            let has_updates = self.has_updates(&request, now);
            if now >= poll_end || (has_updates && now >= min_end) {
                return self.reply(&request, now);
            }
            let next_check = if has_updates { min_end } else { poll_end };
            let timeout = async {
                Timer::after(next_check.since(now).to_duration()).await;
            };
            listener.or(timeout).await;
        }
    }

    /// Stores an entry's sync request, unless a later incarnation of the entry has synced already.
    fn record_entry(&self, request: &SyncRequest) {
        let now = self.clock.now();
        let mut inner = self.inner();
        // Departures concern endpoints, so they count whichever incarnation of the entry reports.
        let has_departures = inner.apply_departures(&request.departures.updates);
        if inner.entries.record(&request.info, now) {
            let received = self.received_findings(&request.versions);
            inner
                .findings_received
                .insert(request.info.vm.clone(), received.unwrap_or_default());
            inner
                .entry_levels
                .insert(request.info.vm.clone(), request.format);
            inner.name_data_centre(&request.info.data_centre);
            inner.knows_endpoints |= !request.data_centres.is_empty();
            for data_centre in &request.data_centres {
                inner.name_data_centre(data_centre);
            }
            inner.apply_reports(request, now);
        }
        drop(inner);
        if has_departures {
            self.updated.notify(usize::MAX);
        }
    }

    /// Returns the number of the last findings on crashes that an entry has received from this
    /// incarnation of the replica, or `None` if it has received none.
    fn received_findings(&self, versions: &GatewayVersions) -> Option<u64> {
        (versions.endpoints.incarnation == self.incarnation).then_some(versions.findings)
    }

    /// Returns whether the entry must hear of a change before its poll times out.
    ///
    /// Loads, heartbeats, cached prefixes and the list of entries can wait for the time-out.
    fn has_updates(&self, request: &SyncRequest, now: Millis) -> bool {
        let inner = self.inner();
        let versions = &request.versions;
        let cursor = Cursor {
            incarnation: self.incarnation,
            number: inner.last_number,
        };
        let known_plan = if request.wants_plan {
            versions.plan
        } else {
            versions.plan.max(versions.named_plan)
        };
        inner.applied.plan_version > known_plan
            || inner.applied.rollouts.changes() > versions.rollouts
            || (request.format >= FormatLevel::EVACUATIONS
                && inner.applied.evacuations.changes() > versions.evacuations)
            || cursor != versions.endpoints
            || Some(inner.crashes.findings().quarantine_number) > self.received_findings(versions)
            || inner.applied.has_leader_lease(now) != request.expects_leader
    }

    fn reply(&self, request: &SyncRequest, now: Millis) -> SyncReply {
        let inner = self.inner();
        let mut versions = request.versions;
        let findings_seen = self.received_findings(&versions);
        let applied = &inner.applied;
        let is_current = applied.has_leader_lease(now);
        if versions.endpoints.incarnation != self.incarnation {
            // Another incarnation's numbers do not apply to this one, which then sends all updates.
            versions.endpoints.number = 0;
            versions.entries = 0;
            versions.cached_prefixes = 0;
            versions.heartbeats = 0;
            versions.loads = 0;
            versions.speeds = 0;
            versions.rate_statements = 0;
        }
        let is_plan_due = request.wants_plan && applied.plan_version > versions.plan;
        let rollouts = Arc::clone(&applied.rollouts);
        let has_rollouts = rollouts.changes() > versions.rollouts;
        let evacuations = Arc::clone(&applied.evacuations);
        let has_evacuations = evacuations.changes() > versions.evacuations;
        let prefixes = || {
            inner.cached_prefixes.updates_for(
                &request.info.vm,
                versions.cached_prefixes,
                MAX_PREFIXES_PER_REPLY,
            )
        };
        let reply = SyncReply {
            is_current,
            version: applied.plan_version,
            plan: None,
            serves_pieces: true,
            endpoints: inner.updates_after(
                versions.endpoints.number,
                versions.heartbeats,
                self.incarnation,
            ),
            data_centre: self.data_centre.clone(),
            entries: inner.entries.updates_after(versions.entries),
            rollouts: None,
            wall: self.clock.wall(),
            controls: applied.controls.clone(),
            loads: is_current.then(|| inner.loads.updates_after(versions.loads)),
            findings: inner.findings_after(findings_seen, now),
            rate_statements: inner.rate_statements.updates_for(
                &request.info.vm,
                versions.rate_statements,
                MAX_RATE_STATEMENTS_PER_REPLY,
            ),
            cached_prefixes: is_current.then(prefixes),
            hints: None,
            speeds: is_current.then(|| inner.speeds.updates_after(versions.speeds)),
            evacuations: None,
        };
        drop(inner);
        let reply = if request.reads_compact {
            with_compact_hints(reply)
        } else {
            reply
        };
        let plan = is_plan_due.then(|| self.plans.plan()).flatten();
        // Large parts are copied after the lock is released.
        SyncReply {
            plan: plan.map(|plan| Plan::clone(&plan)),
            rollouts: has_rollouts.then(|| RolloutTable::clone(&rollouts)),
            evacuations: has_evacuations.then(|| EvacuationTable::clone(&evacuations)),
            ..reply
        }
    }

    /// Removes entries that have not synced for some time.
    pub(in crate::gateway) fn expire_entries(&self) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let ttl = if inner.applied.has_leader_lease(now) {
            ENTRY_TTL
        } else {
            STANDBY_ENTRY_TTL
        };
        let expired = inner.entries.expire(ttl, now);
        for vm in &expired {
            inner.loads.forget(vm);
            inner.tallies.remove(vm);
            inner.findings_received.remove(vm);
            inner.entry_levels.remove(vm);
        }
        let Inner {
            speeds, directory, ..
        } = &mut *inner;
        speeds.retain(|id| directory.get(id).is_some());
        if !expired.is_empty() {
            let Inner {
                entries,
                cached_prefixes,
                rate_statements,
                ..
            } = &mut *inner;
            cached_prefixes.retain(|vm| entries.get(vm).is_some());
            rate_statements.retain(|vm| entries.get(vm).is_some());
        }
    }

    /// Evaluates the evidence on crashes of endpoints, if there is any.
    pub fn evaluate_crashes(&self) {
        let now = self.clock.now();
        let mut inner = self.inner();
        if !inner.crashes.needs_evaluation(now) {
            return;
        }
        let received = inner.findings_received.values().copied().min();
        let changes = inner.crashes.evaluate(received.unwrap_or_default(), now);
        drop(inner);
        log_changes(&changes, "control");
        if !changes.is_empty() {
            self.updated.notify(usize::MAX);
        }
    }

    /// Returns the results of a service's releases, by release and entry.
    pub(in crate::gateway) fn results(
        &self,
        service: &ServiceId,
    ) -> BTreeMap<String, EntryResults> {
        let inner = self.inner();
        let mut all: BTreeMap<String, EntryResults> = BTreeMap::new();
        for (vm, tallies) in &inner.tallies {
            let Some(info) = inner.entries.get(vm) else {
                continue;
            };
            for release_tally in tallies.iter().filter(|t| t.service == *service) {
                let entry = (vm.clone(), info.incarnation);
                let release = all.entry(release_tally.release.clone()).or_default();
                release.insert(entry, release_tally.results.clone());
            }
        }
        all
    }
}

/// Returns the reply with its loads and cached prefixes in compact form, if it has both.
fn with_compact_hints(mut reply: SyncReply) -> SyncReply {
    let (loads, prefixes) = match (reply.loads.take(), reply.cached_prefixes.take()) {
        (Some(loads), Some(prefixes)) => (loads, prefixes),
        (loads, cached_prefixes) => {
            return SyncReply {
                loads,
                cached_prefixes,
                ..reply
            };
        }
    };
    let hints = Hints { loads, prefixes };
    match CompactHints::encode(&hints) {
        Ok(compact) => reply.hints = Some(compact),
        Err(error) => {
            event(Level::Error, "hints_not_encoded", &[("error", &error)]);
            reply.loads = Some(hints.loads);
            reply.cached_prefixes = Some(hints.prefixes);
        }
    }
    reply
}

impl Inner {
    /// Stores what an entry reports about endpoints and requests.
    fn apply_reports(&mut self, request: &SyncRequest, now: Millis) {
        let vm = &request.info.vm;
        let incarnation = request.info.incarnation;
        self.cached_prefixes
            .receive(vm, incarnation, &request.cached_prefixes);
        self.rate_statements
            .receive(vm, incarnation, &request.rate_statements);
        self.tallies.insert(vm.clone(), request.tallies.clone());
        self.apply_gaps(&request.gaps, now);
        match &request.loads {
            Some(loads) => self.loads.report(vm, loads),
            None => self.loads.forget(vm),
        }
        let lost = request.crashes.updates.iter();
        let lost: Vec<LostRequest> = lost
            .map(|report| LostRequest::from_report(report, now))
            .collect();
        self.crashes.record(&lost);
        self.crashes.record_report(&request.answers, now);
    }

    /// Adds the gaps between events that an entry reports, and estimates the endpoints' speeds.
    fn apply_gaps(&mut self, gaps: &[GapSum], now: Millis) {
        for sum in gaps {
            let endpoint = self.directory.get(&sum.endpoint);
            let endpoint = endpoint.filter(|e| e.incarnation == sum.incarnation);
            if let Some(Offer::Service(service)) = endpoint.map(|e| &e.offer) {
                self.speeds.record(service, sum, now);
            }
        }
        for announced in self.speeds.evaluate(now) {
            event(
                Level::Info,
                "endpoint_speed",
                &[
                    ("endpoint", &announced.endpoint),
                    ("permille", &announced.thousandths),
                ],
            );
        }
    }

    /// Returns the findings on crashes, unless the entry has received them; `seen` is `None` if it has
    /// received none from this incarnation.
    fn findings_after(&self, seen: Option<u64>, now: Millis) -> Option<CrashFindings> {
        let findings = self.crashes.findings();
        (Some(findings.number) != seen).then(|| CrashFindings {
            number: findings.number,
            quarantined: findings.quarantined.iter().copied().collect(),
            suspected: findings
                .suspected
                .iter()
                .map(|(cause, crashed_at)| (*cause, now.since(*crashed_at)))
                .collect(),
        })
    }
}
