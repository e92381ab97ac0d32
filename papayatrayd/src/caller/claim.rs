//! Claims of requests that may run at most once.

use std::sync::Arc;

use http_types::Response;
use http_types::StatusCode;
use papayatray_core::claim::ClaimDecision;
use papayatray_core::claim::ClaimRequest;
use papayatray_core::claim::MAX_STORED_BODY_BYTES;
use papayatray_core::claim::StoredResponse;
use papayatray_core::clock::Millis;
use papayatray_core::id::RequestKey;
use papayatray_core::ledger::Bill;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::http::ErrorCode;

use super::ask::Ask;
use super::ask::RUNNING_RETRY;
use crate::entry::Entry;
use crate::entry::LeaderError;
use crate::http::Refused;

/// Time within which a claim must stand, before anything is sent.
const CLAIM_LIMIT: Millis = Millis::from_secs(4);
/// Time beyond the deadline for which a claim counts as running.
const GRACE: Millis = Millis::from_secs(10);
/// Time within which answer and bill must be durable.
const FINISH_LIMIT: Millis = Millis::from_secs(8);

/// Claim that this entry holds; given back when dropped, unless the request was sent.
#[derive(Debug)]
pub(super) struct Claim {
    entry: Arc<Entry>,
    key: RequestKey,
    is_sent: bool,
}

/// What became of the wish to run a request.
#[derive(Debug)]
pub(super) enum Claimed {
    /// The request may run at most once, and now.
    Held(Claim),
    /// The request ran before, with this answer.
    Answered(StoredResponse),
}

impl Claim {
    /// Claims the request before anything is sent.
    pub(super) async fn take(ask: &Ask) -> Result<Claimed, Refused> {
        let _span = ask.span.child("claim");
        let entry = &ask.entry;
        let wish = ClaimRequest {
            key: ask.key.clone(),
            entry: entry.vm.clone(),
            nonce: entry.next_id(),
            body: ask.fingerprint.0,
            span: ask.left() + GRACE,
        };
        let limit = CLAIM_LIMIT.min(ask.left());
        let reply = entry.leader.propose(Command::Claim(wish), limit).await;
        let held = || Self {
            entry: Arc::clone(entry),
            key: ask.key.clone(),
            is_sent: false,
        };
        match reply {
            Ok(Reply::Claim(answer)) => judge(ask, answer, held),
            Ok(_odd) => Err(ask.refuse(ErrorCode::NoQuorum, "an unexpected reply")),
            Err(error) => {
                if error == LeaderError::Unknown {
                    // The claim may stand, but nothing was sent: dropping it gives it back.
                    drop(held());
                }
                let refused = ask.refuse(ErrorCode::NoQuorum, error.to_string());
                Err(refused.retry_after(RUNNING_RETRY))
            }
        }
    }

    /// Notes that the request is about to be sent: from here on it may have run.
    pub(super) const fn sent(&mut self) {
        self.is_sent = true;
    }

    /// Notes that an endpoint provably never got the request.
    pub(super) const fn not_sent(&mut self) {
        self.is_sent = false;
    }

    /// Makes answer and bill durable.
    pub(super) async fn finish(
        &mut self,
        answer: StoredResponse,
        bill: Bill,
    ) -> Result<(), LeaderError> {
        self.is_sent = true;
        let command = Command::Finish { answer, bill };
        self.entry.leader.propose(command, FINISH_LIMIT).await?;
        self.entry.billing.count_bill();
        Ok(())
    }
}

fn judge<F>(ask: &Ask, answer: ClaimDecision, held: F) -> Result<Claimed, Refused>
where
    F: FnOnce() -> Claim,
{
    match answer {
        ClaimDecision::Granted => Ok(Claimed::Held(held())),
        ClaimDecision::Done(answer) => Ok(Claimed::Answered(answer)),
        ClaimDecision::InProgress(vm) => {
            let message = format!("this request is running at {vm}");
            let refused = ask.refuse(ErrorCode::InProgress, message);
            Err(refused.perhaps_run().retry_after(RUNNING_RETRY))
        }
        ClaimDecision::Unknown => Err(unknown(ask)),
        ClaimDecision::Mismatch => {
            let message = "this request id stands for another body; use a new id";
            Err(ask.refuse(ErrorCode::IdReused, message))
        }
    }
}

/// Returns the refusal of a request that may have run and is never run again.
pub(super) fn unknown(ask: &Ask) -> Refused {
    let message = "the request may have run; it is never run again under this id";
    ask.refuse(ErrorCode::OutcomeUnknown, message).perhaps_run()
}

/// Returns what is kept of an answer.
pub(super) fn kept(status: u16, media: &str, body: &[u8]) -> StoredResponse {
    let fits = body.len() <= MAX_STORED_BODY_BYTES;
    StoredResponse {
        status,
        media: media.to_owned(),
        body: fits.then(|| body.to_vec()),
    }
}

/// Returns a kept answer to the caller that sent its request again.
pub(super) fn replay(ask: &Ask, answer: StoredResponse) -> Result<Response, Refused> {
    let Some(body) = answer.body else {
        let message = "the request ran, and its answer was too large to keep";
        return Err(ask.refuse(ErrorCode::AnswerGone, message).perhaps_run());
    };
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", answer.media.as_str());
    response.insert_header("papayatray-replayed", "true");
    Ok(response)
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let entry = Arc::clone(&self.entry);
        let command = Command::Release {
            key: self.key.clone(),
            entry: entry.vm.clone(),
        };
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            let _ = entry.leader.propose(command, CLAIM_LIMIT).await;
        });
    }
}
