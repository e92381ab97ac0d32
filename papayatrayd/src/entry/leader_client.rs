//! Client of the control replicas that finds the leader and retries.

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
    None,
    /// the leader was lost before it answered; the command may have been accepted
    Unknown,
    /// the leader's disk failed; the command was not executed
    DiskFailed,
}

impl std::error::Error for LeaderError {}

/// Addresses of the control replicas, and the replica that is assumed to lead.
#[derive(Debug)]
struct KnownControls {
    controls: BTreeMap<VmId, String>,
    assumed_leader: Option<VmId>,
}

/// Client of the leader.
#[derive(Debug)]
pub struct LeaderClient {
    peers: Arc<Peers>,
    known: Mutex<KnownControls>,
}

impl LeaderClient {
    /// Creates a client that knows the control replicas at the addresses `controls`.
    pub fn new(peers: Arc<Peers>, controls: BTreeMap<VmId, String>) -> Self {
        Self {
            peers,
            known: Mutex::new(KnownControls {
                controls,
                assumed_leader: None,
            }),
        }
    }

    /// Sets the addresses of the control replicas; an empty map is ignored.
    pub fn set_controls(&self, controls: &BTreeMap<VmId, String>) {
        if !controls.is_empty() {
            self.known().controls.clone_from(controls);
        }
    }

    /// Returns the addresses of the control replicas by VM.
    pub fn controls(&self) -> BTreeMap<VmId, String> {
        self.known().controls.clone()
    }

    fn known(&self) -> std::sync::MutexGuard<'_, KnownControls> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address for the attempt `tried`, beginning with the assumed leader's.
    fn next_address(&self, tried: usize) -> Option<String> {
        let known = self.known();
        let assumed = known
            .assumed_leader
            .as_ref()
            .and_then(|vm| known.controls.get(vm));
        if tried == 0 && assumed.is_some() {
            return assumed.cloned();
        }
        let count = known.controls.len().max(1);
        known.controls.values().nth(tried % count).cloned()
    }

    fn assume(&self, vm: Option<VmId>) {
        self.known().assumed_leader = vm;
    }

    /// Calls a method that only the leader answers, and retries for at most `limit`.
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
        limit: Millis,
    ) -> Result<R, LeaderError>
    where
        P: Serialize,
        R: DeserializeOwned,
    {
        let begin = Instant::now();
        let mut tried = 0;
        let mut is_uncertain = false;
        loop {
            let left = limit.since(elapsed(begin));
            if left == Millis::ZERO {
                return Err(if is_uncertain {
                    LeaderError::Unknown
                } else {
                    LeaderError::None
                });
            }
            let Some(address) = self.next_address(tried) else {
                return Err(LeaderError::None);
            };
            let answer = self
                .peers
                .call(&address, method, params, CALL_TIMEOUT.min(left))
                .await;
            match answer {
                Ok(LeaderReply::Reply(answer)) => return Ok(answer),
                Ok(LeaderReply::NotLeader(Some(vm))) if self.is_redirect(&vm, &address) => {
                    self.assume(Some(vm));
                    tried = 0;
                    continue;
                }
                Ok(LeaderReply::NotLeader(_)) | Err(CallError::Unreachable(_)) => self.assume(None),
                Err(_lost) => {
                    self.assume(None);
                    is_uncertain = true;
                }
            }
            tried += 1;
            Timer::after(RETRY_BACKOFF.to_duration()).await;
        }
    }

    /// Returns whether `vm` has another address than the one just tried.
    fn is_redirect(&self, vm: &VmId, address: &str) -> bool {
        let known = self.known();
        known.controls.get(vm).is_some_and(|known| known != address)
    }

    /// Commits an idempotent command, with retries for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns why the command is not known to be committed.
    pub async fn propose(&self, command: Command, limit: Millis) -> Result<Reply, LeaderError> {
        let begin = Instant::now();
        let propose = ProposeRequest { command };
        let mut is_uncertain = false;
        loop {
            let left = limit.since(elapsed(begin));
            match self.call(Method::Propose, &propose, left).await {
                Ok(ProposeReply::Committed(reply)) => return Ok(reply.0),
                Ok(ProposeReply::Unknown) => is_uncertain = true,
                Ok(ProposeReply::DiskFailed) => return Err(LeaderError::DiskFailed),
                Err(LeaderError::None) if is_uncertain => return Err(LeaderError::Unknown),
                Err(error) => return Err(error),
            }
            Timer::after(RETRY_BACKOFF.to_duration()).await;
        }
    }
}

fn elapsed(begin: Instant) -> Millis {
    Millis::new(u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX))
}
