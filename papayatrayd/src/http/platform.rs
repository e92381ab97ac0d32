//! Requests of platform components: announcements of endpoints, and ratings of responses.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::id::EndpointId;
use papayatray_wire::http::Announcement;
use papayatray_wire::http::AnnouncementResponse;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::Rating;

use super::Rejection;
use super::access;
use super::json_response;
use super::read_body;
use crate::entry::Entry;
use crate::observe::Level;
use crate::observe::event;

/// Time within which an endpoint must renew its announcement, sent in each response to one.
const RENEW_INTERVAL: Millis = Millis::from_secs(2);
/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 256 << 10;

pub(super) async fn handle(
    entry: &Arc<Entry>,
    mut request: Request,
    path: &str,
) -> Result<Response, Rejection> {
    if !access::has_platform_key(entry, &request) {
        let message = "no valid platform key found; keys are set under [platform] in the settings";
        return Err(Rejection::new(ErrorCode::Unauthorized, message));
    }
    match (request.method(), path) {
        (Method::Post, "endpoints") => {
            let body = read_body(&mut request, MAX_BODY_BYTES).await?;
            announce(entry, &body)
        }
        (Method::Delete, _) if path.starts_with("endpoints/") => deregister(entry, &path[10..]),
        (Method::Post, "ratings") => {
            let body = read_body(&mut request, MAX_BODY_BYTES).await?;
            record_rating(entry, &body)
        }
        _ => Err(Rejection::new(
            ErrorCode::NotFound,
            "no such platform resource; docs/ENDPOINTS.md lists them",
        )),
    }
}

fn announce(entry: &Entry, body: &[u8]) -> Result<Response, Rejection> {
    let announcement: Announcement = serde_json::from_slice(body).map_err(bad_request)?;
    let endpoint = Endpoint::try_from(announcement).map_err(bad_request)?;
    let (id, sequence) = (endpoint.id.clone(), endpoint.sequence);
    if entry.register_endpoint(endpoint) && sequence <= 1 {
        event(Level::Info, "endpoint_came", &[("endpoint", &id)]);
    }
    Ok(json_response(
        200,
        &AnnouncementResponse {
            renew_within_ms: RENEW_INTERVAL.as_u64(),
        },
    ))
}

fn deregister(entry: &Entry, id: &str) -> Result<Response, Rejection> {
    let id = EndpointId::new(id).map_err(bad_request)?;
    if !entry.deregister_endpoint(&id) {
        return Err(Rejection::new(
            ErrorCode::NotFound,
            format!("endpoint {id} is not registered at this entry"),
        ));
    }
    event(Level::Info, "endpoint_left", &[("endpoint", &id)]);
    Ok(Response::new(StatusCode::NoContent))
}

fn record_rating(entry: &Entry, body: &[u8]) -> Result<Response, Rejection> {
    let rating: Rating = serde_json::from_slice(body).map_err(bad_request)?;
    if !(0.0..=1.0).contains(&rating.rating) {
        return Err(Rejection::new(
            ErrorCode::BadRequest,
            "field rating: expected a number from 0 to 1",
        ));
    }
    entry.record_rating(&rating.version, &rating.kind, rating.rating);
    Ok(Response::new(StatusCode::NoContent))
}

fn bad_request<E>(error: E) -> Rejection
where
    E: std::fmt::Display,
{
    Rejection::new(ErrorCode::BadRequest, error.to_string())
}
