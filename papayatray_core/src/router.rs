//! Routing: which versions may serve a request, in order of preference.

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

/// Model or version that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedVersion {
    /// The cheapest version that meets the organisation's required quality.
    Any,
    /// Any version of one model.
    Model(ModelId),
    /// One version only.
    Version(VersionId),
    /// The version that the caller's session started on.
    Session(VersionId),
}

/// Reason why no version can serve a request.
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

/// An entry's exposure quotas for versions in roll-out.
#[derive(Clone, Debug, Default)]
pub struct ExposureQuotas {
    /// Remaining exposures by version.
    quotas: BTreeMap<VersionId, u32>,
}

impl ExposureQuotas {
    /// Adds a granted quota.
    pub fn add(&mut self, version: &VersionId, quota: u32) {
        *self.quotas.entry(version.clone()).or_default() += quota;
    }

    /// Returns the remaining exposures of `version`.
    pub fn remaining(&self, version: &VersionId) -> u32 {
        self.quotas.get(version).copied().unwrap_or(0)
    }

    /// Spends one exposure of `version`; returns false if none remains.
    pub fn spend(&mut self, version: &VersionId) -> bool {
        match self.quotas.get_mut(version) {
            Some(remaining) if *remaining > 0 => {
                *remaining -= 1;
                true
            }
            _ => false,
        }
    }

    /// Drops the quotas of versions for which `is_needed` is false.
    pub fn retain<F>(&mut self, is_needed: F)
    where
        F: Fn(&VersionId) -> bool,
    {
        self.quotas.retain(|version, _| is_needed(version));
    }
}

/// Versions that may serve one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Versions in the order in which to try them.
    pub versions: Vec<VersionId>,
    /// Whether the first version is in roll-out, so that trying it spends an exposure.
    pub uses_exposure: bool,
}

impl Route {
    /// Removes a version that failed to serve the request.
    pub fn remove(&mut self, version: &VersionId) {
        if self.versions.first() == Some(version) {
            self.uses_exposure = false;
        }
        self.versions.retain(|other| other != version);
    }
}

/// State that a routing decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RoutingInputs<'a> {
    /// Configuration in force at the entry.
    pub catalogue: &'a Catalogue,
    /// Quality ratings collected by all entries, by version and kind.
    pub evidence: &'a RatingTable,
    /// The entry's exposure quotas.
    pub quotas: &'a ExposureQuotas,
    /// Random number that decides whether a cheaper version with few ratings goes first.
    pub draw: u64,
}

/// Returns the versions that may serve a request of `organisation`, in the order to try them.
///
/// Only ratings of `kind` count; `is_served` returns whether an endpoint serves a version.
///
/// # Errors
///
/// Returns why no version can serve the request.
pub fn route<F>(
    inputs: &RoutingInputs<'_>,
    organisation: &OrganisationId,
    requested: &RequestedVersion,
    kind: &Kind,
    is_served: F,
) -> Result<Route, RouteError>
where
    F: Fn(&VersionId) -> bool,
{
    if let RequestedVersion::Session(version) = requested {
        return route_session(inputs.catalogue, organisation, version, is_served);
    }
    let is_requested = |version: &VersionId| match requested {
        RequestedVersion::Model(model) => version.model() == model,
        RequestedVersion::Version(version_id) => version == version_id,
        RequestedVersion::Any | RequestedVersion::Session(_) => true,
    };
    let startable_versions = inputs.catalogue.startable_versions(organisation);
    let mut offered: Vec<Candidate<'_>> = startable_versions
        .filter(|(id, _)| is_requested(id))
        .map(|(id, version)| Candidate { id, version })
        .collect();
    if offered.is_empty() {
        return Err(no_version_error(inputs.catalogue, organisation, requested));
    }
    offered.retain(|candidate| is_served(candidate.id));
    let (in_roll_out, offered_in_full): (Vec<_>, Vec<_>) = offered
        .into_iter()
        .partition(|c| matches!(c.version.stage, Stage::RollOut { .. }));
    let required_quality = inputs.catalogue.required_quality(organisation);
    let mut route = Route::default();
    let exposed = exposed_version(&in_roll_out, inputs.quotas, required_quality);
    if let Some(version) = exposed {
        route.versions.push(version.clone());
        route.uses_exposure = true;
    }
    let ranked = rank(
        &offered_in_full,
        inputs.evidence,
        kind,
        required_quality,
        inputs.draw,
    );
    route.versions.extend(ranked.into_iter().cloned());
    if route.versions.is_empty() {
        return Err(RouteError::NoEndpoint);
    }
    Ok(route)
}

/// Returns a version in roll-out of which the entry has an exposure left and whose declared quality
/// suffices.
fn exposed_version<'a>(
    candidates: &[Candidate<'a>],
    quotas: &ExposureQuotas,
    required_quality: u32,
) -> Option<&'a VersionId> {
    let mut eligible = candidates
        .iter()
        .filter(|c| quotas.remaining(c.id) > 0 && c.version.prior >= required_quality);
    eligible.next().map(|c| c.id)
}

fn route_session<F>(
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

/// Returns why no new session may start on a requested version.
fn no_version_error(
    catalogue: &Catalogue,
    organisation: &OrganisationId,
    requested: &RequestedVersion,
) -> RouteError {
    match requested {
        RequestedVersion::Version(version) => {
            let stage = catalogue.versions.get(version).map(|v| &v.stage);
            let is_allowed = catalogue.is_allowed(organisation, version);
            if is_allowed && stage == Some(&Stage::Withdrawn) {
                return RouteError::Withdrawn(version.clone());
            }
            RouteError::NotAllowed(version.to_string())
        }
        RequestedVersion::Model(model) => {
            let mut versions = catalogue.versions.keys().filter(|v| v.model() == model);
            if versions.any(|version| catalogue.is_allowed(organisation, version)) {
                return RouteError::NothingOffered;
            }
            RouteError::NotAllowed(model.to_string())
        }
        RequestedVersion::Any | RequestedVersion::Session(_) => RouteError::NothingOffered,
    }
}
