//! Client that finds the leader among the control replicas, and retries calls to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use displaydoc::Display;
use papayatray_core::clock::Millis;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::machine::Reply;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::ProposeReply;
use papayatray_wire::peer::ProposeRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::peer::Peers;

/// Maximum wait for one reply.
const CALL_TIMEOUT: Millis = Millis::new(1_500);
/// Back-off between two attempts.
const RETRY_BACKOFF: Millis = Millis::new(50);

/// Reason why a call to the leader failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LeaderError {
    /// no control replica leads, or none can be reached; the command was not executed
    NoLeader,
    /// the leader was lost before it replied; the command may have been committed
    OutcomeUnknown,
    /// the leader's disk failed; the command was not executed
    DiskFailed,
}

impl std::error::Error for LeaderError {}

/// Addresses of the control replicas, and the replica that is assumed to lead.
#[derive(Debug)]
struct ControlReplicas {
    addresses: BTreeMap<VmId, String>,
    assumed_leader: Option<VmId>,
}

/// Client of the leader, used by all tasks of an entry.
#[derive(Debug)]
pub struct LeaderClient {
    peers: Arc<Peers>,
    replicas: Mutex<ControlReplicas>,
}

impl LeaderClient {
    /// Creates a client of the control replicas, given by VM with their peer addresses.
    pub fn new(peers: Arc<Peers>, addresses: BTreeMap<VmId, String>) -> Self {
        Self {
            peers,
            replicas: Mutex::new(ControlReplicas {
                addresses,
                assumed_leader: None,
            }),
        }
    }

    /// Sets the addresses of the control replicas; an empty map is ignored.
    pub fn set_controls(&self, controls: &BTreeMap<VmId, String>) {
        if !controls.is_empty() {
            self.replicas().addresses.clone_from(controls);
        }
    }

    /// Returns the addresses of the control replicas by VM.
    pub fn controls(&self) -> BTreeMap<VmId, String> {
        self.replicas().addresses.clone()
    }

    fn replicas(&self) -> std::sync::MutexGuard<'_, ControlReplicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address to call: first the assumed leader's, then that of each replica in turn.
    fn address_for(&self, attempt: usize) -> Option<String> {
        let replicas = self.replicas();
        let assumed = replicas
            .assumed_leader
            .as_ref()
            .and_then(|vm| replicas.addresses.get(vm));
        if attempt == 0 && assumed.is_some() {
            return assumed.cloned();
        }
        let count = replicas.addresses.len().max(1);
        replicas.addresses.values().nth(attempt % count).cloned()
    }

    /// Sets the replica that is assumed to lead; with `None`, calls go to each replica in turn.
    fn assume(&self, vm: Option<VmId>) {
        self.replicas().assumed_leader = vm;
    }

    /// Calls a method that only the leader serves, and retries for at most `timeout`.
    ///
    /// The call may be executed more than once, by successive leaders, so it must be idempotent.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply.
    pub async fn call<P, R>(
        &self,
        method: Method,
        params: &P,
        timeout: Millis,
    ) -> Result<R, LeaderError>
    where
        P: Serialize,
        R: DeserializeOwned,
    {
        let started_at = Instant::now();
        let mut attempt = 0;
        let mut is_uncertain = false;
        loop {
            let time_left = timeout.since(elapsed(started_at));
            if time_left == Millis::ZERO {
                return Err(if is_uncertain {
                    LeaderError::OutcomeUnknown
                } else {
                    LeaderError::NoLeader
                });
            }
            let Some(address) = self.address_for(attempt) else {
                return Err(LeaderError::NoLeader);
            };
            let reply = self
                .peers
                .call(&address, method, params, CALL_TIMEOUT.min(time_left))
                .await;
            match reply {
                Ok(LeaderReply::Reply(result)) => return Ok(result),
                Ok(LeaderReply::NotLeader(Some(vm))) if self.is_redirect(&vm, &address) => {
                    self.assume(Some(vm));
                    attempt = 0;
                    continue;
                }
                Ok(LeaderReply::NotLeader(_)) | Err(CallError::Unreachable(_)) => self.assume(None),
                Err(_lost) => {
                    self.assume(None);
                    is_uncertain = true;
                }
            }
            attempt += 1;
            Timer::after(RETRY_BACKOFF.to_duration()).await;
        }
    }

    /// Returns whether the address of `vm` is known and differs from the `address` just called.
    fn is_redirect(&self, vm: &VmId, address: &str) -> bool {
        let replicas = self.replicas();
        replicas
            .addresses
            .get(vm)
            .is_some_and(|other| other != address)
    }

    /// Commits an idempotent command, with retries for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns why the command is not known to be committed.
    pub async fn propose(&self, command: Command, timeout: Millis) -> Result<Reply, LeaderError> {
        let started_at = Instant::now();
        let propose = ProposeRequest { command };
        let mut is_uncertain = false;
        loop {
            let time_left = timeout.since(elapsed(started_at));
            match self.call(Method::Propose, &propose, time_left).await {
                Ok(ProposeReply::Committed(reply)) => return Ok(reply.0),
                Ok(ProposeReply::Unknown) => is_uncertain = true,
                Ok(ProposeReply::DiskFailed) => return Err(LeaderError::DiskFailed),
                Err(LeaderError::NoLeader) if is_uncertain => {
                    return Err(LeaderError::OutcomeUnknown);
                }
                Err(error) => return Err(error),
            }
            Timer::after(RETRY_BACKOFF.to_duration()).await;
        }
    }
}

fn elapsed(started_at: Instant) -> Millis {
    Millis::new(u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX))
}
