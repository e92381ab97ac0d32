//! What operators ask.

use std::collections::BTreeMap;
use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use papayatray_core::clock::Millis;
use papayatray_core::id::OperatorId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::Revision;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::http::ChangeReply;
use papayatray_wire::http::ChangeRequest;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::InForceReply;
use papayatray_wire::peer::Bills;
use papayatray_wire::peer::BillsRequest;
use papayatray_wire::peer::History;
use papayatray_wire::peer::HistoryRequest;
use papayatray_wire::peer::Method as Call;
use papayatray_wire::peer::Replace;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::Span;
use papayatray_wire::peer::Status;
use papayatray_wire::peer::TraceRequest;

use super::Refused;
use super::access;
use super::json;
use super::read_body;
use crate::entry::Entry;
use crate::entry::LeaderError;
use crate::observe::Level;
use crate::observe::event;

/// Time within which the leader must answer an operator.
const LIMIT: Millis = Millis::from_secs(10);
/// Time within which one VM must answer.
const VM_LIMIT: Millis = Millis::from_secs(1);
/// Most bytes of a change.
const BODY_BYTES: usize = 4 << 20;

pub(super) async fn answer(
    entry: &Arc<Entry>,
    mut request: Request,
    rest: &str,
) -> Result<Response, Refused> {
    let Some(author) = access::operator(entry, &request) else {
        let message = "an operator's key is needed; see [operators] in the settings";
        return Err(Refused::new(ErrorCode::Unauthorized, message));
    };
    let pairs: BTreeMap<String, String> = request.url().query_pairs().into_owned().collect();
    match (request.method(), rest) {
        (Method::Get, "catalogue") => Ok(json(200, &entry.view().catalogue)),
        (Method::Post, "changes") => {
            let body = read_body(&mut request, BODY_BYTES).await?;
            change(entry, author, &body).await
        }
        (Method::Get, "changes") => history(entry, &pairs).await,
        (Method::Get, "in-force") => in_force(entry).await,
        (Method::Get, "status") => status(entry).await,
        (Method::Get, "endpoints") => Ok(json(200, &entry.registry.endpoints())),
        (Method::Get, "bills") => bills(entry, &pairs).await,
        (Method::Post, "replace") => {
            let body = read_body(&mut request, BODY_BYTES).await?;
            replace(entry, &body).await
        }
        (Method::Post, _) if rest.starts_with("drain/") => drain(entry, &rest[6..]).await,
        (Method::Get, _) if rest.starts_with("traces/") => trace(entry, &rest[7..]).await,
        _ => Err(Refused::new(
            ErrorCode::NotFound,
            "see docs/OPERATIONS.md for the addresses",
        )),
    }
}

async fn change(entry: &Entry, author: OperatorId, body: &[u8]) -> Result<Response, Refused> {
    let request: ChangeRequest = serde_json::from_slice(body).map_err(bad)?;
    let change = request.into_change(author);
    event(
        Level::Info,
        "change",
        &[("id", &change.id), ("author", &change.author)],
    );
    let reply = entry
        .leader
        .propose(Command::Configure(change), LIMIT)
        .await;
    match reply.map_err(no_leader)? {
        Reply::Configured(outcome) => Ok(json(200, &ChangeReply { outcome })),
        other => Err(odd(&other)),
    }
}

async fn history(entry: &Entry, pairs: &BTreeMap<String, String>) -> Result<Response, Refused> {
    let after = pairs
        .get("after")
        .map_or(Ok(0), |text| text.parse::<u64>())
        .map_err(bad)?;
    let request = HistoryRequest {
        after: Revision(after),
    };
    let history: History = entry
        .leader
        .call(Call::History, &request, LIMIT)
        .await
        .map_err(no_leader)?;
    Ok(json(200, &history))
}

async fn in_force(entry: &Entry) -> Result<Response, Refused> {
    // The view's own word may be a lease old; the leader's is not.
    let status = leader_status(entry)
        .await
        .ok_or_else(|| no_leader(LeaderError::None))?;
    let reply = InForceReply {
        revision: status.revision,
        in_force: status.in_force,
    };
    Ok(json(200, &reply))
}

async fn leader_status(entry: &Entry) -> Option<Status> {
    let all = statuses(entry).await;
    all.into_iter()
        .flatten()
        .find(|status| status.role == "leader" && status.in_force.is_some())
}

async fn statuses(entry: &Entry) -> Vec<Option<Status>> {
    let controls = entry.leader.controls();
    let asked = controls.values().map(|address| async move {
        let status = entry.peers.call(address, Call::Status, &(), VM_LIMIT).await;
        status.ok()
    });
    let mut all = Vec::new();
    for asking in asked {
        all.push(asking.await);
    }
    all
}

async fn status(entry: &Entry) -> Result<Response, Refused> {
    let statuses: Vec<Status> = statuses(entry).await.into_iter().flatten().collect();
    Ok(json(200, &statuses))
}

async fn bills(entry: &Entry, pairs: &BTreeMap<String, String>) -> Result<Response, Refused> {
    let organisation = pairs.get("organisation").map(OrganisationId::new);
    let request = BillsRequest {
        organisation: organisation.transpose().map_err(bad)?,
        lines: pairs.contains_key("lines"),
    };
    let bills: Bills = entry
        .leader
        .call(Call::Bills, &request, LIMIT)
        .await
        .map_err(no_leader)?;
    Ok(json(200, &bills))
}

async fn replace(entry: &Entry, body: &[u8]) -> Result<Response, Refused> {
    let request: Replace = serde_json::from_slice(body).map_err(bad)?;
    let replaced: ReplaceReply = entry
        .leader
        .call(Call::Replace, &request, LIMIT)
        .await
        .map_err(no_leader)?;
    Ok(json(200, &replaced))
}

/// Returns the address of a VM that runs an entry.
fn address_of(entry: &Entry, vm: &VmId) -> Result<String, Refused> {
    let view = entry.view();
    let found = view.entries.get(vm);
    let message = format!("no VM {vm} is live; `papayatray status` lists them");
    let missing = || Refused::new(ErrorCode::NotFound, message);
    found
        .map(|info| info.peer_address.clone())
        .ok_or_else(missing)
}

async fn drain(entry: &Entry, vm: &str) -> Result<Response, Refused> {
    let vm = VmId::new(vm).map_err(bad)?;
    let address = address_of(entry, &vm)?;
    let asked: Result<bool, _> = entry.peers.call(&address, Call::Drain, &(), VM_LIMIT).await;
    asked.map_err(|error| Refused::new(ErrorCode::NotFound, error.to_string()))?;
    Ok(json(200, &true))
}

async fn trace(entry: &Entry, trace: &str) -> Result<Response, Refused> {
    let request = TraceRequest {
        trace: trace.to_owned(),
    };
    let mut spans: Vec<Span> = Vec::new();
    for info in entry.view().entries.values() {
        let found: Result<Vec<Span>, _> = entry
            .peers
            .call(&info.peer_address, Call::Trace, &request, VM_LIMIT)
            .await;
        spans.extend(found.unwrap_or_default());
    }
    spans.sort_by_key(|span| span.begin);
    Ok(json(200, &spans))
}

fn bad<E>(error: E) -> Refused
where
    E: std::fmt::Display,
{
    Refused::new(ErrorCode::BadRequest, error.to_string())
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn no_leader(error: LeaderError) -> Refused {
    let refused = Refused::new(ErrorCode::NoQuorum, error.to_string());
    let refused = refused.retry_after(Millis::from_secs(1));
    if error == LeaderError::Unknown {
        refused.perhaps_run()
    } else {
        refused
    }
}

fn odd(reply: &Reply) -> Refused {
    Refused::new(
        ErrorCode::NoQuorum,
        format!("an unexpected reply: {reply:?}"),
    )
    .perhaps_run()
}
