//! Requests of operators.

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
use papayatray_wire::http::ChangeRequest;
use papayatray_wire::http::ChangeResponse;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::InForceResponse;
use papayatray_wire::peer::BillsReply;
use papayatray_wire::peer::BillsRequest;
use papayatray_wire::peer::HistoryReply;
use papayatray_wire::peer::HistoryRequest;
use papayatray_wire::peer::Method as Call;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::ReplaceRequest;
use papayatray_wire::peer::Span;
use papayatray_wire::peer::StatusReply;
use papayatray_wire::peer::TraceRequest;

use super::Rejection;
use super::access;
use super::json_response;
use super::read_body;
use crate::entry::Entry;
use crate::entry::LeaderError;
use crate::observe::Level;
use crate::observe::event;

/// Time within which the leader must reply.
const LEADER_TIMEOUT: Millis = Millis::from_secs(10);
/// Time within which one process must reply to a call that needs no leader.
const VM_TIMEOUT: Millis = Millis::from_secs(1);
/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 4 << 20;

pub(super) async fn handle(
    entry: &Arc<Entry>,
    mut request: Request,
    path: &str,
) -> Result<Response, Rejection> {
    let Some(author) = access::authenticate_operator(entry, &request) else {
        let message = "no valid operator key found; keys are set under [operators] in the settings";
        return Err(Rejection::new(ErrorCode::Unauthorized, message));
    };
    let query: BTreeMap<String, String> = request.url().query_pairs().into_owned().collect();
    match (request.method(), path) {
        (Method::Get, "catalogue") => Ok(json_response(200, &entry.view().catalogue)),
        (Method::Post, "changes") => {
            let body = read_body(&mut request, MAX_BODY_BYTES).await?;
            change(entry, author, &body).await
        }
        (Method::Get, "changes") => history(entry, &query).await,
        (Method::Get, "in-force") => in_force(entry).await,
        (Method::Get, "status") => status(entry).await,
        (Method::Get, "endpoints") => Ok(json_response(200, &entry.registry.endpoints())),
        (Method::Get, "bills") => bills(entry, &query).await,
        (Method::Post, "replace") => {
            let body = read_body(&mut request, MAX_BODY_BYTES).await?;
            replace(entry, &body).await
        }
        (Method::Post, _) if path.starts_with("drain/") => drain(entry, &path[6..]).await,
        (Method::Get, _) if path.starts_with("traces/") => trace(entry, &path[7..]).await,
        _ => Err(Rejection::new(
            ErrorCode::NotFound,
            "no such operator resource; docs/OPERATIONS.md lists them",
        )),
    }
}

/// Proposes a change of the configuration.
async fn change(entry: &Entry, author: OperatorId, body: &[u8]) -> Result<Response, Rejection> {
    let request: ChangeRequest = serde_json::from_slice(body).map_err(bad_request)?;
    let change = request.into_change(author);
    event(
        Level::Info,
        "change",
        &[("id", &change.id), ("author", &change.author)],
    );
    let reply = entry
        .leader
        .propose(Command::Configure(change), LEADER_TIMEOUT)
        .await;
    match reply.map_err(leader_rejection)? {
        Reply::Configured(outcome) => Ok(json_response(200, &ChangeResponse { outcome })),
        other => Err(unexpected_reply(&other)),
    }
}

async fn history(entry: &Entry, query: &BTreeMap<String, String>) -> Result<Response, Rejection> {
    let after = query
        .get("after")
        .map_or(Ok(0), |text| text.parse::<u64>())
        .map_err(bad_request)?;
    let request = HistoryRequest {
        after: Revision(after),
    };
    let history: HistoryReply = entry
        .leader
        .call(Call::History, &request, LEADER_TIMEOUT)
        .await
        .map_err(leader_rejection)?;
    Ok(json_response(200, &history))
}

/// Returns the committed revision, and the highest revision that every entry applies.
async fn in_force(entry: &Entry) -> Result<Response, Rejection> {
    // The entry's view may be as old as its lease, so the revision is read from the leader.
    let status = leader_status(entry)
        .await
        .ok_or_else(|| leader_rejection(LeaderError::NoLeader))?;
    let body = InForceResponse {
        revision: status.revision,
        in_force: status.in_force,
    };
    Ok(json_response(200, &body))
}

/// Returns the status of the replica that leads; only a leader reports a revision in force.
async fn leader_status(entry: &Entry) -> Option<StatusReply> {
    let all_statuses = statuses(entry).await;
    all_statuses
        .into_iter()
        .flatten()
        .find(|status| status.role == "leader" && status.in_force.is_some())
}

/// Returns the status of each control replica, or `None` for one that does not reply.
async fn statuses(entry: &Entry) -> Vec<Option<StatusReply>> {
    let controls = entry.leader.controls();
    let calls = controls.values().map(|address| async move {
        let status = entry
            .peers
            .call(address, Call::Status, &(), VM_TIMEOUT)
            .await;
        status.ok()
    });
    let mut all_statuses = Vec::new();
    for call in calls {
        all_statuses.push(call.await);
    }
    all_statuses
}

async fn status(entry: &Entry) -> Result<Response, Rejection> {
    let statuses: Vec<StatusReply> = statuses(entry).await.into_iter().flatten().collect();
    Ok(json_response(200, &statuses))
}

async fn bills(entry: &Entry, query: &BTreeMap<String, String>) -> Result<Response, Rejection> {
    let organisation = query.get("organisation").map(OrganisationId::new);
    let request = BillsRequest {
        organisation: organisation.transpose().map_err(bad_request)?,
        lines: query.contains_key("lines"),
    };
    let bills: BillsReply = entry
        .leader
        .call(Call::Bills, &request, LEADER_TIMEOUT)
        .await
        .map_err(leader_rejection)?;
    Ok(json_response(200, &bills))
}

/// Replaces a lost control replica by a blank one.
async fn replace(entry: &Entry, body: &[u8]) -> Result<Response, Rejection> {
    let request: ReplaceRequest = serde_json::from_slice(body).map_err(bad_request)?;
    let reply: ReplaceReply = entry
        .leader
        .call(Call::Replace, &request, LEADER_TIMEOUT)
        .await
        .map_err(leader_rejection)?;
    Ok(json_response(200, &reply))
}

/// Returns the address at which other processes reach the entry on a VM.
fn peer_address(entry: &Entry, vm: &VmId) -> Result<String, Rejection> {
    let view = entry.view();
    let found = view.entries.get(vm);
    let message = format!("no entry runs on VM {vm}; `papayatray status` lists those that do");
    let missing = || Rejection::new(ErrorCode::NotFound, message);
    found
        .map(|info| info.peer_address.clone())
        .ok_or_else(missing)
}

/// Requests a graceful shutdown of the daemon on a VM.
async fn drain(entry: &Entry, vm: &str) -> Result<Response, Rejection> {
    let vm = VmId::new(vm).map_err(bad_request)?;
    let address = peer_address(entry, &vm)?;
    let reply: Result<bool, _> = entry
        .peers
        .call(&address, Call::Drain, &(), VM_TIMEOUT)
        .await;
    reply.map_err(|error| Rejection::new(ErrorCode::NotFound, error.to_string()))?;
    Ok(json_response(200, &true))
}

/// Returns the spans of a trace from all entries that reply, ordered by start time.
async fn trace(entry: &Entry, trace_id: &str) -> Result<Response, Rejection> {
    let request = TraceRequest {
        trace: trace_id.to_owned(),
    };
    let mut spans: Vec<Span> = Vec::new();
    for info in entry.view().entries.values() {
        let found: Result<Vec<Span>, _> = entry
            .peers
            .call(&info.peer_address, Call::Trace, &request, VM_TIMEOUT)
            .await;
        spans.extend(found.unwrap_or_default());
    }
    spans.sort_by_key(|span| span.begin);
    Ok(json_response(200, &spans))
}

fn bad_request<E>(error: E) -> Rejection
where
    E: std::fmt::Display,
{
    Rejection::new(ErrorCode::BadRequest, error.to_string())
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn leader_rejection(error: LeaderError) -> Rejection {
    let rejection = Rejection::new(ErrorCode::NoQuorum, error.to_string());
    let rejection = rejection.retry_after(Millis::from_secs(1));
    if error == LeaderError::OutcomeUnknown {
        rejection.may_have_run()
    } else {
        rejection
    }
}

fn unexpected_reply(reply: &Reply) -> Rejection {
    Rejection::new(
        ErrorCode::NoQuorum,
        format!("the leader sent an unexpected reply: {reply:?}"),
    )
    .may_have_run()
}
