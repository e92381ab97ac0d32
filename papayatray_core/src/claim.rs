//! Claims of requests that may run at most once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::RequestKey;
use crate::id::VmId;

/// Time for which a claim and its outcome are kept.
pub const CLAIM_WINDOW: Millis = Millis::from_secs(3_600);
/// Largest body that is kept with an outcome, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 32 * 1_024;

/// Answer of a finished request, kept for its caller's resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status of the answer.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// The body, or nothing where it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// Wish to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Request to run.
    pub key: RequestKey,
    /// Entry that would run it.
    pub entry: VmId,
    /// Number that is the same when the entry asks again after a lost answer.
    pub nonce: u64,
    /// Digest of the request's body: the same id with another body is a mistake of the caller.
    pub body: u128,
    /// Time that the run may take.
    pub span: Millis,
}

/// What a claim came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running { deadline: Millis },
    Done(StoredResponse),
}

/// Claim that stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    entry: VmId,
    nonce: u64,
    at: Millis,
    body: u128,
    state: State,
}

/// Answer to the wish to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The asker, and nobody else, may run the request.
    Granted,
    /// The request runs at this entry.
    InProgress(VmId),
    /// The request ran, with this answer.
    Done(StoredResponse),
    /// The request may or may not have run; it is never run again.
    Unknown,
    /// The id stands for a request with another body.
    Mismatch,
}

/// Claims by request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    claims: BTreeMap<RequestKey, Claim>,
    order: VecDeque<(Millis, RequestKey)>,
}

impl Claims {
    /// Asks to run a request.
    pub fn claim(&mut self, wish: &ClaimRequest, now: Millis) -> ClaimDecision {
        self.forget(now);
        if let Some(claim) = self.claims.get(&wish.key) {
            return claim.answer(wish, now);
        }
        let claim = Claim {
            entry: wish.entry.clone(),
            nonce: wish.nonce,
            at: now,
            body: wish.body,
            state: State::Running {
                deadline: now + wish.span,
            },
        };
        self.claims.insert(wish.key.clone(), claim);
        self.order.push_back((now, wish.key.clone()));
        ClaimDecision::Granted
    }

    /// Records the answer of a request that ran.
    pub fn finish(&mut self, key: &RequestKey, answer: StoredResponse) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.state = State::Done(answer);
        }
    }

    /// Gives back a claim whose request was certainly never sent.
    pub fn release(&mut self, key: &RequestKey, entry: &VmId) {
        let is_own = |c: &Claim| c.entry == *entry && matches!(c.state, State::Running { .. });
        if self.claims.get(key).is_some_and(is_own) {
            self.claims.remove(key);
        }
    }

    /// Returns how many claims are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn forget(&mut self, now: Millis) {
        while let Some((at, key)) = self.order.front() {
            if now.since(*at) <= CLAIM_WINDOW {
                return;
            }
            if self.claims.get(key).is_some_and(|claim| claim.at == *at) {
                self.claims.remove(key);
            }
            self.order.pop_front();
        }
    }
}

impl Claim {
    fn answer(&self, wish: &ClaimRequest, now: Millis) -> ClaimDecision {
        if self.body != wish.body {
            return ClaimDecision::Mismatch;
        }
        let is_same_wish = self.entry == wish.entry && self.nonce == wish.nonce;
        if is_same_wish && matches!(self.state, State::Running { .. }) {
            return ClaimDecision::Granted;
        }
        match &self.state {
            State::Done(answer) => ClaimDecision::Done(answer.clone()),
            State::Running { deadline } if now <= *deadline => {
                ClaimDecision::InProgress(self.entry.clone())
            }
            State::Running { .. } => ClaimDecision::Unknown,
        }
    }
}
