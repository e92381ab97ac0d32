//! Lists of models and of entry addresses, and health checks.

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::id::DataCentre;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::http::EntriesResponse;
use papayatray_wire::http::EntryAddress;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::ModelItem;
use papayatray_wire::http::ModelsResponse;

use super::context::authenticate;
use super::context::no_lease_rejection;
use crate::entry::Entry;
use crate::entry::ShutdownStage;
use crate::http::Rejection;
use crate::http::json_response;

/// Maximum number of addresses named in a rejection.
const MAX_ALTERNATIVES: usize = 3;

/// Returns the versions that the organisation may start requests on.
pub(super) fn models(entry: &Entry, request: &Request) -> Result<Response, Rejection> {
    let organisation = authenticate(entry, request)?;
    if !entry.has_lease() {
        return Err(no_lease_rejection(entry));
    }
    let view = entry.view();
    let startable_versions = view.catalogue.startable_versions(&organisation);
    let data = startable_versions.map(|(id, version)| ModelItem {
        id: id.to_string(),
        object: "model".to_owned(),
        stage: version.stage.as_str().to_owned(),
    });
    let body = ModelsResponse {
        object: "list".to_owned(),
        data: data.collect(),
    };
    Ok(json_response(200, &body))
}

/// Returns the addresses of the entries, and for how long a caller may cache them.
///
/// The query `?data_centre=NAME` names the caller's data centre, by default that of this entry.
pub(super) fn entries(entry: &Entry, request: &Request) -> Response {
    let mut pairs = request.url().query_pairs();
    let requested = pairs
        .find(|(key, _)| key == "data_centre")
        .map(|(_, name)| name.into_owned());
    let requested = requested.and_then(|name| DataCentre::new(name).ok());
    let near = requested.unwrap_or_else(|| entry.data_centre.clone());
    let body = EntriesResponse {
        entries: open_entries(entry, &near),
        hold_ms: entry.settings.hold.0.as_u64(),
    };
    json_response(200, &body)
}

/// Returns the addresses of all entries that are not draining, those in `near` first.
///
/// Each group is rotated by an offset that varies by call, to spread callers over the entries.
fn open_entries(entry: &Entry, near: &DataCentre) -> Vec<EntryAddress> {
    let view = entry.view();
    let is_open = |info: &&EntryInfo| {
        // The view shows the drain of this entry only after the next renewal.
        let is_draining_here =
            info.vm == entry.vm && entry.shutdown_stage() != ShutdownStage::Serving;
        !info.draining && !is_draining_here
    };
    let open: Vec<&EntryInfo> = view.entries.values().filter(is_open).collect();
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        open.into_iter().partition(|info| info.data_centre == *near);
    let offset = usize::try_from(entry.next_id() % (1 << 16)).unwrap_or(0);
    for group in [&mut local, &mut remote] {
        let length = group.len().max(1);
        group.rotate_left(offset % length);
    }
    let all = local.into_iter().chain(remote);
    all.map(|info| EntryAddress {
        address: info.caller_address.clone(),
        data_centre: info.data_centre.clone(),
    })
    .collect()
}

/// Returns addresses of other entries, for a request that this entry rejects.
pub fn alternative_addresses(entry: &Entry) -> Vec<String> {
    let this_address = entry.settings.caller_address.to_string();
    let all = open_entries(entry, &entry.data_centre).into_iter();
    all.map(|open| open.address)
        .filter(|address| *address != this_address)
        .take(MAX_ALTERNATIVES)
        .collect()
}

/// Returns the liveness response.
pub(super) fn healthy() -> Response {
    Response::new(StatusCode::Ok)
}

/// Returns the readiness response, or why the entry accepts no new requests.
pub(super) fn ready(entry: &Entry) -> Result<Response, Rejection> {
    if entry.shutdown_stage() != ShutdownStage::Serving {
        return Err(Rejection::new(
            ErrorCode::Draining,
            "this VM is shutting down; use another address",
        ));
    }
    if !entry.has_lease() {
        return Err(no_lease_rejection(entry));
    }
    Ok(Response::new(StatusCode::Ok))
}
