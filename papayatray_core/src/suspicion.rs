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
pub const CONDEMNING_CRASHES: usize = 2;
/// Time after which a suspicion is dropped.
pub const SUSPICION_WINDOW: Millis = Millis::from_secs(3_600);
/// Longest trial of a suspect; a runner that is lost holds it no longer.
pub const TRIAL_LIMIT: Millis = Millis::from_secs(120);

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
    pub life: EndpointIncarnation,
}

/// Trial of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    entry: VmId,
    nonce: u64,
    life: EndpointIncarnation,
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
    settled: BTreeMap<EndpointIncarnation, Millis>,
    version: u64,
}

impl SuspectRegistry {
    /// Records that `life` ended in a crash while it ran `fingerprints`.
    ///
    /// Where a suspect was on trial there, the crash is put down to it alone, whoever reports.
    pub fn report(
        &mut self,
        life: &EndpointIncarnation,
        fingerprints: &[Fingerprint],
        now: Millis,
    ) {
        self.forget(now);
        if self.settled.contains_key(life) {
            return;
        }
        let is_guilty = |s: &Suspect| s.trial.as_ref().is_some_and(|t| t.life == *life);
        let guilty = self
            .suspects
            .iter()
            .find(|(_, s)| is_guilty(s))
            .map(|(f, _)| *f);
        self.version += 1;
        match guilty {
            Some(fingerprint) => {
                self.settled.insert(life.clone(), now);
                self.blame(fingerprint, life, now);
            }
            None => {
                for fingerprint in fingerprints {
                    self.blame(*fingerprint, life, now);
                }
            }
        }
    }

    fn blame(&mut self, fingerprint: Fingerprint, life: &EndpointIncarnation, now: Millis) {
        let first = Suspect {
            crashes: BTreeSet::new(),
            since: now,
            trial: None,
        };
        let suspect = self.suspects.entry(fingerprint).or_insert(first);
        suspect.crashes.insert(life.clone());
        if suspect.trial.as_ref().is_some_and(|t| t.life == *life) {
            suspect.trial = None;
        }
    }

    /// Asks to run a suspect.
    pub fn begin(&mut self, wish: &TrialRequest, now: Millis) -> TrialDecision {
        self.forget(now);
        self.end_lost_trials(now);
        let is_taken = self.suspects.values().any(|s| s.is_tried_on(&wish.life));
        let Some(suspect) = self.suspects.get_mut(&wish.fingerprint) else {
            return TrialDecision::Clear;
        };
        if suspect.crashes.len() >= CONDEMNING_CRASHES {
            return TrialDecision::Condemned;
        }
        if suspect
            .trial
            .as_ref()
            .is_some_and(|trial| trial.is_of(wish))
        {
            return TrialDecision::Granted;
        }
        if is_taken || suspect.trial.is_some() {
            return TrialDecision::Busy;
        }
        suspect.trial = Some(Trial {
            entry: wish.entry.clone(),
            nonce: wish.nonce,
            life: wish.life.clone(),
            since: now,
        });
        TrialDecision::Granted
    }

    /// Blames trials whose runner has vanished: the endpoint may have crashed with it.
    fn end_lost_trials(&mut self, now: Millis) {
        for suspect in self.suspects.values_mut() {
            let lost = suspect.trial.take_if(|t| now.since(t.since) >= TRIAL_LIMIT);
            if let Some(trial) = lost {
                suspect.crashes.insert(trial.life);
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

    fn forget(&mut self, now: Millis) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, s| now.since(s.since) <= SUSPICION_WINDOW);
        self.settled
            .retain(|_, at| now.since(*at) <= SUSPICION_WINDOW);
        if self.suspects.len() != before {
            self.version += 1;
        }
    }
}

impl Trial {
    fn is_of(&self, wish: &TrialRequest) -> bool {
        self.entry == wish.entry && self.nonce == wish.nonce && self.life == wish.life
    }
}

impl Suspect {
    fn is_tried_on(&self, life: &EndpointIncarnation) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.life == *life)
    }
}
