//! Requests under suspicion: reports of crashes, and trials of suspects.

use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::id::Fingerprint;
use papayatray_core::pool::Member;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_core::suspicion::TrialDecision;
use papayatray_core::suspicion::TrialRequest;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::http::ErrorCode;

use super::ask::Ask;
use super::ask::RUNNING_RETRY;
use crate::entry::Entry;
use crate::http::Refused;
use crate::observe::Level;
use crate::observe::event;

/// Time within which the leader must answer.
const LIMIT: Millis = Millis::from_secs(3);

/// Trial of a suspect, until dropped.
#[derive(Debug)]
pub(super) struct Trial {
    entry: Arc<Entry>,
    fingerprint: Fingerprint,
    verdict: Option<Command>,
}

/// Whether a suspect may run on an endpoint.
#[derive(Debug)]
pub(super) enum Leave {
    /// It is under no suspicion.
    Clear,
    /// It runs on trial.
    OnTrial(Box<Trial>),
    /// It must wait, or go to another endpoint.
    Busy,
}

/// Returns the start of an endpoint that a request would run on.
pub(super) fn life(member: &Member) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: member.id.clone(),
        incarnation: member.incarnation,
    }
}

impl Trial {
    /// Asks whether the request may run on an endpoint.
    pub(super) async fn begin(ask: &Ask, member: &Member) -> Result<Leave, Refused> {
        let entry = &ask.entry;
        if !entry.is_suspect(ask.fingerprint) {
            return Ok(Leave::Clear);
        }
        let wish = TrialRequest {
            fingerprint: ask.fingerprint,
            entry: entry.vm.clone(),
            nonce: entry.next_id(),
            life: life(member),
        };
        let limit = LIMIT.min(ask.left());
        let reply = entry.leader.propose(Command::BeginTrial(wish), limit).await;
        match reply {
            Ok(Reply::Trial(TrialDecision::Clear)) => {
                entry.clear_suspect(ask.fingerprint);
                Ok(Leave::Clear)
            }
            Ok(Reply::Trial(TrialDecision::Granted)) => {
                Ok(Leave::OnTrial(Box::new(Self::new(ask))))
            }
            Ok(Reply::Trial(TrialDecision::Busy)) => Ok(Leave::Busy),
            Ok(Reply::Trial(TrialDecision::Condemned)) => Err(condemned(ask)),
            Ok(_odd) => Err(ask.refuse(ErrorCode::NoQuorum, "an unexpected reply")),
            Err(error) => {
                let refused = ask.refuse(ErrorCode::NoQuorum, error.to_string());
                Err(refused.perhaps_run().retry_after(RUNNING_RETRY))
            }
        }
    }

    fn new(ask: &Ask) -> Self {
        let release_trial = Command::ReleaseTrial {
            fingerprint: ask.fingerprint,
            entry: ask.entry.vm.clone(),
        };
        Self {
            entry: Arc::clone(&ask.entry),
            fingerprint: ask.fingerprint,
            verdict: Some(release_trial),
        }
    }

    /// Notes that the request ran to its end.
    pub(super) fn clear_suspect(&mut self) {
        self.entry.clear_suspect(self.fingerprint);
        let entry = self.entry.vm.clone();
        self.verdict = Some(Command::ClearSuspect {
            fingerprint: self.fingerprint,
            entry,
        });
    }

    /// Notes that the crash was reported, which ended the trial.
    pub(super) fn reported(&mut self) {
        self.verdict = None;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some(verdict) = self.verdict.take() else {
            return;
        };
        let entry = Arc::clone(&self.entry);
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            let _ = entry.leader.propose(verdict, LIMIT).await;
        });
    }
}

fn condemned(ask: &Ask) -> Refused {
    let message = "this request crashes the endpoints that run it, and is not run again";
    ask.refuse(ErrorCode::PoisonRequest, message).perhaps_run()
}

/// Reports that an endpoint crashed, before anybody may send the request again.
pub(super) async fn report_crash(ask: &Ask, member: &Member) {
    let entry = &ask.entry;
    let life = life(member);
    let mut aboard: BTreeSet<Fingerprint> = entry.in_flight.running_on(&life);
    aboard.insert(ask.fingerprint);
    event(
        Level::Warn,
        "endpoint_crashed",
        &[("endpoint", &life.endpoint), ("in_flight", &aboard.len())],
    );
    entry.metrics.count("entry.endpoint_crashed");
    let fingerprints = aboard.iter().copied().collect();
    let command = Command::Report { life, fingerprints };
    let reported = entry.leader.propose(command, LIMIT).await;
    if let Err(error) = reported {
        event(Level::Error, "crash_not_reported", &[("error", &error)]);
    }
    entry.broadcast_suspects(aboard).await;
}
