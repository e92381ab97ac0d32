//! Plan: what a file wants the configuration to be, and the edits that lead there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use displaydoc::Display;
use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::ClassDefault;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Exception;
use papayatray_core::catalogue::Grant;
use papayatray_core::catalogue::Rule;
use papayatray_core::catalogue::Service;
use papayatray_core::catalogue::Stage;
use papayatray_core::id::ModelId;
use papayatray_core::id::NameError;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VersionId;
use serde::Deserialize;

/// What is wrong with a plan.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlanError {
    /// the file cannot be read: {0}
    Syntax(String),
    /// {0}: {1}
    Name(String, NameError),
    /// the exception for {0} needs exactly one of `quality`, `in_flight`, `deny` and `no_roll_out`
    Rule(OrganisationId),
}

impl std::error::Error for PlanError {}

/// Version as a plan wants it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedVersion {
    #[serde(default)]
    price_in: u32,
    #[serde(default)]
    price_out: u32,
    #[serde(default = "usual_prior")]
    prior: u32,
    #[serde(default)]
    stage: PlannedStage,
}

const fn usual_prior() -> u32 {
    700
}

/// Stage that a plan may ask for; roll-outs are led step by step instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum PlannedStage {
    #[default]
    Declared,
    Offered,
    Withdrawn,
}

/// Organisation as a plan wants it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedOrganisation {
    class: Class,
    #[serde(default)]
    grants: Vec<String>,
}

/// Default as a plan wants it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedDefault {
    quality: u32,
    in_flight: u32,
    grants: Vec<String>,
}

/// Exception as a plan wants it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedException {
    organisation: OrganisationId,
    reason: String,
    quality: Option<u32>,
    in_flight: Option<u32>,
    deny: Option<VersionId>,
    #[serde(default)]
    no_roll_out: bool,
}

/// Plan that a file holds. What it does not name stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    versions: BTreeMap<VersionId, PlannedVersion>,
    services: BTreeMap<ServiceId, PlannedService>,
    defaults: BTreeMap<Class, PlannedDefault>,
    organisations: BTreeMap<OrganisationId, PlannedOrganisation>,
    exceptions: Vec<PlannedException>,
}

/// Service as a plan wants it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedService {
    #[serde(default)]
    repeatable: BTreeSet<String>,
    #[serde(default)]
    price: u32,
}

impl Plan {
    /// Reads a plan from TOML.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read, with its place.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        toml::from_str(text).map_err(|error| PlanError::Syntax(error.to_string()))
    }

    /// Returns the edits that lead from `catalogue` to the plan.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the plan.
    pub fn edits(&self, catalogue: &Catalogue) -> Result<Vec<Edit>, PlanError> {
        let mut edits = Vec::new();
        for (id, wanted) in &self.versions {
            version_edits(id, wanted, catalogue, &mut edits);
        }
        for (id, wanted) in &self.services {
            let about = Service {
                repeatable: wanted.repeatable.clone(),
                price: wanted.price,
            };
            if catalogue.services.get(id) != Some(&about) {
                edits.push(Edit::DeclareService {
                    service: id.clone(),
                    about,
                });
            }
        }
        for (class, wanted) in &self.defaults {
            let grants = parse_grants(&wanted.grants)?;
            let default = ClassDefault {
                quality: wanted.quality,
                in_flight: wanted.in_flight,
                grants,
            };
            if catalogue.defaults.get(class) != Some(&default) {
                edits.push(Edit::SetDefault {
                    class: *class,
                    default,
                });
            }
        }
        for (id, wanted) in &self.organisations {
            organisation_edits(id, wanted, catalogue, &mut edits)?;
        }
        for wanted in &self.exceptions {
            edits.extend(exception_edit(wanted, catalogue)?);
        }
        Ok(edits)
    }
}

fn version_edits(
    id: &VersionId,
    wanted: &PlannedVersion,
    catalogue: &Catalogue,
    edits: &mut Vec<Edit>,
) {
    let known = catalogue.versions.get(id);
    if known.is_none() {
        edits.push(Edit::DeclareVersion {
            version: id.clone(),
            price_in: wanted.price_in,
            price_out: wanted.price_out,
            prior: wanted.prior,
        });
    }
    let stage = known.map(|known| &known.stage);
    match wanted.stage {
        PlannedStage::Offered if stage != Some(&Stage::Offered) => {
            edits.push(Edit::Offer {
                version: id.clone(),
            });
        }
        PlannedStage::Withdrawn if stage != Some(&Stage::Withdrawn) => {
            edits.push(Edit::Withdraw {
                version: id.clone(),
            });
        }
        _ => {}
    }
}

fn organisation_edits(
    id: &OrganisationId,
    wanted: &PlannedOrganisation,
    catalogue: &Catalogue,
    edits: &mut Vec<Edit>,
) -> Result<(), PlanError> {
    let organisation = id.clone();
    let known = catalogue.organisations.get(id);
    match known {
        None => edits.push(Edit::CreateOrganisation {
            organisation,
            class: wanted.class,
        }),
        Some(known) if known.class != wanted.class => {
            edits.push(Edit::SetClass {
                organisation,
                class: wanted.class,
            });
        }
        Some(_) => {}
    }
    let grants = parse_grants(&wanted.grants)?;
    if known.map_or(&BTreeSet::new(), |known| &known.grants) != &grants {
        edits.push(Edit::SetGrants {
            organisation: id.clone(),
            grants,
        });
    }
    Ok(())
}

fn exception_edit(
    wanted: &PlannedException,
    catalogue: &Catalogue,
) -> Result<Option<Edit>, PlanError> {
    let rules = [
        wanted.quality.map(Rule::Quality),
        wanted.in_flight.map(Rule::InFlight),
        wanted.deny.clone().map(Rule::Deny),
        wanted.no_roll_out.then_some(Rule::NoRollOut),
    ];
    let mut rules = rules.into_iter().flatten();
    let (Some(rule), None) = (rules.next(), rules.next()) else {
        return Err(PlanError::Rule(wanted.organisation.clone()));
    };
    let exception = Exception {
        organisation: wanted.organisation.clone(),
        rule,
        reason: wanted.reason.clone(),
    };
    if catalogue
        .exceptions
        .values()
        .any(|known| *known == exception)
    {
        return Ok(None);
    }
    let Exception {
        organisation,
        rule,
        reason,
    } = exception;
    Ok(Some(Edit::AddException {
        organisation,
        rule,
        reason,
    }))
}

/// Returns the grants that texts name.
///
/// # Errors
///
/// Returns the first text that names neither a model nor a version.
pub fn parse_grants(texts: &[String]) -> Result<BTreeSet<Grant>, PlanError> {
    texts.iter().map(|text| parse_grant(text)).collect()
}

fn parse_grant(text: &str) -> Result<Grant, PlanError> {
    let grant = if text.contains('@') {
        text.parse().map(Grant::Version)
    } else {
        ModelId::new(text).map(Grant::Model)
    };
    grant.map_err(|error| PlanError::Name(text.to_owned(), error))
}
