//! What callers ask, and how it is answered.

mod ask;
mod begin;
mod chat;
mod claim;
mod collect;
mod dispatch;
mod pages;
mod service;
mod session;
mod stream;
mod trial;

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use papayatray_wire::http::ErrorCode;

pub use self::pages::addresses;
use crate::entry::Entry;
use crate::http::Refused;

/// Path under which plain services are reached.
const SERVICES: &str = "/v1/services/";

/// Answers a caller.
///
/// # Errors
///
/// Returns the refusal, with whether the request was run.
pub async fn answer(entry: &Arc<Entry>, request: Request, path: &str) -> Result<Response, Refused> {
    match (request.method(), path) {
        (Method::Post, "/v1/chat/completions") => chat::answer(entry, request).await,
        (Method::Get, "/v1/models") => pages::models(entry, &request),
        (Method::Get, "/v1/entries") => Ok(pages::entries(entry, &request)),
        (Method::Get, "/healthz") => Ok(pages::healthy()),
        (Method::Get, "/readyz") => pages::ready(entry),
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/entries" | "/healthz" | "/readyz") => {
            let message = format!("{} does not fit this address", request.method());
            Err(Refused::new(ErrorCode::MethodNotAllowed, message))
        }
        _ => match path.strip_prefix(SERVICES) {
            Some(rest) => service::answer(entry, request, rest).await,
            None => Err(Refused::new(
                ErrorCode::NotFound,
                format!("{path} leads nowhere"),
            )),
        },
    }
}
