//! The catalogue and what it lists.

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

/// Highest quality in thousandths.
pub const QUALITY_MAX: u32 = 1_000;

/// Class of an organisation, which decides who goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Pays for its requests.
    Paying,
    /// Tries the product for free and never crowds out a paying organisation.
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
    /// Tells whether the grant covers `version`.
    pub fn covers(&self, version: &VersionId) -> bool {
        match self {
            Self::Model(model) => model == version.model(),
            Self::Version(own) => own == version,
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
    /// Class, which decides who goes first.
    pub class: Class,
    /// Digests of bearer keys by label.
    pub keys: BTreeMap<String, KeyHash>,
    /// What the organisation may use; the class's default where empty.
    pub grants: BTreeSet<Grant>,
}

/// Stage of a version's life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Known, but not served.
    Declared,
    /// Served in steps of growing exposure.
    RollOut {
        /// Exposures that each step allows in all, each larger than the last.
        steps: Vec<u32>,
        /// Index of the step under way.
        step: u32,
        /// Whether new exposures are held back by an operator.
        paused: bool,
    },
    /// Stopped by evidence or by an operator; no new sessions.
    Halted {
        /// Steps of the roll-out that was stopped; empty where the version served in full.
        steps: Vec<u32>,
        /// Index of the step that was under way.
        step: u32,
        /// Why it was stopped.
        reason: String,
    },
    /// Served in full.
    Offered,
    /// Takes no new work, for good.
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
    /// Price of 1,000 answer tokens in millionths of the currency.
    pub price_out: u32,
    /// Quality expected before any rating, in thousandths.
    pub prior: u32,
    /// Stage of the version's life.
    pub stage: Stage,
    /// Exposures granted before this roll-out began, which its budget leaves out.
    pub base_exposure: u32,
}

impl Version {
    /// Returns the price of a request in millionths of the currency.
    pub fn cost(&self, tokens_in: u64, tokens_out: u64) -> u64 {
        let sum = u64::from(self.price_in) * tokens_in + u64::from(self.price_out) * tokens_out;
        sum.div_ceil(1_000)
    }
}

/// Plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Methods whose calls may be repeated, beside GET and HEAD.
    pub repeatable: BTreeSet<String>,
    /// Price of one call in millionths of the currency.
    pub price: u32,
}

impl Service {
    /// Tells whether a call by `method` may be repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS") || self.repeatable.contains(method)
    }
}

/// What every organisation of a class gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassDefault {
    /// Quality owed, in thousandths.
    pub quality: u32,
    /// Requests of one organisation that may run at once.
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

/// How one organisation differs from its class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Quality owed, in thousandths.
    Quality(u32),
    /// Requests that may run at once.
    InFlight(u32),
    /// Version that is never used for the organisation.
    Deny(VersionId),
    /// The organisation takes no part in roll-outs.
    NoRollOut,
}

/// Deviation from the defaults, with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// Organisation that the exception is for.
    pub organisation: OrganisationId,
    /// What differs.
    pub rule: Rule,
    /// Why, in the author's words.
    pub reason: String,
}

/// Configuration as a whole, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Number of the configuration.
    pub revision: Revision,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Versions by name.
    pub versions: BTreeMap<VersionId, Version>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Defaults by class; the built-in ones where a class is missing.
    pub defaults: BTreeMap<Class, ClassDefault>,
    /// Exceptions by number.
    pub exceptions: BTreeMap<u64, Exception>,
    /// Number of the next exception.
    pub next_exception: u64,
}

impl Catalogue {
    /// Returns the default of `class`.
    pub fn class_default(&self, class: Class) -> ClassDefault {
        self.defaults.get(&class).cloned().unwrap_or_default()
    }

    /// Returns the rules that hold for `organisation` alone.
    pub fn rules<'a>(&'a self, organisation: &'a OrganisationId) -> impl Iterator<Item = &'a Rule> {
        self.exceptions
            .values()
            .filter(move |exception| exception.organisation == *organisation)
            .map(|exception| &exception.rule)
    }

    /// Returns the quality owed to `organisation`, in thousandths.
    pub fn required_quality(&self, organisation: &OrganisationId) -> u32 {
        let own = self.rules(organisation).find_map(|rule| match rule {
            Rule::Quality(quality) => Some(*quality),
            _ => None,
        });
        own.unwrap_or_else(|| self.default_of(organisation, |d| d.quality))
    }

    /// Returns how many requests of `organisation` may run at once.
    pub fn in_flight_limit(&self, organisation: &OrganisationId) -> u32 {
        let own = self.rules(organisation).find_map(|rule| match rule {
            Rule::InFlight(limit) => Some(*limit),
            _ => None,
        });
        own.unwrap_or_else(|| self.default_of(organisation, |d| d.in_flight))
    }

    fn default_of<F>(&self, organisation: &OrganisationId, field: F) -> u32
    where
        F: Fn(&ClassDefault) -> u32,
    {
        let class = self.organisations.get(organisation).map(|o| o.class);
        let own = class.and_then(|class| self.defaults.get(&class));
        own.map_or_else(|| field(&ClassDefault::default()), &field)
    }

    /// Tells whether `organisation` takes part in roll-outs.
    pub fn joins_roll_outs(&self, organisation: &OrganisationId) -> bool {
        self.rules(organisation)
            .all(|rule| *rule != Rule::NoRollOut)
    }

    /// Tells whether `organisation` may use `version`, whatever the version's stage.
    pub fn is_allowed(&self, organisation: &OrganisationId, version: &VersionId) -> bool {
        let Some(own) = self.organisations.get(organisation) else {
            return false;
        };
        let denied = |rule: &Rule| matches!(rule, Rule::Deny(v) if v == version);
        if self.rules(organisation).any(denied) {
            return false;
        }
        if own.grants.is_empty() {
            let default = self.defaults.get(&own.class);
            return default.is_some_and(|d| d.grants.iter().any(|g| g.covers(version)));
        }
        own.grants.iter().any(|grant| grant.covers(version))
    }

    /// Tells whether a new session may start on `version` for `organisation`.
    pub fn may_start(&self, organisation: &OrganisationId, version: &VersionId) -> bool {
        let stage = self.versions.get(version).map(|v| &v.stage);
        let is_open = match stage {
            Some(Stage::Offered) => true,
            Some(Stage::RollOut { paused, .. }) => !paused && self.joins_roll_outs(organisation),
            _ => false,
        };
        is_open && self.is_allowed(organisation, version)
    }

    /// Tells whether a session that runs on `version` may go on.
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
