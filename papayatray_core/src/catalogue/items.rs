//! The catalogue with its organisations, versions, services, defaults and exceptions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::KeyHash;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Maximum quality, in thousandths.
pub const MAX_QUALITY: u32 = 1_000;

/// Class of an organisation, which decides on its defaults and the priority of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Pays for its requests.
    Paying,
    /// Uses the product free of charge, with lower priority than paying organisations.
    Trial,
}

impl Class {
    /// Returns the class's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Paying => "paying",
            Self::Trial => "trial",
        }
    }
}

/// Permission to use a whole model or one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Grant {
    /// Every version of the model.
    Model(ModelId),
    /// One version only.
    Version(VersionId),
}

impl Grant {
    /// Returns whether the grant covers `version`.
    pub fn covers(&self, version: &VersionId) -> bool {
        match self {
            Self::Model(model) => model == version.model(),
            Self::Version(granted) => granted == version,
        }
    }
}

impl fmt::Display for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => model.fmt(f),
            Self::Version(version) => version.fmt(f),
        }
    }
}

/// Organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Class, which decides on its defaults and the priority of its requests.
    pub class: Class,
    /// Digests of bearer keys by label.
    pub keys: BTreeMap<String, KeyHash>,
    /// Models and versions that it may use; if empty, the default of the class applies.
    pub grants: BTreeSet<Grant>,
}

/// Stage of a version's life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Declared by an operator, but not served yet.
    Declared,
    /// Served with an exposure that grows step by step.
    RollOut {
        /// Cumulative number of exposures that each step allows, strictly increasing.
        steps: Vec<u32>,
        /// Index of the current step.
        step: u32,
        /// Whether an operator has paused new exposures.
        paused: bool,
    },
    /// Halted by regression detection or an operator; serves existing sessions, but no new ones.
    Halted {
        /// Steps of the halted roll-out; empty if the version was offered in full.
        steps: Vec<u32>,
        /// Index of the step at which it was halted.
        step: u32,
        /// Why it was halted.
        reason: String,
    },
    /// Served without limit on its exposure.
    Offered,
    /// Permanently out of service.
    Withdrawn,
}

impl Stage {
    /// Returns the stage's name.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::RollOut { paused: false, .. } => "roll-out",
            Self::RollOut { paused: true, .. } => "paused",
            Self::Halted { .. } => "halted",
            Self::Offered => "offered",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Price of 1,000 prompt tokens in millionths of the currency.
    pub price_in: u32,
    /// Price of 1,000 completion tokens in millionths of the currency.
    pub price_out: u32,
    /// Quality assumed without ratings, in thousandths.
    pub prior: u32,
    /// Stage of the version's life cycle.
    pub stage: Stage,
    /// Always zero and not read; part of the stored form.
    pub base_exposure: u32,
}

impl Version {
    /// Returns the price of a request in millionths of the currency.
    pub fn cost(&self, tokens_in: u64, tokens_out: u64) -> u64 {
        let sum = u64::from(self.price_in) * tokens_in + u64::from(self.price_out) * tokens_out;
        sum.div_ceil(1_000)
    }
}

/// Plain HTTP service, as opposed to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// HTTP methods whose requests may be retried, besides GET, HEAD and OPTIONS.
    pub repeatable: BTreeSet<String>,
    /// Price of one request in millionths of the currency.
    pub price: u32,
}

impl Service {
    /// Returns whether a request with the HTTP method `method` may be retried.
    pub fn is_repeatable(&self, method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS") || self.repeatable.contains(method)
    }
}

/// Defaults for every organisation of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassDefault {
    /// Required quality in thousandths.
    pub quality: u32,
    /// Limit on one organisation's concurrent requests.
    pub in_flight: u32,
    /// Models and versions that may be used.
    pub grants: BTreeSet<Grant>,
}

impl Default for ClassDefault {
    fn default() -> Self {
        Self {
            quality: 700,
            in_flight: 1_000,
            grants: BTreeSet::new(),
        }
    }
}

/// Rule that overrides a default of the class for one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Required quality in thousandths.
    Quality(u32),
    /// Limit on concurrent requests.
    InFlight(u32),
    /// The organisation may not use this version.
    Deny(VersionId),
    /// The organisation is excluded from roll-outs.
    NoRollOut,
}

/// Exception from the defaults of a class for one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// Organisation that the exception applies to.
    pub organisation: OrganisationId,
    /// Rule that overrides the default.
    pub rule: Rule,
    /// Reason given by the author.
    pub reason: String,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Versions by name.
    pub versions: BTreeMap<VersionId, Version>,
    /// Plain HTTP services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Defaults by class; a missing class has the built-in ones.
    pub defaults: BTreeMap<Class, ClassDefault>,
    /// Exceptions by number.
    pub exceptions: BTreeMap<u64, Exception>,
    /// Number of the next exception.
    pub next_exception: u64,
}

impl Catalogue {
    /// Returns the defaults of `class`.
    pub fn class_default(&self, class: Class) -> ClassDefault {
        self.defaults.get(&class).cloned().unwrap_or_default()
    }

    /// Returns the rules that override the class defaults for `organisation`.
    pub fn rules<'a>(&'a self, organisation: &'a OrganisationId) -> impl Iterator<Item = &'a Rule> {
        self.exceptions
            .values()
            .filter(move |exception| exception.organisation == *organisation)
            .map(|exception| &exception.rule)
    }

    /// Returns the required quality for `organisation`, in thousandths.
    pub fn required_quality(&self, organisation: &OrganisationId) -> u32 {
        let exception = self.rules(organisation).find_map(|rule| match rule {
            Rule::Quality(quality) => Some(*quality),
            _ => None,
        });
        exception.unwrap_or_else(|| self.class_value(organisation, |d| d.quality))
    }

    /// Returns the limit on concurrent requests of `organisation`.
    pub fn in_flight_limit(&self, organisation: &OrganisationId) -> u32 {
        let exception = self.rules(organisation).find_map(|rule| match rule {
            Rule::InFlight(limit) => Some(*limit),
            _ => None,
        });
        exception.unwrap_or_else(|| self.class_value(organisation, |d| d.in_flight))
    }

    fn class_value<F>(&self, organisation: &OrganisationId, field: F) -> u32
    where
        F: Fn(&ClassDefault) -> u32,
    {
        let class = self.organisations.get(organisation).map(|o| o.class);
        let default = class.and_then(|class| self.defaults.get(&class));
        default.map_or_else(|| field(&ClassDefault::default()), &field)
    }

    /// Returns whether `organisation` takes part in roll-outs.
    pub fn joins_roll_outs(&self, organisation: &OrganisationId) -> bool {
        self.rules(organisation)
            .all(|rule| *rule != Rule::NoRollOut)
    }

    /// Returns whether `organisation` may use `version`, regardless of the version's stage.
    pub fn is_allowed(&self, organisation: &OrganisationId, version: &VersionId) -> bool {
        let Some(record) = self.organisations.get(organisation) else {
            return false;
        };
        let is_denied = |rule: &Rule| matches!(rule, Rule::Deny(v) if v == version);
        if self.rules(organisation).any(is_denied) {
            return false;
        }
        if record.grants.is_empty() {
            let default = self.defaults.get(&record.class);
            return default.is_some_and(|d| d.grants.iter().any(|g| g.covers(version)));
        }
        record.grants.iter().any(|grant| grant.covers(version))
    }

    /// Returns whether a new session of `organisation` may start on `version`.
    pub fn may_start(&self, organisation: &OrganisationId, version: &VersionId) -> bool {
        let stage = self.versions.get(version).map(|v| &v.stage);
        let is_open = match stage {
            Some(Stage::Offered) => true,
            Some(Stage::RollOut { paused, .. }) => !paused && self.joins_roll_outs(organisation),
            _ => false,
        };
        is_open && self.is_allowed(organisation, version)
    }

    /// Returns whether an existing session on `version` may continue.
    pub fn may_continue(&self, organisation: &OrganisationId, version: &VersionId) -> bool {
        let stage = self.versions.get(version).map(|v| &v.stage);
        let is_served = matches!(
            stage,
            Some(Stage::Offered | Stage::RollOut { .. } | Stage::Halted { .. })
        );
        is_served && self.is_allowed(organisation, version)
    }

    /// Returns the versions on which a new session of `organisation` may start.
    pub fn startable_versions<'a>(
        &'a self,
        organisation: &'a OrganisationId,
    ) -> impl Iterator<Item = (&'a VersionId, &'a Version)> {
        self.versions
            .iter()
            .filter(move |(id, _)| self.may_start(organisation, id))
    }
}
