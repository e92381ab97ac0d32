//! [`Dialect`] for deployments that differ only in the names of their headers.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::pauses::requested_pause;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::id::OrganisationId;

use super::dialect::AttemptContext;
use super::dialect::Dialect;
use super::dialect::PromptPart;
use super::dialect::RequestMetadata;
use super::dialect::RequestedModel;
use super::dialect::ResponseMetadata;
use super::dialect::StatedRate;
use super::relay::end_to_end;

/// Value of the model header that lets the gateway choose.
const ANY_MODEL: &str = "*";
/// Status with which an endpoint rejects a request that is meant for another one, as when its
/// address was reused.
const MISDIRECTED: u16 = 421;
/// Value of the header by which an endpoint states that it is leaving.
const LEAVING: &str = "1";

/// Names of the headers that callers, gateway and endpoints exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the request; endpoints send it back.
    pub request: HeaderName,
    /// Milliseconds until the deadline.
    pub deadline: HeaderName,
    /// Name of the model, or `*` to let the gateway choose.
    pub model: HeaderName,
    /// Parts of the prompt as `digest:tokens`, separated by commas.
    pub prefix: HeaderName,
    /// Id of the last event that was received of a stream.
    pub last_event: HeaderName,
    /// Organisation of the caller; only the gateway may set it.
    pub organisation: HeaderName,
    /// Id of the endpoint that must run the request; only the gateway may set it.
    pub endpoint: HeaderName,
    /// Set by endpoints to state that they ran the request.
    pub stamp: HeaderName,
    /// Set by endpoints to state that they did not run the request.
    pub not_run: HeaderName,
    /// Confidence of the model in its output, from 0 to 100.
    pub confidence: HeaderName,
    /// Set by endpoints to state that they are leaving; not forwarded in either direction.
    pub leaving: HeaderName,
    /// Set by endpoints to state the requests a second that they take from all entries together;
    /// not forwarded in either direction.
    pub rate_limit: HeaderName,
    /// Urgency from 0, which is served first, to 9; only the gateway may set it.
    pub urgency: HeaderName,
    /// Set by endpoints to state the milliseconds that are left of their warm-up; not forwarded in
    /// either direction.
    pub warm_up: HeaderName,
    /// Further headers that are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request: HeaderName::from_static("papayatray-request"),
            deadline: HeaderName::from_static("papayatray-deadline-ms"),
            model: HeaderName::from_static("papayatray-model"),
            prefix: HeaderName::from_static("papayatray-prefix"),
            last_event: HeaderName::from_static("last-event-id"),
            organisation: HeaderName::from_static("papayatray-organisation"),
            endpoint: HeaderName::from_static("papayatray-endpoint"),
            stamp: HeaderName::from_static("papayatray-ran"),
            not_run: HeaderName::from_static("papayatray-not-run"),
            confidence: HeaderName::from_static("papayatray-confidence"),
            leaving: HeaderName::from_static("papayatray-leaving"),
            rate_limit: HeaderName::from_static("papayatray-rate-limit"),
            urgency: HeaderName::from_static("papayatray-urgency"),
            warm_up: HeaderName::from_static("papayatray-warm-up-ms"),
            reserved: Vec::new(),
        }
    }
}

/// [`Dialect`] that is defined by the names of its headers.
#[derive(Clone, Debug, Default)]
pub struct HeaderDialect {
    names: HeaderNames,
}

impl HeaderDialect {
    /// Creates the dialect with these names.
    pub const fn new(names: HeaderNames) -> Self {
        Self { names }
    }
}

impl Dialect for HeaderDialect {
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, &'static str> {
        let (names, headers) = (&self.names, &head.headers);
        let id = header_text(headers, &names.request)
            .ok_or("the header with the request id is missing")?;
        Ok(RequestMetadata {
            id: id.to_owned(),
            key: header_text(headers, &header::AUTHORIZATION).and_then(bearer_token),
            deadline: header_number(headers, &names.deadline)?.map(Millis::new),
            model: match header_text(headers, &names.model) {
                None => RequestedModel::None,
                Some(ANY_MODEL) => RequestedModel::Any,
                Some(name) => RequestedModel::Named(name.to_owned()),
            },
            parts: header_text(headers, &names.prefix).map_or_else(Vec::new, prompt_parts),
            last_event: header_number(headers, &names.last_event)?,
        })
    }

    fn endpoint_headers(&self, headers: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap {
        let names = &self.names;
        let mut forwarded = end_to_end(headers);
        // Endpoints must not see the API key. The body has arrived, so `Expect` is obsolete.
        for name in [&header::AUTHORIZATION, &header::EXPECT] {
            forwarded.remove(name);
        }
        let own = [&names.leaving, &names.rate_limit, &names.warm_up];
        for name in names.reserved.iter().chain(own) {
            forwarded.remove(name);
        }
        forwarded.insert(
            names.deadline.clone(),
            HeaderValue::from(attempt.remaining.as_u64()),
        );
        let organisation = attempt.organisation.map(OrganisationId::as_str);
        set_gateway_header(&mut forwarded, &names.organisation, organisation);
        set_gateway_header(
            &mut forwarded,
            &names.endpoint,
            Some(attempt.endpoint.as_str()),
        );
        forwarded.remove(&names.urgency);
        if let Some(urgency) = attempt.urgency {
            let value = HeaderValue::from(u16::from(urgency.as_u8()));
            forwarded.insert(names.urgency.clone(), value);
        }
        if let Some(model) = attempt.model {
            set_gateway_header(&mut forwarded, &names.model, Some(model.as_str()));
        }
        if let Some(last_event) = attempt.last_event {
            forwarded.insert(names.last_event.clone(), HeaderValue::from(last_event));
        }
        forwarded
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut forwarded = end_to_end(headers);
        forwarded.remove(&self.names.leaving);
        forwarded.remove(&self.names.rate_limit);
        forwarded.remove(&self.names.warm_up);
        forwarded
    }

    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata {
        let (names, headers) = (&self.names, &head.headers);
        let has_run = headers.contains_key(&names.stamp);
        let is_misdirected = head.status.as_u16() == MISDIRECTED && !has_run;
        ResponseMetadata {
            is_leaving: header_text(headers, &names.leaving) == Some(LEAVING),
            pause: pause_of(head),
            rate_limit: stated_rate(headers, &names.rate_limit),
            warm_up_left: header_text(headers, &names.warm_up).and_then(warm_up_left),
            not_run: headers.contains_key(&names.not_run) || is_misdirected,
            has_run,
            request_id: header_text(headers, &names.request).map(str::to_owned),
            confidence: header_text(headers, &names.confidence)
                .and_then(|value| value.parse().ok()),
        }
    }
}

/// Returns the time for which an endpoint that turned a request away wants no further one.
fn pause_of(head: &response::Parts) -> Option<Millis> {
    let turns_away = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let value = header_text(&head.headers, &header::RETRY_AFTER).filter(|_| turns_away)?;
    requested_pause(value)
}

fn stated_rate(headers: &HeaderMap, name: &HeaderName) -> StatedRate {
    if !headers.contains_key(name) {
        return StatedRate::Absent;
    }
    let rate = header_text(headers, name).and_then(RequestRate::parse);
    rate.map_or(StatedRate::Unreadable, StatedRate::Limit)
}

/// Returns the remaining warm-up that a header states in milliseconds, which may have a fraction;
/// any other text states none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked not to be negative, and the cast saturates"
)]
fn warm_up_left(value: &str) -> Option<Millis> {
    let millis: f64 = value.trim().parse().ok()?;
    (millis >= 0.0).then(|| Millis::new(millis.ceil() as u64))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = header_text(headers, name) else {
        return Ok(None);
    };
    let parsed = value.trim().parse();
    parsed
        .map(Some)
        .map_err(|_error| "the deadline or the last event id is not a number")
}

fn bearer_token(value: &str) -> Option<String> {
    let (scheme, key) = value.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    is_bearer.then(|| key.trim().to_owned())
}

fn prompt_parts(value: &str) -> Vec<PromptPart> {
    let parts = value.split(',').filter_map(|part| {
        let (digest, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            digest: u64::from_str_radix(digest, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Sets a header that only the gateway may set, or removes it if there is no value.
fn set_gateway_header(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    headers.remove(name);
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name.clone(), value);
    }
}
