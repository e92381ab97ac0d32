//! Leader state that is not in the log: leases, the ratings of all entries ("evidence"), and
//! failure detection by version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Stage;
use papayatray_core::choice::RatingTable;
use papayatray_core::clock::Millis;
use papayatray_core::id::ChangeId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::OperatorId;
use papayatray_core::id::Revision;
use papayatray_core::id::Term;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;
use papayatray_core::lease::LeaseTable;
use papayatray_core::regression::FailureBaseline;
use papayatray_core::regression::RegressionDetector;
use papayatray_core::regression::Tally;
use papayatray_state::machine::StateMachine;
use papayatray_state::replica::Members;
use papayatray_wire::peer::EntryVersions;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::RenewRequest;

/// Minimum interval between two merges of all entries' ratings.
const EVIDENCE_INTERVAL: Millis = Millis::new(500);
/// Author of the changes that the leader makes without an operator.
const AUTHOR: &str = "papayatray";

/// State that one entry reported with its renewals.
#[derive(Debug)]
struct EntryState {
    incarnation: Incarnation,
    /// Counts of good and bad responses since the entry started.
    tallies: BTreeMap<VersionId, Tally>,
    /// Ratings that the entry received.
    evidence: RatingTable,
    /// Number of bills committed since the entry started.
    billed: u64,
}

/// Failure detection for one version; the other versions in stage offered are its baseline.
#[derive(Debug, Default)]
struct VersionMonitor {
    detector: RegressionDetector,
    baseline: FailureBaseline,
    /// Stage of the version when its tallies were last evaluated.
    stage: Option<&'static str>,
}

/// Volatile state of a leader, created anew for each term.
#[derive(Debug)]
pub struct LeaderState {
    term: Term,
    pub(super) leases: LeaseTable,
    entry_states: BTreeMap<VmId, EntryState>,
    /// Ratings of all entries, merged.
    evidence: RatingTable,
    evidence_version: u64,
    is_evidence_dirty: bool,
    merged_at: Millis,
    monitors: BTreeMap<VersionId, VersionMonitor>,
    /// Tallies reported since the last call of [`LeaderState::maintain`].
    new_tallies: BTreeMap<VersionId, Tally>,
    /// Revision at which a halt was last proposed, so that only one is proposed for each revision.
    halted_revision: Option<Revision>,
}

impl LeaderState {
    /// Creates the state of a leader whose term began at `now`.
    pub fn new(term: Term, now: Millis) -> Self {
        Self {
            term,
            leases: LeaseTable::new(now),
            entry_states: BTreeMap::new(),
            evidence: RatingTable::default(),
            // The term in the high bits makes these greater than any earlier leader's versions.
            evidence_version: term.0 << 32,
            is_evidence_dirty: false,
            merged_at: now,
            monitors: BTreeMap::new(),
            new_tallies: BTreeMap::new(),
            halted_revision: None,
        }
    }

    pub(super) const fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of bills that an entry reported as committed.
    pub(super) fn billed(&self, vm: &VmId) -> u64 {
        self.entry_states.get(vm).map_or(0, |state| state.billed)
    }

    /// Renews an entry's lease, and records its tallies, ratings and number of bills.
    pub fn renew(&mut self, request: &RenewRequest, now: Millis) {
        self.leases.renew(&request.info, request.acknowledged, now);
        let incarnation = request.info.incarnation;
        let initial = EntryState {
            incarnation,
            tallies: BTreeMap::new(),
            evidence: RatingTable::default(),
            billed: 0,
        };
        let state = self
            .entry_states
            .entry(request.info.vm.clone())
            .or_insert(initial);
        if state.incarnation != incarnation {
            state.incarnation = incarnation;
            state.tallies.clear();
        }
        state.billed = request.billed;
        for (version, tally) in &request.tallies {
            let before = state
                .tallies
                .insert(version.clone(), *tally)
                .unwrap_or_default();
            self.new_tallies
                .entry(version.clone())
                .or_default()
                .add(&tally.since(&before));
        }
        if let Some(evidence) = &request.evidence {
            state.evidence = evidence.clone();
            self.is_evidence_dirty = true;
        }
    }

    /// Expires leases and evaluates new tallies; returns a change that halts a failing version.
    pub fn maintain(&mut self, machine: &StateMachine, now: Millis) -> Option<Change> {
        self.leases.expire(now);
        if self.is_evidence_dirty && now.since(self.merged_at) >= EVIDENCE_INTERVAL {
            self.merge_evidence(now);
        }
        if self.new_tallies.is_empty() {
            return None;
        }
        let new_tallies = std::mem::take(&mut self.new_tallies);
        let bad = self.find_bad_version(&new_tallies, machine.catalogue());
        let revision = machine.catalogue().revision;
        if self.halted_revision == Some(revision) {
            return None;
        }
        let change = bad.and_then(|version| halt_change(&version, machine.catalogue()))?;
        self.halted_revision = Some(revision);
        Some(change)
    }

    fn merge_evidence(&mut self, now: Millis) {
        let mut merged = RatingTable::default();
        for state in self.entry_states.values() {
            merged.merge(&state.evidence);
        }
        self.evidence = merged;
        self.evidence_version += 1;
        self.is_evidence_dirty = false;
        self.merged_at = now;
    }

    /// Adds the tallies to the monitors; returns a version that fails more than its baseline.
    fn find_bad_version(
        &mut self,
        new_tallies: &BTreeMap<VersionId, Tally>,
        catalogue: &Catalogue,
    ) -> Option<VersionId> {
        let served: BTreeSet<&VersionId> = catalogue
            .versions
            .iter()
            .filter(|(_, v)| matches!(v.stage, Stage::Offered | Stage::RollOut { .. }))
            .map(|(id, _)| id)
            .collect();
        let mut bad = None;
        for id in served {
            let stage = catalogue.versions[id].stage.as_str();
            let monitor = self.monitors.entry(id.clone()).or_default();
            if monitor.stage != Some(stage) {
                // An operator moved or resumed the version: earlier failures no longer count.
                monitor.detector.reset();
                monitor.stage = Some(stage);
            }
            for (other, tally) in new_tallies.iter().filter(|(other, _)| *other != id) {
                let other_stage = catalogue.versions.get(other).map(|v| &v.stage);
                if other_stage == Some(&Stage::Offered) {
                    monitor.baseline.add(tally);
                }
            }
            if let Some(tally) = new_tallies.get(id)
                && monitor.detector.add(tally, &monitor.baseline)
            {
                bad = Some(id.clone());
            }
        }
        self.monitors
            .retain(|id, _| catalogue.versions.contains_key(id));
        bad
    }

    /// Returns the reply to a renewal: the parts of the state that are newer than the entry's.
    pub fn renew_reply(
        &self,
        request: &RenewRequest,
        machine: &StateMachine,
        members: &Members,
        now: Millis,
    ) -> RenewReply {
        let catalogue = machine.catalogue();
        let reported = request.versions;
        let versions = EntryVersions {
            revision: catalogue.revision,
            suspects: machine.suspects().version(),
            entries: self.leases.version(),
            evidence: self.evidence_version,
        };
        let changes = if reported.revision == Revision(0) {
            None
        } else {
            machine.changes().since(reported.revision)
        };
        let is_behind = reported.revision != versions.revision;
        RenewReply {
            versions,
            catalogue: (is_behind && changes.is_none()).then(|| catalogue.clone()),
            changes: changes.unwrap_or_default(),
            suspects: (reported.suspects != versions.suspects)
                .then(|| machine.suspects().fingerprints()),
            entries: (reported.entries != versions.entries)
                .then(|| self.leases.updates_since(reported.entries)),
            evidence: (reported.evidence != versions.evidence).then(|| self.evidence.clone()),
            in_force: self.leases.in_force(catalogue.revision, now),
            controls: members
                .iter()
                .map(|(id, m)| (id.vm.clone(), m.address.clone()))
                .collect(),
        }
    }
}

/// Returns the change that halts `version`, or `None` if the version is offered and an organisation
/// that may use it could start requests on no other.
fn halt_change(version: &VersionId, catalogue: &Catalogue) -> Option<Change> {
    let is_offered = catalogue.versions.get(version)?.stage == Stage::Offered;
    let has_other = |id| {
        catalogue
            .startable_versions(id)
            .any(|(other, _)| other != version)
    };
    let may_use = |id: &&_| catalogue.is_allowed(id, version);
    if is_offered
        && !catalogue
            .organisations
            .keys()
            .filter(may_use)
            .all(has_other)
    {
        return None;
    }
    let reason = "errors or low ratings beyond those of the other versions";
    let id = ChangeId::new(format!("halt/{version}/{}", catalogue.revision)).ok()?;
    Some(Change {
        id,
        base: catalogue.revision,
        author: OperatorId::new(AUTHOR).ok()?,
        why: reason.to_owned(),
        edits: vec![Edit::Halt {
            version: version.clone(),
            reason: reason.to_owned(),
        }],
    })
}
