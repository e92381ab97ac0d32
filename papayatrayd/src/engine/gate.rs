//! Sends on their way, so that a newer configuration is acknowledged only after older sends left.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::id::Revision;

/// Time in which bytes that were written reach the endpoint; a round trip within a region.
const TRANSIT: Millis = Millis::new(100);

/// How far a send has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Checked against the configuration, not yet written.
    Checked,
    /// Written at this moment.
    Written(Millis),
}

/// Send that has passed the check.
#[derive(Clone, Copy, Debug)]
struct Pass {
    revision: Revision,
    stage: Stage,
}

/// Sends that were checked and have not been answered yet.
#[derive(Debug, Default)]
pub struct SendTracker {
    passes: Mutex<Passes>,
}

#[derive(Debug, Default)]
struct Passes {
    open: BTreeMap<u64, Pass>,
    next: u64,
}

impl SendTracker {
    /// Opens a pass for a send that is about to be checked against `revision`.
    pub fn enter(&self, revision: Revision) -> SendGuard<'_> {
        let mut passes = self.passes();
        passes.next += 1;
        let number = passes.next;
        let pass = Pass {
            revision,
            stage: Stage::Checked,
        };
        passes.open.insert(number, pass);
        SendGuard { gate: self, number }
    }

    /// Returns the highest revision, at most `held`, that no older send can contradict any more.
    pub fn settled(&self, held: Revision, now: Millis) -> Revision {
        let passes = self.passes();
        let is_open = |pass: &&Pass| match pass.stage {
            Stage::Checked => true,
            Stage::Written(at) => now.since(at) < TRANSIT,
        };
        let open = passes.open.values().filter(is_open);
        open.map(|pass| pass.revision).fold(held, Revision::min)
    }

    fn passes(&self) -> MutexGuard<'_, Passes> {
        self.passes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pass of one send; closes when dropped, as soon as the endpoint's answer has begun.
#[derive(Debug)]
pub struct SendGuard<'a> {
    gate: &'a SendTracker,
    number: u64,
}

impl SendGuard<'_> {
    /// Notes that the whole request has been written.
    pub fn written(&self, now: Millis) {
        if let Some(pass) = self.gate.passes().open.get_mut(&self.number) {
            pass.stage = Stage::Written(now);
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        self.gate.passes().open.remove(&self.number);
    }
}
