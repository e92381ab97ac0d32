//! Claims: at-most-once reservations of request keys, replicated on a quorum.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::RequestKey;
use crate::id::VmId;

/// Time after which a claim and its stored response are forgotten.
pub const CLAIM_RETENTION: Millis = Millis::from_secs(3_600);
/// Maximum size of a response body that is stored with a claim.
pub const MAX_STORED_BODY_BYTES: usize = 32 * 1_024;

/// Response of a finished request, stored to answer retries of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// The body; absent if it was larger than [`MAX_STORED_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// Entry's request for the claim of a request key, without which it may not run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the request to run.
    pub key: RequestKey,
    /// Entry that would run it.
    pub entry: VmId,
    /// Number that stays the same when the entry repeats a claim request after a lost reply.
    pub nonce: u64,
    /// Digest of the request's body, to detect that a caller reuses an id for another request.
    pub body: u128,
    /// Maximum duration of the run.
    pub span: Millis,
}

/// Whether a claimed request is running or has finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running { deadline: Millis },
    Done(StoredResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    entry: VmId,
    nonce: u64,
    #[serde(rename = "at")]
    claimed_at: Millis,
    /// Digest of the request's body.
    body: u128,
    state: State,
}

/// Decision on a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The requesting entry, and no other, may run the request.
    Granted,
    /// The request is running at this entry.
    InProgress(VmId),
    /// The request has finished with this response.
    Done(StoredResponse),
    /// The claim's deadline passed without a response: the request may or may not have run, and is
    /// never run again.
    Unknown,
    /// The id is claimed for a request with another body.
    Mismatch,
}

/// Claims by request key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    claims: BTreeMap<RequestKey, Claim>,
    /// Times of all claims, oldest first; a released claim stays listed until it expires.
    order: VecDeque<(Millis, RequestKey)>,
}

impl Claims {
    /// Claims a request key for an entry, or returns why the entry may not run the request.
    ///
    /// A repeated claim request, with the same entry and nonce, is granted again while the request
    /// runs.
    pub fn claim(&mut self, request: &ClaimRequest, now: Millis) -> ClaimDecision {
        self.expire(now);
        if let Some(claim) = self.claims.get(&request.key) {
            return claim.decide(request, now);
        }
        let claim = Claim {
            entry: request.entry.clone(),
            nonce: request.nonce,
            claimed_at: now,
            body: request.body,
            state: State::Running {
                deadline: now + request.span,
            },
        };
        self.claims.insert(request.key.clone(), claim);
        self.order.push_back((now, request.key.clone()));
        ClaimDecision::Granted
    }

    /// Stores the response of a request that has run.
    pub fn finish(&mut self, key: &RequestKey, response: StoredResponse) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.state = State::Done(response);
        }
    }

    /// Releases an entry's claim whose request was certainly never sent to an endpoint.
    pub fn release(&mut self, key: &RequestKey, entry: &VmId) {
        let is_releasable =
            |c: &Claim| c.entry == *entry && matches!(c.state, State::Running { .. });
        if self.claims.get(key).is_some_and(is_releasable) {
            self.claims.remove(key);
        }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        while let Some((claimed_at, key)) = self.order.front() {
            if now.since(*claimed_at) <= CLAIM_RETENTION {
                return;
            }
            // A key that was released and claimed again has a later element in the queue.
            if self
                .claims
                .get(key)
                .is_some_and(|claim| claim.claimed_at == *claimed_at)
            {
                self.claims.remove(key);
            }
            self.order.pop_front();
        }
    }
}

impl Claim {
    fn decide(&self, request: &ClaimRequest, now: Millis) -> ClaimDecision {
        if self.body != request.body {
            return ClaimDecision::Mismatch;
        }
        let is_retry = self.entry == request.entry && self.nonce == request.nonce;
        if is_retry && matches!(self.state, State::Running { .. }) {
            return ClaimDecision::Granted;
        }
        match &self.state {
            State::Done(response) => ClaimDecision::Done(response.clone()),
            State::Running { deadline } if now <= *deadline => {
                ClaimDecision::InProgress(self.entry.clone())
            }
            State::Running { .. } => ClaimDecision::Unknown,
        }
    }
}
