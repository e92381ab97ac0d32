//! Calls to the leader of the control replicas, wherever it is.

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
use papayatray_wire::peer::Propose;
use papayatray_wire::peer::ProposeReply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::peer::Peers;

/// Longest wait for one answer.
const CALL_LIMIT: Millis = Millis::new(1_500);
/// Time between two rounds over the replicas.
const PAUSE: Millis = Millis::new(50);

/// Why the leader gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LeaderError {
    /// no control replica leads, or none can be reached; nothing was done
    None,
    /// the leader was lost before it answered; the command may have been accepted
    Unknown,
    /// the leader's disk failed; nothing was done
    DiskFailed,
}

impl std::error::Error for LeaderError {}

/// Where the control replicas are, and which is thought to lead.
#[derive(Debug)]
struct Known {
    controls: BTreeMap<VmId, String>,
    guess: Option<VmId>,
}

/// Way to the leader.
#[derive(Debug)]
pub struct Leader {
    peers: Arc<Peers>,
    known: Mutex<Known>,
}

impl Leader {
    /// Creates a way to the leader that begins with `controls`.
    pub fn new(peers: Arc<Peers>, controls: BTreeMap<VmId, String>) -> Self {
        Self {
            peers,
            known: Mutex::new(Known {
                controls,
                guess: None,
            }),
        }
    }

    /// Takes in where the control replicas are now.
    pub fn learn(&self, controls: &BTreeMap<VmId, String>) {
        if !controls.is_empty() {
            self.known().controls.clone_from(controls);
        }
    }

    /// Returns where the control replicas are.
    pub fn controls(&self) -> BTreeMap<VmId, String> {
        self.known().controls.clone()
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address to try, the guessed leader's first.
    fn next(&self, tried: usize) -> Option<String> {
        let known = self.known();
        let guess = known.guess.as_ref().and_then(|vm| known.controls.get(vm));
        if tried == 0 && guess.is_some() {
            return guess.cloned();
        }
        let count = known.controls.len().max(1);
        known.controls.values().nth(tried % count).cloned()
    }

    fn guess(&self, vm: Option<VmId>) {
        self.known().guess = vm;
    }

    /// Calls a method that only the leader answers, for at most `limit`.
    ///
    /// The call may reach two leaders in turn, so it must be safe to repeat.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
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
        let mut is_unsure = false;
        loop {
            let left = limit.since(elapsed(begin));
            if left == Millis::ZERO {
                return Err(if is_unsure {
                    LeaderError::Unknown
                } else {
                    LeaderError::None
                });
            }
            let Some(address) = self.next(tried) else {
                return Err(LeaderError::None);
            };
            let answer = self
                .peers
                .call(&address, method, params, CALL_LIMIT.min(left))
                .await;
            match answer {
                Ok(LeaderReply::Answer(answer)) => return Ok(answer),
                Ok(LeaderReply::NotLeader(Some(vm))) if self.is_new(&vm, &address) => {
                    self.guess(Some(vm));
                    tried = 0;
                    continue;
                }
                Ok(LeaderReply::NotLeader(_)) | Err(CallError::Unreachable(_)) => self.guess(None),
                Err(_lost) => {
                    self.guess(None);
                    is_unsure = true;
                }
            }
            tried += 1;
            Timer::after(PAUSE.to_duration()).await;
        }
    }

    /// Tells whether `vm` is at another address than the one just tried.
    fn is_new(&self, vm: &VmId, address: &str) -> bool {
        let known = self.known();
        known.controls.get(vm).is_some_and(|own| own != address)
    }

    /// Commits a command that is safe to repeat.
    ///
    /// # Errors
    ///
    /// Returns why the command is not known to be committed.
    pub async fn propose(&self, command: Command, limit: Millis) -> Result<Reply, LeaderError> {
        let begin = Instant::now();
        let propose = Propose { command };
        let mut is_unsure = false;
        loop {
            let left = limit.since(elapsed(begin));
            match self.call(Method::Propose, &propose, left).await {
                Ok(ProposeReply::Committed(reply)) => return Ok(reply.0),
                Ok(ProposeReply::Unknown) => is_unsure = true,
                Ok(ProposeReply::DiskFailed) => return Err(LeaderError::DiskFailed),
                Err(LeaderError::None) if is_unsure => return Err(LeaderError::Unknown),
                Err(error) => return Err(error),
            }
            Timer::after(PAUSE.to_duration()).await;
        }
    }
}

fn elapsed(begin: Instant) -> Millis {
    Millis::new(u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX))
}
