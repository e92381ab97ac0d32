//! Execution of commands.

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::io::IsTerminal;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Edit;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::DataCentre;
use papayatray_core::id::KeyHash;
use papayatray_core::id::Revision;
use papayatray_wire::peer::BillsReply;
use papayatray_wire::peer::HistoryReply;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::ReplaceRequest;
use papayatray_wire::peer::Span;
use papayatray_wire::peer::StatusReply;

use super::CommandError;
use super::edit;
use super::show;
use super::show::Format;
use crate::client::Client;
use crate::explain::explain;
use crate::flags::OrgCmd;
use crate::flags::Papayatray;
use crate::flags::PapayatrayCmd;
use crate::gateway_client::GatewayClient;
use crate::plan::Plan;

/// Environment variable with the address of an entry.
const ADDRESS_VARIABLE: &str = "PAPAYATRAY_ADDRESS";
/// Environment variable with the operator's key.
const KEY_VARIABLE: &str = "PAPAYATRAY_KEY";
/// Time-out for a change to be in force at all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Generates a random key; returns it with its digest.
pub fn new_key() -> (String, KeyHash) {
    let (high, low): (u128, u64) = rand::random();
    let key = format!("ptk_{high:032x}{low:016x}");
    let hash = KeyHash::new(blake3::hash(key.as_bytes()).to_hex().as_str());
    (key, hash)
}

/// Runs the command given by `flags`.
///
/// # Errors
///
/// Returns why the command failed; [`CommandError::exit_code`] gives the exit code.
pub async fn run(flags: Papayatray) -> Result<(), CommandError> {
    let format = Format::parse(flags.format.as_deref())?;
    if let PapayatrayCmd::NewKey(_) = flags.subcommand {
        let (key, hash) = new_key();
        show::key(&key, Some(&hash), format);
        return Ok(());
    }
    if let PapayatrayCmd::Explain(explain) = &flags.subcommand {
        return explain_request(&explain.id, &explain.files);
    }
    if is_gateway_command(&flags.subcommand) {
        let client = GatewayClient::new(address(&flags)?);
        return run_gateway_command(&client, &flags.subcommand, format).await;
    }
    let session = Session {
        client: client(&flags)?,
        format,
        flags: &flags,
    };
    session.run().await
}

/// Explains a request from log files, or from standard input if there are none.
fn explain_request(id: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut logs = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut logs);
        read.map_err(|error| CommandError::File("standard input".to_owned(), error.to_string()))?;
    }
    for path in files {
        logs.push_str(&read_file(path)?);
        logs.push('\n');
    }
    match explain(id, &logs) {
        Some(page) => {
            print!("{page}");
            Ok(())
        }
        None => Err(CommandError::Usage(format!(
            "no log line names request {id}"
        ))),
    }
}

const fn is_gateway_command(command: &PapayatrayCmd) -> bool {
    matches!(
        command,
        PapayatrayCmd::Show(_) | PapayatrayCmd::Evacuate(_) | PapayatrayCmd::Readmit(_)
    )
}

/// Runs a command that a control replica of the gateway serves.
async fn run_gateway_command(
    client: &GatewayClient,
    command: &PapayatrayCmd,
    format: Format,
) -> Result<(), CommandError> {
    match command {
        PapayatrayCmd::Show(_) => {
            let evacuations = client.evacuations().await?;
            let levels = client.levels().await?;
            show::gateway(&evacuations, &levels, format);
        }
        PapayatrayCmd::Evacuate(flags) => {
            let name: DataCentre = edit::parse_name(&flags.data_centre)?;
            client.begin_evacuation(name.as_str()).await?;
            show::message(&format!("{name} is evacuated"), format);
        }
        PapayatrayCmd::Readmit(flags) => {
            let name: DataCentre = edit::parse_name(&flags.data_centre)?;
            client.finish_evacuation(name.as_str()).await?;
            show::message(&format!("{name} is not evacuated"), format);
        }
        // `is_gateway_command` names these commands only.
        _ => {}
    }
    Ok(())
}

/// Returns the address from the flags or, where they are absent, from an environment variable.
fn address(flags: &Papayatray) -> Result<SocketAddr, CommandError> {
    let from_environment = env::var(ADDRESS_VARIABLE).ok().map(|text| {
        let message = format!("{ADDRESS_VARIABLE}={text}: expected an IP address with a port");
        text.parse::<SocketAddr>()
            .map_err(|_bad| CommandError::Usage(message))
    });
    match (flags.address, from_environment) {
        (Some(address), _) => Ok(address),
        (None, Some(parsed)) => parsed,
        (None, None) => {
            let message = format!("no address: give one with --address or {ADDRESS_VARIABLE}");
            Err(CommandError::Usage(message))
        }
    }
}

/// Creates a client from the flags or, where they are absent, from environment variables.
fn client(flags: &Papayatray) -> Result<Client, CommandError> {
    let address = address(flags)?;
    let key = match &flags.key_file {
        Some(path) => read_file(path)?,
        None => env::var(KEY_VARIABLE).map_err(|_unset| {
            CommandError::Usage(format!(
                "no operator key: give one with --key-file or {KEY_VARIABLE}"
            ))
        })?,
    };
    Ok(Client::new(address, key.trim()))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    let name = || path.display().to_string();
    fs::read_to_string(path).map_err(|error| CommandError::File(name(), error.to_string()))
}

/// Command line with the client that it runs against.
struct Session<'a> {
    client: Client,
    format: Format,
    flags: &'a Papayatray,
}

impl Session<'_> {
    async fn run(&self) -> Result<(), CommandError> {
        match &self.flags.subcommand {
            // `run` executes this command without a session.
            PapayatrayCmd::NewKey(_) => Ok(()),
            PapayatrayCmd::Org(org) => self.org(org).await,
            PapayatrayCmd::Orgs(_) => self.list(show::organisations).await,
            PapayatrayCmd::Version(version) => self.change(vec![edit::of_version(version)?]).await,
            PapayatrayCmd::Versions(_) => self.list(show::versions).await,
            PapayatrayCmd::Service(service) => self.change(vec![edit::of_service(service)?]).await,
            PapayatrayCmd::ForgetService(flags) => {
                let service = edit::parse_name(&flags.name)?;
                self.change(vec![Edit::RemoveService { service }]).await
            }
            PapayatrayCmd::Default(default) => {
                let catalogue = self.client.catalogue().await?;
                let edits = vec![edit::of_default(default, &catalogue)?];
                self.change_from(catalogue.revision, edits).await
            }
            PapayatrayCmd::Exceptions(_) => self.list(show::exceptions).await,
            PapayatrayCmd::Exception(exception) => {
                self.change(vec![edit::of_exception(exception)?]).await
            }
            PapayatrayCmd::Lift(flags) => {
                self.change(vec![Edit::RemoveException {
                    number: flags.number,
                }])
                .await
            }
            PapayatrayCmd::Diff(diff) => {
                let (_, edits) = self.plan(&diff.file).await?;
                show::edits(&edits, self.format);
                Ok(())
            }
            PapayatrayCmd::Apply(apply) => {
                let (revision, edits) = self.plan(&apply.file).await?;
                show::edits(&edits, self.format);
                if edits.is_empty() {
                    return Ok(());
                }
                self.change_from(revision, edits).await
            }
            _ => self.run_query().await,
        }
    }

    /// Runs commands that do not change the configuration.
    async fn run_query(&self) -> Result<(), CommandError> {
        match &self.flags.subcommand {
            PapayatrayCmd::Status(_) => {
                let all: Vec<StatusReply> = self.client.get("status").await?;
                show::status(&all, self.format);
            }
            PapayatrayCmd::Endpoints(_) => {
                let all: Vec<Endpoint> = self.client.get("endpoints").await?;
                show::endpoints(&all, self.format);
            }
            PapayatrayCmd::Bills(flags) => {
                let mut pairs = BTreeMap::new();
                pairs.extend(flags.org.as_ref().map(|org| ("organisation", org.as_str())));
                pairs.extend(flags.lines.then_some(("lines", "1")));
                let query: Vec<String> = pairs.iter().map(|(k, v)| format!("{k}={v}")).collect();
                let bills: BillsReply = self
                    .client
                    .get(&format!("bills?{}", query.join("&")))
                    .await?;
                let format = if flags.csv { Format::Csv } else { self.format };
                show::bills(&bills, format);
            }
            PapayatrayCmd::History(flags) => {
                let path = format!("changes?after={}", flags.after.unwrap_or(0));
                let history: HistoryReply = self.client.get(&path).await?;
                show::history(&history, self.format);
            }
            PapayatrayCmd::Trace(flags) => {
                let spans: Vec<Span> = self.client.get(&format!("traces/{}", flags.trace)).await?;
                show::trace(&spans, self.format);
            }
            PapayatrayCmd::Drain(flags) => {
                let _: bool = self
                    .client
                    .post(&format!("drain/{}", flags.vm), &())
                    .await?;
                show::message(&format!("{} is draining", flags.vm), self.format);
            }
            PapayatrayCmd::Replace(flags) => {
                let request = ReplaceRequest {
                    lost: edit::parse_name(&flags.lost)?,
                    joining: edit::parse_name(&flags.newcomer)?,
                };
                let replaced: ReplaceReply = self.client.post("replace", &request).await?;
                if let ReplaceReply::Refused(why) = replaced {
                    return Err(CommandError::Client(crate::client::ClientError::Invalid(
                        why,
                    )));
                }
                show::message(
                    "the new replica is being added; see `papayatray status`",
                    self.format,
                );
            }
            // `run` and `Session::run` execute all other commands themselves.
            _ => {}
        }
        Ok(())
    }

    /// Runs an `org` command; `add-key` prints the new key after the change is made.
    async fn org(&self, org: &crate::flags::Org) -> Result<(), CommandError> {
        let created = matches!(org.subcommand, OrgCmd::AddKey(_)).then(new_key);
        let hash = created.as_ref().map(|(_, hash)| hash.clone());
        self.change(vec![edit::of_org(org, hash)?]).await?;
        if let Some((key, _)) = created {
            show::key(&key, None, self.format);
        }
        Ok(())
    }

    /// Shows a part of the current configuration.
    async fn list<F>(&self, show: F) -> Result<(), CommandError>
    where
        F: FnOnce(&Catalogue, Format),
    {
        show(&self.client.catalogue().await?, self.format);
        Ok(())
    }

    /// Returns the current revision, and the edits that bring the configuration of that revision to
    /// the plan file `path`.
    async fn plan(&self, path: &Path) -> Result<(Revision, Vec<Edit>), CommandError> {
        let plan = Plan::parse(&read_file(path)?)?;
        let catalogue = self.client.catalogue().await?;
        Ok((catalogue.revision, plan.edits(&catalogue)?))
    }

    /// Makes a change based on the current revision, as [`Self::change_from`] does.
    async fn change(&self, edits: Vec<Edit>) -> Result<(), CommandError> {
        let base = self.client.catalogue().await?.revision;
        self.change_from(base, edits).await
    }

    /// Makes a change based on the revision `base` and waits until it is in force, unless
    /// `--no-wait` is set.
    async fn change_from(&self, base: Revision, edits: Vec<Edit>) -> Result<(), CommandError> {
        let why = self.flags.why.as_deref().unwrap_or_default();
        let revision = self.client.change(base, why, edits).await?;
        show::message(&format!("revision {revision}"), self.format);
        if self.flags.no_wait {
            return Ok(());
        }
        let is_terminal = std::io::stderr().is_terminal();
        let progress = |in_force: Option<Revision>| {
            if is_terminal {
                let text = in_force.map_or_else(|| "unknown".to_owned(), |r| r.to_string());
                eprint!("\rin force: {text} of {revision} ");
            }
        };
        let waited = self
            .client
            .wait_in_force(revision, IN_FORCE_TIMEOUT, progress)
            .await;
        if is_terminal {
            eprintln!();
        }
        let took = waited?;
        show::message(
            &format!("in force everywhere after {} ms", took.as_millis()),
            self.format,
        );
        Ok(())
    }
}
