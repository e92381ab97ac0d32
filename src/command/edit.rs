//! Conversion of commands into edits of the configuration.

use std::collections::BTreeSet;
use std::str::FromStr;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Rule;
use papayatray_core::catalogue::Service;
use papayatray_core::id::KeyHash;
use papayatray_core::id::NameError;

use super::CommandError;
use crate::flags::Default as DefaultFlags;
use crate::flags::Exception as ExceptionFlags;
use crate::flags::Org;
use crate::flags::OrgCmd;
use crate::flags::Service as ServiceFlags;
use crate::flags::Version;
use crate::flags::VersionCmd;
use crate::plan::parse_grants;

/// Price if no flag sets one, in millionths of the currency.
const DEFAULT_PRICE: u32 = 0;
/// Prior quality of a version if no flag sets one, in thousandths.
const DEFAULT_PRIOR: u32 = 700;

/// Parses the name of an organisation, version, service or VM.
pub(super) fn parse_name<T>(text: &str) -> Result<T, CommandError>
where
    T: FromStr<Err = NameError>,
{
    text.parse()
        .map_err(|error| CommandError::Name(text.to_owned(), error))
}

fn parse_class(text: &str) -> Result<Class, CommandError> {
    match text {
        "paying" => Ok(Class::Paying),
        "trial" => Ok(Class::Trial),
        _ => Err(CommandError::Usage(format!(
            "class {text}: expected paying or trial"
        ))),
    }
}

/// Returns the edit for an `org` command; `key` is the digest of the key that `add-key` adds.
pub(super) fn of_org(org: &Org, key: Option<KeyHash>) -> Result<Edit, CommandError> {
    let edit = match &org.subcommand {
        OrgCmd::Create(create) => Edit::CreateOrganisation {
            organisation: parse_name(&create.name)?,
            class: parse_class(create.class.as_deref().unwrap_or("paying"))?,
        },
        OrgCmd::AddKey(flags) => Edit::AddKey {
            organisation: parse_name(&flags.name)?,
            label: flags.label.clone(),
            hash: key.ok_or_else(|| CommandError::Usage("no key was created".to_owned()))?,
        },
        OrgCmd::DropKey(flags) => Edit::RemoveKey {
            organisation: parse_name(&flags.name)?,
            label: flags.label.clone(),
        },
        OrgCmd::Allow(flags) => Edit::SetGrants {
            organisation: parse_name(&flags.name)?,
            grants: parse_grants(&flags.grants)?,
        },
        OrgCmd::Class(flags) => Edit::SetClass {
            organisation: parse_name(&flags.name)?,
            class: parse_class(&flags.class)?,
        },
        OrgCmd::Quality(flags) => Edit::AddException {
            organisation: parse_name(&flags.name)?,
            rule: Rule::Quality(flags.quality),
            reason: flags.reason.clone(),
        },
        OrgCmd::Limit(flags) => Edit::AddException {
            organisation: parse_name(&flags.name)?,
            rule: Rule::InFlight(flags.limit),
            reason: flags.reason.clone(),
        },
        OrgCmd::Delete(flags) => Edit::RemoveOrganisation {
            organisation: parse_name(&flags.name)?,
        },
    };
    Ok(edit)
}

/// Returns the edit for a `version` command.
pub(super) fn of_version(version: &Version) -> Result<Edit, CommandError> {
    let edit = match &version.subcommand {
        VersionCmd::Declare(flags) => Edit::DeclareVersion {
            version: parse_name(&flags.version)?,
            price_in: flags.price_in.unwrap_or(DEFAULT_PRICE),
            price_out: flags.price_out.unwrap_or(DEFAULT_PRICE),
            prior: flags.prior.unwrap_or(DEFAULT_PRIOR),
        },
        VersionCmd::Offer(flags) => Edit::Offer {
            version: parse_name(&flags.version)?,
        },
        VersionCmd::RollOut(flags) => Edit::StartRollOut {
            version: parse_name(&flags.version)?,
            steps: flags.steps.clone(),
        },
        VersionCmd::Step(flags) => Edit::StepRollOut {
            version: parse_name(&flags.version)?,
        },
        VersionCmd::Pause(flags) => Edit::PauseRollOut {
            version: parse_name(&flags.version)?,
            paused: true,
        },
        VersionCmd::Unpause(flags) => Edit::PauseRollOut {
            version: parse_name(&flags.version)?,
            paused: false,
        },
        VersionCmd::Halt(flags) => Edit::Halt {
            version: parse_name(&flags.version)?,
            reason: flags.reason.clone(),
        },
        VersionCmd::Resume(flags) => Edit::Resume {
            version: parse_name(&flags.version)?,
        },
        VersionCmd::Withdraw(flags) => Edit::Withdraw {
            version: parse_name(&flags.version)?,
        },
    };
    Ok(edit)
}

/// Returns the edit that declares a service.
pub(super) fn of_service(flags: &ServiceFlags) -> Result<Edit, CommandError> {
    let repeatable: BTreeSet<String> = flags
        .repeatable
        .iter()
        .map(|method| method.to_uppercase())
        .collect();
    let about = Service {
        repeatable,
        price: flags.price.unwrap_or(DEFAULT_PRICE),
    };
    Ok(Edit::DeclareService {
        service: parse_name(&flags.name)?,
        about,
    })
}

/// Returns the edit of a class default; values without a flag keep their current setting.
pub(super) fn of_default(
    flags: &DefaultFlags,
    catalogue: &Catalogue,
) -> Result<Edit, CommandError> {
    let class = parse_class(&flags.class)?;
    let mut default = catalogue.class_default(class);
    default.quality = flags.quality.unwrap_or(default.quality);
    default.in_flight = flags.in_flight.unwrap_or(default.in_flight);
    if !flags.grant.is_empty() {
        default.grants = parse_grants(&flags.grant)?;
    }
    Ok(Edit::SetDefault { class, default })
}

/// Returns the edit that adds an exception.
pub(super) fn of_exception(flags: &ExceptionFlags) -> Result<Edit, CommandError> {
    let rule = match (&flags.deny, flags.no_roll_out) {
        (Some(version), false) => Rule::Deny(parse_name(version)?),
        (None, true) => Rule::NoRollOut,
        _ => {
            let message = "expected exactly one of --deny and --no-roll-out";
            return Err(CommandError::Usage(message.to_owned()));
        }
    };
    Ok(Edit::AddException {
        organisation: parse_name(&flags.organisation)?,
        rule,
        reason: flags.reason.clone(),
    })
}
