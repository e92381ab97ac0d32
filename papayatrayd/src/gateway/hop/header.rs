//! Headers that two entries add to an attempt that one carries for the other.

use displaydoc::Display;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;

const ENDPOINT: HeaderName = HeaderName::from_static("papayatray-hop-endpoint");
const INCARNATION: HeaderName = HeaderName::from_static("papayatray-hop-incarnation");
const REMAINING: HeaderName = HeaderName::from_static("papayatray-hop-remaining-ms");
const NEW_CONNECTION: HeaderName = HeaderName::from_static("papayatray-hop-new-connection");
const PROBE: HeaderName = HeaderName::from_static("papayatray-hop-probe");
const FAILURE: HeaderName = HeaderName::from_static("papayatray-hop-failure");

/// Where to carry an attempt, and on which conditions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HopTarget {
    pub(super) endpoint: EndpointId,
    /// Incarnation of the endpoint; any other one must not get the request.
    pub(super) incarnation: Incarnation,
    /// Time until the deadline of the request.
    pub(super) remaining: Millis,
    /// Whether the endpoint must get the request over a new connection.
    pub(super) needs_new_connection: bool,
    /// Whether the entry only has to tell whether it can connect to the endpoint.
    pub(super) is_probe: bool,
}

/// The headers of a hop are missing or cannot be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) struct InvalidTarget;

impl std::error::Error for InvalidTarget {}

/// Reason why an entry returns no response of the endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum HopFailure {
    /// the entry carries no attempts to the endpoint for now
    Declined,
    /// the entry could not connect to the endpoint either
    Unreachable,
    /// the request was not sent to the endpoint
    NotSent,
    /// the connection to the endpoint was lost after the request was sent
    Lost,
}

impl HopFailure {
    const ALL: [Self; 4] = [Self::Declined, Self::Unreachable, Self::NotSent, Self::Lost];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Declined => "declined",
            Self::Unreachable => "unreachable",
            Self::NotSent => "not-sent",
            Self::Lost => "lost",
        }
    }

    /// Returns the failure that the head of a response states, if it states one.
    ///
    /// A value of another build counts as [`Self::Lost`], which promises nothing.
    pub(super) fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(FAILURE)?;
        let mut all = Self::ALL.into_iter();
        let known = all.find(|failure| value.as_bytes() == failure.as_str().as_bytes());
        Some(known.unwrap_or(Self::Lost))
    }

    /// Adds the failure to the head of a response.
    pub(super) fn add_to(self, headers: &mut HeaderMap) {
        headers.insert(FAILURE, HeaderValue::from_static(self.as_str()));
    }
}

impl HopTarget {
    /// Adds the target to the headers of a request.
    pub(super) fn add_to(&self, headers: &mut HeaderMap) {
        if let Ok(id) = HeaderValue::from_str(self.endpoint.as_str()) {
            headers.insert(ENDPOINT, id);
        }
        headers.insert(INCARNATION, HeaderValue::from(self.incarnation.0));
        headers.insert(REMAINING, HeaderValue::from(self.remaining.as_u64()));
        if self.needs_new_connection {
            headers.insert(NEW_CONNECTION, HeaderValue::from_static("1"));
        }
        if self.is_probe {
            headers.insert(PROBE, HeaderValue::from_static("1"));
        }
    }
}

impl TryFrom<&HeaderMap> for HopTarget {
    type Error = InvalidTarget;

    fn try_from(headers: &HeaderMap) -> Result<Self, InvalidTarget> {
        let text = |name: HeaderName| {
            let value = headers.get(name).ok_or(InvalidTarget)?;
            value.to_str().map_err(|_not_text| InvalidTarget)
        };
        let number = |name: HeaderName| {
            let parsed = text(name)?.parse::<u64>();
            parsed.map_err(|_no_number| InvalidTarget)
        };
        let endpoint = EndpointId::new(text(ENDPOINT)?);
        Ok(Self {
            endpoint: endpoint.map_err(|_invalid| InvalidTarget)?,
            incarnation: Incarnation(number(INCARNATION)?),
            remaining: Millis::new(number(REMAINING)?),
            needs_new_connection: headers.contains_key(NEW_CONNECTION),
            is_probe: headers.contains_key(PROBE),
        })
    }
}

/// Removes the headers of a hop, which concern only the two entries.
pub(super) fn remove_all(headers: &mut HeaderMap) {
    for name in [
        ENDPOINT,
        INCARNATION,
        REMAINING,
        NEW_CONNECTION,
        PROBE,
        FAILURE,
    ] {
        headers.remove(name);
    }
}
