//! Interface between the gateway and the header conventions of a deployment.

use std::fmt::Debug;

use http::HeaderMap;
use http::request;
use http::response;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::order::Urgency;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ModelId;
use papayatray_core::id::OrganisationId;

/// Model that a request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedModel {
    /// The request needs no model.
    #[default]
    None,
    /// The gateway chooses one of the route's models.
    Any,
    /// The model with this name.
    Named(String),
}

/// Part of a prompt, the unit in which endpoints cache prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the gateway needs to know from the head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request; the caller chooses a new one each time it sends the request.
    pub id: String,
    /// API key, if the request carries one.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub deadline: Option<Millis>,
    /// Model that the request asks for.
    pub model: RequestedModel,
    /// Parts of the prompt in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
}

impl RequestMetadata {
    /// Returns the digest of the last part but one, which identifies the longest prefix that other
    /// requests may share; `None` for a prompt of fewer than two parts.
    pub fn shared_prefix_digest(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.digest)
    }

    /// Returns the digests of the parts that other requests may share, which are all but the last;
    /// of more than `limit`, the last ones.
    pub fn shared_parts(&self, limit: usize) -> Vec<u64> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let skipped = shared.len().saturating_sub(limit);
        shared[skipped..].iter().map(|part| part.digest).collect()
    }

    /// Returns two counts of tokens: of the shared prefix, which is all parts but the last, and of
    /// the last part, which is unique to the request or its session.
    pub fn shared_and_unique_tokens(&self) -> (u32, u32) {
        let (last_tokens, rest) = match self.parts.split_last() {
            None => return (0, 0),
            Some((last, rest)) => (last.tokens, rest),
        };
        let tokens = rest.iter().map(|part| part.tokens);
        (tokens.fold(0, u32::saturating_add), last_tokens)
    }
}

/// What an attempt adds to the headers for its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Time until the deadline.
    pub remaining: Millis,
    /// Endpoint of the attempt.
    pub endpoint: &'a EndpointId,
    /// Organisation of the caller.
    pub organisation: Option<&'a OrganisationId>,
    /// Model that the gateway chose, or `None` where it does not choose.
    pub model: Option<&'a ModelId>,
    /// Id of the last event that the caller has received, if the stream is resumed.
    pub last_event: Option<u64>,
    /// Urgency of the request, or `None` where the endpoint's default applies.
    pub urgency: Option<Urgency>,
}

/// What the head of a response states about the endpoint's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedRate {
    /// Nothing: the endpoint has no limit.
    #[default]
    Absent,
    /// A limit that is not a number; the one stated before holds.
    Unreadable,
    /// Requests a second that the endpoint takes from all entries together.
    Limit(RequestRate),
}

/// What the head of an endpoint's response states about the attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the endpoint states that it did not run the request and never will.
    pub not_run: bool,
    /// Whether the endpoint states that it ran the request.
    pub has_run: bool,
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Confidence of the model in its output, from 0 to 100.
    pub confidence: Option<u32>,
    /// Whether the endpoint states that it is leaving and wants no further requests.
    pub is_leaving: bool,
    /// Time for which the endpoint, which turned the request away, wants none from this entry.
    pub pause: Option<Millis>,
    /// Rate limit of the endpoint.
    pub rate_limit: StatedRate,
    /// Remaining warm-up of the endpoint, if it states one.
    pub warm_up_left: Option<Millis>,
}

/// Header conventions of a deployment.
pub trait Dialect: Send + Sync + Debug {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the headers.
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, &'static str>;

    /// Returns the headers for an endpoint.
    ///
    /// Headers that only the gateway may set are replaced, never taken from the caller.
    fn endpoint_headers(&self, headers: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Returns the headers of an endpoint's response that are forwarded to the caller.
    ///
    /// Those that concern only one connection, or are meant for the gateway, are left out.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the metadata of an endpoint's response.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;
}
