//! Rules that each edit obeys, and those that hold for the catalogue as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Catalogue;
use super::Class;
use super::Edit;
use super::EditError;
use super::Exception;
use super::Grant;
use super::Organisation;
use super::Rule;
use super::Stage;
use super::Version;
use super::entry::QUALITY_MAX;
use crate::id::KeyHash;
use crate::id::OrganisationId;
use crate::id::VersionId;

impl Catalogue {
    /// Returns the catalogue that `edits` make of this one, one revision on.
    ///
    /// # Errors
    ///
    /// Returns the first rule that an edit breaks; the catalogue stays as it is.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, EditError> {
        if edits.is_empty() {
            return Err(EditError::NoEdit);
        }
        let mut next = self.clone();
        for edit in edits {
            next.apply(edit)?;
        }
        next.check(self)?;
        next.revision = self.revision.next();
        Ok(next)
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), EditError> {
        match edit {
            Edit::CreateOrganisation {
                organisation,
                class,
            } => self.create(organisation, *class),
            Edit::RemoveOrganisation { organisation } => self.remove(organisation),
            Edit::AddKey {
                organisation,
                label,
                hash,
            } => self.add_key(organisation, label, hash),
            Edit::RemoveKey {
                organisation,
                label,
            } => {
                let keys = &mut self.organisation_mut(organisation)?.keys;
                let removed = keys.remove(label);
                removed
                    .map(drop)
                    .ok_or_else(|| EditError::NoKey(organisation.clone()))
            }
            Edit::SetGrants {
                organisation,
                grants,
            } => {
                self.check_grants(grants)?;
                self.organisation_mut(organisation)?
                    .grants
                    .clone_from(grants);
                Ok(())
            }
            Edit::SetClass {
                organisation,
                class,
            } => {
                self.organisation_mut(organisation)?.class = *class;
                Ok(())
            }
            Edit::DeclareVersion {
                version,
                price_in,
                price_out,
                prior,
            } => self.declare(version, *price_in, *price_out, *prior),
            Edit::SetDefault { class, default } => {
                check_quality(default.quality)?;
                self.check_grants(&default.grants)?;
                self.defaults.insert(*class, default.clone());
                Ok(())
            }
            Edit::AddException {
                organisation,
                rule,
                reason,
            } => self.add_exception(organisation, rule, reason),
            Edit::RemoveException { number } => {
                let removed = self.exceptions.remove(number);
                removed.map(drop).ok_or(EditError::NoException(*number))
            }
            Edit::DeclareService { service, about } => {
                self.services.insert(service.clone(), about.clone());
                Ok(())
            }
            Edit::RemoveService { service } => {
                let removed = self.services.remove(service);
                removed
                    .map(drop)
                    .ok_or_else(|| EditError::NoService(service.clone()))
            }
            Edit::Offer { version }
            | Edit::StartRollOut { version, .. }
            | Edit::StepRollOut { version }
            | Edit::PauseRollOut { version, .. }
            | Edit::Halt { version, .. }
            | Edit::Resume { version }
            | Edit::Withdraw { version } => {
                let known = self.versions.get_mut(version);
                let own = known.ok_or_else(|| EditError::RouteError(version.clone()))?;
                own.stage = next_stage(version, &own.stage, edit)?;
                Ok(())
            }
        }
    }

    fn create(&mut self, organisation: &OrganisationId, class: Class) -> Result<(), EditError> {
        if self.organisations.contains_key(organisation) {
            return Err(EditError::OrganisationStands(organisation.clone()));
        }
        let own = Organisation {
            class,
            keys: BTreeMap::new(),
            grants: BTreeSet::new(),
        };
        self.organisations.insert(organisation.clone(), own);
        Ok(())
    }

    fn remove(&mut self, organisation: &OrganisationId) -> Result<(), EditError> {
        let removed = self.organisations.remove(organisation);
        self.exceptions
            .retain(|_, e| e.organisation != *organisation);
        removed
            .map(drop)
            .ok_or_else(|| EditError::NoOrganisation(organisation.clone()))
    }

    fn add_key(
        &mut self,
        organisation: &OrganisationId,
        label: &str,
        hash: &KeyHash,
    ) -> Result<(), EditError> {
        let stands = |o: &Organisation| o.keys.values().any(|own| own == hash);
        if let Some((id, _)) = self.organisations.iter().find(|(_, o)| stands(o)) {
            return Err(EditError::KeyStands(id.clone()));
        }
        let own = self.organisation_mut(organisation)?;
        if own.keys.contains_key(label) {
            return Err(EditError::KeyStands(organisation.clone()));
        }
        own.keys.insert(label.to_owned(), hash.clone());
        Ok(())
    }

    fn organisation_mut(&mut self, id: &OrganisationId) -> Result<&mut Organisation, EditError> {
        let known = self.organisations.get_mut(id);
        known.ok_or_else(|| EditError::NoOrganisation(id.clone()))
    }

    fn check_grants(&self, grants: &BTreeSet<Grant>) -> Result<(), EditError> {
        let is_known = |grant: &&Grant| self.versions.keys().any(|v| grant.covers(v));
        match grants.iter().find(|grant| !is_known(grant)) {
            Some(grant) => Err(EditError::NoGrant(grant.to_string())),
            None => Ok(()),
        }
    }

    fn declare(
        &mut self,
        id: &VersionId,
        price_in: u32,
        price_out: u32,
        prior: u32,
    ) -> Result<(), EditError> {
        check_quality(prior)?;
        if self.versions.contains_key(id) {
            return Err(EditError::VersionStands(id.clone()));
        }
        let version = Version {
            price_in,
            price_out,
            prior,
            stage: Stage::Declared,
            base_exposure: 0,
        };
        self.versions.insert(id.clone(), version);
        Ok(())
    }

    fn add_exception(
        &mut self,
        organisation: &OrganisationId,
        rule: &Rule,
        reason: &str,
    ) -> Result<(), EditError> {
        if reason.trim().is_empty() {
            return Err(EditError::NoReason);
        }
        if !self.organisations.contains_key(organisation) {
            return Err(EditError::NoOrganisation(organisation.clone()));
        }
        if let Rule::Quality(quality) = rule {
            check_quality(*quality)?;
        }
        if let Rule::Deny(version) = rule
            && !self.versions.contains_key(version)
        {
            return Err(EditError::RouteError(version.clone()));
        }
        let exception = Exception {
            organisation: organisation.clone(),
            rule: rule.clone(),
            reason: reason.to_owned(),
        };
        self.exceptions.insert(self.next_exception, exception);
        self.next_exception += 1;
        Ok(())
    }

    /// Checks the rules that hold for the catalogue as a whole.
    ///
    /// A withdrawal may leave an organisation or class empty, since a bad version must go; only
    /// a permission or default may not.
    fn check(&self, before: &Self) -> Result<(), EditError> {
        for (class, default) in &self.defaults {
            let is_new = before.defaults.get(class) != Some(default);
            if is_new && !default.grants.is_empty() && !self.any_open(&default.grants) {
                return Err(EditError::ClassWithoutVersion(class.as_str()));
            }
        }
        for (id, own) in &self.organisations {
            let is_new = before.organisations.get(id).map(|o| &o.grants) != Some(&own.grants);
            if is_new && !own.grants.is_empty() && !self.any_open(&own.grants) {
                return Err(EditError::OrganisationWithoutVersion(id.clone()));
            }
        }
        Ok(())
    }

    fn any_open(&self, grants: &BTreeSet<Grant>) -> bool {
        let is_open = |v: &Version| !matches!(v.stage, Stage::Withdrawn | Stage::Halted { .. });
        let mut open = self.versions.iter().filter(|(_, v)| is_open(v));
        open.any(|(id, _)| grants.iter().any(|grant| grant.covers(id)))
    }
}

fn check_quality(quality: u32) -> Result<(), EditError> {
    if quality > QUALITY_MAX {
        return Err(EditError::OutOfRange(quality));
    }
    Ok(())
}

/// Returns the stage that `edit` leads to from `stage`.
fn next_stage(id: &VersionId, stage: &Stage, edit: &Edit) -> Result<Stage, EditError> {
    let wrong = || match stage {
        Stage::Withdrawn => EditError::Withdrawn(id.clone()),
        other => EditError::WrongStage(id.clone(), other.as_str()),
    };
    match (edit, stage) {
        (Edit::Withdraw { .. }, _) => Ok(Stage::Withdrawn),
        (Edit::Offer { .. }, Stage::Declared | Stage::RollOut { .. }) => Ok(Stage::Offered),
        (Edit::StartRollOut { steps, .. }, Stage::Declared) => start(steps),
        (
            Edit::StepRollOut { .. },
            Stage::RollOut {
                steps,
                step,
                paused,
            },
        ) => {
            let is_last = *step as usize + 1 == steps.len();
            if is_last {
                return Ok(Stage::Offered);
            }
            Ok(Stage::RollOut {
                steps: steps.clone(),
                step: step + 1,
                paused: *paused,
            })
        }
        (Edit::PauseRollOut { paused, .. }, Stage::RollOut { steps, step, .. }) => {
            Ok(Stage::RollOut {
                steps: steps.clone(),
                step: *step,
                paused: *paused,
            })
        }
        (Edit::Halt { reason, .. }, Stage::RollOut { steps, step, .. }) => Ok(Stage::Halted {
            steps: steps.clone(),
            step: *step,
            reason: reason.clone(),
        }),
        (Edit::Halt { reason, .. }, Stage::Offered) => Ok(Stage::Halted {
            steps: Vec::new(),
            step: 0,
            reason: reason.clone(),
        }),
        (Edit::Resume { .. }, Stage::Halted { steps, step, .. }) => {
            if steps.is_empty() {
                return Ok(Stage::Offered);
            }
            Ok(Stage::RollOut {
                steps: steps.clone(),
                step: *step,
                paused: false,
            })
        }
        _ => Err(wrong()),
    }
}

fn start(steps: &[u32]) -> Result<Stage, EditError> {
    let grows = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let begins = steps.first().is_some_and(|first| *first > 0);
    if !grows || !begins {
        return Err(EditError::BadSteps);
    }
    Ok(Stage::RollOut {
        steps: steps.to_vec(),
        step: 0,
        paused: false,
    })
}
