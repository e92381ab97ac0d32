//! Responses and rejections.

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::clock::Millis;
use papayatray_wire::http::ErrorBody;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::ErrorResponse;
use serde::Serialize;

/// Media type of JSON.
const JSON: &str = "application/json";

/// Returns the last value of the header `name` of a request.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// Returns a response with a JSON body; an invalid `status` becomes 500.
pub fn json_response<T>(status: u16, body: &T) -> Response
where
    T: Serialize,
{
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    // Cannot fail: all types sent here have a JSON form.
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    response.insert_header("content-type", JSON);
    response
}

/// Error response to a request.
///
/// It states that the request was not run, unless [`Rejection::may_have_run`] is called.
#[derive(Clone, Debug)]
pub struct Rejection {
    body: Box<ErrorBody>,
    closes_connection: bool,
}

impl Rejection {
    /// Creates a rejection of a request that was not run.
    pub fn new<S>(code: ErrorCode, message: S) -> Self
    where
        S: Into<String>,
    {
        let body = ErrorBody {
            code,
            message: message.into(),
            not_run: true,
            retry: false,
            retry_after_ms: None,
            addresses: Vec::new(),
            request: None,
        };
        Self {
            body: Box::new(body),
            closes_connection: false,
        }
    }

    /// States that the request may have run.
    #[must_use]
    pub fn may_have_run(mut self) -> Self {
        self.body.not_run = false;
        self
    }

    /// States that the request may be sent again after `wait`.
    #[must_use]
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.body.retry = true;
        self.body.retry_after_ms = Some(wait.as_u64());
        self
    }

    /// Names other addresses that may serve the request.
    #[must_use]
    pub fn with_alternatives(mut self, addresses: Vec<String>) -> Self {
        self.body.addresses = addresses;
        self
    }

    /// Adds the id of the request.
    #[must_use]
    pub fn for_request(mut self, request: &str) -> Self {
        self.body.request = Some(request.to_owned());
        self
    }

    /// Closes the connection after the response.
    #[must_use]
    pub const fn close_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Returns the error code.
    pub const fn code(&self) -> ErrorCode {
        self.body.code
    }

    /// Returns the body of the response.
    pub fn to_body(&self) -> ErrorResponse {
        ErrorResponse {
            error: ErrorBody::clone(&self.body),
        }
    }
}

impl From<Rejection> for Response {
    fn from(rejection: Rejection) -> Self {
        let mut response = json_response(rejection.code().status(), &rejection.to_body());
        if let Some(wait) = rejection.body.retry_after_ms {
            response.insert_header("retry-after", wait.div_ceil(1_000).to_string());
        }
        if rejection.closes_connection {
            response.insert_header("connection", "close");
        }
        response
    }
}
