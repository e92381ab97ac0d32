//! Small answers: models, addresses, health.

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::id::DataCentre;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::http::EntriesReply;
use papayatray_wire::http::EntryAddress;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::ModelItem;
use papayatray_wire::http::ModelsReply;

use super::ask::no_lease;
use super::ask::organisation;
use crate::entry::Entry;
use crate::entry::Stop;
use crate::http::Refused;
use crate::http::json;

/// Addresses that a refusal names.
const OTHERS: usize = 3;

/// Returns what the organisation may use.
pub(super) fn models(entry: &Entry, request: &Request) -> Result<Response, Refused> {
    let organisation = organisation(entry, request)?;
    if !entry.has_lease() {
        return Err(no_lease(entry));
    }
    let view = entry.view();
    let startable_versions = view.catalogue.startable_versions(&organisation);
    let data = startable_versions.map(|(id, version)| ModelItem {
        id: id.to_string(),
        object: "model".to_owned(),
        stage: version.stage.as_str().to_owned(),
    });
    let reply = ModelsReply {
        object: "list".to_owned(),
        data: data.collect(),
    };
    Ok(json(200, &reply))
}

/// Returns the addresses that a caller may use, and for how long.
///
/// The caller's data centre may be named as `?data_centre=NAME`; it is this entry's otherwise.
pub(super) fn entries(entry: &Entry, request: &Request) -> Response {
    let mut pairs = request.url().query_pairs();
    let named = pairs
        .find(|(key, _)| key == "data_centre")
        .map(|(_, name)| name.into_owned());
    let named = named.and_then(|name| DataCentre::new(name).ok());
    let near = named.unwrap_or_else(|| entry.data_centre.clone());
    let reply = EntriesReply {
        entries: ordered(entry, &near),
        hold_ms: entry.settings.hold.0.as_u64(),
    };
    json(200, &reply)
}

/// Orders the entries: near ones first, each group from a random start, so that no herd forms.
fn ordered(entry: &Entry, near: &DataCentre) -> Vec<EntryAddress> {
    let view = entry.view();
    let is_open = |info: &&EntryInfo| {
        let is_own_stop = info.vm == entry.vm && entry.stop() != Stop::None;
        !info.draining && !is_own_stop
    };
    let open: Vec<&EntryInfo> = view.entries.values().filter(is_open).collect();
    let (mut own, mut far): (Vec<_>, Vec<_>) =
        open.into_iter().partition(|info| info.data_centre == *near);
    let draw = usize::try_from(entry.next_id() % (1 << 16)).unwrap_or(0);
    for group in [&mut own, &mut far] {
        let length = group.len().max(1);
        // An empty group has nothing to turn.
        group.rotate_left(draw % length);
    }
    let all = own.into_iter().chain(far);
    all.map(|info| EntryAddress {
        address: info.caller_address.clone(),
        data_centre: info.data_centre.clone(),
    })
    .collect()
}

/// Returns other addresses that may serve a request refused here.
pub fn addresses(entry: &Entry) -> Vec<String> {
    let own = entry.settings.caller_address.to_string();
    let all = ordered(entry, &entry.data_centre).into_iter();
    all.map(|e| e.address)
        .filter(|address| *address != own)
        .take(OTHERS)
        .collect()
}

/// Tells that the process runs.
pub(super) fn healthy() -> Response {
    Response::new(StatusCode::Ok)
}

/// Tells whether the entry takes new requests.
pub(super) fn ready(entry: &Entry) -> Result<Response, Refused> {
    if entry.stop() != Stop::None {
        return Err(Refused::new(
            ErrorCode::Draining,
            "this VM is being stopped",
        ));
    }
    if !entry.has_lease() {
        return Err(no_lease(entry));
    }
    Ok(Response::new(StatusCode::Ok))
}
