//! Poison requests: crash reports, and isolation trials of suspects.
//!
//! A request that was running on an endpoint when the endpoint crashed is a suspect. It runs again
//! only in an isolation trial: alone on one endpoint, with the leader's permission.

use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::id::Fingerprint;
use papayatray_core::pool::Member;
use papayatray_core::shared_parts::TrialCrash;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_core::suspicion::TrialDecision;
use papayatray_core::suspicion::TrialRequest;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::peer::PushRequest;

use super::context::DEFAULT_RETRY_AFTER;
use super::context::RequestContext;
use crate::entry::Entry;
use crate::http::Rejection;
use crate::observe::Level;
use crate::observe::event;

/// Time within which the leader must commit a command about a suspect.
const LEADER_TIMEOUT: Millis = Millis::from_secs(3);

/// Isolation trial of a suspect; its outcome is proposed to the leader when it is dropped.
#[derive(Debug)]
pub(super) struct IsolationTrial {
    entry: Arc<Entry>,
    fingerprint: Fingerprint,
    /// Command that ends the trial; `None` once a crash report has ended it.
    closing_command: Option<Command>,
}

/// Whether a request may run on an endpoint.
#[derive(Debug)]
pub(super) enum TrialOutcome {
    /// The request is not a suspect and may run on the endpoint.
    NotSuspect,
    /// The request is a suspect and may run alone on the endpoint.
    Granted(Box<IsolationTrial>),
    /// A trial of the request or on the endpoint is running; choose another endpoint or wait.
    Busy,
}

/// Returns the incarnation of a pool member.
pub(super) fn incarnation_of(member: &Member) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: member.id.clone(),
        incarnation: member.incarnation,
    }
}

impl IsolationTrial {
    /// Requests an isolation trial on an endpoint from the leader if the request is a suspect.
    pub(super) async fn begin(
        context: &RequestContext,
        member: &Member,
    ) -> Result<TrialOutcome, Rejection> {
        let entry = &context.entry;
        if !entry.is_suspect(context.fingerprint) {
            return Ok(TrialOutcome::NotSuspect);
        }
        let request = TrialRequest {
            fingerprint: context.fingerprint,
            entry: entry.vm.clone(),
            nonce: entry.next_id(),
            incarnation: incarnation_of(member),
        };
        let timeout = LEADER_TIMEOUT.min(context.time_left());
        let reply = entry
            .leader
            .propose(Command::BeginTrial(request), timeout)
            .await;
        match reply {
            Ok(Reply::Trial(TrialDecision::Clear)) => {
                entry.clear_suspect(context.fingerprint);
                Ok(TrialOutcome::NotSuspect)
            }
            Ok(Reply::Trial(TrialDecision::Granted)) => {
                Ok(TrialOutcome::Granted(Box::new(Self::new(context))))
            }
            Ok(Reply::Trial(TrialDecision::Busy)) => Ok(TrialOutcome::Busy),
            Ok(Reply::Trial(TrialDecision::Quarantined)) => Err(quarantine_rejection(context)),
            Ok(_unexpected) => Err(context.reject(
                ErrorCode::NoQuorum,
                "the leader replied with something other than a trial decision",
            )),
            Err(error) => {
                let rejection = context.reject(ErrorCode::NoQuorum, error.to_string());
                Err(rejection.may_have_run().retry_after(DEFAULT_RETRY_AFTER))
            }
        }
    }

    fn new(context: &RequestContext) -> Self {
        let release = Command::ReleaseTrial {
            fingerprint: context.fingerprint,
            entry: context.entry.vm.clone(),
        };
        Self {
            entry: Arc::clone(&context.entry),
            fingerprint: context.fingerprint,
            closing_command: Some(release),
        }
    }

    /// Clears the request of suspicion, as it completed without a crash.
    pub(super) fn clear(&mut self) {
        self.entry.clear_suspect(self.fingerprint);
        let entry = self.entry.vm.clone();
        self.closing_command = Some(Command::ClearSuspect {
            fingerprint: self.fingerprint,
            entry,
        });
    }

    /// Records that the crash was reported, which ends the trial at the leader.
    fn mark_crash_reported(&mut self) {
        self.closing_command = None;
    }
}

impl Drop for IsolationTrial {
    fn drop(&mut self) {
        let Some(closing_command) = self.closing_command.take() else {
            return;
        };
        let entry = Arc::clone(&self.entry);
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            let _ = entry.leader.propose(closing_command, LEADER_TIMEOUT).await;
        });
    }
}

fn quarantine_rejection(context: &RequestContext) -> Rejection {
    let message =
        "this request is quarantined because endpoints that ran it crashed; it is not run again";
    context
        .reject(ErrorCode::PoisonRequest, message)
        .may_have_run()
}

/// Reports a crash to the leader; all requests that were running on the endpoint become suspects.
///
/// Awaited before the request is retried, so that no suspect runs outside an isolation trial.
///
/// A crash in an isolation trial is also recorded against the parts of the request's prompt.
pub(super) async fn report_crash(
    context: &RequestContext,
    member: &Member,
    trial: Option<&mut Box<IsolationTrial>>,
) {
    let entry = &context.entry;
    let incarnation = incarnation_of(member);
    let mut suspects: BTreeSet<Fingerprint> = entry.in_flight.running_on(&incarnation);
    suspects.insert(context.fingerprint);
    event(
        Level::Warn,
        "endpoint_crashed",
        &[
            ("endpoint", &incarnation.endpoint),
            ("in_flight", &suspects.len()),
        ],
    );
    entry.metrics.count("entry.endpoint_crashed");
    let fingerprints = suspects.iter().copied().collect();
    let command = Command::ReportCrash {
        incarnation,
        fingerprints,
    };
    let reported = entry.leader.propose(command, LEADER_TIMEOUT).await;
    if let Err(error) = reported {
        event(Level::Error, "crash_not_reported", &[("error", &error)]);
    }
    let trial_crashes = trial.as_ref().map(|_| TrialCrash {
        request: context.fingerprint,
        parts: context.parts.clone(),
    });
    let push = PushRequest {
        suspects,
        trial_crashes: trial_crashes.into_iter().collect(),
        ..PushRequest::default()
    };
    entry.broadcast_evidence(push).await;
    if let Some(trial) = trial {
        trial.mark_crash_reported();
    }
}

/// Clears the parts of an answered request's prompt of crashes before, here and at the other entries.
pub(super) fn clear_parts(context: &RequestContext) {
    let cleared_parts = context.entry.shared_parts().record_answer(&context.parts);
    if cleared_parts.is_empty() {
        return;
    }
    let entry = Arc::clone(&context.entry);
    let tasks = entry.tasks.clone();
    tasks.spawn(async move {
        let push = PushRequest {
            cleared_parts,
            ..PushRequest::default()
        };
        entry.broadcast_evidence(push).await;
    });
}
