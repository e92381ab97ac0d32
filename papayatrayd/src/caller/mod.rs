//! Requests of callers: chats, calls of plain services (services without a model), and discovery.

mod chat;
mod claim;
mod collect;
mod context;
mod discovery;
mod dispatch;
mod service;
mod session;
mod start;
mod stream;
mod trial;

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use papayatray_wire::http::ErrorCode;

pub use self::discovery::alternative_addresses;
use crate::entry::Entry;
use crate::http::Rejection;

/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/v1/services/";

/// Handles a request of a caller; `path` is the request's path.
///
/// # Errors
///
/// Returns the rejection, which states whether the request may have run.
pub async fn handle(
    entry: &Arc<Entry>,
    request: Request,
    path: &str,
) -> Result<Response, Rejection> {
    match (request.method(), path) {
        (Method::Post, "/v1/chat/completions") => chat::handle(entry, request).await,
        (Method::Get, "/v1/models") => discovery::models(entry, &request),
        (Method::Get, "/v1/entries") => Ok(discovery::entries(entry, &request)),
        (Method::Get, "/healthz") => Ok(discovery::healthy()),
        (Method::Get, "/readyz") => discovery::ready(entry),
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/entries" | "/healthz" | "/readyz") => {
            let message = format!("method {} is not allowed on this path", request.method());
            Err(Rejection::new(ErrorCode::MethodNotAllowed, message))
        }
        _ => match path.strip_prefix(SERVICE_PREFIX) {
            Some(rest) => service::handle(entry, request, rest).await,
            None => Err(Rejection::new(
                ErrorCode::NotFound,
                format!("no resource at path {path}"),
            )),
        },
    }
}
