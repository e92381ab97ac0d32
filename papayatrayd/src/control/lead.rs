//! What a leader knows beyond the log: leases, evidence, and the watch over versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Stage;
use papayatray_core::choice::Evidence;
use papayatray_core::clock::Millis;
use papayatray_core::id::ChangeId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::OperatorId;
use papayatray_core::id::Revision;
use papayatray_core::id::Term;
use papayatray_core::id::VersionId;
use papayatray_core::id::VmId;
use papayatray_core::lease::LeaseTable;
use papayatray_core::rollout::FailureBaseline;
use papayatray_core::rollout::Tally;
use papayatray_core::rollout::Watch;
use papayatray_state::machine::StateMachine;
use papayatray_state::replica::Members;
use papayatray_wire::peer::Renew;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::Seen;

/// Time between two sums over all entries' ratings.
const SUM_EVERY: Millis = Millis::new(500);
/// Name under which the leader changes the configuration by itself.
const AUTHOR: &str = "papayatray";

/// What an entry has told.
#[derive(Debug)]
struct Told {
    incarnation: Incarnation,
    tallies: BTreeMap<VersionId, Tally>,
    evidence: Evidence,
    billed: u64,
}

/// Watch over one version, with the others as its reference.
#[derive(Debug, Default)]
struct Guard {
    watch: Watch,
    reference: FailureBaseline,
    stage: Option<&'static str>,
}

/// State of a leader for one term.
#[derive(Debug)]
pub struct LeaderState {
    term: Term,
    pub(super) leases: LeaseTable,
    told: BTreeMap<VmId, Told>,
    evidence: Evidence,
    evidence_version: u64,
    is_stale: bool,
    summed: Millis,
    guards: BTreeMap<VersionId, Guard>,
    fresh: BTreeMap<VersionId, Tally>,
    halted_at: Option<Revision>,
}

impl LeaderState {
    /// Creates the state of a leader whose term began at `now`.
    pub fn new(term: Term, now: Millis) -> Self {
        Self {
            term,
            leases: LeaseTable::new(now),
            told: BTreeMap::new(),
            evidence: Evidence::default(),
            // Versions of an earlier leader are smaller, so that nobody takes them for these.
            evidence_version: term.0 << 32,
            is_stale: false,
            summed: now,
            guards: BTreeMap::new(),
            fresh: BTreeMap::new(),
            halted_at: None,
        }
    }

    pub(super) const fn term(&self) -> Term {
        self.term
    }

    pub(super) fn billed(&self, vm: &VmId) -> u64 {
        self.told.get(vm).map_or(0, |told| told.billed)
    }

    /// Takes in what an entry tells, and gives it a lease.
    pub fn renew(&mut self, renew: &Renew, now: Millis) {
        self.leases.renew(&renew.info, renew.settled, now);
        let incarnation = renew.info.incarnation;
        let first = Told {
            incarnation,
            tallies: BTreeMap::new(),
            evidence: Evidence::default(),
            billed: 0,
        };
        let told = self.told.entry(renew.info.vm.clone()).or_insert(first);
        if told.incarnation != incarnation {
            told.incarnation = incarnation;
            told.tallies.clear();
        }
        told.billed = renew.billed;
        for (version, tally) in &renew.tallies {
            let before = told
                .tallies
                .insert(version.clone(), *tally)
                .unwrap_or_default();
            self.fresh
                .entry(version.clone())
                .or_default()
                .add(&tally.since(&before));
        }
        if let Some(evidence) = &renew.evidence {
            told.evidence = evidence.clone();
            self.is_stale = true;
        }
    }

    /// Looks at leases, ratings and tallies; returns a change that halts a bad version.
    pub fn maintain(&mut self, machine: &StateMachine, now: Millis) -> Option<Change> {
        self.leases.expire(now);
        if self.is_stale && now.since(self.summed) >= SUM_EVERY {
            self.sum(now);
        }
        if self.fresh.is_empty() {
            return None;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let bad = self.judge(&fresh, machine.catalogue());
        let revision = machine.catalogue().revision;
        if self.halted_at == Some(revision) {
            return None;
        }
        let change = bad.and_then(|version| halt(&version, machine.catalogue()))?;
        self.halted_at = Some(revision);
        Some(change)
    }

    fn sum(&mut self, now: Millis) {
        let mut sum = Evidence::default();
        for told in self.told.values() {
            sum.merge(&told.evidence);
        }
        self.evidence = sum;
        self.evidence_version += 1;
        self.is_stale = false;
        self.summed = now;
    }

    /// Feeds the watches; returns a version that must be stopped.
    fn judge(
        &mut self,
        fresh: &BTreeMap<VersionId, Tally>,
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
            let guard = self.guards.entry(id.clone()).or_default();
            if guard.stage != Some(stage) {
                // An operator's step or resume: the evidence begins anew.
                guard.watch.reset();
                guard.stage = Some(stage);
            }
            for (other, tally) in fresh.iter().filter(|(other, _)| *other != id) {
                let is_full = catalogue.versions.get(other).map(|v| &v.stage);
                if is_full == Some(&Stage::Offered) {
                    guard.reference.add(tally);
                }
            }
            if let Some(tally) = fresh.get(id)
                && guard.watch.add(tally, &guard.reference)
            {
                bad = Some(id.clone());
            }
        }
        self.guards
            .retain(|id, _| catalogue.versions.contains_key(id));
        bad
    }

    /// Returns what the entry does not have yet.
    pub fn answer(
        &self,
        renew: &Renew,
        machine: &StateMachine,
        members: &Members,
        now: Millis,
    ) -> RenewReply {
        let catalogue = machine.catalogue();
        let has = renew.seen;
        let seen = Seen {
            revision: catalogue.revision,
            suspects: machine.suspicion().version(),
            entries: self.leases.version(),
            evidence: self.evidence_version,
        };
        let changes = if has.revision == Revision(0) {
            None
        } else {
            machine.book().since(has.revision)
        };
        let is_behind = has.revision != seen.revision;
        RenewReply {
            seen,
            catalogue: (is_behind && changes.is_none()).then(|| catalogue.clone()),
            changes: changes.unwrap_or_default(),
            suspects: (has.suspects != seen.suspects).then(|| machine.suspicion().fingerprints()),
            entries: (has.entries != seen.entries).then(|| self.leases.news(has.entries)),
            evidence: (has.evidence != seen.evidence).then(|| self.evidence.clone()),
            in_force: self.leases.in_force(catalogue.revision, now),
            controls: members
                .iter()
                .map(|(id, m)| (id.vm.clone(), m.address.clone()))
                .collect(),
        }
    }
}

/// Returns the change that halts `version`, unless some organisation would be left with nothing.
fn halt(version: &VersionId, catalogue: &Catalogue) -> Option<Change> {
    let is_offered = catalogue.versions.get(version)?.stage == Stage::Offered;
    let has_other = |id| catalogue.startable(id).any(|(other, _)| other != version);
    let uses = |id: &&_| catalogue.is_allowed(id, version);
    if is_offered && !catalogue.organisations.keys().filter(uses).all(has_other) {
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
