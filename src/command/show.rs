//! Output of commands: each function prints one kind of result in the given format.

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Edit;
use papayatray_core::directory::Endpoint;
use papayatray_core::directory::Offer;
use papayatray_core::id::KeyHash;
use papayatray_wire::http::EvacuationsResponse;
use papayatray_wire::peer::BillsReply;
use papayatray_wire::peer::HistoryReply;
use papayatray_wire::peer::LevelReport;
use papayatray_wire::peer::Span;
use papayatray_wire::peer::StatusReply;
use serde::Serialize;

use super::CommandError;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
    /// Comma-separated values, for bills only.
    Csv,
}

impl Format {
    pub(super) fn parse(text: Option<&str>) -> Result<Self, CommandError> {
        match text {
            None | Some("text") => Ok(Self::Text),
            Some("json") => Ok(Self::Json),
            Some(other) => Err(CommandError::Usage(format!(
                "--format {other}: expected text or json"
            ))),
        }
    }
}

/// Prints a value as JSON.
fn json<T>(value: &T)
where
    T: Serialize,
{
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("papayatray: {error}"),
    }
}

/// Prints that a command was carried out.
pub(super) fn message(text: &str, format: Format) {
    match format {
        Format::Json => json(&serde_json::json!({ "done": text })),
        Format::Text | Format::Csv => println!("{text}"),
    }
}

/// Prints a new key, and its digest unless that is stored already.
pub(super) fn key(key: &str, hash: Option<&KeyHash>, format: Format) {
    if format == Format::Json {
        json(&serde_json::json!({ "key": key, "hash": hash.map(KeyHash::as_str) }));
        return;
    }
    println!("key  {key}");
    if let Some(hash) = hash {
        println!("hash {}", hash.as_str());
    }
}

pub(super) fn edits(edits: &[Edit], format: Format) {
    if format == Format::Json {
        json(&edits);
        return;
    }
    if edits.is_empty() {
        println!("nothing differs");
    }
    for edit in edits {
        println!("+ {edit:?}");
    }
}

pub(super) fn organisations(catalogue: &Catalogue, format: Format) {
    if format == Format::Json {
        json(&catalogue.organisations);
        return;
    }
    println!(
        "{:24} {:8} {:7} {:9} ALLOWED",
        "ORGANISATION", "CLASS", "QUALITY", "IN-FLIGHT"
    );
    for (id, organisation) in &catalogue.organisations {
        let grants: Vec<String> = organisation
            .grants
            .iter()
            .map(ToString::to_string)
            .collect();
        let grants = if grants.is_empty() {
            "(default)".to_owned()
        } else {
            grants.join(" ")
        };
        let quality = catalogue.required_quality(id);
        let limit = catalogue.in_flight_limit(id);
        println!(
            "{:24} {:8} {quality:<7} {limit:<9} {grants}",
            id.as_str(),
            organisation.class.as_str()
        );
    }
}

pub(super) fn versions(catalogue: &Catalogue, format: Format) {
    if format == Format::Json {
        json(&catalogue.versions);
        return;
    }
    println!(
        "{:24} {:10} {:>9} {:>9} {:>7}",
        "VERSION", "STAGE", "PRICE-IN", "PRICE-OUT", "PRIOR"
    );
    for (id, version) in &catalogue.versions {
        let stage = version.stage.as_str();
        let id = id.to_string();
        println!(
            "{id:24} {stage:10} {:>9} {:>9} {:>7}",
            version.price_in, version.price_out, version.prior
        );
    }
}

pub(super) fn exceptions(catalogue: &Catalogue, format: Format) {
    if format == Format::Json {
        json(&catalogue.exceptions);
        return;
    }
    for (number, exception) in &catalogue.exceptions {
        let rule = format!("{:?}", exception.rule);
        println!(
            "{number:4} {:24} {rule:24} {}",
            exception.organisation.as_str(),
            exception.reason
        );
    }
}

pub(super) fn status(all: &[StatusReply], format: Format) {
    if format == Format::Json {
        json(&all);
        return;
    }
    for status in all {
        let leader = status.leader.as_ref().map_or("none", |vm| vm.as_str());
        let failed = if status.failed { " DISK FAILED" } else { "" };
        println!(
            "control {:16} {:10} {:10} term {} leader {leader} commit {} revision {}{failed}",
            status.vm.as_str(),
            status.role,
            status.boot,
            status.term,
            status.commit,
            status.revision
        );
        for blank in &status.blanks {
            println!("  blank replica {blank} waits to be admitted");
        }
    }
    // Only the leader's status lists entries.
    let Some(leader) = all.iter().find(|status| !status.entries.is_empty()) else {
        println!("no leader reports entries");
        return;
    };
    let in_force = leader
        .in_force
        .map_or_else(|| "unknown".to_owned(), |r| r.to_string());
    println!(
        "in force everywhere: revision {in_force} of {}",
        leader.revision
    );
    for entry in &leader.entries {
        let draining = if entry.info.draining { " draining" } else { "" };
        println!(
            "entry   {:16} {:12} {:21} revision {} billed {} recorded {}{draining}",
            entry.info.vm.as_str(),
            entry.info.data_centre.as_str(),
            entry.info.caller_address,
            entry.revision,
            entry.billed,
            entry.recorded
        );
    }
}

/// Prints the evacuated data centres and the format levels of the gateway.
pub(super) fn gateway(evacuations: &EvacuationsResponse, levels: &LevelReport, format: Format) {
    if format == Format::Json {
        json(&serde_json::json!({ "evacuations": evacuations.evacuations, "levels": levels }));
        return;
    }
    for evacuation in &evacuations.evacuations {
        println!(
            "evacuated {:16} ordered {} ms after the Unix epoch",
            evacuation.data_centre.as_str(),
            evacuation.ordered_at_ms.as_u64(),
        );
    }
    println!("format level {} in force", levels.in_force);
    for process in &levels.processes {
        match process.reads {
            Some(level) => println!("process {:40} reads level {level}", process.name),
            None => println!("process {:40} has not answered", process.name),
        }
    }
}

pub(super) fn endpoints(all: &[Endpoint], format: Format) {
    if format == Format::Json {
        json(&all);
        return;
    }
    for endpoint in all {
        let offer = match &endpoint.offer {
            Offer::Service(service) => service.to_string(),
            Offer::Versions(versions) => {
                let names: Vec<String> = versions.iter().map(ToString::to_string).collect();
                names.join(" ")
            }
        };
        let leaving = if endpoint.leaving { " leaving" } else { "" };
        println!(
            "{:16} {:21} {:12} slots {:4} {offer}{leaving}",
            endpoint.id.as_str(),
            endpoint.address,
            endpoint.data_centre.as_str(),
            endpoint.slots
        );
    }
}

pub(super) fn bills(bills: &BillsReply, format: Format) {
    if format == Format::Json {
        json(bills);
        return;
    }
    let separator = if format == Format::Csv { "," } else { "  " };
    let headers = [
        "organisation",
        "day",
        "subject",
        "requests",
        "tokens_in",
        "tokens_out",
        "cost",
    ];
    println!("{}", headers.join(separator));
    for (account, total) in &bills.totals {
        let cells = [
            account.organisation.to_string(),
            account.day.to_string(),
            account.subject.clone(),
            total.requests.to_string(),
            total.tokens_in.to_string(),
            total.tokens_out.to_string(),
            total.cost.to_string(),
        ];
        println!("{}", cells.join(separator));
    }
    if bills.lines.is_empty() {
        return;
    }
    println!(
        "{}",
        ["organisation", "request", "subject", "entry", "cost"].join(separator)
    );
    for bill in &bills.lines {
        let cells = [
            bill.key.organisation.to_string(),
            bill.key.request.to_string(),
            bill.subject.clone(),
            bill.entry.to_string(),
            bill.cost.to_string(),
        ];
        println!("{}", cells.join(separator));
    }
}

pub(super) fn history(history: &HistoryReply, format: Format) {
    if format == Format::Json {
        json(history);
        return;
    }
    for change in &history.changes {
        println!(
            "revision {:6} at {} by {}: {} {:?}",
            change.revision, change.at, change.author, change.why, change.edits
        );
    }
}

pub(super) fn trace(spans: &[Span], format: Format) {
    if format == Format::Json {
        json(&spans);
        return;
    }
    for span in spans {
        println!(
            "{:>12} us {:>8} us {:16} {}",
            span.begin,
            span.length,
            span.vm.as_str(),
            span.name
        );
    }
}
