//! Sends on their way, so that a newer configuration is acknowledged only after older sends left.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::id::Revision;

/// Time in which bytes that were written reach the endpoint; a round trip within a region.
const TRANSIT_TIME: Millis = Millis::new(100);

/// How far a send has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendStage {
    /// Checked against the configuration, not yet written.
    Checked,
    /// Written at this moment.
    Written(Millis),
}

/// Send that has passed the check.
#[derive(Clone, Copy, Debug)]
struct TrackedSend {
    revision: Revision,
    stage: SendStage,
}

/// Sends that were checked and have not been answered yet.
#[derive(Debug, Default)]
pub struct SendTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    sends: BTreeMap<u64, TrackedSend>,
    last_number: u64,
}

impl SendTracker {
    /// Opens a pass for a send that is about to be checked against `revision`.
    pub fn begin(&self, revision: Revision) -> SendGuard<'_> {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let send = TrackedSend {
            revision,
            stage: SendStage::Checked,
        };
        state.sends.insert(number, send);
        SendGuard {
            tracker: self,
            number,
        }
    }

    /// Returns the highest revision, at most `current`, that no older send can contradict any more.
    pub fn settled(&self, current: Revision, now: Millis) -> Revision {
        let state = self.state();
        let may_contradict = |send: &&TrackedSend| match send.stage {
            SendStage::Checked => true,
            SendStage::Written(at) => now.since(at) < TRANSIT_TIME,
        };
        let sends = state.sends.values().filter(may_contradict);
        sends.map(|send| send.revision).fold(current, Revision::min)
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pass of one send; closes when dropped, as soon as the endpoint's answer has begun.
#[derive(Debug)]
pub struct SendGuard<'a> {
    tracker: &'a SendTracker,
    number: u64,
}

impl SendGuard<'_> {
    /// Notes that the whole request has been written.
    pub fn mark_written(&self, now: Millis) {
        if let Some(send) = self.tracker.state().sends.get_mut(&self.number) {
            send.stage = SendStage::Written(now);
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        self.tracker.state().sends.remove(&self.number);
    }
}
