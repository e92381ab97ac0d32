//! Answers of the gateway's own, where no endpoint's answer can be given.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use papayatray_core::clock::Millis;

use super::server::HandlerBody;
use super::server::full_response;

/// Part by which the time to come back is spread.
const RETRY_JITTER: f64 = 0.5;

/// Why a request has no endpoint's answer.
///
/// [`Refusal::NotRun`] promises that the request has not run and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The caller did something wrong.
    BadRequest(StatusCode, &'static str),
    /// The request has not run; the caller may come back after this time.
    NotRun(&'static str, Millis),
    /// The request may have run.
    Failed(&'static str),
    /// The time was up, and the request may have run.
    TimedOut,
}

impl Refusal {
    /// Returns the status.
    pub(super) const fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(status, _) => *status,
            Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the outcome's name in the metrics.
    pub(super) const fn outcome(&self) -> &'static str {
        match self {
            Self::BadRequest(..) => "bad_request",
            Self::NotRun(..) => "refused",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the reason.
    pub(super) const fn reason(&self) -> &'static str {
        match self {
            Self::BadRequest(_, reason) | Self::NotRun(reason, _) | Self::Failed(reason) => reason,
            Self::TimedOut => "no answer in time",
        }
    }

    /// Returns the answer.
    pub(super) fn response(&self) -> Response<HandlerBody> {
        let mut response = full_response(self.status(), "text/plain", self.reason());
        if let Self::NotRun(_, after) = self {
            // Callers who were refused together must not come back together.
            let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
            let seconds = format!("{:.3}", after.as_u64() as f64 / 1_000.0 * jitter);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
