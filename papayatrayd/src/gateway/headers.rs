//! Headers by name: one reading of them for every site that differs in the names alone.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http::request;
use http::response;
use papayatray_core::clock::Millis;
use papayatray_core::id::OrganisationId;

use super::dialect::AttemptContext;
use super::dialect::Dialect;
use super::dialect::PromptPart;
use super::dialect::RequestMetadata;
use super::dialect::RequestedModel;
use super::dialect::Verdict;
use super::relay::end_to_end;

/// Model wish that leaves the choice to the gateway.
const ANY_MODEL: &str = "*";
/// Status of an endpoint at whose address another one was expected.
const OTHER_ENDPOINT: u16 = 421;

/// Names of the headers that callers, gateway and endpoints exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Name of the caller's attempt; endpoints send it back.
    pub request: HeaderName,
    /// Milliseconds that are left.
    pub deadline: HeaderName,
    /// Model; a star where the gateway chooses.
    pub model: HeaderName,
    /// Parts of the prompt as `digest:tokens`, separated by commas.
    pub prefix: HeaderName,
    /// Last event that has been received of a stream.
    pub last_event: HeaderName,
    /// Organisation of the caller; set by the gateway.
    pub organisation: HeaderName,
    /// Endpoint that alone is to run the request; set by the gateway.
    pub endpoint: HeaderName,
    /// Proof of an endpoint that it ran the request.
    pub stamp: HeaderName,
    /// Says that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// Further headers that only the gateway may set.
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
            reserved: Vec::new(),
        }
    }
}

/// Dialect of a site that differs from others in the names of its headers.
#[derive(Clone, Debug, Default)]
pub struct HeaderDialect {
    names: HeaderNames,
}

impl HeaderDialect {
    /// Creates the dialect of these names.
    pub const fn new(names: HeaderNames) -> Self {
        Self { names }
    }
}

impl Dialect for HeaderDialect {
    fn asked(&self, head: &request::Parts) -> Result<RequestMetadata, &'static str> {
        let (names, headers) = (&self.names, &head.headers);
        let id = text(headers, &names.request).ok_or("no request id")?;
        Ok(RequestMetadata {
            id: id.to_owned(),
            key: text(headers, &header::AUTHORIZATION).and_then(bearer),
            deadline: number(headers, &names.deadline)?.map(Millis::new),
            model: match text(headers, &names.model) {
                None => RequestedModel::None,
                Some(ANY_MODEL) => RequestedModel::Any,
                Some(name) => RequestedModel::Named(name.to_owned()),
            },
            parts: text(headers, &names.prefix).map_or_else(Vec::new, prompt_parts),
            last_event: number(headers, &names.last_event)?,
        })
    }

    fn forwarded(&self, headers: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap {
        let names = &self.names;
        let mut sent = end_to_end(headers);
        // The key is the gateway's alone, and a body that has come needs no expectation.
        for name in [&header::AUTHORIZATION, &header::EXPECT] {
            sent.remove(name);
        }
        for name in &names.reserved {
            sent.remove(name);
        }
        sent.insert(
            names.deadline.clone(),
            HeaderValue::from(attempt.left.as_u64()),
        );
        let organisation = attempt.organisation.map(OrganisationId::as_str);
        replace(&mut sent, &names.organisation, organisation);
        replace(&mut sent, &names.endpoint, Some(attempt.endpoint.as_str()));
        if let Some(model) = attempt.model {
            replace(&mut sent, &names.model, Some(model.as_str()));
        }
        if let Some(last) = attempt.last_event {
            sent.insert(names.last_event.clone(), HeaderValue::from(last));
        }
        sent
    }

    fn verdict(&self, head: &response::Parts) -> Verdict {
        let (names, headers) = (&self.names, &head.headers);
        let has_run = headers.contains_key(&names.stamp);
        let is_other = head.status.as_u16() == OTHER_ENDPOINT && !has_run;
        Verdict {
            not_run: headers.contains_key(&names.not_run) || is_other,
            has_run,
            echo: text(headers, &names.request).map(str::to_owned),
            confidence: text(headers, &names.confidence).and_then(|value| value.parse().ok()),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = text(headers, name) else {
        return Ok(None);
    };
    let parsed = value.trim().parse();
    parsed.map(Some).map_err(|_error| "a number cannot be read")
}

fn bearer(value: &str) -> Option<String> {
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

/// Sets a header that only the gateway may set; without a value it is removed.
fn replace(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    headers.remove(name);
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name.clone(), value);
    }
}
