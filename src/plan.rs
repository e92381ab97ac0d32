//! Plan file: the desired catalogue as TOML, and the edits that bring the current catalogue to it.
//!
//! It is unrelated to the gateway's plan of routes.

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

/// Error in a plan file, or in grants given on the command line.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlanError {
    /// cannot parse the file: {0}
    Syntax(String),
    /// invalid name `{0}`: {1}
    Name(String, NameError),
    /// the exception for {0} must have exactly one of `quality`, `in_flight`, `deny` and `no_roll_out`
    Rule(OrganisationId),
}

impl std::error::Error for PlanError {}

/// Version in a plan file. Prices and prior take effect only if the version is not declared yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedVersion {
    /// Price of 1,000 prompt tokens in millionths of the currency.
    #[serde(default)]
    price_in: u32,
    /// Price of 1,000 generated tokens in millionths of the currency.
    #[serde(default)]
    price_out: u32,
    /// Prior quality, assumed before any rating, in thousandths.
    #[serde(default = "usual_prior")]
    prior: u32,
    #[serde(default)]
    stage: PlannedStage,
}

/// Returns the default of [`PlannedVersion::prior`], the same as in `papayatray version declare`.
const fn usual_prior() -> u32 {
    700
}

/// Stage that a plan file may set; roll-outs are advanced by separate commands.
///
/// `Declared` leaves the stage of an existing version unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum PlannedStage {
    #[default]
    Declared,
    Offered,
    Withdrawn,
}

/// Organisation in a plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedOrganisation {
    class: Class,
    /// Models, or versions as `MODEL@VERSION`; if empty, those of the class default apply.
    #[serde(default)]
    grants: Vec<String>,
}

/// Class default in a plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedDefault {
    /// Minimum quality, in thousandths.
    quality: u32,
    /// Maximum number of requests in flight for one organisation.
    in_flight: u32,
    /// Models, or versions as `MODEL@VERSION`.
    grants: Vec<String>,
}

/// Exception in a plan file; exactly one of the last four fields must be set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedException {
    organisation: OrganisationId,
    reason: String,
    /// Minimum quality, in thousandths.
    quality: Option<u32>,
    /// Maximum number of requests in flight.
    in_flight: Option<u32>,
    /// Version that the organisation must not use.
    deny: Option<VersionId>,
    /// Whether the organisation is excluded from roll-outs.
    #[serde(default)]
    no_roll_out: bool,
}

/// Content of a plan file: the desired catalogue. Objects that it does not name are left unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    versions: BTreeMap<VersionId, PlannedVersion>,
    services: BTreeMap<ServiceId, PlannedService>,
    defaults: BTreeMap<Class, PlannedDefault>,
    organisations: BTreeMap<OrganisationId, PlannedOrganisation>,
    exceptions: Vec<PlannedException>,
}

/// Service in a plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedService {
    /// Methods that may be retried, in addition to GET and HEAD.
    #[serde(default)]
    repeatable: BTreeSet<String>,
    /// Price of one call in millionths of the currency.
    #[serde(default)]
    price: u32,
}

impl Plan {
    /// Parses the text of a plan file, which is TOML.
    ///
    /// # Errors
    ///
    /// Returns the syntax error with its position.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        toml::from_str(text).map_err(|error| PlanError::Syntax(error.to_string()))
    }

    /// Returns the edits that bring `catalogue` to the state that the plan file describes.
    ///
    /// # Errors
    ///
    /// Returns the first invalid grant or exception.
    pub fn edits(&self, catalogue: &Catalogue) -> Result<Vec<Edit>, PlanError> {
        let mut edits = Vec::new();
        for (id, planned) in &self.versions {
            version_edits(id, planned, catalogue, &mut edits);
        }
        for (id, planned) in &self.services {
            let about = Service {
                repeatable: planned.repeatable.clone(),
                price: planned.price,
            };
            if catalogue.services.get(id) != Some(&about) {
                edits.push(Edit::DeclareService {
                    service: id.clone(),
                    about,
                });
            }
        }
        for (class, planned) in &self.defaults {
            let grants = parse_grants(&planned.grants)?;
            let default = ClassDefault {
                quality: planned.quality,
                in_flight: planned.in_flight,
                grants,
            };
            if catalogue.defaults.get(class) != Some(&default) {
                edits.push(Edit::SetDefault {
                    class: *class,
                    default,
                });
            }
        }
        for (id, planned) in &self.organisations {
            organisation_edits(id, planned, catalogue, &mut edits)?;
        }
        for planned in &self.exceptions {
            edits.extend(exception_edit(planned, catalogue)?);
        }
        Ok(edits)
    }
}

fn version_edits(
    id: &VersionId,
    planned: &PlannedVersion,
    catalogue: &Catalogue,
    edits: &mut Vec<Edit>,
) {
    let current = catalogue.versions.get(id);
    if current.is_none() {
        edits.push(Edit::DeclareVersion {
            version: id.clone(),
            price_in: planned.price_in,
            price_out: planned.price_out,
            prior: planned.prior,
        });
    }
    let stage = current.map(|current| &current.stage);
    match planned.stage {
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
    planned: &PlannedOrganisation,
    catalogue: &Catalogue,
    edits: &mut Vec<Edit>,
) -> Result<(), PlanError> {
    let organisation = id.clone();
    let current = catalogue.organisations.get(id);
    match current {
        None => edits.push(Edit::CreateOrganisation {
            organisation,
            class: planned.class,
        }),
        Some(current) if current.class != planned.class => {
            edits.push(Edit::SetClass {
                organisation,
                class: planned.class,
            });
        }
        Some(_) => {}
    }
    let grants = parse_grants(&planned.grants)?;
    if current.map_or(&BTreeSet::new(), |current| &current.grants) != &grants {
        edits.push(Edit::SetGrants {
            organisation: id.clone(),
            grants,
        });
    }
    Ok(())
}

fn exception_edit(
    planned: &PlannedException,
    catalogue: &Catalogue,
) -> Result<Option<Edit>, PlanError> {
    let rules = [
        planned.quality.map(Rule::Quality),
        planned.in_flight.map(Rule::InFlight),
        planned.deny.clone().map(Rule::Deny),
        planned.no_roll_out.then_some(Rule::NoRollOut),
    ];
    let mut rules = rules.into_iter().flatten();
    let (Some(rule), None) = (rules.next(), rules.next()) else {
        return Err(PlanError::Rule(planned.organisation.clone()));
    };
    let exception = Exception {
        organisation: planned.organisation.clone(),
        rule,
        reason: planned.reason.clone(),
    };
    if catalogue
        .exceptions
        .values()
        .any(|current| *current == exception)
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

/// Parses grants, each a model or a version as `MODEL@VERSION`.
///
/// # Errors
///
/// Returns an error for the first text that is neither.
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
