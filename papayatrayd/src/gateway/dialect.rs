//! What callers and endpoints of a site say in headers, as the gateway understands it.

use std::fmt::Debug;

use http::HeaderMap;
use http::request;
use http::response;
use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ModelId;
use papayatray_core::id::OrganisationId;

/// Model that a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedModel {
    /// The request is not for a model.
    #[default]
    None,
    /// Whichever of the route's models suffices.
    Any,
    /// This very model.
    Named(String),
}

/// Part of a prompt, as the endpoint caches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Name of the attempt, chosen by the caller.
    pub id: String,
    /// Key that the caller showed.
    pub key: Option<String>,
    /// Time that the caller waits.
    pub deadline: Option<Millis>,
    /// Model.
    pub model: RequestedModel,
    /// Parts of the prompt in order; the last one is the request's or its session's own.
    pub parts: Vec<PromptPart>,
    /// Last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
}

impl RequestMetadata {
    /// Returns the digest of the longest prefix that other requests share.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.digest)
    }

    /// Returns the tokens of that prefix, and those that are the request's own.
    pub fn tokens(&self) -> (u32, u32) {
        let (own, shared) = match self.parts.split_last() {
            None => return (0, 0),
            Some((last, rest)) => (last.tokens, rest),
        };
        let tokens = shared.iter().map(|part| part.tokens);
        (tokens.fold(0, u32::saturating_add), own)
    }
}

/// One attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Time that is left for the answer.
    pub left: Millis,
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Organisation of the caller.
    pub organisation: Option<&'a OrganisationId>,
    /// Model that is to answer, where the gateway chose it.
    pub model: Option<&'a ModelId>,
    /// Last event that has been passed on, where the stream is resumed.
    pub last_event: Option<u64>,
}

/// What an endpoint's answer says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the endpoint says that it did not run the request and never will.
    pub not_run: bool,
    /// Whether the answer is the endpoint's own, from having run the request.
    pub has_run: bool,
    /// Name of the attempt that the answer belongs to.
    pub echo: Option<String>,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u32>,
}

/// Headers of a site.
pub trait Dialect: Send + Sync + Debug {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// Returns what the caller did wrong.
    fn asked(&self, head: &request::Parts) -> Result<RequestMetadata, &'static str>;

    /// Returns the headers for an endpoint; what only the gateway may set is never the caller's.
    fn forwarded(&self, headers: &HeaderMap, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Reads what an endpoint's answer says about itself.
    fn verdict(&self, head: &response::Parts) -> Verdict;
}
