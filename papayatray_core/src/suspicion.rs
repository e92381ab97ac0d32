//! Requests suspected of crashing the endpoints that run them.
//!
//! A crash makes suspects of all requests that were in flight. A suspect runs again only on
//! trial: one run at a time in the whole system, and no two trials on one endpoint, so that a
//! second crash has one certain cause. Two crashes condemn a request; a trial that ends well
//! acquits it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::id::VmId;

/// Crashes after which a request is refused everywhere.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time after which a suspicion is dropped.
pub const SUSPECT_RETENTION: Millis = Millis::from_secs(3_600);
/// Longest trial of a suspect; a runner that is lost holds it no longer.
pub const TRIAL_TIMEOUT: Millis = Millis::from_secs(120);

/// One start of an endpoint, which can crash once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Number of the endpoint's start.
    pub incarnation: Incarnation,
}

/// Wish to run a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// Entry that would run it.
    pub entry: VmId,
    /// Number that is the same when the entry asks again after a lost answer.
    pub nonce: u64,
    /// Endpoint that would run it.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
}

/// Trial of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    entry: VmId,
    nonce: u64,
    #[serde(rename = "life")]
    incarnation: EndpointIncarnation,
    since: Millis,
}

/// Suspect and its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    crashes: BTreeSet<EndpointIncarnation>,
    since: Millis,
    trial: Option<Trial>,
}

/// Answer to the wish to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialDecision {
    /// The asker, and nobody else, may run the request now on the endpoint it named.
    Granted,
    /// The request is on trial elsewhere, or another one is on that endpoint.
    Busy,
    /// The request is refused everywhere.
    Condemned,
    /// The request is under no suspicion.
    Clear,
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRegistry {
    suspects: BTreeMap<Fingerprint, Suspect>,
    #[serde(rename = "settled")]
    attributed: BTreeMap<EndpointIncarnation, Millis>,
    version: u64,
}

impl SuspectRegistry {
    /// Records that `incarnation` ended in a crash while it ran `fingerprints`.
    ///
    /// Where a suspect was on trial there, the crash is put down to it alone, whoever reports.
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
        let culprit = self
            .suspects
            .iter()
            .find(|(_, s)| is_on_trial(s))
            .map(|(f, _)| *f);
        self.version += 1;
        match culprit {
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
            since: now,
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

    /// Asks to run a suspect.
    pub fn begin_trial(&mut self, request: &TrialRequest, now: Millis) -> TrialDecision {
        self.expire(now);
        self.expire_trials(now);
        let is_taken = self
            .suspects
            .values()
            .any(|s| s.is_on_trial_at(&request.incarnation));
        let Some(suspect) = self.suspects.get_mut(&request.fingerprint) else {
            return TrialDecision::Clear;
        };
        if suspect.crashes.len() >= QUARANTINE_CRASHES {
            return TrialDecision::Condemned;
        }
        if suspect
            .trial
            .as_ref()
            .is_some_and(|trial| trial.belongs_to(request))
        {
            return TrialDecision::Granted;
        }
        if is_taken || suspect.trial.is_some() {
            return TrialDecision::Busy;
        }
        suspect.trial = Some(Trial {
            entry: request.entry.clone(),
            nonce: request.nonce,
            incarnation: request.incarnation.clone(),
            since: now,
        });
        TrialDecision::Granted
    }

    /// Blames trials whose runner has vanished: the endpoint may have crashed with it.
    fn expire_trials(&mut self, now: Millis) {
        for suspect in self.suspects.values_mut() {
            let lost = suspect
                .trial
                .take_if(|t| now.since(t.since) >= TRIAL_TIMEOUT);
            if let Some(trial) = lost {
                suspect.crashes.insert(trial.incarnation);
                self.version += 1;
            }
        }
    }

    /// Records that a trial ended without a crash: the request is innocent.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint, entry: &VmId) {
        let is_own = |s: &Suspect| s.trial.as_ref().is_some_and(|t| t.entry == *entry);
        if self.suspects.get(&fingerprint).is_some_and(is_own) {
            self.suspects.remove(&fingerprint);
            self.version += 1;
        }
    }

    /// Records that a trial ended without telling anything of the request.
    pub fn release_trial(&mut self, fingerprint: Fingerprint, entry: &VmId) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trial.take_if(|trial| trial.entry == *entry);
        }
    }

    /// Returns the fingerprints under suspicion.
    pub fn fingerprints(&self) -> BTreeSet<Fingerprint> {
        self.suspects.keys().copied().collect()
    }

    /// Returns a number that changes whenever the set of suspects does.
    pub const fn version(&self) -> u64 {
        self.version
    }

    fn expire(&mut self, now: Millis) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, s| now.since(s.since) <= SUSPECT_RETENTION);
        self.attributed
            .retain(|_, at| now.since(*at) <= SUSPECT_RETENTION);
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
