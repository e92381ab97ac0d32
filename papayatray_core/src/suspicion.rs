//! Poison requests: detection and quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, all its in-flight requests become suspects. A suspect runs again only
//! in an isolation trial: one run at a time in the whole system, and no other trial on the same
//! endpoint, so that a second crash can be attributed with certainty. A request with two crashes is
//! quarantined; a trial without a crash clears it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::id::VmId;

/// Number of crashes at which a request is quarantined, so that every entry refuses it.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time from the first report of a suspect until it is forgotten.
pub const SUSPECT_RETENTION: Millis = Millis::from_secs(3_600);
/// Maximum duration of a trial; one that is still open then is counted as a crash.
pub const TRIAL_TIMEOUT: Millis = Millis::from_secs(120);

/// One run of an endpoint's process, which can crash only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation number of the run.
    pub incarnation: Incarnation,
}

/// Request to run a suspect in an isolation trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// Entry that would run it.
    pub entry: VmId,
    /// Number that stays the same when the entry repeats a trial request after a lost reply.
    pub nonce: u64,
    /// Endpoint incarnation that would run it.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
}

/// Isolation trial that is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    entry: VmId,
    nonce: u64,
    #[serde(rename = "life")]
    incarnation: EndpointIncarnation,
    #[serde(rename = "since")]
    started_at: Millis,
}

/// Crashes and running trial of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Endpoint incarnations that crashed while they ran the request.
    crashes: BTreeSet<EndpointIncarnation>,
    #[serde(rename = "since")]
    first_reported_at: Millis,
    trial: Option<Trial>,
}

/// Decision on a trial request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialDecision {
    /// The requesting entry, and no other, may run the suspect now on the requested endpoint.
    Granted,
    /// The suspect, or another one on the requested endpoint, is in a trial already.
    Busy,
    /// The suspect is quarantined: every entry refuses it.
    #[serde(rename = "Condemned")]
    Quarantined,
    /// The request is not a suspect and may run without a trial.
    Clear,
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRegistry {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Crashes attributed to a suspect in a trial, with the time; further reports of them are
    /// ignored.
    #[serde(rename = "settled")]
    attributed: BTreeMap<EndpointIncarnation, Millis>,
    version: u64,
}

impl SuspectRegistry {
    /// Records that `incarnation` crashed while it ran the requests `fingerprints`.
    ///
    /// If a suspect was in a trial there, the crash is attributed to it alone, whichever entry
    /// reports the crash.
    pub fn report(
        &mut self,
        incarnation: &EndpointIncarnation,
        fingerprints: &[Fingerprint],
        now: Millis,
    ) {
        self.expire(now);
        if self.attributed.contains_key(incarnation) {
            return;
        }
        let is_on_trial = |s: &Suspect| {
            s.trial
                .as_ref()
                .is_some_and(|t| t.incarnation == *incarnation)
        };
        let suspect_on_trial = self
            .suspects
            .iter()
            .find(|(_, s)| is_on_trial(s))
            .map(|(f, _)| *f);
        self.version += 1;
        match suspect_on_trial {
            Some(fingerprint) => {
                self.attributed.insert(incarnation.clone(), now);
                self.record_crash(fingerprint, incarnation, now);
            }
            None => {
                for fingerprint in fingerprints {
                    self.record_crash(*fingerprint, incarnation, now);
                }
            }
        }
    }

    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: &EndpointIncarnation,
        now: Millis,
    ) {
        let first = Suspect {
            crashes: BTreeSet::new(),
            first_reported_at: now,
            trial: None,
        };
        let suspect = self.suspects.entry(fingerprint).or_insert(first);
        suspect.crashes.insert(incarnation.clone());
        if suspect
            .trial
            .as_ref()
            .is_some_and(|t| t.incarnation == *incarnation)
        {
            suspect.trial = None;
        }
    }

    /// Starts a trial of a suspect, if the suspect and the endpoint have none.
    ///
    /// A repeated trial request, with the same entry and nonce, is granted again.
    pub fn begin_trial(&mut self, request: &TrialRequest, now: Millis) -> TrialDecision {
        self.expire(now);
        self.expire_trials(now);
        let is_endpoint_busy = self
            .suspects
            .values()
            .any(|s| s.is_on_trial_at(&request.incarnation));
        let Some(suspect) = self.suspects.get_mut(&request.fingerprint) else {
            return TrialDecision::Clear;
        };
        if suspect.crashes.len() >= QUARANTINE_CRASHES {
            return TrialDecision::Quarantined;
        }
        if suspect
            .trial
            .as_ref()
            .is_some_and(|trial| trial.belongs_to(request))
        {
            return TrialDecision::Granted;
        }
        if is_endpoint_busy || suspect.trial.is_some() {
            return TrialDecision::Busy;
        }
        suspect.trial = Some(Trial {
            entry: request.entry.clone(),
            nonce: request.nonce,
            incarnation: request.incarnation.clone(),
            started_at: now,
        });
        TrialDecision::Granted
    }

    /// Counts trials that have timed out as crashes: their entry is lost, so a crash of the
    /// endpoint may not have been reported.
    fn expire_trials(&mut self, now: Millis) {
        for suspect in self.suspects.values_mut() {
            let expired = suspect
                .trial
                .take_if(|t| now.since(t.started_at) >= TRIAL_TIMEOUT);
            if let Some(trial) = expired {
                suspect.crashes.insert(trial.incarnation);
                self.version += 1;
            }
        }
    }

    /// Clears a suspect whose trial at `entry` ended without a crash.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint, entry: &VmId) {
        let is_run_by_entry = |s: &Suspect| s.trial.as_ref().is_some_and(|t| t.entry == *entry);
        if self.suspects.get(&fingerprint).is_some_and(is_run_by_entry) {
            self.suspects.remove(&fingerprint);
            self.version += 1;
        }
    }

    /// Cancels a trial at `entry` that ended without a result; the request remains a suspect.
    pub fn release_trial(&mut self, fingerprint: Fingerprint, entry: &VmId) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trial.take_if(|trial| trial.entry == *entry);
        }
    }

    /// Returns the fingerprints of all suspects.
    pub fn fingerprints(&self) -> BTreeSet<Fingerprint> {
        self.suspects.keys().copied().collect()
    }

    /// Returns the version of the registry, which increases whenever the set of suspects changes.
    pub const fn version(&self) -> u64 {
        self.version
    }

    fn expire(&mut self, now: Millis) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, s| now.since(s.first_reported_at) <= SUSPECT_RETENTION);
        self.attributed
            .retain(|_, attributed_at| now.since(*attributed_at) <= SUSPECT_RETENTION);
        if self.suspects.len() != before {
            self.version += 1;
        }
    }
}

impl Trial {
    fn belongs_to(&self, request: &TrialRequest) -> bool {
        self.entry == request.entry
            && self.nonce == request.nonce
            && self.incarnation == request.incarnation
    }
}

impl Suspect {
    fn is_on_trial_at(&self, incarnation: &EndpointIncarnation) -> bool {
        self.trial
            .as_ref()
            .is_some_and(|trial| trial.incarnation == *incarnation)
    }
}
