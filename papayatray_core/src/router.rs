//! Which versions a request may use, in the order to try them.

use std::collections::BTreeMap;

use displaydoc::Display;

use crate::catalogue::Catalogue;
use crate::catalogue::Stage;
use crate::choice::Candidate;
use crate::choice::RatingTable;
use crate::choice::rank;
use crate::id::Kind;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::VersionId;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedVersion {
    /// Whatever meets the quality owed at the lowest cost.
    Any,
    /// Any version of one model.
    Model(ModelId),
    /// One version only.
    Version(VersionId),
    /// The version that a session has begun on.
    Session(VersionId),
}

/// Reasons why no version can answer a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RouteError {
    /// the organisation may not use {0}
    NotAllowed(String),
    /// version {0} is withdrawn; begin a new session
    Withdrawn(VersionId),
    /// no version that the organisation may use is on offer
    NothingOffered,
    /// no endpoint serves a version that the organisation may use
    NoEndpoint,
}

impl std::error::Error for RouteError {}

/// Exposures that an entry holds for versions in roll-out.
#[derive(Clone, Debug, Default)]
pub struct ExposureQuotas {
    left: BTreeMap<VersionId, u32>,
}

impl ExposureQuotas {
    /// Takes in a portion.
    pub fn add(&mut self, version: &VersionId, portion: u32) {
        *self.left.entry(version.clone()).or_default() += portion;
    }

    /// Returns how many exposures of `version` are left.
    pub fn left(&self, version: &VersionId) -> u32 {
        self.left.get(version).copied().unwrap_or(0)
    }

    /// Uses one exposure of `version`; tells whether there was one.
    pub fn spend(&mut self, version: &VersionId) -> bool {
        match self.left.get_mut(version) {
            Some(left) if *left > 0 => {
                *left -= 1;
                true
            }
            _ => false,
        }
    }

    /// Drops exposures of versions that are not in roll-out any more.
    pub fn keep<F>(&mut self, is_kept: F)
    where
        F: Fn(&VersionId) -> bool,
    {
        self.left.retain(|version, _| is_kept(version));
    }
}

/// Route of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Versions in the order to try them.
    pub versions: Vec<VersionId>,
    /// Whether the first version is in roll-out, so that trying it uses an exposure.
    pub uses_exposure: bool,
}

impl Route {
    /// Takes out a version that turned out not to answer.
    pub fn drop(&mut self, version: &VersionId) {
        if self.versions.first() == Some(version) {
            self.uses_exposure = false;
        }
        self.versions.retain(|own| own != version);
    }
}

/// Everything that a route is decided by.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// Configuration in force at the entry.
    pub catalogue: &'a Catalogue,
    /// Ratings of all entries.
    pub evidence: &'a RatingTable,
    /// Exposures that the entry holds.
    pub quotas: &'a ExposureQuotas,
    /// Random number that decides whether something is tried to learn of it.
    pub draw: u64,
}

/// Decides which versions may answer a request of `organisation`.
///
/// `is_served` tells whether an endpoint serves a version.
///
/// # Errors
///
/// Returns why there is none.
pub fn route<F>(
    facts: &Facts<'_>,
    organisation: &OrganisationId,
    wanted: &RequestedVersion,
    kind: &Kind,
    is_served: F,
) -> Result<Route, RouteError>
where
    F: Fn(&VersionId) -> bool,
{
    if let RequestedVersion::Session(version) = wanted {
        return stay(facts.catalogue, organisation, version, is_served);
    }
    let is_wanted = |version: &VersionId| match wanted {
        RequestedVersion::Model(model) => version.model() == model,
        RequestedVersion::Version(own) => version == own,
        RequestedVersion::Any | RequestedVersion::Session(_) => true,
    };
    let startable_versions = facts.catalogue.startable_versions(organisation);
    let mut offered: Vec<Candidate<'_>> = startable_versions
        .filter(|(id, _)| is_wanted(id))
        .map(|(id, version)| Candidate { id, version })
        .collect();
    if offered.is_empty() {
        return Err(why_none(facts.catalogue, organisation, wanted));
    }
    offered.retain(|candidate| is_served(candidate.id));
    let (in_roll_out, full): (Vec<_>, Vec<_>) = offered
        .into_iter()
        .partition(|c| matches!(c.version.stage, Stage::RollOut { .. }));
    let owed = facts.catalogue.required_quality(organisation);
    let mut route = Route::default();
    let exposed = exposable(&in_roll_out, facts.quotas, owed);
    if let Some(version) = exposed {
        route.versions.push(version.clone());
        route.uses_exposure = true;
    }
    let ranked = rank(&full, facts.evidence, kind, owed, facts.draw);
    route.versions.extend(ranked.into_iter().cloned());
    if route.versions.is_empty() {
        return Err(RouteError::NoEndpoint);
    }
    Ok(route)
}

/// Returns the version in roll-out that the entry may expose a caller to.
fn exposable<'a>(
    candidates: &[Candidate<'a>],
    quotas: &ExposureQuotas,
    owed: u32,
) -> Option<&'a VersionId> {
    let mut open = candidates
        .iter()
        .filter(|c| quotas.left(c.id) > 0 && c.version.prior >= owed);
    open.next().map(|c| c.id)
}

fn stay<F>(
    catalogue: &Catalogue,
    organisation: &OrganisationId,
    version: &VersionId,
    is_served: F,
) -> Result<Route, RouteError>
where
    F: Fn(&VersionId) -> bool,
{
    let stage = catalogue.versions.get(version).map(|v| &v.stage);
    if matches!(stage, None | Some(Stage::Withdrawn)) {
        return Err(RouteError::Withdrawn(version.clone()));
    }
    if !catalogue.may_continue(organisation, version) {
        return Err(RouteError::NotAllowed(version.to_string()));
    }
    if !is_served(version) {
        return Err(RouteError::NoEndpoint);
    }
    Ok(Route {
        versions: vec![version.clone()],
        uses_exposure: false,
    })
}

fn why_none(
    catalogue: &Catalogue,
    organisation: &OrganisationId,
    wanted: &RequestedVersion,
) -> RouteError {
    match wanted {
        RequestedVersion::Version(version) => {
            let stage = catalogue.versions.get(version).map(|v| &v.stage);
            let is_allowed = catalogue.is_allowed(organisation, version);
            if is_allowed && stage == Some(&Stage::Withdrawn) {
                return RouteError::Withdrawn(version.clone());
            }
            RouteError::NotAllowed(version.to_string())
        }
        RequestedVersion::Model(model) => {
            let mut own = catalogue.versions.keys().filter(|v| v.model() == model);
            if own.any(|version| catalogue.is_allowed(organisation, version)) {
                return RouteError::NothingOffered;
            }
            RouteError::NotAllowed(model.to_string())
        }
        RequestedVersion::Any | RequestedVersion::Session(_) => RouteError::NothingOffered,
    }
}
