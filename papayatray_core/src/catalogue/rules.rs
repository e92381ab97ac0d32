//! Application of edits to the catalogue, and the checks that they must pass.

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
use super::items::MAX_QUALITY;
use crate::id::KeyHash;
use crate::id::OrganisationId;
use crate::id::VersionId;

impl Catalogue {
    /// Returns a copy of the catalogue with `edits` applied and the next revision.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no edit, if an edit is not allowed, or if changed grants cover
    /// only versions that are halted or withdrawn.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, EditError> {
        if edits.is_empty() {
            return Err(EditError::EmptyChange);
        }
        let mut next = self.clone();
        for edit in edits {
            next.apply(edit)?;
        }
        next.check_changed_grants(self)?;
        next.revision = self.revision.next();
        Ok(next)
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), EditError> {
        match edit {
            Edit::CreateOrganisation {
                organisation,
                class,
            } => self.create_organisation(organisation, *class),
            Edit::RemoveOrganisation { organisation } => self.remove_organisation(organisation),
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
                    .ok_or_else(|| EditError::UnknownKey(organisation.clone()))
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
            } => self.declare_version(version, *price_in, *price_out, *prior),
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
                removed
                    .map(drop)
                    .ok_or(EditError::UnknownException(*number))
            }
            Edit::DeclareService { service, about } => {
                self.services.insert(service.clone(), about.clone());
                Ok(())
            }
            Edit::RemoveService { service } => {
                let removed = self.services.remove(service);
                removed
                    .map(drop)
                    .ok_or_else(|| EditError::UnknownService(service.clone()))
            }
            Edit::Offer { version }
            | Edit::StartRollOut { version, .. }
            | Edit::StepRollOut { version }
            | Edit::PauseRollOut { version, .. }
            | Edit::Halt { version, .. }
            | Edit::Resume { version }
            | Edit::Withdraw { version } => {
                let found = self.versions.get_mut(version);
                let record = found.ok_or_else(|| EditError::UnknownVersion(version.clone()))?;
                record.stage = next_stage(version, &record.stage, edit)?;
                Ok(())
            }
        }
    }

    fn create_organisation(
        &mut self,
        organisation: &OrganisationId,
        class: Class,
    ) -> Result<(), EditError> {
        if self.organisations.contains_key(organisation) {
            return Err(EditError::OrganisationExists(organisation.clone()));
        }
        let created = Organisation {
            class,
            keys: BTreeMap::new(),
            grants: BTreeSet::new(),
        };
        self.organisations.insert(organisation.clone(), created);
        Ok(())
    }

    fn remove_organisation(&mut self, organisation: &OrganisationId) -> Result<(), EditError> {
        let removed = self.organisations.remove(organisation);
        self.exceptions
            .retain(|_, e| e.organisation != *organisation);
        removed
            .map(drop)
            .ok_or_else(|| EditError::UnknownOrganisation(organisation.clone()))
    }

    fn add_key(
        &mut self,
        organisation: &OrganisationId,
        label: &str,
        hash: &KeyHash,
    ) -> Result<(), EditError> {
        let has_key = |o: &Organisation| o.keys.values().any(|existing| existing == hash);
        if let Some((id, _)) = self.organisations.iter().find(|(_, o)| has_key(o)) {
            return Err(EditError::KeyExists(id.clone()));
        }
        let holder = self.organisation_mut(organisation)?;
        if holder.keys.contains_key(label) {
            return Err(EditError::KeyExists(organisation.clone()));
        }
        holder.keys.insert(label.to_owned(), hash.clone());
        Ok(())
    }

    fn organisation_mut(&mut self, id: &OrganisationId) -> Result<&mut Organisation, EditError> {
        let found = self.organisations.get_mut(id);
        found.ok_or_else(|| EditError::UnknownOrganisation(id.clone()))
    }

    fn check_grants(&self, grants: &BTreeSet<Grant>) -> Result<(), EditError> {
        let is_known = |grant: &&Grant| self.versions.keys().any(|v| grant.covers(v));
        match grants.iter().find(|grant| !is_known(grant)) {
            Some(grant) => Err(EditError::UnknownGrant(grant.to_string())),
            None => Ok(()),
        }
    }

    fn declare_version(
        &mut self,
        id: &VersionId,
        price_in: u32,
        price_out: u32,
        prior: u32,
    ) -> Result<(), EditError> {
        check_quality(prior)?;
        if self.versions.contains_key(id) {
            return Err(EditError::VersionExists(id.clone()));
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
            return Err(EditError::MissingReason);
        }
        if !self.organisations.contains_key(organisation) {
            return Err(EditError::UnknownOrganisation(organisation.clone()));
        }
        if let Rule::Quality(quality) = rule {
            check_quality(*quality)?;
        }
        if let Rule::Deny(version) = rule
            && !self.versions.contains_key(version)
        {
            return Err(EditError::UnknownVersion(version.clone()));
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

    /// Checks that changed grants and defaults include a version that is not halted or withdrawn,
    /// unless they are empty.
    ///
    /// A withdrawal may leave an organisation or class without such a version, since it must always
    /// be possible to take a bad version out of service.
    fn check_changed_grants(&self, before: &Self) -> Result<(), EditError> {
        for (class, default) in &self.defaults {
            let is_changed = before.defaults.get(class) != Some(default);
            if is_changed && !default.grants.is_empty() && !self.has_usable_version(&default.grants)
            {
                return Err(EditError::ClassWithoutVersion(class.as_str()));
            }
        }
        for (id, organisation) in &self.organisations {
            let is_changed =
                before.organisations.get(id).map(|o| &o.grants) != Some(&organisation.grants);
            if is_changed
                && !organisation.grants.is_empty()
                && !self.has_usable_version(&organisation.grants)
            {
                return Err(EditError::OrganisationWithoutVersion(id.clone()));
            }
        }
        Ok(())
    }

    fn has_usable_version(&self, grants: &BTreeSet<Grant>) -> bool {
        let is_usable = |v: &Version| !matches!(v.stage, Stage::Withdrawn | Stage::Halted { .. });
        let mut usable = self.versions.iter().filter(|(_, v)| is_usable(v));
        usable.any(|(id, _)| grants.iter().any(|grant| grant.covers(id)))
    }
}

fn check_quality(quality: u32) -> Result<(), EditError> {
    if quality > MAX_QUALITY {
        return Err(EditError::OutOfRange(quality));
    }
    Ok(())
}

/// Returns the stage of a version after `edit`, or the error if `edit` is not allowed at `stage`.
fn next_stage(id: &VersionId, stage: &Stage, edit: &Edit) -> Result<Stage, EditError> {
    let wrong_stage = || match stage {
        Stage::Withdrawn => EditError::Withdrawn(id.clone()),
        other => EditError::WrongStage(id.clone(), other.as_str()),
    };
    match (edit, stage) {
        (Edit::Withdraw { .. }, _) => Ok(Stage::Withdrawn),
        (Edit::Offer { .. }, Stage::Declared | Stage::RollOut { .. }) => Ok(Stage::Offered),
        (Edit::StartRollOut { steps, .. }, Stage::Declared) => initial_stage(steps),
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
        _ => Err(wrong_stage()),
    }
}

fn initial_stage(steps: &[u32]) -> Result<Stage, EditError> {
    let is_increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let is_positive = steps.first().is_some_and(|first| *first > 0);
    if !is_increasing || !is_positive {
        return Err(EditError::InvalidSteps);
    }
    Ok(Stage::RollOut {
        steps: steps.to_vec(),
        step: 0,
        paused: false,
    })
}
