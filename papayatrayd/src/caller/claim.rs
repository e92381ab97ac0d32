//! Claims: reservations of a request id on the quorum, by which a request runs at most once.

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

use super::context::DEFAULT_RETRY_AFTER;
use super::context::RequestContext;
use crate::entry::Entry;
use crate::entry::LeaderError;
use crate::http::Rejection;

/// Time within which a claim must be committed or released.
const CLAIM_TIMEOUT: Millis = Millis::from_secs(4);
/// Time after a request's deadline during which other entries still treat the request as running.
const CLAIM_GRACE: Millis = Millis::from_secs(10);
/// Time within which the response and the bill must be committed.
const FINISH_TIMEOUT: Millis = Millis::from_secs(8);

/// Claim held by this entry; released when dropped, unless the request was sent to an endpoint.
#[derive(Debug)]
pub(super) struct Claim {
    entry: Arc<Entry>,
    key: RequestKey,
    /// Whether an endpoint may have received the request.
    is_sent: bool,
}

/// Outcome of a claim that was not refused.
#[derive(Debug)]
pub(super) enum ClaimOutcome {
    /// The request is claimed by this entry, which may run it.
    Acquired(Claim),
    /// The request ran before, with this response.
    Replayed(StoredResponse),
}

impl Claim {
    /// Claims the request, before anything is sent to an endpoint.
    pub(super) async fn acquire(context: &RequestContext) -> Result<ClaimOutcome, Rejection> {
        let _span = context.span.child("claim");
        let entry = &context.entry;
        let request = ClaimRequest {
            key: context.key.clone(),
            entry: entry.vm.clone(),
            nonce: entry.next_id(),
            body: context.fingerprint.0,
            // A duration, not a trace span.
            span: context.time_left() + CLAIM_GRACE,
        };
        let timeout = CLAIM_TIMEOUT.min(context.time_left());
        let reply = entry.leader.propose(Command::Claim(request), timeout).await;
        let new_claim = || Self {
            entry: Arc::clone(entry),
            key: context.key.clone(),
            is_sent: false,
        };
        match reply {
            Ok(Reply::Claim(decision)) => interpret_decision(context, decision, new_claim),
            Ok(_unexpected) => Err(context.reject(
                ErrorCode::NoQuorum,
                "the leader replied with something other than a claim decision",
            )),
            Err(error) => {
                if error == LeaderError::OutcomeUnknown {
                    // The claim may be committed, but nothing was sent: dropping it releases it.
                    drop(new_claim());
                }
                let rejection = context.reject(ErrorCode::NoQuorum, error.to_string());
                Err(rejection.retry_after(DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Records that the request is about to be sent: from now on it may run.
    pub(super) const fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Records that the endpoint certainly did not run the request.
    pub(super) const fn mark_not_sent(&mut self) {
        self.is_sent = false;
    }

    /// Commits the response and the bill in place of the claim; resends then get that response.
    pub(super) async fn finish(
        &mut self,
        response: StoredResponse,
        bill: Bill,
    ) -> Result<(), LeaderError> {
        self.is_sent = true;
        let command = Command::FinishClaim { response, bill };
        self.entry.leader.propose(command, FINISH_TIMEOUT).await?;
        self.entry.billing.count_bill();
        Ok(())
    }
}

fn interpret_decision<F>(
    context: &RequestContext,
    decision: ClaimDecision,
    new_claim: F,
) -> Result<ClaimOutcome, Rejection>
where
    F: FnOnce() -> Claim,
{
    match decision {
        ClaimDecision::Granted => Ok(ClaimOutcome::Acquired(new_claim())),
        ClaimDecision::Done(response) => Ok(ClaimOutcome::Replayed(response)),
        ClaimDecision::InProgress(vm) => {
            let message = format!("this request is already running at {vm}; send it again later");
            let rejection = context.reject(ErrorCode::InProgress, message);
            Err(rejection.may_have_run().retry_after(DEFAULT_RETRY_AFTER))
        }
        ClaimDecision::Unknown => Err(outcome_unknown_rejection(context)),
        ClaimDecision::Mismatch => {
            let message = "this request id was used before with another body; use a new id";
            Err(context.reject(ErrorCode::IdReused, message))
        }
    }
}

/// Returns the rejection of a request that may have run and is not run again.
pub(super) fn outcome_unknown_rejection(context: &RequestContext) -> Rejection {
    let message = "the request may have run; it is not run again under this id";
    context
        .reject(ErrorCode::OutcomeUnknown, message)
        .may_have_run()
}

/// Returns the response to store for resends; a body over [`MAX_STORED_BODY_BYTES`] is left out.
pub(super) fn stored_response(status: u16, media: &str, body: &[u8]) -> StoredResponse {
    let fits = body.len() <= MAX_STORED_BODY_BYTES;
    StoredResponse {
        status,
        media: media.to_owned(),
        body: fits.then(|| body.to_vec()),
    }
}

/// Returns the response to a resend from the stored response.
pub(super) fn replay(
    context: &RequestContext,
    stored: StoredResponse,
) -> Result<Response, Rejection> {
    let Some(body) = stored.body else {
        let message = "the request ran, but its response was too large to store for a resend";
        return Err(context
            .reject(ErrorCode::AnswerGone, message)
            .may_have_run());
    };
    let status = StatusCode::try_from(stored.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", stored.media.as_str());
    response.insert_header("papayatray-replayed", "true");
    Ok(response)
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let entry = Arc::clone(&self.entry);
        let command = Command::ReleaseClaim {
            key: self.key.clone(),
            entry: entry.vm.clone(),
        };
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            let _ = entry.leader.propose(command, CLAIM_TIMEOUT).await;
        });
    }
}
