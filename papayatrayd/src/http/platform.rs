//! What endpoints and the rating service send.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::EndpointId;
use papayatray_wire::http::Announcement;
use papayatray_wire::http::AnnouncementReply;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::Rating;

use super::Refused;
use super::access;
use super::json;
use super::read_body;
use crate::entry::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Time within which an endpoint must announce itself again.
const RENEW_WITHIN: Millis = Millis::from_secs(2);
/// Most bytes of a body.
const BODY_BYTES: usize = 256 << 10;

pub(super) async fn answer(
    entry: &Arc<Entry>,
    mut request: Request,
    rest: &str,
) -> Result<Response, Refused> {
    if !access::platform(entry, &request) {
        let message = "a key of the platform is needed; see [platform] in the settings";
        return Err(Refused::new(ErrorCode::Unauthorized, message));
    }
    match (request.method(), rest) {
        (Method::Post, "endpoints") => {
            let body = read_body(&mut request, BODY_BYTES).await?;
            announce(entry, &body)
        }
        (Method::Delete, _) if rest.starts_with("endpoints/") => leave(entry, &rest[10..]),
        (Method::Post, "ratings") => {
            let body = read_body(&mut request, BODY_BYTES).await?;
            rate(entry, &body)
        }
        _ => Err(Refused::new(
            ErrorCode::NotFound,
            "see docs/ENDPOINTS.md for the addresses",
        )),
    }
}

fn announce(entry: &Entry, body: &[u8]) -> Result<Response, Refused> {
    let wire: Announcement = serde_json::from_slice(body).map_err(bad)?;
    let endpoint = Endpoint::try_from(wire).map_err(bad)?;
    let (id, sequence) = (endpoint.id.clone(), endpoint.sequence);
    if entry.register_endpoint(endpoint) && sequence <= 1 {
        event(Level::Info, "endpoint_came", &[("endpoint", &id)]);
    }
    Ok(json(
        200,
        &AnnouncementReply {
            renew_within_ms: RENEW_WITHIN.as_u64(),
        },
    ))
}

fn leave(entry: &Entry, id: &str) -> Result<Response, Refused> {
    let id = EndpointId::new(id).map_err(bad)?;
    if !entry.deregister_endpoint(&id) {
        return Err(Refused::new(
            ErrorCode::NotFound,
            format!("endpoint {id} is not known here"),
        ));
    }
    event(Level::Info, "endpoint_left", &[("endpoint", &id)]);
    Ok(Response::new(StatusCode::NoContent))
}

fn rate(entry: &Entry, body: &[u8]) -> Result<Response, Refused> {
    let rating: Rating = serde_json::from_slice(body).map_err(bad)?;
    if !(0.0..=1.0).contains(&rating.rating) {
        return Err(Refused::new(
            ErrorCode::BadRequest,
            "field rating: wanted is 0 to 1",
        ));
    }
    entry.rate(&rating.version, &rating.kind, rating.rating);
    Ok(Response::new(StatusCode::NoContent))
}

fn bad<E>(error: E) -> Refused
where
    E: std::fmt::Display,
{
    Refused::new(ErrorCode::BadRequest, error.to_string())
}
